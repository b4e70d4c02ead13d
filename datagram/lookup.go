package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// A lookup finds the agent of a flow that the balancer does not remember. It asks the
// flow's homes. If they do not know it, agents are asked themselves, in the order of a
// hash and first those that were started after their upstreams, whose flows no home may
// know. If all homes know all flows and every agent that they are unsure of denied it,
// the flow is gone and its caller is told. The cost does not depend on the size of the
// fleet. While an agent may live that is not heard, nothing is proved and callers wait.

const (
	// lookupsMost bounds the lookups under way, and packetsMost the packets kept of each.
	// One more takes the place of the oldest, whose caller repeats its packet.
	lookupsMost = 512
	packetsMost = 4
	// homeWithin is how long homes have for an answer, and agentWithin an agent:
	// a way between availability zones and back, and a busy process.
	homeWithin  = 40 * time.Millisecond
	agentWithin = 40 * time.Millisecond
	// roundFirst and roundMost space the rounds of a lookup, each twice the one before.
	roundFirst = 100 * time.Millisecond
	roundMost  = 400 * time.Millisecond
	// roundOfAny is the first round that asks agents whose flows the homes should know:
	// by then agents that reach their homes have told them.
	roundOfAny = 4
	// askedEach bounds the agents that one round asks.
	askedEach = 8
	// lookupFor is over the time in which VMs return, and in which one that does not
	// is held for gone.
	lookupFor = goneAfter + 500*time.Millisecond
	// lookupShort is when a lookup is looked at again that the budget holds up.
	lookupShort = 5 * time.Millisecond
	// lookupUsual is the messages of lookups a second where the VM's size is not known.
	lookupUsual = 2000
)

// lookup is the search for one flow.
type lookup struct {
	flow    Flow
	number  uint32 // what the caller acknowledged last
	ended   bool   // the caller has reset the flow
	packets [][]byte
	since   time.Duration
	due     time.Duration // when it is looked at again
	pause   time.Duration // before the next round
	round   int
	homes   homes
	asking  bool            // the homes have been asked in this round
	told    [homesEach]bool // which homes have answered
	sure    [homesEach]bool // and would know the flow if any agent but the unsure held it
	holders []IP            // named by homes
	unsure  []IP            // agents that homes can't speak for
	asked   []IP
	// answered are those that denied the flow, or said that they can't tell.
	answered []IP
	denied   []IP
	left     int  // agents that may be asked in this round
	resting  bool // the round is over
	agent    IP   // is being asked; 0: none
	flags    Flags
}

// lookups are those under way, the oldest first in the queue.
type lookups struct {
	byFlow map[Flow]*lookup
	queue  []*lookup
	budget bucket
	next   time.Duration
}

// wake has the lookup looked at again at the time.
func (x *lookups) wake(l *lookup, at time.Duration) {
	l.due = at
	x.next = min(x.next, at)
}

// LookupRate returns the messages a second that a VM of so many cores and so much
// bandwidth, in Mbit/s, can spend on lookups: a quarter of either. It is 0 if neither
// is known.
func LookupRate(cores, bandwidth float64) float64 {
	const (
		share       = 0.25
		messageCost = 40e-6 // of a core, to send or take one and what follows
		messageBits = 8 * 400
	)
	rate := 0.0
	for _, r := range []float64{cores / messageCost, bandwidth * 1e6 / messageBits} {
		if r > 0 && (rate == 0 || share*r < rate) {
			rate = share * r
		}
	}
	return rate
}

// look begins a lookup with the packet at m[HeaderLen:], or adds the packet to the one
// under way. The agent that denied it, if any, is not asked again.
func (b *Balancer) look(m []byte, p Packet, denied IP, now time.Duration) {
	l := b.lookups.byFlow[p.Flow]
	if l == nil {
		l = b.newLookup(p.Flow, now)
	}
	l.number, l.ended = p.Number, l.ended || p.Reset
	if denied != 0 {
		l.denied = append(l.denied, denied)
		l.asked, l.answered = append(l.asked, denied), append(l.answered, denied)
	}
	repeated := len(l.packets) > 0 && slices.Equal(l.packets[0][HeaderLen:], m[HeaderLen:])
	if !repeated && len(l.packets) < packetsMost {
		l.packets = append(l.packets, slices.Clone(m))
	}
	if l.round == 0 || repeated && l.resting {
		b.startRound(l, now)
	}
}

func (b *Balancer) newLookup(f Flow, now time.Duration) *lookup {
	x := &b.lookups
	if len(x.queue) >= lookupsMost {
		b.endLookup(x.queue[0])
	}
	l := &lookup{flow: f, since: now, pause: roundFirst}
	x.byFlow[f] = l
	x.queue = append(x.queue, l)
	b.Count.Lookups++
	return l
}

