package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/upstream"
)

// Guards against an upload that is refused because a full sibling has read part of it.
// The agent and its siblings are all full. The upload must be kept whole and run when a
// slot is free.
func TestUploadIsNotLostToAFullSibling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(3, guard.Off{})
		w.noFaults = true
		for _, f := range w.agents {
			for range 3 {
				f.gate.TryAcquire()
			}
		}
		time.AfterFunc(time.Second, func() { w.agents[0].gate.Release(upstream.Feedback{}) })
		scan := strings.Repeat("x", 4*maxReplayBytes)
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/upload", strings.NewReader(scan))
		rec := httptest.NewRecorder()
		w.agents[0].ServeHTTP(rec, r)
		if rec.Code != http.StatusOK || rec.Body.Len() != len(scan) {
			t.Errorf("status %d: %.200s", rec.Code, rec.Body)
		}
	})
}

// Guards against a request that runs twice, and against a read that fails needlessly.
// An upstream dies while a request runs. A read may be sent again and must succeed
// elsewhere; an order may have run and must not be sent again, and nothing may be once
// the retry budget is used up.
func TestOnlyReadsAreRetriedAfterAnUnknownOutcome(t *testing.T) {
	for name, x := range map[string]struct {
		method       string
		retriesSpent bool
		status       int
		tries        int
	}{
		"read":                       {http.MethodGet, false, http.StatusOK, 2},
		"order without a key":        {http.MethodPost, false, http.StatusBadGateway, 1},
		"PUT":                        {http.MethodPut, false, http.StatusBadGateway, 1},
		"read, retry budget used up": {http.MethodGet, true, http.StatusBadGateway, 1},
		"uncommon method":            {"PROPFIND", false, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(1, guard.Off{})
				w.noFaults = true
				dies := &dyingUpstream{}
				w.agents[0].client = upstream.NewClientWithTransport(agentAddr(0), dies)
				for range 200 {
					w.agents[0].retries.earn()
				}
				for x.retriesSpent && w.agents[0].retries.spend() {
				}
				rec := httptest.NewRecorder()
				w.agents[0].ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), x.method, "/screen", nil))
				if tries := dies.asked + int(w.agents[1].counts.Placed.Load()+w.agents[2].counts.Placed.Load()); rec.Code != x.status || tries != x.tries {
					t.Errorf("status %d after %d tries: %s", rec.Code, tries, rec.Body)
				}
			})
		})
	}
}

// dyingUpstream is the transport to an upstream that dies with each request that it has
// read.
type dyingUpstream struct{ asked int }

// RoundTrip reads the request and fails.
func (u *dyingUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	u.asked++
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	return nil, errConnCut
}

// Guards against a body over the limit that reaches the upstream or makes it look
// broken. A body that is too long must be refused with the reason, at once if its
// length is declared, and the upstream must not be considered cold because of it.
func TestBodiesOverTheLimitAreRefused(t *testing.T) {
	const maxBody = 64 << 10
	for name, x := range map[string]struct {
		length   int
		declared bool
		status   int
		outcome  Outcome
	}{
		"at the limit, declared":     {maxBody, true, http.StatusOK, ""},
		"at the limit, undeclared":   {maxBody, false, http.StatusOK, ""},
		"over the limit, declared":   {maxBody + 1, true, http.StatusRequestEntityTooLarge, OutcomeNotRun},
		"over the limit, undeclared": {maxBody + 1, false, http.StatusRequestEntityTooLarge, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(1, guard.Off{})
				w.noFaults = true
				f := w.agents[0]
				s := *f.service.Load()
				s.Upstreams.Body = maxBody
				f.service.Store(&s)
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/upload", strings.NewReader(strings.Repeat("x", x.length)))
				if !x.declared {
					r.ContentLength = -1
				}
				rec := httptest.NewRecorder()
				f.ServeHTTP(rec, r)
				if rec.Code != x.status || Outcome(rec.Header().Get(HeaderOutcome)) != x.outcome {
					t.Errorf("status %d, outcome %q: %.200s", rec.Code, rec.Header().Get(HeaderOutcome), rec.Body)
				}
				time.Sleep(slotTimeout) // an aborted request holds its slot for a moment
				if l := f.gate.Load(); l.Slots != 3 || l.Running != 0 {
					t.Errorf("the upstream is considered cold, or a slot is lost: %+v", l)
				}
			})
		})
	}
}

// Guards against a feed that continues in an availability zone that is out. A feed was
// passed to a sibling in that zone. Its flow ends at an agent whose zone is in, so
// closing flows did not end it, and the upstream still sent after 3.2 s. The feed must
// be cut off, and no request be taken until the zone is back.
func TestPassedRequestsEndWhenTheZoneGoesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1, guard.Off{})
		w.noFaults = true
		f := w.agents[0]
		f.client = upstream.NewClientWithTransport(agentAddr(0), endlessUpstream{})
		ask := func(passed string) (rec *httptest.ResponseRecorder) {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/feed", nil)
			r.Header.Set(headerPassed, passed)
			r.Header.Set(headerService, "1")
			rec = httptest.NewRecorder()
			defer func() {
				if recover() == http.ErrAbortHandler {
					rec.Code = 0 // the response was cut off
				}
			}()
			f.peerHandler().ServeHTTP(rec, r)
			return rec
		}
		var out atomic.Bool
		done := make(chan int)
		go func() { done <- ask(passedWork).Code }()
		synctest.Wait()
		start := time.Now()
		out.Store(true)
		f.siblingRequests.syncZone(&out)
		if code := <-done; code != 0 || time.Since(start) > time.Second {
			t.Errorf("the feed ended after %v with status %d; it must be cut off at once", time.Since(start), code)
		}
		for passed, want := range map[string]Outcome{passedWork: OutcomeNotRun, passedHome: OutcomeUnknown} {
			if got := ask(passed).Header().Get(HeaderOutcome); Outcome(got) != want {
				t.Errorf("%s passed to a zone that is out: outcome %q, want %q", passed, got, want)
			}
		}
		out.Store(false)
		f.siblingRequests.syncZone(&out)
		go func() { done <- ask(passedWork).Code }()
		synctest.Wait()
		select {
		case code := <-done:
			t.Errorf("after the zone came back a feed ended with status %d", code)
		default:
		}
		out.Store(true)
		f.siblingRequests.syncZone(&out)
		<-done
	})
}

// endlessUpstream is the transport to an upstream whose responses do not end.
type endlessUpstream struct{}

// RoundTrip returns a response whose body ends with the request's context.
func (endlessUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	a := newResponse(http.StatusOK, r.Header.Get(upstream.HeaderRequest), "")
	in, out := io.Pipe()
	context.AfterFunc(r.Context(), func() { out.CloseWithError(r.Context().Err()) })
	a.Body = in
	return a, nil
}
