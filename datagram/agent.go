package datagram

import (
	"maps"
	"slices"
	"time"

	"pomeloway.example/pomeloway/link"
)

// AgentOutput sends what an agent decides. Buffers are the agent's own again
// when a call returns.
type AgentOutput interface {
	ToProcess(ip IP, m []byte)
	ToCaller(ip IP, p []byte)
	// ToUpstream sends a packet to the agent's own upstream.
	ToUpstream(p []byte)
}

// Agent stands beside an upstream and is the only one that gives it packets. It
// alone decides on openings, since all that binds one is known there first; of
// established flows its upstream is the truth.
type Agent struct {
	Life    Life
	Service ServiceKey
	Zone    ZoneKey
	Format  Format
	Out     AgentOutput
	Keys    link.Keys
	Log     *Log
	Count   AgentCounts
	// Observe takes times, if not nil.
	Observe observer
	// BusyAt is how many requests for each slot make the upstream busy, so that
	// openings go elsewhere if they can; 0 means busyAt, less means never.
	BusyAt float64
	// Evacuation is within what nothing more may be sent to an availability zone that
	// operators took out; 0 means evacuationUsual.
	Evacuation time.Duration
	// Probe, if not nil, has the upstream's address tried; Probed is called with
	// what came of it. It must not wait.
	Probe func()
	// OnDrain, if not nil, is called when the upstream has said that it drains, so that
	// it can be recorded for a later run of the agent. It must not wait.
	OnDrain func()

	upstream  upstream
	balancers map[IP]*balancerView
	homes     homeSet
	homesDue  time.Duration // when the set is to be worked out again; 0: never
	homesTell time.Duration // when all are to be told of another set; 0: never
	homesLast time.Duration // and the latest time for that
	former    []formerHomes
	// homesTells is how often all are still to be told of the set.
	homesTells int
	zoneOut    bool
	outSince   time.Duration
	revision   uint64
	version    Version
	leaving    bool
	flows      table[*flowState]
	open       int
	underWay   int
	coming     coming
	counted    time.Duration
	probing    bool
	probed     time.Duration // when the last probe began; 0: never
	recalled   recall
	pending    [pendingMost]pending
	last       uint32
	sequence   uint32
	status     time.Duration
	agents     int    // of the fleet, as balancers say
	near       uint64 // digest of the balancers that are told often
	scratch    [2048]byte
}

// AgentCounts count decisions.
type AgentCounts struct {
	Taken, Declined, Bounced, Established, Resets uint64
	NotMine, Mine, Packets, Answers, Dropped      uint64
	BadMessages, BadPackets, BadAnnouncements     uint64
}

type balancerView struct {
	life        Life
	heard, told time.Duration
	// promised is the interval after which it expects the next status.
	promised time.Duration
	agents   int // how many it knows
	// entries are flows that it was told of in this epoch.
	epoch, entries uint32
}

const (
	// pendingMost is more packets than an upstream can hold unread.
	pendingMost = 4096
	// flowsTurn is over the idle time-out of flows.
	flowsTurn = 30 * time.Second
	// flowsMost bounds the memory of an agent.
	flowsMost = 100_000
	// flowLife is over the longest life of a flow.
	flowLife = 65 * time.Second
	// recountEvery bounds for how long a wrong count lasts.
	recountEvery = time.Second
	// requestLife is over the longest deadline of a request that takes a slot;
	// its caller has given up.
	requestLife = 10 * time.Second
	// evacuationUsual is the bound of an evacuation where the settings have none.
	evacuationUsual = 5 * time.Second
	// cutFrom and cutTill are the shares of that bound between which the flows of an
	// availability zone that is out end, each at its own time; openings stop at once.
	// A caller may still end what it has begun, and the others lose a request each, which
	// is not to happen to all at one moment. What is left of the bound is for the word to
	// come here.
	cutFrom = 0.6
	cutTill = 0.96
)

// Start prepares the agent; its exported fields are set before.
func (a *Agent) Start() {
	a.balancers = map[IP]*balancerView{}
	a.flows = newTable[*flowState](flowsTurn, flowsMost)
}

