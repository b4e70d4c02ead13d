package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against lookups that fail because an agent without a running upstream drops their
// packets without an answer.
func TestAgentWithoutUpstreamHoldsUpNoLookup(t *testing.T) {
	for seed := range uint64(10) {
		w := newSite(t, seed, 4, 9, 200)
		for _, v := range w.agentsByAddress()[:2] {
			v.u.crash()
		}
		w.runUntil(w.now + 3*time.Second)
		w.measureFrom = w.now + 600*time.Millisecond
		w.killAll(500 * time.Millisecond)
		w.runUntil(w.now + 6*time.Second)
		w.checkBreaches(t)
		if w.failedOnLiveFlow > 0 {
			t.Errorf("seed %d: %d requests failed on flows whose upstreams run", seed, w.failedOnLiveFlow)
		}
	}
}

// Guards against lookups that fail because they wait for an agent that has just died.
func TestDeadAgentHoldsUpNoLookup(t *testing.T) {
	for seed := range uint64(10) {
		w := newSite(t, seed, 4, 7, 300)
		for _, v := range w.balancersByAddress() {
			v.stop()
			v.start()
		}
		w.runUntil(w.now + 100*time.Millisecond)
		w.measureFrom = w.now
		v := w.agentsByAddress()[seed%7]
		v.stop()
		v.u.crash()
		w.runUntil(w.now + 4*time.Second)
		w.checkBreaches(t)
		if w.failedOnLiveFlow > 0 {
			t.Errorf("seed %d: %d requests failed on flows whose upstreams run", seed, w.failedOnLiveFlow)
		}
	}
}

// Guards against balancers that consider an agent alive for too long if it dies just after
// it has joined the fleet.
func TestAgentThatDiesAfterJoiningIsDoubted(t *testing.T) {
	w := newSite(t, 1, 12, 20, 0)
	v := w.addAgent(30, "zone-1")
	v.tick()
	w.runUntil(w.now + 300*time.Millisecond)
	v.stop()
	v.u.crash()
	w.runUntil(w.now + 1500*time.Millisecond)
	for _, b := range w.balancersByAddress() {
		if s := b.b.Status(w.now - b.startedAt); s.AgentsDoubted != 1 {
			t.Errorf("balancer %v doubts %d agents, want 1", b.ip, s.AgentsDoubted)
		}
	}
}

// Guards against requests that time out because balancers keep sending packets of flows
// that they remember to a dead VM.
func TestRememberedFlowsOfADeadVMEndInTime(t *testing.T) {
	for seed := range uint64(10) {
		w := newSite(t, seed, 4, 7, 200)
		for _, c := range w.callers {
			c.timeout = 3 * time.Second
		}
		w.runUntil(w.now + 3*time.Second)
		v := w.agentsByAddress()[seed%7]
		v.stop()
		v.u.crash()
		w.runUntil(w.now + 8*time.Second)
		w.checkBreaches(t)
		if w.failed > 0 {
			t.Errorf("seed %d: %d of %d requests failed", seed, w.failed, w.answered+w.failed)
		}
	}
}

// Guards against resets of flows that an agent still serves while all its messages to
// other VMs are lost.
func TestFlowsOfMutedAgentContinue(t *testing.T) {
	for seed := range uint64(5) {
		w := newSite(t, seed, 4, 7, 150)
		v := w.agentsByAddress()[seed%7]
		w.muted = map[datagram.IP]bool{v.ip: true}
		w.runUntil(w.now + 8*time.Second)
		w.checkBreaches(t)
		if w.failed > 0 {
			t.Errorf("seed %d: %d of %d requests failed", seed, w.failed, w.answered+w.failed)
		}
	}
}
