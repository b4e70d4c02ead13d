package experiment

import (
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/fleet"
)

// balancerFor returns the balancer that the router sends the flow to, by rendezvous
// hashing over the balancers that are ready; nil if there is none.
func (w *simulation) balancerFor(f datagram.Flow) *balancerVM {
	var best *balancerVM
	var bestScore uint64
	for _, v := range w.balancers {
		if s := fleet.Mix(uint64(f.Caller.IP)<<16|uint64(f.Caller.Port), uint64(v.ip)^w.routeSalt); v.up && v.b.Ready() && (best == nil || s > bestScore) {
			best, bestScore = v, s
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
