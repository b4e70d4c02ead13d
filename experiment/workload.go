package experiment

import (
	"cmp"
	"math"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/fleet"
)

// workload is a kind of request with a route of its own. Its requests start at a given rate,
// whether or not earlier ones have ended, as those of many independent users do. Each request
// is sent by a caller that is idle.
type workload struct {
	address       datagram.Endpoint
	urgent        bool
	targetLatency time.Duration
	timeout       time.Duration
	serviceTime   time.Duration // mean processing time
	// longShare of the requests take longFactor times as long, but at most longest; 0: no limit.
	longShare, longFactor float64
	longest               time.Duration
	// flowPerRequest: callers open a flow for each request.
	flowPerRequest bool
	worth          float64 // of a request that is answered within the target latency
	retries        int     // after a refusal
	rate           float64 // requests per second
	// callerAddress returns the address of the n-th caller; nil means consecutive ones.
	callerAddress func(n int) datagram.IP

	w        *simulation
	idle     []*caller
	outcomes *outcomes // of the requests that start now
	starts   []time.Duration
}

// outcomes counts requests by how they ended. A silent one timed out.
type outcomes struct{ started, inAim, late, refused, silent int }

// share returns the share of the requests that were answered within the target latency.
func (o *outcomes) share() float64 { return float64(o.inAim) / float64(max(1, o.started)) }

// add adds the counts of x.
func (o *outcomes) add(x *outcomes) {
	o.started += x.started
	o.inAim += x.inAim
	o.late += x.late
	o.refused += x.refused
	o.silent += x.silent
}

// addWorkload adds a route for the workload to the default service and starts its requests.
func (w *simulation) addWorkload(l *workload) {
	l.w, l.outcomes = w, &outcomes{}
	w.workloads = append(w.workloads, l)
	n := *w.config
	n.Version++
	n.Routes = map[datagram.Endpoint]datagram.Route{}
	for e, r := range w.config.Routes {
		n.Routes[e] = r
	}
	n.Routes[l.address] = datagram.Route{
		Shares: []datagram.Share{{Service: routedServiceKey, Weight: 1}},
		Urgent: l.urgent, TargetLatency: l.targetLatency,
	}
	n.Services = map[datagram.ServiceKey]datagram.Service{}
	for k, s := range w.config.Services {
		s.Prioritized = s.Prioritized || l.urgent
		n.Services[k] = s
	}
	w.config = &n
	for _, b := range w.balancersByAddress() {
		b.b.SetConfiguration(&n)
	}
	w.after(0, l.startNext)
}

// startNext starts a request and schedules the next one.
func (l *workload) startNext() {
	w := l.w
	l.outcomes.started++
	l.starts = append(l.starts, w.now)
	c := l.caller()
	c.outcomes = l.outcomes
	c.startRequest()
	w.after(time.Duration(w.rng.ExpFloat64()/l.rate*float64(time.Second)), l.startNext)
}

// caller returns an idle caller, or a new one if there is none.
func (l *workload) caller() *caller {
	if n := len(l.idle); n > 0 {
		i := l.w.rng.IntN(n)
		x := l.idle[i]
		l.idle[i] = l.idle[n-1]
		l.idle = l.idle[:n-1]
		return x
	}
	w := l.w
	ip := datagram.IP(0x64500000 + len(w.callers))
	if l.callerAddress != nil {
		ip = l.callerAddress(len(w.callers))
	}
	x := &caller{
		w: w, endpoint: datagram.Endpoint{IP: ip, Port: 1024},
		timeout: l.timeout, targetLatency: l.targetLatency, flowPerRequest: l.flowPerRequest, address: l.address, workload: l,
		resetAt: map[int]time.Duration{},
	}
	w.callers[x.endpoint.IP] = x
	return x
}

// serviceTime returns how long the upstream processes the request in the packet: between half
// and one and a half of the mean of its workload, or longer for some.
func (w *simulation) serviceTime(p datagram.Packet, u *upstream) time.Duration {
	for _, l := range w.workloads {
		if l.address == p.Flow.Address {
			x := fleet.Mix(fleet.Mix(w.seed, uint64(p.Flow.Caller.IP)<<16|uint64(p.Flow.Caller.Port)), uint64(p.Seq))
			return l.work(x)
		}
	}
	return u.serviceTime
}

// work returns the processing time of a request that is identified by a random number.
func (l *workload) work(x uint64) time.Duration {
	d := l.serviceTime/2 + time.Duration(x%uint64(l.serviceTime))
	if l.longShare > 0 && float64(fleet.Mix(x, 1)%1_000_000) < l.longShare*1_000_000 {
		d = max(d, min(time.Duration(float64(d)*l.longFactor), cmp.Or(l.longest, math.MaxInt64)))
	}
	return d
}
