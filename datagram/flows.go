package datagram

import (
	"time"

	"pomeloway.example/pomeloway/events"
)

// An agent learns about flows from the packets that pass through it. It forwards a packet
// of an unknown flow to its upstream, which bounces it if it does not hold the flow.

// flowState is what the agent knows about a flow at its upstream.
type flowState struct {
	phase      flowPhase
	receiving  bool      // a request has begun whose last packet has not arrived
	request    requestID // the request in progress; 0 means none
	hadRequest bool      // a request was forwarded to the upstream
	urgent     bool      // its route takes precedence over other routes of the service
	kept       bool      // the agent keeps its request
	ahead      int       // requests that were at the upstream when that one arrived
	closing    closing
	opened     openingNumber // the opening that made the flow
	next       *nextOpening  // another opening of the same addresses and ports; nil: none
	born       int64         // Announcement.Born of the upstream run that has the flow; 0 means unknown
	accepted   uint32        // sequence number of the upstream's acceptance
	balancer   IP
	opening    uint32
	// lookupPending is set while a balancer waits for a report that the flow is here.
	lookupPending bool
	// registered is when the flow was last registered at its homes. 0 means never.
	registered time.Duration
	// registeredNumber is ackNumber as of then.
	registeredNumber uint32
	since            time.Duration
	requestStart     time.Duration // when the current request began
	callerSent       bool          // the caller has sent data, up to sentUpTo
	sentUpTo         uint32
	// ackNumber is what the caller has acknowledged or is about to acknowledge. A reset
	// carries it.
	ackNumber uint32
}

type flowPhase uint8

const (
	// flowUnconfirmed: a packet of an unknown flow was forwarded to the upstream.
	flowUnconfirmed flowPhase = iota
	// flowOffered: the opening was forwarded to the upstream.
	flowOffered
	// flowAccepted: the upstream accepted. The caller may have chosen another upstream that
	// accepted the same opening.
	flowAccepted
	flowOpen
)

// pending is a packet that was forwarded to the upstream, which may bounce it.
type pending struct {
	scratch  uint32
	balancer IP
	flags    Flags
	opening  uint32
}

// handlePacket handles a KindPacket message m, which carries a packet of an established flow.
func (a *Agent) handlePacket(from IP, h Message, m []byte, now time.Duration) {
	p := m[HeaderLen:]
	k, ok := a.Format.Parse(p)
	if !ok {
		a.Count.BadPackets++
		return
	}
	a.Count.Packets++
	f, known := a.flows.get(k.Flow)
	switch {
	case !known && a.knowsAllFlows(now):
		a.returnPacket(from, h, m)
		return
	case !known && (a.isEvacuated(k.Flow, now) || h.Flags.has(FlagKnownOnly)):
		// This agent started after its upstream. The upstream may hold the flow, but must
		// not get packets of unknown flows: its zone is evacuated, or the sender asks for
		// known flows only. Agents that know the flow may still forward the packet, but no
		// other agent may give it to an upstream that does not hold the flow.
		h.Flags |= FlagUnsure | FlagKnownOnly
		a.returnPacket(from, h, m)
		return
	case a.isEvacuated(k.Flow, now):
		a.Count.Dropped++
		return
	case (!known || f.phase == flowUnconfirmed) && a.upstream.state == UpstreamUnknown && !a.upstream.hasSent && !a.upstream.listens:
		a.forwardUnconfirmed(from, h, m, now)
		return
	case !known:
		f = &flowState{phase: flowUnconfirmed, born: a.upstream.born, since: now}
		a.flows.set(k.Flow, f)
	case !a.isCurrentRun(f.born), a.upstream.state == UpstreamAbsent:
		a.endLostFlow(k, f, now)
		return
	case f.phase == flowOffered, f.phase == flowAccepted && k.AckNumber != f.accepted+1:
		// The caller chose another upstream that was offered the same opening. This one
		// has sent only its acceptance, so a caller that chose it acknowledges exactly
		// accepted+1. An agent that started after its upstream may have seen a late copy of the
		// opening of a flow that is open.
		if !a.knowsAllFlows(now) {
			h.Flags |= FlagUnsure
		}
		a.flows.remove(k.Flow)
		a.returnPacket(from, h, m)
		return
	case f.phase == flowAccepted:
		f.phase, f.since = flowOpen, now
		a.openFlows++
		a.expectedRequests.add(-1, now)
	}
	if f.born == 0 {
		f.born = a.upstream.born // was unknown when the agent first saw the flow
	}
	f.ackNumber = k.AckNumber
	if h.Flags.has(FlagLookup) || f.phase == flowUnconfirmed {
		f.lookupPending, f.balancer = true, from
	}
	if f.phase == flowUnconfirmed && (!known || h.Flags.has(FlagLookup)) {
		a.awaitBounce(k.Flow, now)
	}
	if f.lookupPending && f.phase == flowOpen {
		a.reportHeld(k.Flow, f)
	}
	complete := a.trackCallerPacket(k, f, p, now)
	switch {
	case f.kept && k.Length > 0:
		a.noteKeptCopy(f, now)
		return
	case complete && a.keep(k.Flow, f, from, h.Flags, p, now):
		return
	case complete:
		a.beginRequest(f, now)
	}
	a.sendUpstream(p, pending{balancer: from, flags: h.Flags})
}

