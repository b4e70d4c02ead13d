package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// Bounds of the small deployments, which stand in the settings files.
const (
	drainBound        = 3 * time.Second
	stabilityWindow   = 4 * time.Second
	flowLifetime      = 60 * time.Second
	heartbeatInterval = 770 * time.Millisecond
	usualIdleTimeout  = 15 * time.Second
	// lead is the time between the start of the machines and that of the traffic.
	lead        = 10 * time.Second
	serviceName = "letters"
	// deployFile is read for the commands, relative to the repository's root.
	deployFile = "deploy/system.toml"
)

// deployment is the part of the deploy file that is used.
type deployment struct {
	Roles map[string]struct {
		Run string            `toml:"run"`
		Env map[string]string `toml:"env"`
	} `toml:"roles"`
}

// ports are the ports that all machines have in common.
type ports struct{ callers, outbound, readiness, control, app, internal uint16 }

// machine is a machine of the system with its one process.
type machine struct {
	name, role, zone string
	ip               netip.Addr
	ready            bool // in rotation; balancers only
	cmd              *exec.Cmd
	ended            chan struct{}
	asked            bool // the process was asked to end
}

// site is a small deployment on loopback addresses. Its lock guards the clients, the backends and
// the findings.
type site struct {
	dir       string
	ports     ports
	route     datagram.Endpoint
	deploy    deployment
	store     standin.Platform
	storeAt   string
	server    *http.Server
	operator  *platform.Client
	configAt  platform.Revision
	version   int
	machines  []*machine
	backends  []*backend
	record    *os.File
	begun     time.Time
	starts    chan func()
	probing   context.CancelFunc
	probers   sync.WaitGroup
	mu        sync.Mutex
	clients   map[netip.Addr]*client
	findings  []string
	exits     error
	idleLimit time.Duration // of the configuration in force
}

// newSite prepares a site: three balancers and seven agents with their backends in two zones.
func newSite(record string) (*site, error) {
	s := &site{clients: map[netip.Addr]*client{}, begun: time.Now(), starts: make(chan func()), idleLimit: usualIdleTimeout}
	// The kernel ends a process when the thread that started it ends, so none is left over.
	go func() {
		runtime.LockOSThread()
		for f := range s.starts {
			f()
		}
	}()
	var err error
	if s.record, err = os.Create(record); err != nil {
		return s, err
	}
	if _, err = toml.DecodeFile(deployFile, &s.deploy); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return s, err
	}
	if err = s.choosePorts(); err != nil {
		return s, err
	}
	net4 := [4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(256)), 0}
	ip := func(n int) netip.Addr { a := net4; a[3] = byte(n); return netip.AddrFrom4(a) }
	s.route = datagram.Endpoint{IP: datagram.IPOf(ip(250)), Port: 443}
	for i, z := range []string{"a", "a", "b"} {
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("front-%d", i+1), role: "balancer", zone: z, ip: ip(11 + i)})
	}
	for i, z := range []string{"a", "a", "a", "a", "b", "b", "b"} {
		m := &machine{name: fmt.Sprintf("side-%d", i+1), role: "agent", zone: z, ip: ip(21 + i)}
		s.machines = append(s.machines, m)
		s.backends = append(s.backends, newBackend(s, m))
	}
	for i := range 4 {
		if err := s.addClient(ip(101 + i)); err != nil {
			return s, err
		}
	}
	return s, nil
}

// choosePorts finds ports that are free on every address.
func (s *site) choosePorts() error {
	const count, attempts = 8, 100
	for range attempts {
		p := uint16(10_000 + rand.IntN(20_000))
		if portsAreFree(p, count) {
			s.ports = ports{p, p + 1, p + 2, p + 3, p + 4, p + 5}
			return nil
		}
	}
	return errors.New("no free ports were found")
}

func portsAreFree(first uint16, count int) bool {
	for i := range count {
		a := fmt.Sprintf("0.0.0.0:%d", int(first)+i)
		l, err := net.Listen("tcp4", a)
		if err != nil {
			return false
		}
		l.Close()
		u, err := net.ListenPacket("udp4", a)
		if err != nil {
			return false
		}
		u.Close()
	}
	return true
}

