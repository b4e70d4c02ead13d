package main

import (
	"bytes"
	"context"
	"encoding/json"
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

	"pomeloway.example/pomeloway/standin"
)

// Programs and their environment, as in deploy/system.toml.
const (
	program  = "target/pomeloway-datagram"
	fleetKey = "POMELOWAY_KEYS=1:UVZMV9rWnbNHP_YpQPspxOouWvP23Lme4MvmCkbFH1Q"
)

// Offsets of ports from the first free one. Each region has a range for messages between nodes.
const (
	portCallers = iota
	portReadiness
	portControl
	portOutbound
	portApp
	portStore
	portInternal
	internalPorts = 16
	regionCount   = 2
	portCount     = portInternal + internalPorts*regionCount
)

// Bounds in the settings of all nodes.
const (
	stabilityWindow  = 4 * time.Second
	flowLifetime     = 60 * time.Second
	coldBurstFactor  = 1.5
	coldSlack        = 5
	heartbeat        = 770 * time.Millisecond
	readinessTimeout = 400 * time.Millisecond
	exitLimit        = 7 * time.Second // more than the grace of a stopping process
)

// node is a machine with one process of the system.
type node struct {
	name, role, zone string
	region           int
	service          string // of a side machine
	ip               netip.Addr
	settings         string // path
	cmd              *exec.Cmd
	ended            chan struct{}
	misses           int // failed readiness probes in a row
}

// site is a running deployment.
type site struct {
	trouble bool
	record  *os.File
	dir     string
	net     [2]byte // the second and third byte of all addresses
	port    uint16  // the first
	store   standin.Platform
	server  *http.Server
	started time.Time
	starts  chan func()
	client  *http.Client
	mesh    mesh

	nodes  []*node // fronts, then sides
	seeds  []string
	zones  map[string]int // region of each
	routes []standin.Route
	// racks: the two sides of the mesh are racks of one region, and the nodes of the second one
	// reach the store through the mesh.
	racks   bool
	mu      sync.Mutex // guards what follows and all stand-ins
	over    bool
	version int
	ends    []*backend
	reached map[flowKey][]reach // packets of established flows at backends
	callers []*caller
}

// newSite reserves ports and starts the platform's store. The record holds what is noted.
func newSite(record string, trouble bool) (*site, error) {
	s := &site{
		trouble: trouble, started: time.Now(), zones: map[string]int{}, reached: map[flowKey][]reach{}, starts: make(chan func()),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run from the root of the repository after the build: %w", err)
	}
	var err error
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	// The kernel ends a process when the thread that started it ends, so none is left over.
	go func() {
		runtime.LockOSThread()
		for f := range s.starts {
			f()
		}
	}()
	l, err := s.reserve()
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: &s.store}
	go s.server.Serve(l)
	s.note("site: loopback addresses 127.%d.%d.x, ports from %d, disruption: %v", s.net[0], s.net[1], s.port, trouble)
	return s, nil
}

// reserve looks for free ports on random loopback addresses and listens for the store.
func (s *site) reserve() (net.Listener, error) {
	for range 50 {
		s.net = [2]byte{byte(1 + rand.IntN(250)), byte(rand.IntN(256))}
		s.port = uint16(12_000 + rand.IntN(16_000))
		if !s.free() {
			continue
		}
		if l, err := net.Listen("tcp4", s.at(s.ip(2), portStore).String()); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("found no free ports")
}

func (s *site) free() bool {
	for i := range portCount {
		a := fmt.Sprintf("0.0.0.0:%d", int(s.port)+i)
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

func (s *site) ip(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.net[0], s.net[1], byte(n)})
}

func (s *site) at(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, s.port+uint16(port))
}

// internal returns the first port for messages between the nodes of a region.
func internal(region int) int { return portInternal + internalPorts*region }

// note adds a line to the record.
func (s *site) note(format string, a ...any) {
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, a...))
}

