package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// A lookup finds the agent of a flow that the balancer does not remember. It first asks the
// flow's homes. If they do not know the flow, it asks agents, in order of their rank for
// the flow, beginning with agents that started after their upstreams: the homes may lack
// their flows.
//
// The flow is gone, and its caller gets a reset, if the answers of all homes are
// authoritative and every agent that the homes do not cover denied the flow. While an
// unreachable agent may still be alive nothing is proved, and the caller waits. The cost
// does not depend on the size of the fleet.

const (
	// maxLookups bounds the lookups in progress, and maxLookupPackets the packets kept for
	// each. One more lookup replaces the oldest, which its caller restarts by retransmitting.
	maxLookups       = 512
	maxLookupPackets = 4
	// homeAnswerTimeout and agentAnswerTimeout cover a round trip between availability zones
	// and a busy process.
	homeAnswerTimeout  = 40 * time.Millisecond
	agentAnswerTimeout = 40 * time.Millisecond
	// minRoundInterval and maxRoundInterval bound the interval between the rounds of a
	// lookup, which doubles with each round.
	minRoundInterval = 100 * time.Millisecond
	maxRoundInterval = 400 * time.Millisecond
	// anyAgentRound is the first round that also asks agents that know all flows of their
	// upstreams. By then such agents have registered their flows at the homes that they can
	// reach.
	anyAgentRound = 4
	// maxAsksPerRound bounds the agents that are asked in one round.
	maxAsksPerRound = 8
	// lookupTimeout is longer than VMs take to return, and longer than it takes until an
	// agent that does not return is considered gone.
	lookupTimeout = failureDetectionTime + 500*time.Millisecond
	// budgetRetryDelay is the delay before a lookup continues that exceeded the message
	// budget.
	budgetRetryDelay = 5 * time.Millisecond
	// defaultLookupRate is the limit of lookup messages per second if the VM's size is not
	// known.
	defaultLookupRate = 2000
)

// lookup is the search for the agent of one flow.
type lookup struct {
	flow          Flow
	ackNumber     uint32 // the caller's last acknowledgement
	callerReset   bool   // the caller has reset the flow
	packets       [][]byte
	since         time.Duration
	due           time.Duration // when the next step is due
	interval      time.Duration // interval before the next round
	round         int
	homes         registration
	awaitingHomes bool                      // the homes were asked in this round and may still answer
	reservesAsked bool                      // the reserve homes were asked in this round
	homeAnswered  [len(registration{})]bool // the home has answered
	// authoritative is set for a home that knows the flows of all agents but the uncovered.
	authoritative [len(registration{})]bool
	holders       []IP // agents that homes named
	uncovered     []IP // agents whose flows the homes do not know completely
	heard         []IP // agents that a home hears, so that silence here proves nothing
	asked         []IP
	// answered are the agents that denied the flow or reported that they can't tell.
	answered     []IP
	denied       []IP
	asksLeft     int  // how many more agents may be asked in this round
	roundOver    bool // the round is over
	pendingAgent IP   // the agent that was asked and has not answered; 0 means none
	flags        Flags
}

// lookups are the lookups in progress. The queue holds the oldest first.
type lookups struct {
	byFlow map[Flow]*lookup
	queue  []*lookup
	budget tokenBucket
	next   time.Duration
}

// schedule sets when the lookup's next step is due.
func (x *lookups) schedule(l *lookup, at time.Duration) {
	l.due = at
	x.next = min(x.next, at)
}

