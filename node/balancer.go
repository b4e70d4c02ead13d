package node

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/platform"
)

// Balancer runs on a VM that receives callers' packets and forwards them to the agents.
type Balancer struct {
	*base
	loop     *loop
	balancer *datagram.Balancer
	link     *net.UDPConn
	callers  *net.UDPConn
	store    *store
	ready    atomic.Bool
	view     atomic.Pointer[View]
	// The gates are open while this balancer follows the configuration and the evacuations in
	// the store, and polls the member records there.
	configurationGate, evacuationGate, memberGate gate
	// newestVersion is the latest configuration version that any process has reported,
	// holder the process that reported it last, and behindSince when this balancer began to
	// lack it; 0: it does not. Only the loop uses them.
	newestVersion datagram.Version
	holder        datagram.IP
	behindSince   time.Duration
	// offers passes the address of a process that has a newer configuration to
	// syncWithPeers. One is enough, so further ones are dropped while it is not read.
	offers chan datagram.IP
	// roundsBehind counts the rounds of syncWithPeers since this balancer's configuration
	// was the latest one known.
	roundsBehind int
	// routesChanged wakes recordRoutes.
	routesChanged chan struct{}
	// gatesUpdatedAt is when tick last updated the gates.
	gatesUpdatedAt time.Duration
	ctx            context.Context
	cancel         context.CancelFunc
}

// NewBalancer creates a balancer and opens its UDP sockets.
func NewBalancer(o Options, l *slog.Logger) (*Balancer, error) {
	s, err := newBase(o, platform.RoleBalancer, l)
	if err != nil {
		return nil, err
	}
	b := &Balancer{base: s, loop: newLoop(), store: newStore(s.settings, s.log)}
	if b.link, err = listenUDP(s.settings.Link); err != nil {
		return nil, err
	}
	if b.callers, err = listenUDP(s.settings.Callers); err != nil {
		b.link.Close()
		return nil, err
	}
	b.balancer = &datagram.Balancer{
		Self: s.self(), Life: s.life, Zone: datagram.ZoneKeyOf(s.settings.Zone), Format: platform.PacketFormat{}, Out: b, Keys: s.keys,
		Log: &datagram.Log{Log: s.log, MaxLines: o.Lines}, LookupRate: datagram.LookupRate(s.settings.Cores, s.settings.Bandwidth),
	}
	b.balancer.Admission, b.balancer.AccountPrefix = o.admission(), o.AccountPrefix
	b.balancer.Clock = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	b.balancer.Bandwidth, b.balancer.FlowLifetime = s.settings.Bandwidth, datagram.FlowLifetime(s.settings.FlowLifetime)
	b.balancer.Placement = o.placement()
	b.balancer.Observe = s.observe
	b.offers, b.routesChanged = make(chan datagram.IP, 1), make(chan struct{}, 1)
	b.balancer.OnNewerConfiguration = func(from datagram.IP, v datagram.Version) {
		if v >= b.newestVersion {
			b.newestVersion, b.holder = v, from
		}
		select {
		case b.offers <- from:
		default:
		}
	}
	b.balancer.OnRecordInDoubt = func() { go b.store.putRecord(b.ctx, b.recordName(), b.record()) }
	b.view.Store(&View{})
	b.balancer.Start()
	b.updateGates(0)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b, nil
}

// ToProcess sends a message to an agent or balancer.
func (b *Balancer) ToProcess(ip datagram.IP, m []byte) {
	b.loop.send(b.link, m, netip.AddrPortFrom(ip.Addr(), b.settings.Link.Port()))
}

// ToCaller sends a packet to a caller.
func (b *Balancer) ToCaller(ip datagram.IP, p []byte) {
	b.loop.send(b.callers, p, netip.AddrPortFrom(ip.Addr(), b.settings.CallerPort))
}

func (b *Balancer) handleDatagram(d *buffer, now time.Duration) {
	if d.src == fromCaller {
		b.balancer.HandleCaller(d.packet(), now)
		return
	}
	b.balancer.HandleMessage(datagram.IPOf(d.from.Addr()), d.message(), now)
}

func (b *Balancer) tick(now time.Duration) time.Duration {
	at := b.balancer.Tick(now)
	b.ready.Store(b.balancer.Ready())
	if now-b.gatesUpdatedAt >= datagram.StatusInterval {
		b.gatesUpdatedAt = now
		b.balancer.SetDetached(b.store.detached(), now)
		b.updateGates(now)
	}
	return at
}

// behindTimeout is how long other processes may have a newer configuration before this
// balancer reads the store, because it failed to fetch the configuration from them.
const behindTimeout = time.Second

// updateGates opens the gates for what this balancer has to read from the store, and closes
// the others. It must run on the loop.
func (b *Balancer) updateGates(now time.Duration) {
	switch {
	case b.newestVersion <= b.balancer.ConfigurationVersion():
		b.behindSince = 0
	case b.behindSince == 0:
		b.behindSince = now
	}
	watches := b.balancer.WatchesStore()
	behind := b.behindSince != 0 && now-b.behindSince > behindTimeout
	b.configurationGate.set(watches || behind || b.balancer.ConfigurationVersion() == 0)
	b.evacuationGate.set(watches || b.balancer.ZonesRevision() == 0)
	b.memberGate.set(watches)
}

