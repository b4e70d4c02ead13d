package datagram

import (
	"slices"
	"time"
)

const (
	// silentStatuses, silentLeast and silentDelay are how long an agent may be
	// silent: two of its statuses and their way, so that one lost datagram is no
	// doubt, and not less than three of a small site's.
	silentStatuses = 2
	silentLeast    = 3 * StatusEvery
	silentDelay    = 100 * time.Millisecond
	// forgottenAfter is when an agent that nobody hears and no record names is
	// forgotten: longer than a restart, and than flows can wait for it.
	forgottenAfter = 30 * time.Second
	// doubtAfter is how many openings in a row an agent leaves unanswered before
	// others are tried first; a lost datagram is one.
	doubtAfter = 1
)

// agentView is what a balancer knows of an agent.
type agentView struct {
	ip         IP
	key        uint64
	status     AgentStatus
	recorded   bool
	noted      time.Duration // when it was known first
	heard      time.Duration // 0: never
	started    time.Duration
	missed     int // openings left unanswered since it was heard
	suspicion  suspicion
	toldStatus time.Duration // when this balancer told the agent its own status
	differs    difference
	homes      homeSet // among which it chooses homes, if it knows the digest in the status
	work       int     // flows and requests there, by its latest word
	asked      int     // openings that it has not answered yet
	// declined is when it said that it is busy, by the opening's priority.
	declined [priorityEnd]time.Duration
	former   [4]Life
}

// class orders agents for openings; a lower one is tried first.
type class uint8

const (
	classReady class = iota
	classCold
	classUnknown
	classDoubted
	// classNever agents would refuse, so they aren't asked.
	classNever
)

func (a *agentView) class(now time.Duration, out map[ZoneKey]bool) class {
	s := &a.status
	switch {
	case out[s.Zone], s.Leaving, s.State == UpstreamDraining, s.State == UpstreamGone, s.State == UpstreamAbsent:
		return classNever
	case a.missed >= doubtAfter, a.suspicion.since != 0, s.State == UpstreamSilent:
		return classDoubted
	case a.heard == 0:
		// Recorded, and not heard yet: a balancer that has just started would
		// otherwise send everything to the first agent that it hears.
		return classReady
	case a.silent(now):
		return classDoubted
	case s.State == UpstreamUnknown:
		return classUnknown
	case s.Cold.Duration() > now-a.heard:
		return classCold
	}
	return classReady
}

// load is the flows and requests at the agent's upstream, by its size. A request counts
// as much as a flow: with more, feeds gather where few requests are.
func (a *agentView) load() float64 {
	return float64(a.work+a.asked) / float64(max(a.status.Slots, 1))
}

// answered takes in the load that comes with an answer to an opening, which is newer than
// the last status.
func (a *agentView) answered(load uint16) {
	a.work, a.asked = int(load), max(0, a.asked-1)
}

// busyFor is how long an agent that declined an opening is not asked again with the same
// limit or a lower one: about the time in which its upstream ends a request. It keeps
// openings that wait from costing more messages than small balancers can send.
const busyFor = 20 * time.Millisecond

// carefulFor is how long after that it is asked by one opening at a time: those that
// wait do so in step, and would all ask before the first is declined.
const carefulFor = 200 * time.Millisecond

// busy reports whether the agent would decline an opening of the priority, as far as is
// known.
func (a *agentView) busy(p Priority, now time.Duration) bool {
	since := now - a.declined[p]
	return a.declined[p] != 0 && (since < busyFor || since < carefulFor && a.asked > 0)
}

// decline notes that the agent declined an opening of the priority, with so many requests
// there: it would decline all that are held to a limit that these reach.
func (a *agentView) decline(p Priority, requests int, now time.Duration) {
	for q := range priorityEnd {
		if q == p || q.limit()*float64(max(a.status.Slots, 1)) <= float64(requests) {
			a.declined[q] = now
		}
	}
}

// newer reports whether the status is later than what is known.
//
// A datagram of a former life that comes late would set a restarted agent back
// to what it was, such as ready while it now drains. It shows as a life that was
// followed by another, or an older sequence; clocks play no part, as they jump.
func (a *agentView) newer(s *AgentStatus, now time.Duration) bool {
	if s.Life == a.status.Life {
		return s.Sequence > a.status.Sequence
	}
	if a.wasBefore(s.Life) {
		return false
	}
	return a.heard == 0 || now-s.Uptime.Duration() > a.started
}

// nearEnough reports whether the agent, of the own availability zone, is taken
// rather than o: it has a free slot, and is not much fuller.
//
// Crossings between zones cost bytes and time. But zones' callers are not as many as
// their upstreams can serve, so flows stay at home only as long as that costs no waiting.
func (a *agentView) nearEnough(o *agentView) bool {
	return int(a.status.UnderWay)+a.asked < int(max(a.status.Slots, 1)) && a.load() <= nearLoad*o.load()+1/float64(max(a.status.Slots, 1))
}

// nearLoad is how much fuller an upstream of the own zone may be; it keeps the busiest
// near the mean.
const nearLoad = 1.1

// reachable reports whether the agent is heard, and so would answer.
func (a *agentView) reachable(now time.Duration) bool {
	return a.heard != 0 && a.suspicion.since == 0 && !a.silent(now)
}

// silent reports whether the agent's statuses are overdue.
func (a *agentView) silent(now time.Duration) bool {
	return now-a.heard > max(silentStatuses*a.status.Every.Duration(), silentLeast)+silentDelay
}

// near reports whether the agent tells this balancer often.
func (a *agentView) near() bool {
	return a.heard != 0 && a.status.Every.Duration() <= LargeEvery
}

// knowsHomes reports whether it is known among which balancers the agent chooses homes:
// those that it listed, or this balancer's own.
func (a *agentView) knowsHomes(own *homeSet) bool {
	if own.knows(a.status.Homes) {
		a.homes = *own
	}
	return a.homes.knows(a.status.Homes)
}

// unheardAfter is when an agent is held for gone that is recorded, was told of this
// balancer since it started, and was not heard. A VM that died long ago may still have its
// record.
const unheardAfter = 2 * time.Second

// mayHold reports whether the agent may hold flows.
func (a *agentView) mayHold(now time.Duration) bool {
	return a.mayLive(now) || a.reachable(now) && !a.holdsNone()
}

// wasBefore reports whether the life is an earlier one of the agent.
func (a *agentView) wasBefore(l Life) bool { return l != 0 && slices.Contains(a.former[:], l) }

// holdsNone reports whether the agent said that it has no upstream with flows.
func (a *agentView) holdsNone() bool {
	s := &a.status
	return s.State == UpstreamGone || s.State == UpstreamAbsent ||
		s.State == UpstreamUnknown && s.KnowsAll && s.Uptime.Duration() > announcedWithin
}

// mayLive reports whether a silent agent may still hold flows: until it has left questions
// unanswered.
//
// Those whose upstream had deregistered, or had not been heard for as long as one that
// lives needs, hold none. Their VMs are taken away soon after, and must not hold up the
// callers of other upstreams.
func (a *agentView) mayLive(now time.Duration) bool {
	switch {
	case a.holdsNone():
		return false
	case a.heard == 0:
		return now < a.noted+unheardAfter
	}
	return !a.suspicion.confirmed(now)
}
