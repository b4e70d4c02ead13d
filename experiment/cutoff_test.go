package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against requests that fail because a balancer that is cut off from the fleet
// remains ready, so that the router keeps sending it flows.
func TestBalancerThatIsCutOffLeaves(t *testing.T) {
	for name, x := range map[string]struct {
		balancers, agents int
		within            time.Duration // time until the balancer must have stopped being ready
	}{
		"small fleet with frequent statuses": {6, 7, 900 * time.Millisecond},
		"large fleet with rare statuses":     {23, 60, 2700 * time.Millisecond},
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
					t.Errorf("seed %d: %d requests failed after the balancer should have stopped being ready", seed, n)
				}
				w.cut = nil
				w.run(w.now + time.Second)
				if !v.b.Ready() {
					t.Errorf("seed %d: the balancer is not ready after the partition has ended", seed)
				}
			}
		})
	}
}

// Guards against balancers that assume that they are cut off when all agents of a service
// have died, and refuse openings instead of holding them until an agent returns.
func TestServiceThatDiedIsNoCut(t *testing.T) {
	for name, x := range map[string]struct{ balancers, agents int }{
		"small fleet with frequent statuses": {4, 3},
		"large fleet with rare statuses":     {23, 60},
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

// Guards against openings that are held by a balancer that is cut off instead of refused,
// and against refusing an opening that an agent may have accepted already.
func TestBalancerThatIsCutOffRefusesOpenings(t *testing.T) {
	for name, x := range map[string]struct {
		before bool // the opening is first sent before the balancer notices the partition
		paused bool // the balancer was paused and not cut off
		resets int
	}{
		"new opening":                        {false, false, 1},
		"opening already passed to an agent": {true, false, 0},
		"balancer paused and not cut off":    {false, true, 0},
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
				t.Errorf("sending the opening caused %d resets", n)
			}
		})
	}
}
