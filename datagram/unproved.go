package datagram

import "time"

// Walks that ended without a proof are made again. While VMs return from a loss of
// power some agents are not heard yet, or don't know their upstreams; no caller is
// told then that its flow is gone, and its next retransmission comes 0.4 to 1.6 s
// later. So the balancer keeps the packet and walks again as soon as every agent of
// the flow's services can answer. Cost: a walk for each flow that was lost, once the
// fleet is whole. Given up: walking again at a steady pace, which on a VM with a
// twelfth of a core would delay the openings of those who were told.

const (
	// unprovedMost bounds the packets kept, 1.3 kB each: a second's share of a
	// balancer of ten when 300 callers ask. One more takes nobody's place.
	unprovedMost = 128
	// unprovedFor is over the second within which VMs return, and an agent that
	// does not is then known to be gone (goneAfter).
	unprovedFor = goneAfter + 500*time.Millisecond
	// unprovedTries bounds the walks for one packet, as an agent may stay unsure.
	unprovedTries = 3
	// unprovedEvery spaces the looks at what is kept, and unprovedAtOnce bounds the
	// walks of one: 8 walks of 10 agents are a fifth of such a VM's time.
	unprovedEvery  = 20 * time.Millisecond
	unprovedAtOnce = 8
)

// unproved is a packet whose flow was not found and may live.
type unproved struct {
	flow   Flow
	since  time.Duration
	tries  int
	next   time.Duration
	packet []byte // with room for a header
}

// keep notes a packet whose walk proved nothing.
func (b *Balancer) keep(m []byte, f Flow, now time.Duration) {
	for _, u := range b.unproved {
		if u.flow == f {
			return
		}
	}
	if len(b.unproved) < unprovedMost {
		b.unproved = append(b.unproved, &unproved{flow: f, since: now, packet: append([]byte(nil), m...)})
	}
}

// walkAgain walks for the kept packets whose flows every agent can answer for.
func (b *Balancer) walkAgain(now time.Duration) {
	if len(b.unproved) == 0 || now-b.walkedAgain < unprovedEvery {
		return
	}
	b.walkedAgain = now
	walks := 0
	left := b.unproved[:0]
	for _, u := range b.unproved {
		at, ok := b.flows.get(u.flow)
		if !ok || at.agent != 0 || at.opening != 0 || now-u.since > unprovedFor || u.tries >= unprovedTries {
			continue // found, ended, or of no use to its caller any more
		}
		left = append(left, u)
		if now < u.next || walks >= unprovedAtOnce || !b.allCanTell(u.flow, now) {
			continue
		}
		walks++
		u.tries++
		u.next = now + walkWithin
		p, _ := b.Format.Parse(u.packet[HeaderLen:])
		b.walk(u.packet, p, Message{Kind: KindPacket}, 0, now)
	}
	clear(b.unproved[len(left):])
	b.unproved = left
}

// allCanTell reports whether a walk for the flow could prove that it is gone.
func (b *Balancer) allCanTell(f Flow, now time.Duration) bool {
	if b.config == nil || !b.settled {
		return false
	}
	for _, s := range b.config.Routes[f.Address].services(b.former[f.Address]) {
		for _, a := range b.agents.byService[s] {
			if !a.canTell(now) {
				return false
			}
		}
	}
	return true
}

// canTell reports whether the agent is heard and knows its upstream, or can hold
// no flow.
func (a *agentView) canTell(now time.Duration) bool {
	if !a.reachable(now) {
		return !a.mayLive(now)
	}
	return a.status.State != UpstreamUnknown || a.status.Uptime.Duration()+now-a.heard > announcedWithin
}
