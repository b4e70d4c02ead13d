package experiment

import (
	"testing"
	"time"
)

// Guards against periods that fit one interval of heartbeats only: agents are killed at every
// phase of it while upstreams drain, crash and start cold.
func TestAgentsRestartAtAnyHeartbeatInterval(t *testing.T) {
	for name, interval := range map[string]time.Duration{
		"0.25 s": 250 * time.Millisecond, "0.77 s": 770 * time.Millisecond, "3 s": 3 * time.Second, "10 s": 10 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, err := newSimulation(11)
			if err != nil {
				t.Fatal(err)
			}
			w.heartbeat, w.coldStart = interval, time.Second
			for i := range 6 {
				w.addBalancer(i, size{})
			}
			const agents = 20
			for i := range agents {
				w.addAgent(i, zoneName(i%3)).tick()
			}
			w.runUntil(settleTime + interval)
			for i := range 120 {
				w.addCaller(i, callerPause).flowPerRequest = i%flowPerRequestInterval == flowPerRequestInterval-1
			}
			w.runUntil(w.now + 2*settleTime)
			const length = 20 * time.Second
			w.dayStart = w.now
			began, probes := w.now, 0
			for _, v := range w.agents {
				probes -= v.probes
			}
			for i, v := range w.agentsByAddress()[:agents/2] {
				w.after(time.Duration(i)*interval*13/10/(agents/2)+time.Duration(i)*300*time.Millisecond, func() {
					v.stop()
					w.after(400*time.Millisecond, v.start)
				})
			}
			last := w.agentsByAddress()[agents-3:]
			w.after(4*time.Second, last[0].drain)
			w.after(5*time.Second, func() {
				last[1].u.crash()
				w.after(1500*time.Millisecond, last[1].u.start)
			})
			w.runUntil(w.now + length)
			var sum Second
			for _, s := range w.seconds {
				sum.Begun, sum.InAim = sum.Begun+s.Begun, sum.InAim+s.InAim
			}
			if len(w.breaches) > 0 {
				t.Errorf("breaches: %v", w.breaches)
			}
			if sum.Begun < 1000 || sum.Share() < 0.98 {
				t.Errorf("%.4f of %d requests in time, want 0.98", sum.Share(), sum.Begun)
			}
			for _, v := range w.agents {
				probes += v.probes
			}
			if most := agents + 4*int((w.now-began)/time.Second); probes > most {
				t.Errorf("%d connections in %v to %d upstreams that run but for one, want at most %d", probes, w.now-began, agents, most)
			}
		})
	}
}
