package node

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// site is the environment of one balancer and one agent with real sockets on the loopback
// interface: a simulated store, and sockets with which the test acts as upstream and caller.
// Each VM has its own address and all have the same ports, as on the platform.
type site struct {
	t        *testing.T
	store    *httptest.Server
	ports    map[string]uint16
	upstream *net.UDPConn
	caller   *net.UDPConn
}

const (
	balancerIP = "127.0.0.11"
	agentIP    = "127.0.0.21"
	callerIP   = "127.0.0.31"
	testKey    = "1:9ow6wBZbFi9UENcfCNG3G_2_cuAmtEZM_WKjhHMBOf0"
	// stepTimeout limits a step of a test. It is far longer than a step takes, so that tests
	// don't fail on a busy machine.
	stepTimeout = 30 * time.Second
)

// freePorts returns a port for each name that is free on every address of the site.
func freePorts(t *testing.T, names ...string) map[string]uint16 {
	out := map[string]uint16{}
	for _, n := range names {
		l, err := net.ListenPacket("udp4", "0.0.0.0:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out[n] = uint16(l.LocalAddr().(*net.UDPAddr).Port)
	}
	return out
}

// newSite starts the simulated store with a configuration, and opens the sockets of the
// upstream and the caller.
func newSite(t *testing.T) *site {
	s := &site{t: t, store: httptest.NewServer(&standin.Platform{}), ports: freePorts(t, "link", "datagram", "outbound", "readiness", "control", "app")}
	t.Cleanup(s.store.Close)
	c := &platform.Client{URL: s.store.URL}
	spec := map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "r", "host": "198.18.0.1", "path-prefix": "/443/", "service": "letters"}},
		"services": []any{map[string]any{"name": "letters"}},
	}
	if _, err := c.Create(t.Context(), platform.KindConfiguration, platform.ConfigurationName, spec); err != nil {
		t.Fatal(err)
	}
	s.upstream, s.caller = s.listen(agentIP, "app"), s.listen(callerIP, "datagram")
	l, err := net.Listen("tcp4", s.at(agentIP, "app")) // a real upstream serves its health check there
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return s
}

// at returns the address with the IP and the named port.
func (s *site) at(ip, port string) string { return fmt.Sprintf("%s:%d", ip, s.ports[port]) }

// listen opens a UDP socket on the IP and the named port.
func (s *site) listen(ip, port string) *net.UDPConn {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.at(ip, port))))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c
}

// options writes the settings file of the VM with the IP and returns the options of its
// program.
func (s *site) options(ip string) Options {
	text := fmt.Sprintf(`ip = %q
zone = "a"
service = "letters"
app = %q
internal-ports = [%d,%d]
seeds = [%q]
[listen]
datagram-address = %q
outbound = %q
readiness-address = %q
control = %q
[platform]
address = %q
`, ip, s.at(ip, "app"), s.ports["link"], s.ports["link"]+9, s.at(balancerIP, "control"), s.at(ip, "datagram"),
		s.at(ip, "outbound"), s.at(ip, "readiness"), s.at(ip, "control"), strings.TrimPrefix(s.store.URL, "http://"))
	path := filepath.Join(s.t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return Options{Settings: path, Keys: []string{testKey}}
}

// run starts a program and returns a function that stops it and waits for its end.
func (s *site) run(p interface {
	Run(context.Context) error
}) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	return func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				s.t.Error(err)
			}
		case <-time.After(stepTimeout):
			s.t.Error("the program did not stop in time")
		}
	}
}

// eventually waits until f returns true, and fails the test if that takes too long.
func (s *site) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); {
		if f() {
			return
		}
	}
	s.t.Fatal("did not happen in time: " + what)
}

// read returns the next packet, or nil if none arrives within 100 ms.
func read(c *net.UDPConn) []byte {
	b := make([]byte, 2000)
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	n, err := c.Read(b)
	if err != nil {
		return nil
	}
	return b[:n]
}