// LookupRate returns how many lookup messages per second a VM can afford, given its cores
// and its bandwidth in Mbit/s: a quarter of either resource. It returns 0 if neither is
// known.
func LookupRate(cores, bandwidth float64) float64 {
	const (
		share       = 0.25
		messageCost = 40e-6 // core seconds to send or receive a message and handle what follows
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

// lookUp starts a lookup for the packet in m[HeaderLen:], or adds the packet to the lookup
// in progress. denied, unless 0, is an agent that has just denied the flow and is not asked
// again.
func (b *Balancer) lookUp(m []byte, p Packet, denied IP, now time.Duration) {
	l := b.lookups.byFlow[p.Flow]
	if l == nil {
		l = b.newLookup(p.Flow, now)
	}
	l.ackNumber, l.callerReset = p.AckNumber, l.callerReset || p.Reset
	if denied != 0 {
		l.denied = append(l.denied, denied)
		l.asked, l.answered = append(l.asked, denied), append(l.answered, denied)
	}
	repeated := len(l.packets) > 0 && slices.Equal(l.packets[0][HeaderLen:], m[HeaderLen:])
	if !repeated && len(l.packets) < maxLookupPackets {
		l.packets = append(l.packets, slices.Clone(m))
	}
	if l.round == 0 || repeated && l.roundOver {
		b.startLookupRound(l, now)
	}
}

func (b *Balancer) newLookup(f Flow, now time.Duration) *lookup {
	x := &b.lookups
	if len(x.queue) >= maxLookups {
		b.endLookup(x.queue[0])
	}
	l := &lookup{flow: f, since: now, interval: minRoundInterval}
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

// startLookupRound asks the homes, and then agents.
func (b *Balancer) startLookupRound(l *lookup, now time.Duration) {
	l.round++
	l.asksLeft, l.awaitingHomes, l.roundOver = maxAsksPerRound, true, false
	// Holders and agents that did not answer are asked again, as the question may have
	// been lost.
	l.asked = slices.DeleteFunc(l.asked, func(ip IP) bool {
		return !slices.Contains(l.denied, ip) && (slices.Contains(l.holders, ip) || !slices.Contains(l.answered, ip))
	})
	l.homes = b.homesForRound(l)
	clear(l.homeAnswered[:])
	clear(l.authoritative[:])
	l.reservesAsked, l.uncovered, l.heard = false, nil, nil
	for i := range homesPerFlow {
		b.askHome(l, i, now)
	}
	if b.expectsSilence(l) || b.isCachedAgentSilent(l, now) {
		b.askReserves(l, now)
	}
	b.advance(l, now)
}

// takeBudget reports whether the budget allows another lookup message, and uses it up.
func (b *Balancer) takeBudget(now time.Duration) bool {
	return b.lookups.budget.take(b.LookupRate, now)
}

// handleLocated handles a home's answer.
func (b *Balancer) handleLocated(from IP, h Message, p []byte, now time.Duration) {
	uncovered, ls, ok := decodeLocated(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	for _, x := range ls {
		b.handleLostLocated(from, x, uncovered, now)
		l := b.lookups.byFlow[x.flow]
		if l == nil || len(ls) > 1 {
			continue // a lookup asks about one flow; only such an answer says whom the home hears
		}
		if i := l.homes.index(from); i >= 0 {
			l.heard = append(l.heard, selectByBits(x.holders, uint32(h.Requests))...)
			l.heard = append(l.heard, selectByBits(uncovered, h.Opening)...)
			l.addHomeAnswer(i, x.holders, uncovered, x.authoritative)
			b.advance(l, now)
		}
	}
}

// advance takes the next steps that are possible without waiting.
func (b *Balancer) advance(l *lookup, now time.Duration) {
	if l.pendingAgent != 0 {
		return
	}
	if ip := b.nextHolder(l, now); ip != 0 {
		b.askAgent(l, ip, now)
		return
	}
	if l.homesOverdue(now) {
		b.noteSilentHomes(l)
		b.askReserves(l, now)
		if ip := b.nextHolder(l, now); ip != 0 { // this balancer is a reserve home
			b.askAgent(l, ip, now)
			return
		}
	}
	if l.awaitsHomes(now) {
		return
	}
	l.awaitingHomes = false
	if a := b.nextAgent(l, now); a != nil {
		b.askAgent(l, a.ip, now)
		return
	}
	if b.isGone(l, now) {
		b.resetIfConnected(l, now)
		return
	}
	b.Log.logDecision(decision{
		event: events.FlowNotFound, flow: l.flow, reason: l.notFoundReason(),
		hop: uint8(min(len(l.asked), 255)), version: b.ConfigurationVersion(), age: now - l.since,
	}, now)
	b.Count.NotFound++
	if l.asksLeft > 0 { // every candidate was asked, so the next round starts over
		l.asked = slices.Clone(l.denied)
	}
	l.roundOver = true
	b.lookups.schedule(l, now+l.interval)
	l.interval = min(2*l.interval, maxRoundInterval)
}

// nextHolder returns an agent that a home named and that was not asked yet, or 0. One that is
// considered gone is not asked, unless a home hears it.
func (b *Balancer) nextHolder(l *lookup, now time.Duration) IP {
	for _, ip := range l.holders {
		if !slices.Contains(l.asked, ip) && !b.isGoneAgent(l, ip, now) {
			return ip
		}
	}
	return 0
}

// nextAgent returns the next agent to ask that no home named, or nil. If the homes agree, only
// uncovered agents are candidates. Before anyAgentRound, only agents that do not know all flows of
// their upstreams are, and not those that will tell shortly.
func (b *Balancer) nextAgent(l *lookup, now time.Duration) *agentView {
	agree := l.homesAgree()
	return b.bestAgent(l, now, func(a *agentView) bool {
		return (!agree || slices.Contains(l.uncovered, a.ip)) && (l.round >= anyAgentRound || !a.status.KnowsAll && !a.runRecordPending)
	})
}

// agentForCheck returns an agent that would answer at once that it does not hold the flow.
// Any answer proves that this balancer is not cut off.
func (b *Balancer) agentForCheck(l *lookup, now time.Duration) *agentView {
	return b.bestAgent(l, now, func(a *agentView) bool { return a.status.KnowsAll })
}

// bestAgent returns the eligible agent with the highest rank that was not asked yet, of all
// availability zones and of the own one in turn, and of the services to which the flow's route leads
// or led when the flow may have been opened. It returns nil if
// there is none or the round has asked enough agents.
func (b *Balancer) bestAgent(l *lookup, now time.Duration, eligible func(*agentView) bool) *agentView {
	if b.config == nil || l.asksLeft == 0 {
		return nil
	}
	var best, bestInZone ranked
	hash := l.flow.hash()
	for _, agents := range b.agentsOf(l.flow.Address, now) {
		for _, a := range agents {
			if !a.reachable(now) || slices.Contains(l.asked, a.ip) || !eligible(a) {
				continue
			}
			r := ranked{a, b.agents.rank(hash, a)}
			if best.agent == nil || r.score > best.score {
				best = r
			}
			if a.status.Zone == b.Zone && (bestInZone.agent == nil || r.score > bestInZone.score) {
				bestInZone = r
			}
		}
	}
	// An opening goes to one of the highest ranked of the balancer's zone or of all zones, so
	// these take turns.
	if bestInZone.agent != nil && l.asksLeft%2 == 0 && !b.zonesOut[best.agent.status.Zone] {
		return bestInZone.agent
	}
	return best.agent
}

// askAgent sends the flow's first packet to an agent.
func (b *Balancer) askAgent(l *lookup, ip IP, now time.Duration) {
	if !b.takeBudget(now) {
		b.lookups.schedule(l, now+budgetRetryDelay)
		return
	}
	l.asksLeft = max(0, l.asksLeft-1)
	l.asked = append(l.asked, ip)
	l.pendingAgent = ip
	b.lookups.schedule(l, now+agentAnswerTimeout)
	h := Message{Kind: KindPacket, Flags: l.flags | FlagLookup}
	if a := b.agents.byIP[ip]; a != nil {
		h.Service = a.status.Service
	}
	if len(b.zonesOut) > 0 && !slices.Contains(l.holders, ip) {
		h.Flags |= FlagKnownOnly
	}
	b.Count.Asked++
	b.send(l.packets[0], h, ip)
}

// handleNotHeld handles an agent's answer that it does not hold a flow or can't tell.
func (b *Balancer) handleNotHeld(from IP, h Message, p []byte, now time.Duration) {
	f, ok := decodeFlow(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	if at, known := b.flows.get(f); known && at.opening == 0 && at.agent == from {
		b.flows.remove(f) // the agent had reported the flow before its upstream bounced the packet
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
	if l.pendingAgent == from {
		l.pendingAgent = 0
	}
	b.advance(l, now)
}

// handleHeld handles an agent's report that it holds a flow: it sends the kept packets.
func (b *Balancer) handleHeld(from IP, f Flow, now time.Duration) {
	at, _ := b.flows.get(f)
	at.agent, at.opening = from, 0
	b.flows.set(f, at)
	l := b.lookups.byFlow[f]
	if l == nil {
		return
	}
	b.endLookup(l)
	b.Log.logDecision(decision{
		event: events.FlowFound, flow: f, agent: from,
		hop: uint8(min(len(l.asked), 255)), version: b.ConfigurationVersion(), age: now - l.since,
	}, now)
	n := 0
	if slices.Contains(l.asked, from) {
		n = 1 // the agent already got the first packet
	}
	for _, m := range l.packets[n:] {
		b.send(m, Message{Kind: KindPacket}, from)
	}
}

// notFoundReason returns why the flow may still be open although it was not found.
func (l *lookup) notFoundReason() Reason {
	switch {
	case l.homesAgree():
		return ReasonAgentSilent
	case l.awaitsFirst():
		return ReasonHomeSilent
	}
	return ReasonHomeUnsure
}

// isGone reports whether it is proved that no agent holds the flow. An agent that only this
// balancer does not hear may hold it: datagrams of the agent to this balancer are lost.
func (b *Balancer) isGone(l *lookup, now time.Duration) bool {
	if !l.homesAgree() || l.callerReset {
		return false
	}
	for _, ip := range slices.Concat(l.holders, l.uncovered) {
		if !slices.Contains(l.denied, ip) && !b.isGoneAgent(l, ip, now) {
			return false
		}
	}
	return true
}

// isGoneAgent reports whether the agent is known to hold no flows, and no home hears it.
func (b *Balancer) isGoneAgent(l *lookup, ip IP, now time.Duration) bool {
	a := b.agents.byIP[ip]
	return a != nil && !a.mayHoldFlows(now) && !slices.Contains(l.heard, ip)
}

// resetIfConnected resets the flow for its caller once a message from any agent has
// arrived since the lookup began. Otherwise this balancer may have just been cut off
// together with both homes, which then lack what agents reported since.
func (b *Balancer) resetIfConnected(l *lookup, now time.Duration) {
	if b.lastAgentMessage > l.since {
		b.resetFlow(l, now)
		return
	}
	if now-l.since >= budgetRetryDelay {
		if a := b.agentForCheck(l, now); a != nil {
			b.askAgent(l, a.ip, now)
			return
		}
	}
	b.lookups.schedule(l, now+budgetRetryDelay)
}

// resetFlow resets a flow that is gone for its caller.
func (b *Balancer) resetFlow(l *lookup, now time.Duration) {
	b.endLookup(l)
	b.flows.remove(l.flow)
	b.Count.Cut++
	b.Log.logDecision(decision{
		event: events.FlowCut, flow: l.flow, reason: ReasonNotFound,
		hop: uint8(min(len(l.asked), 255)), version: b.ConfigurationVersion(), age: now - l.since,
	}, now)
	b.sendReset(l.flow, l.ackNumber)
}

// runLookups continues the lookups whose next step is due.
func (b *Balancer) runLookups(now time.Duration) {
	x := &b.lookups
	if now < x.next {
		return
	}
	x.next = now + maxRoundInterval
	for _, l := range slices.Clone(x.queue) {
		switch {
		case now-l.since > lookupTimeout:
			b.endLookup(l)
			continue
		case now < l.due:
		case l.roundOver:
			b.startLookupRound(l, now)
		default:
			l.pendingAgent = 0 // the agent did not answer in time
			b.advance(l, now)
		}
		x.next = min(x.next, l.due)
	}
}
