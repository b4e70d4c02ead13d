package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// Requests on open flows pass no admission control, so under overload they can fill an
// upstream's queue. If the queue is so long that every request behind it is late, the agent
// keeps a request instead and forwards it when the queue has become shorter: the newest one
// first, as it has the most time left. Requests that will be late get the slots that are
// free. An upstream that is full gets all requests, because it rejects them at once.

const (
	// maxKept bounds the requests that an agent keeps.
	maxKept = 512
	// abandonedAfter is longer than callers wait between two copies of a packet.
	abandonedAfter = 2 * time.Second
)

// keptRequest is a request that its agent keeps.
type keptRequest struct {
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

// keep keeps a request that would be late behind those that the upstream has. It returns
// false if the request has to be forwarded.
func (a *Agent) keep(k Flow, f *flowState, from IP, flags Flags, p []byte, now time.Duration) bool {
	target := a.targets[k.Address].duration()
	if f.urgent || !f.hadRequest || target == 0 || len(a.kept) >= maxKept || a.fits(target, now) ||
		a.requests.isFull(a.requestCount(now)) {
		return false
	}
	f.kept = true
	a.kept = append(a.kept, keptRequest{k, f, from, flags, now, now, slices.Clone(p)})
	a.Count.Kept++
	a.Log.logDecision(decision{
		event: events.RequestKept, flow: k, agent: from, request: a.Format.RequestID(p), version: a.version,
		hop: uint8(min(a.requestCount(now), 255)),
	}, now)
	return true
}

// fits reports whether a request that is forwarded now is answered within d, or has a free
// slot.
func (a *Agent) fits(d, now time.Duration) bool {
	n, slots, s := a.requestCount(now), a.upstream.slotCount(), a.requests.serviceTime()
	if a.isOverloaded(now) && float64(n) >= busyAt*float64(slots) {
		return false
	}
	return n < slots || s == 0 || responseTime(s, n, slots) <= d
}

// releaseKept forwards the requests that fit.
func (a *Agent) releaseKept(now time.Duration) {
	for len(a.kept) > 0 {
		x := a.kept[len(a.kept)-1]
		switch {
		case !a.isWaiting(&x, now):
			x.state.kept = false
			a.logReleased(events.KeptRequestDropped, &x, now)
		case a.fits(a.targets[x.flow.Address].duration()-(now-x.since), now):
			x.state.kept = false
			a.Observe.record(ObserveKept, now-x.since)
			a.logReleased(events.KeptRequestForwarded, &x, now)
			a.beginRequest(x.state, now)
			a.sendUpstream(x.packet, pending{balancer: x.balancer, flags: x.flags})
		default:
			return
		}
		a.kept = a.kept[:len(a.kept)-1]
	}
}

func (a *Agent) logReleased(e events.ID, x *keptRequest, now time.Duration) {
	a.Log.logDecision(decision{
		event: e, flow: x.flow, agent: x.balancer, version: a.version,
		hop: uint8(min(a.requestCount(now), 255)), age: now - x.since,
	}, now)
}

// isWaiting reports whether the caller still waits for the request's answer, and the upstream
// may get the request.
func (a *Agent) isWaiting(x *keptRequest, now time.Duration) bool {
	f, known := a.flows.get(x.flow)
	return known && f == x.state && f.kept && f.phase == flowOpen && a.isCurrentRun(f.born) &&
		now-x.lastCopy < abandonedAfter && !a.isEvacuated(x.flow, now)
}

// noteKeptCopy notes that the caller sends a kept request again.
func (a *Agent) noteKeptCopy(f *flowState, now time.Duration) {
	for i := range a.kept {
		if a.kept[i].state == f {
			a.kept[i].lastCopy = now
		}
	}
}
