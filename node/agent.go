package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/platform"
)

// Agent runs on the VM of an upstream and connects it to the balancers.
type Agent struct {
	*base
	loop     *loop
	agent    *datagram.Agent
	link     *net.UDPConn
	outbound *net.UDPConn
	store    *store
	// recordAt and drainingAt are the revisions of this agent's records in the store; 0: not
	// known. recordsRead is set once both are as in the store.
	recordAt, drainingAt atomic.Uint64
	recordsRead          atomic.Bool
	// served passes the run of the upstream to recordServed. Only the latest one has to be recorded.
	served chan datagram.UpstreamRun
	// restore makes recordServed write the record again if it is missing.
	restore chan struct{}
	// unrecorded is the number of runs that were passed and are not recorded yet.
	unrecorded atomic.Int32
	ctx        context.Context
	cancel     context.CancelFunc
}

// NewAgent creates an agent and opens its UDP sockets.
func NewAgent(o Options, l *slog.Logger) (*Agent, error) {
	b, err := newBase(o, platform.RoleAgent, l)
	if err != nil {
		return nil, err
	}
	a := &Agent{base: b, loop: newLoop(), store: newStore(b.settings, b.log), served: make(chan datagram.UpstreamRun, 1), restore: make(chan struct{}, 1)}
	if a.link, err = listenUDP(b.settings.Link); err != nil {
		return nil, err
	}
	if a.outbound, err = listenUDP(b.settings.Outbound); err != nil {
		a.link.Close()
		return nil, err
	}
	a.agent = &datagram.Agent{
		Life: b.life, Service: datagram.ServiceKeyOf(b.settings.Service), Zone: datagram.ZoneKeyOf(b.settings.Zone),
		Format: platform.PacketFormat{}, Out: a, Keys: b.keys, Log: &datagram.Log{Log: b.log, MaxLines: o.Lines}, Observe: b.observe, Evacuation: b.settings.Evacuation,
		Heartbeat: datagram.HeartbeatInterval(b.settings.Heartbeat), FlowLifetime: datagram.FlowLifetime(b.settings.FlowLifetime),
		Admission: o.admission(),
	}
	a.agent.Probe = func() { go a.probe() }
	a.agent.OnDrain = func() { go a.recordDraining() }
	a.agent.OnServe = a.passServed
	a.agent.OnRecordInDoubt = a.restoreRecord
	a.agent.Start()
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a, nil
}

// ToProcess sends a message to a balancer.
func (a *Agent) ToProcess(ip datagram.IP, m []byte) {
	a.loop.send(a.link, m, netip.AddrPortFrom(ip.Addr(), a.settings.Link.Port()))
}

// ToCaller sends a packet to a caller.
func (a *Agent) ToCaller(ip datagram.IP, p []byte) {
	a.loop.send(a.link, p, netip.AddrPortFrom(ip.Addr(), a.settings.CallerPort))
}

// ToUpstream sends a packet to the upstream.
func (a *Agent) ToUpstream(p []byte) { a.loop.send(a.outbound, p, a.settings.Upstream) }

func (a *Agent) handleDatagram(b *buffer, now time.Duration) {
	if b.src == fromUpstream {
		a.agent.HandleUpstream(b.packet(), now)
		return
	}
	a.agent.HandleMessage(datagram.IPOf(b.from.Addr()), b.message(), now)
}

func (a *Agent) tick(now time.Duration) time.Duration { return a.agent.Tick(now) }

// Announce handles a heartbeat of the upstream and reports whether it may be acknowledged.
func (a *Agent) Announce(n *datagram.Announcement) bool {
	n.Age = time.Since(time.UnixMilli(n.Born))
	var ok bool
	return a.loop.do(a.ctx, func(now time.Duration) { ok = a.agent.HandleAnnouncement(n, now) }) && ok
}

// Deregister records that the run of the upstream with the ID is about to exit.
func (a *Agent) Deregister(id string, born int64) {
	a.loop.do(a.ctx, func(now time.Duration) { a.agent.Deregister(datagram.UpstreamRun{ID: id, Born: born}, now) })
}