// Run serves until stopped is done. It then reports that it is not ready, continues to
// serve until routers have taken the balancer out of rotation, and returns.
func (b *Balancer) Run(stopped context.Context) error {
	defer b.cancel()
	b.log.Add(events.Started, slog.String("role", string(b.role)), slog.Uint64("life", uint64(b.life)))
	var g run.Group
	addLog(&g, b.log)
	g.Add(func() error { return b.loop.run(b.ctx, b) }, func(error) { b.cancel() })
	g.Add(func() error { return b.loop.read(b.link, fromProcess) }, func(error) { b.link.Close() })
	g.Add(func() error { return b.loop.readCallers(b.callers) }, func(error) { b.callers.Close() })
	for _, f := range []func(){b.followConfiguration, b.followEvacuations, b.pollMembers, b.syncWithPeers, b.recordRoutes} {
		g.Add(func() error { f(); <-b.ctx.Done(); return nil }, func(error) { b.cancel() })
	}
	g.Add(func() error { return b.watchSettings(b.ctx, b.applySettings) }, func(error) { b.cancel() })
	g.Add(func() error { return b.leave(stopped) }, func(error) { b.cancel() })
	addHTTP(&g, b.settings.Readiness, platform.ReadinessHandler(b.ready.Load))
	b.addMetrics(&g, b.loop, func() any { return b.balancer.Status(b.loop.now()) })
	addHTTP(&g, b.settings.View, viewHandler(b.viewKey, func() View { return *b.view.Load() }))
	err := g.Run()
	b.log.Add(events.Stopped)
	return err
}

// applySettings updates the store's address and the lifetime of flows from the settings.
func (b *Balancer) applySettings(s *platform.Settings) {
	b.store.updateAddress(s)
	b.loop.do(b.ctx, func(time.Duration) { b.balancer.FlowLifetime = datagram.FlowLifetime(s.FlowLifetime) })
}

// sourceStore is logged as the source of what was read from the store, and not from a peer.
const sourceStore = "store"

// followConfiguration applies the configurations of the store until the program ends.
func (b *Balancer) followConfiguration() {
	b.store.follow(b.ctx, &b.configurationGate, platform.KindConfiguration, func(all map[string]platform.Object, _ platform.Revision) {
		if o, ok := all[platform.ConfigurationName]; ok {
			b.applyConfiguration(o, sourceStore)
		}
	})
}

// applyConfiguration applies a configuration unless a newer one is in force, and the record of routes
// that belongs to it.
func (b *Balancer) applyConfiguration(o platform.Object, from string) {
	c, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		b.log.Add(events.ConfigurationRefused, slog.Uint64("revision", uint64(o.Meta.Revision)), slog.String("error", err.Error()))
		return
	}
	r, err := platform.DecodeRouteRecord(o.Status)
	if err != nil {
		b.log.Add(events.RouteRecordRefused, slog.Uint64("revision", uint64(o.Meta.Revision)), slog.String("error", err.Error()))
	}
	b.loop.do(b.ctx, func(now time.Duration) {
		first := b.balancer.ConfigurationVersion() == 0
		newer := b.balancer.SetConfiguration(c)
		if newer || b.balancer.ConfigurationVersion() == c.Version && o.Meta.Revision > b.view.Load().Configuration.Meta.Revision {
			b.updateView(func(v *View) { v.Configuration = o })
			b.balancer.ApplyRouteRecord(r, now)
			b.wakeRecorder()
		}
		if !newer {
			return
		}
		if first || from == sourceStore {
			b.balancer.SendStatusToPeers(now) // other balancers can fetch it from this one
		}
		b.updateGates(now)
		b.log.Add(events.ConfigurationInForce, slog.Uint64("version", uint64(c.Version)),
			slog.Uint64("revision", uint64(o.Meta.Revision)), slog.Int("routes", len(c.Routes)), slog.String("from", from))
	})
}

// followEvacuations applies the evacuations of the store until the program ends.
func (b *Balancer) followEvacuations() {
	b.store.follow(b.ctx, &b.evacuationGate, platform.KindEvacuation, func(all map[string]platform.Object, at platform.Revision) {
		b.applyEvacuations(slices.Collect(maps.Values(all)), at, sourceStore)
	})
}

// applyEvacuations applies the evacuations as of a revision, unless later ones are known.
func (b *Balancer) applyEvacuations(os []platform.Object, at platform.Revision, from string) {
	b.loop.do(b.ctx, func(now time.Duration) {
		b.updateView(func(v *View) {
			if at > v.EvacuationsAt {
				v.Evacuations, v.EvacuationsAt = os, at
			}
		})
		changed := b.balancer.SetZonesOut(platform.ZonesOut(os), uint64(at), now)
		b.updateGates(now)
		if changed {
			b.log.Add(events.ZonesChanged, slog.Int("out", len(os)), slog.Uint64("revision", uint64(at)), slog.String("from", from))
		}
	})
}

