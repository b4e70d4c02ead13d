package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// An upstream was taken away and its VM stayed. Then all processes were killed:
// the agent there came back beside no upstream, gave it packets that balancers
// were looking a place for, and none came back. Half of all boards stayed empty
// until their callers' deadlines, though their upstreams lived.
func TestAgentWithoutUpstreamHoldsUpNoWalk(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 9, 200)
		for _, v := range w.agentsInOrder()[:2] {
			v.u.crash()
		}
		w.run(w.now + 3*time.Second)
		w.mark = w.now + 600*time.Millisecond
		w.killAll(500 * time.Millisecond)
		w.run(w.now + 6*time.Second)
		w.check(t)
		if w.stranded > 0 {
			t.Errorf("seed %d: %d requests failed on flows whose upstreams live", seed, w.stranded)
		}
	}
}

// Balancers have lost their memory when an upstream's VM dies. For most of a
// second they take its agent for alive, and each walk that came to it ended
// there, with every retransmission, while the flow lived further down.
func TestDeadAgentHoldsUpNoWalk(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 300)
		for _, v := range w.balancersInOrder() {
			v.stop()
			v.start()
		}
		w.run(w.now + 100*time.Millisecond)
		w.mark = w.now
		v := w.agentsInOrder()[seed%7]
		v.stop()
		v.u.crash()
		w.run(w.now + 4*time.Second)
		w.check(t)
		if w.stranded > 0 {
			t.Errorf("seed %d: %d requests failed on flows whose upstreams live", seed, w.stranded)
		}
	}
}

// An agent greets balancers as its VM starts, and the VM is taken away 0.3 s later.
// Balancers held it for alive for 4 s, as long as one that tells them seldom, and
// sent it openings and walks.
func TestAgentThatDiesAfterItsGreetingIsDoubted(t *testing.T) {
	w := site(t, 1, 12, 20, 0)
	v := w.addAgent(30, "zone-1")
	v.tick()
	w.run(w.now + 300*time.Millisecond)
	v.stop()
	v.u.crash()
	w.run(w.now + 1500*time.Millisecond)
	for _, b := range w.balancersInOrder() {
		if s := b.b.Status(w.now - b.since); s.AgentsDoubted != 1 {
			t.Errorf("balancer %v doubts %d agents", b.ip, s.AgentsDoubted)
		}
	}
}

// A VM dies for good with its upstream, and balancers remember its flows: they sent
// packets there and nowhere else, and each caller waited for its deadline, here 3 s as
// at the ordering desk. Callers are told once nobody can hold the flow, and are served
// elsewhere before that.
func TestRememberedFlowsOfADeadVMEndInTime(t *testing.T) {
	for seed := range uint64(10) {
		w := site(t, seed, 4, 7, 200)
		for _, c := range w.callers {
			c.deadline = 3 * time.Second
		}
		w.run(w.now + 3*time.Second)
		v := w.agentsInOrder()[seed%7]
		v.stop()
		v.u.crash()
		w.run(w.now + 8*time.Second)
		w.check(t)
		if w.failed > 0 {
			t.Errorf("seed %d: %d of %d requests failed", seed, w.failed, w.answered+w.failed)
		}
	}
}

// Packets pass one way only, so a balancer does not hear an agent whose flows work.
// None of them may be cut, however long that lasts.
func TestFlowsOfAnAgentThatIsNotHeardGoOn(t *testing.T) {
	for seed := range uint64(5) {
		w := site(t, seed, 4, 7, 150)
		v := w.agentsInOrder()[seed%7]
		w.mute = map[datagram.IP]bool{v.ip: true}
		w.run(w.now + 8*time.Second)
		w.check(t)
		if w.failed > 0 {
			t.Errorf("seed %d: %d of %d requests failed", seed, w.failed, w.answered+w.failed)
		}
	}
}
