package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

const (
	openingTimeout     = 1400 * time.Millisecond
	requestDeadline    = 4 * time.Second
	firstRetransmit    = 200 * time.Millisecond
	longestRetransmit  = 1600 * time.Millisecond
	firstClientPort    = 40_000
	requestHeaderStart = "POST /letters HTTP/1.1\r\nHost: letters\r\nX-Request-Id: "
)

// client is the address of a client, with its flows by port. The lock of the site guards it.
type client struct {
	s     *site
	ip    netip.Addr
	conn  *net.UDPConn
	port  uint16 // of the latest flow that took a new one
	flows map[uint16]*clientFlow
}

// flowState is the state of a client's flow.
type flowState uint8

const (
	flowOpening flowState = iota
	flowOpen
	flowClosed // by both ends
	flowReset
	flowFailed // it did not open in time
)

// clientFlow is a client's end of a flow.
type clientFlow struct {
	c         *client
	key       datagram.Flow
	state     flowState
	isn       uint32
	seq, ack  uint32
	request   string // id of the request that waits for its answer
	data      string
	answered  int
	done      func() // called when the request is answered; may be nil
	closing   bool
	streams   bool // the answer is streamed
	halfClose bool // the client closes its end right after the request
	parts     int  // of a streamed answer
	finAcked  bool // the backend has acknowledged that the client closed its end
	ended     bool // the backend has closed its end
}

func (s *site) addClient(ip netip.Addr) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, s.ports.callers)))
	if err != nil {
		return err
	}
	c := &client{s: s, ip: ip, conn: conn, port: firstClientPort, flows: map[uint16]*clientFlow{}}
	s.clients[ip] = c
	go c.read()
	return nil
}

// open opens a flow from the port and sends a request on it. done is called when it is answered.
// The lock must be held.
func (c *client) open(port uint16, id string, done func()) *clientFlow {
	f := &clientFlow{
		c: c, key: datagram.Flow{Caller: datagram.Endpoint{IP: datagram.IPOf(c.ip), Port: port}, Address: c.s.route},
		isn: rand.Uint32() >> 1, done: done,
	}
	f.seq = f.isn
	c.flows[port] = f
	c.s.note("client %v: opens a flow for request %s", f.key.Caller, id)
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		c.s.after(d, func() {
			if f.state == flowOpening {
				f.send(flagOpen, f.isn, uint32(i), "")
			}
		})
	}
	c.s.after(openingTimeout, func() {
		if f.state == flowOpening {
			f.state = flowFailed
			c.s.note("client %v: the flow did not open", f.key.Caller)
		}
	})
	f.request = id
	f.data = requestData(id)
	return f
}

// newPort returns a port that the client has not used yet.
func (c *client) newPort() uint16 {
	c.port++
	return c.port
}

func requestData(id string) string {
	return fmt.Sprintf("%s%s\r\nContent-Length: 0\r\n\r\n", requestHeaderStart, id)
}

// ask sends a further request on an open flow. The lock must be held.
func (f *clientFlow) ask(id string, done func()) {
	f.request, f.data, f.done = id, requestData(id), done
	f.c.s.note("client %v: sends request %s", f.key.Caller, id)
	f.transmit(id, firstRetransmit)
	if f.halfClose {
		f.closing = true
		f.transmitFin(f.seq+uint32(len(f.data)), firstRetransmit)
	}
	f.c.s.after(requestDeadline, func() {
		if f.request == id && f.state == flowOpen {
			f.c.s.note("client %v: no answer to request %s in time", f.key.Caller, id)
			f.request = ""
		}
	})
}

// transmit sends the request, and sends it again until it is answered.
func (f *clientFlow) transmit(id string, again time.Duration) {
	if f.state != flowOpen || f.request != id {
		return
	}
	f.send(flagAck, f.seq, f.ack, f.data)
	f.c.s.after(again, func() { f.transmit(id, min(2*again, longestRetransmit)) })
}

// close closes the flow from both ends.
func (f *clientFlow) close() {
	if f.state == flowOpen && !f.closing {
		f.closing = true
		f.sendFin(firstRetransmit)
	}
}

func (f *clientFlow) sendFin(again time.Duration) {
	if f.state != flowOpen {
		return
	}
	f.send(flagAck|flagFin, f.seq, f.ack, "")
	f.c.s.after(again, func() { f.sendFin(min(2*again, longestRetransmit)) })
}

// send sends a packet to the balancer that the routers select.
func (f *clientFlow) send(flags byte, seq, ack uint32, data string) {
	m := f.c.s.router(f.key)
	if m == nil {
		return
	}
	f.c.conn.WriteToUDPAddrPort(encode(f.key.Caller, f.key.Address, flags, seq, ack, data),
		netip.AddrPortFrom(m.ip, f.c.s.ports.callers))
}

// read handles the packets for the client until its socket is closed.
func (c *client) read() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		c.s.mu.Lock()
		c.handle(append([]byte(nil), b[:n]...), from.Addr())
		c.s.mu.Unlock()
	}
}

