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
	// askAfter is how long a balancer waits for the store before it asks peers
	// for what they know; the store answers in some milliseconds.
	askAfter = 250 * time.Millisecond
	// askEvery spaces the rounds through the peers.
	askEvery = 300 * time.Millisecond
)

// followPeers reads the view of other balancers while the store does not give what
// they have: for a newborn balancer, and one that is cut off from the store.
func (b *Balancer) followPeers() {
	for round := 0; ; round++ {
		from, ok := b.nextOffer()
		if !ok {
			return
		}
		var have, want datagram.Version
		var ips []datagram.IP
		if !b.loop.do(b.ctx, func(time.Duration) {
			have, want, ips = b.balancer.Configured(), b.newest, b.balancer.Peers()
		}) {
			return
		}
		if have != 0 && want <= have {
			b.behind = 0
			continue
		}
		if from != 0 {
			if have == 0 {
				b.askOffered(from, len(ips))
			}
			continue
		}
		if b.behind++; have != 0 && b.behind < 2 {
			continue // the store's own notice is on its way
		}
		b.askPeer(ips, round)
	}
}

// nextOffer waits for a balancer's word that it has a newer configuration, or for the
// time of the next round, when the address is 0.
func (b *Balancer) nextOffer() (from datagram.IP, ok bool) {
	t := time.NewTimer(askAfter + rand.N(askEvery-askAfter))
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

// offerSpread keeps those that were offered a configuration from asking all at once:
// a view takes about a millisecond to give.
const offerSpread = time.Millisecond

// askOffered reads the view of a balancer that has just got a configuration, when this
// one has none.
//
// After a loss of power in an outage of the store, the first balancer that has read the
// store can tell all others.
func (b *Balancer) askOffered(from datagram.IP, peers int) {
	if clock.Sleep(b.ctx, rand.N(offerSpread*time.Duration(peers+1))) {
		b.ask(netip.AddrPortFrom(from.Addr(), b.settings.View.Port()))
	}
}

func (b *Balancer) askPeer(ips []datagram.IP, round int) {
	as := slices.Clone(b.live.Load().Seeds)
	for _, ip := range ips {
		as = append(as, netip.AddrPortFrom(ip.Addr(), b.settings.View.Port()))
	}
	as = slices.DeleteFunc(as, func(a netip.AddrPort) bool { return a == b.settings.View })
	if len(as) == 0 {
		return
	}
	b.ask(as[round%len(as)])
}

// ask takes in the view of the balancer at the address.
func (b *Balancer) ask(a netip.AddrPort) {
	v, err := fetchView(b.ctx, b.secret, a)
	if err != nil {
		b.log.Add(events.PeerDown, slog.String("peer", a.String()), slog.String("error", err.Error()))
		return
	}
	if v.Configuration.Spec != nil {
		b.takeConfiguration(v.Configuration, a.String())
	}
	if v.EvacuationsAt != 0 {
		b.takeEvacuations(v.Evacuations, v.EvacuationsAt, a.String())
	}
	if len(b.view.Load().Processes) == 0 {
		b.takeMembers(v.Processes, false)
	}
}
