package datagram

import "time"

// A balancer that has just started has no configuration for as long as the store and the other
// balancers are silent. It keeps the openings that arrive meanwhile and handles them as soon as it
// has one. Otherwise their callers' next copies, which come up to 400 ms later, would be the
// first to be handled. An opening that is too old to be answered in time is left to its caller's
// next copy, so that a backlog of seconds does not delay those that follow.

// maxEarlyOpenings is as many as can be in progress afterwards.
const maxEarlyOpenings = maxOpenings

// earlyOpenings keeps the latest openings that arrived before the first configuration. Its zero
// value is ready to use.
type earlyOpenings struct {
	ring []earlyOpening
	next int // where the next one is stored once the ring is full
}

type earlyOpening struct {
	packet  [HeaderLen + maxOpeningLen]byte
	length  int
	arrived time.Duration
}

// add keeps a copy of the message, in place of the oldest one if there are too many.
func (x *earlyOpenings) add(m []byte, now time.Duration) {
	if len(m) > HeaderLen+maxOpeningLen {
		return
	}
	o := earlyOpening{arrived: now}
	o.length = copy(o.packet[:], m)
	if len(x.ring) < maxEarlyOpenings {
		x.ring = append(x.ring, o)
		return
	}
	x.ring[x.next] = o
	x.next = (x.next + 1) % maxEarlyOpenings
}

// take returns the openings that callers still wait for, and forgets all. The newest come first,
// as they have the most time left.
func (x *earlyOpenings) take(now time.Duration) (out []earlyOpening) {
	for i := range x.ring {
		if o := x.ring[(x.next+len(x.ring)-1-i)%len(x.ring)]; now-o.arrived < openingTimeout {
			out = append(out, o)
		}
	}
	*x = earlyOpenings{}
	return out
}

// handleEarlyOpenings handles the openings that arrived before the first configuration.
func (b *Balancer) handleEarlyOpenings(now time.Duration) {
	if b.config == nil || len(b.early.ring) == 0 {
		return
	}
	for _, o := range b.early.take(now) {
		m := o.packet[:o.length]
		p, ok := b.Format.Parse(m[HeaderLen:])
		if !ok {
			continue
		}
		x := opening{started: o.arrived - retransmissionAge(p.AckNumber), targetLatency: b.config.Routes[p.Flow.Address].TargetLatency}
		if !x.isLate(now) {
			b.beginOpening(m, p, o.arrived, now)
		}
	}
}
