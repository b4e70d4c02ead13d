package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against requests that fail because a balancer that is cut off from the fleet
// remains ready, so that the router keeps sending it flows.
func TestPartitionedBalancerIsNotReady(t *testing.T) {
	for name, x := range map[string]struct {
		balancers, agents int
		detectionTime     time.Duration // time until the balancer must have stopped being ready
	}{
		"small fleet with frequent statuses": {6, 7, 900 * time.Millisecond},
		"large fleet with rare statuses":     {23, 60, 2700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newSite(t, seed, x.balancers, x.agents, 200)
				v, o := w.balancersByAddress()[0], w.balancersByAddress()[1]
				w.partitioned = map[datagram.IP]bool{v.ip: true, o.ip: true}
				w.runUntil(w.now + x.detectionTime + time.Second)
				failed := w.failed
				w.runUntil(w.now + 4*time.Second)
				w.checkBreaches(t)
				if n := w.failed - failed; n > 0 {
					t.Errorf("seed %d: %d requests failed after the balancer should have stopped being ready", seed, n)
				}
				w.partitioned = nil
				w.runUntil(w.now + time.Second)
				if !v.b.Ready() {
					t.Errorf("seed %d: the balancer is not ready after the partition has ended", seed)
				}
			}
		})
	}
}

// Guards against balancers that assume that they are cut off when all agents of a service
// have died, and refuse openings instead of holding them until an agent returns.
func TestDeadServiceIsNotTakenForPartition(t *testing.T) {
	for name, x := range map[string]struct{ balancers, agents int }{
		"small fleet with frequent statuses": {4, 3},
		"large fleet with rare statuses":     {23, 60},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSite(t, 1, x.balancers, x.agents, 60)
			for _, v := range w.agentsByAddress() {
				v.stop()
				v.u.crash()
			}
			w.runUntil(w.now + 2*time.Second)
			for _, v := range w.balancersByAddress() {
				if s := v.b.Status(w.now - v.startedAt); !s.Ready || s.Counts.Resets > 0 {
					t.Errorf("balancer %v: ready %t, %d resets", v.ip, s.Ready, s.Counts.Resets)
				}
			}
		})
	}
}

// Guards against a cut-off balancer that holds openings instead of refusing them, and
// against refusing an opening that an agent may have accepted already.
func TestPartitionedBalancerRefusesOpenings(t *testing.T) {
	for name, x := range map[string]struct {
		sentBefore bool // the opening is first sent before the balancer notices the partition
		paused     bool // the balancer was paused and not cut off
		resets     int
	}{
		"new opening":                        {false, false, 1},
		"opening already passed to an agent": {true, false, 0},
		"balancer paused and not cut off":    {false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSite(t, 1, 4, 7, 0)
			v := w.balancersByAddress()[0]
			c := datagram.Endpoint{IP: 0x64400099, Port: 1024}
			open := func() {
				v.b.HandleCaller(withHeadroom(encodePacket(c, routeAddress, flagOpen, 7, 0, "")), w.now-v.startedAt)
			}
			if x.sentBefore {
				v.w.partitioned = map[datagram.IP]bool{v.ip: true}
				open()
			}
			if x.paused {
				v.stop()
				w.now += 2 * time.Second
			} else {
				w.partitioned = map[datagram.IP]bool{v.ip: true}
				w.runUntil(w.now + 1200*time.Millisecond)
			}
			resets := v.b.Status(w.now - v.startedAt).Counts.Resets
			open()
			if n := v.b.Status(w.now-v.startedAt).Counts.Resets - resets; int(n) != x.resets {
				t.Errorf("sending the opening caused %d resets", n)
			}
		})
	}
}