// start starts the store, writes the first configuration, and starts the backends and processes.
func (s *site) start() error {
	l, err := net.Listen("tcp4", s.machines[0].ip.String()+":0")
	if err != nil {
		return err
	}
	s.storeAt = l.Addr().String()
	s.server = &http.Server{Handler: &s.store, ReadHeaderTimeout: time.Minute}
	go s.server.Serve(l)
	s.operator = &platform.Client{URL: "http://" + s.storeAt}
	if err := s.configure(context.Background(), usualIdleTimeout); err != nil {
		return err
	}
	for _, b := range s.backends {
		if err := b.start(); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := s.startProcess(m); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s.probing = stop
	for _, m := range s.machines {
		if m.role == "balancer" {
			s.probers.Go(func() { s.probe(ctx, m) })
		}
	}
	return nil
}

// configure writes the next version of the configuration.
func (s *site) configure(ctx context.Context, idle time.Duration) error {
	s.version += 3
	c := standin.Configuration(s.version, []standin.Route{
		{Address: s.route.AddrPort(), Service: serviceName, TargetLatency: 300 * time.Millisecond},
	}, map[string]float64{serviceName: 20})
	c["limits"] = map[string]any{"idle-timeout-ms": idle.Milliseconds()}
	var o platform.Object
	var err error
	if s.configAt == 0 {
		o, err = s.operator.Create(ctx, platform.KindConfiguration, platform.ConfigurationName, c)
	} else {
		o, err = s.operator.Update(ctx, platform.KindConfiguration, platform.ConfigurationName, c, s.configAt)
	}
	if err != nil {
		return err
	}
	s.configAt = o.Meta.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleLimit = idle
	s.note("operator: configuration %d is acknowledged, idle-timeout-ms = %d", s.version, idle.Milliseconds())
	return nil
}

// writeSettings writes the settings file of a process and returns its path.
func (s *site) writeSettings(m *machine) (string, error) {
	at := func(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }
	var seeds []string
	for _, x := range s.machines {
		if x.role == "balancer" {
			seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(x.ip, s.ports.control)))
		}
	}
	text := fmt.Sprintf(`node = %q
role = %q
ip = %q
zone = %q
region = "r"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = true
discovery = "local"
entry = "announcement"
heartbeat-ms = %d
hash-function = "steady"
deployment-mode = "agent"
`, m.name, m.role, m.ip, m.zone, s.ports.internal, s.ports.internal+2, strings.Join(seeds, ","), heartbeatInterval.Milliseconds())
	if m.role == "agent" {
		text += fmt.Sprintf("machine-class = \"side\"\nservice = %q\napp = %q\n[listen]\ndatagram-address = %q\noutbound = %q\nreadiness-address = %q\ncontrol = %q\n",
			serviceName, at(s.ports.app), at(s.ports.callers), at(s.ports.outbound), at(s.ports.readiness), at(s.ports.control))
	} else {
		text += fmt.Sprintf("machine-class = \"front\"\n[listen]\ndatagram-address = %q\nreadiness-address = %q\ncontrol = %q\n",
			at(s.ports.callers), at(s.ports.readiness), at(s.ports.control))
	}
	text += fmt.Sprintf(`[limits]
processor-share = 0.24
cores = 1
bandwidth-mbps = 1000.0
[bounds]
stability-window-ms = %d
drain-ms = %d
grace-s = 6
config-propagation-ms = 3000
evacuation-ms = 5000
flow-lifetime-s = %d
[platform]
address = %q
deployment-mode = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
`, stabilityWindow.Milliseconds(), drainBound.Milliseconds(), int(flowLifetime.Seconds()), s.storeAt)
	path := filepath.Join(s.dir, m.name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startProcess starts the machine's process with the command of the deploy file.
func (s *site) startProcess(m *machine) error {
	r, ok := s.deploy.Roles[m.role]
	if !ok {
		return fmt.Errorf("role %q is not in %s", m.role, deployFile)
	}
	path, err := s.writeSettings(m)
	if err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(s.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer f.Close()
	words := strings.Fields(r.Run)
	c := exec.Command(words[0], words[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "POMELOWAY_BOOT=" + path}
	for k, v := range r.Env {
		c.Env = append(c.Env, k+"="+v)
	}
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.starts <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.cmd, m.ended = c, make(chan struct{})
	s.note("%s: started %s", m.name, r.Run)
	go s.await(m, c, m.ended)
	return nil
}

// gracePeriod is how long a process may take to end after SIGTERM.
const gracePeriod = 6 * time.Second

// restart stops the machine's process as the platform does, and starts it again after a delay.
func (s *site) restart(m *machine, delay time.Duration) error {
	s.mu.Lock()
	m.asked = true
	s.note("%s: SIGTERM", m.name)
	s.mu.Unlock()
	m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(gracePeriod):
		m.cmd.Process.Kill()
		<-m.ended
	}
	s.mu.Lock()
	s.note("%s: has ended", m.name)
	m.asked = false
	s.mu.Unlock()
	time.Sleep(delay)
	return s.startProcess(m)
}

// await reaps a process.
func (s *site) await(m *machine, c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !m.asked {
		s.note("%s: ended by itself: %v", m.name, err)
		s.exits = errors.Join(s.exits, fmt.Errorf("%s ended by itself: %v", m.name, err))
	}
	close(ended)
}

// probe asks a balancer twice a second whether it is ready, as routers do, until the context ends.
func (s *site) probe(ctx context.Context, m *machine) {
	c := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for missed := 2; ; {
		r, err := c.Get(standin.ReadinessURL(netip.AddrPortFrom(m.ip, s.ports.readiness)))
		if err == nil {
			r.Body.Close()
		}
		if missed++; err == nil && r.StatusCode == http.StatusOK {
			missed = 0
		}
		s.mu.Lock()
		m.ready = missed < 2
		s.mu.Unlock()
		if sleep(ctx, 500*time.Millisecond) != nil {
			return
		}
	}
}

// router returns the balancer of the client's zone to which the routers send a packet of the flow;
// nil if none is in rotation. All clients are in zone a.
func (s *site) router(f datagram.Flow) *machine {
	var best *machine
	var top uint64
	for _, m := range s.machines {
		if m.role != "balancer" || m.zone != "a" || !m.ready {
			continue
		}
		key := fleet.Mix(uint64(f.Caller.IP)<<16|uint64(f.Caller.Port), uint64(f.Address.IP)<<16|uint64(f.Address.Port))
		if x := fleet.Mix(key, uint64(datagram.IPOf(m.ip))); best == nil || x > top {
			best, top = m, x
		}
	}
	return best
}

// note adds a line to the record. The lock must be held.
func (s *site) note(format string, a ...any) {
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, a...))
}

// breach notes that the rule was broken. The lock must be held.
func (s *site) breach(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	s.findings = append(s.findings, text)
	s.note("BROKEN: %s", text)
}

func (s *site) breaks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.findings)
}

func (s *site) firstBreak() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.findings[0]
}

// endedUnasked returns an error if a process ended by itself.
func (s *site) endedUnasked() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exits
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	if s.probing != nil {
		s.probing()
		s.probers.Wait()
	}
	for _, m := range s.machines {
		s.mu.Lock()
		m.asked = true
		s.mu.Unlock()
		if m.cmd != nil {
			m.cmd.Process.Kill()
			<-m.ended
		}
	}
	for _, b := range s.backends {
		b.stop()
	}
	s.mu.Lock()
	for _, c := range s.clients {
		c.conn.Close()
	}
	s.mu.Unlock()
	if s.server != nil {
		s.server.Close()
	}
	if s.dir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
	if s.record != nil {
		s.mu.Lock()
		s.record.Close()
		s.mu.Unlock()
	}
}
