package experiment

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/waitqueue"
)

// simulation is a discrete-event simulation of a site. Balancers and agents run their
// production decision logic; the router, upstreams and callers are simulated. The clock
// advances from one event to the next. Every violated guarantee to callers is recorded as
// a breach.
type simulation struct {
	seed            uint64
	rng             *rand.Rand
	now             time.Duration
	queue           eventQueue
	seq             int
	keys            link.Keys
	config          *datagram.Configuration
	routedServices  map[datagram.ServiceKey]bool // services that the route leads to or has led to
	zonesOut        []datagram.ZoneKey           // availability zones out of service
	zonesRevision   uint64                       // revision of zonesOut: the time of the last change
	members         []datagram.Member            // members in the store
	balancers       map[datagram.IP]*balancerVM
	agents          map[datagram.IP]*agentVM
	callers         map[datagram.IP]*caller
	workloads       []*workload                 // requests besides those of addCaller
	owners          map[datagram.Flow]*upstream // upstream that owns each open flow
	misroutes       map[datagram.Flow]*misroute
	lossRate        float64              // share of datagrams that are lost
	muted           map[datagram.IP]bool // VMs whose messages to other VMs are dropped
	partitioned     map[datagram.IP]bool // VMs that can reach only callers and each other
	placement       datagram.Placement
	busyAt          float64 // see datagram.Agent.BusyAt
	waitOrder       waitqueue.Order
	maxMessageDelay time.Duration // limit of the random delay of each message, as on busy VMs; 0: no delay
	routeSalt       uint64        // input to the router's hash; another value moves nearly all flows
	cuts            overlapping[int]
	losses          overlapping[float64]
	storeDelays     overlapping[time.Duration]
	storeLatency    time.Duration // latency of the store for processes that start; 0: defaultStoreLatency
	lastLife        uint64        // number of the latest datagram.Life

	answered, late, failed, resets int
	// measureFrom is the start of a measurement; 0: none. measuredStarted counts the
	// requests since then, measuredInAim those of its first second that were answered
	// within the target latency.
	measureFrom                    time.Duration
	measuredStarted, measuredInAim int
	failedOnLiveFlow               int // requests since measureFrom that failed on open flows whose upstreams run
	shed                           int
	runs                           map[requestKey]int  // how often each request was processed; nil: not counted
	controlBytes                   map[datagram.IP]int // bytes of control messages to each VM, with their headers; nil: not counted
	lookupTraffic                  traffic             // messages that belong to lookups of flows
	breaches                       []string
	// dayStart is when the day starts; outcomes are counted by second from then on.
	dayStart time.Duration
	seconds  []Second
}

// requestKey identifies a request.
type requestKey struct {
	flow datagram.Flow
	seq  uint32
}

// second returns the counts of the second in which a request started.
func (w *simulation) second(start time.Duration) *Second {
	if w.dayStart == 0 || start < w.dayStart {
		return &Second{}
	}
	n := int((start - w.dayStart) / time.Second)
	for len(w.seconds) <= n {
		w.seconds = append(w.seconds, Second{})
	}
	return &w.seconds[n]
}

// event is a function call at a given time. Events at the same time run in the order of
// their keys, and those with the same key in the order in which they were scheduled.
type event struct {
	at  time.Duration
	key uint64
	seq int
	do  func()
}

// eventQueue is a heap of events, with the next event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].key, q[j].key), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}

// The simulated configuration has one route, which leads to one service at first.
const (
	routedService      = "letters"
	routeIdleTimeout   = 15 * time.Second
	routeTargetLatency = 150 * time.Millisecond
	// defaultStoreLatency is how long a process waits for its first reads of the store.
	defaultStoreLatency = 5 * time.Millisecond
)

var (
	routeAddress     = datagram.Endpoint{IP: 0xc6120001, Port: 8443}
	routedServiceKey = datagram.ServiceKeyOf(routedService)
)

// simulationKeyring authenticates the messages of all processes. It is not secret, as all
// messages stay within the simulation.
const simulationKeyring = "1:9ow6wBZbFi9UENcfCNG3G_2_cuAmtEZM_WKjhHMBOf0"

