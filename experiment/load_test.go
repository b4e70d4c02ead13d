package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against upstreams that get several times their share when all callers return.
//
// Counted are requests that began in the second after the return, those answered inside
// their aim, and those that upstreams shed.
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
	t.Logf("by hash %+v, by status %+v, with the agents' gate %+v", hash, status, gate)
	if gate.shed > 0 {
		t.Errorf("%d requests were shed by upstreams", gate.shed)
	}
	if hash.shed == 0 {
		t.Error("the day is no test: even the choice by hash sheds nothing")
	}
	if gate.inAim*hash.begun*100 < hash.inAim*gate.begun*98 {
		t.Error("requests pay for it with their aim")
	}
}

// Guards against long feeds that gather at few upstreams.
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
			t.Errorf("seed %d: busiest over mean %.2f", seed, x)
		} else {
			t.Logf("seed %d: busiest over mean %.2f", seed, x)
		}
	}
}