// BadAnnouncement counts and logs a heartbeat that cannot be decoded.
func (a *Agent) BadAnnouncement(err error) {
	a.loop.do(a.ctx, func(time.Duration) { a.agent.Count.BadAnnouncements++ })
	a.log.Add(events.AnnouncementRefused, slog.String("error", err.Error()))
}

// probeTimeout limits a connection attempt to the upstream, which runs on the same VM.
// A refusal arrives immediately; an attempt that times out proves nothing.
const probeTimeout = 100 * time.Millisecond

// probe checks whether a process listens on the upstream's address and passes the result
// to the agent.
func (a *Agent) probe() {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(a.ctx, "tcp4", a.settings.Upstream.String())
	p := datagram.ProbeUnanswered
	switch {
	case err == nil:
		p = datagram.ProbeAccepted
		c.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		p = datagram.ProbeRefused
	}
	a.loop.do(a.ctx, func(now time.Duration) { a.agent.HandleProbeResult(p, now) })
}

// leaveDelay is the time between the agent's last status message and its exit, so that
// balancers receive the message before the agent stops.
const leaveDelay = 50 * time.Millisecond

// Run serves until stopped is done, then notifies the balancers and returns.
func (a *Agent) Run(stopped context.Context) error {
	defer a.cancel()
	a.log.Add(events.Started, slog.String("role", string(a.role)), slog.Uint64("life", uint64(a.life)), slog.Duration("heartbeat", a.settings.Heartbeat),
		slog.Duration("flowLifetime", a.settings.FlowLifetime))
	var g run.Group
	addLog(&g, a.log)
	g.Add(func() error { return a.loop.run(a.ctx, a) }, func(error) { a.cancel() })
	g.Add(func() error { return a.loop.read(a.link, fromProcess) }, func(error) { a.link.Close() })
	g.Add(func() error { return a.loop.read(a.outbound, fromUpstream) }, func(error) { a.outbound.Close() })
	g.Add(func() error { a.writeRecord(); <-a.ctx.Done(); return nil }, func(error) { a.cancel() })
	g.Add(func() error { return a.watchSettings(a.ctx, a.applySettings) }, func(error) { a.cancel() })
	g.Add(func() error { return a.leave(stopped) }, func(error) { a.cancel() })
	a.addMetrics(&g, a.loop, func() any { return a.agent.Status(a.loop.now()) })
	addHTTP(&g, a.settings.Control, platform.RegistryHandler(a))
	addHTTP(&g, a.settings.Readiness, platform.ReadinessHandler(func() bool { return true }))
	go a.applySettings(a.settings)
	err := g.Run()
	a.log.Add(events.Stopped)
	return err
}

// writeRecord writes the agent's record to the store. If the store already has a record,
// an earlier run may have recorded which run of the upstream it served, and that the upstream drains.
// Once the record is written, recordServed keeps it up to date.
func (a *Agent) writeRecord() {
	w := a.store.putRecord(a.ctx, a.recordName(), a.record())
	a.recordAt.Store(uint64(w.at))
	a.loop.do(a.ctx, func(now time.Duration) { a.agent.SetServedRun(w.served, w.servedAtOnce, now) })
	p := a.record()
	p.Served = w.served
	go a.recordServed(p)
	draining := false
	if !w.created {
		at, ok := a.store.readDraining(a.ctx, a.recordName())
		if !ok {
			return
		}
		draining = at != 0
		a.drainingAt.CompareAndSwap(0, uint64(at))
	}
	a.recordsRead.Store(true)
	a.loop.do(a.ctx, func(time.Duration) { a.agent.SetRecordedDraining(draining) })
}

// passServed passes a run of the upstream to recordServed. It runs on the loop.
func (a *Agent) passServed(r datagram.UpstreamRun) {
	a.unrecorded.Add(1)
	select {
	case <-a.served: // an earlier run, which has ended
		a.unrecorded.Add(-1)
	default:
	}
	a.served <- r
}

// restoreRecord makes recordServed write the record again if it is missing.
func (a *Agent) restoreRecord() {
	select {
	case a.restore <- struct{}{}:
	default:
	}
}

