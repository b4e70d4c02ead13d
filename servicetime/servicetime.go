// Package servicetime estimates how long an upstream processes a request: by route and for all
// routes together. The time in the upstream's queue does not count.
package servicetime

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Each estimate is taken from a window of the latest service times. Two rules make it follow a
// change of speed. If the median of the latest few times differs from the window's median by a
// factor, the older times are dropped. Times that are too old are dropped as well, so an
// upstream without requests becomes unknown. Medians are compared because single requests that
// take several times as long must not count as a change.

const (
	// windowSize keeps the mean within a fifth where 3% of the requests take 7 times as long.
	windowSize = 64
	// recentCount is how many of the latest times are compared with the window. With fewer, the
	// usual variation of a factor of three between requests would count as a change.
	recentCount = 12
	// dropFactor is the factor between medians that counts as a change. A factor of 1.5 dropped
	// times once in about a thousand requests that took between half and one and a half of the
	// mean.
	dropFactor = 1.8
	// afterChange is how many times are kept after a change. About as many of the latest times
	// are of the new speed when the change is found.
	afterChange = recentCount / 2
	// ChangeFactor is the factor by which speeds must differ to count as different.
	ChangeFactor = 1.5
	// minSamples is how many times an estimate needs.
	minSamples = 4
	// maxAge is the age from which a time is not used.
	maxAge = 10 * time.Second
	// maxRoutes bounds the memory. One more replaces the route that was unused for longest.
	maxRoutes = 32
	// utilizationHalfLife covers some dozens of requests under load.
	utilizationHalfLife = time.Second
	// tailQuantile is the share of requests that the tail time covers.
	tailQuantile = 0.9
)

// Estimate describes the service times of an upstream. The zero value means that they are not
// known.
type Estimate struct {
	Mean, Deviation time.Duration
	// Tail is the time that nine in ten requests do not exceed.
	Tail    time.Duration
	Samples int
}

// Known reports whether there were enough requests.
func (e Estimate) Known() bool { return e.Samples >= minSamples }

// DiffersFrom reports whether both the mean and the tail differ from those of o by ChangeFactor
// in the same direction. The mean alone can differ because of few long requests.
func (e Estimate) DiffersFrom(o Estimate) bool {
	slower := func(a, b Estimate) bool {
		return float64(a.Mean) >= ChangeFactor*float64(b.Mean) && float64(a.Tail) >= ChangeFactor*float64(b.Tail)
	}
	return slower(e, o) || slower(o, e)
}

// Estimator estimates the service times of one upstream. Routes are identified by R. The zero
// value is ready for use.
type Estimator[R comparable] struct {
	all    window
	routes map[R]*window

	utilization float64 // decaying mean of the share of slots in use
	queue       float64 // decaying mean of the requests that wait, per slot
	inUse       float64
	waiting     float64
	since       time.Duration // when the requests were first counted
	countedAt   time.Duration
	counted     bool
}

// Add records that a request took d in a slot and ended now.
func (e *Estimator[R]) Add(d, now time.Duration) { e.all.add(d, now) }

// AddTo records the time of a request for the estimate of its route.
func (e *Estimator[R]) AddTo(r R, d, now time.Duration) {
	w := e.routes[r]
	if w == nil {
		if e.routes == nil {
			e.routes = map[R]*window{}
		}
		if len(e.routes) >= maxRoutes {
			e.evict()
		}
		w = &window{}
		e.routes[r] = w
	}
	w.add(d, now)
}

// evict removes the route whose latest request ended first.
func (e *Estimator[R]) evict() {
	var oldest R
	at := time.Duration(math.MaxInt64)
	for r, w := range e.routes {
		if l := w.latest(); l < at {
			oldest, at = r, l
		}
	}
	delete(e.routes, oldest)
}

// Overall returns the estimate for all routes together.
func (e *Estimator[R]) Overall(now time.Duration) Estimate { return e.all.estimate(now) }

// Route returns the estimate for the route.
func (e *Estimator[R]) Route(r R, now time.Duration) Estimate {
	if w := e.routes[r]; w != nil {
		return w.estimate(now)
	}
	return Estimate{}
}

