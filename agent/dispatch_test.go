package agent

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/upstream"
)

// slowToStop is an upstream that notices a caller's end and stops later, when it is let go.
type slowToStop struct {
	began, broken, letGo, stopped chan struct{}
	answerFirst                   bool
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
	close(s.broken)
	<-s.letGo
	close(s.stopped)
}

// Guards against a slot that is given to the next request while the upstream still
// works on one that was broken off.
func TestSlotOfABrokenRequestIsFreeWhenTheUpstreamHasStopped(t *testing.T) {
	for name, answerFirst := range map[string]bool{"before its answer": false, "in mid-answer": true} {
		t.Run(name, func(t *testing.T) {
			up := newSlowToStop(answerFirst)
			s := httptest.NewServer(up)
			defer s.Close()
			d := newWorld(1, guard.Off{}).agents[0].dispatcher
			d.client = upstream.NewClient(netip.MustParseAddrPort(s.Listener.Addr().String()), upstream.ProtocolHTTP1)
			d.gate.Limit(bundle.Limits{Slots: 1, Connections: 1, ColdStart: bundle.ColdStart{Slots: 1, Answers: 1}})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				breakOff(ctx, d)
			}()
			<-up.began
			cancel()
			<-done
			<-up.broken
			if d.gate.TryAcquire() == nil {
				t.Error("the slot was given away while the upstream worked on the request before")
			}
			close(up.letGo)
			<-up.stopped
			if err := d.gate.Acquire(t.Context(), 1, upstreamStops); err != nil {
				t.Errorf("the slot was not given back after the upstream stopped: %v", err)
			}
		})
	}
}

// upstreamStops bounds the wait for a slot that is never given back.
const upstreamStops = 10 * time.Second

// breakOff places a request and reads its answer until the context ends.
func breakOff(ctx context.Context, d *dispatcher) {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/screen", nil)
	j := &job{r: r, body: newReplayBody(http.NoBody), passed: true, tried: memberTried(d.siblings.self)}
	a, err := d.place(ctx, j)
	if err != nil {
		return
	}
	_, err = a.Body.Read(make([]byte, 8))
	<-ctx.Done()
	a.end(errors.Join(err, ctx.Err()))
}
