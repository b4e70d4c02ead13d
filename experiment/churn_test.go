package experiment

import (
	"fmt"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// site makes a site of balancers and agents in three availability zones, with
// callers, and lets it settle.
func site(t *testing.T, seed uint64, balancers, agents, callers int) *world {
	return newSite(t, seed, balancers, agents, callers, datagram.PlaceIdler, 0)
}

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

func (w *world) check(t *testing.T) {
	t.Helper()
	if len(w.breaches) > 0 {
		t.Errorf("%d breaches, first %s", len(w.breaches), w.breaches[0])
	}
}

func TestCalmSiteServesEverybody(t *testing.T) {
	w := site(t, 1, 4, 7, 100)
	w.run(30 * time.Second)
	w.check(t)
	if w.answered < 2000 || w.failed > 0 || w.late > 0 {
		t.Errorf("answered %d, late %d, failed %d", w.answered, w.late, w.failed)
	}
}

// Guards against a balancer that has just started and resets flows that live.
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

// Guards against callers that wait for their deadlines after a loss of power.
func TestPowerLossEndsFlowsAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 200)
		w.powerLoss(time.Second)
		// Requests that began half a second after the return have their deadlines
		// a second later.
		w.run(w.now + 2500*time.Millisecond)
		failed := w.failed
		w.run(w.now + 5*time.Second)
		w.check(t)
		if n := w.failed - failed; n > 0 {
			t.Errorf("seed %d: %d requests failed that began after the return", seed, n)
		}
	}
}

// Guards against open flows that are cut or led astray when their agents are restarted.
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
			t.Errorf("seed %d: %d of %d failed", seed, w.failed, w.answered+w.failed)
		}
	}
}

// Guards against lookups that end at an agent that is silent.
func TestLookupsPassSilentAgents(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 150)
		n := 10
		for _, a := range w.agentsInOrder() {
			a.stop() // its upstream lives on
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

// Guards against openings at upstreams that drain, whatever balancers still believe.
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
			t.Errorf("seed %d: %d failed", seed, w.failed)
		}
	}
}

// Guards against openings in a zone that is out, and against the end of others' flows.
func TestZoneOutStopsOpenings(t *testing.T) {
	for seed := range uint64(5) {
		w := site(t, seed, 3, 9, 150)
		w.out = []datagram.ZoneKey{datagram.ZoneKeyOf("zone-1")}
		w.revision = uint64(w.now)
		n := 0
		for _, v := range w.balancersInOrder() {
			if n++; n == 1 {
				continue // it learns from the others
			}
			w.after(time.Duration(n)*300*time.Millisecond, func() { v.b.SetZonesOut(w.out, w.revision, w.now-v.since) })
		}
		w.run(w.now + 10*time.Second)
		w.check(t)
		failed := w.failed
		w.run(w.now + 5*time.Second)
		if w.failed > failed {
			t.Errorf("seed %d: %d failed ten seconds after the zone went out", seed, w.failed-failed)
		}
	}
}

// Guards against flows that break by lost datagrams and the deaths of balancers.
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

// Guards against openings that wait for a dead VM until its record is removed.
func TestDeadAgentCostsOneOpeningEach(t *testing.T) {
	w := site(t, 3, 4, 7, 200)
	for _, v := range w.agentsInOrder() {
		v.stop()
		v.u.crash()
		break
	}
	w.run(w.now + 2500*time.Millisecond) // its own flows end in this time
	late, failed := w.late, w.failed
	w.run(w.now + 10*time.Second)
	w.check(t)
	if w.late > late+w.answered/500 || w.failed > failed {
		t.Errorf("%d late and %d failed of %d after the death", w.late-late, w.failed-failed, w.answered)
	}
}
