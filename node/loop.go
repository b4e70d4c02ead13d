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
	came time.Duration // when it was read
}

// message returns the datagram as a message of another process.
func (b *buffer) message() []byte { return b.b[datagram.HeaderLen : datagram.HeaderLen+b.n] }

// packet returns the datagram as a packet with room for a header before it.
func (b *buffer) packet() []byte { return b.b[:datagram.HeaderLen+b.n] }

// loop is the one goroutine that owns the decisions; readers and other duties hand it
// their events through two bounded rings.
//
// What the fleet says goes before what callers send: it ends work that was begun, and a
// balancer that takes on more than it can end repeats itself and ends nothing. A reader
// that finds the fleet's ring full waits, and the kernel then drops datagrams. Of callers
// those that have waited too long are dropped, as they are repeated soon.
type loop struct {
	start   time.Time
	events  chan any
	callers chan *buffer
	free    chan *buffer
	// broken counts datagrams that could not be sent, dropped those of callers that
	// were dropped.
	broken, dropped atomic.Uint64
}

const (
	// ringLen bounds the events that wait, and callersLen the datagrams of callers: what
	// a large VM handles before they are too old.
	ringLen    = 64
	callersLen = 512
	// callersPatience is how long a datagram of a caller may wait: half the time after
	// which callers repeat themselves.
	callersPatience = 100 * time.Millisecond
	// fleetTurn is how many events of the fleet go before a datagram of a caller if both
	// wait, so that neither stops the other.
	fleetTurn = 8
)

// beforeTick bounds the events that are handled before it is judged what is overdue.
const beforeTick = 16

func newLoop() *loop {
	return &loop{
		start: time.Now(), events: make(chan any, ringLen), callers: make(chan *buffer, callersLen),
		free: make(chan *buffer, ringLen+8),
	}
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
	sinceTick, turn := 0, 0
	for ctx.Err() == nil {
		e := l.first(&turn)
		if e == nil {
			select {
			case e = <-l.events:
			case b := <-l.callers:
				e = b
			case <-t.C:
				next = h.tick(l.now())
				t.Reset(next - l.now())
				continue
			case <-ctx.Done():
				return nil
			}
		}
		l.handle(e, h)
		if sinceTick++; sinceTick < beforeTick && len(l.events) > 0 {
			continue // what waits may be the answer that is overdue
		}
		sinceTick = 0
		if at := h.tick(l.now()); at < next {
			next = at
			t.Reset(next - l.now())
		}
	}
	return nil
}

// first returns what is next of the events that wait, or nil. The turn counts the events
// of the fleet since the last datagram of a caller.
func (l *loop) first(turn *int) any {
	if *turn < fleetTurn {
		select {
		case e := <-l.events:
			*turn++
			return e
		default:
		}
	}
	*turn = 0
	for {
		select {
		case b := <-l.callers:
			if l.now()-b.came < callersPatience {
				return b
			}
			l.drop(b)
		default:
			return nil
		}
	}
}

func (l *loop) drop(b *buffer) {
	l.dropped.Add(1)
	l.release(b)
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
	return l.readTo(c, at, func(b *buffer) { l.events <- b })
}

// readCallers does so with those of callers.
func (l *loop) readCallers(c *net.UDPConn) error { return l.readTo(c, fromCaller, l.addCaller) }

// addCaller hands over a datagram of a caller, in place of the oldest if the ring is full.
func (l *loop) addCaller(b *buffer) {
	for {
		select {
		case l.callers <- b:
			return
		default:
		}
		select {
		case old := <-l.callers:
			l.drop(old)
		default:
		}
	}
}

func (l *loop) readTo(c *net.UDPConn, at source, add func(*buffer)) error {
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
		b.n, b.from, b.at, b.came = n, from, at, l.now()
		add(b)
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
