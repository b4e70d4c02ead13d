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
	minAnswerTimeout = 60 * time.Millisecond
	maxAnswerTimeout = 150 * time.Millisecond
	// openingTimeout is how long a caller waits for its flow, less the time that the answer
	// takes to reach it.
	openingTimeout = 1300 * time.Millisecond
	// maxAttempts bounds the agents that an opening is sent to in one round.
	maxAttempts = 16
	// maxOpenings bounds the openings in progress. One more replaces the oldest, which then
	// continues only when its caller retransmits it.
	maxOpenings = 1024
	// capacityRetryDelay is the delay before an opening that found all agents busy is tried
	// again. It is about the time of one request, in which some slots become free.
	capacityRetryDelay = 40 * time.Millisecond
	maxOpeningLen      = 128
	// travelTime is about what the packets of a handshake and a request travel between caller,
	// balancer and upstream within a region.
	travelTime = 15 * time.Millisecond
	// urgentSamples is how many busy agents are asked before an urgent opening goes to the
	// least loaded of them. More would cost time and hardly find a shorter queue.
	urgentSamples = 3
)

// opening is one caller's attempt to open a flow.
type opening struct {
	id                uint32
	flow              Flow
	seq               uint32 // sequence number of the caller's packet
	agent             IP
	sentAt            time.Duration // when it was sent to the agent
	started           time.Duration
	tried             [maxAttempts]IP
	attempts          int
	inconclusive      bool  // some agent did not refuse for good: the caller is not reset
	unanswered        bool  // an agent did not answer, so its upstream may have the flow
	copies            uint8 // which copies of the opening came to this balancer, a bit for each
	leastBusy         IP    // the least loaded of the busy agents, with its load
	leastBusyRequests uint8
	declines          int      // agents that declined as busy in this round
	busy              bool     // some agent was busy, so capacity will become free
	priority          Priority // priority at which it was last sent
	forced            bool     // it was already sent at a retry priority in this round
	waitsForLink      bool     // too many uploads pass through the balancer
	waiting           bool     // all agents were busy; it is tried again at the deadline
	urgent            bool
	unadmitted        bool // the service's level does not admit it
	leftover          bool // it gets only free slots
	targetLatency     time.Duration
	packet            [HeaderLen + maxOpeningLen]byte
	length            int
	service           ServiceKey
	deadline          time.Duration // 0 means none
}