func (c *client) handle(b []byte, from netip.Addr) {
	p, ok := platform.PacketFormat{}.ParseOutbound(b)
	f := c.flows[p.Flow.Caller.Port]
	if !ok || p.Flow.Address != c.s.route || f == nil {
		return
	}
	switch {
	case p.Reset:
		c.handleReset(f, p, from)
	case p.Open && f.state == flowOpening && p.AckNumber == f.isn+1:
		f.state, f.seq, f.ack = flowOpen, f.isn+1, p.Seq+1
		f.ask(f.request, f.done)
	case f.state != flowOpen:
	case f.streams:
		f.handleStream(p)
	case p.Fin && f.closing:
		f.state = flowClosed
		f.send(flagAck, f.seq+1, p.Seq+1, "")
	case p.Length > 0 && p.Seq == f.ack && f.request != "":
		f.handleAnswer(p, string(b[headerLen:]))
	}
}

// handleStream handles a packet of a streamed answer after the client has closed its end.
func (f *clientFlow) handleStream(p datagram.Packet) {
	end := f.seq + uint32(len(f.data))
	if p.AckNumber == end+1 || p.AckNumber == end {
		f.request = "" // it has arrived
	}
	f.finAcked = f.finAcked || p.AckNumber == end+1
	if p.Seq != f.ack {
		return
	}
	if p.Length > 0 {
		f.parts++
		f.ack += uint32(p.Length)
	}
	if p.Fin {
		f.ended, f.state = true, flowClosed
		f.ack++
	}
	if !f.halfClose {
		end--
	}
	f.send(flagAck, end+1, f.ack, "")
}

// transmitFin closes the client's end, and does so again until that is acknowledged.
func (f *clientFlow) transmitFin(seq uint32, again time.Duration) {
	if f.state != flowOpen || f.finAcked {
		return
	}
	f.send(flagAck|flagFin, seq, f.ack, "")
	f.c.s.after(again, func() { f.transmitFin(seq, min(2*again, longestRetransmit)) })
}

func (f *clientFlow) handleAnswer(p datagram.Packet, text string) {
	s := f.c.s
	if !isAnswerTo(text, f.request) {
		s.note("client %v: an answer that is not that to %s", f.key.Caller, f.request)
		return
	}
	s.note("client %v: request %s is answered", f.key.Caller, f.request)
	f.seq, f.ack = f.seq+uint32(len(f.data)), p.Seq+uint32(p.Length)
	f.send(flagAck, f.seq, f.ack, "")
	f.request = ""
	f.answered++
	if f.done != nil {
		f.done()
	}
}

// resetWindow is how far the sequence number of a valid reset may be from the client's last
// acknowledgement on an open flow.
const resetWindow = 76_800

func (c *client) handleReset(f *clientFlow, p datagram.Packet, from netip.Addr) {
	s := c.s
	if d := int32(p.Seq - f.ack); f.state == flowOpen && (d > resetWindow || d < -resetWindow) {
		s.note("client %v: a reset that is not valid from %v", f.key.Caller, from)
		return
	}
	wasOpen := f.state == flowOpen
	if f.state != flowOpen && f.state != flowOpening {
		return
	}
	f.state = flowReset
	s.note("client %v: the flow is reset by %v while request %q waits", f.key.Caller, from, f.request)
	if wasOpen && p.Length == 0 && !p.Ack {
		s.checkReset(f, from)
	}
}

// checkReset checks a reset of the system's own: a flow that its backend holds must not be reset.
// Flows older than the longest lifetime or idle longer than the idle timeout are not counted.
func (s *site) checkReset(f *clientFlow, from netip.Addr) {
	b, x := s.holder(f.key)
	if b == nil {
		s.note("client %v: no living backend holds the flow", f.key.Caller)
		return
	}
	age, idle := time.Since(x.openedAt), time.Since(x.lastAt)
	switch {
	case age > flowLifetime:
		s.note("client %v: not counted, the flow is %.1f s old", f.key.Caller, age.Seconds())
	case idle > s.idleLimit:
		s.note("client %v: not counted, the flow was idle for %.1f s and the idle timeout is %.1f s", f.key.Caller, idle.Seconds(), s.idleLimit.Seconds())
	default:
		s.breach("FLOW: %v got a reset from %v, but %s lives and holds the flow, which is %.1f s old and was idle for %.1f s; the idle timeout is %.1f s",
			f.key.Caller, from, b.vm.name, age.Seconds(), idle.Seconds(), s.idleLimit.Seconds())
	}
}

// after calls f under the lock after a time.
func (s *site) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	})
}

// anyClient returns a client; the lock must be held.
func (s *site) anyClient() *client {
	n := rand.IntN(len(s.clients))
	for _, c := range s.clients {
		if n == 0 {
			return c
		}
		n--
	}
	return nil
}
