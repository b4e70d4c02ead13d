package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/placement"
)

const (
	// An agent is silent if it has sent nothing for maxMissedStatuses of its status
	// intervals, but at least minSilence, plus deliveryMargin. Two intervals tolerate one
	// lost datagram; minSilence is three intervals of a small fleet; deliveryMargin allows
	// for the delivery time.
	maxMissedStatuses = 2
	minSilence        = 3 * StatusInterval
	deliveryMargin    = 100 * time.Millisecond
	// expiryTime is the time after which a member is dropped that sends nothing and has no
	// record. It is longer than a restart takes, and longer than flows can wait for the
	// member.
	expiryTime = 30 * time.Second
	// doubtThreshold is the number of consecutive openings that an agent must leave
	// unanswered for others to be tried first. A lost datagram counts as an unanswered
	// opening.
	doubtThreshold = 1
)

// agentView is a balancer's knowledge of one agent.
type agentView struct {
	ip             IP
	key            uint64
	status         AgentStatus
	recorded       bool
	discovered     time.Duration // when the agent became known
	lastSeen       time.Duration // when its last status arrived; 0: never
	started        time.Duration
	missedOpenings int // openings left unanswered since the last status
	suspicion      suspicion
	statusSent     time.Duration // when this balancer last sent the agent its own status
	mismatch       homesMismatch
	// homes are the balancers among which it chooses homes. They are valid if the status has
	// the same digest.
	homes           homeSet
	reportedLoad    int // flows and requests at its upstream, as last reported
	report          LoadReport
	reportedAt      time.Duration // when report arrived
	pendingOpenings int           // openings sent to it and not answered yet
	// declinedAt is when the agent last refused an opening as busy, by the opening's
	// priority.
	declinedAt    [priorityEnd]time.Duration
	previousLives [4]Life
	// usesReserveHomes: it registers its flows at their reserve homes too.
	usesReserveHomes bool
	// runRecordPending: it will tell shortly whether it knows every flow of its upstream.
	runRecordPending bool
	slow             bool          // its upstream is slower than the others
	speedNoted       time.Duration // service time when slow was last set, and when that was
	speedNotedAt     time.Duration
}

// class groups agents for openings; agents of a lower class are tried first.
type class uint8

const (
	classReady class = iota
	classCold
	classUnknown
	classDoubted
	// classExcluded agents would refuse every opening, so none is sent to them.
	classExcluded
)

func (a *agentView) class(now time.Duration, out map[ZoneKey]bool) class {
	s := &a.status
	switch {
	case out[s.Zone], s.Leaving, s.State == UpstreamDraining, s.State == UpstreamGone, s.State == UpstreamAbsent:
		return classExcluded
	case a.missedOpenings >= doubtThreshold, a.suspicion.since != 0, s.State == UpstreamSilent:
		return classDoubted
	case a.lastSeen == 0:
		// Recorded, but no status yet. If these agents came last, a balancer that has just
		// started would send every opening to the first agent whose status arrives.
		return classReady
	case a.silent(now):
		return classDoubted
	case s.State == UpstreamUnknown:
		return classUnknown
	case s.ColdRemaining.Duration() > now-a.lastSeen:
		return classCold
	}
	return classReady
}

// load returns the flows and requests at the agent's upstream per slot. Both have the same
// weight: if requests had a higher one, flows that carry feeds would accumulate at upstreams
// with few requests.
func (a *agentView) load() float64 {
	return float64(a.reportedLoad+a.pendingOpenings) / float64(max(a.status.Slots, 1))
}

// candidate returns what the choice by expected time needs to know of the agent.
func (a *agentView) candidate(c class, zone ZoneKey, now time.Duration) placement.Candidate {
	p := placement.Candidate{
		Slots: int(a.status.Slots), Requests: int(a.status.UnderWay), Pending: a.pendingOpenings, Flows: a.reportedLoad,
		RoundTrip: otherZoneRoundTrip, Class: uint8(c), OwnZone: a.status.Zone == zone, Age: now - a.lastSeen,
	}
	if p.OwnZone {
		p.RoundTrip = 0
	}
	if r := &a.report; r.Present {
		p.ServiceTime, p.TailTime, p.Requests = r.ServiceTime.Duration(), r.TailTime.Duration(), int(r.Requests)
		p.Utilization, p.UtilizationKnown = r.Utilization.Share()
		p.Age = now - a.reportedAt
	}
	return p
}

// otherZoneRoundTrip is about the time between availability zones of a region, both ways.
const otherZoneRoundTrip = 2 * time.Millisecond

// updateLoad stores the load reported in the answer to an opening, which is newer than the
// last status.
func (a *agentView) updateLoad(load uint16) {
	a.reportedLoad, a.pendingOpenings = int(load), max(0, a.pendingOpenings-1)
}

// declineBackoff is how long an agent that declined an opening is not asked again with the
// same load limit or a lower one. This is about the time in which its upstream completes a
// request. Without it, waiting openings would cost more messages than small balancers can
// send.
const declineBackoff = 20 * time.Millisecond

// singleOpeningPeriod is the time after a declined opening in which the agent is sent only
// one opening at a time. Waiting openings retry at the same moment and would all be sent
// before the first is declined.
const singleOpeningPeriod = 200 * time.Millisecond