// Meet tells the agent of a balancer that it does not know.
func (a *Agent) Meet(ip IP, now time.Duration) {
	if _, known := a.balancers[ip]; known || ip == 0 {
		return
	}
	a.balancers[ip] = &balancerView{heard: now}
	a.greet(ip, now)
}

// greet tells a balancer that does not know the agent how it is. It is told again
// within greetEvery, and by then how often it will be told from there on.
func (a *Agent) greet(ip IP, now time.Duration) {
	b := a.balancers[ip]
	b.told, b.promised = now, LargeEvery
	a.Out.ToProcess(ip, a.statusMessage(b, now, greetEvery, true))
}

// Announce takes in what the upstream says of itself and reports whether it may
// be acknowledged: from then on a draining upstream gets no opening.
func (a *Agent) Announce(n *Announcement, now time.Duration) bool {
	if n.Service != a.Service {
		a.Count.BadAnnouncements++
		return false
	}
	was := a.upstream.state
	fresh, reborn := a.upstream.accept(n, now)
	if !fresh {
		return true
	}
	if reborn {
		a.endFlows(now-bornUnheard, now)
	}
	if a.upstream.state != was || reborn {
		a.Log.upstreamChanged(&a.upstream, reborn)
		a.tell(now)
	}
	if a.upstream.state == UpstreamDraining && was != UpstreamDraining && a.OnDrain != nil {
		a.OnDrain()
	}
	return true
}

// Deregister takes in that the upstream is about to exit.
func (a *Agent) Deregister(id string, now time.Duration) {
	if id != a.upstream.id {
		return
	}
	a.upstream.state = UpstreamGone
	a.Log.upstreamChanged(&a.upstream, false)
	a.tell(now)
}

// Leave says that the agent is about to stop.
func (a *Agent) Leave(now time.Duration) {
	a.leaving = true
	a.tell(now)
}

// State returns what is known of the upstream.
func (a *Agent) State() UpstreamState { return a.upstream.state }

// HandleMessage takes a message of a balancer.
func (a *Agent) HandleMessage(from IP, m []byte, now time.Duration) {
	var h Message
	p, ok := h.Get(m, a.Keys)
	if !ok || from == 0 {
		a.Count.BadMessages++
		return
	}
	switch h.Kind {
	case KindOpening:
		a.offer(from, h, p, now)
	case KindPacket:
		a.packet(from, h, m, now)
	case KindBalancer:
		a.hearBalancer(from, p, now)
	case KindResend:
		a.Meet(from, now)
		a.enterAgain(from)
		a.greet(from, now)
	}
}

func (a *Agent) hearBalancer(from IP, p []byte, now time.Duration) {
	var s BalancerStatus
	if !s.decode(p) {
		a.Count.BadMessages++
		return
	}
	a.Meet(from, now)
	b := a.balancers[from]
	if b.heard = now; b.life != s.Life {
		// It has just started and knows no agent: it would pass over this one, and
		// could tell nobody that a flow is gone, until the next status.
		b.life = s.Life
		a.enterAgain(from)
		if slices.Contains(a.homes.ips, from) {
			a.greet(from, now)
		} else if a.homesDue == 0 {
			a.homesDue = now + homesGather // it is greeted with the set of which it is then one
		}
	}
	b.agents = int(s.Agents)
	a.agents = max(a.agents, b.agents)
	for _, ip := range s.Balancers {
		a.Meet(ip, now)
	}
	a.version = max(a.version, s.Version)
	a.setZonesOut(s.Zones, s.Revision, now)
}

// setZonesOut follows the latest revision of any balancer, so one that is cut
// off from the store can't bring back what it last saw.
func (a *Agent) setZonesOut(zs []ZoneKey, revision uint64, now time.Duration) {
	if revision <= a.revision {
		return
	}
	a.revision = revision
	out := false
	for _, z := range zs {
		out = out || z == a.Zone
	}
	if out == a.zoneOut {
		return
	}
	a.zoneOut, a.outSince = out, now
	a.Log.zoneChanged(out, revision)
}

