package datagram

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// Notification of callers whose flows were lost together with everything that knew them. If
// the upstream, the agent and the balancer of a flow lose power, a caller that only waits for
// an answer sends nothing that a lookup could answer. The flow's homes still know the flow
// and its agent.
//
// Silence does not prove that a flow is lost: the agent may be cut off, and its upstream may
// answer the caller. The next run of the agent does prove it, by a status that says that the
// agent knows every flow of its upstream, if it has registered the flow only in an earlier
// run. The home then does what a balancer does that looks the flow up: it asks the other
// home, and resets the flow if both know every agent that may hold it. The first home of a
// flow acts at once, the other one a moment later if the first has not asked about the flow.
//
// Entries of flows that have ended stay for minutes, so the latest flows come first, and the
// rate is limited. A reset of a flow that has ended does nothing.

const (
	// takeoverDelay is how much later the second home of a flow acts. It covers the interval
	// between the statuses that reach the two homes and a question to the other home.
	takeoverDelay = 300 * time.Millisecond
	// lostRetryInterval is the time between attempts while a home can't tell whether the
	// flow is at another agent. The interval between questions to the other home begins with
	// it and doubles up to maxLostAskInterval.
	lostRetryInterval  = 100 * time.Millisecond
	maxLostAskInterval = 400 * time.Millisecond
	// lostFlowsTimeout exceeds the longest deadline of a request, after which no caller waits.
	lostFlowsTimeout = 5 * time.Second
	// lostFlowsInterval is the time between two steps. It combines questions into one message.
	lostFlowsInterval = 10 * time.Millisecond
	// minCollectInterval is the minimum interval between passes over the directory, as the agents
	// of an availability zone return one after another. A pass takes up to 0.7 µs an entry, so
	// collectIntervalPerEntry bounds what passes take of a full directory's balancer.
	minCollectInterval      = 100 * time.Millisecond
	collectIntervalPerEntry = 10 * time.Microsecond
	// maxLostFlows bounds the flows that wait, of which the latest are kept.
	maxLostFlows = 8192
	// lostFlowsShare is the share of the lookups' rate at which flows are asked about. A flow
	// costs what the question of a lookup costs, and a reset.
	lostFlowsShare = 0.5
	// maxTriesPerStep bounds the time of a step: the choice of a flow's homes takes
	// microseconds among hundreds of balancers.
	maxTriesPerStep = 256
	// maxNumberLag is how far the number in a flow's entries may be behind. A caller accepts
	// a reset of an open flow up to 76,800 bytes from its last acknowledgement, and up to
	// half of that may be on its way to the caller.
	maxNumberLag = 32 << 10
)

// lifeTag is the part of a Life that a directory stores with each flow.
type lifeTag uint32

func (l Life) tag() lifeTag { return lifeTag(l) }

// collectInterval returns the interval between passes over a directory with a number of entries.
func collectInterval(entries int) time.Duration {
	return max(minCollectInterval, time.Duration(entries)*collectIntervalPerEntry)
}

// lostFlow is a flow of an earlier run of an agent whose upstream does not hold it.
type lostFlow struct {
	flow       Flow
	agent      IP
	life       lifeTag // the agent's run that registered the flow
	number     uint32
	registered time.Duration
	provedAt   time.Duration // when the agent's status arrived
	due        time.Duration
	interval   time.Duration // between the last question and the next
	delayed    bool          // the other home had the time to act
	// other is the home that was asked at askedAt, or 0. confirmed is set if it does not
	// know another agent.
	other     IP
	askedAt   time.Duration
	confirmed bool
}

// lostFlows selects the flows that agents have lost. Its zero value selects none.
type lostFlows struct {
	lives    map[IP]Life          // the last run of each agent that is known to know its flows, or the first heard
	returned map[IP]time.Duration // agents whose flows are to be collected, with the time of the proof
	waiting  map[Flow]*lostFlow   // also those that were asked about
	order    []*lostFlow          // the latest first; may contain flows that no longer wait
	budget   tokenBucket
	next     time.Duration // when the next step is due
	// collectDue is when flows may be collected again.
	collectDue time.Duration
	// reports are the resets that were not logged yet, by agent.
	reports    map[IP]*lostReport
	reportedAt time.Duration
}

// lostReport counts the flows of an agent that were reset, and has the time of the proof.
type lostReport struct {
	flows    int
	provedAt time.Duration
}

// noteStatus processes an accepted status of an agent. complete is set if all entries of the
// agent's run have arrived.
func (x *lostFlows) noteStatus(ip IP, s *AgentStatus, complete bool, now time.Duration) {
	if x.lives == nil {
		x.lives, x.returned = map[IP]Life{}, map[IP]time.Duration{}
	}
	switch l, known := x.lives[ip]; {
	case !known:
		x.lives[ip] = s.Life
	case l == s.Life || !complete || !s.KnowsAll || s.State == UpstreamUnknown:
	default:
		x.lives[ip], x.returned[ip] = s.Life, now
		x.next = 0
	}
}

