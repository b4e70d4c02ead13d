package datagram

import (
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// The order of a walk is that of a hash over the agents of the flow's services, which
// every balancer works out alike from the members that it knows, so that any of them can
// carry a walk on. Cost: a look at each agent for each step. Given up: a list kept sorted
// for each flow.

// first returns where a walk for an established flow begins.
func (x *agents) first(hash uint64, ss []ServiceKey, now time.Duration) *agentView {
	return x.below(hash, ss, 0, now)
}

// next returns the agent that the walk asks after the last one, or nil when it
// comes back to where it started. The order is that of the hash over whatever
// members this process knows, so balancers with other views carry on the walk.
func (x *agents) next(hash uint64, ss []ServiceKey, last, start IP, now time.Duration) *agentView {
	l, s := x.rankOf(hash, last), x.rankOf(hash, start)
	a := x.below(hash, ss, l, now)
	if a == nil {
		a = x.first(hash, ss, now)
	}
	if a == nil || a.ip == start || a.ip == last || wrapped(l, x.rank(hash, a), s) {
		return nil
	}
	return a
}

// rank is the agent's place in a walk, the highest first: by hash, those in zones
// that are out before the others.
//
// An agent in a zone that is out drops what it holds. Were it asked after others, a
// flow that it holds would meanwhile be put before foreign upstreams by agents that
// were just started, and never reach its own.
func (x *agents) rank(hash uint64, a *agentView) uint64 {
	r := fleet.Mix(hash, a.key) >> 1
	if x.out[a.status.Zone] {
		r |= 1 << 63
	}
	return r
}

func (x *agents) rankOf(hash uint64, ip IP) uint64 {
	if a := x.byIP[ip]; a != nil {
		return x.rank(hash, a)
	}
	return score(hash, ip) >> 1
}

// wrapped reports whether going down from last to next passes start, for a
// start that this process doesn't know.
func wrapped(last, next, start uint64) bool {
	if next < last {
		return start < last && start > next
	}
	return start < last || start > next
}

// below returns the reachable agent with the highest score under the last one's,
// or of all if that is 0.
func (x *agents) below(hash uint64, ss []ServiceKey, last uint64, now time.Duration) *agentView {
	var best ranked
	for _, s := range ss {
		for _, a := range x.byService[s] {
			r := ranked{a, x.rank(hash, a)}
			if a.reachable(now) && (last == 0 || r.score < last) && (best.agent == nil || r.score > best.score) {
				best = r
			}
		}
	}
	return best.agent
}

// unasked calls f for the agents of the services that a walk that ends now may
// have passed over, and reports whether a flow may live that the walk did not
// find after so many agents denied it.
//
// An agent that is first heard while a walk is past its place is not asked, and
// is no longer silent when the walk ends; its flow was reset while it lived, by
// balancers that had just started. It shows in fewer denials than agents.
func (x *agents) unasked(ss []ServiceKey, denials int, now time.Duration, f func(*agentView)) (mayLive bool) {
	known := 0
	for _, s := range ss {
		for _, a := range x.byService[s] {
			if a.reachable(now) {
				known++
				continue
			}
			mayLive = mayLive || a.mayLive(now)
			f(a)
		}
	}
	return mayLive || denials < known
}
