package datagram

import (
	"math"
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// An opening is a caller's packet that asks for a new flow. The balancer keeps it until an
// agent reports that its upstream accepted the flow. If the opening is lost, refused or
// sent to a dead agent, the next agent gets it at once, without waiting for the caller's
// retransmission.

const (
	// minAnswerTimeout and maxAnswerTimeout bound how long the balancer waits for an
	// agent's answer to an opening. The timeout grows on a balancer that is slow to read
	// answers, but stays below the caller's retransmission interval.
	answerWithin = 60 * time.Millisecond
	answerMost   = 150 * time.Millisecond
	// openingTimeout is how long a caller waits for its flow, less the time that the answer
	// takes to reach it.
	openingLife = 1300 * time.Millisecond
	// maxAttempts bounds the agents that an opening is sent to in one round.
	triedMost = 16
	// maxOpenings bounds the openings in progress. One more replaces the oldest, which then
	// continues only when its caller retransmits it.
	openingsMost = 1024
	// capacityRetryDelay is the delay before an opening that found all agents busy is tried
	// again. It is about the time of one request, in which some slots become free.
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
	silent   bool // some agent did not refuse for good: the caller is not reset
	idlest   IP   // the least loaded of the busy agents, with its load
	requests uint16
	busy     bool     // some agent was busy, so capacity will become free
	priority Priority // priority at which it was last sent
	forced   bool     // it was already sent at a retry priority in this round
	waits    bool     // all agents were busy; it is tried again at the deadline
	urgent   bool
	aim      time.Duration
	packet   [HeaderLen + openingBytes]byte
	length   int
	service  ServiceKey
	deadline time.Duration // 0 means none
}

// openings is a ring buffer of openings, and a queue of their deadlines in order of time.
// There are only two kinds of delays, so a new deadline belongs at or near the queue's end.
type openings struct {
	ring    []opening
	last    uint32
	queue   []deadline
	answers answerTimes
}

// answerTimes estimates the answer timeout from the time that answers take, with the
// algorithm of RFC 6298 for round-trip times. On an overloaded balancer answers wait before
// they are read. With a fixed timeout it would send the openings to further agents
// meanwhile, which adds to the load of both.
type answerTimes struct{ mean, deviation time.Duration }

// add adds one measured answer time.
func (t *answerTimes) add(d time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = d, d/2
		return
	}
	t.deviation += ((d - t.mean).Abs() - t.deviation) / 4
	t.mean += (d - t.mean) / 8
}

// timeout returns how long to wait for an agent's answer.
func (t *answerTimes) limit() time.Duration {
	return min(max(answerWithin, t.mean+4*t.deviation), answerMost)
}

// deadline is an entry of the queue. It is stale if the opening has got another deadline
// since.
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

// startTimeout starts the timeout for the agent that was sent the opening.
func (x *openings) wait(o *opening, now time.Duration) {
	o.at = now
	x.wake(o, now+x.answers.limit())
}

// setDeadline sets the opening's deadline and inserts it into the queue in order.
func (x *openings) wake(o *opening, at time.Duration) {
	o.deadline = at
	i := len(x.queue)
	for i > 0 && x.queue[i-1].at > at {
		i--
	}
	x.queue = slices.Insert(x.queue, i, deadline{o.id, at})
}

// recordAnswer measures the time of an answer. For an answer from an earlier agent, whose
// send time is no longer known, the time since the opening began is an upper bound.
func (x *openings) answered(o *opening, from IP, now time.Duration) {
	since := o.at
	if o.agent != from {
		since = o.started
	}
	x.answers.add(now - since)
}

// nextDeadline returns the earliest deadline.
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

// handleOpening handles a caller's opening in m[HeaderLen:].
func (b *Balancer) open(m []byte, p Packet, now time.Duration) {
	b.Count.Openings++
	if at, ok := b.flows.get(p.Flow); ok {
		if o := b.openings.get(at.opening); o != nil {
			b.again(o, now)
			return
		}
		if a := b.agents.byIP[at.agent]; at.opening == 0 && a != nil && a.missedOpenings == 0 {
			// The upstream's acceptance was lost; this makes the upstream send it again.
			b.send(m, Message{Kind: KindOpening, Service: a.status.Service, Cold: b.cold(a.status.Service)}, a.ip)
			return
		}
	}
	if b.config == nil {
		return // the caller retransmits; there may be a configuration by then
	}
	r, ok := b.config.Routes[p.Flow.Address]
	s, served := r.pickService(p.Flow.hash())
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
	o.flow, o.service, o.started, o.urgent, o.aim = p.Flow, s, now-copyAge(p.Number), r.Urgent, r.TargetLatency
	if n := len(m) - HeaderLen; n <= openingBytes {
		o.length = copy(o.packet[HeaderLen:], m[HeaderLen:])
	}
	b.flows.set(p.Flow, flowLocation{opening: o.id})
	b.try(o, now)
}