func (b *Balancer) endLookup(l *lookup) {
	x := &b.lookups
	delete(x.byFlow, l.flow)
	if i := slices.Index(x.queue, l); i >= 0 {
		x.queue = slices.Delete(x.queue, i, i+1)
	}
}

// startRound asks the homes, and agents after them.
func (b *Balancer) startRound(l *lookup, now time.Duration) {
	l.round++
	l.left, l.asking, l.resting = askedEach, true, false
	// Holders, and those that did not answer, are asked again, as what they were given may
	// be lost.
	l.asked = slices.DeleteFunc(l.asked, func(ip IP) bool {
		return !slices.Contains(l.denied, ip) && (slices.Contains(l.holders, ip) || !slices.Contains(l.answered, ip))
	})
	l.homes = b.homes.of(l.flow)
	l.told, l.sure, l.unsure = [homesEach]bool{}, [homesEach]bool{}, nil
	b.lookups.wake(l, now+homeWithin)
	for i, ip := range l.homes {
		switch {
		case ip == 0:
			l.told[i], l.sure[i] = true, i > 0
		case ip == b.Self:
			c := b.coverage(now)
			x, _ := b.directory.flows.get(l.flow)
			l.tell(i, x.list(), c.unsure, c.of(l.flow, b.Self))
		default:
			b.askHome(l, ip)
		}
	}
	b.step(l, now)
}

// askHome asks one home for the flow.
func (b *Balancer) askHome(l *lookup, ip IP) {
	b.send(appendFlow(b.scratch[:HeaderLen], l.flow), Message{Kind: KindLocate}, ip)
}

// spend takes a message of lookups out of the budget.
func (b *Balancer) spend(now time.Duration) bool {
	return b.lookups.budget.take(b.LookupRate, now)
}

// tell takes in what the i-th home says.
func (l *lookup) tell(i int, holders, unsure []IP, sure bool) {
	l.told[i], l.sure[i] = true, sure && len(holders) < holdersMost
	for _, ip := range holders {
		if !slices.Contains(l.holders, ip) {
			l.holders = append(l.holders, ip)
		}
	}
	l.unsure = append(l.unsure, unsure...)
}

