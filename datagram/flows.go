package datagram

import (
	"time"

	"pomeloway.example/pomeloway/events"
)

// What an agent knows of flows it learns from packets that pass. It is told by its
// upstream of all that it does not know: a packet of an unknown flow is given to the
// upstream, and comes back bounced if the flow is not there.

// flowState is what the agent knows of a flow at its upstream.
type flowState struct {
	phase    flowPhase
	underWay bool
	finished bool
	born     int64
	accepted uint32 // the upstream's first number
	balancer IP
	opening  uint32
	// wanted: the flow was looked for, and the balancer is to be told if it is here.
	wanted bool
	// registered is when its homes were told of it; 0: never.
	registered time.Duration
	since      time.Duration
	asked      time.Duration // when the request under way began
	sent       bool          // the caller has sent data, up to upTo
	upTo       uint32
	// number is what the caller has acknowledged or is about to; a reset names it.
	number uint32
}

type flowPhase uint8

const (
	// flowAsked: a packet of an unknown flow was given to the upstream.
	flowAsked flowPhase = iota
	// flowOffered: the upstream was given the opening.
	flowOffered
	// flowAccepted: the upstream accepted; the caller may have chosen another.
	flowAccepted
	flowOpen
)

// pending is a packet that the upstream may bounce.
type pending struct {
	scratch  uint32
	balancer IP
	flags    Flags
	opening  uint32
}

// packet takes a packet of an established flow at m[HeaderLen:].
func (a *Agent) packet(from IP, h Message, m []byte, now time.Duration) {
	p := m[HeaderLen:]
	k, ok := a.Format.Parse(p)
	if !ok {
		a.Count.BadPackets++
		return
	}
	a.Count.Packets++
	f, known := a.flows.get(k.Flow)
	switch {
	case !known && a.knowsAll(now):
		a.pass(from, h, m)
		return
	case !known && (a.closed(k.Flow, now) || h.Flags.has(FlagKnownOnly)):
		// This agent was started after its upstream, which may hold the flow and may
		// not be asked. Those who know the flow may still serve it, and nobody else
		// may put it before a foreign upstream.
		h.Flags |= FlagUnsure | FlagKnownOnly
		a.pass(from, h, m)
		return
	case a.closed(k.Flow, now):
		a.Count.Dropped++
		return
	case !known && a.upstream.state == UpstreamUnknown && !a.upstream.answers:
		a.askAnyway(from, h, m, now)
		return
	case !known:
		f = &flowState{phase: flowAsked, born: a.upstream.born, since: now}
		a.flows.set(k.Flow, f)
	case !a.isPresent(f.born), a.upstream.state == UpstreamAbsent:
		a.lost(k, f, now)
		return
	case f.phase == flowOffered, f.phase == flowAccepted && k.Number != f.accepted+1:
		// The caller chose another upstream that was offered the same opening. This one
		// has sent nothing but its acceptance, so there is one number to acknowledge.
		a.flows.remove(k.Flow)
		a.pass(from, h, m)
		return
	case f.phase == flowAccepted:
		f.phase, f.since = flowOpen, now
		a.open++
		a.coming.add(-1, now)
	}
	if f.born == 0 {
		f.born = a.upstream.born // it was not known yet when the flow was seen first
	}
	f.number = k.Number
	if h.Flags.has(FlagLookup) || f.phase == flowAsked {
		f.wanted, f.balancer = true, from
	}
	if f.wanted && f.phase == flowOpen {
		a.mine(k.Flow, f)
	}
	a.began(k, f, p, now)
	a.give(p, pending{balancer: from, flags: h.Flags})
}

// mine tells the balancer that looked for the flow that it is here.
func (a *Agent) mine(k Flow, f *flowState) {
	f.wanted = false
	a.Count.Mine++
	a.hint(f.balancer, Message{Kind: KindMine, Service: a.Service}, k)
}

// askAnyway gives the packet of an unknown flow to an upstream that has not been
// heard, and says meanwhile that it can't tell. An agent may be started again beside
// an upstream that was taken away, which would never answer. If it is there after all,
// what it bounces is a sure denial.
func (a *Agent) askAnyway(from IP, h Message, m []byte, now time.Duration) {
	p := m[HeaderLen:]
	k, _ := a.Format.Parse(p)
	a.flows.set(k.Flow, &flowState{phase: flowAsked, since: now, wanted: true, balancer: from})
	unsure := h
	unsure.Flags |= FlagUnsure
	a.pass(from, unsure, m)
	a.give(p, pending{balancer: from, flags: h.Flags})
}