// newSimulation returns a site without VMs and callers, with one route to one service.
func newSimulation(seed uint64) (*simulation, error) {
	r, err := keyring.Parse([]string{simulationKeyring})
	if err != nil {
		return nil, err
	}
	w := &simulation{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), keys: link.NewKeys(r), zonesRevision: 1,
		balancers: map[datagram.IP]*balancerVM{}, agents: map[datagram.IP]*agentVM{}, callers: map[datagram.IP]*caller{},
		owners: map[datagram.Flow]*upstream{}, misroutes: map[datagram.Flow]*misroute{},
		routedServices: map[datagram.ServiceKey]bool{},
	}
	w.configure(1, datagram.Share{Service: routedServiceKey, Weight: 1})
	return w, nil
}

// configure sets a configuration whose route leads to the given services, or that has no
// route if there are none. Each balancer reads it within 0.3 s.
func (w *simulation) configure(v datagram.Version, ss ...datagram.Share) {
	c := &datagram.Configuration{
		Version: v, IdleTimeout: routeIdleTimeout,
		Routes:   map[datagram.Endpoint]datagram.Route{},
		Services: map[datagram.ServiceKey]datagram.Service{routedServiceKey: {Name: routedService}},
	}
	if len(ss) > 0 {
		c.Routes[routeAddress] = datagram.Route{TargetLatency: routeTargetLatency, Shares: ss}
	}
	for _, s := range ss {
		w.routedServices[s.Service] = true
	}
	w.config = c
	for _, b := range w.balancersByAddress() {
		life := b.life
		w.after(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
			if b.life == life {
				b.b.SetConfiguration(c)
			}
		})
	}
}

// after schedules f to run after d.
func (w *simulation) after(d time.Duration, f func()) { w.afterWithKey(d, 0, f) }

// afterWithKey schedules f to run after d. The key orders it among the events of the same
// time.
func (w *simulation) afterWithKey(d time.Duration, key uint64, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, key, w.seq, f})
}

