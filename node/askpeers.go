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

// syncWithPeers fetches views from other balancers while they have a newer configuration
// than the store has delivered. That is the case for a balancer that has just started,
// and for one that cannot reach the store.
func (b *Balancer) syncWithPeers() {
	for round := 0; ; round++ {
		from, ok := b.awaitOffer()
		if !ok {
			return
		}
		var have, want datagram.Version
		var holder datagram.IP
		var ips []datagram.IP
		if !b.loop.do(b.ctx, func(time.Duration) {
			have, want, holder, ips = b.balancer.ConfigurationVersion(), b.newestVersion, b.holder, b.balancer.Peers()
		}) {
			return
		}
		if have != 0 && want <= have {
			b.roundsBehind = 0
			continue
		}
		if from != 0 {
			if have == 0 {
				b.syncAfterJitter(from, len(ips))
			}
			continue
		}
		b.roundsBehind++
		switch {
		case have != 0 && b.roundsBehind < 2:
			// Wait one round, because the store usually delivers it through the watch.
		case holder != 0 && b.roundsBehind%2 == 0:
			b.syncAfterJitter(holder, len(ips))
		default:
			b.syncNextPeer(ips, round) // the holder may be unreachable
		}
	}
}

// awaitOffer waits until another process reports a newer configuration, and returns its
// address, or 0 if the next round is due first. ok is false if the program ends.
func (b *Balancer) awaitOffer() (from datagram.IP, ok bool) {
	t := time.NewTimer(minSyncInterval + rand.N(maxSyncInterval-minSyncInterval))
	defer t.Stop()
	select {
	case from = <-b.offers:
		return from, true
	case <-t.C:
		return 0, true
	case <-b.ctx.Done():
		return 0, false
	}
}

// syncJitterPerPeer, multiplied by the number of balancers, is the longest random delay
// before a balancer fetches a view from a peer that several others may ask, too. It is about
// the time that serving one view takes.
const syncJitterPerPeer = time.Millisecond

// syncAfterJitter fetches and applies the view of a balancer that has a newer
// configuration, after a random delay.
func (b *Balancer) syncAfterJitter(from datagram.IP, peers int) {
	if clock.Sleep(b.ctx, rand.N(syncJitterPerPeer*time.Duration(peers+1))) {
		b.syncFrom(netip.AddrPortFrom(from.Addr(), b.settings.View.Port()))
	}
}

// syncNextPeer fetches and applies the view of one of the seeds and the given balancers.
// The round selects which one, in turn.
func (b *Balancer) syncNextPeer(ips []datagram.IP, round int) {
	as := slices.Clone(b.live.Load().Seeds)
	for _, ip := range ips {
		as = append(as, netip.AddrPortFrom(ip.Addr(), b.settings.View.Port()))
	}
	as = slices.DeleteFunc(as, func(a netip.AddrPort) bool { return a == b.settings.View })
	if len(as) == 0 {
		return
	}
	b.syncFrom(as[round%len(as)])
}

// syncFrom fetches the view of the balancer at the address and applies it.
func (b *Balancer) syncFrom(a netip.AddrPort) {
	v, err := fetchView(b.ctx, b.viewKey, a)
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
	if len(b.view.Load().Processes) == 0 {
		b.applyMembers(v.Processes, false)
	}
}
