package datagram

import "pomeloway.example/pomeloway/fleet"

// rank returns the agent's rank in a lookup of the flow with the given hash. Agents are
// asked in descending order of rank, which openings prefer within an availability zone and
// among all, but agents in evacuated zones come first.
//
// An agent in an evacuated zone drops packets of the flows that it holds. If it were asked
// after the others, agents that have just started would first forward packets of its flows
// to upstreams that do not hold them.
func (x *agents) rank(hash uint64, a *agentView) uint64 {
	r := fleet.Mix(hash, a.key) >> 1
	if x.zonesOut[a.status.Zone] {
		r |= 1 << 63
	}
	return r
}
