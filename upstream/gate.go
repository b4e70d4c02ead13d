// Package upstream connects an agent to its single upstream. It limits the number
// of requests in flight, orders waiting requests, and matches responses to
// requests.
//
// This file implements the gate, the admission control that all requests pass. All
// requests reach the upstream through its agent, so the agent's own count is exact
// and needs no load reports. Waiting requests are queued per flow, and the queues
// are served round-robin, so that a flow with a hundred requests delays a flow with
// one request by a single turn. Each operation takes constant time, except leaving
// the queue, which scans it. There are no priorities.
package upstream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"pomeloway.example/pomeloway/bundle"
)

// FlowID identifies the flow of a request for fair queuing.
type FlowID uint64

// Errors of Gate.Acquire and Gate.TryAcquire. No slot was taken.
var (
	ErrQueueFull   = errors.New("upstream's queue is full")
	ErrNoSlot      = errors.New("no slot is free")
	ErrWaitTimeout = errors.New("no slot became free in time")
)

// Gate admits requests to one upstream. The zero value admits none until SetLimits
// is called.
type Gate struct {
	mu        sync.Mutex
	limits    bundle.Limits
	allowance Allowance
	running   int
	waiting   int
	// roundRobin lists the flows with waiting requests in the order of service.
	roundRobin []FlowID
	queues     map[FlowID][]*waiter
}

// waiter is a queued request. granted is closed when it gets a slot.
type waiter struct {
	flow    FlowID
	granted chan struct{}
}

// SetLimits sets the upstream's limits. The first call starts the upstream cold.
func (g *Gate) SetLimits(l bundle.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.limits.Slots == 0
	g.limits = l
	g.allowance.setLimits(l, first)
	g.grantSlots()
}

// TryAcquire takes a slot if one is free and no request is waiting.
func (g *Gate) TryAcquire() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= g.allowance.Slots() || g.waiting > 0 {
		return ErrNoSlot
	}
	g.running++
	return nil
}

// ForceAcquire takes a slot even if none is free. It is used only while guard.Slots
// is disabled, to show which failures the gate prevents.
func (g *Gate) ForceAcquire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

// Acquire waits until the flow's turn gives it a slot, the context ends, or wait
// has passed.
func (g *Gate) Acquire(ctx context.Context, f FlowID, wait time.Duration) error {
	w, err := g.acquireOrEnqueue(f)
	if err != nil || w == nil {
		return err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.granted:
		return nil
	case <-t.C:
		err = ErrWaitTimeout
	case <-ctx.Done():
		err = ctx.Err()
	}
	return g.cancelWait(w, err)
}

// acquireOrEnqueue takes a free slot and returns a nil waiter, or queues the
// request and returns its waiter.
func (g *Gate) acquireOrEnqueue(f FlowID) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting == 0 && g.running < g.allowance.Slots() {
		g.running++
		return nil, nil
	}
	if g.waiting >= g.limits.QueueLength() {
		return nil, ErrQueueFull
	}
	w := &waiter{flow: f, granted: make(chan struct{})}
	if g.queues == nil {
		g.queues = map[FlowID][]*waiter{}
	}
	if len(g.queues[f]) == 0 {
		g.roundRobin = append(g.roundRobin, f)
	}
	g.queues[f] = append(g.queues[f], w)
	g.waiting++
	return w, nil
}

// cancelWait removes the waiter from its queue and returns err. If the waiter was
// granted a slot in the meantime, it keeps the slot and cancelWait returns nil,
// since otherwise no request would release that slot.
func (g *Gate) cancelWait(w *waiter, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	g.waiting--
	g.queues[w.flow] = slices.DeleteFunc(g.queues[w.flow], func(o *waiter) bool { return o == w })
	if len(g.queues[w.flow]) == 0 {
		delete(g.queues, w.flow)
		g.roundRobin = slices.DeleteFunc(g.roundRobin, func(f FlowID) bool { return f == w.flow })
	}
	return err
}

// grantSlots gives free slots to waiting requests. g.mu must be held.
func (g *Gate) grantSlots() {
	for len(g.roundRobin) > 0 && g.running < g.allowance.Slots() {
		f := g.roundRobin[0]
		g.roundRobin = g.roundRobin[1:]
		q := g.queues[f]
		w := q[0]
		q = q[1:]
		if len(q) == 0 {
			delete(g.queues, f)
		} else {
			g.queues[f] = q
			g.roundRobin = append(g.roundRobin, f)
		}
		g.waiting--
		g.running++
		close(w.granted)
	}
}

// RecordLatency updates the allowance with the time to first byte of a response,
// and reports whether it found the upstream cold. It must not be called where that
// time does not show the upstream's speed, as for a long upload. The request keeps
// its slot.
func (g *Gate) RecordLatency(began time.Time, took time.Duration) (cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allowance.recordLatency(began, took)
}

// Release frees a slot and updates the allowance with the feedback of the request.
// It reports whether it found the upstream cold, or whether the upstream became
// fully warm.
func (g *Gate) Release(s Feedback) (cold, warm bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	cold, warm = g.allowance.applyFeedback(s)
	g.grantSlots()
	return cold, warm
}

// Load is a snapshot of the slots and requests of a gate.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Free returns how many slots are left after all running and waiting requests.
func (l Load) Free() int { return max(0, l.Slots-l.Running-l.Waiting) }

// Load returns the gate's current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Slots: g.allowance.Slots(), Running: g.running, Waiting: g.waiting}
}
