package datagram

import (
	"encoding/binary"
	"time"
)

// Failure detection of agents. A balancer suspects an agent that has become silent, or that
// another balancer reports as silent. A suspected agent receives openings after the others,
// and it is asked to send its flow entries again. If it answers, the suspicion ends and any
// entries that were lost are restored. If it leaves several of these verifications
// unanswered, the agent and its flows are considered gone. Thus neither lost statuses nor
// another balancer's report can end flows that are alive. Verifications by a balancer that
// receives from few others do not count, because that balancer is probably cut off itself.

const (
	// verifyInterval is the time between verifications of a suspected agent until it is
	// considered gone. After that the interval is minFarInterval, or longer among many.
	verifyInterval = StatusInterval
	// maxUnanswered is the number of verifications that an agent leaves unanswered before
	// it is considered gone. Together they take longer than restarting a killed process.
	maxUnanswered = 5
	// maxVerifiesPerTick limits the agents that are verified at a time, for the loss of an
	// availability zone in a large fleet.
	maxVerifiesPerTick = 256
	// failureDetectionTime is the time within which near balancers consider an agent gone
	// that has died.
	failureDetectionTime = maxMissedStatuses*LargeFleetInterval + deliveryMargin + (maxUnanswered+1)*verifyInterval
)

// suspicion records since when a balancer suspects an agent, and how it was verified since.
type suspicion struct {
	since         time.Duration // when it began; 0: no suspicion
	verifications int           // verifications since then that count
	lastVerified  time.Duration // when the last one was sent; 0: never
}

// due reports whether the next verification is due, among a number of suspects. counts is true if it
// would count towards maxUnanswered.
func (s *suspicion) due(counts bool, suspects int, now time.Duration) bool {
	interval := verifyInterval
	if !counts || s.verifications >= maxUnanswered {
		interval = minFarInterval
	}
	if s.since != 0 && now-s.since > expiryTime {
		interval = max(interval, time.Duration(suspects)*time.Second/lostMessagesPerSecond)
	}
	return s.lastVerified == 0 || now-s.lastVerified >= interval
}

// confirmed reports whether the agent has left enough verifications unanswered to be
// considered gone.
func (s *suspicion) confirmed(now time.Duration) bool {
	return s.verifications > maxUnanswered || s.verifications == maxUnanswered && now-s.lastVerified >= verifyInterval
}

// suspect begins a suspicion of the agent and logs its cause.
func (b *Balancer) suspect(a *agentView, cause string, now time.Duration) {
	a.suspicion = suspicion{since: now}
	b.Log.agentChanged(a, cause, now)
}

// handleSilent processes a report that an agent is silent, from a balancer near it. If this
// balancer is near the agent too, its own observation takes precedence.
func (b *Balancer) handleSilent(p []byte, now time.Duration) {
	if len(p) != silentMessageLen {
		b.Count.BadMessages++
		return
	}
	a := b.agents.byIP[IP(binary.BigEndian.Uint32(p))]
	if a == nil || a.status.Life != Life(binary.BigEndian.Uint64(p[4:])) || a.near() || a.suspicion.since != 0 {
		return
	}
	b.suspect(a, "told silent", now)
	if !b.isolated(now) {
		a.suspicion.verifications++
	}
	b.verify(a, now)
}

const silentMessageLen = 4 + 8

// suspectSilent marks the agents that have become silent as suspected, and reports those
// near this balancer to the other balancers.
func (b *Balancer) suspectSilent(now time.Duration) {
	for _, a := range b.agents.byIP {
		if a.lastSeen == 0 || a.suspicion.since != 0 || !a.silent(now) {
			continue
		}
		b.suspect(a, "silent", now)
		if a.near() {
			b.reportSilent(a)
		}
	}
}

// reportSilent reports to the other balancers that the agent is silent.
func (b *Balancer) reportSilent(a *agentView) {
	m := b.scratch[:HeaderLen+silentMessageLen]
	binary.BigEndian.PutUint32(m[HeaderLen:], uint32(a.ip))
	binary.BigEndian.PutUint64(m[HeaderLen+4:], uint64(a.status.Life))
	h := Message{Kind: KindSilent}
	h.Put(m, b.Keys[0])
	for ip := range b.peers {
		b.Out.ToProcess(ip, m)
	}
}

// verifySuspects verifies the suspected agents that are due. After this balancer was
// isolated, it also verifies the agents that have sent nothing since, because the entries
// that they sent meanwhile are lost.
func (b *Balancer) verifySuspects(now time.Duration) {
	left, counts := maxVerifiesPerTick, !b.isolated(now)
	if !counts {
		b.lastIsolated = now
	}
	suspects := b.suspects
	b.suspects = 0
	for _, a := range b.agents.byIP {
		suspected := a.suspicion.since != 0
		if suspected {
			b.suspects++
		}
		wanted := suspected || counts && b.silentSinceIsolation(a)
		if left == 0 || !wanted || a.holdsNoFlows() || !a.suspicion.due(counts, suspects, now) {
			continue
		}
		if suspected && counts {
			a.suspicion.verifications++
		}
		b.verify(a, now)
		left--
	}
}

// silentSinceIsolation reports whether the agent has sent nothing since this balancer was isolated.
func (b *Balancer) silentSinceIsolation(a *agentView) bool {
	return a.lastSeen != 0 && a.lastSeen <= b.lastIsolated
}

// isolated reports whether this balancer is probably cut off: far fewer near agents and balancers
// than expected were heard recently. It is less likely that all of these have failed. Near agents
// alone don't tell: a balancer has only a few, and by chance most of them are in an availability
// zone that fails. Far agents are ignored, as their statuses may all arrive at the same moment.
func (b *Balancer) isolated(now time.Duration) bool {
	var h hearing
	for _, a := range b.agents.byIP {
		if a.near() && !a.holdsNoFlows() {
			h.add(1, now-a.lastSeen <= a.status.Interval.Duration()+StatusInterval+deliveryMargin)
		}
	}
	after, share := b.peerLossTimeout()
	for _, p := range b.peers {
		if p.lastSeen != 0 {
			h.add(share, now-p.lastSeen < after)
		}
	}
	return h.lost()
}

// verify asks an agent to send all its flow entries again, which also proves that it is
// alive.
func (b *Balancer) verify(a *agentView, now time.Duration) {
	a.suspicion.lastVerified = now
	b.send(b.scratch[:HeaderLen], Message{Kind: KindResend}, a.ip)
}

// restartSuspicions discards the unanswered verifications of the time in which this process
// was paused, because it read no answers.
func (b *Balancer) restartSuspicions(now time.Duration) {
	for _, a := range b.agents.byIP {
		if a.suspicion.since != 0 {
			a.suspicion = suspicion{since: now}
		}
		if a.lastSeen == 0 {
			a.discovered = now
		}
	}
}
