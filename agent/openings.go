// This file remembers what became of openings. One opening is several
// datagrams, sprayed over balancers and repeated by the caller, and all of them
// must end at one agent; so an agent keeps, for some seconds, which it took and
// to whom it passed the others, whatever candidates their next datagram names. The table is bounded and kept in two
// generations: when the young one is full or old, it becomes the old one and the
// old one is dropped. An operation costs one or two map look-ups; given up is an
// exact lifetime, which is between one and two periods.

package agent

import (
	"net/netip"
	"sync"
	"time"
)

// decision is where an opening went.
type decision uint8

const (
	decisionNone decision = iota
	decisionTaken
	decisionPassed
	// decisionReturned: the agent that passed it on is less busy, and has it back.
	decisionReturned
	decisionRefused
)

// placement is a place and the agent that it went to.
type placement struct {
	decision decision
	target   netip.AddrPort
}

const (
	openingPeriod = 10 * time.Second
	maxOpenings   = 32_768
)

// openingKey names an openingKey by its first connection ID and its caller.
type openingKey struct {
	connIDHash uint64
	caller     netip.AddrPort
}

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
		o.previous = nil // both generations are from before a long quiet time
	}
	o.current, o.rotatedAt = nil, now
}
