package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/guard"
)

// Guards against a collapse under overload: 100 callers send orders to a service
// with four slots. It must answer as many as at its capacity, refuse the others at
// once with a correct outcome, and not be overloaded further by its own retries.
func TestOverloadKeepsGoodput(t *testing.T) {
	// Four slots and queues for 32 requests cannot take a hundred callers.
	d := Deployment{Name: "small", Zones: Deployments["agency"].Zones, Balancers: 3, Services: []ServiceSpec{{Name: "web", Upstreams: 2, Slots: 2, Connections: 2000}}}
	s, rec := startDeployment(t, d, guard.Off{})
	warmUp(t, s, rec)
	// The rates depend on the machine, so they are only logged; docs/MEASURES.md
	// lists them.
	at := goodput(t, s, 4, 2*time.Second)
	over := goodput(t, s, 100, 4*time.Second)
	t.Logf("answers per second: at capacity %.0f, overloaded %.0f; slowest refusal %v", at.rate, over.rate, over.slowest)
	if over.refused == 0 {
		t.Error("no request was refused, so the service was not overloaded")
	}
	if over.refusedButRun > 0 {
		t.Errorf("%d requests were refused as not run, but ran", over.refusedButRun)
	}
}

// warmUp runs callers for three seconds so that the upstreams become warm.
func warmUp(t *testing.T, s *Site, rec *recorder) {
	ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
	defer stop()
	runCallers(ctx, s, rec, 60/callerDivisor, 9)
}

// overloadResult is the result of one call of goodput. Its rate is in answers per
// second; refusedButRun counts the orders that ran although they were refused.
type overloadResult struct {
	rate          float64
	refused       int
	refusedButRun int
	slowest       time.Duration
}

// goodput runs callers for d and counts the answers and refusals of their orders. A
// caller sends its next order at once; only after a refusal does it wait as long as
// the agent asks.
func goodput(t *testing.T, s *Site, callers int, d time.Duration) overloadResult {
	t.Helper()
	var mu sync.Mutex
	var l overloadResult
	ok := 0
	ctx, stop := context.WithTimeout(t.Context(), d)
	defer stop()
	var w sync.WaitGroup
	for i := range callers {
		w.Go(func() {
			f, err := openFlow(ctx, s, newRecorder(), 0)
			if err != nil {
				return
			}
			defer f.close()
			for n := 0; ctx.Err() == nil; n++ {
				id, start := fmt.Sprintf("load-%d-%d-%d", callers, i, n), time.Now()
				r, err := f.do(context.Background(), http.MethodPost, "/order?caller=x", []byte(id), "")
				if err != nil {
					// quic-go refuses flows while its accept queue is full.
					if !strings.Contains(err.Error(), "CONNECTION_REFUSED") {
						t.Error(err)
					}
					return
				}
				mu.Lock()
				switch {
				case r.status == http.StatusOK && ctx.Err() == nil:
					ok++
				case r.outcome == agent.OutcomeNotRun:
					l.refused++
					l.slowest = max(l.slowest, time.Since(start))
					if s.Ledger.Runs(id) > 0 {
						l.refusedButRun++
					}
				}
				mu.Unlock()
				if r.status != http.StatusOK {
					clock.Sleep(ctx, r.retryAfter)
				}
			}
		})
	}
	w.Wait()
	l.rate = float64(ok) / d.Seconds()
	return l
}