// wouldDecline reports whether the agent is expected to decline an opening of the priority.
func (a *agentView) wouldDecline(p Priority, now time.Duration) bool {
	since := now - a.declinedAt[p]
	return a.declinedAt[p] != 0 && (since < declineBackoff || since < singleOpeningPeriod && a.pendingOpenings > 0)
}

// noteDecline records that the agent refused an opening of the priority while its upstream
// had the given number of requests. It would also refuse openings of every other priority
// whose limit that number reaches. The limit of PriorityUrgent is the agent's to compute.
func (a *agentView) noteDecline(p Priority, requests int, now time.Duration) {
	for q := range priorityEnd {
		if q == p || q != PriorityUrgent && q.limit()*float64(max(a.status.Slots, 1)) <= float64(requests) {
			a.declinedAt[q] = now
		}
	}
}

// isNewer reports whether the status supersedes the stored one.
//
// A delayed datagram, for example from before a restart, would reset the agent to an
// outdated state: say, to ready although it now drains. Such a datagram has the life of an
// earlier run, or an older sequence number. Clocks are not compared, because they can jump.
func (a *agentView) isNewer(s *AgentStatus, now time.Duration) bool {
	if s.Life == a.status.Life {
		return s.Sequence > a.status.Sequence
	}
	if a.isPreviousLife(s.Life) {
		return false
	}
	return a.lastSeen == 0 || now-s.Uptime.Duration() > a.started
}

// isPreferred reports whether the agent, which is in the balancer's own availability zone,
// is chosen instead of o: it must have a free slot and not be much more loaded.
//
// Traffic between availability zones costs bandwidth and latency. But the callers of a zone
// can exceed the capacity of its upstreams, so flows stay within the zone only while that
// causes no waiting.
func (a *agentView) isPreferred(o *agentView) bool {
	return int(a.status.UnderWay)+a.pendingOpenings < int(max(a.status.Slots, 1)) &&
		a.load() <= sameZoneLoadFactor*o.load()+1/float64(max(a.status.Slots, 1))
}

// sameZoneLoadFactor is how much more loaded an upstream in the own availability zone may
// be. It keeps the load of the busiest upstream close to the mean.
const sameZoneLoadFactor = 1.1

// isExpired reports whether the agent has sent nothing for so long that it is dropped. One that is
// not suspected may miss a status, and in a large fleet far ones are minutes apart. One that is
// suspected is kept as long as its flows may live: they can't be proved gone if their agent is not
// known.
func (a *agentView) isExpired(l FlowLifetime, now time.Duration) bool {
	if a.suspicion.since != 0 {
		return now-max(a.lastSeen, a.suspicion.since) > l.limit()
	}
	return now-a.lastSeen > max(expiryTime, maxMissedStatuses*a.status.Interval.Duration()+deliveryMargin)
}

// reachable reports whether the agent's statuses arrive, so that it is expected to answer.
func (a *agentView) reachable(now time.Duration) bool {
	return a.lastSeen != 0 && a.suspicion.since == 0 && !a.silent(now)
}

// silent reports whether the agent's next status is overdue.
func (a *agentView) silent(now time.Duration) bool {
	return now-a.lastSeen > max(maxMissedStatuses*a.status.Interval.Duration(), minSilence)+deliveryMargin
}

// near reports whether the agent sends its status to this balancer often.
func (a *agentView) near() bool {
	return a.lastSeen != 0 && a.status.Interval.Duration() <= LargeFleetInterval
}

// knowsHomes reports whether the balancer knows the home set that the agent uses: either
// the agent listed it, or it equals the balancer's own set.
func (a *agentView) knowsHomes(own *homeSet) bool {
	if own.hasDigest(a.status.Homes) {
		a.homes = *own
	}
	return a.homes.hasDigest(a.status.Homes)
}

// unseenTimeout is the time after which a recorded agent is considered gone if it never
// sends a status. The agent has been sent this balancer's status by then. The VM behind a
// record may have died long ago.
const unseenTimeout = 2 * time.Second

// mayHoldFlows reports whether the agent may hold flows.
func (a *agentView) mayHoldFlows(now time.Duration) bool {
	return a.mayBeAlive(now) || a.reachable(now) && !a.holdsNoFlows()
}

// isPreviousLife reports whether l identifies an earlier run of the agent.
func (a *agentView) isPreviousLife(l Life) bool {
	return l != 0 && slices.Contains(a.previousLives[:], l)
}

// holdsNoFlows reports whether the agent has reported that it has no upstream with flows.
func (a *agentView) holdsNoFlows() bool {
	return a.status.State == UpstreamGone || a.status.State == UpstreamAbsent
}

// mayBeAlive reports whether an agent that is silent may still hold flows, which is so
// until it has left enough verifications unanswered.
//
// An agent holds no flows if its upstream had deregistered, or refused a connection. VMs of such
// agents are removed soon afterwards and must not delay the callers of other upstreams.
func (a *agentView) mayBeAlive(now time.Duration) bool {
	switch {
	case a.holdsNoFlows():
		return false
	case a.lastSeen == 0:
		return now < a.discovered+unseenTimeout
	}
	return !a.suspicion.confirmed(now)
}
