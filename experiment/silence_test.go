package experiment

import (
	"testing"
	"time"
)

// restartInTurn restarts the balancers one after another, each down for a second.
func (w *simulation) restartInTurn(vs []*balancerVM, gap time.Duration) {
	for i, v := range vs {
		w.after(time.Duration(i)*gap, v.stop)
		w.after(time.Duration(i)*gap+time.Second, v.start)
	}
}

// countDoubts samples all balancers every 50 ms for d, and returns the sum of the agents
// that they doubt.
func (w *simulation) countDoubts(d time.Duration) (n int) {
	for end := w.now + d; w.now < end; {
		w.runUntil(w.now + 50*time.Millisecond)
		for _, v := range w.balancersByAddress() {
			if v.up {
				n += v.b.Status(w.now - v.startedAt).AgentsDoubted
			}
		}
	}
	return n
}

// Guards against balancers that consider a live agent silent and therefore doubt it. An
// agent announces its status interval; the failure occurs when a change of the fleet makes
// it send less often.
func TestNoLiveAgentIsDoubted(t *testing.T) {
	for name, change := range map[string]func(w *simulation){
		"balancers restarted in turn with a slow store": func(w *simulation) {
			w.storeLatency = 200 * time.Millisecond
			w.restartInTurn(w.balancersByAddress()[:8], 700*time.Millisecond)
		},
		"balancers added": func(w *simulation) {
			for i := range 5 {
				w.addBalancer(50+i, size{})
			}
		},
		"agents added": func(w *simulation) {
			for i := range 30 {
				w.addAgent(100+i, zoneName(i%3)).tick()
			}
		},
		"balancers lost": func(w *simulation) {
			for _, v := range w.balancersByAddress()[:5] {
				v.stop()
				delete(w.balancers, v.ip)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := newSite(t, seed, 23, 60, 0)
				change(w)
				if n := w.countDoubts(8 * time.Second); n > 0 {
					t.Errorf("seed %d: live agents were doubted %d times", seed, n)
				}
			}
		})
	}
}

// Guards against resets of live flows by balancers that are cut off. Such a balancer asks
// home balancers that are cut off with it, and these have not received the entries of
// flows opened since.
func TestFlowsOpenedDuringPartitionContinue(t *testing.T) {
	for seed := range uint64(6) {
		w := newSite(t, seed, 23, 60, 0)
		w.partition(7, 4*time.Second)
		for i := range 1000 {
			w.addCaller(i, time.Second)
		}
		w.restartInTurn(w.balancersByAddress()[7:], 700*time.Millisecond)
		for end := w.now + 8*time.Second; w.now < end; {
			w.runUntil(w.now + 300*time.Millisecond)
			w.routeSalt++
		}
		for _, s := range w.breaches {
			t.Errorf("seed %d: %s", seed, s)
		}
	}
}