// Count records that the upstream has n requests from now on, in process or queued.
func (e *Estimator[R]) Count(n, slots int, now time.Duration) {
	if !e.counted {
		e.counted, e.since = true, now
	}
	e.advance(now)
	s := float64(max(slots, 1))
	e.inUse, e.waiting = min(1, float64(n)/s), max(0, float64(n)/s-1)
}

// advance adds the time since the last call to the means.
func (e *Estimator[R]) advance(now time.Duration) {
	if d := now - e.countedAt; d > 0 {
		f := 1 - math.Exp2(-float64(d)/float64(utilizationHalfLife))
		e.utilization += (e.inUse - e.utilization) * f
		e.queue += (e.waiting - e.queue) * f
		e.countedAt = now
	}
}

// Utilization returns the share of slot time that was used over the last seconds. A value above
// 1 means that more requests than slots were waiting. It returns false until requests have been
// counted for a second.
func (e *Estimator[R]) Utilization(now time.Duration) (float64, bool) {
	if !e.counted || now-e.since < utilizationHalfLife {
		return 0, false
	}
	e.advance(now)
	return e.utilization + max(0, e.queue-1)/queueScale, true
}

// queueScale fits a queue of up to about 3.7 requests per slot into the range of the load report,
// which ends at a utilization of 1.27.
const queueScale = 10

// window holds the latest service times, in order of time and sorted by length.
type window struct {
	times  [windowSize]float64
	ends   [windowSize]time.Duration
	first  int
	n      int
	sorted [windowSize]float64
}

// add adds a service time, in place of the oldest if the window is full.
func (w *window) add(d, now time.Duration) {
	w.expire(now)
	if w.n == windowSize {
		w.removeFirst()
	}
	i := (w.first + w.n) % windowSize
	w.times[i], w.ends[i] = float64(max(d, 0)), now
	at, _ := slices.BinarySearch(w.sorted[:w.n], w.times[i])
	copy(w.sorted[at+1:w.n+1], w.sorted[at:w.n])
	w.sorted[at] = w.times[i]
	w.n++
	w.dropBeforeChange()
}

// removeFirst removes the oldest time.
func (w *window) removeFirst() {
	at, _ := slices.BinarySearch(w.sorted[:w.n], w.times[w.first])
	copy(w.sorted[at:w.n-1], w.sorted[at+1:w.n])
	w.first = (w.first + 1) % windowSize
	w.n--
}

// expire removes the times that are too old.
func (w *window) expire(now time.Duration) {
	for w.n > 0 && now-w.ends[w.first] > maxAge {
		w.removeFirst()
	}
}

// latest returns when the latest request ended.
func (w *window) latest() time.Duration { return w.ends[(w.first+w.n+windowSize-1)%windowSize] }

// dropBeforeChange removes the older times if the latest ones differ from the window.
func (w *window) dropBeforeChange() {
	if w.n <= 2*recentCount {
		return
	}
	var recent [recentCount]float64
	for i := range recent {
		recent[i] = w.times[(w.first+w.n-recentCount+i)%windowSize]
	}
	slices.Sort(recent[:])
	// After a change, the latest times are at one end of the sorted ones.
	median, older := recent[recentCount/2], (w.n-recentCount)/2
	if median < dropFactor*w.sorted[older] && dropFactor*median > w.sorted[recentCount+older] {
		return
	}
	for w.n > afterChange {
		w.removeFirst()
	}
}

// estimate returns the estimate, or the zero value if there were too few requests.
func (w *window) estimate(now time.Duration) Estimate {
	w.expire(now)
	if w.n < minSamples {
		return Estimate{}
	}
	s := w.sorted[:w.n]
	mean, deviation := stat.PopMeanStdDev(s, nil)
	return Estimate{
		Mean: time.Duration(mean), Deviation: time.Duration(deviation),
		Tail: time.Duration(stat.Quantile(tailQuantile, stat.Empirical, s, nil)), Samples: w.n,
	}
}
