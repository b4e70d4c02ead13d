package datagram

import "time"

// A balancer that is cut off from the fleet may still be reached by callers and by
// routers, and all that callers send there is lost. So a balancer that hears no agent of
// a service, and of the other balancers fewer than half, is not ready, and refuses
// openings of that service at once: the caller's next try has another port, and so mostly
// another balancer. If the agents of a service have died the others are heard, and
// openings wait for one that returns. A balancer that has no others can't tell, and stays.

// pauseLeast is twice the longest time between two ticks. A process that stood still
// for longer has heard nobody for want of listening.
const pauseLeast = 2 * StatusEvery

// noticePause notes when this process went on after a pause.
func (b *Balancer) noticePause(now time.Duration) {
	if now-b.atWork > pauseLeast {
		b.woke = now
		if b.atWork != 0 { // it has worked before
			b.suspectAnew(now)
			b.apartAt = now
		}
	}
	b.atWork = now
}

// cutOff reports whether the balancer is cut off from the service's agents.
func (b *Balancer) cutOff(s ServiceKey, now time.Duration) bool {
	return b.blind(s, now) && b.lonely(now)
}

// lookAroundEvery spaces the looks at whether the balancer is cut off. Each is at all
// other balancers, which may be hundreds, and what is due is asked after every packet.
const lookAroundEvery = 50 * time.Millisecond

// lookAround notes whether the balancer is cut off from the agents of any service.
func (b *Balancer) lookAround(now time.Duration) {
	if now-b.lookedAround >= lookAroundEvery {
		b.lookedAround, b.isolated = now, b.cutOffFromAny(now)
	}
}

// cutOffFromAny reports whether it is cut off from the agents of any service.
func (b *Balancer) cutOffFromAny(now time.Duration) bool {
	if !b.lonely(now) {
		return false
	}
	for s := range b.agents.byService {
		if b.blind(s, now) {
			return true
		}
	}
	return false
}

// blind reports whether agents of the service were heard, and none of them lately. Those
// that are far may speak more seldom; of many some speak in time.
func (b *Balancer) blind(s ServiceKey, now time.Duration) bool {
	known, lately := false, b.lonelyAfter()
	for _, a := range b.agents.byService[s] {
		if a.reachable(now) && now-a.heard <= lately {
			return false
		}
		known = known || a.heard != 0
	}
	return known
}

// lonely reports whether fewer than half of the balancers that were heard in the last
// half minute are heard still. After a pause it is not, until others had time to speak.
func (b *Balancer) lonely(now time.Duration) bool {
	after := b.lonelyAfter()
	if now-b.woke < after {
		return false
	}
	known, heard := 0, 0
	for _, p := range b.peers {
		if p.heard == 0 {
			continue
		}
		if known++; now-p.heard < after {
			heard++
		}
	}
	return 2*heard < known
}

// lonelyAfter is how long others may be silent before the balancer looks whether half of
// them are. Where most are far one status of each is enough, as they are many.
func (b *Balancer) lonelyAfter() time.Duration {
	if nearPeerCount(len(b.peers)) < len(b.peers) {
		return farEvery(len(b.peers)+1) + 2*StatusEvery + silentDelay
	}
	return b.peerSilentAfter()
}

// peerSilentAfter is how long another balancer may be silent before it counts as
// gone: as agents are given, by how often balancers tell each other.
func (b *Balancer) peerSilentAfter() time.Duration {
	every := nearEvery(len(b.agents.byIP), len(b.peers)+1)
	if nearPeerCount(len(b.peers)) < len(b.peers) {
		every = farEvery(len(b.peers) + 1)
	}
	return max(silentStatuses*every, silentLeast) + silentDelay
}
