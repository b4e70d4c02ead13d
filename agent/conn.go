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
	socket  *link.Socket
	service bundle.ServiceID
	zone    bundle.ZoneID
	life    fleet.Incarnation
	// admit returns why one more flow can't be taken, or nothing; flows
	// returns how many are open.
	admit   func() events.Reason
	flows   func() int
	log     *events.Log
	keys    atomic.Pointer[link.Keys]
	paths   paths
	taken   openings
	refused refusals

	// Unknown counts messages without a valid tag, Foreign those of another
	// service, Unrouted answers for which no balancer was known.
	Unknown, Foreign, Unrouted, Passed atomic.Uint64

	batch *link.Batch
	next  int
	have  int
	// lastBeat is the reader's own: when each balancer was last heard.
	lastBeat map[netip.AddrPort]time.Time
}

const readBatch = 32

func newConn(s *link.Socket, service bundle.ServiceID, zone bundle.ZoneID, life fleet.Incarnation, admit func() events.Reason, flows func() int, l *events.Log) *conn {
	return &conn{socket: s, service: service, zone: zone, life: life, admit: admit, flows: flows, log: l, batch: link.NewBatch(readBatch), lastBeat: map[netip.AddrPort]time.Time{}}
}

// ReadFrom returns the next datagram of a caller. quic-go reads in one goroutine.
func (c *conn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		for c.next < c.have {
			i := c.next
			c.next++
			if p, from := c.handle(c.batch.Payload(i), c.batch.From(i)); p != nil {
				return copy(b, p), net.UDPAddrFromAddrPort(from), nil
			}
		}
		n, err := c.batch.Read(c.socket.Batched)
		if err != nil {
			return 0, nil, err
		}
		c.next, c.have = 0, n
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
	c.alive(&m, from)
	if m.Kind == link.KindForward || m.Kind == link.KindOpen && c.open(&m, p, payload) {
		return payload, m.Caller
	}
	return nil, netip.AddrPort{}
}

// aliveEvery is how often a balancer's datagrams are taken for a heartbeat.
const aliveEvery = 200 * time.Millisecond

// alive takes a caller's datagram for the heartbeat of the balancer it came by.
//
// When balancers die faster than verdicts spread, all that should observe an
// agent may be dead, and no heartbeat comes; it shows as feeds that end by the
// idle timeout although their callers' acknowledgements arrive. What carries
// those is alive. An opening that another agent passed on says nothing.
func (c *conn) alive(m *link.Message, from netip.AddrPort) {
	if m.Position > 0 {
		return
	}
	now := time.Now()
	if now.Sub(c.lastBeat[from]) < aliveEvery {
		return
	}
	if len(c.lastBeat) > maxBeats {
		clear(c.lastBeat)
	}
	c.lastBeat[from] = now
	c.paths.beat(from, m.Zone, now)
}

// maxBeats bounds the balancers whose last datagram is remembered.
const maxBeats = 1024

func (c *conn) answerHeartbeat(m *link.Message, from netip.AddrPort) {
	now := time.Now()
	if !m.Fresh(now) {
		c.Unknown.Add(1)
		return
	}
	c.paths.beat(from, m.Zone, now)
	var b [link.HeaderSize]byte
	(*c.keys.Load())[0].Put(b[:], &link.Message{
		Kind: link.KindHeartbeatAck, Zone: c.zone, Service: c.service,
		Number: uint64(c.life), Load: c.load(), Sent: uint32(now.Unix()),
	})
	c.socket.WriteToUDPAddrPort(b[:], from)
}

// open decides on one datagram of an opening and reports whether it is taken.
//
// Two datagrams of one opening reach this agent over two balancers, or again
// after a repeat. Deciding each anew would split the handshake when a slot of
// connections is freed or lost in between; it shows as a caller's time-out. So
// the first decision stands for as long as a caller would repeat.
func (c *conn) open(m *link.Message, whole, payload []byte) bool {
	class, cid := quiclb.Classify(payload)
	if class != quiclb.ClassOpening {
		return false
	}
	k, now := opening{fleet.HashOf(cid), m.Caller}, time.Now()
	was := c.taken.get(k, now)
	if was.place == placeNext && returned(m) || was.to.IsValid() && spent(m) {
		was = where{} // the sibling has compared, and it is busier; or nobody takes it
	}
	switch was.place {
	case placeHere:
		return true
	case placeNext:
		c.pass(m, whole, was.to)
		return false
	case placeBack:
		c.giveBack(m, whole, was.to)
		return false
	case placeRefused:
		c.refused.add(m.Caller, now)
		return true
	}
	return c.decide(k, m, whole, now)
}

