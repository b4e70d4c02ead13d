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
func TestReturnOfAllCallersIsSpread(t *testing.T) {
	type outcome struct{ begun, inAim, shed int }
	play := func(p datagram.Placement, busyAt float64) (o outcome) {
		for seed := range uint64(10) {
			w := newSite(t, seed, 8, 7, 600, p, busyAt)
			shed := w.shed
			w.powerLoss(time.Second)
			w.mark = w.now + 1200*time.Millisecond
			w.run(w.mark + time.Second)
			o.begun += w.begun
			w.run(w.now + 200*time.Millisecond)
			w.check(t)
			o.inAim += w.inAim
			o.shed += w.shed - shed
		}
		return o
	}
	hash := play(datagram.PlaceByHash, -1)
	status := play(datagram.PlaceIdler, -1)
	gate := play(datagram.PlaceIdler, 0)
	t.Logf("by hash %+v, by load %+v, by load with agents that decline when busy %+v", hash, status, gate)
	if gate.shed > 0 {
		t.Errorf("upstreams shed %d requests, want none", gate.shed)
	}
	if hash.shed == 0 {
		t.Error("the load is too low to test anything: even placement by hash sheds nothing")
	}
	if gate.inAim*hash.begun*100 < hash.inAim*gate.begun*98 {
		t.Error("declining when busy costs more than 2% of the answers within the target latency")
	}
}

// Guards against long-lived flows that concentrate on few upstreams.
func TestFeedsAreSpread(t *testing.T) {
	for seed := range uint64(5) {
		w := site(t, seed, 4, 7, 0)
		for i := range 300 {
			w.addCaller(i, time.Second)
		}
		w.run(w.now + 10*time.Second)
		most, sum := 0, 0
		for _, v := range w.agentsInOrder() {
			n := 0
			for _, h := range w.holders {
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
