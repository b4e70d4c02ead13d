package experiment

import (
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// caller simulates a client of the datagram service. It sends requests over one open flow
// and opens a new flow after each failure.
type caller struct {
	w              *simulation
	endpoint       datagram.Endpoint // source address and port; each flow has another port
	pause          time.Duration     // mean time between an answer and the next request
	timeout        time.Duration     // time after which a request has failed
	targetLatency  time.Duration     // answers that take longer count as late
	flowPerRequest bool              // opens a new flow for each request
	address        datagram.Endpoint // address of the route
	workload       *workload         // nil: requests follow each other, and all failures are retried
	stopped        bool              // sends no further requests
	givesUp        bool              // does not try a request again whose flow was reset

	seq, ack     uint32
	open         bool          // the flow is established
	request      int           // number of the current request
	attempt      int           // number of the current flow
	requestStart time.Duration // start of the current request
	waiting      bool          // the current request has no answer yet
	acknowledged bool          // the upstream has acknowledged it, so the caller only waits
	retries      int           // retries of the current request
	// resetAt is when flows were reset, by the number of the flow.
	resetAt  map[int]time.Duration
	outcomes *outcomes // where its outcome is counted, if it belongs to a workload
}

// addCaller adds the n-th caller. It sends its first request within the given pause.
func (w *simulation) addCaller(n int, pause time.Duration) *caller {
	c := &caller{
		w: w, endpoint: datagram.Endpoint{IP: datagram.IP(0x64400000 + n), Port: 1024}, pause: pause,
		timeout: time.Second, targetLatency: routeTargetLatency, address: routeAddress,
		resetAt: map[int]time.Duration{},
	}
	w.callers[c.endpoint.IP] = c
	w.after(time.Duration(w.rng.Int64N(int64(pause))), c.startRequest)
	return c
}

func (c *caller) flow() datagram.Flow {
	return datagram.Flow{Caller: c.endpoint, Address: c.address}
}

// startRequest starts a request and its timeout.
func (c *caller) startRequest() {
	if c.stopped {
		return
	}
	c.request++
	c.requestStart, c.waiting, c.acknowledged, c.retries = c.w.now, true, false, 0
	c.w.second(c.requestStart).Begun++
	if c.w.measureFrom > 0 && c.w.now >= c.w.measureFrom {
		c.w.measuredStarted++
	}
	n := c.request
	c.w.after(c.timeout, func() {
		if c.waiting && c.request == n {
			if c.workload != nil {
				c.outcomes.silent++
			}
			c.w.failed++
			c.w.second(c.requestStart).Failed++
			if owner := c.w.owners[c.flow()]; c.open && owner != nil && owner.alive && c.w.measureFrom > 0 && c.requestStart >= c.w.measureFrom {
				c.w.failedOnLiveFlow++
				if owner.lastRequestSeq[c.flow()] != c.seq+1 {
					c.w.neverReceived++
				}
			}
			c.endRequest()
			c.closeFlow()
		}
	})
	if c.open && !c.flowPerRequest {
		c.sendRequest(n, c.attempt, 200*time.Millisecond)
		return
	}
	c.openFlow()
}

// endRequest ends the current request and schedules the next one.
func (c *caller) endRequest() {
	c.waiting = false
	if c.workload != nil {
		c.workload.idle = append(c.workload.idle, c)
		return
	}
	c.w.after(c.pause/2+time.Duration(c.w.rng.Int64N(int64(c.pause))), c.startRequest)
}

// closeFlow drops the current flow. The next flow uses another port.
func (c *caller) closeFlow() {
	delete(c.w.owners, c.flow())
	delete(c.w.misroutes, c.flow())
	c.open, c.acknowledged = false, false
	c.attempt++
}

// openingTimeout is how long a caller waits for its flow to open.
const openingTimeout = 1400 * time.Millisecond

// openFlow opens a new flow. It sends the opening packet up to three times.
func (c *caller) openFlow() {
	c.closeFlow()
	c.endpoint.Port++
	c.seq = c.w.rng.Uint32()
	attempt := c.attempt
	if c.workload != nil {
		c.w.after(openingTimeout, func() {
			if c.attempt == attempt && !c.open {
				c.retry()
			}
		})
	}
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		c.w.after(d, func() {
			if c.attempt == attempt && !c.open && c.waiting {
				c.w.sendToBalancer(encodePacket(c.endpoint, c.address, flagOpen, c.seq, uint32(i), ""), c.flow())
			}
		})
	}
}

