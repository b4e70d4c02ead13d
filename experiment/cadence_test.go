package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// On a fleet everybody who told everybody each 250 ms would fill a node's share
// of control traffic, 13 kB/s, at some thirty VMs. With one balancer to six
// agents, as in the size to design for, a quiet node must stay within it.
func TestControlTrafficStaysWithinANodesShare(t *testing.T) {
	for name, balancers := range map[string]int{"10 and 60": 10, "25 and 150": 25, "50 and 300": 50} {
		t.Run(name, func(t *testing.T) {
			w := site(t, 1, balancers, 6*balancers, 0)
			w.run(w.now + 2*time.Second)
			w.heard = map[datagram.IP]int{}
			const span = 4
			w.run(w.now + span*time.Second)
			most, sum := 0, 0
			for _, n := range w.heard {
				most, sum = max(most, n/span), sum+n/span
			}
			t.Logf("%d VMs: most %d B/s, mean %d B/s", len(w.heard), most, sum/len(w.heard))
			if most > 13_000 {
				t.Errorf("a node hears %d B/s", most)
			}
		})
	}
}

// An agent dies on a fleet where few balancers hear it often. All must ask others
// first within about a second, though most hear it each 15 s.
func TestDeathIsToldToTheWholeFleet(t *testing.T) {
	w := site(t, 1, 30, 180, 0)
	dead := w.agentsInOrder()[7]
	dead.stop()
	dead.u.crash()
	w.run(w.now + 1500*time.Millisecond)
	for _, v := range w.balancersInOrder() {
		if s := v.b.Status(w.now - v.since); s.AgentsDoubted != 1 {
			t.Errorf("balancer %v doubts %d agents", v.ip, s.AgentsDoubted)
		}
	}
	w.after(0, func() { dead.u.start(); dead.start() })
	w.run(w.now + 3*time.Second)
	for _, v := range w.balancersInOrder() {
		if s := v.b.Status(w.now - v.since); s.AgentsDoubted != 0 {
			t.Errorf("balancer %v still doubts it after its return", v.ip)
		}
	}
}

// A balancer of a fleet is started again. Most agents tell it of themselves each
// seconds only, and until then it could neither choose among them nor say that a
// flow is gone: callers waited 2 s longer than on a small site.
func TestRestartedBalancerHearsAllAgentsAtOnce(t *testing.T) {
	w := site(t, 1, 30, 180, 0)
	v := w.balancersInOrder()[3]
	v.stop()
	v.start()
	w.run(w.now + 100*time.Millisecond)
	if s := v.b.Status(w.now - v.since); s.AgentsHeard != 180 {
		t.Errorf("%d agents of 180 heard after 0.1 s", s.AgentsHeard)
	}
}
