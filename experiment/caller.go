package experiment

import (
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// caller simulates a client of the platform. It sends requests over one open flow and
// opens a new flow after each failure.
type caller struct {
	w        *world
	at       datagram.Endpoint // source address and port; each flow has another port
	pause    time.Duration     // mean time between an answer and the next request
	deadline time.Duration     // time after which a request has failed
	aim      time.Duration     // answers that take longer count as late
	fresh    bool              // opens a new flow for each request
	stopped  bool              // sends no further requests

	seq, ack uint32
	open     bool          // the flow is established
	request  int           // number of the current request
	try      int           // number of the current flow
	began    time.Duration // start of the current request
	waiting  bool          // the current request has no answer yet
}

func (w *world) addCaller(n int, pause time.Duration) *caller {
	c := &caller{
		w: w, at: datagram.Endpoint{IP: datagram.IP(0x64400000 + n), Port: 1024}, pause: pause,
		deadline: time.Second, aim: worldAim,
	}
	w.callers[c.at.IP] = c
	w.after(time.Duration(w.rng.Int64N(int64(pause))), c.ask)
	return c
}

func (c *caller) flow() datagram.Flow { return datagram.Flow{Caller: c.at, Address: worldAddress} }

// startRequest starts a request and its timeout.
func (c *caller) ask() {
	if c.stopped {
		return
	}
	c.request++
	c.began, c.waiting = c.w.now, true
	c.w.second(c.began).Begun++
	if c.w.mark > 0 && c.w.now >= c.w.mark {
		c.w.begun++
	}
	n := c.request
	c.w.after(c.deadline, func() {
		if c.waiting && c.request == n {
			c.w.failed++
			c.w.second(c.began).Failed++
			if own := c.w.holders[c.flow()]; c.open && own != nil && own.alive && c.w.mark > 0 && c.began >= c.w.mark {
				c.w.stranded++
			}
			c.end()
			c.close()
		}
	})
	if c.open && !c.fresh {
		c.send(n, c.try, 200*time.Millisecond)
		return
	}
	c.dial()
}

// endRequest ends the current request and schedules the next one.
func (c *caller) end() {
	c.waiting = false
	c.w.after(c.pause/2+time.Duration(c.w.rng.Int64N(int64(c.pause))), c.ask)
}

// closeFlow drops the current flow. The next flow uses another port.
func (c *caller) close() {
	delete(c.w.holders, c.flow())
	delete(c.w.astray, c.flow())
	c.open = false
	c.try++
}

// openFlow opens a new flow. It sends the opening packet up to three times.
func (c *caller) dial() {
	c.close()
	c.at.Port++
	c.seq = c.w.rng.Uint32()
	try := c.try
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		c.w.after(d, func() {
			if c.try == try && !c.open && c.waiting {
				c.w.toBalancer(packet(c.at, worldAddress, flagOpen, c.seq, uint32(i), ""), c.flow())
			}
		})
	}
}

// sendRequest sends request n and repeats it, with a growing delay, until it is
// answered or the flow is closed.
func (c *caller) send(n, try int, again time.Duration) {
	if !c.waiting || c.request != n || c.try != try {
		return
	}
	c.w.toBalancer(packet(c.at, worldAddress, flagAck, c.seq+1, c.ack, "GET / HTTP/1.1\r\nX-Request-Id: r\r\n\r\n"), c.flow())
	c.w.after(again, func() { c.send(n, try, min(2*again, 1600*time.Millisecond)) })
}

// handlePacket handles a packet from an upstream, or a reset that the load balancer
// itself sent.
func (c *caller) take(b []byte, from *upstream) {
	p, ok := platform.Packets{}.ParseOutbound(b)
	if !ok || p.Flow != c.flow() {
		return
	}
	switch {
	case p.Reset:
		c.w.resets++
		if own := c.w.holders[c.flow()]; c.open && own != nil && own.alive {
			c.w.breach("reset of flow " + c.at.String() + ", which lives")
		}
		c.close()
		if c.waiting {
			c.dial()
		}
	case p.Open && !c.open && c.waiting:
		c.open, c.ack = true, p.Seq+1
		c.send(c.request, c.try, 200*time.Millisecond)
	case p.Length == len(shedAnswer) && c.open && c.waiting:
		c.w.shed++
		c.close()
		c.dial()
	case p.Length > 0 && c.open && c.waiting:
		c.answered(c.w.now - c.began)
		c.seq += 100
		c.end()
	}
}

// recordAnswer counts an answer that arrived d after its request started.
func (c *caller) answered(d time.Duration) {
	w := c.w
	w.waits = append(w.waits, d)
	w.answered++
	if d > c.aim {
		w.late++
		w.second(c.began).Late++
		return
	}
	w.second(c.began).InAim++
	if w.mark > 0 && c.began >= w.mark && c.began < w.mark+time.Second {
		w.inAim++
	}
}
