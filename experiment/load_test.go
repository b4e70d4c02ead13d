package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against upstreams that receive several times their share of the flows when all
// callers reconnect after a power loss.
//
// The test counts the requests that start in the second after the return of power, those
// of them answered within the target latency, and the attempts that upstreams shed.
func TestReconnectingCallersAreBalanced(t *testing.T) {
	type outcome struct{ begun, inAim, shed int }
	measure := func(p datagram.Placement, busyAt float64) (o outcome) {
		for seed := range uint64(10) {
			w := newSiteWithPlacement(t, seed, 8, 7, 600, p, busyAt)
			shed := w.shed
			w.powerLoss(time.Second)
			w.measureFrom = w.now + 1200*time.Millisecond
			w.runUntil(w.measureFrom + time.Second)
			o.begun += w.measuredStarted
			w.runUntil(w.now + 200*time.Millisecond)
			w.checkBreaches(t)
			o.inAim += w.measuredInAim
			o.shed += w.shed - shed
		}
		return o
	}
	byHash := measure(datagram.PlaceByHash, -1)
	byLoad := measure(datagram.PlaceByTwoChoices, -1)
	gated := measure(datagram.PlaceByTwoChoices, 0)
	t.Logf("by hash %+v, by load %+v, by load with agents that decline when busy %+v", byHash, byLoad, gated)
	if gated.shed > 0 {
		t.Errorf("upstreams shed %d requests, want none", gated.shed)
	}
	if byHash.shed == 0 {
		t.Error("the load is too low to test anything: even placement by hash sheds nothing")
	}
	if gated.inAim*byHash.begun*100 < byHash.inAim*gated.begun*98 {
		t.Error("declining when busy costs more than 2% of the answers within the target latency")
	}
}

// Guards against long-lived flows that concentrate on few upstreams.
func TestLongLivedFlowsAreBalanced(t *testing.T) {
	for seed := range uint64(5) {
		w := newSite(t, seed, 4, 7, 0)
		for i := range 300 {
			w.addCaller(i, time.Second)
		}
		w.runUntil(w.now + 10*time.Second)
		most, sum := 0, 0
		for _, v := range w.agentsByAddress() {
			n := 0
			for _, h := range w.owners {
				if h == v.u {
					n++
				}
			}
			most, sum = max(most, n), sum+n
		}
		if x := float64(most) * 7 / float64(sum); x > 1.2 {
			t.Errorf("seed %d: the busiest upstream has %.2f times the mean number of flows", seed, x)
		} else {
			t.Logf("seed %d: the busiest upstream has %.2f times the mean number of flows", seed, x)
		}
	}
}
