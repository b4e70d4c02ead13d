// This file records the decisions on openings. An opening has several datagrams, which
// arrive through different balancers and are retransmitted by the caller, and all of
// them must end at one agent. So an agent remembers for some seconds which openings it
// took and to which agent it passed the others, whatever candidates their later
// datagrams name. The table is bounded and has two generations: when the current one is
// full or old, it becomes the previous one, and the entries of the previous one are
// dropped. An operation costs one or two map lookups. Limitation: the lifetime of an
// entry is not exact; it is between one and two periods, or shorter if the table fills
// up.

package agent

import (
	"net/netip"
	"sync"
	"time"
)

// decision is what an agent decided on an opening.
type decision uint8

const (
	decisionNone decision = iota
	decisionTaken
	decisionPassed
	// decisionReturned: the opening was returned to the agent that had passed it on,
	// because that agent has fewer flows or this one can't take it.
	decisionReturned
	decisionRefused
)

// placement is a decision and the agent that the opening was sent to, if any.
type placement struct {
	decision decision
	target   netip.AddrPort
}

const (
	openingPeriod = 10 * time.Second
	maxOpenings   = 32_768
)

// openingKey identifies an opening by a hash of its first connection ID and by its
// caller.
type openingKey struct {
	connIDHash uint64
	caller     netip.AddrPort
}

// openingTable maps openings to their placements for a limited time. Its zero value is
// ready to use.
type openingTable struct {
	mu                sync.Mutex
	current, previous map[openingKey]placement
	rotatedAt         time.Time
}

func (o *openingTable) get(k openingKey, now time.Time) placement {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	if w, ok := o.current[k]; ok {
		return w
	}
	return o.previous[k]
}

func (o *openingTable) put(k openingKey, w placement, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	if o.current == nil {
		o.current = map[openingKey]placement{}
	}
	o.current[k] = w
}

func (o *openingTable) rotate(now time.Time) {
	if now.Sub(o.rotatedAt) < openingPeriod && len(o.current) < maxOpenings {
		return
	}
	o.previous = o.current
	if now.Sub(o.rotatedAt) >= 2*openingPeriod {
		o.previous = nil // both generations are too old
	}
	o.current, o.rotatedAt = nil, now
}
