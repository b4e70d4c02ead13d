package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

const (
	backendSlots     = 6
	workTime         = 20 * time.Millisecond
	heartbeatTimeout = time.Second
)

// backend is a backend beside an agent. The lock of the site guards it.
type backend struct {
	s  *site
	vm *machine
	id string
	// clockAhead is how far the time of day of its machine is ahead of the true time.
	clockAhead time.Duration

	run      int // number of starts
	alive    bool
	draining bool
	born     int64
	sequence int64
	conn     *net.UDPConn
	listener net.Listener
	stopRun  context.CancelFunc
	flows    map[datagram.Flow]*backendFlow
	// drainAckedAt is when the first heartbeat of this run that says draining was acknowledged;
	// zero: not yet.
	drainAckedAt time.Time
}

// backendFlow is a flow that the backend holds, or held until both ends closed it.
type backendFlow struct {
	callerSeq, seq uint32
	open           bool
	closed         bool   // by both ends, or reset
	callerDone     bool   // the client has closed its end
	streaming      bool   // an answer is being sent in parts
	next           uint32 // the next sequence number expected from the client
	sent           uint32 // the next sequence number to send
	answer         []byte // to the latest request
	openedAt       time.Time
	lastAt         time.Time // when the latest data packet arrived or was sent
}

func newBackend(s *site, m *machine) *backend { return &backend{s: s, vm: m, id: "i-" + m.name} }

// start starts a run of the backend, which holds no flows.
func (b *backend) start() error {
	at := netip.AddrPortFrom(b.vm.ip, b.s.ports.app)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		c.Close()
		return err
	}
	go http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	ctx, stop := context.WithCancel(context.Background())
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	b.run++
	b.alive, b.draining, b.drainAckedAt = true, false, time.Time{}
	b.born, b.sequence = time.Now().Add(b.clockAhead).UnixMilli(), 0
	b.conn, b.listener, b.stopRun, b.flows = c, l, stop, map[datagram.Flow]*backendFlow{}
	b.s.note("%s: backend starts, run %d, born %d", b.vm.name, b.run, b.born)
	go b.read(c, b.run)
	go b.announce(ctx, b.run)
	return nil
}

// stop ends the backend at once, as a crash does.
func (b *backend) stop() {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	if !b.alive {
		return
	}
	b.alive = false
	b.stopRun()
	b.conn.Close()
	b.listener.Close()
	b.s.note("%s: backend ends", b.vm.name)
}

// drain makes the backend say that it is draining, at once and in all later heartbeats.
func (b *backend) drain() {
	b.s.mu.Lock()
	b.draining = true
	run := b.run
	b.s.note("%s: backend begins to drain", b.vm.name)
	b.s.mu.Unlock()
	b.beat(context.Background(), run)
}

// announce sends heartbeats until the run ends.
func (b *backend) announce(ctx context.Context, run int) {
	for {
		pause := heartbeatInterval
		if !b.beat(ctx, run) {
			pause = 100 * time.Millisecond
		}
		if sleep(ctx, pause) != nil {
			return
		}
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (b *backend) beat(ctx context.Context, run int) bool {
	b.s.mu.Lock()
	if !b.alive || b.run != run {
		b.s.mu.Unlock()
		return false
	}
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	n := b.sequence
	body := fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-ms":0,"sequence":%d,"born":%d}`,
		serviceName, b.vm.ip, b.s.ports.app, b.vm.zone, backendSlots, state, n, b.born)
	b.s.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, heartbeatTimeout)
	defer stop()
	url := standin.UpstreamURL(netip.AddrPortFrom(b.vm.ip, b.s.ports.control), b.id, standin.CallHeartbeat)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	a.Body.Close()
	if a.StatusCode/100 != 2 {
		return false
	}
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	if b.run == run && state == "draining" && b.drainAckedAt.IsZero() {
		b.drainAckedAt = time.Now()
		b.s.note("%s: heartbeat %d (%s, born %d) is acknowledged: the backend is draining", b.vm.name, n, state, b.born)
	} else if b.run == run && n == 1 {
		b.s.note("%s: heartbeat 1 (%s, born %d) is acknowledged", b.vm.name, state, b.born)
	}
	return true
}

// read handles the packets from the agent until the socket is closed.
func (b *backend) read(c *net.UDPConn, run int) {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		b.s.mu.Lock()
		if b.alive && b.run == run {
			b.handle(append([]byte(nil), buf[:n]...))
		}
		b.s.mu.Unlock()
	}
}

// handle handles a packet of a client.
func (b *backend) handle(m []byte) {
	p, ok := platform.PacketFormat{}.Parse(m)
	if !ok || p.Flow.Address != b.s.route {
		b.s.note("%s: bytes that are no packet for the route", b.vm.name)
		return
	}
	f := b.flows[p.Flow]
	switch {
	case p.Open && !p.Ack:
		b.handleOpening(p)
	case f == nil || !f.open && p.AckNumber != f.seq+1:
		b.bounce(m)
	case p.Reset:
		f.closed = true
	case p.Fin:
		b.handleFin(p, f)
	case f.closed && p.Length > 0:
		b.send(encode(p.Flow.Address, p.Flow.Caller, flagReset|flagAck, f.sent, p.Seq+uint32(p.Length), ""))
	default:
		b.handleData(p, f, m)
	}
}

