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
	// goAwayDelay is how long a leaving agent still serves new requests on its open
	// flows, by passing them on. Then it tells callers to open new flows.
	goAwayDelay = 2 * time.Second
	// journalPollInterval is how often a leaving agent checks whether the last key that
	// it issued has expired.
	journalPollInterval = 200 * time.Millisecond
	healthInterval      = time.Second
	// noDrainDelay is how long an agent whose drain guard is disabled continues before
	// it stops without draining. Only tests and the demo disable it.
	noDrainDelay = 5 * time.Second
)

// leave waits for the stop signal and drains the agent. First the agent accepts no new
// flows and gives its upstream no new work, then it accepts no new requests, and it
// stops when everything that runs has ended.
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
	if a.disp.disabledGuards.Disabled(guard.Drain) {
		clock.Sleep(ctx, noDrainDelay)
		return nil
	}
	a.disp.leaving.Store(true)
	a.SetReady(false)
	a.Node.SetPhase(fleet.PhaseLeaving)
	clock.Sleep(ctx, goAwayDelay)
	drainCtx, stop := context.WithTimeout(ctx, a.opts.Drain)
	defer stop()
	a.h3.Shutdown(drainCtx) // sends GOAWAY, then waits for the running requests
	a.waitForKeys(drainCtx)
	a.Node.Leave()
	return nil
}

// waitForKeys waits until the idempotency keys that the agent issued have expired and
// no request runs.
//
// If the home of a key stopped earlier, a retry of a request whose response was lost
// would find no agent that knows the outcome: a planned stop would cause unknown
// outcomes.
func (a *Agent) waitForKeys(ctx context.Context) {
	for time.Now().Before(a.handler.keyedRequests.journal.LastExpiry()) || a.disp.running.Load() > 0 {
		if !clock.Sleep(ctx, journalPollInterval) {
			return
		}
	}
}

// watchHealth detects that the upstream itself drains. The health endpoint may lag or
// be wrong, so only a 503 is acted on: while it lasts, new work goes elsewhere. Other
// results are not taken as proof that the upstream is healthy.
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
