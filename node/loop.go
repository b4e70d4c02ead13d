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

// source is the socket from which a datagram was read.
type source uint8

const (
	fromCaller source = iota
	fromProcess
	fromUpstream
)

// bufferLen fits a header and the longest datagram of the platform's network.
const bufferLen = datagram.HeaderLen + 1500

// buffer holds a datagram, with free space for a header before it.
type buffer struct {
	b    [bufferLen]byte
	n    int // length of the datagram, which starts at offset HeaderLen
	from netip.AddrPort
	at   source
	came time.Duration // when the datagram was read
}

// message returns the datagram, as a message from another process.
func (b *buffer) message() []byte { return b.b[datagram.HeaderLen : datagram.HeaderLen+b.n] }

// packet returns the datagram, as a packet that follows free space for a header.
func (b *buffer) packet() []byte { return b.b[:datagram.HeaderLen+b.n] }

// loop is an event loop: a single goroutine makes all decisions. Socket readers and other
// goroutines pass events to it through two bounded queues, one for callers' datagrams and
// one for internal events, which are all others.
//
// Internal events take precedence, because messages of the fleet complete work that has
// been started. A balancer that starts more than it can complete only repeats itself and
// completes nothing. A reader that finds the internal queue full blocks, and the kernel
// then drops datagrams. Callers' datagrams that have waited too long are dropped, because
// callers soon send them again.
type loop struct {
	start   time.Time
	events  chan any
	callers chan *buffer
	free    chan *buffer
	// broken counts failed reads and writes of datagrams, dropped the callers' datagrams
	// that were dropped from the queue.
	broken, dropped atomic.Uint64
}

const (
	// ringLen is the capacity of the internal queue, and callersLen that of the queue of
	// callers' datagrams: as many as a large VM handles before they are too old.
	ringLen    = 64
	callersLen = 512
	// callersPatience is how long a caller's datagram may wait: half the time after which
	// callers retransmit.
	callersPatience = 100 * time.Millisecond
	// fleetTurn is how many internal events are handled before one datagram of a caller
	// if both queues are filled, so that neither starves the other.
	fleetTurn = 8
)

// beforeTick limits the events that are handled between two ticks. Ticks check what is
// overdue.
const beforeTick = 16

func newLoop() *loop {
	return &loop{
		start: time.Now(), events: make(chan any, ringLen), callers: make(chan *buffer, callersLen),
		free: make(chan *buffer, ringLen+8),
	}
}

// now returns the time since the loop was created.
func (l *loop) now() time.Duration { return time.Since(l.start) }

// buffer returns a released buffer, or a new one.
func (l *loop) buffer() *buffer {
	select {
	case b := <-l.free:
		return b
	default:
		return &buffer{}
	}
}

// release makes a buffer available for reuse.
func (l *loop) release(b *buffer) {
	select {
	case l.free <- b:
	default:
	}
}

// do runs f on the loop and waits for it. It returns false if the context ends first. f
// may then still run, so the caller must not read anything that f writes.
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

// handler handles the events of a loop.
type handler interface {
	// datagram handles a datagram, whose buffer is reused afterwards.
	datagram(b *buffer, now time.Duration)
	// tick handles what is due and returns the time of the next tick.
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
			continue // an event in the queue may be the answer that a tick considers overdue
		}
		sinceTick = 0
		if at := h.tick(l.now()); at < next {
			next = at
			t.Reset(next - l.now())
		}
	}
	return nil
}

// first returns the next event of the two queues, or nil if both are empty. turn counts
// the internal events since the last datagram of a caller.
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

// drop counts and releases a caller's datagram that is not handled.
func (l *loop) drop(b *buffer) {
	l.dropped.Add(1)
	l.release(b)
}

// handle passes a datagram to the handler, or calls a function that do has queued.
func (l *loop) handle(e any, h handler) {
	switch e := e.(type) {
	case *buffer:
		h.datagram(e, l.now())
		l.release(e)
	case func(time.Duration):
		e(l.now())
	}
}

// read adds the socket's datagrams to the internal queue until the socket is closed.
func (l *loop) read(c *net.UDPConn, at source) error {
	return l.readTo(c, at, func(b *buffer) { l.events <- b })
}

// readCallers adds the socket's datagrams to the queue of callers' datagrams until the
// socket is closed.
func (l *loop) readCallers(c *net.UDPConn) error { return l.readTo(c, fromCaller, l.addCaller) }

// addCaller queues a caller's datagram. If the queue is full, it drops the oldest one.
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

// readTo calls add for each datagram of the socket until the socket is closed.
func (l *loop) readTo(c *net.UDPConn, at source, add func(*buffer)) error {
	for {
		b := l.buffer()
		n, from, err := c.ReadFromUDPAddrPort(b.b[datagram.HeaderLen:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.broken.Add(1) // for example because a datagram sent earlier was refused
			l.release(b)
			continue
		}
		b.n, b.from, b.at, b.came = n, from, at, l.now()
		add(b)
	}
}

// send writes a datagram. A failure is counted and otherwise treated like a datagram lost
// on the network.
func (l *loop) send(c *net.UDPConn, p []byte, to netip.AddrPort) {
	if _, err := c.WriteToUDPAddrPort(p, to); err != nil {
		l.broken.Add(1)
	}
}

// socketBuffer is the size of a socket's receive buffer. It absorbs pauses of some
// milliseconds; unread datagrams count towards the memory of the process.
const socketBuffer = 1 << 20

// listenUDP opens a UDP socket on the address.
func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %v", a)
	}
	c.SetReadBuffer(socketBuffer) // the kernel may grant less, which is acceptable
	return c, nil
}