// testPacket returns a packet from src to dst that consists of a header only.
func testPacket(src, dst string, flags byte, seq, ack uint32) []byte {
	b := make([]byte, 31)
	x, y := netip.MustParseAddrPort(src), netip.MustParseAddrPort(dst)
	binary.BigEndian.PutUint32(b, seq)
	binary.BigEndian.PutUint32(b[4:], ack)
	b[12] = flags
	d, o := y.Addr().As4(), x.Addr().As4()
	copy(b[13:], d[:])
	copy(b[17:], o[:])
	binary.BigEndian.PutUint16(b[21:], x.Port())
	binary.BigEndian.PutUint16(b[23:], y.Port())
	return b
}

// Guards against a restart of the balancer that breaks an open flow.
func TestFlowSurvivesBalancerRestart(t *testing.T) {
	s := newSite(t)
	newBalancer := func() func() {
		b, err := NewBalancer(s.options(balancerIP), nil)
		if err != nil {
			t.Fatal(err)
		}
		return s.run(b)
	}
	stopBalancer := newBalancer()
	a, err := NewAgent(s.options(agentIP), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.run(a)()
	ready := func() bool {
		r, err := http.Get("http://" + s.at(balancerIP, "readiness") + "/pomeloway/readiness")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	}
	s.eventually("heartbeat acknowledged", func() bool {
		body, _ := json.Marshal(map[string]any{"service": "letters", "address": s.at(agentIP, "app"), "slots": 5, "state": "ready", "sequence": 1, "born": 7})
		r, err := http.Post("http://"+s.at(agentIP, "control")+"/pomeloway/instances/i-1/heartbeat", "application/json", strings.NewReader(string(body)))
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	s.eventually("balancer ready", ready)
	caller, address := callerIP+":40001", "198.18.0.1:443"
	send := func(flags byte, seq, ack uint32) {
		to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.at(balancerIP, "datagram")))
		if _, err := s.caller.WriteToUDP(testPacket(caller, address, flags, seq, ack), to); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("opening packet at the upstream", func() bool {
		send(8, 100, 0)
		b := read(s.upstream)
		return b != nil && b[12] == 8
	})
	out := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.at(agentIP, "outbound")))
	if _, err := s.upstream.WriteToUDP(testPacket(address, caller, 8|2, 500, 101), out); err != nil {
		t.Fatal(err)
	}
	s.eventually("accepting packet at the caller", func() bool {
		b := read(s.caller)
		return b != nil && b[12] == 8|2
	})
	arrives := func() bool {
		send(2, 101, 501)
		b := read(s.upstream)
		return b != nil && b[12] == 2 && binary.BigEndian.Uint32(b[4:]) == 501
	}
	s.eventually("the caller's packet at the upstream", arrives)
	stopBalancer()
	stopBalancer = newBalancer()
	defer func() { stopBalancer() }()
	s.eventually("balancer ready again", ready)
	s.eventually("the caller's packet at the upstream after the balancer's restart", arrives)
}

// Guards against sockets that stay open, so that a restart within the process can't listen
// there, if a program fails to start because one of its ports is in use.
func TestFailedStartClosesSockets(t *testing.T) {
	for name, x := range map[string]struct {
		ip, taken string
		start     func(Options) (interface{ Run(context.Context) error }, error)
	}{
		"balancer": {balancerIP, "readiness", func(o Options) (interface{ Run(context.Context) error }, error) { return NewBalancer(o, nil) }},
		"agent":    {agentIP, "control", func(o Options) (interface{ Run(context.Context) error }, error) { return NewAgent(o, nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			l, err := net.Listen("tcp4", s.at(x.ip, x.taken))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			p, err := x.start(s.options(x.ip))
			if err != nil {
				t.Fatal(err)
			}
			if err := p.Run(t.Context()); err == nil {
				t.Error("started although a port is in use")
			}
			c, err := net.ListenPacket("udp4", s.at(x.ip, "link"))
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		})
	}
}
