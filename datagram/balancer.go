package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/link"
)

// BalancerOutput sends what a balancer decides. Buffers are the balancer's own
// again when a call returns.
type BalancerOutput interface {
	// ToProcess sends a message to the agent or balancer at the address.
	ToProcess(ip IP, m []byte)
	// ToCaller sends a packet to the caller's address.
	ToCaller(ip IP, p []byte)
}

// Balancer spreads callers' datagrams over agents. It remembers flows only to
// save steps: all that it forgets, the agents and their upstreams know.
type Balancer struct {
	Self   IP
	Life   Life
	Zone   ZoneKey
	Format Format
	Out    BalancerOutput
	Keys   link.Keys
	Log    *Log
	Count  BalancerCounts
	// Placement is how it chooses among agents.
	Placement Placement
	// Observe takes times, if not nil.
	Observe observer
	// LookupRate bounds the messages of lookups a second; 0 means lookupUsual.
	LookupRate float64
	// Detached says that the store does not answer.
	Detached bool
	// Behind is called when another process has a newer configuration.
	Behind func(from IP, v Version)

	config       *Configuration
	out          map[ZoneKey]bool
	revision     uint64
	leaving      bool
	settled      bool          // the records were read in this life
	agentHeard   time.Duration // when an agent was heard last
	apartAt      time.Duration // when it was cut off last, or stood still; 0: never
	atWork, woke time.Duration // when this process last did something, and when after a pause
	lookedAround time.Duration
	isolated     bool // when it looked around last, it was cut off
	agents       agents
	peers        map[IP]*peerView
	shown        int // peers shown to others so far
	flows        table[place]
	openings     openings
	homes        homeSet
	directory    directory
	lookups      lookups
	status       time.Duration
	scratch      [2048]byte
}

// BalancerCounts count decisions.
type BalancerCounts struct {
	Openings, Opened, Refused, Unanswered, Resets, NoRoute, NoAgent uint64
	Packets, Lookups, Asked, NotFound, Cut, BadMessages, BadPackets uint64
	// Entries are flows that this home was told of, Resends requests to be told again,
	// Located answers to other balancers.
	Entries, Resends, Located uint64
}

// place is where a flow is, or is being opened.
type place struct {
	agent   IP     // 0: not known
	opening uint32 // 0: it is open
	sent    uint32 // the sequence number of the caller's data that came last
}

const (
	// placesTurn is over the longest pause of a flow, so that a place lives as
	// long as its flow is used.
	placesTurn = 30 * time.Second
	// placesMost bounds the memory of a balancer; a flow beyond it costs a lookup.
	placesMost = 200_000
)

// Start prepares the balancer; its exported fields are set before.
func (b *Balancer) Start() {
	b.out = map[ZoneKey]bool{}
	b.agents = newAgents()
	b.agents.placement, b.agents.zone, b.agents.out = b.Placement, b.Zone, b.out
	b.peers = map[IP]*peerView{}
	b.flows = newTable[place](placesTurn, placesMost)
	b.openings = newOpenings()
	b.homes = newHomeSet([]IP{b.Self})
	b.directory = newDirectory()
	if b.LookupRate == 0 {
		b.LookupRate = lookupUsual
	}
	b.lookups.byFlow = map[Flow]*lookup{}
	b.lookups.budget.fill(b.LookupRate)
}

// Configured returns the version in force, 0 before the first.
func (b *Balancer) Configured() Version {
	if b.config == nil {
		return 0
	}
	return b.config.Version
}

// SetConfiguration brings the configuration into force unless a newer one is.
//
// A read that was answered late, or by a store that is behind, would bring an
// older configuration back; it shows as a lower version, and versions only grow.
func (b *Balancer) SetConfiguration(c *Configuration) bool {
	if b.config != nil && c.Version <= b.config.Version {
		return false
	}
	b.config = c
	return true
}

// SetZonesOut takes in which availability zones are out as of a revision, unless
// a later revision is known.
func (b *Balancer) SetZonesOut(zs []ZoneKey, revision uint64, now time.Duration) bool {
	if revision <= b.revision {
		return false
	}
	b.revision = revision
	changed := len(zs) != len(b.out) || slices.ContainsFunc(zs, func(z ZoneKey) bool { return !b.out[z] })
	if !changed {
		return false
	}
	clear(b.out)
	for _, z := range zs {
		b.out[z] = true
	}
	b.tell(now)
	return true
}

// SetMembers takes in the members as recorded; settled says that they were read
// in this life and not up to some seconds before.
func (b *Balancer) SetMembers(ms []Member, settled bool, now time.Duration) {
	b.settled = b.settled || settled
	b.agents.record(ms, now)
	for _, m := range ms {
		if !m.Agent {
			b.meet(m.IP, now)
		}
	}
	b.tellNew(now)
}

