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

// conn is the net.PacketConn under quic-go. It strips the links' headers from
// callers' datagrams and adds them to answers; heartbeats and openings that
// belong elsewhere are dealt with on the way and never reach quic-go.
type conn struct {
	socket      *link.Socket
	service     bundle.ServiceID
	zone        bundle.ZoneID
	incarnation fleet.Incarnation
	// admit returns why one more flow can't be taken, or nothing; flows
	// returns how many are open.
	admit     func() events.Reason
	flowCount func() int
	log       *events.Log
	keys      atomic.Pointer[link.Keys]
	paths     paths
	openings  openingTable
	refused   refusedCallers

	// Unknown counts messages without a valid tag, Foreign those of another
	// service, Unrouted answers for which no balancer was known.
	Unknown, Foreign, Unrouted, Passed atomic.Uint64

	batch     *link.Batch
	batchNext int
	batchLen  int
	// lastTraffic is the reader's own: when each balancer was last heard.
	lastTraffic map[netip.AddrPort]time.Time
}

const readBatch = 32

func newConn(s *link.Socket, service bundle.ServiceID, zone bundle.ZoneID, incarnation fleet.Incarnation, admit func() events.Reason, flowCount func() int, l *events.Log) *conn {
	return &conn{socket: s, service: service, zone: zone, incarnation: incarnation, admit: admit, flowCount: flowCount, log: l, batch: link.NewBatch(readBatch), lastTraffic: map[netip.AddrPort]time.Time{}}
}

// ReadFrom returns the next datagram of a caller. quic-go reads in one goroutine.
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

// handle returns the caller's datagram if it is for quic-go here.
func (c *conn) handle(p []byte, from netip.AddrPort) ([]byte, netip.AddrPort) {
	var m link.Message
	payload, ok := c.keys.Load().Get(p, &m)
	if !ok {
		c.Unknown.Add(1)
		return nil, netip.AddrPort{}
	}
	if m.Kind == link.KindHeartbeat {
		c.answerHeartbeat(&m, from)
		return nil, netip.AddrPort{}
	}
	// A letter's datagram must not open or feed a flow of another service, and
	// an answer to anything but IPv4 can't be sent.
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

// implicitHeartbeatInterval is how often a balancer's datagrams are taken for a heartbeat.
const implicitHeartbeatInterval = 200 * time.Millisecond

// recordTraffic takes a caller's datagram for the heartbeat of the balancer it came by.
//
// When balancers die faster than verdicts spread, all that should observe an
// agent may be dead, and no heartbeat comes; it shows as feeds that end by the
// idle timeout although their callers' acknowledgements arrive. What carries
// those is recordTraffic. An opening that another agent passed on says nothing.
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

// maxTrackedBalancers bounds the balancers whose last datagram is remembered.
const maxTrackedBalancers = 1024

func (c *conn) answerHeartbeat(m *link.Message, from netip.AddrPort) {
	now := time.Now()
	if !m.Fresh(now) {
		c.Unknown.Add(1)
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

// handleOpening decides on one datagram of an opening and reports whether it is taken.
//
// Two datagrams of one opening reach this agent over two balancers, or again
// after a repeat. Deciding each anew would split the handshake when a slot of
// connections is freed or lost in between; it shows as a caller's time-out. So
// the first decision stands for as long as a caller would repeat.
func (c *conn) handleOpening(m *link.Message, datagram, payload []byte) bool {
	class, cid := quiclb.Classify(payload)
	if class != quiclb.ClassOpening {
		return false
	}
	k, now := openingKey{fleet.HashOf(cid), m.Caller}, time.Now()
	earlier := c.openings.get(k, now)
	if earlier.decision == decisionPassed && wasReturned(m) || earlier.target.IsValid() && hopsExhausted(m) {
		earlier = placement{} // the sibling has compared, and it is busier; or nobody takes it
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
		c.log.Decide(d)
		return true
	case m.Load > 0 && m.Position == 1:
		d.ID, d.Target = events.FlowPassed, m.Candidates[0]
		c.openings.put(k, placement{decisionReturned, d.Target}, now)
		c.log.Decide(d)
		c.returnOpening(m, datagram, d.Target)
		return false
	case !isLastCandidate(m):
		d.ID, d.Target = events.FlowPassed, m.Candidates[nextCandidate(m)]
		c.openings.put(k, placement{decisionPassed, d.Target}, now)
		c.log.Decide(d)
		m.Load = 0
		if reason == events.ReasonBusier {
			m.Load = c.load()
		}
		c.passOpening(m, datagram, d.Target)
		return false
	}
	// Nobody has room: the caller hears so at once, and truthfully, since
	// nothing of it was run.
	d.ID = events.FlowRefused
	c.openings.put(k, placement{decision: decisionRefused}, now)
	c.refused.add(m.Caller, now)
	c.log.Decide(d)
	return true
}

// wasReturned reports whether the second candidate gave the opening back.
func wasReturned(m *link.Message) bool { return m.Position == m.Count && m.Count > 1 }

// nextCandidate returns the index of the candidate after this one. One that got an
// opening back has tried the second, and goes on with the third.
func nextCandidate(m *link.Message) uint8 {
	if wasReturned(m) {
		return 2
	}
	return m.Position + 1
}

// isLastCandidate reports whether nobody is asked after this candidate.
func isLastCandidate(m *link.Message) bool { return nextCandidate(m) >= m.Count || hopsExhausted(m) }

// maxHops keeps an opening from going round. Balancers with unlike views name unlike
// candidates for its datagrams, and what one agent keeps of the first list may lead a
// datagram of the second back to where it was.
const maxHops = link.MaxCandidates + 2

// hopsExhausted reports whether the opening must be taken or refused where it is.
func hopsExhausted(m *link.Message) bool { return m.Number >= maxHops }

// compareLoads lets the less busy of the first two candidates take the opening (the
// power of two choices; Mitzenmacher, 2001). The first sends its count of flows
// along; the second takes the opening if it has no more, or gives it back. Both
// counts are of this moment, so nobody's report can be stale. It costs one hop
// between agents for an opening, two for about half of them.
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

func (c *conn) load() uint16 { return uint16(min(c.flowCount(), 1<<16-1)) }

// passOpening sends the datagram on to the next candidate, as its opening's first one was.
func (c *conn) passOpening(m *link.Message, datagram []byte, to netip.AddrPort) {
	c.Passed.Add(1)
	m.Position = min(nextCandidate(m), m.Count)
	c.send(m, datagram, to)
}

// returnOpening returns the datagram to the agent that had passed its opening on.
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

// WriteTo sends a datagram to a caller by a live balancer.
func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	u, ok := to.(*net.UDPAddr)
	if !ok || len(p) > link.MaxPayload {
		return len(p), nil // QUIC repeats what is lost, in smaller datagrams
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

// refusedCallers are the callers whose opening is to be refused by quic-go, which
// asks by address only. Bounded like openings.
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