// forget drops an agent that is no longer known.
func (x *lostFlows) forget(ip IP) {
	delete(x.lives, ip)
	delete(x.returned, ip)
}

// collect adds the flows that the returned agents have registered in earlier runs only.
// Flows that several agents have registered are left out, as the caller may have chosen any
// of them.
func (x *lostFlows) collect(all iter.Seq2[Flow, entry], l FlowLifetime, now time.Duration) {
	type candidate struct {
		Flow
		entry
	}
	var found []candidate
	// keepLatest sorts the flows and drops the earliest if there are too many.
	keepLatest := func() {
		slices.SortFunc(found, func(a, b candidate) int {
			if c := cmp.Compare(b.registered, a.registered); c != 0 {
				return c
			}
			return cmp.Compare(a.hash(), b.hash())
		})
		found = found[:min(len(found), maxLostFlows)]
	}
	oldest := MillisOf(now - l.limit())
	for f, e := range all {
		if e.registered < oldest || e.number == 0 || e.holders[1] != 0 {
			continue
		}
		if _, ok := x.returned[e.holders[0]]; !ok || e.life == x.lives[e.holders[0]].tag() {
			continue
		}
		if found = append(found, candidate{f, e}); len(found) >= 2*maxLostFlows {
			keepLatest()
		}
	}
	keepLatest()
	if x.waiting == nil {
		x.waiting = map[Flow]*lostFlow{}
	}
	for _, c := range found {
		l := &lostFlow{
			flow: c.Flow, agent: c.holders[0], life: c.life, number: c.number,
			registered: c.registered.Duration(), provedAt: x.returned[c.holders[0]], due: now,
		}
		x.waiting[l.flow] = l
		x.order = append(x.order, l)
	}
	clear(x.returned)
	x.order = slices.DeleteFunc(x.order, func(l *lostFlow) bool { return x.waiting[l.flow] != l })
	slices.SortStableFunc(x.order, func(a, b *lostFlow) int { return cmp.Compare(b.registered, a.registered) })
	for _, l := range x.order[min(len(x.order), maxLostFlows):] {
		x.remove(l.flow)
	}
	x.order = x.order[:min(len(x.order), maxLostFlows)]
}

// scheduleCollect makes the next step due when agents have returned whose flows were not
// collected yet.
func (x *lostFlows) scheduleCollect() {
	if len(x.returned) > 0 {
		x.next = min(x.next, x.collectDue)
	}
}

// isIdle reports whether there is nothing to do before another agent returns.
func (x *lostFlows) isIdle() bool { return len(x.returned) == 0 && len(x.order) == 0 }

// expire drops the flows whose callers no longer wait.
func (x *lostFlows) expire(now time.Duration) {
	x.order = slices.DeleteFunc(x.order, func(l *lostFlow) bool {
		if x.waiting[l.flow] == l && now-l.provedAt <= lostFlowsTimeout {
			return false
		}
		if x.waiting[l.flow] == l {
			x.remove(l.flow)
		}
		return true
	})
}

// remove drops a flow that was reset or that need not be.
func (x *lostFlows) remove(f Flow) { delete(x.waiting, f) }

// step calls try for the flows that are due, the latest first, until the budget of the given
// rate is used up. try reports whether it used the budget.
func (x *lostFlows) step(rate float64, now time.Duration, try func(*lostFlow) bool) {
	x.next = math.MaxInt64
	left := maxTriesPerStep
	for _, l := range x.order {
		if x.waiting[l.flow] != l {
			continue
		}
		if l.due <= now && left > 0 {
			left--
			if !x.budget.has(rate, now) {
				left = 0
			} else if try(l) {
				x.budget.take(rate, now)
			}
		}
		x.next = min(x.next, max(l.due, now+lostFlowsInterval))
	}
}

// noteReset counts a reset for the log.
func (x *lostFlows) noteReset(l *lostFlow) {
	if x.reports == nil {
		x.reports = map[IP]*lostReport{}
	}
	r := x.reports[l.agent]
	if r == nil {
		r = &lostReport{provedAt: l.provedAt}
		x.reports[l.agent] = r
	}
	r.flows++
}

// runLostFlows takes the next step with the flows that agents have lost.
func (b *Balancer) runLostFlows(now time.Duration) {
	x := &b.lost
	if x.isIdle() || now < x.next {
		return
	}
	if len(x.returned) > 0 && now >= x.collectDue {
		x.collect(b.directory.flows.all(), b.FlowLifetime, now)
		x.collectDue = now + collectInterval(b.directory.flows.len())
	}
	x.expire(now)
	b.reportLostFlows(now)
	c := b.coverage(now)
	if !c.complete || len(c.uncovered) > 0 {
		x.next = now + lostRetryInterval
		return
	}
	asks := map[IP][]Flow{}
	x.step(lostFlowsShare*b.LookupRate, now, func(l *lostFlow) bool {
		return b.tryLostFlow(l, c, asks, now)
	})
	x.scheduleCollect()
	b.askAboutLostFlows(asks)
}