// pollMembers reads the member records, and reads them again at regular intervals while this
// balancer watches the store, until the program ends. Only the first read has to be current;
// the others accept stale data, which costs a tenth.
func (b *Balancer) pollMembers() {
	var down bool
	fresh := true
	t := newBackoff()
	for b.ctx.Err() == nil {
		retry(b.ctx, &t, func() error {
			ctx, stop := context.WithTimeout(b.ctx, t.timeout())
			defer stop()
			list := b.store.client().ListStale
			if fresh {
				list = b.store.client().List
			}
			l, err := list(ctx, platform.KindProcess)
			b.store.trackOutcome(&down, platform.KindProcess, err)
			if err == nil {
				b.applyMembers(l.Items, fresh)
			}
			return err
		})
		fresh = false
		if !clock.Sleep(b.ctx, datagram.MemberListInterval) || !b.memberGate.wait(b.ctx) {
			return
		}
	}
}

// applyMembers applies the member records, and changes those that this balancer is responsible
// for. fresh means that the records were read from the store in this run and are current. This
// balancer's own record is written if it is missing: another one may have removed it during a cut.
func (b *Balancer) applyMembers(os []platform.Object, fresh bool) {
	var ms []datagram.Member
	records := map[datagram.IP]platform.Object{}
	ownRecordFound := false
	for _, o := range os {
		m, err := platform.DecodeMember(o)
		if err != nil {
			b.log.Add(events.RecordRefused, slog.String("error", err.Error()))
			continue
		}
		ownRecordFound = ownRecordFound || m.IP == b.self()
		ms = append(ms, m)
		records[m.IP] = o
	}
	var changes []datagram.RecordChange
	if !b.loop.do(b.ctx, func(now time.Duration) {
		b.balancer.SetMembers(ms, fresh, now)
		if fresh {
			b.wakeRecorder()
		}
		b.updateView(func(v *View) { v.Processes = os })
		changes = b.balancer.RecordChanges(ms, now)
	}) {
		return
	}
	for _, c := range changes {
		b.changeRecord(c, records[c.IP])
	}
	if !ownRecordFound {
		go b.store.putRecord(b.ctx, b.recordName(), b.record())
	}
}

// changeRecord changes a member's record in the store. Each change is conditional on the revision that
// was read, so it fails if another process has changed the record since.
func (b *Balancer) changeRecord(c datagram.RecordChange, o platform.Object) {
	if c.Action == datagram.RecordRemove {
		b.removeDeadRecord(o)
		return
	}
	by := ""
	if c.Action == datagram.RecordMark {
		by = b.settings.IP.String()
	}
	ctx, stop := context.WithTimeout(b.ctx, storeTimeout)
	defer stop()
	n, err := b.store.client().UpdateStatus(ctx, platform.KindProcess, o.Meta.Name, platform.EncodeMark(by), o.Meta.Revision)
	if err != nil {
		b.log.Add(events.RecordNotMarked, slog.String("record", o.Meta.Name), slog.String("error", err.Error()))
		return
	}
	if c.Action == datagram.RecordMark {
		b.loop.do(b.ctx, func(now time.Duration) { b.balancer.NoteMarked(c.IP, uint64(n.Meta.Revision), now) })
	}
	b.log.Add(events.RecordMarked, slog.String("record", o.Meta.Name), slog.String("unheardBy", by), slog.Uint64("revision", uint64(n.Meta.Revision)))
}

// removeDeadRecord deletes a dead member's record from the store. The delete is conditional
// on the revision that was read, so it fails if the member has since written its record
// again.
func (b *Balancer) removeDeadRecord(o platform.Object) {
	err := b.store.client().Delete(b.ctx, platform.KindProcess, o.Meta.Name, o.Meta.Revision)
	if err != nil {
		b.log.Add(events.RecordNotRemoved, slog.String("record", o.Meta.Name), slog.String("error", err.Error()))
		return
	}
	b.log.Add(events.RecordRemoved, slog.String("record", o.Meta.Name), slog.Uint64("revision", uint64(o.Meta.Revision)))
	b.store.removeDraining(b.ctx, o.Meta.Name)
}

// updateView changes the view that peers can fetch. It must run on the loop.
func (b *Balancer) updateView(f func(*View)) {
	v := *b.view.Load()
	f(&v)
	b.view.Store(&v)
}

// deregistrationDelay is how long a stopping balancer continues to serve. Routers check its
// readiness twice a second and take it out of rotation after two failed checks, and
// packets in flight arrive after that.
const deregistrationDelay = 1600 * time.Millisecond

// leave waits until the program is asked to stop, notifies the other processes, and waits
// until routers have taken the balancer out of rotation.
func (b *Balancer) leave(stopped context.Context) error {
	if !b.awaitStop(stopped, b.ctx) {
		return nil
	}
	b.loop.do(b.ctx, func(now time.Duration) { b.balancer.Leave(now) })
	b.ready.Store(false)
	clock.Sleep(b.ctx, min(deregistrationDelay, b.live.Load().Grace/2))
	return nil
}

// Kill ends the program immediately, without notifying other processes.
func (b *Balancer) Kill() { b.cancel() }
