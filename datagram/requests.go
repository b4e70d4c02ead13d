package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/servicetime"
)

// An agent sees when requests begin and end at its upstream, which processes them in the
// order of their arrival: some in parallel, the next ones in a queue, and it rejects what
// exceeds its queue. A request is therefore in a slot from when fewer older ones than slots are in
// progress. From that the agent derives service times, how long a further request would wait, and
// how many requests the upstream takes.

// requestID numbers the requests at an upstream in the order of their arrival; 0 means none.
type requestID uint32

// requests tracks the requests in progress at an upstream.
type requests struct {
	inProgress []requestID // in the order of arrival
	// inSlots is when the first requests of inProgress got their slots.
	inSlots   []time.Duration
	lastID    requestID
	times     servicetime.Estimator[Endpoint]
	updatedAt time.Duration
	// capacity is the number of requests, in process and queued, from which the upstream
	// rejects more; 0 means that it has not rejected any.
	capacity int
}

// begin adds a request. It returns its number and how many requests are ahead of it.
func (r *requests) begin(slots int, now time.Duration) (id requestID, ahead int) {
	if r.lastID++; r.lastID == 0 {
		r.lastID++
	}
	ahead = len(r.inProgress)
	r.inProgress = append(r.inProgress, r.lastID)
	r.update(slots, now)
	return r.lastID, ahead
}

// end removes a request whose answer has begun, and which found the given number of requests
// ahead of it. It returns false if the upstream has rejected it, and otherwise the service time,
// or 0 if the request is not known.
//
// The upstream starts requests in order, so one that is answered while as many older ones as
// there are slots have no answer was never started.
func (r *requests) end(id requestID, ahead, slots int, now time.Duration) (took time.Duration, processed bool) {
	i := slices.Index(r.inProgress, id)
	if i < 0 {
		return 0, true
	}
	since := r.remove(i)
	defer r.update(slots, now)
	if i >= slots {
		r.capacity = max(slots, ahead)
		return 0, false
	}
	if r.capacity > 0 && ahead >= r.capacity {
		r.capacity = ahead + 1
	}
	if since < 0 {
		return 0, true // the number of slots has just grown
	}
	took = max(now-since, 1)
	r.times.Add(took, now)
	return took, true
}

// cancel removes a request that its caller has given up.
func (r *requests) cancel(id requestID, slots int, now time.Duration) {
	if i := slices.Index(r.inProgress, id); i >= 0 {
		r.remove(i)
		r.update(slots, now)
	}
}

// retain drops the requests that are not valid any more.
func (r *requests) retain(valid map[requestID]bool, slots int, now time.Duration) {
	for i := len(r.inProgress) - 1; i >= 0; i-- {
		if !valid[r.inProgress[i]] {
			r.remove(i)
		}
	}
	r.update(slots, now)
}

// remove removes the i-th request. It returns when the request got its slot, or -1 if it has none.
func (r *requests) remove(i int) (since time.Duration) {
	r.inProgress = slices.Delete(r.inProgress, i, i+1)
	if i >= len(r.inSlots) {
		return -1
	}
	since = r.inSlots[i]
	r.inSlots = slices.Delete(r.inSlots, i, i+1)
	return since
}

// count returns how many requests are in progress.
func (r *requests) count() int { return len(r.inProgress) }

// isFull reports whether the upstream is expected to reject a request that arrives behind n
// others.
func (r *requests) isFull(n int) bool { return r.capacity > 0 && n >= r.capacity }

// update notes which requests are in a slot.
func (r *requests) update(slots int, now time.Duration) {
	for len(r.inSlots) < min(slots, len(r.inProgress)) {
		r.inSlots = append(r.inSlots, now)
	}
	r.times.Count(len(r.inProgress), slots, now)
	r.updatedAt = now
}

// serviceTime estimates how long the upstream processes one request; 0 if too few were
// observed.
func (r *requests) serviceTime() time.Duration { return r.times.Overall(r.updatedAt).Mean }
