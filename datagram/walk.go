package datagram

import (
	"time"

	"pomeloway.example/pomeloway/events"
)

// A walk finds the agent of a flow that the balancer does not remember. It asks the
// agents that are heard one after another, in the order of a hash that all
// processes share; each that does not hold the flow gives the packet back. The
// state of a walk is in the packet: where it started, how many were asked, and who
// gave it back. So any balancer can carry it on, and none keeps anything. A walk
// costs a way and back for each agent before the right one; memory makes it rare.
// Given up: asking all at once, which would put foreign packets before every
// upstream whose agent was just started.

// walk sends a packet on to the agent after the last one that was asked.
func (b *Balancer) walk(m []byte, k Packet, h Message, last IP, now time.Duration) {
	if b.config == nil || h.Hop == hopFinal {
		return
	}
	f := k.Flow
	ss := b.config.Routes[f.Address].services(b.former[f.Address])
	if len(ss) == 0 {
		b.Count.NoRoute++
		return
	}
	var a *agentView
	if h.Start == 0 {
		a = b.agents.first(f.hash(), ss, now)
	} else {
		a = b.agents.next(f.hash(), ss, last, h.Start, now)
	}
	if a == nil || h.Hop >= hopsMost {
		b.lastAsk(m, k, h, ss, now)
		return
	}
	if h.Start == 0 {
		h.Start = a.ip
	}
	b.Count.Walked++
	h.Kind, h.Opening, h.Service = KindPacket, 0, a.status.Service
	h.Hop++
	b.send(m, h, a.ip)
}

// lastAsk ends a walk on which no agent that can be heard holds the flow: the
// silent ones are asked, and if none of those can live, the caller is told that
// its flow is gone.
//
// A caller of an upstream that ended with its VM would wait for its deadline. The
// reset is held back while an agent may live that was not asked, since cutting
// a flow that lives is worse than silence: while this balancer has not read all
// records in this life, and for goneAfter after an agent was heard last.
func (b *Balancer) lastAsk(m []byte, k Packet, h Message, ss []ServiceKey, now time.Duration) {
	b.Count.NotFound++
	asked := 0
	mayLive := b.agents.unasked(ss, int(h.Hop), now, func(a *agentView) {
		if asked++; asked <= silentMost {
			b.send(m, Message{Kind: KindPacket, Hop: hopFinal, Flags: h.Flags, Start: a.ip, Service: a.status.Service}, a.ip)
		}
	})
	b.Log.decide(decision{event: events.FlowNotFound, flow: k.Flow, hop: h.Hop, agent: h.Start, version: b.Configured()}, now)
	if k.Reset {
		return
	}
	if mayLive || h.Flags.has(FlagUnsure) || !b.settled || h.Hop == 0 {
		b.keep(m, k.Flow, now)
		return
	}
	b.flows.remove(k.Flow)
	b.Count.Cut++
	b.Log.decide(decision{event: events.FlowCut, flow: k.Flow, reason: ReasonNotFound, hop: h.Hop, version: b.Configured()}, now)
	b.reset(k.Flow, k.Number)
}

const (
	// hopFinal marks a packet that is passed to a silent agent and no further.
	hopFinal = 255
	// silentMost bounds the copies to silent agents.
	silentMost = 8
)

// hopsMost ends a walk over agents of which two know each other's places by
// different views; no service of today has so many upstreams.
const hopsMost = 250

// notMine carries on a walk from the agent that did not hold the flow.
func (b *Balancer) notMine(from IP, m []byte, h Message, now time.Duration) {
	p, ok := b.Format.Parse(m[HeaderLen:])
	if !ok {
		b.Count.BadPackets++
		return
	}
	if at, ok := b.flows.get(p.Flow); ok && at.opening == 0 && at.agent == from {
		b.flows.remove(p.Flow)
	}
	if h.Hop == 0 {
		// The balancer went by what it remembered. A walk begins anew, as its order
		// matters.
		h, from = Message{}, 0
	}
	b.walk(m, p, h, from, now)
}
