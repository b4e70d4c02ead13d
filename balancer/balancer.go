// Package balancer implements the balancer, the process on an entry VM that
// forwards datagrams from callers to agents and back. It keeps no per-flow state.
package balancer

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/process"
)

// Balancer forwards the datagrams of all services of the bundle in force.
type Balancer struct {
	*process.Process
	opts Options
	// off is the disabled guard, if any.
	off   guard.Off
	link  *link.Socket
	view  atomic.Pointer[View]
	ports atomic.Pointer[portMap]

	leaving atomic.Bool
	// kill is closed by Kill.
	kill   chan struct{}
	killed sync.Once

	mu       sync.Mutex
	counters []*Counters
	// closedCounts sums up the counters of forwarders that have ended.
	closedCounts Counts
	closed       bool
	// portsMissing is set while a service's address can't be listened on.
	portsMissing bool
	// wait waits for the forwarders.
	wait sync.WaitGroup
	// outSince maps each availability zone that is out of service to the time at
	// which this balancer learned of it.
	outSince map[bundle.ZoneID]time.Time
}

// New returns a balancer with its link socket open. Run opens the sockets of the
// services.
func New(o Options, l *slog.Logger, off guard.Off) (*Balancer, error) {
	s, err := link.Listen(o.Link)
	if err != nil {
		return nil, eris.Wrap(err, "--link")
	}
	o.Link = s.Addr()
	o.Forwarders = max(o.Forwarders, 1)
	p, err := process.New(o.Options, fleet.RoleBalancer, 0, l, nil)
	if err != nil {
		s.Close()
		return nil, err
	}
	b := &Balancer{Process: p, off: off, opts: o, link: s, outSince: map[bundle.ZoneID]time.Time{}, kill: make(chan struct{})}
	b.view.Store(&View{linkKeys: link.NewKeys(p.Keys())})
	b.ports.Store(&portMap{})
	p.SetProgramState(func() any { return b.Counts() })
	return b, nil
}

// Run forwards datagrams until the context ends or Kill is called. When the
// context ends, the balancer leaves the fleet gracefully before Run returns.
func (b *Balancer) Run(stopped context.Context) error {
	var g run.Group
	b.AddTo(&g)
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return b.leave(ctx, stopped) }, func(error) { stop() })
	acks := make(chan ack, ackQueueSize)
	o := &observer{node: b.Node, link: b.link, view: &b.view, log: b.Log, acks: acks}
	r := &returner{link: b.link, view: &b.view, ports: &b.ports, incarnation: uint64(b.Node.Self().Incarnation), acks: acks, count: b.newCounters()}
	g.Add(func() error { return b.updateViews(ctx) }, func(error) { stop() })
	g.Add(func() error { return o.run(ctx) }, func(error) { stop() })
	g.Add(func() error { return ignoreAfterCancel(ctx, r.run()) }, func(error) { b.close() })
	b.Log.Add(events.Started, slog.String("program", "balancer"), slog.String("link", b.link.Addr().String()))
	err := g.Run()
	b.wait.Wait()
	b.Log.Add(events.Stopped, slog.String("program", "balancer"))
	return err
}

// leaveDelay is how long a leaving balancer continues to forward. It gives the
// network fabric and the agents time to stop selecting this balancer.
const leaveDelay = 3 * time.Second

// leave waits for the stop context, announces the leaving phase, and returns
// after leaveDelay, which ends the run group.
func (b *Balancer) leave(ctx, stopped context.Context) error {
	select {
	case <-stopped.Done():
	case <-b.kill:
		return nil
	case <-ctx.Done():
		return nil
	}
	b.Log.Add(events.Draining, slog.String("program", "balancer"))
	b.leaving.Store(true)
	b.SetReady(false)
	b.Node.SetPhase(fleet.PhaseLeaving)
	t := time.NewTimer(leaveDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.kill:
		return nil
	case <-ctx.Done():
	}
	b.Node.Leave()
	return nil
}

// Kill stops the balancer immediately and without announcing it, like a crash.
func (b *Balancer) Kill() { b.killed.Do(func() { close(b.kill) }) }

// ignoreAfterCancel returns nil if the context has ended, and err otherwise. A
// reader whose socket is closed on shutdown returns an error that is no failure.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// close closes the link socket and the sockets of all services.
func (b *Balancer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.link.Close()
	for _, p := range *b.ports.Load() {
		p.close()
	}
}

// updateViews builds a new view on each change of the fleet state.
func (b *Balancer) updateViews(ctx context.Context) error {
	t := time.NewTicker(viewRefreshInterval)
	defer t.Stop()
	for {
		changed := b.State.Changed()
		if a := b.State.Accepted(); a != nil {
			b.applyBundle(a)
		}
		select {
		case <-changed:
		case <-t.C: // whether a member is doubted also depends on the time
		case <-ctx.Done():
			return nil
		}
	}
}

// viewRefreshInterval is how often the view is rebuilt without a change.
const viewRefreshInterval = 5 * time.Second

// applyBundle stores a view built from the bundle and the fleet state. If the bundle
// version changed, it also updates the peer identity and the service sockets.
func (b *Balancer) applyBundle(a *bundle.Accepted) {
	r, err := b.KeysFor(a)
	if err != nil {
		b.Log.Add(events.BundleRefused, slog.Uint64("version", uint64(a.Version)), slog.String("error", err.Error()))
	}
	if len(r) == 0 {
		return
	}
	ms, _ := b.State.Snapshot()
	old := b.view.Load()
	if old.Version != a.Version {
		b.updateZones(a.Bundle)
	}
	v := NewView(a, r, ms, b.State.Doubted())
	v.off = b.off
	b.scheduleResets(v, a.Bundle)
	b.view.Store(v)
	if old.Version != v.Version {
		if err := b.SetPeerKeys(r); err != nil {
			b.Log.Add(events.BundleRefused, slog.Uint64("version", uint64(a.Version)), slog.String("error", err.Error()))
		}
	}
	if old.Version != v.Version || b.arePortsMissing() {
		b.updatePorts(a.Bundle)
	}
	b.SetReady(!v.zoneOut[b.opts.Zone] && !b.leaving.Load())
}