// closed reports whether nothing more of the flow is sent to the upstream, as its
// availability zone has been out for a while.
func (a *Agent) closed(f Flow, now time.Duration) bool {
	return a.zoneOut && now-a.outSince > a.cutAfter(f)
}

// cutAfter returns how long the flow may go on in an availability zone that is out.
func (a *Agent) cutAfter(f Flow) time.Duration {
	bound := a.Evacuation
	if bound == 0 {
		bound = evacuationUsual
	}
	part := float64(f.hash()>>32) / (1 << 32)
	return time.Duration((cutFrom + (cutTill-cutFrom)*part) * float64(bound))
}

// knowsAll reports whether a flow that the agent does not know is elsewhere, so
// that no packet of it has to bounce off this upstream.
func (a *Agent) knowsAll(now time.Duration) bool {
	return a.upstream.complete || now > flowLife ||
		a.upstream.state == UpstreamUnknown && !a.upstream.answers && !a.upstream.listens && now > announcedWithin
}

// announcedWithin is when an upstream that lives has been heard since its agent started,
// some of its heartbeats. If nothing accepts a connection there either, there is none.
const announcedWithin = 2 * time.Second

// began notices a request that begins with a packet of the caller.
//
// A retransmission that comes after the answer is no request: counted as one it would
// stay under way, and an upstream of uploads would be held for busy after some minutes.
// Only data beyond what was seen begins one.
func (a *Agent) began(k Packet, f *flowState, p []byte, now time.Duration) {
	if k.Fin || k.Reset {
		f.finished = true
		a.ended(f)
	}
	end := k.Seq + uint32(k.Length)
	if k.Length == 0 || f.phase != flowOpen {
		return
	}
	if f.sent && int32(end-f.upTo) <= 0 {
		a.upstream.mute = a.upstream.mute || now-a.upstream.sign > muteAfter
		return
	}
	f.sent, f.upTo = true, end
	if f.underWay {
		return
	}
	f.underWay, f.asked = true, now
	a.underWay++
	if a.Log != nil {
		a.Log.decide(decision{event: events.RequestSeen, flow: k.Flow, request: a.Format.RequestID(p), hop: uint8(min(a.underWay, 255)), version: a.version}, now)
	}
}

// ended notices that a flow has no request any more.
func (a *Agent) ended(f *flowState) {
	if f.underWay {
		f.underWay = false
		a.underWay--
	}
}

// recount makes the counts anew from the flows, so that no path by which a flow
// ends unseen can make an upstream seem busy for long.
func (a *Agent) recount(now time.Duration) {
	a.open, a.underWay = 0, 0
	for _, f := range a.flows.all() {
		if f.phase != flowOpen || f.finished || !a.isPresent(f.born) {
			continue
		}
		a.open++
		f.underWay = f.underWay && now-f.asked < requestLife
		if f.underWay {
			a.underWay++
		}
	}
}

// pass tells the balancer that the flow of a packet is not here, and gives the packet
// back unless the balancer has kept it for a lookup.
func (a *Agent) pass(to IP, h Message, m []byte) {
	a.Count.NotMine++
	r := Message{Kind: KindNotMine, Flags: h.Flags, Service: a.Service}
	if h.Flags.has(FlagLookup) {
		k, _ := a.Format.Parse(m[HeaderLen:])
		r.Kind = KindDenied
		a.hint(to, r, k.Flow)
		return
	}
	r.Put(m, a.Keys[0])
	a.Out.ToProcess(to, m)
}

// lost ends a flow of the upstream's former life.
//
// The caller would wait for its deadline for an answer that nobody can give. A
// reset is right here alone: the flow was open at this very upstream, which has
// started anew and holds nothing of before.
func (a *Agent) lost(k Packet, f *flowState, now time.Duration) {
	a.flows.remove(k.Flow)
	if f.phase != flowOpen || f.finished || k.Reset {
		a.Count.Dropped++
		return
	}
	a.cut(k.Flow, f, k.Number, now)
}

