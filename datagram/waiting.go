package datagram

import (
	"math"
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/waitqueue"
)

// An upstream processes what it has in the order of arrival. So that its agent decides the
// order, urgent openings and requests on open flows wait at the agent while the upstream is
// busy, all in one queue. While something waits, the upstream gets just enough to keep its
// slots busy. Requests that will be late get the places that are left over.
//
// Urgent openings wait for a moment only, as their balancer may find another upstream. Requests
// on open flows belong to this upstream. The first request of a flow, which was admitted with its
// opening, and urgent requests wait only if the upstream would reject them.

const (
	// maxHoldTime ends before the balancer would send the opening to another agent.
	maxHoldTime = minAnswerTimeout - 20*time.Millisecond
	// maxHeld bounds the openings held back. More would not be forwarded in time.
	maxHeld = 32
	// abandonedAfter is longer than callers wait between two copies of a packet.
	abandonedAfter = 2 * time.Second
	// requestsAhead is how many requests more than it has slots an upstream gets while others
	// wait here: enough for two answers before the agent has forwarded the next request.
	requestsAhead = 2
	// keepShare is the share of the target latency up to which an upstream's queue may delay a
	// request while nothing waits here. With the whole of it, urgent requests that take all
	// slots for some time stay behind a queue that makes them late.
	keepShare = 0.7
)

// waiting is an opening or a request on an open flow that waits for a place at the upstream.
type waiting struct {
	from   IP
	header Message // of an opening; of a request, its flags
	flow   Flow
	state  *flowState // of a request; nil for an opening
	packet []byte
	// admitted: the request had a place when the opening of its flow was forwarded.
	admitted bool
}

func (w *waiting) isOpening() bool { return w.state == nil }

// waitingEntry is an entry of the agent's queue.
type waitingEntry = waitqueue.Entry[waiting]

// hold holds back an opening that found the upstream busy. It returns false if the opening
// has to be declined instead.
func (a *Agent) hold(from IP, h Message, f Flow, p []byte, now time.Duration) bool {
	if h.Priority != PriorityUrgent || a.waitingOpenings >= maxHeld || len(p) > maxOpeningLen {
		return false
	}
	due := waitqueue.Never
	if h.Budget > 0 {
		due = now + h.Budget.duration()
	}
	e := a.waiting.Push(waitingEntry{
		Value:    waiting{from: from, header: h, flow: f, packet: slices.Clone(p)},
		Priority: waitqueue.Urgent, Size: len(p), Since: now, Due: due,
	}, now+maxHoldTime)
	if e == nil {
		return false
	}
	a.waitingOpenings++
	a.Count.Held++
	a.Log.logDecision(decision{
		event: events.OpeningHeld, flow: f, agent: from, version: a.version,
		hop: uint8(min(a.requestCount(now), 255)),
	}, now)
	return true
}

// noteTarget learns the target latency of a route, less the time that packets travel, from an
// opening.
func (a *Agent) noteTarget(e Endpoint, b Budget) {
	if b <= a.targets[e] {
		return
	}
	a.targets[e] = b
	a.shortestTarget = math.MaxInt64
	for _, t := range a.targets {
		a.shortestTarget = min(a.shortestTarget, t.duration())
	}
}

// keep keeps a request for which the upstream has no place. It returns false if the request has
// to be forwarded.
func (a *Agent) keep(k Flow, f *flowState, from IP, flags Flags, p []byte, now time.Duration) bool {
	target := a.targets[k.Address].duration()
	due := now + target
	if !f.hadRequest && f.due != 0 {
		due = f.due // the target latency counts from the opening
	}
	if target == 0 || a.hasPlaceFor(f, due-now, target, now) {
		return false
	}
	x := waitingEntry{
		Value:    waiting{from: from, header: Message{Flags: flags}, flow: k, state: f, packet: slices.Clone(p), admitted: f.isAdmitted()},
		Priority: waitqueue.Normal, Size: len(p), Since: now, Due: due,
	}
	if f.urgent {
		x.Priority = waitqueue.Urgent
	}
	f.waiting = a.waiting.Push(x, now+abandonedAfter)
	if f.waiting == nil {
		return false
	}
	if x.Value.admitted {
		a.waitingAdmitted++
	}
	a.Count.Kept++
	a.Log.logDecision(decision{
		event: events.RequestKept, flow: k, agent: from, request: a.Format.RequestID(p), version: a.version,
		hop: uint8(min(a.requestCount(now), 255)),
	}, now)
	return true
}

// hasPlaceFor reports whether a request is forwarded when it arrives, that has the given time left
// of its target latency.
//
// Without anything that waits, requests are forwarded as long as the upstream's queue takes only
// a part of the target latency. Admitted ones, which had a place when their opening was forwarded,
// wait only if the upstream would reject them. A request that would be late anyway at an upstream
// that rejects it is forwarded, because its caller is told at once.
func (a *Agent) hasPlaceFor(f *flowState, left, target, now time.Duration) bool {
	n, slots, s := a.upstreamCount(now), a.upstream.slotCount(), a.requests.serviceTime()
	switch {
	case s == 0 || a.hasPlace(now):
		return true
	case f.isAdmitted():
		n = a.requests.count() // its own opening is among those expected
		return !a.requests.isFull(n) || responseTime(s, n+a.waitingAdmitted, slots) > left
	case a.requests.isFull(n):
		return responseTime(s, n+a.waiting.Len(), slots) > left
	case a.waiting.Length(waitqueue.Normal) > 0:
		return false
	}
	return responseTime(s, n, slots) <= time.Duration(keepShare*float64(target))
}

