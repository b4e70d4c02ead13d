package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/datagram"
)

// source says which socket a datagram came in at.
type source uint8

const (
	fromCaller source = iota
	fromProcess
	fromUpstream
)

// bufferLen holds a header and the longest datagram of the platform's links.
const bufferLen = datagram.HeaderLen + 1500

// buffer is a datagram with room for a header before it.
type buffer struct {
	b    [bufferLen]byte
	n    int // length of the datagram, which begins at HeaderLen
	from netip.AddrPort
	at   source
}

// message returns the datagram as a message of another process.
func (b *buffer) message() []byte { return b.b[datagram.HeaderLen : datagram.HeaderLen+b.n] }

// packet returns the datagram as a packet with room for a header before it.
func (b *buffer) packet() []byte { return b.b[:datagram.HeaderLen+b.n] }

// loop is the one goroutine that owns the decisions; readers and other duties
// hand it their events through one bounded ring. A reader that finds it full
// waits, and the kernel then drops datagrams, as a caller's retransmission
// expects.
type loop struct {
	start  time.Time
	events chan any
	free   chan *buffer
	// Broken counts datagrams that could not be sent.
	broken atomic.Uint64
}

// ringLen bounds the events that wait, and their memory.
const ringLen = 64

// beforeTick bounds the events that are handled before it is judged what is overdue.
const beforeTick = 16

func newLoop() *loop {
	l := &loop{start: time.Now(), events: make(chan any, ringLen), free: make(chan *buffer, ringLen+8)}
	return l
}

func (l *loop) now() time.Duration { return time.Since(l.start) }

func (l *loop) buffer() *buffer {
	select {
	case b := <-l.free:
		return b
	default:
		return &buffer{}
	}
}

func (l *loop) release(b *buffer) {
	select {
	case l.free <- b:
	default:
	}
}

// do runs f on the loop and waits for it. It is false if the context ended first; f may
// then run still, so nothing that it writes may be read.
func (l *loop) do(ctx context.Context, f func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case l.events <- func(now time.Duration) { f(now); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// handler is what the loop runs.
type handler interface {
	datagram(b *buffer, now time.Duration)
	tick(now time.Duration) time.Duration
}

// run handles events until the context ends.
func (l *loop) run(ctx context.Context, h handler) error {
	next := h.tick(l.now())
	t := time.NewTimer(next - l.now())
	defer t.Stop()
	sinceTick := 0
	for {
		select {
		case e := <-l.events:
			l.handle(e, h)
			if sinceTick++; sinceTick < beforeTick && len(l.events) > 0 {
				continue // what waits may be the answer that is overdue
			}
			sinceTick = 0
		case <-t.C:
			next = h.tick(l.now())
			t.Reset(next - l.now())
			continue
		case <-ctx.Done():
			return nil
		}
		if at := h.tick(l.now()); at < next {
			next = at
			t.Reset(next - l.now())
		}
	}
}

func (l *loop) handle(e any, h handler) {
	switch e := e.(type) {
	case *buffer:
		h.datagram(e, l.now())
		l.release(e)
	case func(time.Duration):
		e(l.now())
	}
}

// read hands the socket's datagrams to the loop until the socket is closed.
func (l *loop) read(c *net.UDPConn, at source) error {
	for {
		b := l.buffer()
		n, from, err := c.ReadFromUDPAddrPort(b.b[datagram.HeaderLen:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.broken.Add(1) // such as a refused datagram that was sent before
			l.release(b)
			continue
		}
		b.n, b.from, b.at = n, from, at
		l.events <- b
	}
}

// send writes a datagram. What can't be sent is lost as on the way, and counted.
func (l *loop) send(c *net.UDPConn, p []byte, to netip.AddrPort) {
	if _, err := c.WriteToUDPAddrPort(p, to); err != nil {
		l.broken.Add(1)
	}
}

// socketBuffer rides out a pause of some milliseconds; what waits unread counts
// as the process's memory.
const socketBuffer = 1 << 20

func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %v", a)
	}
	c.SetReadBuffer(socketBuffer) // a smaller one than asked for is no fault
	return c, nil
}