// openings is a ring buffer of openings, and a queue of their deadlines in order of time.
// There are only two kinds of delays, so a new deadline belongs at or near the queue's end.
type openings struct {
	ring    []opening
	lastID  uint32
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
func (t *answerTimes) timeout() time.Duration {
	return min(max(minAnswerTimeout, t.mean+4*t.deviation), maxAnswerTimeout)
}

// deadline is an entry of the queue. It is stale if the opening has got another deadline
// since.
type deadline struct {
	id uint32
	at time.Duration
}

func newOpenings() openings { return openings{ring: make([]opening, maxOpenings)} }

func (x *openings) get(id uint32) *opening {
	o := &x.ring[id%maxOpenings]
	if id == 0 || o.id != id {
		return nil
	}
	return o
}

func (x *openings) add() *opening {
	x.lastID++
	if x.lastID == 0 {
		x.lastID++
	}
	o := &x.ring[x.lastID%maxOpenings]
	*o = opening{id: x.lastID}
	return o
}

// startTimeout starts the timeout for the agent that was sent the opening.
func (x *openings) startTimeout(o *opening, now time.Duration) {
	o.sentAt = now
	x.setDeadline(o, now+x.answers.timeout())
}

// setDeadline sets the opening's deadline and inserts it into the queue in order.
func (x *openings) setDeadline(o *opening, at time.Duration) {
	o.deadline = at
	i := len(x.queue)
	for i > 0 && x.queue[i-1].at > at {
		i--
	}
	x.queue = slices.Insert(x.queue, i, deadline{o.id, at})
}

// recordAnswer measures the time of an answer. For an answer from an earlier agent, whose
// send time is no longer known, the time since the opening began is an upper bound.
func (x *openings) recordAnswer(o *opening, from IP, now time.Duration) {
	since := o.sentAt
	if o.agent != from {
		since = o.started
	}
	x.answers.add(now - since)
}

// nextDeadline returns the earliest deadline.
func (x *openings) nextDeadline() time.Duration {
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
func (b *Balancer) handleOpening(m []byte, p Packet, now time.Duration) {
	b.Count.Openings++
	if b.config == nil {
		b.early.add(m, now)
		return
	}
	b.beginOpening(m, p, now, now)
}

// beginOpening begins to open the flow of an opening that arrived at the given time, or goes on.
func (b *Balancer) beginOpening(m []byte, p Packet, arrived, now time.Duration) {
	if at, ok := b.flows.get(p.Flow); ok {
		if o := b.openings.get(at.opening); o != nil && o.seq == p.Seq {
			o.noteCopy(p.AckNumber)
			b.repeatOpening(o, now)
			return
		} else if o != nil {
			b.abandonOpening(o)
		}
		a := b.agents.byIP[at.agent]
		if at.opening == 0 && at.openingSeq == p.Seq && a != nil && a.missedOpenings == 0 {
			// The upstream's acceptance was lost; this makes the upstream send it again.
			b.send(m, Message{Kind: KindOpening, Service: a.status.Service, Cold: b.coldRate(a.status.Service)}, a.ip)
			return
		}
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
	o.flow, o.seq, o.service, o.started = p.Flow, p.Seq, s, arrived-retransmissionAge(p.AckNumber)
	o.urgent, o.targetLatency = r.Urgent, r.TargetLatency
	o.noteCopy(p.AckNumber)
	if n := len(m) - HeaderLen; n <= maxOpeningLen {
		o.length = copy(o.packet[HeaderLen:], m[HeaderLen:])
	}
	b.flows.set(p.Flow, flowLocation{opening: o.id})
	b.admit(o, now)
	if !b.transfers.admit(o.flow, now) {
		b.waitForLink(o, now)
		return
	}
	b.tryNextAgent(o, now)
}

// repeatOpening starts another round when the caller retransmits its opening.
func (b *Balancer) repeatOpening(o *opening, now time.Duration) {
	if o.deadline != 0 {
		return // an agent is being asked, or the opening waits for capacity
	}
	o.attempts, o.declines, o.leastBusy, o.busy, o.forced = 0, 0, 0, false, false
	b.tryNextAgent(o, now)
}

// retryBusy continues an opening that found all agents busy. An urgent one that can still be
// in time is sent to an agent, which may hold it back until there is a place at its upstream.
// Others wait at the balancer.
func (b *Balancer) retryBusy(o *opening, now time.Duration) {
	if b.refusesUnadmitted(o, now) {
		b.refuseOpening(o, ReasonOverloaded, now)
		return
	}
	if o.retryPriority(now) == PriorityUrgent {
		b.retryWaiting(o, now)
		return
	}
	b.waitForCapacity(o, now)
}

// retryWaiting tries an opening again that found all agents busy.
func (b *Balancer) retryWaiting(o *opening, now time.Duration) {
	o.waiting = false
	p := o.retryPriority(now)
	a, c, busy := b.agents.choose(o.flow.hash(), o.service, nil, p, o.targetLatency, now)
	switch {
	case now-o.started > openingTimeout, a == nil && !busy:
		b.giveUp(o, now)
	case a == nil && b.refusesUnadmitted(o, now):
		b.refuseOpening(o, ReasonOverloaded, now)
	case a == nil:
		b.waitForCapacity(o, now)
	default:
		o.forced = true
		b.sendOpening(o, a, c, p, now)
	}
}

// retransmissionAge returns how long after the first copy of an opening a caller sends its
// n-th retransmission.
func retransmissionAge(n uint32) time.Duration {
	switch n {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	}
	return 600 * time.Millisecond
}

// tryNextAgent sends the opening to the next agent, or ends the round if there is none.
func (b *Balancer) tryNextAgent(o *opening, now time.Duration) {
	var a *agentView
	var c class
	var busy bool
	p := PriorityFirst
	if o.yields(now) {
		p = o.retryPriority(now)
	}
	if o.attempts < maxAttempts && !o.forced && !o.hasSampled() {
		a, c, busy = b.agents.choose(o.flow.hash(), o.service, o.tried[:o.attempts], p, o.targetLatency, now)
	}
	switch {
	case a != nil:
		o.tried[o.attempts] = a.ip
		o.attempts++
		b.sendOpening(o, a, c, p, now)
	case busy && o.leastBusy == 0:
		o.busy = true
		b.retryBusy(o, now)
	case o.canForce(b, now):
		o.forced = true
		b.sendOpening(o, b.agents.byIP[o.leastBusy], classReady, o.retryPriority(now), now)
	default:
		b.endOpeningRound(o, now)
	}
}

// hasSampled reports whether enough agents have declined an urgent opening that the least
// loaded of them is a good choice.
func (o *opening) hasSampled() bool { return o.urgent && o.declines >= urgentSamples }

// canForce reports whether leastBusy is expected to accept the opening at its retry
// priority.
func (o *opening) canForce(b *Balancer, now time.Duration) bool {
	a := b.agents.byIP[o.leastBusy]
	return a != nil && !o.forced && !a.wouldDecline(o.retryPriority(now), now)
}

// sendOpening sends the opening to the agent.
func (b *Balancer) sendOpening(o *opening, a *agentView, c class, p Priority, now time.Duration) {
	o.agent = a.ip
	a.pendingOpenings++
	b.Log.logDecision(decision{
		event: events.OpeningPlaced, flow: o.flow, agent: a.ip, hop: uint8(o.attempts),
		version: b.ConfigurationVersion(), class: c, age: now - a.lastSeen,
	}, now)
	o.priority = p
	var flags Flags
	if o.urgent {
		flags = FlagUrgent
	}
	b.send(o.packet[:HeaderLen+o.length], Message{
		Kind: KindOpening, Priority: p, Opening: o.id, Service: o.service, Cold: b.coldRate(o.service),
		Budget: o.budget(now), Flags: flags,
	}, a.ip)
	b.openings.startTimeout(o, now)
}

// budget returns the time left to answer the flow's first request within its target latency,
// less the time that packets travel.
func (o *opening) budget(now time.Duration) Budget {
	if o.targetLatency == 0 {
		return 0
	}
	return max(1, budgetOf(o.targetLatency-travelTime-(now-o.started)))
}

func (b *Balancer) coldRate(s ServiceKey) ColdRate { return ColdRateOf(b.config.Services[s].ColdRate) }

// endOpeningRound ends a round in which every agent was asked. If all agents refused, no
// upstream has the flow and its caller gets a reset at once. If some answer was
// inconclusive, the caller's retransmission starts the next round.
func (b *Balancer) endOpeningRound(o *opening, now time.Duration) {
	o.deadline = 0
	if o.busy && now-o.started < openingTimeout-capacityRetryDelay {
		b.retryBusy(o, now)
		return
	}
	if o.attempts == 0 {
		b.Count.NoAgent++
	}
	switch {
	case o.busy:
		b.refuseOpening(o, ReasonOverloaded, now)
	case o.inconclusive || o.attempts == 0:
		b.endInSilence(o, now)
	default:
		b.refuseOpening(o, ReasonFull, now)
	}
}

// waitForCapacity schedules the next try for when some upstream may have a free slot.
func (b *Balancer) waitForCapacity(o *opening, now time.Duration) {
	o.waiting, o.busy = true, true
	d := capacityRetryDelay
	if o.unadmitted {
		d = unadmittedWait
	}
	b.openings.setDeadline(o, now+d)
}

func (b *Balancer) removeOpening(o *opening) {
	b.flows.remove(o.flow)
	*o = opening{}
}

// abandonOpening ends an opening whose caller has given it up and uses the port again.
func (b *Balancer) abandonOpening(o *opening) {
	if a := b.agents.byIP[o.agent]; a != nil && o.deadline != 0 && !o.waiting {
		a.pendingOpenings = max(0, a.pendingOpenings-1)
	}
	b.removeOpening(o)
}

func (b *Balancer) handleOpened(from IP, h Message, p []byte, now time.Duration) {
	f, ok := decodeFlow(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	b.Count.Opened++
	if o := b.openings.get(h.Opening); o != nil && o.flow == f {
		b.Observe.record(ObserveOpening, now-o.started)
		if o.priority != PriorityUrgent {
			b.openings.recordAnswer(o, from, now)
		}
		b.noteServed(o, now)
		b.flows.set(f, flowLocation{agent: from, openingSeq: o.seq})
		*o = opening{}
	}
	if a := b.agents.byIP[from]; a != nil {
		a.missedOpenings = 0
		a.updateLoad(h.Load)
		a.updateReport(decodeLoadReport(p[flowLen:]), now)
	}
}

func (b *Balancer) handleRefused(from IP, h Message, p []byte, now time.Duration) {
	o := b.openings.get(h.Opening)
	if o == nil || o.agent != from || o.deadline == 0 || o.waiting {
		return
	}
	b.Count.Refused++
	if o.priority != PriorityUrgent {
		b.openings.recordAnswer(o, from, now) // an urgent one may have been held back
	}
	if a := b.agents.byIP[from]; a != nil {
		a.updateLoad(h.Load)
		a.updateReport(decodeLoadReport(p[min(flowLen, len(p)):]), now)
	}
	switch h.Reason {
	case ReasonUpstreamUnknown, ReasonNoAnswer:
		// Its upstream may still answer, or announce itself soon.
		o.inconclusive, o.unanswered = true, o.unanswered || h.Reason == ReasonNoAnswer
	case ReasonBusy:
		o.inconclusive, o.busy = true, true // a slot will be free before the caller gives up
		if a := b.agents.byIP[from]; a != nil {
			a.noteDecline(o.priority, int(h.Requests), now)
		}
		if o.declines++; o.leastBusy == 0 || h.Requests < o.leastBusyRequests {
			o.leastBusy, o.leastBusyRequests = from, h.Requests
		}
	}
	b.Log.logDecision(decision{
		event: events.OpeningPassed, flow: o.flow, agent: from, reason: h.Reason,
		hop: uint8(o.attempts), version: b.ConfigurationVersion(), age: now - o.sentAt,
	}, now)
	b.tryNextAgent(o, now)
}

// retryExpired tries the next agent for openings whose deadline has passed.
func (b *Balancer) retryExpired(now time.Duration) {
	for b.openings.nextDeadline() <= now {
		o := b.openings.get(b.openings.queue[0].id)
		b.openings.queue = b.openings.queue[1:]
		switch {
		case o.waitsForLink:
			b.refuseOpening(o, ReasonLinkBusy, now)
			continue
		case o.waiting:
			b.retryWaiting(o, now)
			continue
		}
		b.Count.Unanswered++
		if a := b.agents.byIP[o.agent]; a != nil {
			a.pendingOpenings = max(0, a.pendingOpenings-1)
			if a.lastSeen < o.sentAt {
				a.missedOpenings++
			}
		}
		o.inconclusive, o.unanswered = true, true
		b.Log.logDecision(decision{
			event: events.OpeningPassed, flow: o.flow, agent: o.agent, reason: ReasonNoAnswer,
			hop: uint8(o.attempts), version: b.ConfigurationVersion(), age: now - o.sentAt,
		}, now)
		if now-o.started > openingTimeout {
			o.deadline = 0
			continue
		}
		b.tryNextAgent(o, now)
	}
}
