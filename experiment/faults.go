package experiment

import (
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// powerLoss stops everything for d; each VM starts within 0.3 s then.
func (w *world) powerLoss(d time.Duration) {
	for _, v := range w.balancersInOrder() {
		v.stop()
		w.after(d+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), v.start)
	}
	for _, v := range w.agentsInOrder() {
		if v.lost {
			continue
		}
		v.stop()
		v.u.crash()
		w.after(d+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
			if !v.u.alive {
				v.u.start()
			}
			v.start()
		})
	}
}

// killAll ends every process; upstreams live on, and processes are back after d.
func (w *world) killAll(d time.Duration) {
	w.restart(len(w.balancers), d)
	for _, v := range w.agentsInOrder() {
		if v.lost {
			continue
		}
		v.stop()
		w.after(d, v.start)
	}
}

// restart ends n balancers, of different places in the order of addresses, for d.
func (w *world) restart(n int, d time.Duration) {
	for _, v := range spread(w.balancersInOrder(), n) {
		v.stop()
		w.after(d, v.start)
	}
}

// each does something to n agents' VMs that live, of different places in the order of
// addresses, so that a day hits several availability zones.
func (w *world) each(n int, do func(*agentVM)) {
	var live []*agentVM
	for _, v := range w.agentsInOrder() {
		if v.up && v.u.alive && !v.u.draining {
			live = append(live, v)
		}
	}
	for _, v := range spread(live, n) {
		do(v)
	}
}

// spread returns n of the VMs, or all, as far from each other in their order as they can be.
func spread[V any](vs []V, n int) []V {
	n = min(n, len(vs))
	out := make([]V, 0, n)
	for i := range n {
		out = append(out, vs[i*len(vs)/n])
	}
	return out
}

// lose takes the VM away for good.
func (v *agentVM) lose() {
	v.lost = true
	v.stop()
	v.u.crash()
}

// crash ends the upstream alone.
func (v *agentVM) crash() { v.u.crash() }

// drain has the upstream say with its next heartbeat that it leaves.
func (v *agentVM) drain() { v.u.draining = true }

// cutOff cuts n balancers off from all VMs but each other, for d.
func (w *world) cutOff(n int, d time.Duration) {
	w.cut = map[datagram.IP]bool{}
	for i, v := range w.balancersInOrder() {
		if i < n {
			w.cut[v.ip] = true
		}
	}
	w.after(d, func() { w.cut = nil })
}

// burst adds n callers for d.
func (w *world) burst(n int, d time.Duration) {
	first := len(w.callers)
	for i := range n {
		c := w.addCaller(first+i, callerPause)
		w.after(d, func() { c.stopped = true })
	}
}

// lossy loses a share of the datagrams between VMs for d.
func (w *world) lossy(share float64, d time.Duration) {
	w.loss = share
	w.after(d, func() { w.loss = 0 })
}

// freeze has n balancers stand still for d. What comes meanwhile waits for them.
func (w *world) freeze(n int, d time.Duration) {
	for _, v := range spread(w.balancersInOrder(), n) {
		if !v.up || v.frozen {
			continue
		}
		v.frozen = true
		v.later(d, v.thaw)
	}
}

// slowStore has the store answer balancers that start after wait, for d.
func (w *world) slowStore(wait, d time.Duration) {
	w.storeRead = wait
	w.after(d, func() { w.storeRead = 0 })
}