func (c *conn) decide(k opening, m *link.Message, whole []byte, now time.Time) bool {
	why := c.admit()
	d := events.Decision{ID: events.FlowOpened, Reason: why, Service: c.service, Zone: c.zone, Caller: m.Caller, Flow: k.flow, Target: c.socket.Addr()}
	if why == "" {
		why = c.compare(m)
		d.Reason = why
	}
	switch {
	case why == "":
		d.Reason = events.ReasonFirst
		if m.Position > 0 {
			d.Reason = events.ReasonNext
		}
		c.taken.put(k, where{place: placeHere}, now)
		c.refused.clear(m.Caller, now)
		c.log.Decide(d)
		return true
	case m.Load > 0 && m.Position == 1:
		d.ID, d.Target = events.FlowPassed, m.Candidates[0]
		c.taken.put(k, where{placeBack, d.Target}, now)
		c.log.Decide(d)
		c.giveBack(m, whole, d.Target)
		return false
	case !last(m):
		d.ID, d.Target = events.FlowPassed, m.Candidates[next(m)]
		c.taken.put(k, where{placeNext, d.Target}, now)
		c.log.Decide(d)
		m.Load = 0
		if why == events.ReasonBusier {
			m.Load = c.load()
		}
		c.pass(m, whole, d.Target)
		return false
	}
	// Nobody has room: the caller hears so at once, and truthfully, since
	// nothing of it was run.
	d.ID = events.FlowRefused
	c.taken.put(k, where{place: placeRefused}, now)
	c.refused.add(m.Caller, now)
	c.log.Decide(d)
	return true
}

// returned reports whether the second candidate gave the opening back.
func returned(m *link.Message) bool { return m.Position == m.Count && m.Count > 1 }

// next returns the index of the candidate after this one. One that got an
// opening back has tried the second, and goes on with the third.
func next(m *link.Message) uint8 {
	if returned(m) {
		return 2
	}
	return m.Position + 1
}

// last reports whether nobody is asked after this candidate.
func last(m *link.Message) bool { return next(m) >= m.Count || spent(m) }

// mostHops keeps an opening from going round. Balancers with unlike views name unlike
// candidates for its datagrams, and what one agent keeps of the first list may lead a
// datagram of the second back to where it was.
const mostHops = link.MaxCandidates + 2

// spent reports whether the opening must be taken or refused where it is.
func spent(m *link.Message) bool { return m.Number >= mostHops }

// compare lets the less busy of the first two candidates take the opening (the
// power of two choices; Mitzenmacher, 2001). The first sends its count of flows
// along; the second takes the opening if it has no more, or gives it back. Both
// counts are of this moment, so nobody's report can be stale. It costs one hop
// between agents for an opening, two for about half of them.
func (c *conn) compare(m *link.Message) events.Reason {
	switch {
	case spent(m):
	case m.Position == 0 && m.Count > 1 && c.load() > 0:
		return events.ReasonBusier
	case m.Position == 1 && m.Load > 0 && c.load() > m.Load:
		return events.ReasonBusier
	}
	return ""
}

func (c *conn) load() uint16 { return uint16(min(c.flows(), 1<<16-1)) }

// pass sends the datagram on to the next candidate, as its opening's first one was.
func (c *conn) pass(m *link.Message, whole []byte, to netip.AddrPort) {
	c.Passed.Add(1)
	m.Position = min(next(m), m.Count)
	c.send(m, whole, to)
}

// giveBack returns the datagram to the agent that had passed its opening on.
func (c *conn) giveBack(m *link.Message, whole []byte, to netip.AddrPort) {
	m.Position = m.Count
	c.send(m, whole, to)
}

func (c *conn) send(m *link.Message, whole []byte, to netip.AddrPort) {
	m.Number++
	(*c.keys.Load())[0].Put(whole, m)
	c.socket.WriteToUDPAddrPort(whole, to)
}

type outgoing struct {
	b [link.HeaderSize + link.MaxPayload]byte
}

var outgoings = sync.Pool{New: func() any { return new(outgoing) }}

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
	o := outgoings.Get().(*outgoing)
	defer outgoings.Put(o)
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

// refusals are the callers whose opening is to be refused by quic-go, which
// asks by address only. Bounded like openings.
type refusals struct {
	o openings
}

func (r *refusals) add(a netip.AddrPort, now time.Time) {
	r.o.put(opening{caller: a}, where{place: placeRefused}, now)
}

func (r *refusals) has(a netip.AddrPort, now time.Time) bool {
	return r.o.get(opening{caller: a}, now).place == placeRefused
}

func (r *refusals) clear(a netip.AddrPort, now time.Time) {
	r.o.put(opening{caller: a}, where{}, now)
}