// hearLocated takes in a home's answer.
func (b *Balancer) hearLocated(from IP, p []byte, now time.Duration) {
	unsure, ls, ok := decodeLocated(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	for _, x := range ls {
		l := b.lookups.byFlow[x.flow]
		if l == nil {
			continue
		}
		if i := slices.Index(l.homes[:], from); i >= 0 {
			l.tell(i, x.holders, unsure, x.sure)
			b.step(l, now)
		}
	}
}

// step does what the lookup can do now.
func (b *Balancer) step(l *lookup, now time.Duration) {
	if l.agent != 0 {
		return
	}
	if ip := l.nextHolder(); ip != 0 {
		b.askAgent(l, ip, now)
		return
	}
	if l.asking && slices.Contains(l.told[:], false) && now < l.due {
		return
	}
	l.asking = false
	if a := b.nextAgent(l, now); a != nil {
		b.askAgent(l, a.ip, now)
		return
	}
	if b.gone(l, now) {
		b.cutIfConnected(l, now)
		return
	}
	b.Log.decide(decision{event: events.FlowNotFound, flow: l.flow, reason: l.unproved(), hop: uint8(min(len(l.asked), 255)), version: b.Configured(), age: now - l.since}, now)
	b.Count.NotFound++
	if l.left > 0 { // nobody is left to ask
		l.asked = slices.Clone(l.denied)
	}
	l.resting = true
	b.lookups.wake(l, now+l.pause)
	l.pause = min(2*l.pause, roundMost)
}

// nextHolder returns an agent that a home named and that was not asked.
func (l *lookup) nextHolder() IP {
	for _, ip := range l.holders {
		if !slices.Contains(l.asked, ip) {
			return ip
		}
	}
	return 0
}

// nextAgent returns the next agent of the flow's services to be asked without a home's
// word: if the homes are sure, one that they are unsure of; else one that does not know
// all flows of its upstream, and in late rounds any.
func (b *Balancer) nextAgent(l *lookup, now time.Duration) *agentView {
	sure := !slices.Contains(l.sure[:], false)
	return b.bestAgent(l, now, func(a *agentView) bool {
		return (!sure || slices.Contains(l.unsure, a.ip)) && (l.round >= roundOfAny || !a.status.KnowsAll)
	})
}

// agentToHear returns an agent that would answer at once that it does not hold the flow.
func (b *Balancer) agentToHear(l *lookup, now time.Duration) *agentView {
	return b.bestAgent(l, now, func(a *agentView) bool { return a.status.KnowsAll })
}

// bestAgent returns the agent of the flow's services that ranks first of those that may
// be asked, nil if there is none or the round has asked enough.
func (b *Balancer) bestAgent(l *lookup, now time.Duration, may func(*agentView) bool) *agentView {
	if b.config == nil || l.left == 0 {
		return nil
	}
	var best ranked
	hash := l.flow.hash()
	for _, s := range b.config.Routes[l.flow.Address].Shares {
		for _, a := range b.agents.byService[s.Service] {
			if !a.reachable(now) || slices.Contains(l.asked, a.ip) || !may(a) {
				continue
			}
			if r := (ranked{a, b.agents.rank(hash, a)}); best.agent == nil || r.score > best.score {
				best = r
			}
		}
	}
	return best.agent
}

// askAgent gives the flow's first packet to an agent.
func (b *Balancer) askAgent(l *lookup, ip IP, now time.Duration) {
	if !b.spend(now) {
		b.lookups.wake(l, now+lookupShort)
		return
	}
	l.left = max(0, l.left-1)
	l.asked = append(l.asked, ip)
	l.agent = ip
	b.lookups.wake(l, now+agentWithin)
	h := Message{Kind: KindPacket, Flags: l.flags | FlagLookup}
	if a := b.agents.byIP[ip]; a != nil {
		h.Service = a.status.Service
	}
	if len(b.out) > 0 && !slices.Contains(l.holders, ip) {
		h.Flags |= FlagKnownOnly
	}
	b.Count.Asked++
	b.send(l.packets[0], h, ip)
}

// denied takes in an agent's word that it does not hold a flow.
func (b *Balancer) denied(from IP, h Message, p []byte, now time.Duration) {
	f, ok := flowFrom(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	l := b.lookups.byFlow[f]
	if l == nil {
		return
	}
	l.answered = append(l.answered, from)
	if h.Flags.has(FlagUnsure) {
		l.flags |= h.Flags & FlagKnownOnly
	} else {
		l.denied = append(l.denied, from)
	}
	if l.agent == from {
		l.agent = 0
	}
	b.step(l, now)
}

// found takes in an agent's word that it holds a flow, and gives it what was kept.
func (b *Balancer) found(from IP, f Flow, now time.Duration) {
	b.flows.set(f, place{agent: from})
	l := b.lookups.byFlow[f]
	if l == nil {
		return
	}
	b.endLookup(l)
	b.Log.decide(decision{event: events.FlowFound, flow: f, agent: from, hop: uint8(min(len(l.asked), 255)), version: b.Configured(), age: now - l.since}, now)
	n := 0
	if slices.Contains(l.asked, from) {
		n = 1 // it has the first
	}
	for _, m := range l.packets[n:] {
		b.send(m, Message{Kind: KindPacket}, from)
	}
}

// unproved returns why the flow may be open although it was not found.
func (l *lookup) unproved() Reason {
	switch {
	case slices.Contains(l.told[:], false):
		return ReasonHomeSilent
	case slices.Contains(l.sure[:], false):
		return ReasonHomeUnsure
	}
	return ReasonAgentSilent
}

// gone reports whether no agent holds the flow.
func (b *Balancer) gone(l *lookup, now time.Duration) bool {
	if slices.Contains(l.sure[:], false) || l.ended {
		return false
	}
	for _, ip := range slices.Concat(l.holders, l.unsure) {
		a := b.agents.byIP[ip]
		if !slices.Contains(l.denied, ip) && (a == nil || a.mayHold(now)) {
			return false
		}
	}
	return true
}

// cutIfConnected tells the caller that its flow is gone once an agent was heard since the
// lookup began. This balancer may just have been cut off together with both homes, which
// then do not know what agents told since.
func (b *Balancer) cutIfConnected(l *lookup, now time.Duration) {
	if b.agentHeard > l.since {
		b.cutFlow(l, now)
		return
	}
	if now-l.since >= lookupShort {
		if a := b.agentToHear(l, now); a != nil {
			b.askAgent(l, a.ip, now)
			return
		}
	}
	b.lookups.wake(l, now+lookupShort)
}

// cutFlow tells the caller that its flow is gone.
func (b *Balancer) cutFlow(l *lookup, now time.Duration) {
	b.endLookup(l)
	b.flows.remove(l.flow)
	b.Count.Cut++
	b.Log.decide(decision{event: events.FlowCut, flow: l.flow, reason: ReasonNotFound, hop: uint8(min(len(l.asked), 255)), version: b.Configured(), age: now - l.since}, now)
	b.reset(l.flow, l.number)
}

// lookAgain does what is due of the lookups under way.
func (b *Balancer) lookAgain(now time.Duration) {
	x := &b.lookups
	if now < x.next {
		return
	}
	x.next = now + roundMost
	for _, l := range slices.Clone(x.queue) {
		switch {
		case now-l.since > lookupFor:
			b.endLookup(l)
			continue
		case now < l.due:
		case l.resting:
			b.startRound(l, now)
		default:
			l.agent = 0 // it did not answer
			b.step(l, now)
		}
		x.next = min(x.next, l.due)
	}
}
