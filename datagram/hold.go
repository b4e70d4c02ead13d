package datagram

import (
	"math"
	"time"

	"pomeloway.example/pomeloway/events"
)

// While an upstream is full, its agent holds back urgent openings for a moment and forwards
// them as requests end. Otherwise the places would go to whatever arrives first, which
// under overload are requests on open flows: these pass no admission control. Held openings
// are forwarded in the order of arrival.

const (
	// maxHoldTime ends before the balancer would send the opening to another agent.
	maxHoldTime = minAnswerTimeout - 20*time.Millisecond
	// maxHeld bounds the openings held back. More would not be forwarded in time.
	maxHeld = 32
)

// heldOpening is an opening that waits for a place at the upstream.
type heldOpening struct {
	from    IP
	header  Message
	opening Packet
	since   time.Duration
	packet  [maxOpeningLen]byte
	length  int
}

// hold holds back an opening that found the upstream busy. It returns false if the opening
// has to be declined instead.
func (a *Agent) hold(from IP, h Message, k Packet, p []byte, now time.Duration) bool {
	if h.Priority != PriorityUrgent || len(a.held) >= maxHeld || len(p) > maxOpeningLen {
		return false
	}
	o := heldOpening{from: from, header: h, opening: k, since: now}
	o.length = copy(o.packet[:], p)
	a.held = append(a.held, o)
	a.Count.Held++
	a.Log.logDecision(decision{
		event: events.OpeningHeld, flow: k.Flow, agent: from, version: a.version,
		hop: uint8(min(a.requestCount(now), 255)),
	}, now)
	return true
}

// releaseHeld forwards the held openings for which there is a place, and declines those that
// have waited too long or can't be forwarded any more.
func (a *Agent) releaseHeld(now time.Duration) {
	for len(a.held) > 0 {
		o := a.held[0]
		h := o.header
		h.Budget = h.Budget.after(now - o.since)
		r := a.refusalReason(h, now)
		if r == ReasonBusy && now-o.since < maxHoldTime {
			return
		}
		a.held = a.held[1:]
		if r != ReasonNone {
			a.decline(o.from, h, o.opening.Flow, r, now)
			continue
		}
		a.Observe.record(ObserveHold, now-o.since)
		a.offer(o.from, h, o.opening, o.packet[:o.length], now)
	}
}

// nextHeld returns when a held opening has waited too long.
func (a *Agent) nextHeld() time.Duration {
	if len(a.held) == 0 {
		return math.MaxInt64
	}
	return a.held[0].since + maxHoldTime
}
