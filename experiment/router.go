package experiment

import (
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/fleet"
)

// balancerFor returns the balancer that the router sends the flow to, by rendezvous
// hashing over the balancers that are ready, or over all that run if none is ready; nil if none
// runs.
func (w *simulation) balancerFor(f datagram.Flow) *balancerVM {
	var best *balancerVM
	var bestScore uint64
	ready := false
	for _, v := range w.balancers {
		if !v.up || ready && !v.b.Ready() {
			continue
		}
		s := fleet.Mix(uint64(f.Caller.IP)<<16|uint64(f.Caller.Port), uint64(v.ip)^w.routeSalt)
		if best == nil || !ready && v.b.Ready() || s > bestScore {
			best, bestScore = v, s
			ready = v.b.Ready()
		}
	}
	return best
}

// sendToBalancer sends a caller's packet to the balancer that the router chooses.
func (w *simulation) sendToBalancer(p []byte, f datagram.Flow) {
	v := w.balancerFor(f)
	if v == nil {
		return
	}
	w.deliver(f.Caller.IP, v.ip, p, func(c []byte) {
		if !v.up {
			return
		}
		if w.onReceive != nil {
			w.onReceive(v.ip, c)
		}
		v.receive(classCaller, c, func() { v.b.HandleCaller(withHeadroom(c), w.now-v.startedAt) })
	})
}

// sendToCaller sends a packet to a caller. The upstream is nil if a balancer sends it.
func (w *simulation) sendToCaller(ip datagram.IP, p []byte, from *upstream) {
	w.deliver(0, ip, p, func(c []byte) {
		if x := w.callers[ip]; x != nil {
			x.handlePacket(c, from)
		}
	})
}
