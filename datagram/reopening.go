package datagram

import "time"

// A caller may use its port again, so two flows can have the same addresses and ports. The sequence
// number of its opening tells a flow from an earlier one: copies of an opening have the same.
//
// An opening with another number is a new one and passes all checks. It replaces a flow that has
// ended, or that the upstream has not accepted. It may also be a late copy of an earlier opening, so
// a flow that is open goes on until the upstream accepts the new one.

// openingNumber is the sequence number of the opening that made a flow. It is not known if the agent
// has not seen the opening or its acceptance.
type openingNumber struct {
	seq   uint32
	known bool
}

// is reports whether the packet is a copy of the opening.
func (n openingNumber) is(p Packet) bool { return n.known && n.seq == p.Seq }

// nextOpening is an opening that was forwarded to the upstream while an earlier flow may be open.
type nextOpening struct {
	seq    uint32
	urgent bool
}

// beginFlow returns the state of the flow of an opening that is forwarded to the upstream. f is the
// state of an earlier flow with the same addresses and ports, or nil.
func (a *Agent) beginFlow(f *flowState, p Packet, urgent bool, now time.Duration) *flowState {
	if f != nil && f.phase >= flowAccepted && !f.closing.ended() && a.isCurrentRun(f.born) {
		f.next = &nextOpening{p.Seq, urgent}
		return f
	}
	if f != nil {
		a.removeFlow(p.Flow, f, now)
	}
	f = &flowState{phase: flowOffered, born: a.upstream.born, since: now, urgent: urgent, opened: openingNumber{p.Seq, true}}
	a.flows.set(p.Flow, f)
	return f
}

// startsNext reports whether the upstream's packet accepts the next opening of the flow's addresses
// and ports. An upstream that still holds the flow repeats its first acceptance.
func (f *flowState) startsNext(p Packet) bool {
	return f.next != nil && p.Open && p.AckNumber == f.next.seq+1 && f.accepted != 0 && p.Seq != f.accepted
}

// startNext replaces a flow by the next one with the same addresses and ports.
func (a *Agent) startNext(k Flow, f *flowState, now time.Duration) *flowState {
	n := &flowState{
		phase: flowOffered, born: a.upstream.born, since: now, urgent: f.next.urgent,
		opened: openingNumber{f.next.seq, true}, balancer: f.balancer, opening: f.opening,
	}
	a.removeFlow(k, f, now)
	a.flows.set(k, n)
	return n
}
