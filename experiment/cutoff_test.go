package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against callers of a balancer that is cut off from the fleet and goes on serving.
func TestBalancerThatIsCutOffLeaves(t *testing.T) {
	for name, x := range map[string]struct {
		balancers, agents int
		within            time.Duration // it leaves, and then what was lost has its deadlines
	}{
		"all are near": {6, 7, 900 * time.Millisecond},
		"most are far": {23, 60, 2700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := site(t, seed, x.balancers, x.agents, 200)
				v, o := w.balancersInOrder()[0], w.balancersInOrder()[1]
				w.cut = map[datagram.IP]bool{v.ip: true, o.ip: true}
				w.run(w.now + x.within + time.Second)
				failed := w.failed
				w.run(w.now + 4*time.Second)
				w.check(t)
				if n := w.failed - failed; n > 0 {
					t.Errorf("seed %d: %d requests failed after that", seed, n)
				}
				w.cut = nil
				w.run(w.now + time.Second)
				if !v.b.Ready() {
					t.Errorf("seed %d: it is not ready after the cut", seed)
				}
			}
		})
	}
}

// Guards against openings that are refused while the VMs of their service return.
func TestServiceThatDiedIsNoCut(t *testing.T) {
	for name, x := range map[string]struct{ balancers, agents int }{
		"all are near": {4, 3},
		"most are far": {23, 60},
	} {
		t.Run(name, func(t *testing.T) {
			w := site(t, 1, x.balancers, x.agents, 60)
			for _, v := range w.agentsInOrder() {
				v.stop()
				v.u.crash()
			}
			w.run(w.now + 2*time.Second)
			for _, v := range w.balancersInOrder() {
				if s := v.b.Status(w.now - v.since); !s.Ready || s.Counts.Resets > 0 {
					t.Errorf("balancer %v: ready %t, %d resets", v.ip, s.Ready, s.Counts.Resets)
				}
			}
		})
	}
}

// Guards against openings that wait at a balancer that is cut off, and against the refusal
// of one that an agent may have taken.
func TestBalancerThatIsCutOffRefusesOpenings(t *testing.T) {
	for name, x := range map[string]struct {
		before bool // the opening came first when the balancer was not cut off
		paused bool // the balancer stood still and was not cut off
		resets int
	}{
		"new":                   {false, false, 1},
		"given to an agent":     {true, false, 0},
		"this balancer's pause": {false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := site(t, 1, 4, 7, 0)
			v := w.balancersInOrder()[0]
			c := datagram.Endpoint{IP: 0x64400099, Port: 1024}
			open := func() {
				v.b.HandleCaller(withRoom(packet(c, worldAddress, flagOpen, 7, 0, "")), w.now-v.since)
			}
			if x.before {
				v.w.cut = map[datagram.IP]bool{v.ip: true}
				open()
			}
			if x.paused {
				v.stop()
				w.now += 2 * time.Second
			} else {
				w.cut = map[datagram.IP]bool{v.ip: true}
				w.run(w.now + 1200*time.Millisecond)
			}
			resets := v.b.Status(w.now - v.since).Counts.Resets
			open()
			if n := v.b.Status(w.now-v.since).Counts.Resets - resets; int(n) != x.resets {
				t.Errorf("%d resets", n)
			}
		})
	}
}
