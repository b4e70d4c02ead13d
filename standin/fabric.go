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
// caller to a random balancer, including failed ones until Set removes them. On
// a real site balancers answer callers from the service's address. On loopback
// the fabric itself listens on that address, so it opens a socket towards the
// balancers for each caller and forwards the answers to the caller.
type Fabric struct {
	mu sync.Mutex
	// targets holds the balancers of each service.
	targets map[netip.AddrPort][]netip.AddrPort
	doors   map[netip.AddrPort]*door
	wait    sync.WaitGroup

	// Sprayed counts datagrams sent to balancers, Returned those sent to callers.
	Sprayed, Returned atomic.Uint64
}

// door is the fabric's socket on the address of one service.
type door struct {
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
	// used is when the caller last sent a datagram, in Unix nanoseconds.
	used atomic.Int64
	// deafIn and deafOut drop the datagrams to the balancers or to the caller.
	deafIn, deafOut atomic.Bool
}

const (
	// callerIdle is how long the balancers may send nothing to a caller before the
	// fabric drops the caller's state.
	callerIdle = 60 * time.Second
	// datagram is the size of the buffer for one datagram, in bytes.
	datagram = 2048
	// buffer is the size of a socket's receive buffer, in bytes.
	buffer = 4 << 20
)

// NewFabric returns a fabric without services.
func NewFabric() *Fabric {
	return &Fabric{targets: map[netip.AddrPort][]netip.AddrPort{}, doors: map[netip.AddrPort]*door{}}
}

// Open starts listening on the service's address.
func (f *Fabric) Open(service netip.AddrPort) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(service))
	if err != nil {
		return err
	}
	c.SetReadBuffer(buffer)
	d := &door{f: f, service: service, conn: c, callers: map[netip.AddrPort]*caller{}}
	f.mu.Lock()
	f.doors[service] = d
	f.mu.Unlock()
	f.wait.Go(d.run)
	return nil
}

// Set replaces the balancers' addresses of the service.
func (f *Fabric) Set(service netip.AddrPort, to []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[service] = to
}

// pick returns a random balancer of the service; not ok if there is none.
func (f *Fabric) pick(service netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[service]
	if len(t) == 0 {
		return netip.AddrPort{}, false
	}
	return t[rand.IntN(len(t))], true
}

// Silence drops the datagrams of the caller at from: those to the balancers if
// in is set, those to the caller if out is set. It reports whether the service
// has such a caller.
func (f *Fabric) Silence(service, from netip.AddrPort, in, out bool) bool {
	f.mu.Lock()
	d := f.doors[service]
	f.mu.Unlock()
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.callers[from]
	if c == nil {
		return false
	}
	c.deafIn.Store(in)
	c.deafOut.Store(out)
	return true
}

// Close closes all sockets and waits until nothing is forwarded any more.
func (f *Fabric) Close() {
	f.mu.Lock()
	for _, d := range f.doors {
		d.close()
	}
	f.mu.Unlock()
	f.wait.Wait()
}

func (d *door) close() {
	d.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, c := range d.callers {
		c.conn.Close()
	}
}

// run forwards datagrams of callers to balancers until the socket is closed.
func (d *door) run() {
	b := make([]byte, datagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		c := d.caller(from)
		to, ok := d.f.pick(d.service)
		if c == nil || !ok || c.deafIn.Load() {
			continue
		}
		c.used.Store(time.Now().UnixNano())
		d.f.Sprayed.Add(1)
		c.conn.WriteToUDPAddrPort(b[:n], to)
	}
}

// caller returns the state of the caller. For a new caller it opens a socket
// towards the balancers; it returns nil if that fails or the fabric is closed.
func (d *door) caller(from netip.AddrPort) *caller {
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
	s.SetReadBuffer(buffer)
	c := &caller{conn: s}
	c.used.Store(time.Now().UnixNano())
	d.callers[from] = c
	d.f.wait.Go(func() { d.back(c, from) })
	return c
}

// back forwards answers to the caller until none has come for callerIdle.
func (d *door) back(c *caller, to netip.AddrPort) {
	b := make([]byte, datagram)
	for {
		c.conn.SetReadDeadline(time.Now().Add(callerIdle))
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			break
		}
		if c.deafOut.Load() {
			continue
		}
		d.f.Returned.Add(1)
		d.conn.WriteToUDPAddrPort(b[:n], to)
	}
	c.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.callers[to] == c {
		delete(d.callers, to)
	}
}