// reportHeld reports to the balancer that looked up the flow that it is here.
func (a *Agent) reportHeld(k Flow, f *flowState) {
	f.lookupPending = false
	a.Count.Mine++
	a.sendFlowMessage(f.balancer, Message{Kind: KindHeld, Service: a.Service}, k)
}

// forwardUnconfirmed forwards a packet of an unknown flow to an upstream that has not sent
// anything yet, and at the same time answers the balancer that the agent can't tell whether
// the flow is here. The upstream may have been removed before the agent restarted, and would
// then never answer. If it runs after all, a bounced packet proves that it does not hold the
// flow.
func (a *Agent) forwardUnconfirmed(from IP, h Message, m []byte, now time.Duration) {
	p := m[HeaderLen:]
	k, _ := a.Format.Parse(p)
	a.flows.set(k.Flow, &flowState{phase: flowUnconfirmed, since: now, lookupPending: true, balancer: from})
	unsure := h
	unsure.Flags |= FlagUnsure
	a.returnPacket(from, unsure, m)
	a.sendUpstream(p, pending{balancer: from, flags: h.Flags})
}

const (
	// bounceTimeout is many times what a live upstream takes to bounce a packet, and short
	// enough for the report to arrive before a balancer asks the next agent.
	bounceTimeout = agentAnswerTimeout / 2
	// maxBouncesAwaited bounds the packets that are waited for; further ones are only
	// answered by what the upstream sends.
	maxBouncesAwaited = 1024
)

// awaitedBounce is a packet of an unknown flow that the upstream may still bounce.
type awaitedBounce struct {
	flow  Flow
	since time.Duration
}

// awaitBounce notes that a packet of an unknown flow is forwarded to the upstream.
func (a *Agent) awaitBounce(f Flow, now time.Duration) {
	if len(a.bouncesAwaited) < maxBouncesAwaited {
		a.bouncesAwaited = append(a.bouncesAwaited, awaitedBounce{f, now})
	}
}

// reportNotBounced reports flows as held here whose packets the upstream has not bounced in
// time, unless it may have crashed. Such an upstream works on a request, and sends nothing
// until it has the answer. Meanwhile the lookup would give the packet to other upstreams.
// If the packet is bounced after all, the balancer is told and looks the flow up again.
func (a *Agent) reportNotBounced(now time.Duration) {
	q := a.bouncesAwaited
	for len(q) > 0 && now-q[0].since >= bounceTimeout {
		f, known := a.flows.get(q[0].flow)
		if known && f.phase == flowUnconfirmed && f.lookupPending && a.upstream.state != UpstreamAbsent && !a.mayHaveCrashed(now) {
			a.reportHeld(q[0].flow, f)
		}
		q = q[1:]
	}
	a.bouncesAwaited = q
}

// trackCallerPacket updates the flow from a packet of the caller. It reports whether the packet
// is the last one of a request.
//
// A request is in progress once its last packet has arrived, because the upstream does not
// work on it before. Otherwise uploads over slow links would make an idle upstream look busy.
//
// Only data beyond what was already sent begins a request. A retransmission that arrives
// after the answer does not: counted as a request it would never end, and an upstream that
// receives uploads would be considered busy after some minutes.
func (a *Agent) trackCallerPacket(k Packet, f *flowState, p []byte, now time.Duration) (complete bool) {
	wasReset := f.closing.resetByCaller
	f.closing.noteCaller(k, now)
	switch {
	case k.Reset:
		f.kept = false
		a.cancelRequest(f, now)
	case wasReset && a.needsRegistration(f):
		a.register(k.Flow, f, now) // homes that have changed since do not have it
	}
	end := k.Seq + uint32(k.Length)
	if k.Length == 0 || f.phase != flowOpen {
		return false
	}
	if f.callerSent && int32(end-f.sentUpTo) <= 0 {
		a.upstream.callerRetransmitted = a.upstream.callerRetransmitted || now-a.upstream.lastPacket > muteTimeout
		return false
	}
	f.callerSent, f.sentUpTo = true, end
	if f.request != 0 || f.kept {
		return false
	}
	if !f.receiving {
		f.requestStart = now
		a.logRequest(k.Flow, p, now)
	}
	f.receiving = k.Full && !k.Fin
	return !f.receiving
}