// runUntil runs all events up to the given time.
func (w *simulation) runUntil(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// datagramHash returns a pseudo-random number for a datagram. It depends on the seed, the
// time, the addresses of sender and receiver and the length, and not on a random sequence,
// so that a day is the same in whatever order the code under test sends.
func (w *simulation) datagramHash(from, to datagram.IP, b []byte) uint64 {
	return fleet.Mix(fleet.Mix(w.seed, uint64(from)<<32|uint64(to)), fleet.Mix(uint64(w.now), uint64(len(b))))
}

// A datagram takes minNetworkDelay plus a random time of less than networkJitter.
const (
	minNetworkDelay = 200 * time.Microsecond
	networkJitter   = 1400 * time.Microsecond
)

// deliver calls f with the datagram after the network delay, unless the datagram is lost.
func (w *simulation) deliver(from, to datagram.IP, b []byte, f func([]byte)) {
	x := w.datagramHash(from, to, b)
	if float64(x%10_000) < w.lossRate*10_000 {
		return
	}
	c := append([]byte(nil), b...)
	// Many datagrams arrive in the same microsecond. The hash is their key, as the order
	// in which they were sent is that of a map and so not reproducible.
	w.afterWithKey(minNetworkDelay+time.Duration(x>>32%uint64(networkJitter/time.Microsecond))*time.Microsecond, x, func() { f(c) })
}

// recordBreach records the violation of a guarantee to callers.
func (w *simulation) recordBreach(what string) {
	w.breaches = append(w.breaches, w.now.String()+": "+what)
}

// withHeadroom returns a copy of the datagram with space for a header before it.
func withHeadroom(p []byte) []byte { return append(make([]byte, datagram.HeaderLen, 1600), p...) }

// balancerVM is a VM with a balancer. It implements datagram.BalancerOutput.
type balancerVM struct {
	machine
	ip        datagram.IP
	b         *datagram.Balancer
	up        bool
	startedAt time.Duration
	nextTick  time.Duration
	// frozen is set while the balancer is paused; pending holds what it receives meanwhile.
	frozen  bool
	pending []func()
}

// ToProcess sends a message to another VM of the fleet.
func (v *balancerVM) ToProcess(ip datagram.IP, m []byte) {
	v.enqueueSend(ip, m, func(m []byte) { v.w.sendToProcess(v.ip, ip, m) })
}

// ToCaller sends a packet to a caller.
func (v *balancerVM) ToCaller(ip datagram.IP, p []byte) {
	v.enqueueSend(ip, p, func(p []byte) { v.w.sendToCaller(ip, p, nil) })
}

// sendToProcess sends a message between two VMs of the fleet, with a random delay if
// maxMessageDelay is set.
func (w *simulation) sendToProcess(from, to datagram.IP, m []byte) {
	if w.maxMessageDelay > 0 {
		m = append([]byte(nil), m...)
		w.after(time.Duration(w.datagramHash(from, to, m)%uint64(w.maxMessageDelay)), func() { w.transmit(from, to, m) })
		return
	}
	w.transmit(from, to, m)
}

// transmit counts a message and delivers it, unless the sender is muted or the VMs can't
// reach each other.
func (w *simulation) transmit(from, to datagram.IP, m []byte) {
	if w.partitioned[from] != w.partitioned[to] || w.muted[from] {
		return
	}
	k := datagram.Kind(m[1])
	if w.controlBytes != nil && k >= datagram.KindAgent {
		w.controlBytes[to] += len(m) + ipUDPHeaderLen
	}
	if isLookup(k, datagram.Flags(m[5])) {
		w.lookupTraffic.messages++
		w.lookupTraffic.bytes += len(m) + ipUDPHeaderLen
	}
	w.deliver(from, to, m, func(c []byte) {
		if a := w.agents[to]; a != nil && a.up {
			a.a.HandleMessage(from, c, w.now-a.startedAt)
			a.a.Tick(w.now - a.startedAt) // as the program does after each datagram
		}
		if b := w.balancers[to]; b != nil && b.up {
			b.receive(classLink, c, func() { b.b.HandleMessage(from, c, w.now-b.startedAt) })
		}
	})
}

// ipUDPHeaderLen is the length of the IP and UDP headers of a message.
const ipUDPHeaderLen = 28

// traffic counts messages.
type traffic struct{ messages, bytes int }

// isLookup reports whether a message belongs to the lookup of a flow.
func isLookup(k datagram.Kind, f datagram.Flags) bool {
	switch k {
	case datagram.KindLocate, datagram.KindLocated, datagram.KindNotHeld, datagram.KindHeld, datagram.KindReturned:
		return true
	case datagram.KindPacket:
		return f&datagram.FlagLookup != 0
	}
	return false
}

// balancersByAddress returns the balancers, sorted by address.
func (w *simulation) balancersByAddress() []*balancerVM {
	vs := slices.Collect(maps.Values(w.balancers))
	slices.SortFunc(vs, func(a, b *balancerVM) int { return cmp.Compare(a.ip, b.ip) })
	return vs
}

// agentsByAddress returns the agent VMs, sorted by address.
func (w *simulation) agentsByAddress() []*agentVM {
	vs := slices.Collect(maps.Values(w.agents))
	slices.SortFunc(vs, func(a, b *agentVM) int { return cmp.Compare(a.ip, b.ip) })
	return vs
}

// newLife returns a number that no earlier run of a process had.
func (w *simulation) newLife() datagram.Life {
	w.lastLife++
	return datagram.Life(w.lastLife)
}

// addBalancer adds a VM of the given size with a balancer, and starts it.
func (w *simulation) addBalancer(n int, s size) *balancerVM {
	v := &balancerVM{machine: machine{w: w, size: s}, ip: datagram.IP(0x0a000100 + n)}
	w.balancers[v.ip] = v
	w.members = append(w.members, datagram.Member{IP: v.ip})
	v.start()
	return v
}

// start starts the balancer, which reads the store after its latency.
func (v *balancerVM) start() {
	if v.up {
		return // two overlapping faults stopped it, and the first to end has started it
	}
	w := v.w
	v.beginLife()
	v.up, v.startedAt, v.nextTick = true, w.now, 0
	v.frozen, v.pending = false, nil
	v.b = &datagram.Balancer{Self: v.ip, Life: w.newLife(), Format: platform.PacketFormat{}, Out: v, Keys: w.keys, Placement: w.placement, LookupRate: v.size.lookupRate()}
	v.b.Start()
	life := v.life
	w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() {
		if v.life != life {
			return
		}
		v.b.SetConfiguration(w.config)
		v.b.SetZonesOut(w.zonesOut, w.zonesRevision, w.now-v.startedAt)
		v.b.SetMembers(append([]datagram.Member(nil), w.members...), true, w.now-v.startedAt)
		v.tick()
	})
	v.tick()
}

// receive passes a datagram to the balancer, or queues it while the balancer is paused.
func (v *balancerVM) receive(c class, b []byte, handle func()) {
	if v.frozen {
		if len(v.pending) < maxReceiveQueue {
			v.pending = append(v.pending, func() { v.receive(c, b, handle) })
		}
		return
	}
	v.enqueueReceived(c, len(b), func() {
		handle()
		v.tick()
	})
}

