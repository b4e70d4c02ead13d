package experiment

import (
	"testing"
	"time"
)

// Guards against requests that time out after their upstream has crashed. Its agent keeps
// running and has to reset the flows at once.
func TestCrashedUpstreamEndsItsFlowsAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w := newSite(t, seed, 4, 7, 200)
		v := w.agentsByAddress()[seed%7]
		v.u.crash()
		w.runUntil(w.now + 5*time.Second)
		w.checkBreaches(t)
		if w.failed > 0 {
			t.Errorf("seed %d: %d of %d requests failed", seed, w.failed, w.answered+w.failed)
		}
	}
}

// Guards against resets of flows that a restarted upstream accepted before its first
// heartbeat, when its agent doesn't know of the restart yet.
func TestRestartedUpstreamKeepsItsNewFlows(t *testing.T) {
	for seed := range uint64(20) {
		w := newSite(t, seed, 4, 7, 200)
		for _, v := range w.agentsByAddress() {
			v.u.crash()
			w.runUntil(w.now + 10*time.Millisecond)
			v.u.heartbeatDelay = 100 * time.Millisecond
			v.u.start()
			w.runUntil(w.now + 700*time.Millisecond)
		}
		w.checkBreaches(t)
	}
}
