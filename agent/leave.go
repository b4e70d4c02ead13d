package agent

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
)

const (
	// goAwayDelay is how long after it said so a leaving agent still serves new
	// requests of its old flows by passing them on; then callers are told to
	// open new flows.
	goAwayDelay = 2 * time.Second
	// journalPollInterval is how often the end of the journal's duty is looked at.
	journalPollInterval = 200 * time.Millisecond
	healthInterval      = time.Second
	// noDrainDelay is how long an agent without its drain goes on before it drops
	// everything, in a trial of the report.
	noDrainDelay = 5 * time.Second
)

// leave waits for the stop and leaves: no new flows, no new work for the
// upstream, then no new requests, and at last, when everything that runs has
// ended, no process.
func (a *Agent) leave(ctx, stopped context.Context) error {
	select {
	case <-stopped.Done():
	case <-a.kill:
		return nil
	case <-ctx.Done():
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-a.kill:
			cancel()
		case <-ctx.Done():
		}
	}()
	a.Log.Add(events.Draining, slog.String("program", "agent"), slog.Int("flows", a.flows.len()), slog.Int64("running", a.disp.running.Load()))
	a.stopping.Store(true)
	if a.disp.disabledGuards.Has(guard.Drain) {
		clock.Sleep(ctx, noDrainDelay)
		return nil
	}
	a.disp.leaving.Store(true)
	a.SetReady(false)
	a.Node.SetPhase(fleet.PhaseLeaving)
	clock.Sleep(ctx, goAwayDelay)
	drainCtx, stop := context.WithTimeout(ctx, a.opts.Drain)
	defer stop()
	a.h3.Shutdown(drainCtx) // GOAWAY, then waits for the running requests
	a.waitForKeys(drainCtx)
	a.Node.Leave()
	return nil
}

// waitForKeys goes on answering for the idempotency keys that were issued here.
//
// If the home went at once, a retry of an order whose answer was lost would
// find nobody who knows of it, and end as unknown for a planned stop.
func (a *Agent) waitForKeys(ctx context.Context) {
	for time.Now().Before(a.handler.keyedRequests.journal.Until()) || a.disp.running.Load() > 0 {
		if !clock.Sleep(ctx, journalPollInterval) {
			return
		}
	}
}

// watchHealth notices that the upstream itself drains. The end point may lag or
// mislead, so it is believed in one direction only: new work goes elsewhere
// while it says 503, and nothing is believed of an upstream that says all is well.
func (a *Agent) watchHealth(ctx context.Context) error {
	if a.opts.Health == "" {
		<-ctx.Done()
		return nil
	}
	for clock.Sleep(ctx, healthInterval) {
		limit, stop := context.WithTimeout(ctx, healthInterval)
		n, err := a.disp.client.Health(limit, a.opts.Health)
		stop()
		a.setUpstreamDraining(err == nil && n == http.StatusServiceUnavailable)
	}
	return nil
}

func (a *Agent) setUpstreamDraining(draining bool) {
	phase := a.Node.Self().Phase
	switch {
	case draining && phase == fleet.PhaseReady:
		a.disp.leaving.Store(true)
		a.Node.SetPhase(fleet.PhaseLeaving)
	case !draining && phase == fleet.PhaseLeaving && !a.stopping.Load():
		a.disp.leaving.Store(false)
		a.Node.SetPhase(fleet.PhaseReady)
	}
}
