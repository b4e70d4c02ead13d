package agent

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/standin"
	"pomeloway.example/pomeloway/upstream"
)

// slowToStop is an upstream that notices that its request was aborted, and stops
// working on it later, when it is released.
type slowToStop struct {
	began, aborted, release, stopped chan struct{}
	answerFirst                      bool
}

func newSlowToStop(answerFirst bool) *slowToStop {
	return &slowToStop{make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{}), answerFirst}
}

func (s *slowToStop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.answerFirst {
		w.Write([]byte("half"))
		http.NewResponseController(w).Flush()
	}
	close(s.began)
	<-r.Context().Done()
	close(s.aborted)
	<-s.release
	close(s.stopped)
}

// Guards against a slot that is given to the next request while the upstream still
// works on an aborted one.
func TestSlotOfAnAbortedRequestIsFreeWhenTheUpstreamHasStopped(t *testing.T) {
	for name, answerFirst := range map[string]bool{"before the response": false, "during the response": true} {
		t.Run(name, func(t *testing.T) {
			abortAndWait(t, upstream.ProtocolHTTP1, answerFirst, func(d *dispatcher, up *slowToStop) {
				if d.gate.TryAcquire() == nil {
					t.Error("the slot was free while the upstream still worked on the aborted request")
				}
				close(up.release)
			})
		})
	}
}

// Guards against slots that are lost with aborted requests. With HTTP/2, requests share
// a connection, so an aborted one does not close it, and its slot must come back while
// the connection stays open.
func TestSlotOfAnAbortedRequestComesBackOverASharedConnection(t *testing.T) {
	for name, answerFirst := range map[string]bool{"before the response": false, "during the response": true} {
		t.Run(name, func(t *testing.T) {
			abortAndWait(t, upstream.ProtocolH2C, answerFirst, func(_ *dispatcher, up *slowToStop) { close(up.release) })
		})
	}
}

// Guards against a request that reaches an upstream over a shared connection before the
// upstream has seen the reset of the request that had the slot.
func TestSlotOfAResetRequestIsHeldForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcherOver(1, 1, func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		go abortRequest(ctx, d)
		synctest.Wait()
		cancel()
		synctest.Wait()
		if d.gate.TryAcquire() == nil {
			t.Error("the slot was free as soon as the request was reset")
		}
		if err := d.gate.Acquire(t.Context(), 1, slotTimeout); err != nil {
			t.Errorf("the slot was not given back: %v", err)
		}
	})
}

// abortAndWait aborts a request, calls then once the upstream has noticed, and waits
// for the slot.
func abortAndWait(t *testing.T, p upstream.Protocol, answerFirst bool, then func(*dispatcher, *slowToStop)) {
	up := newSlowToStop(answerFirst)
	s := httptest.NewUnstartedServer(up)
	s.Config = standin.NewServer(up)
	s.Start()
	defer s.Close()
	d := newCluster(1, guard.Off{}).agents[0].dispatcher
	d.client = upstream.NewClient(netip.MustParseAddrPort(s.Listener.Addr().String()), p)
	d.gate.SetLimits(bundle.Limits{Slots: 1, Connections: 1, ColdStart: bundle.ColdStart{Slots: 1, Answers: 1}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		abortRequest(ctx, d)
	}()
	<-up.began
	cancel()
	<-done
	<-up.aborted
	then(d, up)
	<-up.stopped
	if err := d.gate.Acquire(t.Context(), 1, slotTimeout); err != nil {
		t.Errorf("the slot was not given back after the upstream stopped: %v", err)
	}
}

// slotTimeout limits the wait for a slot, so that a slot that never comes back fails
// the test.
const slotTimeout = 10 * time.Second

// abortRequest places a request and reads its response until the context ends.
func abortRequest(ctx context.Context, d *dispatcher) {
	a, err := d.place(ctx, newReadJob(ctx, d))
	if err != nil {
		return
	}
	_, err = a.Body.Read(make([]byte, 8))
	<-ctx.Done()
	a.finish(errors.Join(err, ctx.Err()))
}

// roundTrip is a transport that consists of one function.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	return f(r)
}

// newDispatcherOver returns a dispatcher that reaches its upstream through the
// transport. The upstream has the given slots, and cold of them until it is warm.
func newDispatcherOver(slots, cold int, f roundTrip) *dispatcher {
	d := newCluster(1, guard.Off{}).agents[0].dispatcher
	d.client = upstream.NewClientWithTransport(agentAddr(0), f)
	d.gate = &upstream.Gate{}
	d.gate.SetLimits(bundle.Limits{Slots: slots, Connections: slots, ColdStart: bundle.ColdStart{Slots: cold, Answers: 1}})
	return d
}

// newReadJob returns a job that only reads and was passed by a sibling.
func newReadJob(ctx context.Context, d *dispatcher) *job {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/screen", nil)
	return &job{r: r, body: newReplayBody(http.NoBody), passed: true, tried: newTried(d.siblings.self)}
}

// Guards against a cold upstream that is not detected because callers read its
// responses slowly.
func TestSlowResponsesCountBeforeTheirCallersHaveReadThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := 10 * time.Millisecond
		d := newDispatcherOver(8, 1, func(r *http.Request) (*http.Response, error) {
			time.Sleep(took)
			return newResponse(http.StatusOK, r.Header.Get(upstream.HeaderRequest), "x"), nil
		})
		ask := func() *response {
			a, err := d.place(t.Context(), newReadJob(t.Context(), d))
			if err != nil {
				t.Fatal(err)
			}
			return a
		}
		for range 4 {
			ask().finish(nil)
		}
		if n := d.gate.Load().Slots; n != 8 {
			t.Fatalf("the warm upstream has %d slots, want 8", n)
		}
		took = time.Second
		for range 3 {
			defer ask().finish(nil)
		}
		if n := d.gate.Load().Slots; n != 1 {
			t.Errorf("after three slow responses that were not read the upstream has %d slots, want 1", n)
		}
	})
}

// Guards against an upstream that sheds requests and still gets work, because the
// callers of the shed requests have disconnected.
func TestShedResponseCountsAfterItsCallerHasLeft(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	shed := false
	d := newDispatcherOver(8, 1, func(r *http.Request) (*http.Response, error) {
		id := r.Header.Get(upstream.HeaderRequest)
		if shed {
			leave()
			return newResponse(http.StatusServiceUnavailable, id, "shed"), nil
		}
		return newResponse(http.StatusOK, id, "x"), nil
	})
	for range 4 {
		a, err := d.place(ctx, newReadJob(ctx, d))
		if err != nil {
			t.Fatal(err)
		}
		a.finish(nil)
	}
	shed = true
	if _, err := d.place(ctx, newReadJob(ctx, d)); err == nil {
		t.Fatal("a shed request got a response")
	}
	if n := d.gate.Load().Slots; n != 1 {
		t.Errorf("after a shed request the upstream has %d slots, want 1", n)
	}
}