// responseNow estimates how long it takes to answer a request that is forwarded now.
func (a *Agent) responseNow(now time.Duration) time.Duration {
	return responseTime(a.requests.serviceTime(), a.upstreamCount(now), a.upstream.slotCount())
}

// hasPlace reports whether the upstream needs another request to keep its slots busy.
func (a *Agent) hasPlace(now time.Duration) bool {
	return a.requests.count() < a.upstream.slotCount()+requestsAhead
}

// releaseWaiting forwards what waits as far as there are places, and ends what has waited too
// long or can't be forwarded any more.
func (a *Agent) releaseWaiting(now time.Duration) {
	q := &a.waiting
	for e := q.Expired(now); e != nil; e = q.Expired(now) {
		r := ReasonBusy
		if !e.Value.isOpening() {
			r = ReasonCallerLeft
		}
		a.endWaiting(e, r, now)
	}
	for q.Len() > 0 {
		place := a.hasPlace(now)
		if !place && q.Length(waitqueue.Urgent) == 0 && a.waitingAdmitted == 0 {
			return
		}
		d := a.responseNow(now)
		e := q.Next(now, d, func(e *waitingEntry) bool {
			switch {
			case e.Value.isOpening():
				return a.reasonToRefuse(openingHeader(e, now), now) != ReasonBusy
			case e.Value.admitted:
				return place || !a.requests.isFull(a.requests.count())
			}
			return place && (!e.IsLate(now, d) || a.requests.count() < a.upstream.slotCount())
		})
		if e == nil {
			return
		}
		a.release(e, now)
	}
}

// openingHeader returns the header of a held opening with the time that it has left.
func openingHeader(e *waitingEntry, now time.Duration) Message {
	h := e.Value.header
	h.Budget = h.Budget.after(now - e.Since)
	return h
}

// release forwards an entry, or ends it if the upstream must not get it.
func (a *Agent) release(e *waitingEntry, now time.Duration) {
	x := &e.Value
	if x.isOpening() {
		h := openingHeader(e, now)
		if r := a.refusalReason(h, now); r != ReasonNone {
			a.endWaiting(e, r, now)
			return
		}
		a.removeWaiting(e)
		a.Observe.record(waitObservations[e.Priority], now-e.Since)
		a.offer(x.from, h, x.flow, x.packet, now)
		return
	}
	if r := a.reasonToDrop(e, now); r != ReasonNone {
		a.endWaiting(e, r, now)
		return
	}
	a.removeWaiting(e)
	a.Observe.record(waitObservations[e.Priority], now-e.Since)
	a.logWaiting(events.KeptRequestForwarded, e, now)
	a.beginRequest(x.state, now)
	a.sendUpstream(x.packet, pending{balancer: x.from, flags: x.header.Flags})
}

// endWaiting ends an entry that is not forwarded: it declines an opening and drops a request.
func (a *Agent) endWaiting(e *waitingEntry, r Reason, now time.Duration) {
	if !e.Queued() {
		return
	}
	a.removeWaiting(e)
	a.Count.WaitEnded++
	a.Observe.record(waitObservations[e.Priority], now-e.Since)
	x := &e.Value
	a.Log.logDecision(decision{
		event: events.WaitEnded, flow: x.flow, agent: x.from, reason: r, version: a.version,
		hop: uint8(min(a.requestCount(now), 255)), age: now - e.Since, left: e.TimeLeft(now),
	}, now)
	if x.isOpening() {
		a.decline(x.from, openingHeader(e, now), x.flow, r, now)
		return
	}
	a.logWaiting(events.KeptRequestDropped, e, now)
}

// waitingRequests returns the number of requests that wait, without openings.
func (a *Agent) waitingRequests() int { return a.waiting.Len() - a.waitingOpenings }

// removeWaiting removes an entry from the queue and from what is counted beside it.
func (a *Agent) removeWaiting(e *waitingEntry) {
	a.waiting.Remove(e)
	x := &e.Value
	switch {
	case x.isOpening():
		a.waitingOpenings--
		return
	case x.admitted:
		a.waitingAdmitted--
	}
	if x.state.waiting == e {
		x.state.waiting = nil
	}
}

func (a *Agent) logWaiting(id events.ID, e *waitingEntry, now time.Duration) {
	a.Log.logDecision(decision{
		event: id, flow: e.Value.flow, agent: e.Value.from, version: a.version,
		hop: uint8(min(a.requestCount(now), 255)), age: now - e.Since,
	}, now)
}

// reasonToDrop returns why a request that waits must not be forwarded any more, or ReasonNone.
func (a *Agent) reasonToDrop(e *waitingEntry, now time.Duration) Reason {
	x := &e.Value
	f, known := a.flows.get(x.flow)
	switch {
	case !known || f != x.state || f.waiting != e || f.phase != flowOpen:
		return ReasonNotFound
	case !a.isCurrentRun(f.born):
		return ReasonUpstreamGone
	case a.isEvacuated(x.flow, now):
		return ReasonZoneOut
	}
	return ReasonNone
}

// isAdmitted reports whether the flow's next request had a place when its opening was forwarded:
// urgent routes have a flow for each request.
func (f *flowState) isAdmitted() bool { return f.urgent || !f.hadRequest }

// isWaiting reports whether the flow's request waits at the agent.
func (f *flowState) isWaiting() bool { return f.waiting.Queued() }
