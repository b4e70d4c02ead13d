// Package waitqueue orders what waits for a place at an upstream.
//
// Entries that can still be in time come first, those of the higher priority before the others.
// Among entries of the same priority, Order decides. Entries that are late follow: they get only
// the places that the others leave over. Whether an entry is late depends on how long an answer
// takes at the moment, so it is decided when a place is free, in one pass over the entries. The
// queue is short enough for that, and nothing is sorted while no place is free.
//
// The package knows nothing about what waits. It has no clock: times are passed in as durations
// since any fixed moment.
package waitqueue

import (
	"math"
	"slices"
	"time"
)

// Priority is the priority of an entry; smaller values come first.
type Priority uint8

// Priorities.
const (
	Urgent Priority = iota
	Normal
	// PriorityCount is the number of priorities.
	PriorityCount
)

var priorityNames = [PriorityCount]string{"urgent", "normal"}

// String returns the name of the priority.
func (p Priority) String() string {
	if p >= PriorityCount {
		return "invalid"
	}
	return priorityNames[p]
}

// Order is the order among entries of the same priority that can be in time.
type Order uint8

// Orders.
const (
	// LeastTimeLeft serves first what would be late first. Under overload it keeps a stock of
	// entries that can be in time, so that a gap in the arrivals costs nothing.
	LeastTimeLeft Order = iota
	// NewestFirst and OldestFirst exist for comparison.
	NewestFirst
	OldestFirst
)

const (
	// MaxEntries and MaxBytes bound a queue: what is behind so many entries is late.
	MaxEntries = 512
	MaxBytes   = 256 << 10
)

// Never is the time of something that does not happen.
const Never time.Duration = math.MaxInt64

// Entry is something that waits. Its fields must not be changed while it is in a queue.
type Entry[T any] struct {
	Value    T
	Priority Priority
	Size     int           // in bytes
	Since    time.Duration // when it arrived
	Due      time.Duration // when its answer must have begun; Never if there is no such time
	expires  time.Duration
	queued   bool
}

// Queued reports whether the entry is in a queue.
func (e *Entry[T]) Queued() bool { return e != nil && e.queued }

// IsLate reports whether the entry misses its time if its answer begins after d.
func (e *Entry[T]) IsLate(now, d time.Duration) bool { return e.Due-now < d }

// TimeLeft returns the time until the entry is due, which is negative afterwards. It returns 0
// if there is no such time.
func (e *Entry[T]) TimeLeft(now time.Duration) time.Duration {
	if e.Due == Never {
		return 0
	}
	return e.Due - now
}

// Queue is a bounded set of entries. Its zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	Order Order

	entries []*Entry[T] // in the order of arrival
	lengths [PriorityCount]int
	bytes   int
	expires time.Duration // not after the earliest expiry of an entry
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Length returns the number of entries of a priority.
func (q *Queue[T]) Length(p Priority) int { return q.lengths[p] }

// Bytes returns the size of all entries.
func (q *Queue[T]) Bytes() int { return q.bytes }

// Push adds an entry that may wait until it expires. It returns nil if the queue is full.
func (q *Queue[T]) Push(x Entry[T], expires time.Duration) *Entry[T] {
	if len(q.entries) >= MaxEntries || x.Size < 0 || q.bytes+x.Size > MaxBytes || x.Priority >= PriorityCount {
		return nil
	}
	e := &x
	e.expires, e.queued = expires, true
	if len(q.entries) == 0 || expires < q.expires {
		q.expires = expires
	}
	q.entries = append(q.entries, e)
	q.lengths[e.Priority]++
	q.bytes += e.Size
	return e
}

// Remove removes an entry. It returns false if the entry is not in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if !e.Queued() {
		return false
	}
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.lengths[e.Priority]--
	q.bytes -= e.Size
	e.queued = false
	return true
}

// Extend postpones the expiry of an entry.
func (q *Queue[T]) Extend(e *Entry[T], expires time.Duration) { e.expires = max(e.expires, expires) }

// Next returns the first entry in the order of the queue for which ok returns true, or nil. d is
// how long it takes until the answer of an entry that is taken now begins.
func (q *Queue[T]) Next(now, d time.Duration, ok func(*Entry[T]) bool) *Entry[T] {
	var first *Entry[T]
	for _, e := range q.entries {
		if (first == nil || q.precedes(e, first, now, d)) && ok(e) {
			first = e
		}
	}
	return first
}

// precedes reports whether e, which arrived after x, comes before it.
func (q *Queue[T]) precedes(e, x *Entry[T], now, d time.Duration) bool {
	late := e.IsLate(now, d)
	switch {
	case late != x.IsLate(now, d):
		return !late
	case e.Priority != x.Priority:
		return e.Priority < x.Priority
	case late || q.Order == NewestFirst:
		return true // the caller of the newest is the least likely to have left
	}
	return q.Order == LeastTimeLeft && e.Due < x.Due
}

// Expired returns the first entry to have arrived that has expired, or nil.
func (q *Queue[T]) Expired(now time.Duration) *Entry[T] {
	if len(q.entries) == 0 || now < q.expires {
		return nil
	}
	q.expires = Never
	for _, e := range q.entries {
		if e.expires <= now {
			q.expires = now // there may be others
			return e
		}
		q.expires = min(q.expires, e.expires)
	}
	return nil
}

// NextExpiry returns a time not after the next expiry of an entry, or Never.
func (q *Queue[T]) NextExpiry() time.Duration {
	if len(q.entries) == 0 {
		return Never
	}
	return q.expires
}
