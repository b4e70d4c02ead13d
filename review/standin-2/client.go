package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// caller is a client with one address.
type caller struct {
	s     *site
	ip    netip.Addr
	zone  string
	conn  *net.UDPConn
	port  uint16 // of the latest flow
	flows map[uint16]*flow
}

// flow is a client's end of a flow.
type flow struct {
	c          *caller
	key        flowKey
	seq, ack   uint32
	open       bool
	over       bool
	opened     time.Time // when the first SYN was sent
	request    int       // number of the current request; 0: none yet
	id         string
	waiting    bool // for an answer
	answered   int
	resetAt    time.Time // when a reset of the system's own arrived
	lastAnswer time.Time
	onOpen     func(*flow)
}

func (s *site) addCaller(n int, zone string) (*caller, error) {
	c := &caller{s: s, ip: s.ip(n), zone: zone, port: 40_000, flows: map[uint16]*flow{}}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at(c.ip, portCallers))); err != nil {
		return nil, err
	}
	s.callers = append(s.callers, c)
	go c.read()
	return c, nil
}

// after calls f under the lock after a time, unless the case is over.
func (s *site) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		s.locked(func() {
			if !s.over {
				f()
			}
		})
	})
}

// open opens a flow: a SYN, and copies after 200 ms and 600 ms. It is given up after 1.4 s. The
// caller must hold s.mu.
func (c *caller) open(address netip.AddrPort, onOpen func(*flow)) *flow {
	c.port++
	f := &flow{c: c, key: flowKey{netip.AddrPortFrom(c.ip, c.port), address}, seq: rand.Uint32(), opened: time.Now(), onOpen: onOpen}
	c.flows[c.port] = f
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		c.s.after(d, func() {
			if !f.open && !f.over {
				f.send(packet{seq: f.seq, ack: uint32(i), flags: flagSYN})
			}
		})
	}
	c.s.after(1400*time.Millisecond, func() { f.over = f.over || !f.open })
	return f
}

// send sends a packet through the router.
func (f *flow) send(p packet) {
	n := f.c.s.route(f.c.zone, f.key.caller)
	if n == nil {
		return
	}
	p.src, p.dst = f.key.caller, f.key.address
	f.c.conn.WriteToUDPAddrPort(p.encode(), f.c.s.at(n.ip, portCallers))
}

// ask sends the next request on an open flow and repeats it until it is answered.
func (f *flow) ask() {
	f.request++
	f.id = fmt.Sprintf("%s-%d-%d", f.c.ip, f.key.caller.Port(), f.request)
	f.waiting = true
	data := []byte("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + f.id + "\r\n\r\n")
	seq, number := f.seq+1, f.request
	var try func(time.Duration)
	try = func(again time.Duration) {
		if f.over || !f.waiting || f.request != number {
			return
		}
		f.send(packet{seq: seq, ack: f.ack, flags: flagACK, data: data})
		f.c.s.after(again, func() { try(min(2*again, 1600*time.Millisecond)) })
	}
	try(200 * time.Millisecond)
}

func (c *caller) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		c.s.locked(func() { c.handle(bytes.Clone(b[:n])) })
	}
}

// handle handles a packet for the client.
func (c *caller) handle(b []byte) {
	p, ok := decode(b)
	f := c.flows[p.dst.Port()]
	if !ok || f == nil || f.key.address != p.src {
		c.s.note("MIXED: client %s got bytes that nobody wrote to it", c.ip)
		return
	}
	switch {
	case f.over:
	case p.flags&flagRST != 0:
		f.over = true
		if p.isSystemReset() {
			f.resetAt = time.Now()
		}
	case p.flags&flagSYN != 0:
		if !f.open {
			f.open, f.ack = true, p.seq+1
			f.onOpen(f)
		}
	case len(p.data) > 0:
		if f.waiting && bytes.Contains(p.data, []byte("X-Request-Id: "+f.id+"\r\n")) {
			f.waiting = false
			f.answered++
			f.lastAnswer = time.Now()
			f.seq, f.ack = p.ack-1, p.seq+uint32(len(p.data))
			f.send(packet{seq: f.seq + 1, ack: f.ack, flags: flagACK})
		}
	}
}
