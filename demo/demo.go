package demo

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/guard"
)

// ErrBroken is returned when the run violated an invariant; the report lists
// which.
var ErrBroken = errors.New("the run violated invariants; see \"broken\" in the report")

// startTimeout bounds the start of a site until every balancer is ready.
const startTimeout = 20 * time.Second

// Run runs a demo and writes its report. It returns ErrBroken if the run
// violated an invariant.
func Run(ctx context.Context, o Options, progress, out io.Writer) error {
	log, done, err := openLog(o.Log)
	if err != nil {
		return err
	}
	defer done()
	s, err := NewSite(Deployments[o.Deployment], log, guard.Without(o.Sabotage))
	if err != nil {
		return err
	}
	defer s.Close()
	start, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	if err := s.Start(start); err != nil {
		return err
	}
	rec := newRecorder()
	p := newProgress(progress, rec, o.Duration)
	rep, err := runScenario(ctx, s, rec, p, o)
	if err != nil {
		return err
	}
	if err := writeReport(rep, o.Report, out); err != nil {
		return err
	}
	if len(rep.Broken) > 0 {
		return ErrBroken
	}
	return nil
}

// runScenario runs the callers and the script concurrently, and returns the
// report with the invariants that were violated.
func runScenario(ctx context.Context, s *Site, rec *recorder, p *progress, o Options) (*Report, error) {
	began := time.Now()
	run, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	x := &script{s: s, rec: rec, log: p.printStep}
	var w sync.WaitGroup
	var failed error
	w.Go(func() { runCallers(run, s, rec, o.Callers, o.Seed) })
	w.Go(func() { failed = x.run(run, o.Duration) })
	w.Go(func() { s.watchShares(run, rec) })
	w.Go(func() { p.run(run) })
	w.Wait()
	if failed != nil {
		return nil, failed
	}
	r := rec.finish(x.moveFrom, x.moveTo)
	r.Deployment, r.Seed, r.Sabotage, r.Seconds = o.Deployment, o.Seed, string(o.Sabotage), time.Since(began).Seconds()
	s.addCounters(&r, x)
	r.checkInvariants()
	return &r, nil
}

// shareSampleInterval is the interval at which the callers' open flows are counted
// per upstream.
const shareSampleInterval = 500 * time.Millisecond

// watchShares periodically samples how the open flows are distributed over the
// upstreams that accept new flows.
func (s *Site) watchShares(ctx context.Context, rec *recorder) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, shareSampleInterval)
		rec.sampleShares(s.acceptingAgents())
	}
}

// acceptingAgents returns the IDs of the agents that accept new flows, by service.
func (s *Site) acceptingAgents() map[string][]string {
	out := map[string][]string{}
	for _, u := range s.RunningUpstreams() {
		if !s.isZoneOut(u.zone) {
			out[u.Service] = append(out[u.Service], string(u.agent.Node.Self().ID))
		}
	}
	return out
}

// addCounters adds the counters of the upstreams and of the platform to the
// report.
func (s *Site) addCounters(r *Report, x *script) {
	r.RunTwice = s.Ledger.CountRepeated()
	for _, u := range s.startedUpstreams() {
		r.Misrouted += int(u.Misrouted.Load())
		r.OverSlots += int(u.OverSlots.Load())
		r.OverCold += int(u.OverWarned.Load())
		r.OverColdUnwarned += int(u.OverCold.Load() - u.OverWarned.Load())
		for _, text := range u.OverloadNotes() {
			r.Causes[text]++
		}
	}
	if x.drained != nil {
		if t := time.Unix(0, x.drained.LastWork.Load()); t.After(x.drainedAt) {
			r.NewWorkAfterLeaving = t.Sub(x.drainedAt).Seconds()
		}
	}
	c := s.Platform.Counts()
	r.PlatformReads, r.PlatformWrites = c.Reads, c.Writes
}

// writeReport writes the report to the named file, to out if the name is "-",
// or nowhere if it is empty.
func writeReport(r *Report, to string, out io.Writer) error {
	switch to {
	case "":
		return nil
	case "-":
		return r.write(out)
	}
	f, err := os.Create(to)
	if err != nil {
		return eris.Wrap(err, "--report")
	}
	defer f.Close()
	return r.write(f)
}

// openLog returns a logger that writes to the named file, or discards all lines
// if the name is empty, and a function that closes the file.
func openLog(name string) (*slog.Logger, func(), error) {
	if name == "" {
		return slog.New(slog.DiscardHandler), func() {}, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, nil, eris.Wrap(err, "--log")
	}
	return slog.New(slog.NewJSONHandler(f, nil)), func() { f.Close() }, nil
}
