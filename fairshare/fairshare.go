// Package fairshare shares a service's capacity among client accounts while there is less of it
// than they ask for.
//
// A Sharer counts the openings of each account in windows of a second, with a count-min sketch, and
// keeps the heaviest accounts. It also counts how many openings were served. From these it derives
// the max-min fair threshold: the rate t for which the sum of min(rate, t) over all accounts is what
// was served. An account up to t is never limited. One that is clearly above t keeps its precedence
// with probability t/rate. What was served stands for the capacity, and not the admission level,
// because at the lowest level openings are still served when there are places.
//
// Routers spread the flows of an account over the balancers of a zone, so a balancer's own counts
// are a sample of the service's, and nothing is exchanged. The state is bounded, whatever the number
// of accounts.
package fairshare

import (
	"encoding/binary"
	"math"
	"time"

	boom "github.com/tylertreat/BoomFilters"
)

// Account identifies the callers that share one fate.
type Account uint64

const (
	// window is the time over which openings are counted. The current and the previous window
	// count, so that a rate is known from one to two seconds after it began.
	window = time.Second
	// heaviest is the number of accounts whose rates are known. More than this can't each have a
	// large part of the load.
	heaviest = 32
	// The sketch overestimates a count by at most sketchError of the total, with a probability of
	// 1-sketchDoubt.
	sketchError = 0.005
	sketchDoubt = 0.01
	// minRate is the number of openings in two windows up to which an account is not limited.
	// Below it, and within noise standard deviations of a Poisson process from the threshold, a
	// rate is chance.
	minRate = 8
	noise   = 3
	// refreshInterval is how long a computed threshold is used.
	refreshInterval = 100 * time.Millisecond
)

// Sharer counts openings and limits the accounts with the most. The zero value is ready for use.
type Sharer struct {
	current, previous counts
	started           time.Duration // when the current window began
	threshold         float64       // openings in two windows
	computedAt        time.Duration
	computed          bool
}

// counts holds the openings of a window.
type counts struct {
	top   *boom.TopK
	total uint64
	// served is the number of openings that an upstream accepted.
	served uint64
	seen   *boom.CountMinSketch
	// accounts is the number of distinct accounts, as far as the sketch tells them apart.
	accounts uint64
}

func newCounts() counts {
	return counts{top: boom.NewTopK(sketchError, sketchDoubt, heaviest), seen: boom.NewCountMinSketch(sketchError, sketchDoubt)}
}

func (c *counts) add(k []byte) {
	if c.seen.Count(k) == 0 {
		c.accounts++
	}
	c.seen.Add(k)
	c.top.Add(k)
	c.total++
}

func (c *counts) of(k []byte) uint64 {
	if c.seen == nil {
		return 0
	}
	return c.seen.Count(k)
}

// Note counts an opening of the account.
func (s *Sharer) Note(a Account, now time.Duration) {
	s.advance(now)
	s.current.add(key(a))
}

// Served counts an opening that an upstream accepted.
func (s *Sharer) Served(now time.Duration) {
	s.advance(now)
	s.current.served++
}

// key returns the account in the form in which the sketches count it. They keep it.
func key(a Account) []byte { return binary.BigEndian.AppendUint64(nil, uint64(a)) }

// advance begins a new window if the current one has ended.
func (s *Sharer) advance(now time.Duration) {
	d := now - s.started
	switch {
	case s.current.seen != nil && d >= 0 && d < window:
		return
	case s.current.seen != nil && d >= 0 && d < 2*window:
		s.previous = s.current
	default: // nothing was counted for a window, or the clock went back
		s.previous = counts{}
	}
	s.current, s.started, s.computed = newCounts(), now, false
}

// Share is what an account gets.
type Share struct {
	// Limited: the account asks for clearly more than its fair share.
	Limited bool
	// Probability with which its openings keep their precedence; 1 unless it is limited.
	Probability float64
	// Rate is the account's number of openings in up to two seconds, Threshold its fair share.
	Rate, Threshold float64
}

// Of returns what the account gets.
func (s *Sharer) Of(a Account, now time.Duration) Share {
	s.advance(now)
	if !s.computed || now-s.computedAt >= refreshInterval {
		s.threshold, s.computedAt, s.computed = s.fairThreshold(), now, true
	}
	k := key(a)
	x := Share{Probability: 1, Rate: float64(s.current.of(k) + s.previous.of(k)), Threshold: max(s.threshold, 1)}
	if x.Rate > minRate && x.Rate > x.Threshold+noise*math.Sqrt(x.Threshold) {
		x.Limited, x.Probability = true, x.Threshold/x.Rate
	}
	return x
}

// fairThreshold returns the threshold for what was served. Accounts that are not among the heaviest
// count with their mean.
func (s *Sharer) fairThreshold() float64 {
	rates := s.heaviestRates()
	rest := float64(s.current.total + s.previous.total)
	for _, r := range rates {
		rest -= r
	}
	others := int(max(s.current.accounts, s.previous.accounts)) - len(rates)
	if rest < 0 || others < 0 {
		rest, others = 0, 0
	}
	return threshold(rates, rest, others, float64(s.current.served+s.previous.served))
}

// heaviestRates returns the rates of the heaviest accounts.
func (s *Sharer) heaviestRates() []float64 {
	var out []float64
	known := map[string]bool{}
	for _, c := range []*counts{&s.current, &s.previous} {
		if c.top == nil {
			continue
		}
		for _, e := range c.top.Elements() {
			if !known[string(e.Data)] {
				known[string(e.Data)] = true
				out = append(out, float64(s.current.of(e.Data)+s.previous.of(e.Data)))
			}
		}
	}
	return out
}
