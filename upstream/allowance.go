// This file decides how many slots of an upstream may be used. A cold upstream
// starts with the cold-start slots of the bundle. Each series of good responses
// doubles the slots up to the upstream's limit. Any sign that the upstream is cold
// sets them back to the start: a refused connection, an error, a shed request, or
// responses much slower than usual for this upstream.
//
// Health and load endpoints are not used. They lag, and may report a healthy
// upstream while every response is late. The trade-off is a slower warm-up, which
// takes one series of responses for each doubling.

package upstream

import (
	"time"

	"pomeloway.example/pomeloway/bundle"
)

// Feedback says what the end of one request shows about the upstream.
type Feedback struct {
	Kind FeedbackKind
	// Began is when the request was sent to the upstream.
	Began time.Time
}

// FeedbackKind classifies how a request ended.
type FeedbackKind uint8

// Kinds of feedback.
const (
	// FeedbackNone says nothing about the upstream, for example because the
	// caller canceled the request.
	FeedbackNone FeedbackKind = iota
	// FeedbackGood is a complete response.
	FeedbackGood
	// FeedbackBad is a refused connection, an error or a shed request.
	FeedbackBad
)

const (
	// A response is slow if it takes more than slowFactor times the baseline
	// latency. Only slowStreak slow responses in a row mark the upstream as cold,
	// since a single one may be a page that is rarely requested.
	slowFactor = 4
	slowStreak = 3
	// minSlowLatency keeps jitter of very fast responses from counting as slow.
	minSlowLatency = 20 * time.Millisecond
	// The baseline moves towards a faster response by a quarter of the difference
	// and towards a slower one by a sixty-fourth. It thus stays near the fast
	// responses, and a slow phase of another cause does not hide a cold start.
	fasterDivisor = 4
	slowerDivisor = 64
)

// Allowance is the adaptive concurrency limit of an upstream.
type Allowance struct {
	limits bundle.Limits
	// allowed is the number of requests that may be in flight now.
	allowed int
	// good counts the good responses since the last doubling.
	good int
	// baseline is a moving average of the time to first byte.
	baseline time.Duration
	// slow counts the slow responses in a row.
	slow int
	// coldSince is when the last cold start was detected.
	coldSince time.Time
}

// setLimits sets the limits. The first call starts the upstream cold.
func (a *Allowance) setLimits(l bundle.Limits, first bool) {
	a.limits = l
	if first {
		a.allowed = l.ColdStart.Slots
	}
	a.allowed = min(a.allowed, l.Slots)
}

// Slots returns how many requests may be in flight now.
func (a *Allowance) Slots() int { return a.allowed }

// Warm reports whether all slots of the upstream may be used.
func (a *Allowance) Warm() bool { return a.allowed >= a.limits.Slots }

// recordLatency updates the allowance with a response's time to first byte, and
// reports whether it found the upstream cold. It is called before the request
// ends, since the response may take long to reach its caller.
func (a *Allowance) recordLatency(began time.Time, took time.Duration) (cold bool) {
	switch {
	case a.precedesColdStart(began):
		return false
	case a.addLatency(took):
		return a.resetToCold()
	}
	a.updateBaseline(took)
	return false
}

// precedesColdStart reports whether a request that began at the time began before
// the last cold start. Such requests may still end well and fast; counted as good
// responses of the cold upstream, they would raise the allowance at once.
func (a *Allowance) precedesColdStart(began time.Time) bool {
	return !began.IsZero() && began.Before(a.coldSince)
}

// resetToCold sets the allowance to the cold-start slots and reports whether it
// was higher.
func (a *Allowance) resetToCold() (cold bool) {
	a.slow, a.coldSince = 0, time.Now()
	cold = a.allowed > a.limits.ColdStart.Slots
	a.allowed, a.good = min(a.limits.ColdStart.Slots, a.limits.Slots), 0
	return cold
}

// applyFeedback updates the allowance when a request has ended. It reports whether
// it found the upstream cold, or whether the upstream became fully warm.
func (a *Allowance) applyFeedback(s Feedback) (cold, warm bool) {
	switch {
	case a.precedesColdStart(s.Began), s.Kind == FeedbackNone:
		return false, false
	case s.Kind == FeedbackBad:
		return a.resetToCold(), false
	}
	if a.Warm() {
		return false, false
	}
	a.good++
	if a.good < a.limits.ColdStart.Answers {
		return false, false
	}
	a.good = 0
	a.allowed = min(a.allowed*2, a.limits.Slots)
	return false, a.Warm()
}

// addLatency counts slow responses in a row and reports whether there were at
// least slowStreak.
func (a *Allowance) addLatency(d time.Duration) bool {
	switch {
	case a.baseline == 0:
	case d > max(a.baseline*slowFactor, minSlowLatency):
		a.slow++
	default:
		a.slow = 0
	}
	return a.slow >= slowStreak
}

// updateBaseline moves the baseline towards the latency of a response.
func (a *Allowance) updateBaseline(d time.Duration) {
	switch {
	case a.baseline == 0:
		a.baseline = d
	case d < a.baseline:
		a.baseline += (d - a.baseline) / fasterDivisor
	default:
		a.baseline += (d - a.baseline) / slowerDivisor
	}
}
