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
	// askAfter and askEvery are the bounds of the random interval between two rounds of
	// fetching views from peers. The first round comes after the store has had time to
	// answer, which takes it some milliseconds.
	askAfter = 250 * time.Millisecond
	askEvery = 300 * time.Millisecond
)

// followPeers fetches views from other balancers while they have a newer configuration
// than the store has delivered. That is the case for a balancer that has just started,
// and for one that cannot reach the store.
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
			// The store is about to deliver it through the watch.
		case holder != 0 && b.behind%2 == 0:
			b.askSoon(holder, len(ips))
		default:
			b.askPeer(ips, round) // the holder may be unreachable
		}
	}
}

// nextOffer waits until another process reports a newer configuration, and returns its
// address, or 0 if the next round is due first. ok is false if the program ends.
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

// askSpread, multiplied by the number of balancers, is the longest random delay before
// one of them fetches a view from a peer, so that they don't all do so at once. It is
// about the time that serving one view takes.
const askSpread = time.Millisecond

// askSoon fetches and applies the view of a balancer that has a newer configuration,
// after a random delay.
func (b *Balancer) askSoon(from datagram.IP, peers int) {
	if clock.Sleep(b.ctx, rand.N(askSpread*time.Duration(peers+1))) {
		b.ask(netip.AddrPortFrom(from.Addr(), b.settings.View.Port()))
	}
}

// askPeer fetches and applies the view of one of the seeds and the given balancers. The
// round selects which one.
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

// ask fetches the view of the balancer at the address and applies it.
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
