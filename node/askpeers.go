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
		var holder datagram.IP
		var ips []datagram.IP
		if !b.loop.do(b.ctx, func(time.Duration) {
			have, want, holder, ips = b.balancer.Configured(), b.newest, b.holder, b.balancer.Peers()
		}) {
			return
		}
		if have != 0 && want <= have {
			b.behind = 0
			continue
		}
		if from != 0 {
			if have == 0 {
				b.askSoon(from, len(ips))
			}
			continue
		}
		b.behind++
		switch {
		case have != 0 && b.behind < 2:
			// The store's own notice is on its way.
		case holder != 0 && b.behind%2 == 0:
			b.askSoon(holder, len(ips))
		default:
			b.askPeer(ips, round) // the holder may be one that can't be reached
		}
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

// askSpread for each balancer keeps them from asking one of them all at once: it is about
// the time in which a view is given.
const askSpread = time.Millisecond

// askSoon reads the view of a balancer that has a newer configuration.
func (b *Balancer) askSoon(from datagram.IP, peers int) {
	if clock.Sleep(b.ctx, rand.N(askSpread*time.Duration(peers+1))) {
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
