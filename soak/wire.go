package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Datagrams between processes pass through a mesh of sockets of the soak test. Every process
// has its own port for messages and assumes that all others have the same one. What process A
// sends to B therefore arrives at B's address and A's port, where the mesh listens. The mesh
// passes it to B's port from A's address and B's port, which is where B's answers arrive.

// impairment is what a fault does to a wire. The zero value does nothing.
type impairment struct {
	drop  float64 // share that is lost; 1: all
	delay time.Duration
	rate  float64 // bytes per second; 0: not limited
	reset bool    // connections are reset
}

// wire is one direction of a connection of a process. Its zero value passes everything on.
type wire struct {
	mu     sync.Mutex
	faults map[Fault]impairment
	freeAt time.Time // when a wire with a rate has passed on what it has accepted
}

func (w *wire) add(f Fault, i impairment) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults == nil {
		w.faults = map[Fault]impairment{}
	}
	w.faults[f] = i
}

func (w *wire) remove(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.faults, f)
}

// state returns the sum of the impairments.
func (w *wire) state() impairment {
	var x impairment
	for _, i := range w.faults {
		x.drop, x.delay, x.reset = max(x.drop, i.drop), max(x.delay, i.delay), x.reset || i.reset
		if i.rate > 0 && (x.rate == 0 || i.rate < x.rate) {
			x.rate = i.rate
		}
	}
	return x
}

// maxBacklog is how much a wire with a rate holds back before it drops datagrams.
const maxBacklog = 300 * time.Millisecond

// admit returns how long n bytes are held back, and whether they are passed on at all.
func (w *wire) admit(n int) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.state()
	if x.drop > 0 && rand.Float64() < x.drop {
		return 0, false
	}
	d := x.delay
	if x.rate > 0 {
		now := time.Now()
		if w.freeAt.Before(now) {
			w.freeAt = now
		}
		if w.freeAt.Sub(now) > maxBacklog {
			return 0, false
		}
		w.freeAt = w.freeAt.Add(time.Duration(float64(n) / x.rate * float64(time.Second)))
		d += w.freeAt.Sub(now)
	}
	return d, true
}

// carry calls deliver once the bytes have passed the wires, or never.
func carry(n int, deliver func(), ws ...*wire) {
	var sum time.Duration
	for _, w := range ws {
		d, ok := w.admit(n)
		if !ok {
			return
		}
		sum += d
	}
	if sum == 0 {
		deliver()
		return
	}
	time.AfterFunc(sum, deliver)
}

// endpoint is a process as the mesh sees it.
type endpoint struct {
	ip      netip.Addr
	port    uint16 // for messages; the next one serves views
	in, out wire
}

// mesh passes datagrams and views between the processes.
type mesh struct {
	sockets map[netip.AddrPort]*net.UDPConn
	pairs   map[[2]netip.Addr]*wire // between two processes
	closers []interface{ Close() error }
	wg      sync.WaitGroup
}

// newMesh listens for every pair of endpoints.
func newMesh(es []*endpoint) (*mesh, error) {
	m := &mesh{sockets: map[netip.AddrPort]*net.UDPConn{}, pairs: map[[2]netip.Addr]*wire{}}
	for _, to := range es {
		for _, from := range es {
			if to == from {
				continue
			}
			a := netip.AddrPortFrom(to.ip, from.port)
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
			if err != nil {
				m.Close()
				return nil, err
			}
			m.sockets[a] = c
			m.pairs[[2]netip.Addr{from.ip, to.ip}] = &wire{}
			m.closers = append(m.closers, c)
		}
	}
	for _, to := range es {
		for _, from := range es {
			if to == from {
				continue
			}
			m.wg.Go(func() { m.pass(from, to) })
			p, err := newProxy(netip.AddrPortFrom(to.ip, from.port+1).String(), netip.AddrPortFrom(to.ip, to.port+1).String(), &to.in, &from.out)
			if err != nil {
				m.Close()
				return nil, err
			}
			m.closers = append(m.closers, p)
		}
	}
	return m, nil
}

// pass passes on what one process sends to another, until the sockets are closed.
func (m *mesh) pass(from, to *endpoint) {
	in := m.sockets[netip.AddrPortFrom(to.ip, from.port)]
	out := m.sockets[netip.AddrPortFrom(from.ip, to.port)]
	dst := netip.AddrPortFrom(to.ip, to.port)
	pair := m.pairs[[2]netip.Addr{from.ip, to.ip}]
	b := make([]byte, 2048)
	for {
		n, _, err := in.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the process was not listening
		}
		c := append([]byte(nil), b[:n]...)
		carry(n, func() { out.WriteToUDPAddrPort(c, dst) }, &from.out, pair, &to.in)
	}
}

// Close closes all sockets and waits for their readers.
func (m *mesh) Close() error {
	for _, c := range m.closers {
		c.Close()
	}
	m.wg.Wait()
	return nil
}

// proxy passes TCP connections on.
type proxy struct {
	l     net.Listener
	to    string
	wires []*wire
	mu    sync.Mutex
	conns map[net.Conn]bool
	off   bool // connections are refused
	done  chan struct{}
}

func newProxy(at, to string, ws ...*wire) (*proxy, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, to: to, wires: ws, conns: map[net.Conn]bool{}, done: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// serve connects to the target and copies in both directions.
func (p *proxy) serve(c *net.TCPConn) {
	p.track(c, true)
	defer p.track(c, false)
	defer c.Close()
	p.mu.Lock()
	off := p.off
	p.mu.Unlock()
	if off || !p.await(0) {
		c.SetLinger(0)
		return
	}
	d, err := net.DialTimeout("tcp4", p.to, time.Second)
	if err != nil {
		c.SetLinger(0)
		return
	}
	defer d.Close()
	p.track(d, true)
	defer p.track(d, false)
	ended := make(chan struct{}, 2)
	for _, x := range [][2]*net.TCPConn{{c, d.(*net.TCPConn)}, {d.(*net.TCPConn), c}} {
		go func() { p.copy(x[1], x[0]); ended <- struct{}{} }()
	}
	<-ended
}

// copy copies until an end closes or the connection is to be reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if !p.await(n) {
			to.SetLinger(0)
			from.SetLinger(0)
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// await waits until n bytes may pass. It returns false if the connection is to be reset.
func (p *proxy) await(n int) bool {
	for {
		var x impairment
		for _, w := range p.wires {
			w.mu.Lock()
			y := w.state()
			w.mu.Unlock()
			x.drop, x.delay, x.reset, x.rate = max(x.drop, y.drop), x.delay+y.delay, x.reset || y.reset, max(x.rate, y.rate)
		}
		if x.reset {
			return false
		}
		if x.drop < 1 {
			if x.rate > 0 {
				x.delay += time.Duration(float64(n) / x.rate * float64(time.Second))
			}
			time.Sleep(x.delay)
			return true
		}
		select { // TCP repeats what is lost
		case <-time.After(50 * time.Millisecond):
		case <-p.done:
			return false
		}
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// turn refuses connections and closes those that are open, or accepts them again.
func (p *proxy) turn(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.off = !on; p.off {
		for c := range p.conns {
			c.Close()
		}
	}
}

// Close stops listening and closes all connections.
func (p *proxy) Close() error {
	select {
	case <-p.done:
		return nil
	default:
	}
	close(p.done)
	err := p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	return err
}
