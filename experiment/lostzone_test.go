package experiment

import (
	"cmp"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// toldAt returns when the flow on which the caller waited was reset, if it was.
func (c *waitingCaller) toldAt() (time.Duration, bool) {
	at, ok := c.resetAt[c.attempt]
	return at, ok
}

// Guards against callers that wait for their deadlines when an availability zone loses power:
// the upstream, the agent and often the balancer of their flows are gone, they have nothing
// to send, and nobody tells them. Homes in other zones know their flows, and the agent's next
// run proves that its upstream has lost them.
func TestCallersOfLostZoneAreToldWhenItReturns(t *testing.T) {
	for name, x := range map[string]struct {
		balancers, agents int
		down, deadline    time.Duration
		want              float64 // share of the waiting callers
	}{
		"small site, back after 0.8 s":    {6, 12, 800 * time.Millisecond, 2 * time.Second, 0.75},
		"larger site, back after 0.8 s":   {23, 60, 800 * time.Millisecond, 2 * time.Second, 0.75},
		"back after 2 s, deadline of 4 s": {6, 12, 2 * time.Second, 4 * time.Second, 0.75},
		"back after 2 s, deadline of 2 s": {6, 12, 2 * time.Second, 2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			told, waiting, failed := 0, 0, 0
			for seed := range uint64(5) {
				w := newSiteWithLongRequests(t, seed, x.balancers, x.agents, 30*x.agents, 100*time.Millisecond, x.deadline)
				cs, before := w.waitingAt("zone-0"), w.failed
				w.loseZone("zone-0", 3, x.down)
				w.runUntil(w.now + x.deadline)
				for _, c := range cs {
					if _, ok := c.toldAt(); ok {
						told++
					}
				}
				waiting += len(cs)
				w.runUntil(w.now + time.Second)
				failed += w.failed - before
				w.checkBreaches(t)
			}
			t.Logf("%d of %d waiting callers were told; %d requests failed in all", told, waiting, failed)
			if waiting == 0 || float64(told) < x.want*float64(waiting) {
				t.Errorf("%d of %d waiting callers were told before their deadlines, want a share of %v", told, waiting, x.want)
			}
		})
	}
}

// lostFlows returns how many flows the balancers have reset as homes, how often they asked
// another home about one, and in how many messages.
func (w *simulation) lostFlows() (reset, asked, questions int) {
	for _, v := range w.balancersByAddress() {
		c := v.b.Status(w.now - v.startedAt).Counts
		reset, asked, questions = reset+int(c.LostFlows), asked+int(c.LostAsked), questions+int(c.LostQuestions)
	}
	return reset, asked, questions
}

// killAgents kills the agents of an availability zone, or all for "", and starts them again
// after d. Their upstreams keep running.
func (w *simulation) killAgents(zone string, d time.Duration) {
	for _, v := range w.agentsByAddress() {
		if zone == "" || v.zone == zone {
			v.stop()
			w.after(d, v.start)
		}
	}
}

