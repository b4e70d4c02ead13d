package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/quiclb"
)

// conn is the net.PacketConn under quic-go. It removes the link headers from callers'
// datagrams and adds them to outgoing ones. It handles heartbeats, and openings that
// another agent should take, itself; they never reach quic-go.
type conn struct {
	socket      *link.Socket
	service     bundle.ServiceID
	zone        bundle.ZoneID
	incarnation fleet.Incarnation
	// admit returns the reason why another flow can't be accepted, or an empty reason;
	// flowCount returns the number of open flows.
	admit     func() events.Reason
	flowCount func() int
	log       *events.Log
	keys      atomic.Pointer[link.Keys]
	paths     paths
	openings  openingTable
	refused   refusedCallers

	// Invalid counts messages without a valid tag and stale heartbeats, Foreign
	// messages for another service or of a caller without an IPv4 address, Unrouted
	// outgoing datagrams for which no balancer was known, and Passed datagrams of
	// openings that were passed to another agent.
	Invalid, Foreign, Unrouted, Passed atomic.Uint64

	// batch holds the datagrams that were read last: batchLen of them, of which
	// batchNext is the next to handle.
	batch     *link.Batch
	batchNext int
	batchLen  int
	// lastTraffic is when each balancer's traffic was last recorded. Only the reading
	// goroutine uses it.
	lastTraffic map[netip.AddrPort]time.Time
}

const readBatch = 32

func newConn(s *link.Socket, service bundle.ServiceID, zone bundle.ZoneID, incarnation fleet.Incarnation, admit func() events.Reason, flowCount func() int, l *events.Log) *conn {
	return &conn{socket: s, service: service, zone: zone, incarnation: incarnation, admit: admit, flowCount: flowCount, log: l, batch: link.NewBatch(readBatch), lastTraffic: map[netip.AddrPort]time.Time{}}
}

// ReadFrom returns the next datagram of a caller. It must not be called concurrently;
// quic-go reads in one goroutine.
func (c *conn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		for c.batchNext < c.batchLen {
			i := c.batchNext
			c.batchNext++
			if p, from := c.handle(c.batch.Payload(i), c.batch.From(i)); p != nil {
				return copy(b, p), net.UDPAddrFromAddrPort(from), nil
			}
		}
		n, err := c.batch.Read(c.socket.Batched)
		if err != nil {
			return 0, nil, err
		}
		c.batchNext, c.batchLen = 0, n
	}
}

// handle processes one message of the link. It returns the caller's datagram and
// address if they are for quic-go, otherwise nil.
func (c *conn) handle(p []byte, from netip.AddrPort) ([]byte, netip.AddrPort) {
	var m link.Message
	payload, ok := c.keys.Load().Get(p, &m)
	if !ok {
		c.Invalid.Add(1)
		return nil, netip.AddrPort{}
	}
	if m.Kind == link.KindHeartbeat {
		c.answerHeartbeat(&m, from)
		return nil, netip.AddrPort{}
	}
	// A datagram of another service must not open or reach a flow of this one, and
	// datagrams can only be returned to IPv4 callers.
	if m.Service != c.service || !m.Caller.Addr().Is4() {
		c.Foreign.Add(1)
		return nil, netip.AddrPort{}
	}
	c.recordTraffic(&m, from)
	if m.Kind == link.KindForward || m.Kind == link.KindOpen && c.handleOpening(&m, p, payload) {
		return payload, m.Caller
	}
	return nil, netip.AddrPort{}
}

// implicitHeartbeatInterval is the shortest time between two datagrams of a balancer
// that count as its heartbeats.
const implicitHeartbeatInterval = 200 * time.Millisecond

// recordTraffic counts a caller's datagram as a heartbeat of the balancer that
// forwarded it.
//
// When balancers fail faster than the fleet agrees on which are alive, all balancers
// that should send heartbeats to an agent may be dead. Without this function, feeds
// would then end by the idle timeout although their callers' acknowledgements still
// arrive; a balancer that forwards these is alive. An opening that another agent passed
// on is no sign of a live balancer.
func (c *conn) recordTraffic(m *link.Message, from netip.AddrPort) {
	if m.Position > 0 {
		return
	}
	now := time.Now()
	if now.Sub(c.lastTraffic[from]) < implicitHeartbeatInterval {
		return
	}
	if len(c.lastTraffic) > maxTrackedBalancers {
		clear(c.lastTraffic)
	}
	c.lastTraffic[from] = now
	c.paths.recordHeartbeat(from, m.Zone, now)
}

