package datagram

import "time"

// Detection of cut-off balancers. A balancer that is cut off from the fleet may still be
// reachable for callers and routers, and everything that callers send to it is lost. So a
// balancer that receives from no agent of a service, and from fewer than half of the other
// balancers, is not ready, and it refuses openings of that service at once: the caller's
// next attempt uses another port and therefore most likely reaches another balancer. If
// instead the agents of a service have failed, the other balancers are still received, and
// openings wait for an agent that returns. A balancer without other balancers can't
// distinguish the two cases and stays ready.

// minPause is twice the longest time between two ticks. A process that was paused for
// longer has received nothing merely because it did not read.
const pauseLeast = 2 * StatusEvery

// detectPause records when this process resumed after a pause.
func (b *Balancer) noticePause(now time.Duration) {
	if now-b.atWork > pauseLeast {
		b.woke = now
		if b.atWork != 0 { // not the first call
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

// cutOffCheckInterval is the time between checks whether the balancer is cut off. Each
// check looks at all other balancers, which may be hundreds, and the work that is due is
// checked after every packet.
const lookAroundEvery = 50 * time.Millisecond

// checkCutOff records whether the balancer is cut off from the agents of any service.
func (b *Balancer) lookAround(now time.Duration) {
	if now-b.lookedAround >= lookAroundEvery {
		b.lookedAround, b.isolated = now, b.cutOffFromAny(now)
	}
}

// cutOffFromAny reports whether the balancer is cut off from the agents of any service.
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

// lostAgents reports whether the balancer has received statuses from agents of the service,
// but none recently. Far agents may send less often, but among many of them some send in
// time.
func (b *Balancer) blind(s ServiceKey, now time.Duration) bool {
	known, limit := false, b.lonelyAfter()
	for _, a := range b.agents.byService[s] {
		if a.reachable(now) && now-a.heard <= limit {
			return false
		}
		known = known || a.heard != 0
	}
	return known
}

// lostPeers reports whether fewer than half of the balancers that have sent a status in the
// last half minute still send them. After a pause it is false until the others have had
// time to send.
func (b *Balancer) lonely(now time.Duration) bool {
	after := b.lonelyAfter()
	if now-b.woke < after {
		return false
	}
	known, recent := 0, 0
	for _, p := range b.peers {
		if p.heard == 0 {
			continue
		}
		if known++; now-p.heard < after {
			recent++
		}
	}
	return 2*recent < known
}

// peerLossTimeout is the time after which a balancer counts as lost in lostPeers. Where
// most balancers are far, one missed status of each is enough, because they are many.
func (b *Balancer) lonelyAfter() time.Duration {
	if nearPeerCount(len(b.peers)) < len(b.peers) {
		return farEvery(len(b.peers)+1) + 2*StatusEvery + silentDelay
	}
	return b.peerSilentAfter()
}

// peerTimeout is how long another balancer may be silent before it is considered gone. It
// is computed as for agents, from the status interval between balancers.
func (b *Balancer) peerSilentAfter() time.Duration {
	interval := nearEvery(len(b.agents.byIP), len(b.peers)+1)
	if nearPeerCount(len(b.peers)) < len(b.peers) {
		interval = farEvery(len(b.peers) + 1)
	}
	return max(silentStatuses*interval, silentLeast) + silentDelay
}