// recordServed keeps the agent's record in the store up to date until the program ends: it writes the run of
// the upstream that is served, and a record that is missing.
func (a *Agent) recordServed(p platform.Process) {
	for {
		select {
		case <-a.restore:
			if w := a.store.putRecord(a.ctx, a.recordName(), p); w.at != 0 {
				a.recordAt.Store(uint64(w.at))
			}
		case r := <-a.served:
			p.Served = r
			if at := a.store.putServed(a.ctx, a.recordName(), p, platform.Revision(a.recordAt.Load())); at != 0 {
				a.recordAt.Store(uint64(at))
				a.loop.do(a.ctx, func(time.Duration) { a.agent.HandleRunRecorded(r) })
			}
			a.unrecorded.Add(-1)
		case <-a.ctx.Done():
			return
		}
	}
}

// awaitServed waits until the run of the upstream is recorded, or the time is over.
func (a *Agent) awaitServed(atMost time.Duration) {
	const interval = 10 * time.Millisecond
	for ; a.unrecorded.Load() > 0 && atMost > 0; atMost -= interval {
		if !clock.Sleep(a.ctx, interval) {
			return
		}
	}
}

// recordDraining records that the upstream drains.
func (a *Agent) recordDraining() {
	at := a.store.putDraining(a.ctx, a.recordName(), platform.Draining{Upstream: a.settings.Upstream.String()})
	a.drainingAt.Store(uint64(at))
}

// removeRecords removes what the store has of this agent. What the agent wrote or read itself
// costs a single call, or none.
func (a *Agent) removeRecords(ctx context.Context) {
	a.store.removeRecord(ctx, a.recordName(), a.record(), platform.Revision(a.recordAt.Load()))
	if at := a.drainingAt.Load(); at != 0 {
		a.store.remove(ctx, platform.KindDraining, a.recordName(), platform.Revision(at))
	} else if !a.recordsRead.Load() {
		a.store.removeDraining(ctx, a.recordName())
	}
}

// applySettings updates the store's address and the periods of the deployment from the settings
// and adds the seeds as balancers, to which the agent sends its status.
func (a *Agent) applySettings(s *platform.Settings) {
	a.store.updateAddress(s)
	a.loop.do(a.ctx, func(now time.Duration) {
		a.agent.Heartbeat, a.agent.FlowLifetime = datagram.HeartbeatInterval(s.Heartbeat), datagram.FlowLifetime(s.FlowLifetime)
		a.agent.Evacuation = s.Evacuation
		a.agent.Seeds = a.agent.Seeds[:0]
		for _, x := range s.Seeds {
			ip := datagram.IPOf(x.Addr())
			a.agent.Seeds = append(a.agent.Seeds, ip)
			a.agent.AddBalancer(ip, now)
		}
	})
}

// leave waits until the program is asked to stop, records which run of the upstream was served, and
// notifies the balancers. It removes the agent's record if the upstream is gone; an agent that is only
// restarted keeps it.
func (a *Agent) leave(stopped context.Context) error {
	if !a.awaitStop(stopped, a.ctx) {
		return nil
	}
	a.awaitServed(a.live.Load().Grace / 4)
	var s datagram.UpstreamState
	if !a.loop.do(a.ctx, func(now time.Duration) { s = a.agent.UpstreamState(); a.agent.Leave(now) }) {
		return nil
	}
	if s == datagram.UpstreamGone || s == datagram.UpstreamAbsent {
		ctx, stop := context.WithTimeout(a.ctx, a.live.Load().Grace/2)
		defer stop()
		a.removeRecords(ctx)
		return nil
	}
	clock.Sleep(a.ctx, leaveDelay)
	return nil
}

// Kill ends the program immediately, without notifying the balancers.
func (a *Agent) Kill() { a.cancel() }

// headerTimeout limits how long an HTTP client may take to send a request header.
const headerTimeout = 3 * time.Second

// addHTTP adds an HTTP server on the address to the group. If it can't listen there, the group
// ends with the error as soon as it runs, and so closes what it has opened.
func addHTTP(g *run.Group, at netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		g.Add(func() error { return err }, func(error) {})
		return
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	g.Add(func() error {
		if err := s.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	}, func(error) { s.Close() })
}

// addLog adds the goroutine that writes the log to the group.
func addLog(g *run.Group, l *events.Log) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return l.Run(ctx) }, func(error) { stop() })
}
