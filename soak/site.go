package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/standin"
)

const (
	testKey      = "1:9ow6wBZbFi9UENcfCNG3G_2_cuAmtEZM_WKjhHMBOf0"
	callerCount  = 8
	exitLimit    = 5 * time.Second // more than the programs' time limit for a shutdown
	portsPerVM   = 3
	sharedPorts  = 5
	firstPort    = 10_000
	lastPort     = 30_000 // below the ports that the kernel gives to clients
	portAttempts = 100
)

// ports are those that all VMs of a site have in common, and the first of the others.
type ports struct{ callers, outbound, readiness, control, app, first uint16 }

// freePorts finds a range of ports that are free on every address.
func freePorts(vms int) (ports, error) {
	n := sharedPorts + portsPerVM*vms
	for range portAttempts {
		p := uint16(firstPort + rand.IntN(lastPort-firstPort-n))
		if free(p, n) {
			return ports{p, p + 1, p + 2, p + 3, p + 4, p + sharedPorts}, nil
		}
	}
	return ports{}, eris.Errorf("found no %d free ports in a row from %d to %d", n, firstPort, lastPort)
}

func free(first uint16, n int) bool {
	for i := range n {
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

// outcome is how a request ended.
type outcome struct {
	class Class
	at    time.Time
	ok    bool
}

// site is a running site: processes, their surroundings, and what the checks know.
type site struct {
	shape    shape
	dir      string
	ports    ports
	net      netip.Prefix // /24 on the loopback interface
	platform standin.Platform
	operator *operator
	starter  *starter
	mesh     *mesh

	processes []*process // balancers, then agents
	byName    map[string]*process
	byIP      map[netip.Addr]*process
	upstreams map[string]*upstream // by agent

	mu         sync.Mutex
	checks     checks
	callers    []*caller
	flows      map[datagram.Flow]*flow
	ready      map[*process]bool
	runs       map[string]int // by id of the request
	requests   int
	outcomes   []outcome
	over       bool // callers stop
	extraLoad  int  // urgent requests per second of all callers, above the usual load
	heavyLoad  int  // of one caller
	zonesOut   map[string]time.Time
	acceptedAt map[int]time.Time // by version
	latest     map[processRun]evidence
}

// newSite starts a site in the directory.
func newSite(sh shape, binary, dir string, seed Seed) (*site, error) {
	s := &site{
		shape: sh, dir: dir, starter: newStarter(), byName: map[string]*process{}, byIP: map[netip.Addr]*process{}, upstreams: map[string]*upstream{},
		flows: map[datagram.Flow]*flow{}, ready: map[*process]bool{}, runs: map[string]int{}, zonesOut: map[string]time.Time{},
		acceptedAt: map[int]time.Time{}, latest: map[processRun]evidence{},
	}
	l, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return s, err
	}
	s.checks = checks{seed: seed, start: time.Now(), dir: dir, log: slog.New(slog.NewTextHandler(l, nil)), seen: map[string]bool{}, spared: map[Check]int{}}
	s.operator = newOperator(&s.platform)
	if s.ports, err = freePorts(sh.Balancers + sh.Agents); err != nil {
		return s, err
	}
	// Runs beside each other differ in their addresses, so a port that is free now stays so.
	s.net = netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(256)), 0}), 24)
	if err := s.configure(); err != nil {
		return s, err
	}
	if err := s.addProcesses(binary); err != nil {
		return s, err
	}
	if err := s.addCallers(); err != nil {
		return s, err
	}
	for _, u := range s.upstreams {
		if err := u.start(0); err != nil {
			return s, err
		}
	}
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// ip returns the n-th address of the site.
func (s *site) ip(n int) netip.Addr {
	b := s.net.Addr().As4()
	b[3] = byte(n)
	return netip.AddrFrom4(b)
}

