package datagram

import (
	"maps"
	"slices"
	"time"
)

// Reconnection after a cut. Members that do not hear each other for long enough drop each other, and
// once the links are back nothing would bring them together again: records are read, and seeds are
// tried, when a process starts.
//
// So watchers go on contacting the recorded members that they do not hear, and tell each of the two
// sides of the other; an agent that hears no balancer tries its seeds and some of the balancers that it
// heard last, and has its record written again, in case it was removed meanwhile.

const (
	// lostMessagesPerSecond bounds what a watcher sends to agents that it has not heard for
	// expiryTime.
	lostMessagesPerSecond = 60
	// maxLostBalancers is the number of silent balancers that an agent goes on contacting if it hears
	// none. Its seeds may have been replaced.
	maxLostBalancers = 8
	// minRecordDelay and MaxRecordDelay bound the time between two checks of the record of an agent that
	// hears no balancer; it doubles with each one.
	minRecordDelay = deadMemberTimeout
	MaxRecordDelay = time.Minute
)

// keepDroppedPeer keeps the address of a balancer that was dropped. Only a watcher keeps them, as it learns
// when their records are removed.
func (b *Balancer) keepDroppedPeer(ip IP, p *peerView) {
	if !b.watching {
		return
	}
	if b.droppedPeers == nil {
		b.droppedPeers = map[IP]time.Duration{}
	}
	b.droppedPeers[ip] = p.lastActivity()
}

// forgetUnrecordedPeers forgets the dropped balancers that have no record.
func (b *Balancer) forgetUnrecordedPeers(ms []Member) {
	recorded := map[IP]bool{}
	for _, m := range ms {
		recorded[m.IP] = true
	}
	maps.DeleteFunc(b.droppedPeers, func(ip IP, _ time.Duration) bool { return !recorded[ip] })
}

// contactDroppedPeers sends the status to some of the dropped balancers, in turn.
func (b *Balancer) contactDroppedPeers(now time.Duration) {
	if !b.watching {
		clear(b.droppedPeers)
	}
	if len(b.droppedPeers) == 0 {
		return
	}
	const perTick = farMessagesPerSecond * int(StatusInterval) / int(time.Second)
	ips := slices.Sorted(maps.Keys(b.droppedPeers))
	for i := range min(perTick, len(ips)) {
		b.sendStatusTo(ips[(b.droppedPeerCursor+i)%len(ips)], now)
	}
	b.droppedPeerCursor = (b.droppedPeerCursor + perTick) % len(ips)
}

// expireBalancers drops the balancers that have sent nothing for too long. An agent that hears no balancer
// keeps some of them.
func (a *Agent) expireBalancers(now time.Duration) {
	after := a.balancerExpiry()
	var expired []IP
	for ip, b := range a.balancers {
		if now-b.lastSeen > after {
			expired = append(expired, ip)
		}
	}
	if now-a.heardAt > after {
		slices.Sort(expired)
		kept := highestRanked(uint64(a.Life), slices.Clone(expired), maxLostBalancers)
		expired = slices.DeleteFunc(expired, func(ip IP) bool { return a.balancers[ip].life != 0 && contains(kept, ip) })
	}
	for _, ip := range expired {
		delete(a.balancers, ip)
	}
}

// balancerExpiry returns the time after which a silent balancer is dropped.
func (a *Agent) balancerExpiry() time.Duration {
	return max(expiryTime, maxMissedStatuses*farInterval(len(a.balancers)))
}

// findBalancers contacts the seeds and has the record checked while no balancer is heard.
func (a *Agent) findBalancers(now time.Duration) {
	if now-a.heardAt <= deadMemberTimeout {
		a.recordDelay = 0
		return
	}
	for _, ip := range a.Seeds {
		a.AddBalancer(ip, now)
	}
	if a.recordDelay == 0 {
		a.recordDelay, a.recordCheckAt = minRecordDelay, now+minRecordDelay
	} else if now >= a.recordCheckAt {
		a.recordDelay = min(2*a.recordDelay, MaxRecordDelay)
		a.recordCheckAt = now + a.recordDelay
		a.checkRecord()
	}
}

// noteHeard notes that a balancer was heard. If none was for long, a watcher may have removed the record.
func (a *Agent) noteHeard(now time.Duration) {
	if now-a.heardAt > deadMemberTimeout {
		a.checkRecord()
	}
	a.heardAt = now
}

// checkRecord has the agent's record written if it is missing.
func (a *Agent) checkRecord() {
	if a.OnRecordInDoubt != nil {
		a.OnRecordInDoubt()
	}
}
