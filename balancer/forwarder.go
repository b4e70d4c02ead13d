package balancer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/quiclb"
)

// batchSize is the number of datagrams per system call. Larger batches gain
// little, and each extra datagram costs 1.5 kB of buffer per service socket.
const batchSize = 16

// Counters counts the datagrams that one forwarder or returner handled, by
// result. Each has its own Counters, padded so that no two share a cache line.
//
// Forwarded and Opened were sent to agents, by token or as openings; Returned were
// sent to callers. Dropped were discarded; of these, Misrouted had a token of
// another service and ZoneOut one of a zone that is out, and Reset were answered
// with a stateless reset. Refused were link messages without a valid tag. Lost were
// also counted as sent, but the kernel refused to send them.
type Counters struct {
	Forwarded, Opened, Returned, Dropped, Refused, Lost, Misrouted, ZoneOut, Reset atomic.Uint64
	_                                                                              [64]byte
}

// port holds the sockets on the address of one service, one for each forwarder.
// The returner sends to callers through the first socket.
type port struct {
	id      bundle.ServiceID
	local   netip.AddrPort
	sockets []*link.Socket
}

func (p *port) close() {
	for _, s := range p.sockets {
		s.Close()
	}
}

// forwarder sends callers' datagrams of one service to agents.
type forwarder struct {
	id    bundle.ServiceID
	zone  bundle.ZoneID
	in    *link.Socket
	link  *link.Socket
	view  *atomic.Pointer[View]
	log   *events.Log
	count *Counters
	reset resetter
}

// run forwards datagrams until the service's socket is closed.
func (f *forwarder) run() error {
	b := link.NewBatch(batchSize)
	var o quiclb.Opener
	for {
		n, err := b.Read(f.in.Batched)
		if err != nil {
			return err
		}
		v, now := f.view.Load(), uint32(time.Now().Unix())
		for i := range n {
			f.forwardDatagram(v, b, i, &o, now)
		}
		f.count.Lost.Add(uint64(b.Flush(f.link.Batched)))
	}
}

// forwardDatagram decides on the i-th datagram of the batch and queues it for an
// agent, drops it, or answers it with a stateless reset.
func (f *forwarder) forwardDatagram(v *View, b *link.Batch, i int, o *quiclb.Opener, now uint32) {
	var a Action
	from := b.From(i)
	v.Decide(f.id, b.Payload(i), o, &a)
	f.recordDecision(&a, from)
	if a.Verdict == VerdictDrop {
		f.sendReset(v, &a, b.Payload(i), from, now)
		return
	}
	m := link.Message{Kind: link.KindForward, Zone: f.zone, Service: f.id, Caller: from, Sent: now}
	if a.Verdict == VerdictOpen {
		m.Kind, m.Count, m.Candidates = link.KindOpen, a.Count, a.Candidates
	}
	v.linkKeys[0].Put(b.Header(i), &m)
	b.EnqueueWithHeader(i, a.Target())
}

// sendReset sends the caller a stateless reset if the datagram was dropped because
// its zone is out and the zone's agents have had time to close their flows.
func (f *forwarder) sendReset(v *View, a *Action, p []byte, from netip.AddrPort, now uint32) {
	t := v.resetFrom[a.Zone]
	if a.Reason != events.ReasonZoneOut || t == 0 || now < t {
		return
	}
	if f.reset.reset(v.resets, p, from, f.in, now) {
		f.count.Reset.Add(1)
		f.log.AddDecision(events.Decision{ID: events.FlowReset, Reason: a.Reason, Service: f.id, Zone: a.Zone, Caller: from})
	}
}

// recordDecision counts the decision. It logs all decisions but forwarding by
// token and dropping overlong datagrams.
func (f *forwarder) recordDecision(a *Action, from netip.AddrPort) {
	d := events.Decision{Reason: a.Reason, Service: f.id, Zone: a.Zone, Caller: from, Target: a.Target(), Flow: a.Flow}
	switch a.Verdict {
	case VerdictForward:
		f.count.Forwarded.Add(1)
		return
	case VerdictOpen:
		f.count.Opened.Add(1)
		d.ID = events.FlowOpened
	default:
		f.count.Dropped.Add(1)
		d.ID = events.FlowDropped
		switch a.Reason {
		case events.ReasonTooLong:
			return // a caller's path MTU probe, not worth a log line
		case events.ReasonNoCandidate:
			d.ID = events.FlowNoUpstream
		case events.ReasonWrongService:
			f.count.Misrouted.Add(1)
		case events.ReasonZoneOut:
			f.count.ZoneOut.Add(1)
		}
	}
	f.log.AddDecision(d)
}
