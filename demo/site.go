package demo

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"aead.dev/minisign"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/balancer"
	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/operator"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/process"
	"pomeloway.example/pomeloway/standin"
)

// Site is a running site.
type Site struct {
	Deployment Deployment
	Platform   *standin.Platform
	Fabric     *standin.Fabric
	Ledger     *standin.Ledger
	Desk       *operator.Desk

	// Lag makes the views of the processes that start later arrive unevenly.
	Lag func() time.Duration

	health  string
	log     *slog.Logger
	off     guard.Off
	key     keyring.Secret
	sign    minisign.PrivateKey
	trust   string
	callers *tls.Config
	serve   *tls.Config
	net     byte
	index   byte
	store   *http.Server
	url     string

	mu        sync.Mutex
	host      byte
	balancers []*entry
	upstreams []*unit
	ever      []*unit
	out       map[bundle.ZoneID]bool
	wait      sync.WaitGroup
}

// entry is a running balancer.
type entry struct {
	*balancer.Balancer
	host netip.Addr
	zone bundle.ZoneID
	stop context.CancelFunc
	done chan struct{}
}

// unit is an upstream with its agent.
type unit struct {
	*standin.Upstream
	agent   *agent.Agent
	opts    agent.Options
	service int
	zone    bundle.ZoneID
	server  *http.Server
	stop    context.CancelFunc
	done    chan struct{}
	gone    atomic.Bool
}

// Hosts of a site below 127.net.index: the fabric has the last, the others are
// given out from the first.
const (
	fabricHost = 250
	firstHost  = 1
	linkPort   = 7001
	peerPort   = 7002
	pagePort   = 7003
)

var sites atomic.Uint32

// NewSite prepares a site; nothing runs yet but the platform and the fabric.
func NewSite(d Deployment, l *slog.Logger, off guard.Off) (*Site, error) {
	s := &Site{
		Deployment: d, Platform: &standin.Platform{}, Fabric: standin.NewFabric(), Ledger: &standin.Ledger{},
		log: l, off: off, health: "/healthz", key: keyring.NewSecret(1), host: firstHost,
		// Sites of several programs on one machine keep apart by their number.
		net: byte(10 + os.Getpid()%240), index: byte(sites.Add(1)),
	}
	key, v, err := bundle.NewOperator()
	if err != nil {
		return nil, err
	}
	s.sign, s.trust = key, v.Keys[0].String()
	if s.serve, s.callers, err = selfSigned(); err != nil {
		return nil, err
	}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	s.Desk = &operator.Desk{Store: &platform.Client{URL: s.url}, Verifier: v}
	for i := range d.Services {
		if err := s.Fabric.Open(s.ServiceAddress(i)); err != nil {
			return nil, eris.Wrap(err, "fabric")
		}
	}
	return s, nil
}

func (s *Site) startPlatform() error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(s.addr(fabricHost), 0).String())
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	s.url = "http://" + l.Addr().String()
	s.store = &http.Server{Handler: s.Platform}
	s.wait.Go(func() { s.store.Serve(l) })
	return nil
}

func (s *Site) addr(host byte) netip.Addr { return netip.AddrFrom4([4]byte{127, s.net, s.index, host}) }

func (s *Site) newHost() netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.host++
	return s.addr(s.host)
}

// ServiceAddress returns where callers reach the i-th service.
func (s *Site) ServiceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(s.addr(fabricHost), servicePort(i))
}

// Start accepts the first bundle and starts everything.
func (s *Site) Start(ctx context.Context) error {
	if err := s.acceptText(ctx, s.Deployment.Text(s.addr(fabricHost), s.key)); err != nil {
		return err
	}
	zones := len(s.Deployment.Zones)
	for i := range s.Deployment.Balancers {
		if _, err := s.AddBalancer(bundle.ZoneID(i%zones + 1)); err != nil {
			return err
		}
	}
	n := 0
	for i, z := range s.Deployment.Services {
		for range z.Upstreams {
			if _, err := s.AddUpstream(i, bundle.ZoneID(n%zones+1)); err != nil {
				return err
			}
			n++
		}
	}
	return s.WaitReady(ctx)
}

func (s *Site) acceptText(ctx context.Context, text []byte) error {
	b, err := s.Desk.Sign(ctx, text, "demo", s.sign)
	if err != nil {
		return err
	}
	_, err = s.Desk.Accept(ctx, b)
	return err
}

func (s *Site) options(h netip.Addr, z bundle.ZoneID) process.Options {
	return process.Options{
		Zone: z, Link: netip.AddrPortFrom(h, linkPort), Peer: netip.AddrPortFrom(h, peerPort),
		Operator: netip.AddrPortFrom(h, pagePort), Platform: s.url,
		Keys: []string{s.key.Reveal()}, Trust: []string{s.trust}, Seeds: s.seeds(),
	}
}

// seeds returns the peer addresses of some balancers.
func (s *Site) seeds() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []netip.AddrPort
	for _, b := range s.balancers {
		out = append(out, netip.AddrPortFrom(b.host, peerPort))
	}
	return out
}

