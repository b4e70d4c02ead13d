package datagram

import (
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// An opening goes to the less loaded of the two agents that its flow's hash ranks first,
// among the best class that is not busy, and rather in the balancer's own availability
// zone. Cost: a look at each agent of the service. Given up: the least loaded of all,
// which every balancer would choose at once.

// Placement is how a balancer chooses among agents that it could ask as well.
type Placement uint8

// Placements.
const (
	// PlaceIdler takes the less loaded of the two that the hash ranks first.
	PlaceIdler Placement = iota
	// PlaceByHash takes the first, for comparisons.
	PlaceByHash
)

// choose returns the agent for an opening: of the best class, the less loaded of
// the two that the hash ranks first, and rather one of the own availability zone.
//
// An agent that would decline an opening of the priority is left out; busy says whether
// there was one.
func (x *agents) choose(hash uint64, s ServiceKey, tried []IP, p Priority, now time.Duration) (_ *agentView, _ class, busy bool) {
	var all, near pair
	best := classNever
	for _, a := range x.byService[s] {
		c := a.class(now, x.out)
		if a.busy(p, now) {
			busy = busy || c < classDoubted
			continue
		}
		if c > best || c == classNever || contains(tried, a.ip) {
			continue
		}
		if c < best {
			best, all, near = c, pair{}, pair{}
		}
		r := ranked{a, fleet.Mix(hash, a.key)}
		all.add(r)
		if a.status.Zone == x.zone {
			near.add(r)
		}
	}
	if busy && best >= classDoubted {
		// Room comes free sooner than one that is dead is found to be.
		return nil, best, true
	}
	if x.placement == PlaceByHash {
		return all.first.agent, best, busy
	}
	a, n := all.idler(), near.idler()
	if n != nil && n.nearEnough(a) {
		return n, best, busy
	}
	return a, best, busy
}

// pair is the two agents that a hash ranks first.
type pair struct{ first, second ranked }

func (p *pair) add(r ranked) {
	switch {
	case p.first.agent == nil || r.score > p.first.score:
		p.first, p.second = r, p.first
	case p.second.agent == nil || r.score > p.second.score:
		p.second = r
	}
}

// idler returns the less loaded of the two.
func (p *pair) idler() *agentView {
	if p.second.agent != nil && p.second.agent.load() < p.first.agent.load() {
		return p.second.agent
	}
	return p.first.agent
}

type ranked struct {
	agent *agentView
	score uint64
}

func contains(ips []IP, ip IP) bool {
	for _, x := range ips {
		if x == ip {
			return true
		}
	}
	return false
}