// handleOpening accepts a flow. The copies of an opening get the same answer; an opening with
// another sequence number begins a new flow if the earlier one is closed.
func (b *backend) handleOpening(p datagram.Packet) {
	f := b.flows[p.Flow]
	if f == nil || f.closed && f.callerSeq != p.Seq {
		if !b.drainAckedAt.IsZero() {
			b.checkDraining(p.Flow)
		}
		n := rand.Uint32()>>2 + 1
		f = &backendFlow{callerSeq: p.Seq, seq: n, next: p.Seq + 1, sent: n + 1}
		b.flows[p.Flow] = f
		b.s.note("%s: takes the opening of %v", b.vm.name, p.Flow.Caller)
	}
	b.send(encode(p.Flow.Address, p.Flow.Caller, flagOpen|flagAck, f.seq, p.Seq+1, ""))
}

// checkDraining checks an opening that arrives after the agent has acknowledged that the backend
// drains.
func (b *backend) checkDraining(f datagram.Flow) {
	since := time.Since(b.drainAckedAt)
	if since > drainBound {
		b.s.breach("DRAIN: %s took the opening of %v %.3f s after its draining was acknowledged", b.vm.name, f.Caller, since.Seconds())
	}
}

// bounce returns a packet of a flow that the backend does not hold.
func (b *backend) bounce(m []byte) {
	m[flagsOffset] |= flagBounced
	b.send(m)
}

// handleFin closes the client's end, and the backend's own end unless it still has to answer.
func (b *backend) handleFin(p datagram.Packet, f *backendFlow) {
	if p.Seq != f.next && !f.callerDone {
		return // a request before it is missing
	}
	if !f.callerDone {
		f.callerDone, f.next = true, p.Seq+1
	}
	if f.streaming {
		b.send(encode(p.Flow.Address, p.Flow.Caller, flagAck, f.sent, f.next, ""))
		return
	}
	f.closed = true
	b.send(encode(p.Flow.Address, p.Flow.Caller, flagAck|flagFin, f.sent, f.next, ""))
}

// handleData runs a request, which is one packet, and answers it. It repeats the answer if the
// request is repeated.
func (b *backend) handleData(p datagram.Packet, f *backendFlow, m []byte) {
	if !f.open {
		f.open, f.openedAt = true, time.Now()
	}
	switch {
	case p.Length == 0:
		return
	case p.Seq != f.next:
		if f.answer != nil && p.Seq+uint32(p.Length) == f.next {
			b.send(append([]byte(nil), f.answer...))
		}
		return
	}
	f.next, f.answer, f.lastAt = p.Seq+uint32(p.Length), nil, time.Now()
	id, run, seq := requestID(m), b.run, f.sent
	b.s.note("%s: runs request %s of %v", b.vm.name, id, p.Flow.Caller)
	if strings.HasPrefix(id, streamPrefix) {
		f.streaming = true
		b.stream(p.Flow, f, id, run, streamParts)
		return
	}
	body := "answer to " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Response-Signature: s-%s\r\n\r\n%s", len(body), id, body)
	f.sent += uint32(len(text))
	time.AfterFunc(workTime, func() {
		b.s.mu.Lock()
		defer b.s.mu.Unlock()
		if !b.alive || b.run != run {
			return
		}
		f.answer = encode(p.Flow.Address, p.Flow.Caller, flagAck, seq, f.next, text)
		f.lastAt = time.Now()
		b.send(append([]byte(nil), f.answer...))
	})
}

const (
	streamPrefix   = "stream-"
	streamParts    = 14
	streamInterval = 1500 * time.Millisecond
)

// stream sends the answer in parts, and closes the backend's end after the last one. A part is sent
// once; the client acknowledges each.
func (b *backend) stream(k datagram.Flow, f *backendFlow, id string, run, left int) {
	if !b.alive || b.run != run || f.closed {
		return
	}
	flags := byte(flagAck)
	text := fmt.Sprintf("part %d of the answer to %s\n", streamParts-left+1, id)
	if left == 0 {
		flags, text, f.closed, f.streaming = flagAck|flagFin, "", f.callerDone, false
	}
	seq := f.sent
	f.sent += uint32(len(text))
	f.lastAt = time.Now()
	b.send(encode(k.Address, k.Caller, flags, seq, f.next, text))
	if left > 0 {
		b.s.after(streamInterval, func() { b.stream(k, f, id, run, left-1) })
	}
}

func (b *backend) send(m []byte) {
	if len(m) >= headerLen && m[flagsOffset]&flagBounced == 0 {
		clear(m[echoOffset : echoOffset+echoLen])
	}
	b.conn.WriteToUDPAddrPort(m, netip.AddrPortFrom(b.vm.ip, b.s.ports.outbound))
}

// holder returns the backend that holds the open flow; nil if there is none.
func (s *site) holder(f datagram.Flow) (*backend, *backendFlow) {
	for _, b := range s.backends {
		if x := b.flows[f]; b.alive && x != nil && x.open && !x.closed {
			return b, x
		}
	}
	return nil, nil
}

// isAnswerTo reports whether the text is the backend's whole answer to the request.
func isAnswerTo(text, id string) bool {
	return strings.HasPrefix(text, "HTTP/1.1 200 OK\r\n") && strings.HasSuffix(text, "\r\n\r\nanswer to "+id)
}
