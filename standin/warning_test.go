package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// A client must not be blamed for load on a cold upstream before the responses showed
// that it is cold, and must be blamed afterwards. The test guards against a check that
// warns too early, or not at all.
func TestClientIsWarnedByResponses(t *testing.T) {
	const usual, slow = 20 * time.Millisecond, 100 * time.Millisecond
	for name, x := range map[string]struct {
		before  time.Duration
		count   int
		wasCold bool
		answers []Response
		warned  bool
	}{
		"no answers":                      {usual, warmSamples, false, nil, false},
		"slow answers":                    {usual, warmSamples, false, shortAnswers(slow, slow, slow), true},
		"too few slow answers":            {usual, warmSamples, false, shortAnswers(slow, slow), false},
		"slow answers not in a row":       {usual, warmSamples, false, shortAnswers(slow, slow, usual, slow), false},
		"slow answers of long requests":   {usual, warmSamples, false, []Response{{Took: slow}, {Took: slow}, {Took: slow}}, false},
		"answers twice as slow as before": {slow / 2, warmSamples, false, shortAnswers(slow, slow, slow), false},
		"slow answers, too few before":    {usual, 1, false, shortAnswers(slow, slow, slow), false},
		"slow answers, cold before":       {usual, warmSamples, true, shortAnswers(slow, slow, slow), false},
		"one shed answer":                 {usual, warmSamples, false, []Response{{Shed: true}}, true},
		"one shed answer, cold before":    {usual, warmSamples, true, []Response{{Shed: true}}, true},
		"one shed answer, nothing before": {usual, 0, false, []Response{{Shed: true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var w warningTracker
				w.turnWarm()
				for range x.count {
					w.record(Response{Sent: time.Now(), Took: x.before, Short: true}, false)
				}
				time.Sleep(time.Second)
				w.turnCold(x.wasCold)
				w.record(Response{Sent: time.Now().Add(-time.Second), Shed: true}, true) // sent before it turned cold
				for _, h := range x.answers {
					h.Sent = time.Now()
					w.record(h, true)
				}
				if w.warnedBefore(time.Now().Add(reactionTime)) {
					t.Error("warned before the client had time to react")
				}
				if got := w.warnedBefore(time.Now().Add(reactionTime + 1)); got != x.warned {
					t.Errorf("warned = %t, want the opposite", got)
				}
			})
		})
	}
}

// shortAnswers returns responses to short requests with the given response times.
func shortAnswers(took ...time.Duration) []Response {
	var out []Response
	for _, d := range took {
		out = append(out, Response{Took: d, Short: true})
	}
	return out
}

// A request beyond the slots must be counted and recorded together with the requests
// that ran at the same time; without the record its cause can't be found.
func TestRequestsBeyondSlotsAreRecorded(t *testing.T) {
	u := &Upstream{Slots: 1, Work: time.Millisecond}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/screen", nil)
	first, _, _ := u.begin(r)
	second, _, ok := u.begin(r)
	u.end(second, false)
	u.end(first, true)
	if ok || u.OverSlots.Load() != 1 || len(u.OverloadNotes()) != 1 {
		t.Errorf("second request admitted %t, OverSlots %d, notes %q; want it shed, counted and noted once", ok, u.OverSlots.Load(), u.OverloadNotes())
	}
}