// retry opens another flow for a request whose flow was refused or closed, or gives it up.
func (c *caller) retry() {
	if !c.waiting {
		return
	}
	if c.givesUp {
		c.endRequest()
		return
	}
	if c.workload != nil && c.retries >= c.workload.retries {
		c.outcomes.refused++
		c.w.failed++
		c.w.second(c.requestStart).Failed++
		c.endRequest()
		return
	}
	c.retries++
	c.openFlow()
}

// requestText is the data of each request.
const requestText = "GET / HTTP/1.1\r\nX-Request-Id: r\r\n\r\n"

// sendRequest sends request n and repeats it, with a growing delay, until it is
// acknowledged or answered or the flow is closed.
func (c *caller) sendRequest(n, attempt int, retryAfter time.Duration) {
	if !c.waiting || c.acknowledged || c.request != n || c.attempt != attempt {
		return
	}
	c.w.sendToBalancer(encodePacket(c.endpoint, c.address, flagAck, c.seq+1, c.ack, requestText), c.flow())
	c.w.after(retryAfter, func() { c.sendRequest(n, attempt, min(2*retryAfter, 1600*time.Millisecond)) })
}

// handlePacket handles a packet from an upstream, or a reset that the load balancer
// itself sent.
func (c *caller) handlePacket(b []byte, from *upstream) {
	p, ok := platform.PacketFormat{}.ParseOutbound(b)
	if !ok || p.Flow != c.flow() {
		return
	}
	switch {
	case p.Reset && !c.acceptsReset(p.Seq):
		c.w.resetsIgnored++
	case p.Reset:
		c.w.resets++
		if owner := c.w.owners[c.flow()]; c.open && owner != nil && owner.alive {
			c.w.recordBreach("reset of flow " + c.endpoint.String() + ", which lives")
		}
		c.resetAt[c.attempt] = c.w.now
		c.closeFlow()
		c.retry()
	case p.Open && !c.open && c.waiting:
		c.open, c.ack = true, p.Seq+1
		c.sendRequest(c.request, c.attempt, 200*time.Millisecond)
	case p.Length == 0 && c.open && c.waiting && p.AckNumber == c.seq+1+uint32(len(requestText)):
		c.acknowledged = true
	case p.Length == len(shedAnswer) && c.open && c.waiting:
		c.w.shed++
		c.closeFlow()
		c.retry()
	case p.Length > 0 && c.open && c.waiting:
		c.recordAnswer(c.w.now - c.requestStart)
		c.seq += 100
		c.endRequest()
	}
}

// resetWindow is how far the number of a reset may be from the caller's last acknowledgement
// for the reset to end an open flow.
const resetWindow = 76_800

// acceptsReset reports whether a reset with the number ends the caller's flow. While the flow
// is not open, the number has to be that of the opening.
func (c *caller) acceptsReset(seq uint32) bool {
	if !c.open {
		return seq == c.seq
	}
	d := int32(seq - c.ack)
	return -resetWindow <= d && d <= resetWindow
}

// recordAnswer counts an answer that arrived d after its request started.
func (c *caller) recordAnswer(d time.Duration) {
	w := c.w
	w.answered++
	if c.workload != nil && d <= c.targetLatency {
		c.outcomes.inAim++
	} else if c.workload != nil {
		c.outcomes.late++
	}
	if d > c.targetLatency {
		w.late++
		w.second(c.requestStart).Late++
		return
	}
	w.second(c.requestStart).InAim++
	if w.measureFrom > 0 && c.requestStart >= w.measureFrom && c.requestStart < w.measureFrom+time.Second {
		w.measuredInAim++
	}
}
