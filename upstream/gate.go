// Package upstream is the agent's side towards its one upstream: how much work
// it may be given, in what order, and how its answers are told apart.
//
// This file is the gate that all work passes. The agent is the only way to its
// upstream, so its own count is the truth and needs no load report. Waiting
// requests stand in one queue for each flow, served round robin, so that a flow
// with a hundred requests delays one with a single request by one turn only. Each
// operation costs constant time, but for leaving the queue, which reads it. Given
// up: priorities.
package upstream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"pomeloway.example/pomeloway/bundle"
)

// FlowID names the flow of a request for fairness.
type FlowID uint64

// Errors of Gate.Acquire. None of them means that work was started.
var (
	ErrQueueFull = errors.New("upstream's queue is full")
	ErrNoSlot    = errors.New("no slot is free")
	ErrWait      = errors.New("no slot became free in time")
)

// Gate admits work to one upstream. Its zero value admits nothing until Limit.
type Gate struct {
	mu        sync.Mutex
	limits    bundle.Limits
	allowance Allowance
	running   int
	waiting   int
	turns     []FlowID
	queues    map[FlowID][]*waiter
}

type waiter struct {
	flow    FlowID
	granted chan struct{}
}

// Limit sets the upstream's limits. The first call starts it cold.
func (g *Gate) Limit(l bundle.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.limits.Slots == 0
	g.limits = l
	g.allowance.limit(l, first)
	g.grant()
}

// TryAcquire takes a slot if one is free now.
func (g *Gate) TryAcquire() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= g.allowance.Slots() || g.waiting > 0 {
		return ErrNoSlot
	}
	g.running++
	return nil
}

// AcquireAnyway takes a slot whether or not one is free. Only trials that show
// what the gate guards against use it.
func (g *Gate) AcquireAnyway() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

// Acquire waits for a slot in the flow's turn, until the context ends or wait
// has passed.
func (g *Gate) Acquire(ctx context.Context, f FlowID, wait time.Duration) error {
	w, err := g.enter(f)
	if err != nil || w == nil {
		return err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.granted:
		return nil
	case <-t.C:
		err = ErrWait
	case <-ctx.Done():
		err = ctx.Err()
	}
	return g.abandon(w, err)
}

// enter takes a slot at once, with a nil waiter, or a place in the queue.
func (g *Gate) enter(f FlowID) (*waiter, error) {
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
		g.turns = append(g.turns, f)
	}
	g.queues[f] = append(g.queues[f], w)
	g.waiting++
	return w, nil
}

// abandon leaves the queue, unless the slot was granted at the same moment: the
// grant then stands, since a slot given to nobody would be lost for good.
func (g *Gate) abandon(w *waiter, err error) error {
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
		g.turns = slices.DeleteFunc(g.turns, func(f FlowID) bool { return f == w.flow })
	}
	return err
}

// grant gives free slots to the waiting; g.mu is held.
func (g *Gate) grant() {
	for len(g.turns) > 0 && g.running < g.allowance.Slots() {
		f := g.turns[0]
		g.turns = g.turns[1:]
		q := g.queues[f]
		w := q[0]
		q = q[1:]
		if len(q) == 0 {
			delete(g.queues, f)
		} else {
			g.queues[f] = q
			g.turns = append(g.turns, f)
		}
		g.waiting--
		g.running++
		close(w.granted)
	}
}

// Answered learns from the time to the first byte of an answer, and reports whether
// the upstream was found cold by it. It is left out where the time says nothing, as for
// a long upload. The slot is held on.
func (g *Gate) Answered(began time.Time, took time.Duration) (cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allowance.learnTime(began, took)
}

// Release gives a slot back and learns from how the work ended. It reports
// whether the upstream was found cold, or became fully warm, by it.
func (g *Gate) Release(s Sign) (cold, warm bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	cold, warm = g.allowance.learn(s)
	g.grant()
	return cold, warm
}

// Load is what a gate holds at a moment.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Free returns how many slots nobody uses or waits for.
func (l Load) Free() int { return max(0, l.Slots-l.Running-l.Waiting) }

// Load returns the gate's present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Slots: g.allowance.Slots(), Running: g.running, Waiting: g.waiting}
}
