package datagram

import (
	"encoding/binary"
	"time"
)

// An agent that is not heard, or that another balancer calls silent, is suspected: it gets
// openings after the others, and it is asked to tell everything again. One that answers is
// no longer suspected, and what was lost meanwhile is known. One that left several
// questions unanswered is held for gone with its flows. So neither lost statuses nor
// another balancer's word end flows that live. Questions of a balancer that hears few
// others count for nothing, as it is rather cut off itself.

const (
	// askEvery spaces the questions to a suspected agent until it is held for gone, and
	// farLeast after that.
	askEvery = StatusEvery
	// asksUnanswered is how many an agent leaves unanswered before it is held for gone:
	// over a time in which a killed process is started again.
	asksUnanswered = 5
	// asksEach bounds the agents that are asked in one turn, for the loss of an
	// availability zone of a large fleet.
	asksEach = 256
	// goneAfter is within what an agent that dies is held for gone by those near it.
	goneAfter = silentStatuses*LargeEvery + silentDelay + (asksUnanswered+1)*askEvery
)

// suspicion is a balancer's suspicion that an agent has ended.
type suspicion struct {
	since time.Duration // 0: none
	asks  int           // questions since then that count
	asked time.Duration // when the last was sent; 0: never
}

// due reports whether it is time for another question, if that counts.
func (s *suspicion) due(counts bool, now time.Duration) bool {
	every := askEvery
	if !counts || s.asks >= asksUnanswered {
		every = farLeast
	}
	return s.asked == 0 || now-s.asked >= every
}

// confirmed reports whether the agent has left enough questions unanswered.
func (s *suspicion) confirmed(now time.Duration) bool {
	return s.asks > asksUnanswered || s.asks == asksUnanswered && now-s.asked >= askEvery
}

// suspect notes that an agent may have ended.
func (b *Balancer) suspect(a *agentView, why string, now time.Duration) {
	a.suspicion = suspicion{since: now}
	b.Log.agentChanged(a, why, now)
}

// hearSilent takes in that a balancer near an agent does not hear it. One's own ears go
// before another's.
func (b *Balancer) hearSilent(p []byte, now time.Duration) {
	if len(p) != silentLen {
		b.Count.BadMessages++
		return
	}
	a := b.agents.byIP[IP(binary.BigEndian.Uint32(p))]
	if a == nil || a.status.Life != Life(binary.BigEndian.Uint64(p[4:])) || a.near() || a.suspicion.since != 0 {
		return
	}
	b.suspect(a, "told silent", now)
	b.verify(a, now)
}

const silentLen = 4 + 8

// suspectSilent suspects the agents that are not heard any more, and tells the other
// balancers of those near this one.
func (b *Balancer) suspectSilent(now time.Duration) {
	for _, a := range b.agents.byIP {
		if a.heard == 0 || a.suspicion.since != 0 || !a.silent(now) {
			continue
		}
		b.suspect(a, "silent", now)
		if a.near() {
			b.sayIsSilent(a)
		}
	}
}

// sayIsSilent tells the other balancers that this one does not hear an agent.
func (b *Balancer) sayIsSilent(a *agentView) {
	m := b.scratch[:HeaderLen+silentLen]
	binary.BigEndian.PutUint32(m[HeaderLen:], uint32(a.ip))
	binary.BigEndian.PutUint64(m[HeaderLen+4:], uint64(a.status.Life))
	h := Message{Kind: KindSilent}
	h.Put(m, b.Keys[0])
	for ip := range b.peers {
		b.Out.ToProcess(ip, m)
	}
}

// verifySuspects asks the suspected agents whose time it is, and after a cut those that
// were not heard since: what they told meanwhile is lost.
func (b *Balancer) verifySuspects(now time.Duration) {
	left, counts := asksEach, !b.apart(now)
	if !counts {
		b.apartAt = now
	}
	for _, a := range b.agents.byIP {
		suspected := a.suspicion.since != 0
		wanted := suspected || counts && b.stale(a)
		if left == 0 || !wanted || a.holdsNone() || !a.suspicion.due(counts, now) {
			continue
		}
		if suspected && counts {
			a.suspicion.asks++
		}
		b.verify(a, now)
		left--
	}
}

// stale reports whether the agent was not heard since this balancer was cut off.
func (b *Balancer) stale(a *agentView) bool { return a.heard != 0 && a.heard <= b.apartAt }

// apart reports whether the statuses of more than half of the agents near this balancer
// are overdue, or it hears fewer than half of the other balancers: it is rather cut off
// than alone alive. Agents that are far speak too seldom to tell.
func (b *Balancer) apart(now time.Duration) bool {
	near, onTime := 0, 0
	for _, a := range b.agents.byIP {
		if !a.near() || a.holdsNone() {
			continue
		}
		if near++; now-a.heard <= a.status.Every.Duration()+StatusEvery+silentDelay {
			onTime++
		}
	}
	return 2*onTime < near || b.lonely(now)
}

// verify has an agent say that it lives and tell its flows again.
func (b *Balancer) verify(a *agentView, now time.Duration) {
	a.suspicion.asked = now
	b.send(b.scratch[:HeaderLen], Message{Kind: KindResend}, a.ip)
}

// suspectAnew forgets what agents left unanswered while this process stood still, as it
// read no answer.
func (b *Balancer) suspectAnew(now time.Duration) {
	for _, a := range b.agents.byIP {
		if a.suspicion.since != 0 {
			a.suspicion = suspicion{since: now}
		}
		if a.heard == 0 {
			a.noted = now
		}
	}
}
