package datagram

import (
	"cmp"
	"slices"
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// How often members tell each other how they are.
//
// On a small site everybody tells everybody each StatusEvery. That grows with the
// square of the fleet, so on a large one each agent tells some balancers as often,
// chosen by rendezvous, and the others seldom; changes go to all at once. The near
// ones say who fell silent. What is heard seldom is used as late as it is: an
// agent that is dead is found by the first opening that it leaves unanswered.
// Given up: loads that are fresh everywhere; answers to openings carry them too.

const (
	// StatusEvery is how often an agent says how it is to balancers near it, and a
	// balancer what is in force.
	StatusEvery = 250 * time.Millisecond
	// LargeEvery is the same on a large fleet.
	LargeEvery = 2 * StatusEvery
	// greetEvery is within what a newcomer is told again, a status later than LargeEvery,
	// so that an agent that dies just after its greeting is found as soon as others.
	greetEvery = LargeEvery + 100*time.Millisecond
	// nearAgents is how many agents tell one balancer each LargeEvery on a large fleet.
	nearAgents = 8
	// smallAgents and smallBalancers bound a site on which all are near, so that a node's
	// share of control traffic stays within its limit.
	smallAgents    = 16
	smallBalancers = 10
	// nearLeast are told in any fleet, so that one death leaves two.
	nearLeast = 3
	// nearPeers is how many other balancers a balancer tells as often on a large fleet.
	nearPeers = 4
	// farRate is how many messages a second one receiver gets from all that are far from
	// it.
	farRate = 20
	// farLeast keeps those that are far on a middling site as fresh as is cheap.
	farLeast = 2 * time.Second
)

// nearEvery is how often those that are near are told.
func nearEvery(agents, balancers int) time.Duration {
	if agents <= smallAgents && balancers <= smallBalancers {
		return StatusEvery
	}
	return LargeEvery
}

// nearCount is how many balancers are near an agent.
func nearCount(agents, balancers int) int {
	if agents <= smallAgents && balancers <= smallBalancers {
		return balancers
	}
	return max(nearLeast, nearAgents*balancers/max(agents, 1))
}

// nearPeerCount is how many other balancers are near one.
func nearPeerCount(peers int) int {
	if peers <= smallBalancers {
		return peers
	}
	return nearPeers
}

// farEvery is how often the others are told, in a fleet with so many senders.
func farEvery(senders int) time.Duration {
	return max(farLeast, time.Duration(senders)*time.Second/farRate)
}

// nearest returns the n addresses that the key ranks first, or all.
func nearest(key uint64, ips []IP, n int) []IP {
	if n >= len(ips) {
		return ips
	}
	slices.SortFunc(ips, func(a, b IP) int { return cmp.Compare(score(key, b), score(key, a)) })
	return ips[:n]
}

// score ranks an address for a key, alike in every process.
func score(key uint64, ip IP) uint64 { return fleet.Mix(key, fleet.Mix(uint64(ip), 0)) }
