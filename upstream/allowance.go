// This file decides how many slots of an upstream may be used. A cold upstream
// starts at what the bundle says it bears; each run of good answers doubles that
// up to the limit; a sign of coldness takes it back to the start. Health and load
// end points are not asked: they lag, and say that all is well while every answer
// is late. The signs are the answers themselves: a refused connection, an error,
// shedding, or an answer much slower than this upstream's usual. Given up: speed
// of the warm-up, which takes one run of answers for each doubling.

package upstream

import (
	"time"

	"pomeloway.example/pomeloway/bundle"
)

// Sign is what the end of one piece of work says about the upstream.
type Sign struct {
	Kind SignKind
	// Took is the time to the first byte of the answer of a short request, or
	// zero where it says nothing, as for a long upload.
	Took time.Duration
}

// SignKind is how work ended.
type SignKind uint8

// Kinds of signs.
const (
	// SignNone says nothing: the caller went away, say.
	SignNone SignKind = iota
	// SignGood is a whole answer.
	SignGood
	// SignBad is a refused connection, an error or a shed request.
	SignBad
)

const (
	// slowFactor over the usual time is a sign of coldness.
	slowFactor = 4
	// slowLeast keeps the noise of very fast answers from being one.
	slowLeast = 100 * time.Millisecond
	// usualShare is the weight of one answer in the usual time, 1/16.
	usualShare = 16
)

// Allowance is how much work an upstream may have now.
type Allowance struct {
	limits  bundle.Limits
	allowed int
	good    int
	usual   time.Duration
}

func (a *Allowance) limit(l bundle.Limits, first bool) {
	a.limits = l
	if first {
		a.allowed = l.ColdStart.Slots
	}
	a.allowed = min(a.allowed, l.Slots)
}

// Slots returns the work in flight that the upstream bears now.
func (a *Allowance) Slots() int { return a.allowed }

// Warm reports whether the whole limit is allowed.
func (a *Allowance) Warm() bool { return a.allowed >= a.limits.Slots }

func (a *Allowance) learn(s Sign) (cold, warm bool) {
	switch {
	case s.Kind == SignNone:
		return false, false
	case s.Kind == SignBad || a.slow(s.Took):
		cold = a.allowed > a.limits.ColdStart.Slots
		a.allowed, a.good = min(a.limits.ColdStart.Slots, a.limits.Slots), 0
		return cold, false
	}
	a.remember(s.Took)
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

func (a *Allowance) slow(d time.Duration) bool {
	return a.usual > 0 && d > max(a.usual*slowFactor, slowLeast)
}

func (a *Allowance) remember(d time.Duration) {
	switch {
	case d == 0:
	case a.usual == 0:
		a.usual = d
	default:
		a.usual += (d - a.usual) / usualShare
	}
}