// add adds a node. Nodes are numbered from address 11 on.
func (s *site) add(role, zone string, region int, service string) *node {
	n := &node{role: role, zone: zone, region: region, service: service, ip: s.ip(11 + len(s.nodes)), misses: 2}
	n.name = fmt.Sprintf("%s-%s-%d", role, zone, 1+len(s.nodes))
	n.settings = filepath.Join(s.dir, n.name+".toml")
	s.nodes = append(s.nodes, n)
	s.zones[zone] = region
	if role == "balancer" && len(s.seeds) < 3 {
		s.seeds = append(s.seeds, s.at(n.ip, portControl).String())
	}
	return n
}

// writeSettings writes the settings file of a node, with the fields of the platform's pages.
func (s *site) writeSettings(n *node) error {
	class, serves, listen := "front", `["front","control"]`, ""
	app := ""
	if n.role == "agent" {
		class, serves = "side", `["side"]`
		listen = fmt.Sprintf("outbound = %q\n", s.at(n.ip, portOutbound))
		app = fmt.Sprintf("app = %q\nservice = %q\n", s.at(n.ip, portApp), n.service)
	}
	var zones strings.Builder
	region := func(r int) int {
		if s.racks {
			return 1
		}
		return r + 1
	}
	for z, r := range s.zones {
		fmt.Fprintf(&zones, "%s = \"region-%d\"\n", z, region(r))
	}
	store := s.at(s.ip(2), portStore)
	if s.racks && n.region == 1 {
		store = s.at(s.ip(3), portStore)
	}
	seeds, _ := json.Marshal(s.seeds)
	text := fmt.Sprintf(`node = %q
role = %q
machine-class = %q
serves = %s
ip = %q
zone = %q
region = "region-%d"
internal-ports = [%d,%d]
seeds = %s
bootstrap = true
entry = "announcement"
heartbeat-ms = %d
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
hash-function = "steady"
deployment-mode = "agent"
%s[zones]
%s[listen]
datagram-address = %q
readiness-address = %q
control = %q
%s[limits]
processor-share = 0.4
cores = 1
memory-mb = 284
file-descriptors = 4100
bandwidth-mbps = 1000.0
disk-mb = 0
[bounds]
stability-window-ms = %d
ack-timeout-ms = 5000
drain-ms = 3000
grace-s = 6
config-propagation-ms = 3000
downgrade-slack-ms = 250
maximum-stretch-ms = 12000
cold-burst-factor = %v
cold-slack = %d
evacuation-ms = 5000
recovery-s = 12
misroute-window-ms = 2000
flow-lifetime-s = %d
[platform]
address = %q
deployment-mode = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
`, n.name, n.role, class, serves, n.ip, n.zone, region(n.region), int(s.port)+internal(n.region), int(s.port)+internal(n.region)+internalPorts-1, seeds,
		heartbeat.Milliseconds(), app, zones.String(), s.at(n.ip, portCallers), s.at(n.ip, portReadiness), s.at(n.ip, portControl), listen,
		stabilityWindow.Milliseconds(), coldBurstFactor, coldSlack, int(flowLifetime.Seconds()), store)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the node's program with the command of the deploy file.
func (s *site) start(n *node) error {
	if err := s.writeSettings(n); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program, n.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOWAY_BOOT=" + n.settings, fleetKey}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.starts <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		return err
	}
	ended := make(chan struct{})
	s.mu.Lock()
	n.cmd, n.ended = c, ended
	s.mu.Unlock()
	go func() { c.Wait(); close(ended) }()
	s.note("start %s at %s, process %d", n.name, n.ip, c.Process.Pid)
	return nil
}

// stop asks a node's program to stop with a signal and waits until it has ended.
func (s *site) stop(n *node, sig syscall.Signal) {
	s.mu.Lock()
	c, ended := n.cmd, n.ended
	s.mu.Unlock()
	if c == nil {
		return
	}
	c.Process.Signal(sig)
	select {
	case <-ended:
	case <-time.After(exitLimit):
		c.Process.Kill()
		<-ended
	}
}

