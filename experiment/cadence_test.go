package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against control traffic per VM that grows with the fleet beyond its limit.
func TestControlTrafficPerVMIsBounded(t *testing.T) {
	for name, balancers := range map[string]int{"10 and 60": 10, "25 and 150": 25, "50 and 300": 50} {
		t.Run(name, func(t *testing.T) {
			w := newSite(t, 1, balancers, 6*balancers, 0)
			w.runUntil(w.now + 2*time.Second)
			w.controlBytes = map[datagram.IP]int{}
			const span = 4
			w.runUntil(w.now + span*time.Second)
			most, sum := 0, 0
			for _, n := range w.controlBytes {
				most, sum = max(most, n/span), sum+n/span
			}
			t.Logf("%d VMs: most %d B/s, mean %d B/s", len(w.controlBytes), most, sum/len(w.controlBytes))
			if most > 13_000 {
				t.Errorf("a VM receives %d B/s of control messages, want at most 13000", most)
			}
		})
	}
}

// Guards against balancers that notice a dead agent only when its next status is due.
// In a large fleet, an agent sends its status to most balancers rarely.
func TestWholeFleetDoubtsDeadAgent(t *testing.T) {
	w := newSite(t, 1, 30, 180, 0)
	dead := w.agentsByAddress()[7]
	dead.stop()
	dead.u.crash()
	w.runUntil(w.now + 1500*time.Millisecond)
	for _, v := range w.balancersByAddress() {
		if s := v.b.Status(w.now - v.startedAt); s.AgentsDoubted != 1 {
			t.Errorf("balancer %v doubts %d agents, want 1", v.ip, s.AgentsDoubted)
		}
	}
	w.after(0, func() { dead.u.start(); dead.start() })
	w.runUntil(w.now + 3*time.Second)
	for _, v := range w.balancersByAddress() {
		if s := v.b.Status(w.now - v.startedAt); s.AgentsDoubted != 0 {
			t.Errorf("balancer %v still doubts the agent after its restart", v.ip)
		}
	}
}

// Guards against a restarted balancer that knows some agents only after the long status
// interval of a large fleet.
func TestRestartedBalancerKnowsAllAgentsAtOnce(t *testing.T) {
	w := newSite(t, 1, 30, 180, 0)
	v := w.balancersByAddress()[3]
	v.stop()
	v.start()
	w.runUntil(w.now + 100*time.Millisecond)
	if s := v.b.Status(w.now - v.startedAt); s.AgentsHeard != 180 {
		t.Errorf("received the status of %d agents within 0.1 s, want 180", s.AgentsHeard)
	}
}

// Guards against links of small VMs that are full when all VMs return at once: every process
// then sends statuses to every other one, and those of balancers listed all balancers.
func TestReturnOfAllProcessesSendsFewBytes(t *testing.T) {
	t.Parallel()
	const (
		balancers, agents = 91, 204
		statuses          = 4   // from each other process, within two seconds
		statusBytes       = 160 // with headers, and a few balancers
	)
	w := newSite(t, 1, balancers, agents, 0)
	w.killAll(time.Second)
	w.runUntil(w.now + 900*time.Millisecond)
	w.controlBytes = map[datagram.IP]int{}
	w.runUntil(w.now + 2100*time.Millisecond)
	most := 0
	for _, n := range w.controlBytes {
		most = max(most, n)
	}
	if bound := (balancers + agents) * statuses * statusBytes; most > bound {
		t.Errorf("a VM receives %d B of control messages, want at most %d", most, bound)
	}
}
