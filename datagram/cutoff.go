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
const minPause = 2 * StatusInterval

// detectPause records when this process resumed after a pause.
func (b *Balancer) detectPause(now time.Duration) {
	if now-b.lastActive > minPause {
		b.resumed = now
		if b.lastActive != 0 { // not the first call
			b.restartSuspicions(now)
			b.lastIsolated = now
		}
	}
	b.lastActive = now
}

// cutOff reports whether the balancer is cut off from the service's agents.
func (b *Balancer) cutOff(s ServiceKey, now time.Duration) bool {
	return b.lostAgents(s, now) && b.lostPeers(now)
}

// cutOffCheckInterval is the time between checks whether the balancer is cut off. Each
// check looks at all other balancers, which may be hundreds, and the work that is due is
// checked after every packet.
const cutOffCheckInterval = 50 * time.Millisecond

// checkCutOff records whether the balancer is cut off from the agents of any service.
func (b *Balancer) checkCutOff(now time.Duration) {
	if now-b.lastCutOffCheck >= cutOffCheckInterval {
		b.lastCutOffCheck, b.cutOffFound = now, b.cutOffFromAny(now)
	}
}

// cutOffFromAny reports whether the balancer is cut off from the agents of any service.
func (b *Balancer) cutOffFromAny(now time.Duration) bool {
	if !b.lostPeers(now) {
		return false
	}
	for s := range b.agents.byService {
		if b.lostAgents(s, now) {
			return true
		}
	}
	return false
}

// lostAgents reports whether the balancer has received statuses from agents of the service,
// but none recently. Far agents may send less often, but among many of them some send in
// time.
func (b *Balancer) lostAgents(s ServiceKey, now time.Duration) bool {
	known := false
	limit, _ := b.peerLossTimeout()
	for _, a := range b.agents.byService[s] {
		if a.reachable(now) && now-a.lastSeen <= limit {
			return false
		}
		known = known || a.lastSeen != 0
	}
	return known
}

// lostPeers reports whether the statuses of fewer than half of the balancers arrive that have
// sent one in the last half minute. After a pause it is false until the others have had time
// to send.
func (b *Balancer) lostPeers(now time.Duration) bool {
	after, share := b.peerLossTimeout()
	if now-b.resumed < after {
		return false
	}
	known, recent := 0, 0
	for _, p := range b.peers {
		if p.lastSeen == 0 {
			continue
		}
		if known++; now-p.lastSeen < after {
			recent++
		}
	}
	return 2*float64(recent) < share*float64(known)
}

// farRecentShare is the share of the far interval after which a status is no longer recent in
// lostPeers. The statuses of the balancers are spread over the interval, so while all arrive
// this share of them is recent. A smaller share detects a cut earlier and is less certain.
const farRecentShare = 0.75

// peerLossTimeout is the time after which a balancer's status is no longer recent in
// lostPeers, and the share of all balancers whose statuses are recent while all arrive.
func (b *Balancer) peerLossTimeout() (after time.Duration, share float64) {
	if nearPeerCount(len(b.peers)) < len(b.peers) {
		return time.Duration(farRecentShare*float64(farInterval(len(b.peers)+1))) + deliveryMargin, farRecentShare
	}
	return b.peerTimeout(), 1
}

// peerTimeout is how long another balancer may be silent before it is considered gone. It
// is computed as for agents, from the status interval between balancers.
func (b *Balancer) peerTimeout() time.Duration {
	interval := nearInterval(len(b.agents.byIP), len(b.peers)+1)
	if nearPeerCount(len(b.peers)) < len(b.peers) {
		interval = farInterval(len(b.peers) + 1)
	}
	return max(maxMissedStatuses*interval, minSilence) + deliveryMargin
}