// updateZones records which zones are out of service and logs each change.
func (b *Balancer) updateZones(x *bundle.Bundle) {
	for _, z := range x.Zones {
		_, was := b.outSince[z.ID]
		switch out := z.State == bundle.ZoneStateOut; {
		case out && !was:
			b.outSince[z.ID] = time.Now()
			b.Log.Add(events.ZoneOut, slog.String("zone", string(z.Name)))
		case !out && was:
			delete(b.outSince, z.ID)
			b.Log.Add(events.ZoneIn, slog.String("zone", string(z.Name)))
		}
	}
}

// scheduleResets sets the time from which the balancer answers datagrams to zones
// that are out with stateless resets. The agents of such a zone have ZoneOutRun to
// close their flows, counted from when this balancer learned that the zone is out;
// a caller that received its agent's close gets no reset.
func (b *Balancer) scheduleResets(v *View, x *bundle.Bundle) {
	delay := x.Timeouts.OrDefault().ZoneOutRun + resetMargin
	for _, z := range x.Zones {
		if t, out := b.outSince[z.ID]; out {
			v.resetFrom[z.ID] = uint32(t.Add(delay).Unix())
		}
	}
}

// arePortsMissing reports whether a service's address could not be listened on.
func (b *Balancer) arePortsMissing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.portsMissing
}

// updatePorts opens and closes sockets to match the services of the bundle. A service whose
// new address can't be listened on keeps its old port, and updateViews tries again.
func (b *Balancer) updatePorts(x *bundle.Bundle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	old, next := *b.ports.Load(), portMap{}
	b.portsMissing = false
	for i := range x.Services {
		s := &x.Services[i]
		a := s.Address
		if b.opts.Bind.IsValid() {
			a = netip.AddrPortFrom(b.opts.Bind, a.Port())
		}
		if p := old[s.ID]; p != nil && p.local == a {
			next[s.ID] = p
			continue
		}
		p := b.openPort(s.ID, a)
		if p == nil {
			b.portsMissing = true
			p = old[s.ID] // serves callers that use the old address
		}
		if p != nil {
			next[s.ID] = p
		}
	}
	b.ports.Store(&next)
	for id, p := range old {
		if next[id] != p {
			p.close()
		}
	}
}

// openPort opens the sockets of one service and starts their forwarders. It
// returns nil if a socket can't be opened. b.mu must be held.
func (b *Balancer) openPort(id bundle.ServiceID, a netip.AddrPort) *port {
	listen := link.Listen
	if b.opts.Forwarders > 1 {
		listen = link.ListenShared
	}
	p := &port{id: id, local: a}
	for range b.opts.Forwarders {
		s, err := listen(a)
		if err != nil {
			b.Log.Add(events.BundleRefused, slog.String("address", a.String()), slog.String("error", err.Error()))
			p.close()
			return nil
		}
		p.sockets = append(p.sockets, s)
	}
	for _, s := range p.sockets {
		f := &forwarder{id: id, zone: b.opts.Zone, in: s, link: b.link, view: &b.view, log: b.Log, count: b.newCountersLocked()}
		b.wait.Go(func() {
			f.run()
			b.retire(f.count)
		})
	}
	return p
}

// newCounters returns counters that Counts includes in its sums.
func (b *Balancer) newCounters() *Counters {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newCountersLocked()
}

// newCountersLocked is newCounters for callers that hold b.mu.
func (b *Balancer) newCountersLocked() *Counters {
	c := &Counters{}
	b.counters = append(b.counters, c)
	return c
}

// retire adds the counters of a forwarder that has ended to closedCounts.
func (b *Balancer) retire(c *Counters) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closedCounts.add(c)
	b.counters = slices.DeleteFunc(b.counters, func(x *Counters) bool { return x == c })
}

// Counts holds the sums of a balancer's counters, under the names of Counters.
type Counts struct {
	Forwarded uint64 `json:"forwarded"`
	Opened    uint64 `json:"opened"`
	Returned  uint64 `json:"returned"`
	Dropped   uint64 `json:"dropped"`
	Refused   uint64 `json:"refused"`
	Lost      uint64 `json:"lost"`
	Misrouted uint64 `json:"misrouted"`
	ZoneOut   uint64 `json:"zoneOut"`
	Reset     uint64 `json:"reset"`
}

// add adds the present values of the counters.
func (s *Counts) add(c *Counters) {
	s.Forwarded += c.Forwarded.Load()
	s.Opened += c.Opened.Load()
	s.Returned += c.Returned.Load()
	s.Dropped += c.Dropped.Load()
	s.Refused += c.Refused.Load()
	s.Lost += c.Lost.Load()
	s.Misrouted += c.Misrouted.Load()
	s.ZoneOut += c.ZoneOut.Load()
	s.Reset += c.Reset.Load()
}

// Counts returns the sums of the counters of all forwarders, also of those that have ended,
// and of the returner.
func (b *Balancer) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.closedCounts
	for _, c := range b.counters {
		s.add(c)
	}
	return s
}
