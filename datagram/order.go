package datagram

import "pomeloway.example/pomeloway/fleet"

// rank is the agent's place among those that a lookup asks for the flow with the hash,
// the highest first: as openings are placed, but those in availability zones that are
// out before the others.
//
// An agent in a zone that is out drops what it holds. Were it asked after others, agents
// that have just started would put a flow that it holds before foreign upstreams.
func (x *agents) rank(hash uint64, a *agentView) uint64 {
	r := fleet.Mix(hash, a.key) >> 1
	if x.out[a.status.Zone] {
		r |= 1 << 63
	}
	return r
}