// beginRequest counts the flow's request as in progress.
func (a *Agent) beginRequest(f *flowState, now time.Duration) {
	f.hadRequest = true
	if !f.urgent {
		a.noteArrival(false, now)
	}
	f.request, f.ahead = a.requests.begin(a.upstream.slotCount(), now)
}

func (a *Agent) logRequest(f Flow, p []byte, now time.Duration) {
	if a.Log != nil {
		a.Log.logDecision(decision{
			event: events.RequestUnderWay, flow: f, request: a.Format.RequestID(p),
			hop: uint8(min(a.requests.count(), 255)), version: a.version,
		}, now)
	}
}

// endRequest ends the flow's request, whose answer has begun. It returns the request's service
// time, or 0 if that is not known.
func (a *Agent) endRequest(f *flowState, now time.Duration) (took time.Duration) {
	if f.request == 0 {
		return 0
	}
	processed := true
	if a.upstream.state == UpstreamUnknown {
		a.requests.cancel(f.request, assumedSlots, now) // its slots are only assumed, so nothing is learned
	} else {
		took, processed = a.requests.end(f.request, f.ahead, a.upstream.slotCount(), now)
	}
	f.request = 0
	if !processed {
		a.Count.Rejected++
		return 0
	}
	a.failures.note(false, now)
	a.Observe.record(ObserveRequest, now-f.requestStart)
	return took
}

// cancelRequest ends the flow's request without an answer.
func (a *Agent) cancelRequest(f *flowState, now time.Duration) {
	if f.request != 0 {
		a.requests.cancel(f.request, a.upstream.slotCount(), now)
		f.request = 0
	}
}

// recount recomputes the counts from the flows, so that a flow whose end was missed can't
// make the upstream look busy for long. It drops the flows that ended some time ago.
func (a *Agent) recount(now time.Duration) {
	a.openFlows = 0
	valid := map[requestID]bool{}
	for k, f := range a.flows.all() {
		if f.closing.expired(now) {
			a.flows.remove(k)
		}
		if f.phase != flowOpen || f.closing.ended() || !a.isCurrentRun(f.born) {
			continue
		}
		a.openFlows++
		if now-f.requestStart >= maxRequestDuration {
			f.request = 0
		}
		if f.request != 0 {
			valid[f.request] = true
		}
	}
	a.requests.retain(valid, a.upstream.slotCount(), now)
}

// returnPacket reports to the balancer that the flow of a packet is not here. It returns
// the packet, unless the balancer has kept a copy for a lookup.
func (a *Agent) returnPacket(to IP, h Message, m []byte) {
	a.Count.NotMine++
	r := Message{Kind: KindReturned, Flags: h.Flags, Service: a.Service}
	if h.Flags.has(FlagLookup) {
		k, _ := a.Format.Parse(m[HeaderLen:])
		r.Kind = KindNotHeld
		a.sendFlowMessage(to, r, k.Flow)
		return
	}
	r.Put(m, a.Keys[0])
	a.Out.ToProcess(to, m)
}

// endLostFlow ends a flow of an earlier run of the upstream, and resets it if it was open.
//
// Without the reset the caller would wait until its deadline for an answer that can't
// come. No other agent may reset the flow: only this one knows that it was open at its own
// upstream, which has restarted without it.
func (a *Agent) endLostFlow(k Packet, f *flowState, now time.Duration) {
	a.flows.remove(k.Flow)
	if f.phase != flowOpen || f.closing.ended() || k.Reset {
		a.Count.Dropped++
		return
	}
	a.resetFlow(k.Flow, f, k.AckNumber, now)
}

// resetFlow resets the flow for its caller.
func (a *Agent) resetFlow(k Flow, f *flowState, number uint32, now time.Duration) {
	a.Count.Resets++
	a.Log.logDecision(decision{
		event: events.FlowCut, flow: k, reason: ReasonUpstreamGone,
		version: a.version, age: now - f.since,
	}, now)
	n := a.Format.PutReset(a.scratch[:], k, number)
	a.Out.ToCaller(k.Caller.IP, a.scratch[:n])
}

// HandleUpstream handles a packet from the upstream in m[HeaderLen:].
func (a *Agent) HandleUpstream(m []byte, now time.Duration) {
	p := m[HeaderLen:]
	k, ok := a.Format.ParseOutbound(p)
	if !ok {
		a.Count.BadPackets++
		return
	}
	u := &a.upstream
	u.unansweredSince, u.hasSent, u.lastPacket, u.callerRetransmitted = 0, true, now, false
	if k.Bounced {
		a.handleBounced(k, m, now)
		return
	}
	a.Count.Answers++
	f, known := a.flows.get(k.Flow)
	if known && f.startsNext(k) {
		f = a.startNext(k.Flow, f, now)
	}
	switch {
	case !known && !k.Reset:
		a.adoptFlow(k, now)
	case known:
		a.trackUpstreamPacket(k, f, now)
	}
	a.Out.ToCaller(k.Flow.Caller.IP, p)
}

