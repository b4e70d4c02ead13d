package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// watchers returns the balancers that run and watch the store.
func (w *simulation) watchers() []*balancerVM {
	var out []*balancerVM
	for _, v := range w.balancersByAddress() {
		if v.up && v.b.WatchesStore() {
			out = append(out, v)
		}
	}
	return out
}

// fleets are sizes of fleets, from a single balancer to more than statuses can list.
var fleets = map[string]int{"1 balancer": 1, "2 balancers": 2, "7 balancers": 7, "23 balancers": 23, "91 balancers": 91}

// Guards against calls to the store that grow with the fleet, because every balancer
// watches it.
func TestFewBalancersWatchTheStore(t *testing.T) {
	t.Parallel()
	for name, n := range fleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSite(t, 1, n, 2*n, 0)
			for range 40 {
				w.runUntil(w.now + 500*time.Millisecond)
				if got, want := len(w.watchers()), min(3, n); got != want {
					t.Fatalf("%v: %d balancers watch the store, want %d", w.now, got, want)
				}
			}
		})
	}
}

// Guards against changes in the store that no balancer sees, because all watchers have ended
// or are cut off at once. Others must replace them well within the time in which a change
// has to be in force (3 s for up to 10 balancers, 5 s for more), and only a few of them.
func TestLostWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	const maxVolunteers = 30
	for fault, apply := range map[string]func(*simulation, *balancerVM){
		"killed":  func(_ *simulation, v *balancerVM) { v.stop() },
		"cut off": func(w *simulation, v *balancerVM) { w.partitioned[v.ip] = true },
	} {
		for name, n := range fleets {
			if n <= 3 {
				continue
			}
			t.Run(fault+", "+name, func(t *testing.T) {
				t.Parallel()
				w := newSite(t, 1, n, 2*n, 0)
				w.partitioned = map[datagram.IP]bool{}
				lost := map[datagram.IP]bool{}
				for _, v := range w.watchers() {
					lost[v.ip] = true
					apply(w, v)
				}
				replacements := func() (n int) {
					for _, v := range w.watchers() {
						if !lost[v.ip] {
							n++
						}
					}
					return n
				}
				bound := 2500 * time.Millisecond
				if n > 10 {
					bound = 4500 * time.Millisecond
				}
				for end := w.now + bound; w.now < end && replacements() == 0; {
					w.runUntil(w.now + 50*time.Millisecond)
				}
				if replacements() == 0 {
					t.Fatalf("no balancer watches the store %v after all %d watchers were %s", bound, len(lost), fault)
				}
				w.runUntil(w.now + 3*time.Second)
				if r := replacements(); r > maxVolunteers {
					t.Errorf("%d balancers have replaced %d watchers", r, len(lost))
				}
				w.runUntil(w.now + 20*time.Second)
				if r := replacements(); r != 3 {
					t.Errorf("%d balancers watch the store in the end, want 3", r)
				}
			})
		}
	}
}

// Guards against a store that answers some balancers, but no watcher: others are selected as
// soon as the watchers report that it does not answer them, and a total outage makes few of
// them call it.
func TestDetachedWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	w := newSite(t, 1, 91, 182, 0)
	first := w.watchers()
	for _, v := range first {
		v.b.SetDetached(true, w.now-v.startedAt)
	}
	w.runUntil(w.now + time.Second)
	for _, v := range first {
		if v.b.WatchesStore() {
			t.Errorf("balancer %v still watches a store that does not answer it", v.ip)
		}
	}
	if n := len(w.watchers()); n != 3 {
		t.Errorf("%d balancers watch the store, want 3", n)
	}
	tried := map[datagram.IP]bool{}
	for range 24 { // an outage of 6 s, which each watcher notices after up to 0.5 s
		for _, v := range w.watchers() {
			tried[v.ip] = true
			v.b.SetDetached(true, w.now-v.startedAt)
		}
		w.runUntil(w.now + 250*time.Millisecond)
	}
	if n := len(w.watchers()); n > 6 {
		t.Errorf("%d balancers call a store that answers nobody", n)
	}
	t.Logf("%d of 91 balancers have called the store", len(tried))
}
