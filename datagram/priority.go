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
	// fullAt is the load at which an opening is declined even if all agents are busy, and
	// fullAtUrgent the same for urgent routes, where the time that an opening has left or the
	// upstream's service time is not known.
	fullAt       = 2
	fullAtUrgent = 3
	// lateAt and lateAtUrgent are the same for openings that will be late anyway. They only
	// get the capacity that openings still in time leave over. When all callers return at
	// once, a queue in order of arrival would make all of them late for as long as the
	// queue lasts.
	lateAt       = 1
	lateAtUrgent = 1.5
	// repeatedShare is the share of the time left that the answer to an opening which is not
	// urgent may take. The rest is for urgent requests that come behind it: with 0.7, 0.94 of
	// them are in time at 2.5 times the load that upstreams bear, with 0.6, 0.99.
	repeatedShare = 0.6
)

// load is what an agent knows of its upstream's load, and of the time that an opening has left.
type load struct {
	requests, slots int
	full            bool          // the upstream rejects further requests
	limit           float64       // the fixed limit, in requests per slot
	serviceTime     time.Duration // 0 means unknown
	left            time.Duration // 0 means unknown
}

// declines reports whether an opening of the priority is declined at the load. The limits are
// derived from the time that it has left, where this and the service time are known. Otherwise
// they are fixed, and always for openings that will be late. The first attempt keeps the fixed
// limit as well, because another upstream may be idle.
func (p Priority) declines(x load) bool {
	reached := float64(x.requests) >= x.limit*float64(x.slots)
	if x.serviceTime == 0 || x.left == 0 || x.requests < x.slots {
		return reached
	}
	d := responseTime(x.serviceTime, x.requests, x.slots)
	switch p {
	case PriorityFirst:
		return reached || d > x.left
	case PriorityRepeated:
		return x.full || float64(d) > repeatedShare*float64(x.left)
	case PriorityUrgent:
		return x.full || d > x.left
	}
	return reached
}

// isComputed reports whether the limit of the priority may depend on more than the load, so that
// only the agent knows it.
func (p Priority) isComputed(hasTarget bool) bool {
	return p == PriorityUrgent || p == PriorityRepeated && hasTarget
}

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
	case o.isLate(now) && o.urgent:
		return PriorityLateUrgent
	case o.isLate(now):
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