// adoptFlow adds a flow that an earlier run of the agent forwarded to the upstream.
//
// An upstream repeats its acceptance until the caller has answered, so the flow of an
// acceptance is not taken as open. Otherwise a flow whose caller chose another upstream
// would be reset when this upstream bounces its packets.
func (a *Agent) adoptFlow(k Packet, now time.Duration) {
	f := &flowState{phase: flowOpen, born: a.upstream.born, since: now, ackNumber: k.Seq + uint32(k.Length)}
	if k.Open {
		f.phase, f.accepted = flowAccepted, k.Seq
		f.opened = openingNumber{k.AckNumber - 1, true}
	} else {
		a.openFlows++
	}
	f.closing.noteUpstream(k, now)
	a.flows.set(k.Flow, f)
	a.register(k.Flow, f, now)
}

// trackUpstreamPacket updates the flow from a packet of the upstream.
func (a *Agent) trackUpstreamPacket(k Packet, f *flowState, now time.Duration) {
	f.ackNumber = k.Seq + uint32(k.Length)
	f.closing.noteUpstream(k, now)
	switch {
	case k.Reset:
		if f.request != 0 && !f.closing.caller.sent { // else the caller may have given up
			a.Count.Broken++
			a.failures.note(true, now)
		}
		a.cancelRequest(f, now)
		return
	case k.Open:
		if f.phase <= flowOffered {
			f.phase, f.accepted = flowAccepted, k.Seq
			a.register(k.Flow, f, now)
			a.Count.Established++
			a.Observe.record(ObserveHandshake, now-f.since)
			a.Log.logDecision(decision{
				event: events.FlowEstablished, flow: k.Flow, agent: f.balancer,
				version: a.version, age: now - f.since,
			}, now)
		}
		if f.opening != 0 {
			a.sendAnswer(f.balancer, Message{
				Kind: KindOpened, Opening: f.opening, Service: a.Service, Load: a.load(now),
			}, k.Flow, now)
		}
		return
	case f.phase == flowUnconfirmed:
		f.phase, f.since = flowOpen, now
		a.openFlows++
		a.register(k.Flow, f, now)
	}
	if k.Length > 0 {
		a.noteServiceTime(k.Flow.Address, a.endRequest(f, now), now)
	}
	if f.lookupPending {
		a.reportHeld(k.Flow, f)
	}
	if k.Fin {
		a.cancelRequest(f, now) // the upstream sends no answer after its FIN
	}
	a.updateNumber(k.Flow, f, now)
}

func (a *Agent) removeFlow(f Flow, s *flowState, now time.Duration) {
	a.flows.remove(f)
	a.uncountFlow(s, now)
}

// uncountFlow removes a flow from the counts.
func (a *Agent) uncountFlow(s *flowState, now time.Duration) {
	if !a.isCurrentRun(s.born) {
		return // the counts are those of another run of the upstream
	}
	if s.phase == flowOpen {
		a.openFlows--
	}
	a.cancelRequest(s, now)
}

// handleBounced handles a packet that the upstream bounced: it resets a flow that was open
// there, and otherwise informs the balancer that sent the packet.
func (a *Agent) handleBounced(k Packet, m []byte, now time.Duration) {
	a.Count.Bounced++
	x := a.pending[k.Scratch%maxPending]
	if k.Scratch == 0 || x.scratch != k.Scratch {
		a.Count.Dropped++
		return
	}
	f, known := a.flows.get(k.Flow)
	if known && k.Open && !f.opened.is(k) {
		f.next = nil
		a.decline(x.balancer, Message{Opening: x.opening}, k.Flow, ReasonFull, now)
		return
	}
	if known && f.phase == flowOpen && !f.closing.ended() {
		// The upstream lost a flow that was open there, so it has restarted.
		a.uncountFlow(f, now)
		a.endLostFlow(k, f, now)
		return
	}
	if known {
		a.removeFlow(k.Flow, f, now)
	}
	if k.Open {
		a.decline(x.balancer, Message{Opening: x.opening}, k.Flow, ReasonFull, now)
		return
	}
	a.Format.ClearBounced(m[HeaderLen:])
	a.Format.SetScratch(m[HeaderLen:], 0)
	a.returnPacket(x.balancer, Message{Flags: x.flags}, m)
}
