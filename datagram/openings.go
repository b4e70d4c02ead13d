package datagram

import (
	"math"
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// An opening is kept until an agent says that its upstream accepted it, so that
// one that is lost, refused or sent to a dead agent goes to the next at once
// instead of waiting for the caller's copy.

const (
	// answerWithin is how long an agent has for an opening at least, and answerMost at
	// most, on a balancer that is slow to read answers: less than the caller waits
	// before it repeats itself.
	answerWithin = 60 * time.Millisecond
	answerMost   = 150 * time.Millisecond
	// openingLife is how long a caller waits for its flow, less the way of the answer.
	openingLife = 1300 * time.Millisecond
	// triedMost bounds the agents that one opening goes to in one round.
	triedMost = 16
	// openingsMost bounds the openings under way. One beyond it takes the place of the
	// oldest, which is then repeated by its caller alone.
	openingsMost = 1024
	// roomAfter is when an opening is tried again that found all agents full: about a
	// request's work, in which some slots come free.
	roomAfter    = 40 * time.Millisecond
	openingBytes = 128
)

// opening is one caller's attempt to open a flow.
type opening struct {
	id       uint32
	flow     Flow
	agent    IP
	at       time.Duration // when it was sent to the agent
	started  time.Duration
	tried    [triedMost]IP
	asked    int
	silent   bool // an agent that was asked did not answer, so it may still run
	idlest   IP   // the least busy of the agents that were busy, with its requests
	requests uint16
	busy     bool     // some agent was busy, and will have room
	priority Priority // at which it was sent
	forced   bool     // the idlest was told to take it
	waits    bool     // all were busy; it is tried again at the deadline
	urgent   bool
	aim      time.Duration
	packet   [HeaderLen + openingBytes]byte
	length   int
	service  ServiceKey
	deadline time.Duration // 0: nothing is waited for
}

// openings is a ring of attempts, and a queue of their deadlines. There are two
// lengths of waiting, so a new deadline stands at the queue's end or near it.
type openings struct {
	ring    []opening
	last    uint32
	queue   []deadline
	answers answerTimes
}

// answerTimes follows how long answers take, as RFC 6298 does round trips: on a balancer
// that is behind with its work they wait before they are read, and openings that were
// given to the next agent meanwhile would be that much more work for both.
type answerTimes struct{ mean, deviation time.Duration }

// add takes in the time that an answer took.
func (t *answerTimes) add(d time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = d, d/2
		return
	}
	t.deviation += ((d - t.mean).Abs() - t.deviation) / 4
	t.mean += (d - t.mean) / 8
}

// limit returns how long an agent has.
func (t *answerTimes) limit() time.Duration {
	return min(max(answerWithin, t.mean+4*t.deviation), answerMost)
}

// deadline is when an agent's time for the opening ends. It is void once the
// opening has another.
type deadline struct {
	id uint32
	at time.Duration
}

func newOpenings() openings { return openings{ring: make([]opening, openingsMost)} }

func (x *openings) get(id uint32) *opening {
	o := &x.ring[id%openingsMost]
	if id == 0 || o.id != id {
		return nil
	}
	return o
}

func (x *openings) add() *opening {
	x.last++
	if x.last == 0 {
		x.last++
	}
	o := &x.ring[x.last%openingsMost]
	*o = opening{id: x.last}
	return o
}

// wait gives the agent that is asked its time.
func (x *openings) wait(o *opening, now time.Duration) {
	o.at = now
	x.wake(o, now+x.answers.limit())
}

// wake gives the opening its next deadline, and the queue its order.
func (x *openings) wake(o *opening, at time.Duration) {
	o.deadline = at
	i := len(x.queue)
	for i > 0 && x.queue[i-1].at > at {
		i--
	}
	x.queue = slices.Insert(x.queue, i, deadline{o.id, at})
}

// answered notes the time of an answer; one that comes when another agent is asked has
// taken no longer than since the opening began.
func (x *openings) answered(o *opening, from IP, now time.Duration) {
	since := o.at
	if o.agent != from {
		since = o.started
	}
	x.answers.add(now - since)
}

// due returns when the first deadline is.
func (x *openings) due() time.Duration {
	for len(x.queue) > 0 {
		d := x.queue[0]
		if o := x.get(d.id); o != nil && o.deadline == d.at {
			return d.at
		}
		x.queue = x.queue[1:]
	}
	return math.MaxInt64
}

