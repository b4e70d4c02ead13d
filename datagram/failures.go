package datagram

import (
	"math"
	"time"
)

// An upstream that resets flows while it works on their requests fails these requests, though
// its announcements may say that it is well. The callers of requests that are not idempotent
// then can't know whether they have run. Its agent declines the first attempt of openings, so
// that they go to other upstreams as long as these are not busy.

const (
	// failureSampleWeight is the weight of one request in the share of failed ones.
	failureSampleWeight = 1.0 / 16
	// maxFailureShare is the share of failed requests from which an upstream is avoided.
	maxFailureShare = 0.15
	// failureHalfLife is how soon an upstream that gets no requests is tried again.
	failureHalfLife = 4 * time.Second
)

// failures estimates the share of the requests that an upstream fails.
type failures struct {
	share float64
	at    time.Duration
}

// note notes the outcome of a request.
func (x *failures) note(failed bool, now time.Duration) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s := x.current(now)
	x.share, x.at = s+(sample-s)*failureSampleWeight, now
}

func (x *failures) current(now time.Duration) float64 {
	return x.share * math.Exp2(-float64(now-x.at)/float64(failureHalfLife))
}

// isFailing reports whether openings should go to other upstreams.
func (x *failures) isFailing(now time.Duration) bool { return x.current(now) > maxFailureShare }
