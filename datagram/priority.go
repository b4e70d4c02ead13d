package datagram

import "time"

// Priority orders openings for an upstream that has much to do. An agent declines those
// of each priority from another load on; who is declined everywhere waits at its
// balancer.
type Priority uint8

// Priorities.
const (
	// PriorityFirst is of an opening that may still find an idle upstream.
	PriorityFirst Priority = iota
	// PriorityRepeated: every agent was busy.
	PriorityRepeated
	// PriorityUrgent: and its route goes before others of the service.
	PriorityUrgent
	// PriorityLate, PriorityLateUrgent: it has waited too long to be in time.
	PriorityLate
	PriorityLateUrgent
	priorityEnd
)

const (
	// busyAt is the requests for each slot from which on an opening is better placed
	// elsewhere: its request would wait about as long as one is worked on.
	busyAt = 2
	// fullAt is the requests for each slot from which on an opening is not taken even
	// if all are busy, fullAtUrgent the same for urgent routes, so that these wait for
	// nobody but each other.
	fullAt       = 2
	fullAtUrgent = 3
	// lateAt and lateAtUrgent are the same for openings that will be late anyway. They
	// are served with what is left over by those that can still be in time: when
	// everybody returns at once, a queue in the order of arrival makes all of them
	// late, for as long as the queue lasts.
	lateAt       = 1
	lateAtUrgent = 1.5
)

// limit returns the requests for each slot from which on an opening is declined.
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

// repeated returns the priority of an opening that every agent declined.
func (o *opening) repeated(now time.Duration) Priority {
	switch {
	case o.late(now) && o.urgent:
		return PriorityLateUrgent
	case o.late(now):
		return PriorityLate
	case o.urgent:
		return PriorityUrgent
	}
	return PriorityRepeated
}

// late reports whether the opening has waited for so long that its request can't be
// answered within its aim: an upstream with two requests a slot takes twice a
// request's work, which is nearly half of the aims of today's routes.
func (o *opening) late(now time.Duration) bool {
	return o.aim > 0 && now-o.started > o.aim/2
}