// startAll starts all nodes and the probes of the routers, and waits until all fronts are ready.
func (s *site) startAll() error {
	for _, n := range s.nodes {
		if err := s.start(n); err != nil {
			return err
		}
		if n.role == "balancer" {
			go s.probe(n)
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		s.locked(func() {
			for _, n := range s.nodes {
				ready = ready && (n.role != "balancer" || n.misses == 0)
			}
		})
		if ready {
			s.note("all fronts are ready")
			return nil
		}
	}
	return errors.New("the fronts did not become ready")
}

func (s *site) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// probe asks a front twice a second whether it is ready.
func (s *site) probe(n *node) {
	for {
		ctx, stop := context.WithTimeout(context.Background(), readinessTimeout)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.at(n.ip, portReadiness).String()+"/pomeloway/readiness", nil)
		a, err := s.client.Do(r)
		ok := err == nil && a.StatusCode == http.StatusOK
		if err == nil {
			a.Body.Close()
		}
		stop()
		over := false
		s.locked(func() {
			was := n.misses
			if n.misses++; ok {
				n.misses = 0
			}
			if !s.over && (was < 2) != (n.misses < 2) {
				s.note("router: %s in rotation: %v", n.name, n.misses < 2)
			}
			over = s.over
		})
		if over {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the front to which the routers send a client's packet, by a steady hash over the
// nodes of its zone in rotation. The caller must hold s.mu.
func (s *site) route(zone string, flow netip.AddrPort) *node {
	pick := func(eligible func(*node) bool) (best *node) {
		var top uint32
		for _, n := range s.nodes {
			if n.role != "balancer" || !eligible(n) {
				continue
			}
			if x := hashOf(flow.String(), n.name); best == nil || x > top {
				best, top = n, x
			}
		}
		return best
	}
	all, in := 0, 0
	for _, n := range s.nodes {
		if n.role == "balancer" && n.zone == zone {
			all++
			if n.misses < 2 {
				in++
			}
		}
	}
	if in > 0 && 2*in < all {
		return pick(func(n *node) bool { return n.zone == zone })
	}
	if in > 0 {
		return pick(func(n *node) bool { return n.zone == zone && n.misses < 2 })
	}
	if n := pick(func(n *node) bool { return n.misses < 2 && n.region == s.zones[zone] }); n != nil {
		return n
	}
	return pick(func(n *node) bool { return n.misses < 2 })
}

// configure writes a configuration with all routes; cold is cold-per-s of each service, 0 for none.
func (s *site) configure(cold float64) error {
	s.version++
	services := map[string]float64{}
	for _, r := range s.routes {
		services[r.Service] = cold
	}
	c := standin.Configuration(s.version, s.routes, services)
	c["limits"] = map[string]any{"idle-timeout-ms": 15_000}
	if s.version > 1 {
		return s.put(http.MethodPut, "config", "main", c)
	}
	return s.put(http.MethodPost, "config", "main", c)
}

// put creates an object in the store as the operator does, and returns once it is acknowledged.
func (s *site) put(method, kind, name string, spec any) error {
	b, err := json.Marshal(map[string]any{"meta": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	path := "/pomeloway/objects/" + kind
	if method != http.MethodPost {
		path += "/" + name
	}
	r, err := http.NewRequest(method, "http://"+s.at(s.ip(2), portStore).String()+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	a, err := s.client.Do(r)
	if err != nil {
		return err
	}
	a.Body.Close()
	if a.StatusCode >= 300 {
		return fmt.Errorf("store: %s %s: status %d", method, path, a.StatusCode)
	}
	return nil
}

// close ends all processes and stand-ins.
func (s *site) close() {
	s.locked(func() { s.over = true })
	var w sync.WaitGroup
	for _, n := range s.nodes {
		w.Go(func() { s.stop(n, syscall.SIGKILL) })
	}
	w.Wait()
	for _, b := range s.ends {
		b.close()
	}
	for _, c := range s.callers {
		c.conn.Close()
	}
	s.mesh.close()
	s.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.dir)
	}
	s.record.Close()
}
