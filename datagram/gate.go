package datagram

import (
	"math"
	"time"

	"pomeloway.example/pomeloway/events"
)

// An agent does the admission control for its upstream. No other process sends packets to
// the upstream, so the agent knows everything that an admission depends on. A refusal
// carries its reason, and the balancer tries another agent, so a balancer with an outdated
// view costs one round trip. The alternative, agents that forward openings to each other,
// would save the round trip but needs a list of members in each agent.

// refusalReason returns why the upstream must not get the opening now, or ReasonNone.
func (a *Agent) refusalReason(h Message, now time.Duration) Reason {
	u := &a.upstream
	switch {
	case h.Service != a.Service:
		return ReasonWrongService
	case a.zoneOut:
		return ReasonZoneOut
	case a.leaving, u.state == UpstreamDraining:
		return ReasonDraining
	case u.state == UpstreamGone, u.state == UpstreamAbsent:
		return ReasonUpstreamGone
	case u.state == UpstreamUnknown && !a.mayTryUnannounced(), a.awaitsRunRecord(now):
		return ReasonUpstreamUnknown
	case a.isBusy(h, now):
		return ReasonBusy
	case a.mayBeCold(now) && h.Cold > 0 && !u.bucket.take(h.Cold.perSecond(), now):
		return ReasonCold
	}
	return ReasonNone
}

// mayBeCold reports whether the upstream is in cold start, or may be. It can turn cold again while its
// availability zone is evacuated, which only its next announcement tells.
func (a *Agent) mayBeCold(now time.Duration) bool {
	u := &a.upstream
	return now < u.coldUntil || u.state == UpstreamUnknown || a.zoneReturnedAt != 0 && u.announcedAt <= a.zoneReturnedAt
}

// recordedState is what earlier runs of the agent have recorded about the upstream.
type recordedState uint8

const (
	recordUnread recordedState = iota // the record has not been read yet
	recordServing
	recordDraining
)

// SetRecordedDraining sets whether an earlier run recorded that the upstream drains.
func (a *Agent) SetRecordedDraining(draining bool) {
	a.recorded = recordServing
	if draining {
		a.recorded = recordDraining
	}
}

// mayTryUnannounced reports whether an upstream that has not announced itself since this
// agent started may get openings: something listens at its address, it was not draining,
// and it is known whether its availability zone is evacuated.
//
// After all processes were killed, most agents return long before the next announcements
// of their upstreams, and the few upstreams that have announced themselves can't serve all
// callers. Balancers still prefer upstreams that have announced themselves. The others are
// treated as cold.
func (a *Agent) mayTryUnannounced() bool {
	return a.upstream.listens && a.revision > 0 && a.recorded == recordServing
}

// assumedSlots is used for an upstream that has not announced its slots. If it has fewer,
// some requests wait.
const assumedSlots = 4

// slotCount returns how many requests the upstream processes in parallel.
func (u *upstream) slotCount() int {
	if u.state == UpstreamUnknown {
		return assumedSlots
	}
	return max(u.slots, 1)
}

// requestCount returns the number of requests that the upstream has or will have shortly.
func (a *Agent) requestCount(now time.Duration) int {
	return a.requests.count() + a.expectedRequests.count(now)
}

// load returns the number of flows and requests that there are or will be shortly.
func (a *Agent) load(now time.Duration) uint16 {
	return uint16(min(a.openFlows+a.requestCount(now), math.MaxUint16))
}

// isBusy reports whether the opening should go to another agent. An opening that all agents
// decline comes again with another priority, and is then accepted while there are free
// slots.
//
// Only the agent knows its load in time. When all callers open flows at once, the upstreams
// that announce themselves first would otherwise get several times their share before the
// next status.
func (a *Agent) isBusy(h Message, now time.Duration) bool {
	n, slots := a.requestCount(now), a.upstream.slotCount()
	if h.Priority == PriorityFirst && a.failures.isFailing(now) {
		return true
	}
	limit := h.Priority.limit()
	if h.Priority == PriorityFirst && a.BusyAt != 0 {
		limit = a.BusyAt
	}
	if s := a.requests.serviceTime(); h.Priority == PriorityUrgent && s > 0 && h.Budget > 0 {
		return n >= slots && (a.requests.isFull(n) || responseTime(s, n, slots) > h.Budget.duration())
	}
	return limit > 0 && float64(n) >= limit*float64(slots)
}

