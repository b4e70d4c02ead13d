package experiment

import (
	"fmt"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// newSite creates a site of balancers, agents in three availability zones, and callers,
// and runs it until it has settled.
func site(t *testing.T, seed uint64, balancers, agents, callers int) *world {
	return newSite(t, seed, balancers, agents, callers, datagram.PlaceIdler, 0)
}

// newSiteWithPlacement is newSite with the given placement and limit for busy agents.
func newSite(t *testing.T, seed uint64, balancers, agents, callers int, p datagram.Placement, busyAt float64) *world {
	t.Helper()
	w, err := newWorld(seed)
	if err != nil {
		t.Fatal(err)
	}
	w.placement, w.busyAt = p, busyAt
	for i := range balancers {
		w.addBalancer(i, size{})
	}
	for i := range agents {
		v := w.addAgent(i, fmt.Sprintf("zone-%d", i%3))
		v.tick()
	}
	w.run(3 * time.Second)
	for i := range callers {
		w.addCaller(i, time.Second).fresh = i%4 == 3
	}
	w.run(6 * time.Second)
	return w
}

// checkBreaches fails the test if a guarantee to callers was violated.
func (w *world) check(t *testing.T) {
	t.Helper()
	if len(w.breaches) > 0 {
		t.Errorf("%d breaches, first %s", len(w.breaches), w.breaches[0])
	}
}

// Guards against late or failed requests while there are no faults.
func TestCalmSiteServesEverybody(t *testing.T) {
	w := site(t, 1, 4, 7, 100)
	w.run(30 * time.Second)
	w.check(t)
	if w.answered < 2000 || w.failed > 0 || w.late > 0 {
		t.Errorf("answered %d, late %d, failed %d", w.answered, w.late, w.failed)
	}
}

// Guards against resets of live flows by a balancer that has just started and doesn't know
// them yet, while messages are delayed.
func TestBalancerThatJustStartedCutsNoFlow(t *testing.T) {
	for seed := range uint64(20) {
		w := site(t, seed, 3, 7, 120)
		w.busy = 20 * time.Millisecond
		for range 10 {
			for _, v := range w.balancersInOrder() {
				v.stop()
				v.start()
				w.run(w.now + 300*time.Millisecond)
			}
		}
		w.check(t)
	}
}

// Guards against requests that time out after a power loss, because the flows that it
// ended are not reset at once.
func TestPowerLossEndsFlowsAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 200)
		w.powerLoss(time.Second)
		// Requests that start up to half a second after the return of power may fail.
		// Their deadlines are a second later.
		w.run(w.now + 2500*time.Millisecond)
		failed := w.failed
		w.run(w.now + 5*time.Second)
		w.check(t)
		if n := w.failed - failed; n > 0 {
			t.Errorf("seed %d: %d requests that started after the return of power failed", seed, n)
		}
	}
}

// Guards against open flows that are reset or misrouted when their agents are restarted.
func TestAgentsRestartUnderOpenFlows(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 3, 7, 150)
		for _, v := range w.agentsInOrder() {
			v.stop()
			w.run(w.now + 400*time.Millisecond)
			v.start()
			w.run(w.now + 900*time.Millisecond)
		}
		w.run(w.now + 2*time.Second)
		w.check(t)
		if w.failed > w.answered/100 {
			t.Errorf("seed %d: %d of %d requests failed, want at most 1%%", seed, w.failed, w.answered+w.failed)
		}
	}
}

// Guards against lookups by new balancers that fail because one agent doesn't answer.
func TestLookupsPassSilentAgents(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 150)
		n := 10
		for _, a := range w.agentsInOrder() {
			a.stop() // its upstream keeps running
			break
		}
		for range 12 {
			for _, v := range w.balancersInOrder() {
				v.stop()
				delete(w.balancers, v.ip)
				break
			}
			w.addBalancer(n, size{})
			n++
			w.run(w.now + 500*time.Millisecond)
		}
		w.check(t)
	}
}

// Guards against openings at upstreams that drain while some balancers don't know it yet.
func TestDrainingUpstreamsGetNoOpenings(t *testing.T) {
	for seed := range uint64(5) {
		w := site(t, seed, 3, 7, 150)
		n := 0
		for _, v := range w.agentsInOrder() {
			if n++; n > 3 {
				break
			}
			v.u.draining = true
			w.run(w.now + 300*time.Millisecond)
		}
		w.run(w.now + 6*time.Second)
		w.check(t)
		if w.failed > 0 {
			t.Errorf("seed %d: %d requests failed", seed, w.failed)
		}
	}
}

// Guards against openings in an availability zone that is out of service, and against
// requests that fail because of it.
func TestZoneOutStopsOpenings(t *testing.T) {
	for seed := range uint64(5) {
		w := site(t, seed, 3, 9, 150)
		w.out = []datagram.ZoneKey{datagram.ZoneKeyOf("zone-1")}
		w.revision = uint64(w.now)
		n := 0
		for _, v := range w.balancersInOrder() {
			if n++; n == 1 {
				continue // it learns of the change from the others
			}
			w.after(time.Duration(n)*300*time.Millisecond, func() { v.b.SetZonesOut(w.out, w.revision, w.now-v.since) })
		}
		w.run(w.now + 10*time.Second)
		w.check(t)
		failed := w.failed
		w.run(w.now + 5*time.Second)
		if w.failed > failed {
			t.Errorf("seed %d: %d requests failed later than 10 s after the zone was taken out", seed, w.failed-failed)
		}
	}
}

// Guards against flows that are reset or misrouted when datagrams are lost while a
// balancer is restarted.
func TestLossAndDeathsBreakNothing(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 150)
		w.loss = 0.01
		for range 10 {
			for _, v := range w.balancersInOrder() {
				v.stop()
				w.run(w.now + 300*time.Millisecond)
				v.start()
				break
			}
			w.run(w.now + 700*time.Millisecond)
		}
		w.check(t)
	}
}

// Guards against openings that are sent to a dead VM until its record is removed from the
// store.
func TestDeadAgentCostsOneOpeningEach(t *testing.T) {
	w := site(t, 3, 4, 7, 200)
	for _, v := range w.agentsInOrder() {
		v.stop()
		v.u.crash()
		break
	}
	w.run(w.now + 2500*time.Millisecond) // the flows of the dead VM end in this time
	late, failed := w.late, w.failed
	w.run(w.now + 10*time.Second)
	w.check(t)
	if w.late > late+w.answered/500 || w.failed > failed {
		t.Errorf("%d requests late and %d failed after the VM died, of %d answered", w.late-late, w.failed-failed, w.answered)
	}
}