// Guards against resets of flows whose upstreams live, by homes that no longer hear their
// agents, or that hear an agent that was started again beside its upstream. All callers only
// wait for an answer that takes longer than the fault.
func TestFlowsOfLivingUpstreamsAreNotResetByHomes(t *testing.T) {
	for name, x := range map[string]struct {
		fault func(*simulation)
		lost  bool // upstreams of zone-0 lose their flows
	}{
		"an agent is cut off": {func(w *simulation) {
			w.partitioned = map[datagram.IP]bool{w.agentsByAddress()[0].ip: true}
			w.after(3*time.Second, func() { w.partitioned = nil })
		}, false},
		"an agent is muted": {func(w *simulation) {
			w.muted = map[datagram.IP]bool{w.agentsByAddress()[0].ip: true}
			w.after(3*time.Second, func() { w.muted = nil })
		}, false},
		"an availability zone is cut off": {func(w *simulation) { w.cutZone("zone-0", 3, 3*time.Second) }, false},
		"agents are killed":               {func(w *simulation) { w.killAgents("", 800*time.Millisecond) }, false},
		"agents are killed twice": {func(w *simulation) {
			w.killAgents("", 500*time.Millisecond)
			w.after(1400*time.Millisecond, func() { w.killAgents("", 300*time.Millisecond) })
		}, false},
		"all processes are killed": {func(w *simulation) { w.killAll(800 * time.Millisecond) }, false},
		"agents of a zone that is cut off are killed": {func(w *simulation) {
			w.cutZone("zone-0", 3, 3*time.Second)
			w.killAgents("zone-0", 800*time.Millisecond)
		}, false},
		"agents are killed while datagrams are lost": {func(w *simulation) {
			w.loseDatagrams(0.05, 3*time.Second)
			w.killAgents("", 800*time.Millisecond)
		}, false},
		"a zone loses power beside agents that are killed": {func(w *simulation) {
			w.loseZone("zone-0", 3, 800*time.Millisecond)
			w.killAgents("zone-1", 800*time.Millisecond)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				w := newSiteWithLongRequests(t, seed, 6, 12, 60, 3500*time.Millisecond, 8*time.Second)
				for _, c := range w.callers {
					c.stopped = true
				}
				w.runUntil(w.now + 300*time.Millisecond)
				alive := slices.Concat(w.waitingAt("zone-1"), w.waitingAt("zone-2"))
				if !x.lost {
					alive = append(alive, w.waitingAt("zone-0")...)
				}
				x.fault(w)
				w.runUntil(w.now + 6*time.Second)
				w.checkBreaches(t)
				answered, told := 0, 0
				for _, c := range alive {
					if _, ok := c.toldAt(); ok {
						told++
					} else if !c.waiting {
						answered++
					}
				}
				// An answer is lost if its agent is down at that moment.
				if told > 0 || len(alive) < 10 || answered < len(alive)*3/4 {
					t.Errorf("seed %d: of %d callers whose upstreams live %d were answered, %d flows were reset", seed, len(alive), answered, told)
				}
				if n, _, _ := w.lostFlows(); !x.lost && n > 0 {
					t.Errorf("seed %d: homes reset %d flows", seed, n)
				}
			}
		})
	}
}

// Guards against homes that ask each other about a lost flow again and again. POMELOWAY_BALANCERS
// and POMELOWAY_AGENTS set another size of the fleet.
func TestCostOfLostZone(t *testing.T) {
	balancers, agents := sizeFromEnv(t, "POMELOWAY_BALANCERS", 23), sizeFromEnv(t, "POMELOWAY_AGENTS", 60)
	w := newSiteWithLongRequests(t, 1, balancers, agents, 20*agents, 3500*time.Millisecond, 8*time.Second)
	for _, c := range w.callers {
		c.stopped, c.givesUp = true, true
	}
	w.runUntil(w.now + 300*time.Millisecond)
	waiting := w.waitingAt("zone-0")
	w.loseZone("zone-0", 3, 800*time.Millisecond)
	begin := w.now
	w.runUntil(begin + 3*time.Second)
	w.checkBreaches(t)
	var told []time.Duration
	for _, c := range waiting {
		if at, ok := c.toldAt(); ok {
			told = append(told, at-begin)
		}
	}
	slices.Sort(told)
	n, asked, questions := w.lostFlows()
	if len(told) == 0 || n < len(told) {
		t.Fatalf("%d of %d waiting callers were told, homes reset %d flows", len(told), len(waiting), n)
	}
	t.Logf("%d balancers, %d agents: %d of %d waiting callers were told, half of them after %v, the last after %v; "+
		"homes reset %d flows, after %d questions about %d",
		balancers, agents, len(told), len(waiting), told[len(told)/2], told[len(told)-1], n, questions, asked)
	if asked > 3*n {
		t.Errorf("homes were asked %d times about %d flows", asked, n)
	}
}

// sizeFromEnv returns the size in the environment variable, or small if it is not set.
func sizeFromEnv(t *testing.T, variable string, small int) int {
	t.Helper()
	n, err := strconv.Atoi(cmp.Or(os.Getenv(variable), strconv.Itoa(small)))
	if err != nil {
		t.Fatal(err)
	}
	return n
}