// repeatOpening starts another round when the caller retransmits its opening.
func (b *Balancer) again(o *opening, now time.Duration) {
	if o.deadline != 0 {
		return // an agent is being asked
	}
	o.asked, o.idlest, o.busy, o.forced = 0, 0, false, false
	b.try(o, now)
}

// retryWaiting tries an opening again that found all agents busy.
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

// retransmissionAge returns how long after the first copy of an opening a caller sends its
// n-th retransmission.
func copyAge(n uint32) time.Duration {
	switch n {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	}
	return 600 * time.Millisecond
}

// tryNextAgent sends the opening to the next agent, or ends the round if there is none.
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

// canForce reports whether leastBusy is expected to accept the opening at its retry
// priority.
func (o *opening) insists(b *Balancer, now time.Duration) bool {
	a := b.agents.byIP[o.idlest]
	return a != nil && !o.forced && !a.wouldDecline(o.repeated(now), now)
}

// sendOpening sends the opening to the agent.
func (b *Balancer) ask(o *opening, a *agentView, c class, p Priority, now time.Duration) {
	o.agent = a.ip
	a.pendingOpenings++
	b.Log.logDecision(decision{
		event: events.OpeningPlaced, flow: o.flow, agent: a.ip, hop: uint8(o.asked), version: b.ConfigurationVersion(), class: c, age: now - a.lastSeen,
	}, now)
	o.priority = p
	b.send(o.packet[:HeaderLen+o.length], Message{Kind: KindOpening, Priority: p, Opening: o.id, Service: o.service, Cold: b.cold(o.service)}, a.ip)
	b.openings.wait(o, now)
}

func (b *Balancer) cold(s ServiceKey) ColdRate { return ColdRateOf(b.config.Services[s].ColdRate) }

// endOpeningRound ends a round in which every agent was asked. If all agents refused, no
// upstream has the flow and its caller gets a reset at once. If some answer was
// inconclusive, the caller's retransmission starts the next round.
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
		b.Log.logDecision(decision{event: events.OpeningUnplaced, flow: o.flow, hop: uint8(o.asked), reason: ReasonNoAgent, version: b.ConfigurationVersion(), age: now - o.started}, now)
		return
	}
	p, _ := b.Format.Parse(o.packet[HeaderLen : HeaderLen+o.length])
	b.refuse(o.flow, p.Seq, ReasonFull, now)
	b.drop(o)
}

// waitForCapacity schedules the next try for when some upstream may have a free slot.
func (b *Balancer) waitForRoom(o *opening, now time.Duration) {
	o.waits, o.busy = true, true
	b.openings.wake(o, now+roomAfter)
}

func (b *Balancer) drop(o *opening) {
	b.flows.remove(o.flow)
	*o = opening{}
}

// refuse resets an opening that no agent was sent, or that all agents refused.
func (b *Balancer) refuse(f Flow, seq uint32, cause Reason, now time.Duration) {
	b.Count.Resets++
	b.Log.logDecision(decision{event: events.OpeningRefused, flow: f, reason: cause, version: b.ConfigurationVersion()}, now)
	b.reset(f, seq)
}

// sendReset resets the flow for its caller.
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
		b.Observe.record(ObserveOpening, now-o.started)
		b.openings.answered(o, from, now)
		*o = opening{}
		b.flows.set(f, flowLocation{agent: from})
	}
	if a := b.agents.byIP[from]; a != nil {
		a.missedOpenings = 0
		a.updateLoad(h.Load)
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
		a.updateLoad(h.Load)
	}
	switch h.Reason {
	case ReasonUnknown, ReasonSilent:
		o.silent = true // its upstream may still answer, or announce itself soon
	case ReasonBusy:
		o.silent, o.busy = true, true // a slot will be free before the caller gives up
		if a := b.agents.byIP[from]; a != nil {
			a.noteDecline(o.priority, int(h.Requests), now)
		}
		if o.idlest == 0 || h.Load < o.requests {
			o.idlest, o.requests = from, h.Load
		}
	}
	b.Log.logDecision(decision{event: events.OpeningPassed, flow: o.flow, agent: from, reason: h.Reason, hop: uint8(o.asked), version: b.ConfigurationVersion(), age: now - o.at}, now)
	b.try(o, now)
}

// retryExpired tries the next agent for openings whose deadline has passed.
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
			a.pendingOpenings = max(0, a.pendingOpenings-1)
			if a.lastSeen < o.at {
				a.missedOpenings++
			}
		}
		o.silent = true
		b.Log.logDecision(decision{event: events.OpeningPassed, flow: o.flow, agent: o.agent, reason: ReasonSilent, hop: uint8(o.asked), version: b.ConfigurationVersion(), age: now - o.at}, now)
		if now-o.started > openingLife {
			o.deadline = 0
			continue
		}
		b.try(o, now)
	}
}
