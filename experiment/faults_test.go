package experiment

import (
	"testing"
	"time"
)

// Guards against faults that end early because another one of their kind ends, so that a day
// is milder than its script.
func TestOverlappingFaultsEndEachAtItsTime(t *testing.T) {
	w := newSite(t, 1, 6, 7, 0)
	start := w.now
	w.partition(2, 4*time.Second)
	w.loseDatagrams(0.02, 4*time.Second)
	w.slowStore(200*time.Millisecond, 4*time.Second)
	w.runUntil(start + time.Second)
	w.partition(4, time.Second)
	w.loseDatagrams(0.05, time.Second)
	w.slowStore(900*time.Millisecond, time.Second)
	for _, x := range []struct {
		at   time.Duration
		cut  int
		loss float64
		wait time.Duration
	}{
		{1500 * time.Millisecond, 4, 0.05, 900 * time.Millisecond},
		{2500 * time.Millisecond, 2, 0.02, 200 * time.Millisecond},
		{4500 * time.Millisecond, 0, 0, 0},
	} {
		w.runUntil(start + x.at)
		if len(w.partitioned) != x.cut || w.lossRate != x.loss || w.storeLatency != x.wait {
			t.Errorf("after %v: %d balancers are cut off, %v of datagrams lost, the store takes %v; want %+v", x.at, len(w.partitioned), w.lossRate, w.storeLatency, x)
		}
	}
}

// Guards against a VM that was lost for good and returns with the others after a later loss
// of power, or by a restart that was pending.
func TestLostVMStaysLost(t *testing.T) {
	w := newSite(t, 1, 4, 7, 0)
	v := w.agentsByAddress()[0]
	w.killAll(500 * time.Millisecond)
	w.runUntil(w.now + 100*time.Millisecond)
	v.lose()
	w.runUntil(w.now + time.Second)
	if v.up {
		t.Error("the lost VM was started by a pending restart")
	}
	w.powerLoss(500 * time.Millisecond)
	w.runUntil(w.now + 100*time.Millisecond)
	o := w.agentsByAddress()[1]
	o.lose()
	w.runUntil(w.now + time.Second)
	if v.up || v.u.alive || o.up || o.u.alive {
		t.Error("a lost VM returned after a loss of power")
	}
}
