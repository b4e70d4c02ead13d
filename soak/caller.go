package main

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// Class is a class of requests.
type Class string

// Classes of requests.
const (
	classFeed   Class = "feed"   // on open flows
	classUrgent Class = "urgent" // with a flow each; run at most once
	classSecond Class = "second" // with a flow each, at the second service
	classProbe  Class = "probe"  // with a flow each, at the address of the version in force
	classOld    Class = "old"    // the same, at the address of the version before; to be refused
)

const (
	openingTimeout = 1400 * time.Millisecond // of a try
	maxTries       = 3
	refusedPause   = 100 * time.Millisecond  // before a feed opens another flow
	deadline       = 4500 * time.Millisecond // of a request with a flow of its own
	feedTimeout    = 1500 * time.Millisecond // after which a request on an open flow has failed
	// feedPatience is how long a feed stays on its flow without an answer. It is long, so that
	// a flow that lost its way shows.
	feedPatience = 6 * time.Second
	feedPause    = 200 * time.Millisecond // mean time between an answer and the next request
)

// caller is a client with one address. The lock of the site guards it.
type caller struct {
	s    *site
	ip   datagram.IP
	conn *net.UDPConn
	port uint16 // of the latest flow
}

// request is a request of a caller.
type request struct {
	id      string
	class   Class
	address datagram.Endpoint
	caller  *caller
	started time.Time
	tries   int
	ended   bool
	counted bool // its outcome is counted; a feed may wait on
	flow    *flow
}

// flow is a caller's end of a flow.
type flow struct {
	key      datagram.Flow
	r        *request // the current request
	seq, ack uint32
	open     bool
	closed   bool
	openedAt time.Time    // when the first copy of the opening was sent
	via      []processRun // the balancers to which copies of the opening were sent

	owner     *upstream // the upstream that got a packet after the opening
	ownerLife int
	astray    int // packets that reached other upstreams since the last one that reached the owner
	astrayAt  time.Time
}

// processRun is one run of a process.
type processRun struct {
	p    *process
	life int
}

// ownerLives reports whether the upstream that has the flow still runs.
func (f *flow) ownerLives() bool {
	return f.owner != nil && f.owner.alive && f.owner.life == f.ownerLife
}

// begin starts a request with a flow of its own.
func (c *caller) begin(class Class, a datagram.Endpoint) {
	r := &request{class: class, address: a, caller: c, started: time.Now()}
	c.s.requests++
	r.id = fmt.Sprintf("%s-%d", class, c.s.requests)
	c.s.after(deadline, func() { r.end(false) })
	r.try()
}

// end ends the request and counts its outcome.
func (r *request) end(ok bool) {
	r.count(ok)
	if r.ended {
		return
	}
	r.ended = true
	if r.class != classFeed && r.flow != nil {
		r.flow.closed = true
	}
}

func (r *request) count(ok bool) {
	if !r.counted {
		r.counted = true
		r.caller.s.outcomes = append(r.caller.s.outcomes, outcome{class: r.class, at: time.Now(), ok: ok})
	}
}

// try opens a flow for the request.
func (r *request) try() {
	c := r.caller
	s := c.s
	if r.ended || s.over {
		return
	}
	if r.tries++; r.class != classFeed && r.tries > maxTries || r.class == classOld && r.tries > 1 {
		r.end(false)
		return
	}
	if c.port++; c.port < 1024 {
		c.port = 1024
	}
	f := &flow{key: datagram.Flow{Caller: datagram.Endpoint{IP: c.ip, Port: c.port}, Address: r.address}, r: r, seq: s.draw(), openedAt: time.Now()}
	r.flow = f
	s.flows[f.key] = f
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		s.after(d, func() {
			if !f.open && !f.closed {
				f.send(flagOpen, f.seq, uint32(i), "")
			}
		})
	}
	s.after(openingTimeout, func() {
		if !f.open && !f.closed {
			f.closed = true
			r.try()
		}
	})
}