// Leave says that the balancer is about to stop.
func (b *Balancer) Leave(now time.Duration) {
	b.leaving = true
	b.tell(now)
}

// Ready reports whether the balancer can serve callers.
func (b *Balancer) Ready() bool {
	return !b.leaving && b.config != nil && len(b.agents.byIP) > 0 && !b.isolated
}

// HandleCaller takes the datagram at m[HeaderLen:] that a caller sent.
func (b *Balancer) HandleCaller(m []byte, now time.Duration) {
	b.noticePause(now)
	p, ok := b.Format.Parse(m[HeaderLen:])
	if !ok || p.Bounced {
		b.Count.BadPackets++
		return
	}
	if p.Open && !p.Ack {
		b.open(m, p, now)
		return
	}
	b.Count.Packets++
	at, _ := b.flows.get(p.Flow)
	if ip := b.agentAt(at); ip != 0 {
		b.send(m, Message{Kind: KindPacket}, ip)
		if !b.unanswered(p, at, ip, now) {
			return
		}
	}
	b.look(m, p, 0, now)
}

// unanswered reports whether the caller repeats itself on a flow whose agent is not
// heard, so that the flow is to be looked for. Callers do not repeat themselves on the
// flows of an agent that is only not heard, as packets pass one way alone.
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

// notMine takes a packet back from the agent at which its flow was remembered.
func (b *Balancer) notMine(from IP, m []byte, h Message, now time.Duration) {
	p, ok := b.Format.Parse(m[HeaderLen:])
	if !ok {
		b.Count.BadPackets++
		return
	}
	if at, ok := b.flows.get(p.Flow); ok && at.opening == 0 && at.agent == from {
		b.flows.remove(p.Flow)
	}
	if h.Flags.has(FlagUnsure) {
		from = 0 // it does not know
	}
	b.look(m, p, from, now)
	if l := b.lookups.byFlow[p.Flow]; l != nil {
		l.flags |= h.Flags & FlagKnownOnly
	}
}

// agentAt returns the agent that a flow is remembered at, or that is being asked to
// open it: a caller's first packet can overtake the agent's word that the flow is
// open. It is 0 if there is none.
func (b *Balancer) agentAt(at place) IP {
	if at.opening == 0 {
		return at.agent
	}
	if o := b.openings.get(at.opening); o != nil {
		return o.agent
	}
	return 0
}

func (b *Balancer) send(m []byte, h Message, to IP) {
	h.Put(m, b.Keys[0])
	b.Out.ToProcess(to, m)
}

// HandleMessage takes a message of an agent or a balancer.
func (b *Balancer) HandleMessage(from IP, m []byte, now time.Duration) {
	var h Message
	p, ok := h.Get(m, b.Keys)
	if !ok || from == 0 || from == b.Self {
		b.Count.BadMessages++
		return
	}
	b.noticePause(now)
	if h.Kind.ofAgent() {
		b.agentHeard = now
	}
	switch h.Kind {
	case KindAgent:
		b.hearAgent(from, p, now)
	case KindBalancer:
		b.hearBalancer(from, p, now)
	case KindSilent:
		b.hearSilent(p, now)
	case KindOpened:
		b.opened(from, h, p, now)
	case KindRefused:
		b.refused(from, h, now)
	case KindMine:
		if f, ok := flowFrom(p); ok {
			b.found(from, f, now)
		}
	case KindNotMine:
		b.notMine(from, m, h, now)
	case KindDenied:
		b.denied(from, h, p, now)
	case KindEntries:
		b.hearEntries(from, p)
	case KindLocate:
		b.locate(from, p, now)
	case KindLocated:
		b.hearLocated(from, p, now)
	}
}

// Tick does what is due and returns when it wants to be called again.
func (b *Balancer) Tick(now time.Duration) time.Duration {
	b.noticePause(now)
	b.lookAround(now)
	b.retry(now)
	b.lookAgain(now)
	b.flows.tick(now)
	b.directory.tick(now)
	if now-b.status >= StatusEvery {
		b.suspectSilent(now)
		b.verifySuspects(now)
		b.tellDue(now)
		b.tellNew(now)
		b.agents.forget(now)
		b.forgetLogs()
		b.forgetPeers(now)
		b.updateHomes(now)
	}
	at := min(b.openings.due(), b.status+StatusEvery)
	if len(b.lookups.queue) > 0 {
		at = min(at, b.lookups.next)
	}
	return at
}
