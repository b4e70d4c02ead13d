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
	b          [bufferLen]byte
	n          int // length of the datagram, which starts at offset HeaderLen
	from       netip.AddrPort
	src        source
	receivedAt time.Duration // when the datagram was read
}

// message returns the datagram, which must be a message from another process.
func (b *buffer) message() []byte { return b.b[datagram.HeaderLen : datagram.HeaderLen+b.n] }

// packet returns the free space for a header, followed by the datagram, which must be a
// packet.
func (b *buffer) packet() []byte { return b.b[:datagram.HeaderLen+b.n] }

// loop is an event loop: a single goroutine makes all decisions. Socket readers and other
// goroutines pass events to it through two bounded queues: one for callers' datagrams, and
// one for all other events, which are called internal.
//
// Internal events take precedence, because messages of the fleet complete work that has
// been started. A balancer that starts more work than it can complete only repeats the
// same attempts and completes nothing. A reader that finds the internal queue full blocks,
// and the kernel then drops datagrams. Callers' datagrams that have waited too long are
// dropped, because callers soon send them again.
type loop struct {
	start         time.Time
	internalQueue chan any
	callerQueue   chan *buffer
	free          chan *buffer  // buffers for reuse
	ended         chan struct{} // closed when run returns
	// broken counts failed reads and writes of datagrams, dropped the callers' datagrams
	// that were dropped from the queue.
	broken, dropped atomic.Uint64
}

const (
	// internalQueueLen and callerQueueLen are the capacities of the queues: as many events
	// as a large VM handles before they are too old.
	internalQueueLen = 64
	callerQueueLen   = 512
	// callerQueueTimeout is how long a caller's datagram may wait: half the time after
	// which callers retransmit.
	callerQueueTimeout = 100 * time.Millisecond
	// maxInternalBurst is how many internal events are handled before one datagram of a
	// caller if events wait in both queues, so that neither queue starves the other.
	maxInternalBurst = 8
)

// maxEventsPerTick limits the events that are handled between two ticks. Ticks check what
// is overdue.
const maxEventsPerTick = 16

func newLoop() *loop {
	return &loop{
		start: time.Now(), internalQueue: make(chan any, internalQueueLen), callerQueue: make(chan *buffer, callerQueueLen),
		free: make(chan *buffer, internalQueueLen+8), ended: make(chan struct{}),
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
	case l.internalQueue <- func(now time.Duration) { f(now); close(done) }:
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
	// handleDatagram handles a datagram. Its buffer is reused afterwards.
	handleDatagram(b *buffer, now time.Duration)
	// tick handles what is due and returns the time of the next tick.
	tick(now time.Duration) time.Duration
}

// run handles events until the context ends. It must be called once.
func (l *loop) run(ctx context.Context, h handler) error {
	defer close(l.ended)
	next := h.tick(l.now())
	t := time.NewTimer(next - l.now())
	defer t.Stop()
	sinceTick, burst := 0, 0
	for ctx.Err() == nil {
		e := l.nextQueued(&burst)
		if e == nil {
			select {
			case e = <-l.internalQueue:
			case b := <-l.callerQueue:
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
		if sinceTick++; sinceTick < maxEventsPerTick && len(l.internalQueue) > 0 {
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

// nextQueued returns the next event of the two queues, or nil if both are empty. burst
// counts the internal events since the last datagram of a caller.
func (l *loop) nextQueued(burst *int) any {
	if *burst < maxInternalBurst {
		select {
		case e := <-l.internalQueue:
			*burst++
			return e
		default:
		}
	}
	*burst = 0
	for {
		select {
		case b := <-l.callerQueue:
			if l.now()-b.receivedAt < callerQueueTimeout {
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
		h.handleDatagram(e, l.now())
		l.release(e)
	case func(time.Duration):
		e(l.now())
	}
}

// read adds the socket's datagrams to the internal queue until the socket is closed, or until the queue is
// full after the end of run, when nobody makes room in it.
func (l *loop) read(c *net.UDPConn, src source) error {
	return l.readInto(c, src, func(b *buffer) bool {
		select {
		case l.internalQueue <- b:
			return true
		case <-l.ended:
			return false
		}
	})
}

// readCallers adds the socket's datagrams to the caller queue until the socket is closed.
func (l *loop) readCallers(c *net.UDPConn) error { return l.readInto(c, fromCaller, l.enqueueCaller) }

// enqueueCaller queues a caller's datagram and returns true. If the queue is full, it drops the oldest one.
func (l *loop) enqueueCaller(b *buffer) bool {
	for {
		select {
		case l.callerQueue <- b:
			return true
		default:
		}
		select {
		case old := <-l.callerQueue:
			l.drop(old)
		default:
		}
	}
}

// readInto calls add for each datagram of the socket until the socket is closed or add returns false.
func (l *loop) readInto(c *net.UDPConn, src source, add func(*buffer) bool) error {
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
		b.n, b.from, b.src, b.receivedAt = n, from, src, l.now()
		if !add(b) {
			return nil
		}
	}
}

// send writes a datagram. A failure is counted and otherwise treated like a datagram lost
// on the network.
func (l *loop) send(c *net.UDPConn, p []byte, to netip.AddrPort) {
	if _, err := c.WriteToUDPAddrPort(p, to); err != nil {
		l.broken.Add(1)
	}
}

// socketBufferSize is the size of a socket's receive buffer. It absorbs pauses of some
// milliseconds; unread datagrams count towards the memory of the process.
const socketBufferSize = 1 << 20

// listenUDP opens a UDP socket on the address.
func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %v", a)
	}
	c.SetReadBuffer(socketBufferSize) // the kernel may grant less, which is acceptable
	return c, nil
}
