// This file chooses the balancer through which a flow's outgoing datagrams are sent.
// Callers are hashed into a fixed number of buckets, and each bucket uses the live
// balancer that ranks highest for it (rendezvous hashing). So when a balancer fails,
// only its own callers move, and they spread over all others. A choice costs one
// lookup; a change of the live balancers costs some hundred thousand hashes with 400 of
// them. Limitation: one agent does not spread its callers evenly over many balancers; a
// large number of agents does.

package agent

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
)

// balancerTimeout is how long after its last heartbeat a balancer is no longer used:
// one and a half heartbeat intervals. When a balancer fails, the datagrams of a feed
// are lost for this time; QUIC retransmits them, and the caller does not have to send
// anything first. A lost heartbeat costs little: the flows use another balancer until
// the next one.
const balancerTimeout = 800 * time.Millisecond

// pathBuckets is the number of groups of callers. The callers of a group move together.
const pathBuckets = 512

// paths holds the balancers through which an agent may send to callers.
type paths struct {
	mu        sync.Mutex
	lastHeard map[netip.AddrPort]time.Time
	zones     map[netip.AddrPort]bundle.ZoneID
	// live are the balancers with a recent heartbeat, sorted by address; fallback are
	// the ready balancers in the fleet's view, used while no balancer is live.
	live, fallback []netip.AddrPort
	// buckets maps a caller's hash to a balancer. All entries are valid, or none.
	buckets [pathBuckets]netip.AddrPort
	// onChange is called after each change of live.
	onChange func(live []netip.AddrPort)
}

// recordHeartbeat records a heartbeat of a balancer.
func (p *paths) recordHeartbeat(a netip.AddrPort, z bundle.ZoneID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastHeard == nil {
		p.lastHeard, p.zones = map[netip.AddrPort]time.Time{}, map[netip.AddrPort]bundle.ZoneID{}
	}
	_, known := p.lastHeard[a]
	p.lastHeard[a], p.zones[a] = now, z
	if !known {
		p.refreshLive(now)
	}
}

// updateMembers drops the balancers that timed out, are leaving or are in an
// availability zone that is out. It takes fallback from the members.
func (p *paths) updateMembers(ms []fleet.Member, b *bundle.Bundle, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fallback = nil
	leaving := map[netip.AddrPort]bool{}
	for _, m := range ms {
		if m.Role != fleet.RoleBalancer {
			continue
		}
		if m.Phase != fleet.PhaseReady || b.ZoneOut(m.Zone) {
			leaving[m.Link] = true
			continue
		}
		p.fallback = append(p.fallback, m.Link)
	}
	for a := range p.lastHeard {
		if leaving[a] || b.ZoneOut(p.zones[a]) {
			p.forget(a)
		}
	}
	p.refreshLive(now)
	if len(p.live) == 0 {
		p.assignBuckets() // from fallback, which has changed
	}
}

// expire drops the balancers that timed out.
func (p *paths) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLive(now)
}

// refreshLive recomputes live, and the buckets if live has changed. p.mu must be held.
func (p *paths) refreshLive(now time.Time) {
	var live []netip.AddrPort
	for a, t := range p.lastHeard {
		if now.Sub(t) > balancerTimeout {
			p.forget(a)
			continue
		}
		live = append(live, a)
	}
	slices.SortFunc(live, netip.AddrPort.Compare)
	changed := !slices.Equal(live, p.live)
	p.live = live
	if !changed {
		return
	}
	p.assignBuckets()
	if p.onChange != nil {
		p.onChange(live)
	}
}

// forget drops a balancer. p.mu must be held.
func (p *paths) forget(a netip.AddrPort) {
	delete(p.lastHeard, a)
	delete(p.zones, a)
}

// assignBuckets assigns a balancer to each bucket. p.mu must be held.
//
// If a caller's hash modulo the length of the list selected its balancer, every change
// of the list would move nearly all flows. And if balancers were replaced one after
// another in the order of the list, the dead one would always be at the same index: the
// same callers would receive nothing for as long as the replacement lasts, and openings
// from some ports would never succeed.
func (p *paths) assignBuckets() {
	from := p.live
	if len(from) == 0 {
		from = p.fallback
	}
	hashes := make([]uint64, len(from))
	for i, a := range from {
		b, _ := a.MarshalBinary() // never fails
		hashes[i] = fleet.HashOf(b)
	}
	for bucket := range p.buckets {
		best, score := netip.AddrPort{}, uint64(0)
		for i, h := range hashes {
			if x := fleet.Mix(uint64(bucket), h); x >= score {
				best, score = from[i], x
			}
		}
		p.buckets[bucket] = best
	}
}

// pick returns the balancer for datagrams to the caller. All datagrams of a flow take
// one path while it is live, since reordering reduces a flow's throughput.
func (p *paths) pick(caller netip.AddrPort) (netip.AddrPort, bool) {
	b := caller.Addr().As4()
	k := uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(b[2])<<24 | uint64(b[3])<<16 | uint64(caller.Port())
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.buckets[fleet.Mix(k, 0)%pathBuckets]
	return a, a.IsValid()
}
