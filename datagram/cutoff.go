package datagram

import "time"

// Detection of cut-off balancers. A balancer that is cut off from the fleet may still be
// reachable for callers and routers, and everything that callers send to it is lost. So a
// balancer that receives from no agent of a service, and from far fewer of the other balancers than
// expected, is not ready, and it refuses openings of that service at once: the caller's
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

// lostPeers reports whether far fewer balancers than expected were heard recently, of those that
// have sent a status in the last half minute. After a pause it is false until the others have
// had time to send.
func (b *Balancer) lostPeers(now time.Duration) bool {
	after, share := b.peerLossTimeout()
	if now-b.resumed < after {
		return false
	}
	var h hearing
	for _, p := range b.peers {
		if p.lastSeen != 0 {
			h.add(share, now-p.lastSeen < after)
		}
	}
	return h.lost()
}

// hearing compares how many members were heard recently with how many are while all datagrams
// arrive.
type hearing struct {
	expected float64
	heard    int
}

// minHeardShare is the share of the expected members that must be heard. It leaves room for the
// loss of an availability zone of three, and in a large fleet, where about as many members as
// recentStatuses are expected, for chance.
const minHeardShare = 0.4

// add counts a member that is heard in the window with the given probability.
func (h *hearing) add(probability float64, heard bool) {
	h.expected += probability
	if heard {
		h.heard++
	}
}

// lost reports whether too few members were heard.
func (h *hearing) lost() bool { return float64(h.heard) < minHeardShare*h.expected }

const (
	// farRecentShare is the share of the far interval after which a status is no longer recent.
	// The statuses are spread over the interval, so while all arrive this share of them is
	// recent. A smaller share detects a cut earlier and is less certain.
	farRecentShare = 0.75
	// recentStatuses is the number of statuses from far members in the window beyond which it
	// is not extended, so that a cut is detected in the same time in a fleet of any size.
	recentStatuses = 40
	maxFarWindow   = recentStatuses * time.Second / farMessagesPerSecond
)

// farWindow returns the time after which a far member's status is no longer recent, and the
// probability that it is recent while all statuses arrive.
func farWindow(interval time.Duration) (after time.Duration, probability float64) {
	w := min(time.Duration(farRecentShare*float64(interval)), maxFarWindow)
	return w + deliveryMargin, float64(w) / float64(interval)
}

// peerLossTimeout is the time after which a balancer's status is no longer recent in
// lostPeers, and the share of all balancers whose statuses are recent while all arrive.
func (b *Balancer) peerLossTimeout() (after time.Duration, share float64) {
	if nearPeerCount(len(b.peers)) < len(b.peers) {
		return farWindow(farInterval(len(b.peers) + 1))
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
