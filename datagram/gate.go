package datagram

import (
	"math"
	"time"

	"pomeloway.example/pomeloway/events"
)

// The gate decides on openings where all that binds one is known: beside the
// upstream, which nobody else feeds. A refusal names its reason, and the balancer
// goes on to another agent, so a wrong belief of a balancer costs one way and back.
// Given up: agents that pass openings on themselves, which saves that way and
// needs a list of members in each.

// refusal returns why the upstream gets no opening now.
func (a *Agent) refusal(h Message, now time.Duration) Reason {
	u := &a.upstream
	switch {
	case h.Service != a.Service:
		return ReasonService
	case a.zoneOut:
		return ReasonZoneOut
	case a.leaving, u.state == UpstreamDraining:
		return ReasonDraining
	case u.state == UpstreamGone, u.state == UpstreamAbsent:
		return ReasonGone
	case u.state == UpstreamUnknown && !a.mayTry():
		return ReasonUnknown
	case a.busy(h, now):
		return ReasonBusy
	case (now < u.coldTill || u.state == UpstreamUnknown) && h.Cold > 0 && !u.bucket.take(h.Cold.perSecond(), now):
		return ReasonCold
	}
	return ReasonNone
}

// recall is what an agent knows of its earlier runs beside the same upstream.
type recall uint8

const (
	recallNothing recall = iota // the record has not been read
	recallServing
	recallDraining
)

// Recall takes in whether an earlier run recorded that the upstream drains.
func (a *Agent) Recall(draining bool) {
	a.recalled = recallServing
	if draining {
		a.recalled = recallDraining
	}
}

// mayTry reports whether an upstream may get openings that has not announced itself
// since this agent started: it is there, it did not drain, and whether its zone is out is
// known.
//
// After a kill of all processes most agents return long before their upstreams' next
// heartbeats, and the few upstreams that are heard first can't serve all. Balancers ask
// the others before. It is held for cold.
func (a *Agent) mayTry() bool {
	return a.upstream.listens && a.revision > 0 && a.recalled == recallServing
}

// unknownSlots are taken for an upstream's that has not told its own; more than it has
// would make its requests wait.
const unknownSlots = 4

// size returns how many requests the upstream works on at once.
func (u *upstream) size() int {
	if u.state == UpstreamUnknown {
		return unknownSlots
	}
	return max(u.slots, 1)
}

// work is the requests that the upstream has, or will have in a moment.
func (a *Agent) work(now time.Duration) int { return a.underWay + a.coming.count(now) }

// load is the flows and requests there are, or will be in a moment.
func (a *Agent) load(now time.Duration) uint16 {
	return uint16(min(a.open+a.work(now), math.MaxUint16))
}

// busy reports whether the opening should go elsewhere. One that was declined
// everywhere comes again with another priority, and is taken while there is room.
//
// Only the agent knows its load in time: when all callers open at once, the upstreams
// that are heard first would get several times their share before the next status.
func (a *Agent) busy(h Message, now time.Duration) bool {
	limit := h.Priority.limit()
	if h.Priority == PriorityFirst && a.BusyAt != 0 {
		limit = a.BusyAt
	}
	return limit > 0 && float64(a.work(now)) >= limit*float64(a.upstream.size())
}

// coming counts openings that were given to the upstream and whose requests have
// not begun. Some never begin, as the caller chose another upstream, so the count
// halves with time.
type coming struct {
	n  float64
	at time.Duration
}

// comingHalf is some ways between caller and upstream and back.
const comingHalf = 20 * time.Millisecond

func (c *coming) add(n float64, now time.Duration) {
	c.n = max(0, c.n*math.Exp2(-float64(now-c.at)/float64(comingHalf))+n)
	c.at = now
}

func (c *coming) count(now time.Duration) int {
	c.add(0, now)
	return int(c.n)
}

// offer gives an opening to the upstream, or tells the balancer why not.
func (a *Agent) offer(from IP, h Message, p []byte, now time.Duration) {
	k, ok := a.Format.Parse(p)
	if !ok || !k.Open {
		a.Count.BadPackets++
		return
	}
	f, _ := a.flows.get(k.Flow)
	if f == nil || f.phase == flowAsked {
		if r := a.refusal(h, now); r != ReasonNone {
			a.decline(from, h, k.Flow, r, now)
			return
		}
		f = &flowState{phase: flowOffered, born: a.upstream.born, since: now}
		a.flows.set(k.Flow, f)
		a.coming.add(1, now)
		a.Count.Taken++
		a.Log.decide(decision{event: events.OpeningTaken, flow: k.Flow, agent: from, version: a.version, hop: uint8(min(a.underWay, 255))}, now)
	}
	f.balancer, f.opening = from, h.Opening
	if a.upstream.silent(now) {
		a.decline(from, h, k.Flow, ReasonSilent, now)
	}
	if a.upstream.gave == 0 {
		a.upstream.gave = now
	}
	a.give(p, pending{balancer: from, opening: h.Opening})
}

// give hands a packet to the upstream and remembers where it goes if bounced.
func (a *Agent) give(p []byte, x pending) {
	if a.last++; a.last == 0 {
		a.last++
	}
	x.scratch = a.last
	a.pending[a.last%pendingMost] = x
	a.Format.SetScratch(p, a.last)
	a.Out.ToUpstream(p)
}

func (a *Agent) decline(to IP, h Message, f Flow, r Reason, now time.Duration) {
	a.Count.Declined++
	a.Log.decide(decision{event: events.OpeningDeclined, flow: f, agent: to, reason: r, version: a.version}, now)
	a.hint(to, Message{Kind: KindRefused, Reason: r, Requests: uint8(min(a.work(now), math.MaxUint8)), Opening: h.Opening, Service: a.Service, Load: a.load(now)}, f)
}

// hint sends a balancer a message about a flow.
func (a *Agent) hint(to IP, h Message, f Flow) {
	m := a.scratch[:HeaderLen+flowLen]
	f.put(m[HeaderLen:])
	h.Put(m, a.Keys[0])
	a.Out.ToProcess(to, m)
}
