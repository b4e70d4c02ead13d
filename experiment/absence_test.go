package experiment

import (
	"testing"
	"time"
)

// Guards against callers of a crashed upstream that wait for their deadlines.
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

// Guards against the end of flows that an upstream took before its agent knew of its birth.
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
