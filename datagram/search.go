package datagram

import "time"

// A search asks all agents at once for a flow whose walk gave no result. A walk
// ends at an agent that died and is not doubted yet, and so did each retransmission,
// for up to a second, while the flow lived further down. A caller's next packet
// 0.2 s later shows that. The copies go no further, so a search proves nothing; the
// walk goes on beside it. Given up: searching at the first packet, which costs a
// message for each agent of the service at each flow of a balancer that died.

const (
	// walkWithin is how long a walk may take: 10 agents in 30 ms, as each is a way
	// between availability zones and back. The caller repeats its packet after 200 ms.
	walkWithin = 100 * time.Millisecond
	// searchMost bounds the agents that one search asks.
	searchMost = 64
)

// look finds the agent of a flow that is not remembered.
func (b *Balancer) look(m []byte, p Packet, now time.Duration) {
	at, ok := b.flows.get(p.Flow)
	switch {
	case !ok:
		b.flows.set(p.Flow, place{looked: MillisOf(now)})
	case at.opening == 0 && now-at.looked.Duration() > walkWithin:
		b.flows.set(p.Flow, place{looked: MillisOf(now)})
		b.search(m, p.Flow)
	}
	b.walk(m, p, Message{Kind: KindPacket}, 0, now)
}

// unanswered reports whether the caller repeats itself on a flow whose agent is not
// heard, so that the flow is to be looked for.
//
// Packets to the agent of a VM that died were lost, the whole request long. An agent
// that is only not heard, as packets pass one way alone, still serves its flows: their
// callers go on, and do not repeat themselves.
func (b *Balancer) unanswered(p Packet, at place, ip IP, now time.Duration) bool {
	if p.Length == 0 {
		return false
	}
	if at.sent != p.Seq {
		at.sent = p.Seq
		b.flows.set(p.Flow, at)
		return false
	}
	a := b.agents.byIP[ip]
	return a == nil || !a.reachable(now)
}

// search sends the packet to all agents that may hold its flow. While a zone is
// out, only to those that know it: the holder may be one that drops it, and the
// packet must not be put before foreign upstreams.
func (b *Balancer) search(m []byte, f Flow) {
	if b.config == nil {
		return
	}
	b.Count.Searched++
	h := Message{Kind: KindPacket, Hop: hopFinal}
	if len(b.out) > 0 {
		h.Flags = FlagKnownOnly
	}
	n := 0
	for _, s := range b.config.Routes[f.Address].services(b.former[f.Address]) {
		for _, a := range b.agents.byService[s] {
			if n++; n > searchMost {
				return
			}
			h.Start, h.Service = a.ip, s
			b.send(m, h, a.ip)
		}
	}
}
