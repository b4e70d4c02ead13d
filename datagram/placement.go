package datagram

import (
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Placement of openings ("power of two choices"). An opening goes to the less loaded of the
// two agents that its flow's hash ranks highest, among the agents of the best class that
// are not busy, with a preference for the balancer's own availability zone. The cost is one
// pass over the agents of the service. The least loaded of all agents is not used, because
// every balancer would choose it at the same time.

// Placement is the algorithm by which a balancer chooses among equally suitable agents.
type Placement uint8

// Placement algorithms.
const (
	// PlaceByTwoChoices takes the less loaded of the two agents that the hash ranks
	// highest.
	PlaceByTwoChoices Placement = iota
	// PlaceByHash takes the agent that the hash ranks highest. It exists for comparison.
	PlaceByHash
)

// choose returns the agent for an opening and its class: of the best class, the less loaded
// of the two agents that the hash ranks highest, with a preference for the own availability
// zone.
//
// Agents in tried, and agents that would decline an opening of the priority, are left out.
// busy is true if an agent of the latter kind is neither doubted nor excluded.
func (x *agents) choose(hash uint64, s ServiceKey, tried []IP, p Priority, now time.Duration) (
	_ *agentView, _ class, busy bool,
) {
	var all, sameZone topTwo
	best := classExcluded
	for _, a := range x.byService[s] {
		c := a.class(now, x.zonesOut)
		if a.wouldDecline(p, now) {
			busy = busy || c < classDoubted
			continue
		}
		if c > best || c == classExcluded || contains(tried, a.ip) {
			continue
		}
		if c < best {
			best, all, sameZone = c, topTwo{}, topTwo{}
		}
		r := ranked{a, fleet.Mix(hash, a.key)}
		all.add(r)
		if a.status.Zone == x.zone {
			sameZone.add(r)
		}
	}
	if busy && best >= classDoubted {
		// A slot becomes free before a dead agent is detected.
		return nil, best, true
	}
	if x.placement == PlaceByHash {
		return all.first.agent, best, busy
	}
	a, n := all.lessLoaded(), sameZone.lessLoaded()
	if n != nil && n.isPreferred(a) {
		return n, best, busy
	}
	return a, best, busy
}

// topTwo holds the two agents that a hash ranks highest.
type topTwo struct{ first, second ranked }

func (p *topTwo) add(r ranked) {
	switch {
	case p.first.agent == nil || r.score > p.first.score:
		p.first, p.second = r, p.first
	case p.second.agent == nil || r.score > p.second.score:
		p.second = r
	}
}

// lessLoaded returns the less loaded of the two.
func (p *topTwo) lessLoaded() *agentView {
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
