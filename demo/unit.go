package demo

import (
	"cmp"
	"net"
	"net/http"
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/standin"
)

// AddUpstream starts a cold upstream of the i-th service with its agent.
func (s *Site) AddUpstream(i int, z bundle.ZoneID) (*unit, error) {
	return s.startUnit(i, z, s.newHost())
}

// startUnit starts a cold upstream of the i-th service with its agent at the
// address.
func (s *Site) startUnit(i int, z bundle.ZoneID, h netip.Addr) (*unit, error) {
	d := s.Deployment.Services[i]
	u := &unit{
		Upstream: &standin.Upstream{
			Service: string(d.Name), Name: h.String(), Zone: string(s.Deployment.Zones[z-1]),
			Slots: d.Slots, ColdSlots: coldSlots, ColdAnswers: coldAnswers, Work: cmp.Or(d.Work, upstreamWork), Ledger: s.Ledger,
		},
		service: i, zone: z, done: make(chan struct{}),
	}
	l, err := net.Listen("tcp", netip.AddrPortFrom(h, 0).String())
	if err != nil {
		return nil, err
	}
	u.server = standin.NewServer(u.Handler())
	s.wait.Go(func() { u.server.Serve(l) })
	u.opts = agent.Options{
		Options: s.options(h, z), Service: bundle.ServiceID(i + 1), Health: s.health,
		Upstream: l.Addr().(*net.TCPAddr).AddrPort(), Protocol: d.Protocol, TLS: s.serve, Drain: time.Hour,
		Wrap: func(t http.RoundTripper) http.RoundTripper { return witness{t, u.Upstream} },
	}
	return u, s.startAgent(u)
}

// upstreamWork is the time that a warm upstream takes for a request by default.
const upstreamWork = 20 * time.Millisecond

// startAgent starts the agent of the unit and adds the unit to the running ones.
func (s *Site) startAgent(u *unit) error {
	a, err := agent.New(u.opts, s.log, s.off)
	if err != nil {
		return err
	}
	a.Node.Lag = s.Lag
	u.agent, u.stop = a, s.begin("agent", a.Run, u.done)
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.ever = append(s.ever, u)
	s.mu.Unlock()
	return nil
}

// StopUnit stops an upstream and its agent gracefully.
func (s *Site) StopUnit(u *unit) {
	u.stop()
	<-u.done
	s.removeUnit(u)
	u.server.Close()
}

// KillUnit stops an upstream and its agent without a graceful shutdown, as the
// loss of their VM does.
func (s *Site) KillUnit(u *unit) {
	s.removeUnit(u)
	u.gone.Store(true)
	u.server.Close()
	u.agent.Kill()
	<-u.done
}

func (s *Site) removeUnit(u *unit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.upstreams {
		if x == u {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			return
		}
	}
}