// send sends a packet to the balancer that the router picks.
func (f *flow) send(flags byte, seq, ack uint32, data string) {
	s := f.r.caller.s
	p := s.route(f.key)
	if p == nil {
		return
	}
	if flags == flagOpen {
		f.via = append(f.via, processRun{p, p.lifeNow()})
	}
	b := encode(f.key.Caller, f.key.Address, flags, seq, ack, data)
	c := f.r.caller.conn
	carry(len(b), func() { c.WriteToUDPAddrPort(b, netip.AddrPortFrom(p.ip, s.ports.callers)) }, &p.in)
}

// ask sends the request, and repeats it until it is answered or the flow is closed.
func (f *flow) ask(r *request, again time.Duration) {
	if f.closed || r.ended || f.r != r {
		return
	}
	f.send(flagAck, f.seq+1, f.ack, "GET / HTTP/1.1\r\nX-Request-Id: "+r.id+"\r\n\r\n")
	r.caller.s.after(again, func() { f.ask(r, min(2*again, 1600*time.Millisecond)) })
}

// read handles the packets for the caller until its socket is closed.
func (c *caller) read() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		x := append([]byte(nil), b[:n]...)
		p := c.s.byIP[from.Addr()]
		if p == nil {
			continue
		}
		carry(n, func() { c.s.locked(func() { c.handle(x, p) }) }, &p.out)
	}
}

// handle handles a packet from a process.
func (c *caller) handle(b []byte, from *process) {
	p, ok := platform.PacketFormat{}.ParseOutbound(b)
	f := c.s.flows[p.Flow]
	if !ok || f == nil || f.closed {
		return
	}
	r := f.r
	switch {
	case p.Reset:
		c.s.checkReset(f, from)
		f.closed = true
		switch {
		case !f.open && r.class == classFeed:
			c.s.after(refusedPause, r.try)
		case !f.open:
			c.s.checkRefused(f)
			r.try()
		case r.class != classFeed:
			r.end(false) // it may have run
		case r.ended:
			c.feed()
		default:
			r.count(false)
			r.try()
		}
	case p.Open && !f.open:
		f.open, f.ack = true, p.Seq+1
		f.ask(r, 200*time.Millisecond)
	case p.Length == 0 || !f.open || r.ended || p.AckNumber != f.seq+1+uint32(requestLen(r.id)):
	case p.Length == len(shedAnswer):
		if r.class == classFeed {
			r.count(false)
			f.next(feedPause)
			return
		}
		f.closed = true
		r.try()
	case r.class == classFeed:
		r.count(true)
		f.next(feedPause)
	default:
		r.end(true)
	}
}

// requestLen returns the length of the data of a request.
func requestLen(id string) int { return len("GET / HTTP/1.1\r\nX-Request-Id: \r\n\r\n") + len(id) }

// next ends the request of a feed and begins the next one on the same flow.
func (f *flow) next(pause time.Duration) {
	c, old := f.r.caller, f.r
	old.end(true)
	f.seq += 1000
	c.s.after(pause/2+time.Duration(c.s.draw())%pause, func() {
		if f.closed || f.r != old {
			return
		}
		c.s.requests++
		r := &request{id: fmt.Sprintf("feed-%d", c.s.requests), class: classFeed, address: old.address, caller: c, started: time.Now(), flow: f}
		f.r = r
		r.watch()
		f.ask(r, 200*time.Millisecond)
	})
}

// watch counts a feed's request as failed when it times out, and opens another flow when the
// feed has waited for long.
func (r *request) watch() {
	s := r.caller.s
	s.after(feedTimeout, func() {
		if !r.ended {
			r.count(false)
		}
	})
	s.after(feedPatience, func() {
		if r.ended || s.over {
			return
		}
		s.checkLost(r)
		r.flow.closed = true
		r.end(false)
		r.caller.feed()
	})
}

// feed starts a feed.
func (c *caller) feed() {
	c.s.requests++
	r := &request{id: fmt.Sprintf("feed-%d", c.s.requests), class: classFeed, address: feedAddress, caller: c, started: time.Now()}
	r.watch()
	r.try()
}
