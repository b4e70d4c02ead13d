package datagram

import (
	"slices"
	"time"
)

// Requests on open flows pass no admission control, so under overload they can fill an
// upstream's queue. If the queue is so long that every request behind it is late, the agent
// keeps a request instead and forwards it when the queue has become shorter: the newest one
// first, as it has the most time left. Requests that will be late get the slots that are
// free. An upstream that is full gets all requests, because it rejects them at once.

const (
	// maxPaced bounds the requests that an agent keeps.
	maxPaced = 512
	// abandonedAfter is longer than callers wait between two copies of a packet.
	abandonedAfter = 2 * time.Second
)

// pacedRequest is a request that its agent keeps.
type pacedRequest struct {
	flow     Flow
	state    *flowState
	balancer IP
	flags    Flags
	since    time.Duration
	lastCopy time.Duration // when the caller last sent it
	packet   []byte
}

// noteTarget learns the target latency of a route, less the time that packets travel, from an
// opening.
func (a *Agent) noteTarget(e Endpoint, b Budget) {
	if b > a.targets[e] {
		a.targets[e] = b
	}
}

// pace keeps a request that would be late behind those that the upstream has. It returns
// false if the request has to be forwarded.
func (a *Agent) pace(k Flow, f *flowState, from IP, flags Flags, p []byte, now time.Duration) bool {
	target := a.targets[k.Address].duration()
	if f.urgent || !f.hadRequest || target == 0 || len(a.paced) >= maxPaced || a.fits(target, now) ||
		a.requests.isFull(a.requestCount(now)) {
		return false
	}
	f.paced = true
	a.paced = append(a.paced, pacedRequest{k, f, from, flags, now, now, slices.Clone(p)})
	a.Count.Paced++
	return true
}

// fits reports whether a request that is forwarded now is answered within d, or has a free
// slot.
func (a *Agent) fits(d, now time.Duration) bool {
	n, slots, s := a.requestCount(now), a.upstream.slotCount(), a.requests.serviceTime()
	return n < slots || s == 0 || responseTime(s, n, slots) <= d
}

// releasePaced forwards the requests that fit.
func (a *Agent) releasePaced(now time.Duration) {
	for len(a.paced) > 0 {
		x := a.paced[len(a.paced)-1]
		switch {
		case !a.isWaiting(&x, now):
			x.state.paced = false
		case a.fits(a.targets[x.flow.Address].duration()-(now-x.since), now):
			x.state.paced = false
			a.beginRequest(x.state, now)
			a.sendUpstream(x.packet, pending{balancer: x.balancer, flags: x.flags})
		default:
			return
		}
		a.paced = a.paced[:len(a.paced)-1]
	}
}

// isWaiting reports whether the caller still waits for the request's answer, and the upstream
// may get the request.
func (a *Agent) isWaiting(x *pacedRequest, now time.Duration) bool {
	f, known := a.flows.get(x.flow)
	return known && f == x.state && f.paced && f.phase == flowOpen && a.isCurrentRun(f.born) &&
		now-x.lastCopy < abandonedAfter && !a.isEvacuated(x.flow, now)
}

// notePacedCopy notes that the caller sends a paced request again.
func (a *Agent) notePacedCopy(f *flowState, now time.Duration) {
	for i := range a.paced {
		if a.paced[i].state == f {
			a.paced[i].lastCopy = now
		}
	}
}