// responseTime estimates when a request is answered that arrives behind n others at an
// upstream that processes them in order: the waiting time, and one request's service time
// with a margin for those that take longer than the mean.
func responseTime(service time.Duration, n, slots int) time.Duration {
	return service*time.Duration(max(0, n+1-slots))/time.Duration(slots) + service*3/2
}

// expectedRequests counts openings that were forwarded to the upstream and whose requests
// have not begun. Some never begin because the caller chose another upstream, so the count
// decays exponentially.
type expectedRequests struct {
	n  float64
	at time.Duration
}

// expectedHalfLife is a few round trips between caller and upstream.
const expectedHalfLife = 20 * time.Millisecond

func (c *expectedRequests) add(n float64, now time.Duration) {
	c.n = max(0, c.n*math.Exp2(-float64(now-c.at)/float64(expectedHalfLife))+n)
	c.at = now
}

func (c *expectedRequests) count(now time.Duration) int {
	c.add(0, now)
	return int(c.n)
}

// handleOpening forwards an opening to the upstream, holds it back for a moment, or refuses
// it.
func (a *Agent) handleOpening(from IP, h Message, p []byte, now time.Duration) {
	k, ok := a.Format.Parse(p)
	if !ok || !k.Open {
		a.Count.BadPackets++
		return
	}
	a.noteArrival(h.Flags.has(FlagUrgent), now)
	if f, _ := a.flows.get(k.Flow); f == nil || !f.opened.is(k) {
		switch r := a.refusalReason(h, now); {
		case r == ReasonBusy && a.hold(from, h, k, p, now):
			return
		case r != ReasonNone:
			a.decline(from, h, k.Flow, r, now)
			return
		}
	}
	a.offer(from, h, k, p, now)
}

// offer forwards an opening to the upstream.
func (a *Agent) offer(from IP, h Message, k Packet, p []byte, now time.Duration) {
	f, _ := a.flows.get(k.Flow)
	if f == nil || !f.opened.is(k) {
		f = a.beginFlow(f, k, h.Flags.has(FlagUrgent), now)
		a.noteTarget(k.Flow.Address, h.Budget)
		a.expectedRequests.add(1, now)
		a.Count.Taken++
		a.Log.logDecision(decision{
			event: events.OpeningTaken, flow: k.Flow, agent: from, version: a.version,
			hop: uint8(min(a.requests.count(), 255)),
		}, now)
	}
	f.balancer, f.opening = from, h.Opening
	if a.upstream.isSilent(now) {
		a.decline(from, h, k.Flow, ReasonNoAnswer, now)
	}
	if a.upstream.unansweredSince == 0 {
		a.upstream.unansweredSince = now
	}
	a.sendUpstream(p, pending{balancer: from, opening: h.Opening})
}

// sendUpstream forwards a packet to the upstream, and remembers it in case it is bounced.
func (a *Agent) sendUpstream(p []byte, x pending) {
	if a.lastScratch++; a.lastScratch == 0 {
		a.lastScratch++
	}
	x.scratch = a.lastScratch
	a.pending[a.lastScratch%maxPending] = x
	a.Format.SetScratch(p, a.lastScratch)
	a.Out.ToUpstream(p)
}

func (a *Agent) decline(to IP, h Message, f Flow, r Reason, now time.Duration) {
	a.Count.Declined++
	a.Log.logDecision(decision{
		event: events.OpeningDeclined, flow: f, agent: to, reason: r, version: a.version,
	}, now)
	a.sendAnswer(to, Message{
		Kind: KindRefused, Reason: r, Requests: uint8(min(a.requestCount(now), math.MaxUint8)),
		Opening: h.Opening, Service: a.Service, Load: a.load(now),
	}, f, now)
}

// sendAnswer sends the answer to an opening, with a load report after the flow. Earlier builds
// read the flow only.
func (a *Agent) sendAnswer(to IP, h Message, f Flow, now time.Duration) {
	m := a.scratch[:HeaderLen+flowLen+loadReportLen]
	f.put(m[HeaderLen:])
	r := a.loadReport(now).encode()
	copy(m[HeaderLen+flowLen:], r[:])
	h.Put(m, a.Keys[0])
	a.Out.ToProcess(to, m)
}

// sendFlowMessage sends a message about a flow to a balancer.
func (a *Agent) sendFlowMessage(to IP, h Message, f Flow) {
	m := a.scratch[:HeaderLen+flowLen]
	f.put(m[HeaderLen:])
	h.Put(m, a.Keys[0])
	a.Out.ToProcess(to, m)
}
