package experiment

import (
	"cmp"
	"slices"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// powerLoss stops all balancers, agents and upstreams for d. Each VM then starts within
// another 0.3 s.
func (w *simulation) powerLoss(d time.Duration) {
	for _, v := range w.balancersByAddress() {
		v.stop()
		w.after(d+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), v.start)
	}
	for _, v := range w.agentsByAddress() {
		if v.lost {
			continue
		}
		v.stop()
		v.u.crash()
		w.after(d+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
			if !v.lost && !v.u.alive {
				v.u.start()
			}
			v.start()
		})
	}
}

// zoneOfBalancer returns the availability zone of the n-th of the balancers, which are
// distributed evenly over the given number of zones.
func zoneOfBalancer(n, zones int) string { return zoneName(n % zones) }

// loseZone stops all processes of an availability zone for d, and its upstreams lose their
// flows. Each VM then starts within another 0.3 s.
func (w *simulation) loseZone(zone string, zones int, d time.Duration) {
	later := func() time.Duration { return d + time.Duration(w.rng.Int64N(int64(300*time.Millisecond))) }
	for i, v := range w.balancersByAddress() {
		if zoneOfBalancer(i, zones) == zone {
			v.stop()
			w.after(later(), v.start)
		}
	}
	for _, v := range w.agentsByAddress() {
		if v.zone != zone || v.lost {
			continue
		}
		v.stop()
		v.u.crash()
		w.after(later(), func() {
			if !v.lost && !v.u.alive {
				v.u.start()
			}
			v.start()
		})
	}
}

// cutZone cuts an availability zone off from the others for d. Its processes can still reach
// each other and callers.
func (w *simulation) cutZone(zone string, zones int, d time.Duration) {
	w.partitioned = map[datagram.IP]bool{}
	for i, v := range w.balancersByAddress() {
		w.partitioned[v.ip] = zoneOfBalancer(i, zones) == zone
	}
	for _, v := range w.agentsByAddress() {
		w.partitioned[v.ip] = v.zone == zone
	}
	w.after(d, func() { w.partitioned = nil })
}

// killAll stops every balancer and agent process and starts them again after d. Upstreams
// keep running.
func (w *simulation) killAll(d time.Duration) {
	w.restartBalancers(len(w.balancers), d)
	for _, v := range w.agentsByAddress() {
		if v.lost {
			continue
		}
		v.stop()
		w.after(d, v.start)
	}
}

// restartBalancers stops n balancers, evenly spaced in the order of addresses, and starts
// them again after d.
func (w *simulation) restartBalancers(n int, d time.Duration) {
	for _, v := range evenlySpaced(w.balancersByAddress(), n) {
		v.stop()
		w.after(d, v.start)
	}
}

// forEachLiveAgent calls do for n agent VMs that run and whose upstreams run and do not
// drain. The VMs are evenly spaced in the order of addresses, so that a fault affects
// several availability zones.
func (w *simulation) forEachLiveAgent(n int, do func(*agentVM)) {
	var live []*agentVM
	for _, v := range w.agentsByAddress() {
		if v.up && v.u.alive && !v.u.draining {
			live = append(live, v)
		}
	}
	for _, v := range evenlySpaced(live, n) {
		do(v)
	}
}

// evenlySpaced returns n of the VMs, or all if there are fewer, at even distances in
// their order.
func evenlySpaced[V any](vs []V, n int) []V {
	n = min(n, len(vs))
	out := make([]V, 0, n)
	for i := range n {
		out = append(out, vs[i*len(vs)/n])
	}
	return out
}

// lose stops the VM and its upstream permanently.
func (v *agentVM) lose() {
	v.lost = true
	v.stop()
	v.u.crash()
}

// crash stops the upstream; its agent keeps running.
func (v *agentVM) crash() { v.u.crash() }

// drain makes the upstream announce with its next heartbeat that it drains.
func (v *agentVM) drain() { v.u.draining = true }

// overlapping holds the strengths of the faults of one kind that are in progress. Of faults
// that overlap the strongest has effect.
type overlapping[T cmp.Ordered] struct{ active []T }

func (o *overlapping[T]) begin(x T) { o.active = append(o.active, x) }

// end ends one of the faults of the strength.
func (o *overlapping[T]) end(x T) {
	if i := slices.Index(o.active, x); i >= 0 {
		o.active = slices.Delete(o.active, i, i+1)
	}
}

// strongest returns the greatest strength, or 0 if no fault is in progress.
func (o *overlapping[T]) strongest() (x T) {
	for _, a := range o.active {
		x = max(x, a)
	}
	return x
}

// during begins a fault of the strength and ends it after d. It calls apply with the
// strength in effect after each change.
func during[T cmp.Ordered](w *simulation, o *overlapping[T], x T, d time.Duration, apply func(T)) {
	o.begin(x)
	apply(o.strongest())
	w.after(d, func() {
		o.end(x)
		apply(o.strongest())
	})
}

// partition cuts the first n balancers off from all other VMs for d. They can still reach
// each other and callers.
func (w *simulation) partition(n int, d time.Duration) {
	during(w, &w.cuts, n, d, func(n int) {
		w.partitioned = map[datagram.IP]bool{}
		for _, v := range w.balancersByAddress()[:min(n, len(w.balancers))] {
			w.partitioned[v.ip] = true
		}
	})
}

// burst adds n callers that stop after d.
func (w *simulation) burst(n int, d time.Duration) {
	first := len(w.callers)
	for i := range n {
		c := w.addCaller(first+i, callerPause)
		w.after(d, func() { c.stopped = true })
	}
}

// loseDatagrams drops the given share of all datagrams, also of those to and from callers,
// for d.
func (w *simulation) loseDatagrams(share float64, d time.Duration) {
	during(w, &w.losses, share, d, func(x float64) { w.lossRate = x })
}

// freeze pauses n balancers for d. Datagrams that arrive meanwhile are queued.
func (w *simulation) freeze(n int, d time.Duration) {
	for _, v := range evenlySpaced(w.balancersByAddress(), n) {
		if !v.up || v.frozen {
			continue
		}
		v.frozen = true
		v.afterInLife(d, v.unfreeze)
	}
}

// slowStore sets the latency of the store for balancers and agents that start within the
// next d.
func (w *simulation) slowStore(wait, d time.Duration) {
	during(w, &w.storeDelays, wait, d, func(x time.Duration) { w.storeLatency = x })
}
