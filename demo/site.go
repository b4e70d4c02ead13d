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

// Site is a site that runs in this process.
type Site struct {
	Deployment Deployment
	Platform   *standin.Platform
	Fabric     *standin.Fabric
	Ledger     *standin.Ledger
	Bundles    *operator.BundleClient

	// Lag returns a delay for each change that a process receives from its peers or
	// the platform. It applies to processes started after it is set; nil means no
	// delay.
	Lag func() time.Duration

	// healthPath is the path of the agents' health checks; empty means none.
	healthPath     string
	log            *slog.Logger
	off            guard.Off
	key            keyring.Secret
	signingKey     minisign.PrivateKey
	trustedKey     string
	callerTLS      *tls.Config
	agentTLS       *tls.Config
	processOctet   byte
	siteOctet      byte
	platformServer *http.Server
	platformURL    string

	// mu protects the fields below, except wait.
	mu        sync.Mutex
	lastHost  byte
	balancers []*balancerVM // running
	upstreams []*upstreamVM // running
	started   []*upstreamVM // including stopped ones
	zonesOut  map[bundle.ZoneID]bool
	wait      sync.WaitGroup
}

// balancerVM is a balancer with its address and zone.
type balancerVM struct {
	*balancer.Balancer
	host netip.Addr
	zone bundle.ZoneID
	stop context.CancelFunc
	done chan struct{}
}

// upstreamVM is an upstream with its agent, as they run on one VM.
type upstreamVM struct {
	*standin.Upstream
	agent   *agent.Agent
	opts    agent.Options
	service int
	zone    bundle.ZoneID
	server  *http.Server
	stop    context.CancelFunc
	done    chan struct{}
	killed  atomic.Bool
}

// Hosts of a site in the network 127.processOctet.siteOctet.0/24, and the ports of
// a process. The fabric has a fixed host; balancers and upstreams get ascending
// hosts after firstHost.
const (
	fabricHost   = 250
	firstHost    = 1
	linkPort     = 7001
	peerPort     = 7002
	operatorPort = 7003
)

// siteCount counts the sites that this process has created.
var siteCount atomic.Uint32

// NewSite returns a site on which only the platform and the fabric run.
func NewSite(d Deployment, l *slog.Logger, off guard.Off) (*Site, error) {
	s := &Site{
		Deployment: d, Platform: &standin.Platform{}, Fabric: standin.NewFabric(), Ledger: &standin.Ledger{},
		log: l, off: off, healthPath: "/healthz", key: keyring.NewSecret(1), lastHost: firstHost,
		// The process ID and the site's number keep sites on one machine on
		// different networks.
		processOctet: byte(10 + os.Getpid()%240), siteOctet: byte(siteCount.Add(1)),
	}
	key, v, err := bundle.NewOperatorKey()
	if err != nil {
		return nil, err
	}
	s.signingKey, s.trustedKey = key, v.Keys[0].String()
	if s.agentTLS, s.callerTLS, err = selfSigned(); err != nil {
		return nil, err
	}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	s.Bundles = &operator.BundleClient{Store: &platform.Client{URL: s.platformURL}, Verifier: v}
	for i := range d.Services {
		if err := s.Fabric.Open(s.ServiceAddress(i)); err != nil {
			return nil, eris.Wrap(err, "fabric")
		}
	}
	return s, nil
}

// startPlatform serves the platform stand-in over HTTP.
func (s *Site) startPlatform() error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(s.addr(fabricHost), 0).String())
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	s.platformURL = "http://" + l.Addr().String()
	s.platformServer = &http.Server{Handler: s.Platform}
	s.wait.Go(func() { s.platformServer.Serve(l) })
	return nil
}

// addr returns the address of a host of the site.
func (s *Site) addr(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.processOctet, s.siteOctet, host})
}

// newHost returns the next unused address of the site.
func (s *Site) newHost() netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHost++
	return s.addr(s.lastHost)
}

// ServiceAddress returns the address at which callers reach the i-th service.
func (s *Site) ServiceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(s.addr(fabricHost), servicePort(i))
}

// Start accepts the first bundle, starts all balancers and upstreams of the
// deployment, and waits until the site is ready.
func (s *Site) Start(ctx context.Context) error {
	if err := s.acceptBundle(ctx, s.Deployment.BundleText(s.addr(fabricHost), s.key)); err != nil {
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

// acceptBundle signs the bundle text and makes it the accepted bundle.
func (s *Site) acceptBundle(ctx context.Context, text []byte) error {
	b, err := s.Bundles.Sign(ctx, text, "demo", s.signingKey)
	if err != nil {
		return err
	}
	_, err = s.Bundles.Accept(ctx, b)
	return err
}

// options returns the options of a process on the host in the zone.
func (s *Site) options(h netip.Addr, z bundle.ZoneID) process.Options {
	return process.Options{
		Zone: z, Link: netip.AddrPortFrom(h, linkPort), Peer: netip.AddrPortFrom(h, peerPort),
		Operator: netip.AddrPortFrom(h, operatorPort), Platform: s.platformURL,
		Keys: []string{s.key.Reveal()}, Trust: []string{s.trustedKey}, Seeds: s.seeds(),
	}
}

// seeds returns the peer addresses of the running balancers.
func (s *Site) seeds() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []netip.AddrPort
	for _, b := range s.balancers {
		out = append(out, netip.AddrPortFrom(b.host, peerPort))
	}
	return out
}

// AddBalancer starts a balancer in the zone. It receives no datagrams of callers
// before the next SyncFabric.
func (s *Site) AddBalancer(z bundle.ZoneID) (*balancerVM, error) {
	h := s.newHost()
	b, err := balancer.New(balancer.Options{Options: s.options(h, z), Bind: h}, s.log, s.off)
	if err != nil {
		return nil, err
	}
	b.Node.Lag = s.Lag
	e := &balancerVM{Balancer: b, host: h, zone: z, done: make(chan struct{})}
	e.stop = s.runProgram("balancer", b.Run, e.done)
	s.mu.Lock()
	s.balancers = append(s.balancers, e)
	s.mu.Unlock()
	return e, nil
}

// runProgram runs a program in the background and closes done when it returns. The
// returned function stops the program gracefully.
func (s *Site) runProgram(name string, run func(context.Context) error, done chan struct{}) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	s.wait.Go(func() {
		defer close(done)
		if err := run(ctx); err != nil {
			s.log.Error(name+" stopped with an error", "error", err)
		}
	})
	return stop
}