// unfreeze ends the pause of the balancer and handles what it received meanwhile.
func (v *balancerVM) unfreeze() {
	pending := v.pending
	v.frozen, v.pending = false, nil
	for _, f := range pending {
		f()
	}
	v.tick()
}

// stop stops the balancer.
func (v *balancerVM) stop() { v.up, v.life = false, v.life+1 }

// tick runs what is due at the balancer and schedules the next tick for the time that the
// balancer asks for. Only the latest scheduled tick is valid; earlier ones are ignored.
func (v *balancerVM) tick() {
	if v.frozen {
		return
	}
	w, life := v.w, v.life
	now := w.now - v.startedAt
	at := v.startedAt + max(v.b.Tick(now), now+time.Millisecond)
	if v.nextTick > w.now && v.nextTick <= at {
		return
	}
	v.nextTick = at
	w.after(at-w.now, func() {
		if v.life == life && v.nextTick == at {
			v.tick()
		}
	})
}

// agentVM is a VM with an agent and its upstream. It implements datagram.AgentOutput.
type agentVM struct {
	w             *simulation
	ip            datagram.IP
	zone          string
	service       datagram.ServiceKey
	a             *datagram.Agent
	u             *upstream
	up            bool // the agent runs
	lost          bool // the VM is lost permanently
	drainRecorded bool // the store has a record that the upstream drains
	startedAt     time.Duration
	life          int // increases with each start and stop of the agent
}

// ToProcess sends a message to another VM of the fleet.
func (v *agentVM) ToProcess(ip datagram.IP, m []byte) { v.w.sendToProcess(v.ip, ip, m) }

// ToCaller sends a packet of the upstream to a caller.
func (v *agentVM) ToCaller(ip datagram.IP, p []byte) { v.w.sendToCaller(ip, p, v.u) }

// ToUpstream passes a packet to the upstream.
func (v *agentVM) ToUpstream(p []byte) { v.u.handlePacket(append([]byte(nil), p...)) }

// addAgent adds a VM with an agent and an upstream of the default service.
func (w *simulation) addAgent(n int, zone string) *agentVM {
	return w.addServiceAgent(n, zone, routedServiceKey)
}

// addServiceAgent adds a VM with an agent and an upstream of the service, and starts them.
func (w *simulation) addServiceAgent(n int, zone string, service datagram.ServiceKey) *agentVM {
	v := &agentVM{w: w, ip: datagram.IP(0x0a010000 + n), zone: zone, service: service}
	w.agents[v.ip] = v
	w.members = append(w.members, datagram.Member{IP: v.ip, Agent: true, Service: service, Zone: datagram.ZoneKeyOf(zone)})
	v.u = &upstream{w: w, vm: v, slots: 5, serviceTime: 30 * time.Millisecond}
	v.start()
	w.after(10*time.Millisecond, v.u.start)
	return v
}

// start starts the agent, which reads the store after its latency.
func (v *agentVM) start() {
	if v.up || v.lost {
		return
	}
	w := v.w
	v.up, v.startedAt, v.life = true, w.now, v.life+1
	v.a = &datagram.Agent{Life: w.newLife(), Service: v.service, Zone: datagram.ZoneKeyOf(v.zone), Format: platform.PacketFormat{}, Out: v, Keys: w.keys, BusyAt: w.busyAt, WaitOrder: w.waitOrder}
	life := v.life
	v.a.Probe = func() {
		w.after(time.Millisecond, func() {
			if v.life == life {
				p := datagram.ProbeRefused
				if v.u.alive {
					p = datagram.ProbeAccepted
				}
				v.a.HandleProbeResult(p, w.now-v.startedAt)
			}
		})
	}
	v.a.OnDrain = func() { w.after(defaultStoreLatency, func() { v.drainRecorded = true }) }
	v.a.Start()
	w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() {
		if v.life == life {
			v.a.SetRecordedDraining(v.drainRecorded)
		}
	})
	if b := w.balancersByAddress(); len(b) > 0 {
		v.a.AddBalancer(b[0].ip, 0) // it learns of the other balancers from this one
	}
}

// stop stops the agent; its upstream keeps running.
func (v *agentVM) stop() { v.up, v.life = false, v.life+1 }

// tick runs what is due at the agent and schedules the next tick.
func (v *agentVM) tick() {
	d := datagram.StatusInterval
	if v.up {
		now := v.w.now - v.startedAt
		d = min(d, max(time.Millisecond, v.a.Tick(now)-now))
	}
	v.w.after(d, v.tick)
}