// maxTrackedBalancers limits the size of lastTraffic.
const maxTrackedBalancers = 1024

func (c *conn) answerHeartbeat(m *link.Message, from netip.AddrPort) {
	now := time.Now()
	if !m.Fresh(now) {
		c.Invalid.Add(1)
		return
	}
	c.paths.recordHeartbeat(from, m.Zone, now)
	var b [link.HeaderSize]byte
	(*c.keys.Load())[0].Put(b[:], &link.Message{
		Kind: link.KindHeartbeatAck, Zone: c.zone, Service: c.service,
		Number: uint64(c.incarnation), Load: c.load(), Sent: uint32(now.Unix()),
	})
	c.socket.WriteToUDPAddrPort(b[:], from)
}

// handleOpening handles one datagram of an opening and reports whether quic-go should
// get it.
//
// Several datagrams of one opening may arrive through different balancers, or again as
// retransmissions. If each were decided separately, a flow that closes or opens in
// between could split the handshake between two agents, and the caller would time out.
// So the first decision applies for as long as a caller retransmits.
func (c *conn) handleOpening(m *link.Message, datagram, payload []byte) bool {
	class, cid := quiclb.Classify(payload)
	if class != quiclb.ClassOpening {
		return false
	}
	k, now := openingKey{fleet.HashOf(cid), m.Caller}, time.Now()
	earlier := c.openings.get(k, now)
	if earlier.decision == decisionPassed && wasReturned(m) || earlier.target.IsValid() && hopsExhausted(m) {
		earlier = placement{} // the sibling returned the opening, or it has no hops left
	}
	switch earlier.decision {
	case decisionTaken:
		return true
	case decisionPassed:
		c.passOpening(m, datagram, earlier.target)
		return false
	case decisionReturned:
		c.returnOpening(m, datagram, earlier.target)
		return false
	case decisionRefused:
		c.refused.add(m.Caller, now)
		return true
	}
	return c.decideOpening(k, m, datagram, now)
}

// decideOpening decides on the first datagram of an opening and records the decision.
// It reports whether quic-go should get the datagram.
func (c *conn) decideOpening(k openingKey, m *link.Message, datagram []byte, now time.Time) bool {
	reason := c.admit()
	d := events.Decision{ID: events.FlowOpened, Reason: reason, Service: c.service, Zone: c.zone, Caller: m.Caller, Flow: k.connIDHash, Target: c.socket.Addr()}
	if reason == "" {
		reason = c.compareLoads(m)
		d.Reason = reason
	}
	switch {
	case reason == "":
		d.Reason = events.ReasonFirst
		if m.Position > 0 {
			d.Reason = events.ReasonNext
		}
		c.openings.put(k, placement{decision: decisionTaken}, now)
		c.refused.clear(m.Caller, now)
		c.log.AddDecision(d)
		return true
	case m.Load > 0 && m.Position == 1:
		d.ID, d.Target = events.FlowPassed, m.Candidates[0]
		c.openings.put(k, placement{decisionReturned, d.Target}, now)
		c.log.AddDecision(d)
		c.returnOpening(m, datagram, d.Target)
		return false
	case !isLastCandidate(m):
		d.ID, d.Target = events.FlowPassed, m.Candidates[nextCandidate(m)]
		c.openings.put(k, placement{decisionPassed, d.Target}, now)
		c.log.AddDecision(d)
		m.Load = 0
		if reason == events.ReasonBusier {
			m.Load = c.load()
		}
		c.passOpening(m, datagram, d.Target)
		return false
	}
	// No candidate has capacity. quic-go refuses the opening at once, and the caller
	// can safely retry, since none of its requests has run.
	d.ID = events.FlowRefused
	c.openings.put(k, placement{decision: decisionRefused}, now)
	c.refused.add(m.Caller, now)
	c.log.AddDecision(d)
	return true
}

// wasReturned reports whether the second candidate returned the opening to the first.
func wasReturned(m *link.Message) bool { return m.Position == m.Count && m.Count > 1 }

// nextCandidate returns the index of the candidate to try after this agent. An agent
// that got an opening back has already tried the second candidate and goes on with the
// third.
func nextCandidate(m *link.Message) uint8 {
	if wasReturned(m) {
		return 2
	}
	return m.Position + 1
}

