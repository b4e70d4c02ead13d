package datagram

import (
	"time"

	"pomeloway.example/pomeloway/events"
)

// A caller whose opening is refused gets a reset, and may try again at once through another
// balancer. A reset must not reach a flow that is open, so an opening that another balancer or
// an agent without an answer may have opened ends in silence.

// giveUp ends an opening that no agent accepted in time.
func (b *Balancer) giveUp(o *opening, now time.Duration) {
	if o.busy {
		b.refuseOpening(o, ReasonOverloaded, now)
		return
	}
	b.endInSilence(o, now)
}

// refuseOpening ends an opening that this balancer's agents did not accept, and resets it so
// that its caller knows at once. If an upstream may have the flow, the reset could end it
// while it lives, so there is none.
func (b *Balancer) refuseOpening(o *opening, r Reason, now time.Duration) {
	if o.unanswered || !o.allCopiesSeen(now) {
		b.endInSilence(o, now)
		return
	}
	p, _ := b.Format.Parse(o.packet[HeaderLen : HeaderLen+o.length])
	b.refuse(o.flow, p.Seq, r, now)
	b.removeOpening(o)
}

// noteCopy notes that the n-th retransmission of the opening arrived.
func (o *opening) noteCopy(n uint32) { o.copies |= 1 << min(n, 2) }

// allCopiesSeen reports whether all copies that the caller has sent came to this balancer.
// Another balancer may have opened the flow from any other one: routers send the copies of an
// opening to different balancers if a balancer leaves or joins in between.
func (o *opening) allCopiesSeen(now time.Duration) bool {
	for n := range uint32(3) {
		if now-o.started >= retransmissionAge(n) && o.copies&(1<<n) == 0 {
			return false
		}
	}
	return true
}

// endInSilence ends a round without an answer to the caller, whose retransmission starts the
// next one.
func (b *Balancer) endInSilence(o *opening, now time.Duration) {
	o.deadline, o.waitsForLink = 0, false
	b.Log.logDecision(decision{
		event: events.OpeningNoAgent, flow: o.flow,
		hop: uint8(o.attempts), reason: ReasonNoAgent, version: b.ConfigurationVersion(), age: now - o.started,
	}, now)
}

// refuse resets an opening that was sent to no agent, or that all agents refused.
func (b *Balancer) refuse(f Flow, seq uint32, cause Reason, now time.Duration) {
	b.Count.Resets++
	b.Log.logDecision(decision{
		event: events.OpeningRefused, flow: f, reason: cause, version: b.ConfigurationVersion(),
	}, now)
	b.sendReset(f, seq)
}

// sendReset resets the flow for its caller.
func (b *Balancer) sendReset(f Flow, seq uint32) {
	n := b.Format.PutReset(b.scratch[:], f, seq)
	b.Out.ToCaller(f.Caller.IP, b.scratch[:n])
}
