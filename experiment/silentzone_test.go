package experiment

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// waitingCaller is a caller with a request in progress that its upstream has acknowledged.
type waitingCaller struct {
	*caller
	attempt int
}

// newSiteWithLongRequests creates a site whose upstreams acknowledge requests, and take the
// given time for each since a second ago. Callers have the given deadline.
func newSiteWithLongRequests(t *testing.T, seed uint64, balancers, agents, callers int, serviceTime, deadline time.Duration) *simulation {
	w := newSite(t, seed, balancers, agents, callers)
	w.acknowledges = true
	for _, v := range w.agentsByAddress() {
		v.u.serviceTime = serviceTime
	}
	for _, c := range w.callers {
		c.timeout = deadline
	}
	w.runUntil(w.now + time.Second)
	return w
}

// waitingAt returns the callers that only wait for upstreams of the availability zone.
func (w *simulation) waitingAt(zone string) (out []*waitingCaller) {
	for _, c := range w.callers {
		if u := w.owners[c.flow()]; u != nil && u.vm.zone == zone && c.open && c.waiting && c.acknowledged {
			out = append(out, &waitingCaller{c, c.attempt})
		}
	}
	return out
}

// agentsGone returns the least number of agents that one of the balancers of the other zones
// considers gone.
func (w *simulation) agentsGone(zone string, zones int) int {
	least := math.MaxInt
	for i, v := range w.balancersByAddress() {
		if zoneOfBalancer(i, zones) != zone {
			least = min(least, v.b.Status(w.now-v.startedAt).AgentsGone)
		}
	}
	return least
}

// Shows why homes do not reset the flows of agents that are only silent: until an upstream of
// a zone that is cut off answers, the balancers of the other zones receive the same datagrams
// at the same times as when the zone has lost power. (Kinds and lengths are compared: the
// sequence numbers depend on the random order of maps, also between two runs of one fault.)
// All of them consider the agents gone by then, so whatever they would reset in the one case
// they would reset in the other, where the callers are answered.
func TestSilenceDoesNotProveThatFlowsAreLost(t *testing.T) {
	type result struct {
		received                []string
		gone, waiting, answered int
	}
	play := func(fault func(*simulation)) (r result) {
		w := newSiteWithLongRequests(t, 1, 6, 12, 60, 3800*time.Millisecond, 8*time.Second)
		for _, c := range w.callers {
			c.stopped = true
		}
		w.runUntil(w.now + 300*time.Millisecond)
		inZone := map[datagram.IP]bool{}
		for i, v := range w.balancersByAddress() {
			inZone[v.ip] = zoneOfBalancer(i, 3) == "zone-0"
		}
		begin := w.now
		cs := slices.DeleteFunc(w.waitingAt("zone-0"), func(c *waitingCaller) bool { return begin-c.requestStart > 700*time.Millisecond })
		fault(w)
		w.runUntil(begin + 5*time.Millisecond) // what was sent before the fault has arrived
		w.onReceive = func(to datagram.IP, b []byte) {
			if !inZone[to] {
				r.received = append(r.received, fmt.Sprint(w.now, to, datagram.Kind(b[1]), len(b)))
			}
		}
		w.runUntil(begin + 3*time.Second)
		slices.Sort(r.received)
		r.gone, r.waiting = w.agentsGone("zone-0", 3), len(cs)
		for _, c := range cs {
			if !c.waiting {
				t.Error("a caller was answered before the balancers were compared")
			}
		}
		w.runUntil(begin + 5*time.Second)
		for _, c := range cs {
			if !c.waiting {
				r.answered++
			}
		}
		w.checkBreaches(t)
		return r
	}
	lost := play(func(w *simulation) { w.loseZone("zone-0", 3, time.Minute) })
	cut := play(func(w *simulation) { w.cutZone("zone-0", 3, time.Minute) })
	if len(lost.received) == 0 || !slices.Equal(lost.received, cut.received) || lost.gone != 4 || cut.gone != 4 {
		t.Errorf("balancers received %d datagrams and consider %d agents gone after a loss of power, %d and %d after a cut",
			len(lost.received), lost.gone, len(cut.received), cut.gone)
	}
	if lost.waiting == 0 || lost.answered != 0 || cut.answered != cut.waiting {
		t.Errorf("%d of %d waiting callers were answered after a loss of power, %d of %d after a cut",
			lost.answered, lost.waiting, cut.answered, cut.waiting)
	}
}
