package datagram

import (
	"math"
	"slices"
	"time"
)

// An agent sees when requests begin and end at its upstream, which processes them in the
// order of their arrival: some in parallel, the next ones in a queue, and it rejects what
// exceeds its queue. From that the agent derives how long a further request would wait, and
// how many requests the upstream takes.

// requestID numbers the requests at an upstream in the order of their arrival; 0 means none.
type requestID uint32

// requests tracks the requests in progress at an upstream.
type requests struct {
	inProgress []requestID // in the order of arrival
	lastID     requestID
	// busy is the slot time that requests have used, and done how many were processed. Both
	// decay exponentially, so that their quotient follows the current mix of requests.
	busy      time.Duration
	done      float64
	updatedAt time.Duration
	// capacity is the number of requests, in process and queued, from which the upstream
	// rejects more; 0 means that it has not rejected any.
	capacity int
}

const (
	// serviceTimeHalfLife is long enough for some dozens of requests under load.
	serviceTimeHalfLife = 2 * time.Second
	// minServiceTimeSamples is how many requests an estimate of the service time needs.
	minServiceTimeSamples = 4
)

// begin adds a request. It returns its number and how many requests are ahead of it.
func (r *requests) begin(slots int, now time.Duration) (id requestID, ahead int) {
	r.advance(slots, now)
	if r.lastID++; r.lastID == 0 {
		r.lastID++
	}
	ahead = len(r.inProgress)
	r.inProgress = append(r.inProgress, r.lastID)
	return r.lastID, ahead
}

// end removes a request whose answer has begun, and which found the given number of requests
// ahead of it. It returns false if the upstream has rejected it.
//
// The upstream starts requests in order, so one that is answered while as many older ones as
// there are slots have no answer was never started.
func (r *requests) end(id requestID, ahead, slots int, now time.Duration) (processed bool) {
	r.advance(slots, now)
	i := slices.Index(r.inProgress, id)
	if i < 0 {
		return true
	}
	r.inProgress = slices.Delete(r.inProgress, i, i+1)
	if i >= slots {
		r.capacity = max(slots, ahead)
		return false
	}
	r.done++
	if r.capacity > 0 && ahead >= r.capacity {
		r.capacity = ahead + 1
	}
	return true
}

// cancel removes a request that its caller has given up.
func (r *requests) cancel(id requestID, slots int, now time.Duration) {
	r.advance(slots, now)
	if i := slices.Index(r.inProgress, id); i >= 0 {
		r.inProgress = slices.Delete(r.inProgress, i, i+1)
	}
}

// retain drops the requests that are not valid any more.
func (r *requests) retain(valid map[requestID]bool, slots int, now time.Duration) {
	r.advance(slots, now)
	r.inProgress = slices.DeleteFunc(r.inProgress, func(id requestID) bool { return !valid[id] })
}

// count returns how many requests are in progress.
func (r *requests) count() int { return len(r.inProgress) }

// isFull reports whether the upstream is expected to reject a request that arrives behind n
// others.
func (r *requests) isFull(n int) bool { return r.capacity > 0 && n >= r.capacity }

// advance adds the slot time used since the last call.
func (r *requests) advance(slots int, now time.Duration) {
	d := now - r.updatedAt
	if d <= 0 {
		return
	}
	decay := math.Exp2(-float64(d) / float64(serviceTimeHalfLife))
	r.busy = time.Duration(float64(r.busy)*decay) + d*time.Duration(min(len(r.inProgress), slots))
	r.done *= decay
	r.updatedAt = now
}

// serviceTime estimates how long the upstream processes one request; 0 if too few were
// observed.
func (r *requests) serviceTime() time.Duration {
	if r.done < minServiceTimeSamples {
		return 0
	}
	return time.Duration(float64(r.busy) / r.done)
}
