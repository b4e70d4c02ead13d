package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/idempotency"
)

// reply is what a caller received for one attempt to send its order.
type reply struct {
	outcome Outcome // empty for a response of the upstream
	body    string
}

// orderModel models one order (a request with an idempotency key): it has run or not.
// An attempt with a response has run it, once; "not-run" is true only while it has not
// run; after "unknown" both states are possible.
var orderModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		ran := state.(int)
		if n, ok := output.(int); ok { // the number of runs, checked at the end
			if n == ran {
				return []any{ran}
			}
			return nil
		}
		switch o := output.(reply); {
		case o.outcome == "":
			return []any{1}
		case o.outcome == OutcomeNotRun && ran == 0:
			return []any{0}
		case o.outcome == OutcomeNotRun:
			return nil
		}
		if ran == 1 {
			return []any{1}
		}
		return []any{0, 1}
	},
	Equal: func(a, b any) bool { return a == b },
}

// send sends the order to an agent and returns the reply.
func (w *cluster) send(ctx context.Context, i int, order, key string) reply {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/order", strings.NewReader(order))
	r.Header.Set(idempotency.Header, key)
	rec := httptest.NewRecorder()
	w.agent(i).ServeHTTP(rec, r)
	return reply{Outcome(rec.Header().Get(HeaderOutcome)), rec.Body.String()}
}

func (w *cluster) key(i int) string {
	f := w.agent(i)
	o := f.keyedRequests
	return o.sealer.Load().Seal(idempotency.Key{Home: o.home, Life: o.incarnation, Service: 1, Expires: time.Now().Add(time.Minute), Nonce: idempotency.NewNonce()})
}

// simulate runs callers and faults, and returns an error for each order whose history
// is not valid.
func simulate(ctx context.Context, seed uint64, disabledGuards guard.Off) error {
	w := newCluster(seed, disabledGuards)
	start := time.Now()
	var mu sync.Mutex
	var errs []error
	var g sync.WaitGroup
	for c := range 4 {
		g.Go(func() {
			for n := range 3 {
				if err := w.placeAndCheck(ctx, fmt.Sprintf("order-%d-%d", c, n), start); err != nil {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
				}
			}
		})
	}
	g.Go(func() { w.injectFaults() })
	g.Wait()
	return errors.Join(errs...)
}

// injectFaults restarts and drains agents while callers send orders.
func (w *cluster) injectFaults() {
	for range 4 {
		time.Sleep(time.Duration(w.randomN(60)) * time.Millisecond)
		i := w.randomN(clusterAgents)
		if w.randomN(2) == 0 {
			w.restart(i)
			continue
		}
		f := w.agent(i)
		f.leaving.Store(!f.leaving.Load())
		w.shareMembers()
	}
}

// placeAndCheck sends one order several times, some of them concurrently, and checks
// the history of the replies.
func (w *cluster) placeAndCheck(ctx context.Context, id string, start time.Time) error {
	key := w.key(w.randomN(clusterAgents))
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wrong error
	record := func(call time.Duration, out any) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: id, Call: int64(call), Output: out, Return: int64(time.Since(start))})
		if o, ok := out.(reply); ok && o.outcome == "" && o.body != id {
			wrong = fmt.Errorf("%s received the response of %q", id, o.body)
		}
	}
	for range 3 {
		var g sync.WaitGroup
		for range 1 + w.randomN(2) {
			i := w.randomN(clusterAgents)
			g.Go(func() {
				call := time.Since(start)
				record(call, w.send(ctx, i, id, key))
			})
		}
		g.Wait()
		time.Sleep(time.Duration(1+w.randomN(20)) * time.Millisecond)
	}
	w.mu.Lock()
	runs := w.runs[id]
	w.mu.Unlock()
	record(time.Since(start), runs)
	if wrong != nil {
		return wrong
	}
	if runs > 1 {
		return fmt.Errorf("%s ran %d times: %+v", id, runs, ops)
	}
	m := orderModel.ToModel()
	if !porcupine.CheckOperations(m, ops) {
		return fmt.Errorf("%s: the replies have no valid history: %+v", id, ops)
	}
	return nil
}

// histories returns the number of simulations to run. POMELOWAY_HISTORIES overrides the
// default.
func histories(t *testing.T) uint64 {
	n, err := strconv.ParseUint(cmp.Or(os.Getenv("POMELOWAY_HISTORIES"), "1000"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against orders that run twice and against wrong outcomes and responses.
// Callers send orders while agents restart at their addresses, drain and return,
// upstreams refuse, shed, cut off and swap responses, and calls between agents are lost
// before or after they took effect. Each order must run at most once, an order reported
// as "not-run" must not have run, and a response must be that of its order.
func TestOrderHistoriesAreValid(t *testing.T) {
	for seed := range histories(t) {
		synctest.Test(t, func(t *testing.T) {
			if err := simulate(t.Context(), seed, guard.Off{}); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		})
	}
}

// Guards against a checker that misses faults: it must find the fault that appears when
// any one of the guards is disabled.
func TestCheckerDetectsDisabledGuards(t *testing.T) {
	for name, what := range map[guard.Name]string{
		guard.Retry:   "a request with an unknown outcome is sent again",
		guard.Life:    "a home accepts keys of its earlier incarnation",
		guard.Match:   "a response is accepted for another request",
		guard.Journal: "a key is used for two runs",
		guard.Home:    "an agent other than the key's home runs the request",
		guard.Outcome: "an unknown outcome is reported as not run",
	} {
		t.Run(string(name), func(t *testing.T) {
			const maxRuns = 300
			for seed := range uint64(maxRuns) {
				var err error
				synctest.Test(t, func(t *testing.T) { err = simulate(t.Context(), seed, guard.Without(name)) })
				if err != nil {
					t.Logf("%s: found in run %d", what, seed+1)
					return
				}
			}
			t.Errorf("%s: not found in %d runs", what, maxRuns)
		})
	}
}