func (s *site) addProcesses(binary string) error {
	var es []*endpoint
	for i, n := range s.shape.processes() {
		p := &process{name: n, role: roleBalancer, log: filepath.Join(s.dir, n+".log"), starter: s.starter}
		j := i
		if i >= s.shape.Balancers {
			p.role, p.service, j = roleAgent, letters, i-s.shape.Balancers
			if j%4 == 3 {
				p.service = parcels
			}
		}
		p.zone = zones[j%len(zones)]
		p.ip, p.port = s.ip(11+i), s.ports.first+uint16(portsPerVM*i)
		p.arguments = []string{binary, p.role, "--settings", s.settingsPath(p), "--keys", testKey, "--metrics", "0", "--lines", "5000"}
		var err error
		if p.store, err = newFront(&s.platform, s.ip(2).String()); err != nil {
			return err
		}
		if err := s.writeSettings(p); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		s.byName[n], s.byIP[p.ip] = p, p
		es = append(es, &p.endpoint)
		if p.role == roleAgent {
			s.upstreams[n] = &upstream{s: s, vm: p, http: &http.Client{Timeout: heartbeatTimeout}}
		}
	}
	var err error
	s.mesh, err = newMesh(es)
	return err
}

func (s *site) addCallers() error {
	for i := range callerCount {
		ip := s.ip(101 + i)
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, s.ports.callers)))
		if err != nil {
			return err
		}
		x := &caller{s: s, ip: datagram.IPOf(ip), conn: c}
		s.callers = append(s.callers, x)
		go x.read()
	}
	return nil
}

func (s *site) settingsPath(p *process) string { return filepath.Join(s.dir, p.name+".toml") }

// writeSettings writes the settings file of a process. It is replaced at once, as it may be
// read at any time.
func (s *site) writeSettings(p *process) error {
	at := func(port uint16) string { return netip.AddrPortFrom(p.ip, port).String() }
	seeds := ""
	for i := range s.shape.Balancers {
		seeds += fmt.Sprintf("%q,", netip.AddrPortFrom(s.ip(11+i), s.ports.control))
	}
	text := fmt.Sprintf(`node = %q
ip = %q
zone = %q
service = %q
app = %q
internal-ports = [%d,%d]
seeds = [%s]
[listen]
datagram-address = %q
outbound = %q
readiness-address = %q
control = %q
[bounds]
grace-s = 4.0
evacuation-ms = 5000.0
[platform]
address = %q
`, p.name, p.ip, p.zone, p.service, at(s.ports.app), p.port, p.port+2, seeds, at(s.ports.callers), at(s.ports.outbound),
		at(s.ports.readiness), at(s.ports.control), p.store.proxy.l.Addr())
	return replaceFile(s.settingsPath(p), text)
}

func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// configure writes the next version of the configuration.
func (s *site) configure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.operator.configure(context.Background()); err != nil {
		return err
	}
	s.acceptedAt[s.operator.version] = time.Now()
	return nil
}

// evacuate takes a zone out, or back in.
func (s *site) evacuate(zone string, out bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !out {
		delete(s.zonesOut, zone)
		return s.operator.evacuate(context.Background(), zone, false)
	}
	err := s.operator.evacuate(context.Background(), zone, true)
	s.zonesOut[zone] = time.Now()
	return err
}

// locked calls f under the lock.
func (s *site) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// after calls f under the lock after a time.
func (s *site) after(d time.Duration, f func()) { time.AfterFunc(d, func() { s.locked(f) }) }

// draw returns a random number.
func (s *site) draw() uint32 { return rand.Uint32() >> 1 }

// route returns the balancer that the router picks for a flow, by rendezvous hashing over
// those that are ready; nil if there is none.
func (s *site) route(f datagram.Flow) *process {
	var best *process
	var score uint64
	for _, p := range s.processes[:s.shape.Balancers] {
		if x := fleet.Mix(uint64(f.Caller.IP)<<16|uint64(f.Caller.Port), uint64(datagram.IPOf(p.ip))); s.ready[p] && (best == nil || x > score) {
			best, score = p, x
		}
	}
	return best
}

