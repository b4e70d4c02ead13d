package experiment

import (
	"testing"
	"time"
)

// Guards against openings that wait for their callers' next copies although the balancers have got
// their first configuration meanwhile. All processes were killed while the store is silent.
func TestOpeningsBeforeTheFirstConfigurationAreServed(t *testing.T) {
	t.Parallel()
	const (
		down, silent = 600 * time.Millisecond, 1500 * time.Millisecond
		// last is the time before the configuration in which requests can still be in time.
		last = 150 * time.Millisecond
	)
	var before, feeds, confirmations outcomes
	for seed := range uint64(12) {
		w, _, _ := loadedSites["long queue"].start(t, seed)
		w.storeLatency = silent
		w.killAll(down)
		w.play(1, down+silent-last)
		_, c := w.play(1, last)
		f2, c2 := w.play(1, 2*time.Second)
		w.play(1, 5*time.Second)
		w.checkBreaches(t)
		before.add(c)
		feeds.add(f2)
		confirmations.add(c2)
	}
	t.Logf("%+v before the configuration, %+v and %+v after it", before, feeds, confirmations)
	if before.share() < 0.9 {
		t.Errorf("%.3f of the urgent requests of the last %v before the configuration are in time, want 0.9", before.share(), last)
	}
	if feeds.share() < 0.98 || confirmations.share() < 0.98 {
		t.Errorf("%.3f of the feeds and %.3f of the urgent requests after the configuration are in time, want 0.98", feeds.share(), confirmations.share())
	}
}
