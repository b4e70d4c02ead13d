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
func (s *Site) AddUpstream(i int, z bundle.ZoneID) (*upstreamVM, error) {
	return s.startUpstream(i, z, s.newHost())
}

// startUpstream starts a cold upstream of the i-th service with its agent at the
// address.
func (s *Site) startUpstream(i int, z bundle.ZoneID, h netip.Addr) (*upstreamVM, error) {
	d := s.Deployment.Services[i]
	u := &upstreamVM{
		Upstream: &standin.Upstream{
			Service: string(d.Name), Name: h.String(), Zone: string(s.Deployment.Zones[z-1]),
			Slots: d.Slots, ColdSlots: coldSlots, ColdAnswers: coldAnswers, Work: cmp.Or(d.Work, defaultWork), Ledger: s.Ledger,
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
		Options: s.options(h, z), Service: bundle.ServiceID(i + 1), Health: s.healthPath,
		Upstream: l.Addr().(*net.TCPAddr).AddrPort(), Protocol: d.Protocol, TLS: s.agentTLS, Drain: time.Hour,
		Wrap: func(t http.RoundTripper) http.RoundTripper { return observingTransport{t, u.Upstream} },
	}
	return u, s.startAgent(u)
}

// defaultWork is the time that a warm upstream takes for a request by default.
const defaultWork = 20 * time.Millisecond

// startAgent starts the agent of u and adds u to the running upstreams.
func (s *Site) startAgent(u *upstreamVM) error {
	a, err := agent.New(u.opts, s.log, s.off)
	if err != nil {
		return err
	}
	a.Node.Lag = s.Lag
	u.agent, u.stop = a, s.runProgram("agent", a.Run, u.done)
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.started = append(s.started, u)
	s.mu.Unlock()
	return nil
}

// StopUpstream stops an upstream and its agent gracefully.
func (s *Site) StopUpstream(u *upstreamVM) {
	u.stop()
	<-u.done
	s.removeUpstream(u)
	u.server.Close()
}

// KillUpstream stops an upstream and its agent without a graceful shutdown, as the
// loss of their VM does.
func (s *Site) KillUpstream(u *upstreamVM) {
	s.removeUpstream(u)
	u.killed.Store(true)
	u.server.Close()
	u.agent.Kill()
	<-u.done
}

func (s *Site) removeUpstream(u *upstreamVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.upstreams {
		if x == u {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			return
		}
	}
}