// Tick does what is due and returns when it wants to be called again.
func (a *Agent) Tick(now time.Duration) time.Duration {
	a.flows.tick(now)
	a.probe(now)
	if now-a.counted >= recountEvery {
		a.counted = now
		a.recount(now)
		a.refresh(now)
	}
	if a.homesDue != 0 && now >= a.homesDue {
		a.updateHomes(now)
	}
	if a.homesTell != 0 && now >= a.homesTell {
		a.homesTell = 0
		if a.homesTells--; a.homesTells > 0 {
			a.homesTell = now + homesDelay
		}
		a.tell(now)
	}
	if now-a.status >= StatusEvery {
		a.countAgents()
		a.tellThose(now, nearEvery(a.agents, len(a.balancers)), farEvery(a.agents))
		after := max(forgottenAfter, silentStatuses*farEvery(len(a.balancers)))
		for ip, b := range a.balancers {
			if now-b.heard > after {
				delete(a.balancers, ip)
			}
		}
		a.updateHomes(now)
		a.forgetFormer(now)
	}
	at := min(a.status+StatusEvery, a.probeDue())
	for _, due := range []time.Duration{a.homesDue, a.homesTell} {
		if due != 0 {
			at = min(at, due)
		}
	}
	return at
}

// countAgents works out the size of the fleet: balancers that have just started know less.
func (a *Agent) countAgents() {
	a.agents = 0
	for _, b := range a.balancers {
		a.agents = max(a.agents, b.agents)
	}
}

// tell sends the agent's status to all balancers, as something changed.
func (a *Agent) tell(now time.Duration) { a.tellThose(now, 0, 0) }

// tellThose sends it to the balancers that are near or far and were told last so
// long ago, and to those that expect it: one that is no longer near would take the agent
// for silent until the next status of those that are far.
func (a *Agent) tellThose(now, near, far time.Duration) {
	a.status = now
	close := nearest(uint64(a.Life), slices.Collect(maps.Keys(a.balancers)), nearCount(a.agents, len(a.balancers)))
	if d := digestOf(close); d != a.near {
		a.near = d
		a.Log.nearChanged(len(close), len(a.balancers), a.agents)
	}
	for ip, b := range a.balancers {
		after, every := far, farEvery(a.agents)
		if contains(close, ip) {
			after, every = near, nearEvery(a.agents, len(a.balancers))
		}
		if b.life == 0 {
			after = min(after, StatusEvery) // it has not answered, or not started yet
		}
		if now-b.told >= min(after, b.promised) {
			b.told, b.promised = now, every
			a.Out.ToProcess(ip, a.statusMessage(b, now, every, len(a.former) > 0))
		}
	}
}

// statusMessage returns the status for one balancer, which is told again within every,
// with the balancers among which the agent chooses homes if they are wanted and few.
func (a *Agent) statusMessage(b *balancerView, now, every time.Duration, homes bool) []byte {
	a.sequence++
	s := AgentStatus{
		Life: a.Life, Sequence: a.sequence, Uptime: MillisOf(now), Service: a.Service, Zone: a.Zone,
		Every: MillisOf(every), State: a.upstream.state, Leaving: a.leaving, Slots: uint16(a.upstream.slots),
		Flows: uint16(max(0, min(a.open, 1<<16-1))), UnderWay: uint16(max(0, min(a.underWay, 1<<16-1))),
		Homes: a.homes.digest, Epoch: b.epoch, Entries: b.entries, KnowsAll: a.knowsAll(now),
	}
	if s.State == UpstreamReady && a.upstream.silent(now) {
		s.State = UpstreamSilent
	}
	if now < a.upstream.coldTill {
		s.Cold = MillisOf(a.upstream.coldTill - now)
	}
	m := s.append(a.scratch[:HeaderLen])
	if homes && len(a.homes.ips) <= homesListed {
		m = appendIPs(append(m, byte(len(a.homes.ips))), a.homes.ips)
	}
	h := Message{Kind: KindAgent, Service: a.Service}
	h.Put(m, a.Keys[0])
	return m
}
