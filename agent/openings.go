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

// place is where an opening went.
type place uint8

const (
	placeUnknown place = iota
	placeHere
	placeNext
	// placeBack: the agent that passed it on is less busy, and has it back.
	placeBack
	placeRefused
)

// where is a place and the agent that it went to.
type where struct {
	place place
	to    netip.AddrPort
}

const (
	openingLife  = 10 * time.Second
	openingsMost = 32_768
)

// opening names an opening by its first connection ID and its caller.
type opening struct {
	flow   uint64
	caller netip.AddrPort
}

type openings struct {
	mu         sync.Mutex
	young, old map[opening]where
	turned     time.Time
}

func (o *openings) get(k opening, now time.Time) where {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turn(now)
	if w, ok := o.young[k]; ok {
		return w
	}
	return o.old[k]
}

func (o *openings) put(k opening, w where, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turn(now)
	if o.young == nil {
		o.young = map[opening]where{}
	}
	o.young[k] = w
}

func (o *openings) turn(now time.Time) {
	if now.Sub(o.turned) < openingLife && len(o.young) < openingsMost {
		return
	}
	o.old = o.young
	if now.Sub(o.turned) >= 2*openingLife {
		o.old = nil // both generations are from before a long quiet time
	}
	o.young, o.turned = nil, now
}
