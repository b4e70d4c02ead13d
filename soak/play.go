package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

const (
	// startLimit limits the start of a site. It is long, so that a busy machine fails no run.
	startLimit = time.Minute
	// recoveryBound is how long after the last fault callers are served again.
	recoveryBound = 12 * time.Second
	// servedWindow is the time in which at least servedShare of the requests of each class
	// must be answered. A class counts if at least servedMinimum of its requests ended.
	servedWindow  = 3 * time.Second
	servedShare   = 0.95
	servedMinimum = 12
	pollInterval  = 100 * time.Millisecond
)

// result is what one seed gave.
type result struct {
	seed      Seed
	breaches  []string
	requests  int
	recovered time.Duration // after the last fault; negative if not
	stalled   time.Duration
	excused   map[Check]int
	pids      []int // of all programs that were started
}

// play starts a site, runs the plan and checks the promises.
func play(ctx context.Context, c *scenario, binary, dir string) (r result, err error) {
	r = result{seed: c.Seed, recovered: -1}
	s, err := newSite(c.Shape, binary, dir, c.Seed)
	defer func() {
		s.close()
		for _, p := range s.processes {
			r.pids = append(r.pids, p.pids...)
		}
	}()
	if err != nil {
		return r, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var g run.Group
	duty := func(f func(context.Context)) {
		g.Add(func() error { f(ctx); return nil }, func(error) { stop() })
	}
	for _, p := range s.processes[:c.Shape.Balancers] {
		duty(func(ctx context.Context) { s.probe(ctx, p) })
	}
	duty(s.watchStalls)
	g.Add(func() error { return s.script(ctx, c.Faults, &r) }, func(error) { stop() })
	err = g.Run()
	s.locked(func() {
		for _, p := range s.processes {
			for _, x := range p.endedUnasked() {
				s.checks.breach(checkExit, x, "%s", x)
			}
		}
		r.breaches, r.requests, r.excused = s.checks.breaches, s.requests, s.checks.spared
		r.stalled = s.checks.stalled(s.checks.start, time.Now())
	})
	return r, err
}

// script waits until the site serves, plays the faults and waits until it serves again.
func (s *site) script(ctx context.Context, plan []Fault, r *result) error {
	ready := func() bool { return len(s.ready) == s.shape.Balancers && !slices.Contains(values(s.ready), false) }
	if err := s.await(ctx, "balancers are ready", ready); err != nil {
		return err
	}
	go s.load(ctx)
	first := func() bool {
		ok, _ := s.served(time.Time{})
		return ok
	}
	if err := s.await(ctx, "callers are served", first); err != nil {
		return err
	}
	s.locked(func() { s.checks.start = time.Now() })
	ended := make(chan error, len(plan))
	for _, f := range plan {
		go func() { ended <- s.play(ctx, f) }()
	}
	var failed error
	for range plan {
		if err := <-ended; err != nil && failed == nil {
			failed = err
		}
	}
	if failed != nil {
		return failed
	}
	r.recovered = s.awaitRecovery(ctx)
	return ctx.Err()
}

// play plays one fault.
func (s *site) play(ctx context.Context, f Fault) error {
	if !sleepUntil(ctx, s.checks.start.Add(f.At)) {
		return ctx.Err()
	}
	var x *span
	s.locked(func() { x = s.checks.begin(f) })
	s.checks.log.Info("fault begins", "fault", f.String())
	end, err := s.begin(f)
	if err != nil {
		return eris.Wrapf(err, "begin %s", f)
	}
	sleepUntil(ctx, s.checks.start.Add(f.At+f.For))
	err = end()
	s.locked(func() { x.end = time.Now() })
	s.checks.log.Info("fault ended", "fault", f.String())
	return eris.Wrapf(err, "end %s", f)
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}

func values[K comparable, V any](m map[K]V) []V {
	var out []V
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

// await waits until f, which runs under the lock, returns true.
func (s *site) await(ctx context.Context, what string, f func() bool) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); {
		var ok bool
		s.locked(func() { ok = f() })
		for _, p := range s.processes {
			if x := p.endedUnasked(); len(x) > 0 {
				return eris.Errorf("%s, log: %s", x[0], p.log)
			}
		}
		if ok {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return ctx.Err()
		}
	}
	return eris.Errorf("did not happen within %v: %s", startLimit, what)
}

// served reports whether the requests of each class that ended since the time were served, and
// describes how many were.
func (s *site) served(since time.Time) (bool, string) {
	good, sum := map[Class]int{}, map[Class]int{}
	for _, o := range slices.Backward(s.outcomes) {
		if o.at.Before(since) {
			break
		}
		sum[o.class]++
		if o.ok {
			good[o.class]++
		}
	}
	ok := true
	var text []string
	for _, c := range []Class{classFeed, classUrgent, classSecond, classProbe} {
		text = append(text, fmt.Sprintf("%s %d/%d", c, good[c], sum[c]))
		ok = ok && sum[c] >= servedMinimum && float64(good[c]) >= servedShare*float64(sum[c])
	}
	return ok, strings.Join(text, ", ")
}

// awaitRecovery waits until callers are served for a whole window, and returns how long after
// the last fault that began; negative if it did not in time.
func (s *site) awaitRecovery(ctx context.Context) time.Duration {
	ended := time.Now()
	for {
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return -1
		}
		now := time.Now()
		if now.Sub(ended) < servedWindow {
			continue
		}
		var ok, late bool
		s.locked(func() {
			var text string
			ok, text = s.served(now.Add(-servedWindow))
			if late = !ok && s.checks.able(checkRecovery, ended, now) > recoveryBound+servedWindow; late {
				s.checks.breach(checkRecovery, "", "%.1fs after the last fault: %s", now.Sub(ended).Seconds(), text)
			}
		})
		if ok {
			return max(0, now.Add(-servedWindow).Sub(ended))
		}
		if late {
			return -1
		}
	}
}
