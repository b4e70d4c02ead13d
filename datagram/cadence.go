package datagram

import (
	"cmp"
	"slices"
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Intervals of the statuses that members send each other.
//
// In a small fleet every member sends its status to every other one each StatusInterval.
// The cost of this grows with the square of the fleet size. In a large fleet an agent
// therefore sends its status as often only to some balancers, called near, which rendezvous
// hashing selects, and seldom to the others, called far. Changes are sent to all at once.
// Near balancers report agents that become silent. A rarely updated status is used at
// whatever age it has: an agent that is dead is detected by the first opening that it
// leaves unanswered. The drawback is that most loads are outdated; answers to openings
// carry the load too.

const (
	// StatusInterval is the time between an agent's statuses to near balancers, and between
	// a balancer's statuses.
	StatusInterval = 250 * time.Millisecond
	// LargeFleetInterval replaces StatusInterval in a large fleet.
	LargeFleetInterval = 2 * StatusInterval
	// initialStatusInterval is the announced time until the status that follows the first
	// one to a new receiver. It exceeds LargeFleetInterval by the delay of a status, so
	// that an agent that dies right after its first status is detected as quickly as
	// others.
	initialStatusInterval = LargeFleetInterval + 100*time.Millisecond
	// nearAgentsPerBalancer is the average number of agents to which a balancer is near in
	// a large fleet.
	nearAgentsPerBalancer = 8
	// smallFleetAgents and smallFleetBalancers limit a fleet in which all members are near
	// each other, so that a node's share of the control traffic stays within its limit.
	smallFleetAgents    = 16
	smallFleetBalancers = 10
	// minNear is the number of near balancers of an agent in any fleet, so that two remain
	// if one dies.
	minNear = 3
	// nearPeers is the number of other balancers to which a balancer is near in a large
	// fleet.
	nearPeers = 4
	// farMessagesPerSecond is the number of messages per second that one receiver gets from
	// all members that are far from it.
	farMessagesPerSecond = 20
	// minFarInterval is as short as is cheap in a medium fleet, so that the far members'
	// statuses stay fresh there.
	minFarInterval = 2 * time.Second
)

// nearInterval returns the time between statuses to near members.
func nearInterval(agents, balancers int) time.Duration {
	if agents <= smallFleetAgents && balancers <= smallFleetBalancers {
		return StatusInterval
	}
	return LargeFleetInterval
}

// nearBalancerCount returns the number of balancers that are near an agent.
func nearBalancerCount(agents, balancers int) int {
	if agents <= smallFleetAgents && balancers <= smallFleetBalancers {
		return balancers
	}
	return max(minNear, nearAgentsPerBalancer*balancers/max(agents, 1))
}

// nearPeerCount returns the number of other balancers that are near a balancer.
func nearPeerCount(peers int) int {
	if peers <= smallFleetBalancers {
		return peers
	}
	return nearPeers
}

// farInterval returns the time between statuses to far members, given the number of senders
// in the fleet.
func farInterval(senders int) time.Duration {
	return max(minFarInterval, time.Duration(senders)*time.Second/farMessagesPerSecond)
}

// highestRanked returns the n addresses that rank highest for the key, or all if there are
// fewer. It may reorder ips.
func highestRanked(key uint64, ips []IP, n int) []IP {
	if n >= len(ips) {
		return ips
	}
	slices.SortFunc(ips, func(a, b IP) int { return cmp.Compare(score(key, b), score(key, a)) })
	return ips[:n]
}

// nearMembers returns the n members near a member: those that rank highest for its key. If all of
// these are in its own availability zone, one elsewhere replaces the last, so that a member that
// fails together with its zone is missed by somebody near it.
func nearMembers(key uint64, ips []IP, n int, own ZoneKey, zoneOf func(IP) ZoneKey) []IP {
	near := highestRanked(key, ips, n)
	inOwnZone := func(ip IP) bool { return zoneOf(ip) == own }
	if n >= len(ips) || len(near) == 0 || own == 0 || slices.ContainsFunc(near, func(ip IP) bool { return !inOwnZone(ip) }) {
		return near
	}
	if i := slices.IndexFunc(ips[n:], func(ip IP) bool { return !inOwnZone(ip) }); i >= 0 {
		near[n-1], ips[n+i] = ips[n+i], near[n-1]
	}
	return near
}

// score returns the rendezvous hashing weight of an address for a key, which is the same in
// every process.
func score(key uint64, ip IP) uint64 { return fleet.Mix(key, fleet.Mix(uint64(ip), 0)) }
