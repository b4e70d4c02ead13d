package node

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/events"
)

const (
	// minSyncInterval and maxSyncInterval are the bounds of the random interval between
	// two rounds of syncWithPeers. The minimum gives the store, which answers within some
	// milliseconds, time to do so before the first round.
	minSyncInterval = 250 * time.Millisecond
	maxSyncInterval = 300 * time.Millisecond
)

// syncWithPeers fetches configurations from other balancers that report a newer one. That is
// how a configuration reaches the balancers that do not watch the store, those that have just
// started, and those that cannot reach the store.
func (b *Balancer) syncWithPeers() {
	interval := func() time.Duration { return minSyncInterval + rand.N(maxSyncInterval-minSyncInterval) }
	t := time.NewTimer(interval())
	defer t.Stop()
	for round := 0; ; {
		var from datagram.IP
		select {
		case from = <-b.offers:
		case <-t.C:
			t.Reset(interval())
			round++
		case <-b.ctx.Done():
			return
		}
		var s syncState
		if !b.loop.do(b.ctx, func(time.Duration) { s = b.syncState() }) {
			return
		}
		switch {
		case !s.behind():
			b.roundsBehind = 0
		case from == 0:
			b.roundsBehind++
			b.syncRound(&s, round)
		case s.have == 0 || !s.watches:
			b.syncAfterJitter(from, &s)
		}
	}
}

// syncState is what a balancer knows when it decides whether to fetch a configuration.
type syncState struct {
	have, want datagram.Version
	holder     datagram.IP   // the process that last reported the wanted version
	peers      []datagram.IP // all other balancers
	watches    bool          // this balancer watches the store
}

func (b *Balancer) syncState() syncState {
	return syncState{b.balancer.ConfigurationVersion(), b.newestVersion, b.holder, b.balancer.Peers(), b.balancer.WatchesStore()}
}

// behind reports whether a configuration is missing.
func (s *syncState) behind() bool { return s.have == 0 || s.want > s.have }

// syncRound asks the holder of the newer configuration, or another process in turn, because
// the holder may be unreachable.
func (b *Balancer) syncRound(s *syncState, round int) {
	switch {
	case s.have != 0 && b.roundsBehind < 2:
		// Wait one round: the store delivers it to a watcher, and an offer to the others.
	case s.holder != 0 && b.roundsBehind%2 == 0:
		b.syncAfterJitter(s.holder, s)
	default:
		b.syncNextPeer(s, round)
	}
}

// syncJitterPerPeer, multiplied by the number of balancers, is the longest random delay
// before a balancer fetches a view from a peer that several others may ask, too. It is about
// the time that serving one view takes.
const syncJitterPerPeer = time.Millisecond

// syncAfterJitter fetches and applies the view of a balancer that has a newer
// configuration, after a random delay.
func (b *Balancer) syncAfterJitter(from datagram.IP, s *syncState) {
	if clock.Sleep(b.ctx, rand.N(syncJitterPerPeer*time.Duration(len(s.peers)+1))) {
		b.syncFrom(netip.AddrPortFrom(from.Addr(), b.settings.View.Port()), s)
	}
}

// syncNextPeer fetches and applies the view of one of the seeds and the other balancers.
// The round selects which one, in turn.
func (b *Balancer) syncNextPeer(s *syncState, round int) {
	as := slices.Clone(b.live.Load().Seeds)
	for _, ip := range s.peers {
		as = append(as, netip.AddrPortFrom(ip.Addr(), b.settings.View.Port()))
	}
	as = slices.DeleteFunc(as, func(a netip.AddrPort) bool { return a == b.settings.View })
	if len(as) == 0 {
		return
	}
	b.syncFrom(as[round%len(as)], s)
}

// syncFrom fetches the view of the balancer at the address and applies it. A balancer that
// has a configuration fetches only the newer one.
func (b *Balancer) syncFrom(a netip.AddrPort, s *syncState) {
	path := viewPath
	if s.have != 0 {
		path = configurationPath
	}
	v, err := fetchView(b.ctx, b.viewKey, a, path)
	if err != nil {
		b.log.Add(events.PeerDown, slog.String("peer", a.String()), slog.String("error", err.Error()))
		return
	}
	if v.Configuration.Spec != nil {
		b.applyConfiguration(v.Configuration, a.String())
	}
	if v.EvacuationsAt != 0 {
		b.applyEvacuations(v.Evacuations, v.EvacuationsAt, a.String())
	}
	if len(b.view.Load().Processes) == 0 && len(v.Processes) > 0 {
		b.applyMembers(v.Processes, false)
	}
}
