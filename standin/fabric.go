package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Fabric is the stand-in for the network fabric. It forwards each datagram of a
// caller to a random balancer, including failed ones until SetBalancers removes them. On
// a real site balancers answer callers from the service's address. On loopback
// the fabric itself listens on that address, so it opens a socket towards the
// balancers for each caller and forwards the answers to the caller.
type Fabric struct {
	mu sync.Mutex
	// balancers holds the balancers of each service.
	balancers map[netip.AddrPort][]netip.AddrPort
	listeners map[netip.AddrPort]*listener
	wait      sync.WaitGroup

	// Forwarded counts datagrams sent to balancers, Returned those sent to callers.
	Forwarded, Returned atomic.Uint64
}

// listener is the fabric's socket on the address of one service.
type listener struct {
	f       *Fabric
	service netip.AddrPort
	conn    *net.UDPConn
	mu      sync.Mutex
	callers map[netip.AddrPort]*caller
	closed  bool
}

// caller is the fabric's state of one caller.
type caller struct {
	conn *net.UDPConn
	// mu protects traffic.
	mu      sync.Mutex
	traffic CallerTraffic
	// dropIn and dropOut drop the datagrams to the balancers or to the caller.
	dropIn, dropOut atomic.Bool
}

const (
	// callerIdleTimeout is how long the balancers may send nothing to a caller
	// before the fabric drops the caller's state.
	callerIdleTimeout = 60 * time.Second
	// datagramBufferSize is the size of the buffer for one datagram, in bytes.
	datagramBufferSize = 2048
	// receiveBufferSize is the size of a socket's receive buffer, in bytes.
	receiveBufferSize = 4 << 20
)

// CallerTraffic describes the datagrams that the fabric has forwarded for one caller.
type CallerTraffic struct {
	// Address is the address from which the balancers receive the caller's datagrams.
	Address netip.AddrPort
	// SentTo and ReceivedFrom are the balancers of the last datagrams from and to the
	// caller. The times are zero if there was none.
	SentTo, ReceivedFrom   netip.AddrPort
	LastSent, LastReceived time.Time
	Sent, Received         uint64
}

// addSent records a datagram from the caller.
func (c *caller) addSent(to netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.traffic.Sent++
	c.traffic.SentTo, c.traffic.LastSent = to, now
}

// addReceived records a datagram to the caller.
func (c *caller) addReceived(from netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.traffic.Received++
	c.traffic.ReceivedFrom, c.traffic.LastReceived = from, now
}

// NewFabric returns a fabric without services.
func NewFabric() *Fabric {
	return &Fabric{balancers: map[netip.AddrPort][]netip.AddrPort{}, listeners: map[netip.AddrPort]*listener{}}
}

// Open starts listening on the service's address.
func (f *Fabric) Open(service netip.AddrPort) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(service))
	if err != nil {
		return err
	}
	c.SetReadBuffer(receiveBufferSize)
	d := &listener{f: f, service: service, conn: c, callers: map[netip.AddrPort]*caller{}}
	f.mu.Lock()
	f.listeners[service] = d
	f.mu.Unlock()
	f.wait.Go(d.forwardRequests)
	return nil
}

// SetBalancers replaces the balancers' addresses of the service.
func (f *Fabric) SetBalancers(service netip.AddrPort, to []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers[service] = to
}

// pickBalancer returns a random balancer of the service; not ok if there is none.
func (f *Fabric) pickBalancer(service netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.balancers[service]
	if len(t) == 0 {
		return netip.AddrPort{}, false
	}
	return t[rand.IntN(len(t))], true
}

// Traffic returns what the fabric has forwarded for the service's caller at from, and
// whether the service has such a caller.
func (f *Fabric) Traffic(service, from netip.AddrPort) (CallerTraffic, bool) {
	c := f.callerOf(service, from)
	if c == nil {
		return CallerTraffic{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.traffic, true
}

// callerOf returns the state of the service's caller at from, or nil.
func (f *Fabric) callerOf(service, from netip.AddrPort) *caller {
	f.mu.Lock()
	d := f.listeners[service]
	f.mu.Unlock()
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callers[from]
}

// Silence drops the datagrams of the caller at from: those to the balancers if
// in is set, those to the caller if out is set. It reports whether the service
// has such a caller.
func (f *Fabric) Silence(service, from netip.AddrPort, in, out bool) bool {
	c := f.callerOf(service, from)
	if c == nil {
		return false
	}
	c.dropIn.Store(in)
	c.dropOut.Store(out)
	return true
}

// Close closes all sockets and waits until nothing is forwarded any more.
func (f *Fabric) Close() {
	f.mu.Lock()
	for _, d := range f.listeners {
		d.close()
	}
	f.mu.Unlock()
	f.wait.Wait()
}

func (d *listener) close() {
	d.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, c := range d.callers {
		c.conn.Close()
	}
}

// forwardRequests forwards datagrams of callers to balancers until the socket is
// closed.
func (d *listener) forwardRequests() {
	b := make([]byte, datagramBufferSize)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		c := d.caller(from)
		to, ok := d.f.pickBalancer(d.service)
		if c == nil || !ok || c.dropIn.Load() {
			continue
		}
		c.addSent(to, time.Now())
		d.f.Forwarded.Add(1)
		c.conn.WriteToUDPAddrPort(b[:n], to)
	}
}

// caller returns the state of the caller. For a new caller it opens a socket
// towards the balancers; it returns nil if that fails or the fabric is closed.
func (d *listener) caller(from netip.AddrPort) *caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.callers[from]; c != nil {
		return c
	}
	if d.closed {
		return nil
	}
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.service.Addr(), 0)))
	if err != nil {
		return nil
	}
	s.SetReadBuffer(receiveBufferSize)
	c := &caller{conn: s}
	if a, ok := s.LocalAddr().(*net.UDPAddr); ok {
		c.traffic.Address = a.AddrPort()
	}
	d.callers[from] = c
	d.f.wait.Go(func() { d.forwardAnswers(c, from) })
	return c
}

// forwardAnswers forwards answers to the caller until none has come for
// callerIdleTimeout.
func (d *listener) forwardAnswers(c *caller, to netip.AddrPort) {
	b := make([]byte, datagramBufferSize)
	for {
		c.conn.SetReadDeadline(time.Now().Add(callerIdleTimeout))
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			break
		}
		if c.dropOut.Load() {
			continue
		}
		d.f.Returned.Add(1)
		c.addReceived(from, time.Now())
		d.conn.WriteToUDPAddrPort(b[:n], to)
	}
	c.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.callers[to] == c {
		delete(d.callers, to)
	}
}
