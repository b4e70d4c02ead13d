package experiment

import (
	"testing"
	"time"
)

// An upstream crashes and its agent lives on. Callers on its flows got no answer and
// no word until their deadlines, one request each. All are told within the time of a
// heartbeat, and openings go elsewhere.
func TestCrashedUpstreamEndsItsFlowsAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 200)
		v := w.agentsInOrder()[seed%7]
		v.u.crash()
		w.run(w.now + 5*time.Second)
		w.check(t)
		if w.failed > 0 {
			t.Errorf("seed %d: %d of %d requests failed", seed, w.failed, w.answered+w.failed)
		}
	}
}

// An upstream crashes and starts again at once, and takes flows before its agent has
// heard of its birth. Its next announcement must not end those.
func TestUpstreamThatStartsAnewKeepsItsNewFlows(t *testing.T) {
	for seed := range uint64(20) {
		w := site(t, seed, 4, 7, 200)
		for _, v := range w.agentsInOrder() {
			v.u.crash()
			w.run(w.now + 10*time.Millisecond)
			v.u.late = 100 * time.Millisecond
			v.u.start()
			w.run(w.now + 700*time.Millisecond)
		}
		w.check(t)
	}
}