const (
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = 400 * time.Millisecond
	// failedProbes in a row take a balancer out of rotation.
	failedProbes = 2
)

// probe asks a balancer whether it is ready until the context ends.
func (s *site) probe(ctx context.Context, p *process) {
	c := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := standin.ReadinessURL(netip.AddrPortFrom(p.ip, s.ports.readiness))
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	failed := failedProbes
	for {
		r, err := c.Get(url)
		if err == nil {
			r.Body.Close()
		}
		if failed++; err == nil && r.StatusCode == http.StatusOK {
			failed = 0
		}
		s.locked(func() { s.ready[p] = failed < failedProbes })
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

const (
	feedCount    = 16
	urgentRate   = 24 // per second
	secondRate   = 12
	probeRate    = 8
	switchRate   = 4
	overloadRate = 500 // urgent requests above the usual load; upstreams bear about 700 in all
	heavyRate    = 250
	loadTick     = 10 * time.Millisecond
)

// load starts requests until the context ends.
func (s *site) load(ctx context.Context) {
	t := time.NewTicker(loadTick)
	defer t.Stop()
	owed := map[Class]float64{}
	last := time.Now()
	begin := func(x Class, rate int, a datagram.Endpoint, class Class, c *caller) {
		for owed[x] += float64(rate) * min(time.Since(last), 100*time.Millisecond).Seconds(); owed[x] >= 1; owed[x]-- {
			y := c
			if y == nil {
				y = s.callers[rand.IntN(len(s.callers))]
			}
			y.begin(class, a)
		}
	}
	s.locked(func() {
		for i := range feedCount {
			s.callers[i%len(s.callers)].feed()
		}
	})
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		s.locked(func() {
			v := s.operator.version
			begin("urgent", urgentRate+s.extraLoad, urgentAddress, classUrgent, nil)
			begin("heavy", s.heavyLoad, urgentAddress, classUrgent, s.callers[0])
			begin("second", secondRate, secondAddress, classSecond, nil)
			begin("switch", switchRate, switchAddress, classProbe, nil)
			begin("current", probeRate, versionAddress(v), classProbe, nil)
			begin("old", probeRate, versionAddress(v-1), classOld, nil)
			last = time.Now()
		})
	}
}

// stallInterval is how often the waits for a processor are read.
const stallInterval = 200 * time.Millisecond

// watchStalls adds up how long the process that waited longest in each interval waited for a
// processor, and how late the soak itself was, until the context ends.
func (s *site) watchStalls(ctx context.Context) {
	t := time.NewTicker(stallInterval)
	defer t.Stop()
	last := map[processRun]time.Duration{}
	var sum time.Duration
	for at := time.Now(); ; {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		worst := max(0, now.Sub(at)-stallInterval*3/2)
		at = now
		for _, p := range s.processes {
			d, r := p.runDelay(), processRun{p, p.lifeNow()}
			worst = max(worst, d-last[r])
			last[r] = d
		}
		sum += min(worst, stallInterval*2)
		s.locked(func() { s.checks.stalls = append(s.checks.stalls, stall{now, sum}) })
	}
}

// close ends all processes and closes all sockets.
func (s *site) close() {
	s.locked(func() { s.over = true })
	var wg sync.WaitGroup
	for _, p := range s.processes {
		wg.Go(func() { p.end(syscall.SIGKILL, exitLimit) })
	}
	wg.Wait()
	for _, u := range s.upstreams {
		u.stop()
	}
	for _, c := range s.callers {
		c.conn.Close()
	}
	for _, p := range s.processes {
		if p.store != nil {
			p.store.Close()
		}
	}
	if s.mesh != nil {
		s.mesh.Close()
	}
	s.starter.Close()
}