// AddBalancer starts a balancer in the zone and tells the fabric.
func (s *Site) AddBalancer(z bundle.ZoneID) (*entry, error) {
	h := s.newHost()
	b, err := balancer.New(balancer.Options{Options: s.options(h, z), Bind: h}, s.log, s.off)
	if err != nil {
		return nil, err
	}
	b.Node.Lag = s.Lag
	e := &entry{Balancer: b, host: h, zone: z, done: make(chan struct{})}
	e.stop = s.begin("balancer", b.Run, e.done)
	s.mu.Lock()
	s.balancers = append(s.balancers, e)
	s.mu.Unlock()
	return e, nil
}

// begin runs a program until it ends, which closes done; the function that it
// returns asks it to stop gracefully.
func (s *Site) begin(name string, run func(context.Context) error, done chan struct{}) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	s.wait.Go(func() {
		defer close(done)
		if err := run(ctx); err != nil {
			s.log.Error(name+" ended", "error", err)
		}
	})
	return stop
}

// SyncFabric makes the fabric spray over the balancers that say they are ready.
func (s *Site) SyncFabric(extra ...*entry) {
	s.mu.Lock()
	var live []*entry
	for _, b := range s.balancers {
		if b.Status().Ready {
			live = append(live, b)
		}
	}
	s.mu.Unlock()
	for i := range s.Deployment.Services {
		var to []netip.AddrPort
		for _, b := range append(live, extra...) {
			to = append(to, netip.AddrPortFrom(b.host, servicePort(i)))
		}
		s.Fabric.Set(s.ServiceAddress(i), to)
	}
}

// Kill ends a balancer as a crash would.
func (s *Site) Kill(e *entry) {
	s.removeBalancer(e)
	e.Kill()
	<-e.done
}

// StopBalancer stops a balancer gracefully.
func (s *Site) StopBalancer(e *entry) {
	e.stop()
	<-e.done
	s.removeBalancer(e)
}

func (s *Site) removeBalancer(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.balancers {
		if b == e {
			s.balancers = append(s.balancers[:i:i], s.balancers[i+1:]...)
			return
		}
	}
}

// Units returns the running upstreams.
func (s *Site) Units() []*unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*unit(nil), s.upstreams...)
}

// Balancers returns the running balancers.
func (s *Site) Balancers() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*entry(nil), s.balancers...)
}

// all returns every upstream that ever ran.
func (s *Site) all() []*unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*unit(nil), s.ever...)
}

// unitOf returns the running unit of the agent.
func (s *Site) unitOf(agent string) *unit {
	for _, u := range s.Units() {
		if string(u.agent.Node.Self().ID) == agent {
			return u
		}
	}
	return nil
}

// feeds returns the feeds open at upstreams, flows the flows open at agents.
func (s *Site) feeds() (n int64) {
	for _, u := range s.Units() {
		n += u.Feeds.Load()
	}
	return n
}

func (s *Site) flows() (n int) {
	for _, u := range s.Units() {
		n += u.agent.Counts().Flows
	}
	return n
}

// markOut notes that operators took the zone out; its flows are given up.
func (s *Site) markOut(z bundle.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out == nil {
		s.out = map[bundle.ZoneID]bool{}
	}
	s.out[z] = true
}

// clearOut notes that the zone is back.
func (s *Site) clearOut(z bundle.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.out, z)
}

func (s *Site) wasOut(z bundle.ZoneID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out[z]
}

func (s *Site) anyOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.out) > 0
}

// wasKilled reports whether the agent's VM was killed.
func (s *Site) wasKilled(agent string) bool {
	for _, u := range s.all() {
		if u.gone.Load() && string(u.agent.Node.Self().ID) == agent {
			return true
		}
	}
	return false
}

// readyPoll is how often waiting for the site looks again.
const readyPoll = 20 * time.Millisecond

// InForce waits until the version is in force in every process.
func (s *Site) InForce(ctx context.Context, v bundle.Version) error {
	return poll(ctx, func() bool {
		for _, b := range s.Balancers() {
			if a := b.State.Accepted(); a == nil || a.Version < v {
				return false
			}
		}
		for _, u := range s.Units() {
			if a := u.agent.State.Accepted(); a == nil || a.Version < v {
				return false
			}
		}
		return true
	})
}

// WaitReady waits until every balancer is ready and knows every agent.
func (s *Site) WaitReady(ctx context.Context) error {
	return poll(ctx, func() bool {
		n := len(s.Units())
		for _, b := range s.Balancers() {
			st := b.Status()
			known := 0
			for _, m := range st.Members {
				if m.Role == "agent" {
					known++
				}
			}
			if !st.Ready || known < n {
				return false
			}
		}
		s.SyncFabric()
		return true
	})
}

func poll(ctx context.Context, ok func() bool) error {
	t := time.NewTicker(readyPoll)
	defer t.Stop()
	for !ok() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "waiting for the site")
		}
	}
	return nil
}

// Close ends everything at once.
func (s *Site) Close() {
	for _, u := range s.Units() {
		s.KillUnit(u)
	}
	for _, b := range s.Balancers() {
		s.Kill(b)
	}
	s.Fabric.Close()
	s.store.Close()
	s.wait.Wait()
}