// SyncFabric makes the fabric distribute datagrams over the balancers that report
// ready, and over the extra ones.
func (s *Site) SyncFabric(extra ...*balancerVM) {
	s.mu.Lock()
	var live []*balancerVM
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
		s.Fabric.SetBalancers(s.ServiceAddress(i), to)
	}
}

// KillBalancer stops a balancer without a graceful shutdown, as a crash does.
func (s *Site) KillBalancer(e *balancerVM) {
	s.removeBalancer(e)
	e.Kill()
	<-e.done
}

// StopBalancer stops a balancer gracefully.
func (s *Site) StopBalancer(e *balancerVM) {
	e.stop()
	<-e.done
	s.removeBalancer(e)
}

func (s *Site) removeBalancer(e *balancerVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.balancers {
		if b == e {
			s.balancers = append(s.balancers[:i:i], s.balancers[i+1:]...)
			return
		}
	}
}

// RunningUpstreams returns the running upstreams.
func (s *Site) RunningUpstreams() []*upstreamVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*upstreamVM(nil), s.upstreams...)
}

// Balancers returns the running balancers.
func (s *Site) Balancers() []*balancerVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*balancerVM(nil), s.balancers...)
}

// startedUpstreams returns all upstreams that were started, including stopped
// ones.
func (s *Site) startedUpstreams() []*upstreamVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*upstreamVM(nil), s.started...)
}

// upstreamOf returns the running upstream of the agent, or nil.
func (s *Site) upstreamOf(agent string) *upstreamVM {
	for _, u := range s.RunningUpstreams() {
		if string(u.agent.Node.Self().ID) == agent {
			return u
		}
	}
	return nil
}

// feedCount returns the number of feeds that are open at the running upstreams.
func (s *Site) feedCount() (n int64) {
	for _, u := range s.RunningUpstreams() {
		n += u.Feeds.Load()
	}
	return n
}

// flowCount returns the number of flows that are open at the running agents.
func (s *Site) flowCount() (n int) {
	for _, u := range s.RunningUpstreams() {
		n += u.agent.Counts().Flows
	}
	return n
}

// markZoneOut records that operators have taken the zone out of service, so that
// the end of its flows is expected.
func (s *Site) markZoneOut(z bundle.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zonesOut == nil {
		s.zonesOut = map[bundle.ZoneID]bool{}
	}
	s.zonesOut[z] = true
}

// clearZoneOut records that the zone is in service again.
func (s *Site) clearZoneOut(z bundle.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.zonesOut, z)
}

// isZoneOut reports whether the zone is out of service.
func (s *Site) isZoneOut(z bundle.ZoneID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zonesOut[z]
}

// isAnyZoneOut reports whether any zone is out of service.
func (s *Site) isAnyZoneOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.zonesOut) > 0
}

// wasKilled reports whether the agent's VM was killed.
func (s *Site) wasKilled(agent string) bool {
	for _, u := range s.startedUpstreams() {
		if u.killed.Load() && string(u.agent.Node.Self().ID) == agent {
			return true
		}
	}
	return false
}

// pollInterval is the interval at which poll checks its condition.
const pollInterval = 20 * time.Millisecond

// WaitInForce waits until every process has accepted the bundle version or a later
// one.
func (s *Site) WaitInForce(ctx context.Context, v bundle.Version) error {
	return poll(ctx, func() bool {
		for _, b := range s.Balancers() {
			if a := b.State.Accepted(); a == nil || a.Version < v {
				return false
			}
		}
		for _, u := range s.RunningUpstreams() {
			if a := u.agent.State.Accepted(); a == nil || a.Version < v {
				return false
			}
		}
		return true
	})
}

// WaitReady waits until every balancer is ready and knows every agent, then
// updates the fabric.
func (s *Site) WaitReady(ctx context.Context) error {
	return poll(ctx, func() bool {
		n := len(s.RunningUpstreams())
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

// poll waits until the condition holds or the context ends.
func poll(ctx context.Context, ok func() bool) error {
	t := time.NewTicker(pollInterval)
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

// Close stops all processes of the site without a graceful shutdown.
func (s *Site) Close() {
	for _, u := range s.RunningUpstreams() {
		s.KillUpstream(u)
	}
	for _, b := range s.Balancers() {
		s.KillBalancer(b)
	}
	s.Fabric.Close()
	s.platformServer.Close()
	s.wait.Wait()
}
