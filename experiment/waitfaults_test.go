package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// waiting returns what waits at the agent.
func (v *agentVM) waiting() datagram.WaitingState { return v.a.Status(v.w.now - v.startedAt).Waiting }

// mostWaiting returns the agent at which most requests wait.
func (w *simulation) mostWaiting() (most *agentVM) {
	for _, v := range w.agentsByAddress() {
		if most == nil || v.waiting().Normal > most.waiting().Normal {
			most = v
		}
	}
	return most
}

// hang delays everything that the upstream has to do by d. It still announces itself.
func (u *upstream) hang(d time.Duration) {
	for i := range u.slotFreeAt {
		u.slotFreeAt[i] = max(u.slotFreeAt[i], u.w.now) + d
	}
}

// Guards against requests that run twice, flows that break, and callers that are not served any
// more, when something fails while openings and requests wait at an agent.
func TestFaultsWhileRequestsWait(t *testing.T) {
	for name, fault := range map[string]func(w *simulation, v *agentVM){
		"none": func(*simulation, *agentVM) {},
		"agent killed": func(w *simulation, v *agentVM) {
			v.stop()
			w.after(300*time.Millisecond, v.start)
		},
		"upstream restarts": func(w *simulation, v *agentVM) {
			v.u.crash()
			w.after(300*time.Millisecond, v.u.start)
		},
		"upstream stops answering": func(_ *simulation, v *agentVM) { v.u.hang(1500 * time.Millisecond) },
		"zone evacuated":           func(w *simulation, v *agentVM) { w.setZoneOut(v.zone, true) },
		"upstream drains":          func(_ *simulation, v *agentVM) { v.drain() },
		"callers leave": func(w *simulation, _ *agentVM) {
			for _, c := range w.callers {
				if c.waiting {
					c.endRequest()
					c.closeFlow()
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(t) {
				w, _, _ := loadedSites["short queue"].start(t, seed)
				w.runs = map[requestKey]int{}
				w.play(1.5/usualUse, time.Second)
				v := w.mostWaiting()
				n := v.waiting()
				if n.Normal == 0 {
					t.Fatalf("seed %d: nothing waits when the fault begins", seed)
				}
				fault(w, v)
				w.play(1.5/usualUse, 500*time.Millisecond)
				// An evacuation takes 5 s. A caller whose flow it cut learns that by its next request,
				// which is lost, so most idle flows have to be used once before the check.
				w.play(1, 12*time.Second)
				f, c := w.play(1, time.Second)
				w.play(1, 2*time.Second)
				w.checkBreaches(t)
				for k, n := range w.runs {
					if n > 1 {
						t.Errorf("seed %d: request %d of flow %v ran %d times", seed, k.seq, k.flow, n)
					}
				}
				for _, v := range w.agentsByAddress() {
					if x := v.waiting(); x != (datagram.WaitingState{}) {
						t.Errorf("seed %d: %+v wait at %v at the end", seed, x, v.ip)
					}
				}
				t.Logf("seed %d: %+v waited; later feeds %+v, confirmations %+v", seed, n, *f, *c)
				if f.share() < 0.98 || c.share() < 0.98 {
					t.Errorf("seed %d: %.3f of the feeds and %.3f of the urgent requests in time some seconds later", seed, f.share(), c.share())
				}
			}
		})
	}
}

// Guards against decisions that change for upstreams which bear their load.
func TestNothingWaitsBelowCapacity(t *testing.T) {
	for site, s := range loadedSites {
		t.Run(site, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(t) {
				w, _, _ := s.start(t, seed)
				w.play(0.7/usualUse, 4*time.Second)
				for _, v := range w.agentsByAddress() {
					if c := v.a.Count; c.Held+c.Kept+c.Rejected > 0 {
						t.Errorf("seed %d: %d openings held, %d requests kept, %d rejected at %v", seed, c.Held, c.Kept, c.Rejected, v.ip)
					}
				}
			}
		})
	}
}
