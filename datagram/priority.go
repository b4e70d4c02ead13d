package datagram

import "time"

// Priority selects the load up to which a busy agent accepts an opening. An opening that
// every agent declines waits at its balancer.
type Priority uint8

// Priorities.
const (
	// PriorityFirst is for the first attempt, while some upstream may still be idle.
	PriorityFirst Priority = iota
	// PriorityRepeated is for an opening that every agent declined as busy.
	PriorityRepeated
	// PriorityUrgent is PriorityRepeated on an urgent route, which takes precedence over
	// other routes of the service.
	PriorityUrgent
	// PriorityLate and PriorityLateUrgent are for openings that have waited too long for
	// their request to meet its target latency.
	PriorityLate
	PriorityLateUrgent
	priorityEnd
)

const (
	// busyAt is the load, in requests per slot, at which an opening should go to another
	// agent: its request would wait about as long as one request takes.
	busyAt = 2
	// fullAt is the load at which an opening is declined even if all agents are busy.
	// fullAtUrgent is the same for urgent routes, where the time that an opening has left or
	// the upstream's service time is not known; see Agent.isBusy.
	fullAt       = 2
	fullAtUrgent = 3
	// lateAt and lateAtUrgent are the same for openings that will be late anyway. They only
	// get the capacity that openings still in time leave over. When all callers return at
	// once, a queue in order of arrival would make all of them late for as long as the
	// queue lasts.
	lateAt       = 1
	lateAtUrgent = 1.5
)

// limit returns the load, in requests per slot, at which an opening is declined.
func (p Priority) limit() float64 {
	switch p {
	case PriorityFirst:
		return busyAt
	case PriorityRepeated:
		return fullAt
	case PriorityLate:
		return lateAt
	case PriorityLateUrgent:
		return lateAtUrgent
	}
	return fullAtUrgent
}

// retryPriority returns the priority of an opening that every agent declined.
func (o *opening) retryPriority(now time.Duration) Priority {
	switch {
	case o.yields(now) && o.urgent:
		return PriorityLateUrgent
	case o.yields(now):
		return PriorityLate
	case o.urgent:
		return PriorityUrgent
	}
	return PriorityRepeated
}

// isLate reports whether the opening has waited so long that its request can't be answered
// within its target latency. An upstream with two requests per slot needs twice the time of
// a request, which is nearly half of the target latency of today's routes.
func (o *opening) isLate(now time.Duration) bool {
	return o.targetLatency > 0 && now-o.started > o.targetLatency/2
}