// lostReportInterval is the time between log lines about the lost flows of an agent.
const lostReportInterval = time.Second

// reportLostFlows logs the resets since the last report, at once after the last flow.
func (b *Balancer) reportLostFlows(now time.Duration) {
	x := &b.lost
	if len(x.reports) == 0 || len(x.order) > 0 && now-x.reportedAt < lostReportInterval {
		return
	}
	b.Log.lostFlowsReset(x.reports, now)
	clear(x.reports)
	x.reportedAt = now
}

// tryLostFlow takes the next step with a flow. It adds questions to the other home to asks,
// and reports whether it did.
func (b *Balancer) tryLostFlow(l *lostFlow, c *coverage, asks map[IP][]Flow, now time.Duration) bool {
	hs := b.homes.choose(l.flow)
	at := slices.Index(hs[:], b.Self)
	switch {
	case at < 0 || !b.stillLost(l):
		b.lost.remove(l.flow)
		return false
	case l.confirmed:
		b.resetLostFlow(l, now)
		return false
	case at > 0 && !l.delayed:
		l.delayed, l.due = true, now+takeoverDelay
		return false
	case !c.covers(l.flow, b.Self):
		l.due = now + lostRetryInterval
		return false
	}
	l.interval = min(max(2*l.interval, lostRetryInterval), maxLostAskInterval)
	l.other, l.askedAt, l.due = hs[1-at], now, now+l.interval
	if l.other == 0 { // there is no other balancer
		l.confirmed, l.due = true, now+lostFlowsInterval
		return true
	}
	asks[l.other] = append(asks[l.other], l.flow)
	return true
}

// stillLost reports whether the flow's entry is the one that the flow was collected for.
func (b *Balancer) stillLost(l *lostFlow) bool {
	e, ok := b.directory.flows.get(l.flow)
	return ok && e.holders == holders{l.agent} && e.life == l.life
}

// askAboutLostFlows asks the other homes which agents hold the flows.
func (b *Balancer) askAboutLostFlows(asks map[IP][]Flow) {
	for ip, fs := range asks {
		for part := range slices.Chunk(fs, maxLocateFlows) {
			m := b.scratch[:HeaderLen]
			for _, f := range part {
				m = appendFlow(m, f)
			}
			b.Count.LostAsked += uint64(len(part))
			b.Count.LostQuestions++
			b.send(m, Message{Kind: KindLocate}, ip)
		}
	}
}

// handleLostLocated handles the other home's answer about a flow.
func (b *Balancer) handleLostLocated(from IP, x locateResult, uncovered []IP, now time.Duration) {
	l := b.lost.waiting[x.flow]
	if l == nil || l.other != from || l.confirmed || !x.authoritative || len(uncovered) > 0 || len(x.holders) >= maxHolders {
		return
	}
	if slices.ContainsFunc(x.holders, func(ip IP) bool { return ip != l.agent }) {
		b.lost.remove(x.flow)
		return
	}
	l.confirmed = true
	b.resetLostFlow(l, now)
}

// noteOtherHomeAsks drops a flow about which its first home asks, because that one acts.
func (b *Balancer) noteOtherHomeAsks(from IP, f Flow) {
	if b.lost.waiting[f] != nil && b.homes.choose(f)[0] == from {
		b.lost.remove(f)
	}
}

// resetLostFlow resets the flow for its caller once a message from any agent has arrived since
// the other home was asked. Otherwise this balancer may have just been cut off together with
// the other home, which then lack what agents reported since.
func (b *Balancer) resetLostFlow(l *lostFlow, now time.Duration) {
	if b.lastAgentMessage <= l.askedAt {
		l.due = now + lostFlowsInterval
		b.lost.next = min(b.lost.next, l.due)
		return
	}
	c := b.coverage(now)
	if !b.stillLost(l) || !c.covers(l.flow, b.Self) || len(c.uncovered) > 0 {
		l.confirmed, l.due = false, now+lostRetryInterval
		b.lost.next = min(b.lost.next, l.due)
		return
	}
	b.lost.remove(l.flow)
	b.directory.flows.remove(l.flow)
	b.flows.remove(l.flow)
	b.Count.LostFlows++
	b.lost.noteReset(l)
	b.Log.logDecision(decision{
		event: events.FlowCut, flow: l.flow, agent: l.agent, reason: ReasonUpstreamGone,
		version: b.ConfigurationVersion(), age: now - l.provedAt,
	}, now)
	b.sendReset(l.flow, l.number)
}