// cut tells the flow's caller that the flow is gone.
func (a *Agent) cut(k Flow, f *flowState, number uint32, now time.Duration) {
	a.Count.Resets++
	a.Log.decide(decision{event: events.FlowCut, flow: k, reason: ReasonGone, version: a.version, age: now - f.since}, now)
	n := a.Format.PutReset(a.scratch[:], k, number)
	a.Out.ToCaller(k.Caller.IP, a.scratch[:n])
}

// HandleUpstream takes a datagram of the upstream at m[HeaderLen:].
func (a *Agent) HandleUpstream(m []byte, now time.Duration) {
	p := m[HeaderLen:]
	k, ok := a.Format.ParseOutbound(p)
	if !ok {
		a.Count.BadPackets++
		return
	}
	u := &a.upstream
	u.gave, u.answers, u.sign, u.mute = 0, true, now, false
	if k.Bounced {
		a.bounced(k, m, now)
		return
	}
	a.Count.Answers++
	f, known := a.flows.get(k.Flow)
	switch {
	case !known && !k.Reset:
		a.learn(k, now)
	case known:
		a.answered(k, f, now)
	}
	a.Out.ToCaller(k.Flow.Caller.IP, p)
}

// learn takes in a flow that an earlier run of the agent gave to the upstream.
//
// An upstream goes on accepting an opening until the caller has answered. Taken for open, a
// flow whose caller chose another upstream would be reset when this one bounced its packets.
func (a *Agent) learn(k Packet, now time.Duration) {
	f := &flowState{phase: flowOpen, born: a.upstream.born, since: now, number: k.Seq + uint32(k.Length)}
	if k.Open {
		f.phase, f.accepted = flowAccepted, k.Seq
	} else {
		a.open++
	}
	a.flows.set(k.Flow, f)
	a.register(k.Flow, f, now)
}

// answered follows a flow by what its upstream sends.
func (a *Agent) answered(k Packet, f *flowState, now time.Duration) {
	f.number = k.Seq + uint32(k.Length)
	switch {
	case k.Reset:
		f.finished = true
		a.ended(f)
		return
	case k.Open:
		if f.phase <= flowOffered {
			f.phase, f.accepted = flowAccepted, k.Seq
			a.register(k.Flow, f, now)
			a.Count.Established++
			a.Observe.note(ObserveHandshake, now-f.since)
			a.Log.decide(decision{event: events.FlowEstablished, flow: k.Flow, agent: f.balancer, version: a.version, age: now - f.since}, now)
		}
		if f.opening != 0 {
			a.hint(f.balancer, Message{Kind: KindOpened, Opening: f.opening, Service: a.Service, Load: a.load(now)}, k.Flow)
		}
		return
	case f.phase == flowAsked:
		f.phase, f.since = flowOpen, now
		a.open++
		a.register(k.Flow, f, now)
	}
	if k.Length > 0 && f.underWay {
		a.ended(f)
		a.Observe.note(ObserveRequest, now-f.asked)
	}
	if f.wanted {
		a.mine(k.Flow, f)
	}
	if k.Fin {
		f.finished = true
	}
}

func (a *Agent) close(f Flow, s *flowState) {
	a.flows.remove(f)
	a.forgotten(s)
}

// forgotten takes a flow out of the counts.
func (a *Agent) forgotten(s *flowState) {
	if !a.isPresent(s.born) {
		return // the counts were of another life
	}
	if s.phase == flowOpen {
		a.open--
	}
	if s.underWay {
		a.underWay--
	}
}

// bounced sends a packet that the upstream does not take back to where it came from.
func (a *Agent) bounced(k Packet, m []byte, now time.Duration) {
	a.Count.Bounced++
	x := a.pending[k.Scratch%pendingMost]
	if k.Scratch == 0 || x.scratch != k.Scratch {
		a.Count.Dropped++
		return
	}
	f, known := a.flows.get(k.Flow)
	if known && f.phase == flowOpen && !f.finished {
		// The upstream has lost what was open there: it started anew.
		a.forgotten(f)
		a.lost(k, f, now)
		return
	}
	if known {
		a.close(k.Flow, f)
	}
	if k.Open {
		a.decline(x.balancer, Message{Opening: x.opening}, k.Flow, ReasonFull, now)
		return
	}
	a.Format.ClearBounced(m[HeaderLen:])
	a.Format.SetScratch(m[HeaderLen:], 0)
	a.pass(x.balancer, Message{Flags: x.flags}, m)
}
