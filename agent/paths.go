// This file chooses the balancer that a flow's answers go through. Callers are
// spread over a fixed number of slots and each slot has the living balancer that
// ranks highest for it (rendezvous hashing). So a balancer that goes moves its own
// callers only and spreads them over all others. A choice costs one look-up; a
// change of the living, some hundred thousand hashes with 400 of them. Given up:
// an even spread over many balancers by one agent, which the number of agents
// makes up for.

package agent

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
)

// balancerTimeout is how long after it was last heard a balancer is no longer used: one
// heartbeat and a half. A feed's datagrams are lost for so long when it dies, which
// QUIC repeats, and no caller has to speak first. A heartbeat that is lost costs
// little: the flows go by another balancer until the next.
const balancerTimeout = 800 * time.Millisecond

// pathBuckets is how many groups of callers there are; each moves as one.
const pathBuckets = 512

// paths are the balancers that an agent may send answers through.
type paths struct {
	mu        sync.Mutex
	lastHeard map[netip.AddrPort]time.Time
	zones     map[netip.AddrPort]bundle.ZoneID
	// live are those heard lately, in a fixed order; fallback are the rest that
	// the fleet's view names, for an agent nobody has spoken to yet.
	live, fallback []netip.AddrPort
	// buckets are the balancers by the caller's hash; all are valid or none.
	buckets [pathBuckets]netip.AddrPort
	// onChange is told of each change of live.
	onChange func(live []netip.AddrPort)
}

// recordHeartbeat notes a heartbeat from a balancer.
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

// updateMembers drops the balancers that fell silent or whose zone is out, and takes
// the spare ones from the members.
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
			delete(p.lastHeard, a)
		}
	}
	p.refreshLive(now)
	if len(p.live) == 0 {
		p.assignBuckets() // by the spare, which are new
	}
}

// expire drops the balancers that fell silent.
func (p *paths) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLive(now)
}

// refreshLive makes the list anew; p.mu is held.
func (p *paths) refreshLive(now time.Time) {
	var live []netip.AddrPort
	for a, t := range p.lastHeard {
		if now.Sub(t) > balancerTimeout {
			delete(p.lastHeard, a)
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

// assignBuckets gives each slot its balancer; p.mu is held.
//
// By the remainder of a hash over the list, every change would move nearly all
// flows, and balancers that are replaced one after another in the list's order
// would keep the dead one at the same place: the same callers hear nothing for as
// long as that goes on. It shows as openings that never succeed from some ports.
func (p *paths) assignBuckets() {
	from := p.live
	if len(from) == 0 {
		from = p.fallback
	}
	hashes := make([]uint64, len(from))
	for i, a := range from {
		b, _ := a.MarshalBinary() // has no error
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

// pick returns the balancer for the caller's answers. All datagrams of a flow
// take one path while it lives, since reordering costs a flow its speed.
func (p *paths) pick(caller netip.AddrPort) (netip.AddrPort, bool) {
	b := caller.Addr().As4()
	k := uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(b[2])<<24 | uint64(b[3])<<16 | uint64(caller.Port())
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.buckets[fleet.Mix(k, 0)%pathBuckets]
	return a, a.IsValid()
}