// isLastCandidate reports whether there is no further candidate to try.
func isLastCandidate(m *link.Message) bool { return nextCandidate(m) >= m.Count || hopsExhausted(m) }

// maxHops prevents an opening from circulating without end. Balancers with different
// views name different candidates for its datagrams, and a decision that an agent
// recorded for the first list may send a datagram of the second list back to an agent
// that it came from.
const maxHops = link.MaxCandidates + 2

// hopsExhausted reports whether the opening must be accepted or refused by this agent.
func hopsExhausted(m *link.Message) bool { return m.Number >= maxHops }

// compareLoads selects the less busy of the first two candidates (power of two choices;
// Mitzenmacher, 2001). It returns ReasonBusier if the other candidate should take the
// opening, otherwise an empty reason. The first candidate sends its number of flows
// along; the second takes the opening if it has no more flows than that, otherwise it
// returns the opening. Both numbers are current, so no decision depends on a stale load
// report. The cost is one hop between agents for an opening, and two for about half of
// them.
func (c *conn) compareLoads(m *link.Message) events.Reason {
	switch {
	case hopsExhausted(m):
	case m.Position == 0 && m.Count > 1 && c.load() > 0:
		return events.ReasonBusier
	case m.Position == 1 && m.Load > 0 && c.load() > m.Load:
		return events.ReasonBusier
	}
	return ""
}

// load returns the number of open flows, limited to the range of link.Message.Load.
func (c *conn) load() uint16 { return uint16(min(c.flowCount(), 1<<16-1)) }

// passOpening passes the datagram to the agent that its opening's first datagram was
// passed to.
func (c *conn) passOpening(m *link.Message, datagram []byte, to netip.AddrPort) {
	c.Passed.Add(1)
	m.Position = min(nextCandidate(m), m.Count)
	c.send(m, datagram, to)
}

// returnOpening returns the datagram to the agent that had passed its opening here.
func (c *conn) returnOpening(m *link.Message, datagram []byte, to netip.AddrPort) {
	m.Position = m.Count
	c.send(m, datagram, to)
}

func (c *conn) send(m *link.Message, datagram []byte, to netip.AddrPort) {
	m.Number++
	(*c.keys.Load())[0].Put(datagram, m)
	c.socket.WriteToUDPAddrPort(datagram, to)
}

type sendBuffer struct {
	b [link.HeaderSize + link.MaxPayload]byte
}

var sendBuffers = sync.Pool{New: func() any { return new(sendBuffer) }}

// WriteTo sends a datagram to a caller through a live balancer.
func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	u, ok := to.(*net.UDPAddr)
	if !ok || len(p) > link.MaxPayload {
		return len(p), nil // counts as lost; QUIC retransmits in smaller datagrams
	}
	a := u.AddrPort()
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	via, ok := c.paths.pick(a)
	if !ok {
		c.Unrouted.Add(1)
		return len(p), nil
	}
	o := sendBuffers.Get().(*sendBuffer)
	defer sendBuffers.Put(o)
	m := link.Message{Kind: link.KindReturn, Zone: c.zone, Service: c.service, Caller: a}
	(*c.keys.Load())[0].Put(o.b[:], &m)
	n := copy(o.b[link.HeaderSize:], p)
	if _, err := c.socket.WriteToUDPAddrPort(o.b[:link.HeaderSize+n], via); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the link's socket.
func (c *conn) Close() error { return c.socket.Close() }

// LocalAddr returns the link's address.
func (c *conn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline sets both deadlines of the link's socket.
func (c *conn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the link's socket.
func (c *conn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the link's socket.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }

// refusedCallers are the callers whose opening quic-go must refuse. They are identified
// by address, since quic-go passes nothing else to the callback that refuses. The table
// is bounded.
type refusedCallers struct {
	table openingTable
}

func (r *refusedCallers) add(a netip.AddrPort, now time.Time) {
	r.table.put(openingKey{caller: a}, placement{decision: decisionRefused}, now)
}

func (r *refusedCallers) has(a netip.AddrPort, now time.Time) bool {
	return r.table.get(openingKey{caller: a}, now).decision == decisionRefused
}

func (r *refusedCallers) clear(a netip.AddrPort, now time.Time) {
	r.table.put(openingKey{caller: a}, placement{}, now)
}