// open takes a caller's opening at m[HeaderLen:].
func (b *Balancer) open(m []byte, p Packet, now time.Duration) {
	b.Count.Openings++
	if at, ok := b.flows.get(p.Flow); ok {
		if o := b.openings.get(at.opening); o != nil {
			b.again(o, now)
			return
		}
		if a := b.agents.byIP[at.agent]; at.opening == 0 && a != nil && a.missed == 0 {
			// The upstream's acceptance was lost on its way; it sends it again.
			b.send(m, Message{Kind: KindOpening, Service: a.status.Service, Cold: b.cold(a.status.Service)}, a.ip)
			return
		}
	}
	if b.config == nil {
		return // the caller's copy comes when the configuration may be here
	}
	r, ok := b.config.Routes[p.Flow.Address]
	s, served := r.pick(p.Flow.hash())
	if !ok || !served {
		b.Count.NoRoute++
		b.refuse(p.Flow, p.Seq, ReasonNoRoute, now)
		return
	}
	if b.cutOff(s, now) {
		b.refuse(p.Flow, p.Seq, ReasonCutOff, now)
		return
	}
	o := b.openings.add()
	o.flow, o.service, o.started, o.urgent, o.aim = p.Flow, s, now-copyAge(p.Number), r.Urgent, r.Aim
	if n := len(m) - HeaderLen; n <= openingBytes {
		o.length = copy(o.packet[HeaderLen:], m[HeaderLen:])
	}
	b.flows.set(p.Flow, place{opening: o.id})
	b.try(o, now)
}

// again starts another round for a caller's copy of an opening.
func (b *Balancer) again(o *opening, now time.Duration) {
	if o.deadline != 0 {
		return // an agent is being asked
	}
	o.asked, o.idlest, o.busy, o.forced = 0, 0, false, false
	b.try(o, now)
}

// room tries an opening again that found all agents full, at the idlest of them.
func (b *Balancer) room(o *opening, now time.Duration) {
	o.waits = false
	p := o.repeated(now)
	a, c, busy := b.agents.choose(o.flow.hash(), o.service, nil, p, now)
	switch {
	case now-o.started > openingLife, a == nil && !busy:
		o.deadline = 0
	case a == nil:
		b.waitForRoom(o, now)
	default:
		o.forced = true
		b.ask(o, a, c, p, now)
	}
}

// copyAge is how long before a caller's copy of an opening the first was sent.
func copyAge(n uint32) time.Duration {
	switch n {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	}
	return 600 * time.Millisecond
}

// try sends the opening to the next agent.
func (b *Balancer) try(o *opening, now time.Duration) {
	var a *agentView
	var c class
	var busy bool
	p := PriorityFirst
	if o.late(now) {
		p = o.repeated(now)
	}
	if o.asked < triedMost && !o.forced {
		a, c, busy = b.agents.choose(o.flow.hash(), o.service, o.tried[:o.asked], p, now)
	}
	switch {
	case a != nil:
		o.tried[o.asked] = a.ip
		o.asked++
		b.ask(o, a, c, p, now)
	case busy && o.idlest == 0:
		b.waitForRoom(o, now)
	case o.insists(b, now):
		o.forced = true
		b.ask(o, b.agents.byIP[o.idlest], classReady, o.repeated(now), now)
	default:
		b.exhausted(o, now)
	}
}

// insists reports whether the idlest agent may take the opening at its next priority.
func (o *opening) insists(b *Balancer, now time.Duration) bool {
	a := b.agents.byIP[o.idlest]
	return a != nil && !o.forced && !a.busy(o.repeated(now), now)
}

// ask gives the opening to the agent.
func (b *Balancer) ask(o *opening, a *agentView, c class, p Priority, now time.Duration) {
	o.agent = a.ip
	a.asked++
	b.Log.decide(decision{
		event: events.OpeningPlaced, flow: o.flow, agent: a.ip, hop: uint8(o.asked), version: b.Configured(), class: c, age: now - a.heard,
	}, now)
	o.priority = p
	b.send(o.packet[:HeaderLen+o.length], Message{Kind: KindOpening, Priority: p, Opening: o.id, Service: o.service, Cold: b.cold(o.service)}, a.ip)
	b.openings.wait(o, now)
}

func (b *Balancer) cold(s ServiceKey) ColdRate { return ColdRateOf(b.config.Services[s].ColdRate) }

