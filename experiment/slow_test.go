package experiment

import (
	"testing"
	"time"
)

// Guards against small balancers that answer nobody for seconds after a loss of power,
// as they look for all the flows that were lost. Twenty of 26 have a sixteenth of a
// core, which a message takes for 0.6 ms.
func TestSmallBalancersServeSoonAfterALossOfPower(t *testing.T) {
	const (
		slowCost = 600 * time.Microsecond
		callers  = 1200
		second   = time.Second
	)
	for seed := range uint64(2) {
		w := site(t, seed, 26, 48, 0)
		for i, v := range w.balancersInOrder() {
			if i >= 6 {
				v.cost = slowCost
			}
		}
		for i := range callers {
			c := w.addCaller(i, second)
			c.fresh = i%10 == 9
			c.aim, c.deadline = 400*time.Millisecond, 4*time.Second
		}
		w.run(w.now + 3*second)
		w.dayStart = w.now
		w.powerLoss(second)
		w.run(w.now + 12*second)
		w.check(t)
		shares := make([]float64, 8)
		for i := range shares {
			shares[i] = w.seconds[i].Share()
		}
		t.Logf("seed %d: share in aim by second from the loss of power: %.3f", seed, shares)
		for i, s := range shares {
			if i >= 4 && s < 0.95 {
				t.Errorf("seed %d: %.3f in aim in second %d after the loss of power", seed, s, i)
			}
		}
	}
}
