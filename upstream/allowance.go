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
	// Began is when the work was given to the upstream.
	Began time.Time
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
	// slowFactor over the usual time is slow, and slowRun slow answers in a row
	// are a sign of coldness: one may be a page that is rarely asked for.
	slowFactor = 4
	slowRun    = 3
	// slowLeast keeps the noise of very fast answers from being one.
	slowLeast = 20 * time.Millisecond
	// The usual time follows a faster answer by a quarter and a slower one by a
	// sixty-fourth, so that it stays near the fast answers and a slow phase of
	// another cause doesn't hide a cold start.
	usualDown = 4
	usualUp   = 64
)

// Allowance is how much work an upstream may have now.
type Allowance struct {
	limits  bundle.Limits
	allowed int
	good    int
	usual   time.Duration
	slow    int
	// fell is when the last cold start was found.
	fell time.Time
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

// learnTime learns from the time to an answer's first byte. It is heard before the
// work ends: the answer may take long to reach its caller.
func (a *Allowance) learnTime(began time.Time, took time.Duration) (cold bool) {
	switch {
	case a.isOld(began):
		return false
	case a.isSlow(took):
		return a.fall()
	}
	a.remember(took)
	return false
}

// isOld reports whether the work was begun before the upstream turned cold. Such work
// ends well and fast after it; counted as good answers of the cold upstream it would
// widen the allowance at once.
func (a *Allowance) isOld(began time.Time) bool {
	return !began.IsZero() && began.Before(a.fell)
}

// fall takes the allowance back to the start and reports whether it was wider.
func (a *Allowance) fall() (cold bool) {
	a.slow, a.fell = 0, time.Now()
	cold = a.allowed > a.limits.ColdStart.Slots
	a.allowed, a.good = min(a.limits.ColdStart.Slots, a.limits.Slots), 0
	return cold
}

func (a *Allowance) learn(s Sign) (cold, warm bool) {
	switch {
	case a.isOld(s.Began), s.Kind == SignNone:
		return false, false
	case s.Kind == SignBad:
		return a.fall(), false
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

// isSlow reports whether the answer ends a run of slow ones.
func (a *Allowance) isSlow(d time.Duration) bool {
	switch {
	case a.usual == 0:
	case d > max(a.usual*slowFactor, slowLeast):
		a.slow++
	default:
		a.slow = 0
	}
	return a.slow >= slowRun
}

func (a *Allowance) remember(d time.Duration) {
	switch {
	case a.usual == 0:
		a.usual = d
	case d < a.usual:
		a.usual += (d - a.usual) / usualDown
	default:
		a.usual += (d - a.usual) / usualUp
	}
}