// exhausted ends a round in which every agent was asked. If all refused, no
// upstream has the flow and the caller is told at once; if one was silent, the
// caller's own copy starts the next round.
func (b *Balancer) exhausted(o *opening, now time.Duration) {
	o.deadline = 0
	if o.busy && now-o.started < openingLife-roomAfter {
		b.waitForRoom(o, now)
		return
	}
	if o.asked == 0 {
		b.Count.NoAgent++
	}
	if o.silent || o.asked == 0 {
		b.Log.decide(decision{event: events.OpeningUnplaced, flow: o.flow, hop: uint8(o.asked), reason: ReasonNoAgent, version: b.Configured(), age: now - o.started}, now)
		return
	}
	p, _ := b.Format.Parse(o.packet[HeaderLen : HeaderLen+o.length])
	b.refuse(o.flow, p.Seq, ReasonFull, now)
	b.drop(o)
}

// waitForRoom lets the opening wait until some upstream may have room.
func (b *Balancer) waitForRoom(o *opening, now time.Duration) {
	o.waits, o.busy = true, true
	b.openings.wake(o, now+roomAfter)
}

func (b *Balancer) drop(o *opening) {
	b.flows.remove(o.flow)
	*o = opening{}
}

// refuse resets an opening that no upstream has been given, or that all refused.
func (b *Balancer) refuse(f Flow, seq uint32, why Reason, now time.Duration) {
	b.Count.Resets++
	b.Log.decide(decision{event: events.OpeningRefused, flow: f, reason: why, version: b.Configured()}, now)
	b.reset(f, seq)
}

// reset tells the flow's caller that there is no such flow.
func (b *Balancer) reset(f Flow, seq uint32) {
	n := b.Format.PutReset(b.scratch[:], f, seq)
	b.Out.ToCaller(f.Caller.IP, b.scratch[:n])
}

func (b *Balancer) opened(from IP, h Message, p []byte, now time.Duration) {
	f, ok := flowFrom(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	b.Count.Opened++
	if o := b.openings.get(h.Opening); o != nil && o.flow == f {
		b.Observe.note(ObserveOpening, now-o.started)
		b.openings.answered(o, from, now)
		*o = opening{}
		b.flows.set(f, place{agent: from})
	}
	if a := b.agents.byIP[from]; a != nil {
		a.missed = 0
		a.answered(h.Load)
	}
}

func (b *Balancer) refused(from IP, h Message, now time.Duration) {
	o := b.openings.get(h.Opening)
	if o == nil || o.agent != from || o.deadline == 0 || o.waits {
		return
	}
	b.Count.Refused++
	b.openings.answered(o, from, now)
	if a := b.agents.byIP[from]; a != nil {
		a.answered(h.Load)
	}
	switch h.Reason {
	case ReasonUnknown, ReasonSilent:
		o.silent = true // its upstream may still answer, or be known in a moment
	case ReasonBusy:
		o.silent, o.busy = true, true // it will have room before the caller gives up
		if a := b.agents.byIP[from]; a != nil {
			a.decline(o.priority, int(h.Requests), now)
		}
		if o.idlest == 0 || h.Load < o.requests {
			o.idlest, o.requests = from, h.Load
		}
	}
	b.Log.decide(decision{event: events.OpeningPassed, flow: o.flow, agent: from, reason: h.Reason, hop: uint8(o.asked), version: b.Configured(), age: now - o.at}, now)
	b.try(o, now)
}

// retry goes on to the next agent for openings that were not answered in time.
func (b *Balancer) retry(now time.Duration) {
	for b.openings.due() <= now {
		o := b.openings.get(b.openings.queue[0].id)
		b.openings.queue = b.openings.queue[1:]
		if o.waits {
			b.room(o, now)
			continue
		}
		b.Count.Unanswered++
		if a := b.agents.byIP[o.agent]; a != nil {
			a.asked = max(0, a.asked-1)
			if a.heard < o.at {
				a.missed++
			}
		}
		o.silent = true
		b.Log.decide(decision{event: events.OpeningPassed, flow: o.flow, agent: o.agent, reason: ReasonSilent, hop: uint8(o.asked), version: b.Configured(), age: now - o.at}, now)
		if now-o.started > openingLife {
			o.deadline = 0
			continue
		}
		b.try(o, now)
	}
}
