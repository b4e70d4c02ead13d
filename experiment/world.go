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
)

// simulation is a discrete-event simulation of a site. Balancers and agents run their
// production decision logic; the router, upstreams and callers are simulated. The clock
// advances from one event to the next. Every violated guarantee to callers is recorded as
// a breach.
type world struct {
	seed      uint64
	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	seq       int
	keys      link.Keys
	config    *datagram.Configuration
	allowed   map[datagram.ServiceKey]bool // services that the route leads to or has led to
	out       []datagram.ZoneKey           // availability zones out of service
	revision  uint64                       // revision of zonesOut: the time of the last change
	records   []datagram.Member            // members in the store
	balancers map[datagram.IP]*balancerVM
	agents    map[datagram.IP]*agentVM
	callers   map[datagram.IP]*caller
	holders   map[datagram.Flow]*upstream // upstream that owns each open flow
	astray    map[datagram.Flow]*astray
	loss      float64              // share of datagrams that are lost
	mute      map[datagram.IP]bool // VMs whose messages to other VMs are dropped
	cut       map[datagram.IP]bool // VMs that can reach only callers and each other
	placement datagram.Placement
	busyAt    float64       // see datagram.Agent.BusyAt
	busy      time.Duration // limit of the random delay of each message, as on busy VMs; 0: no delay
	routing   uint64        // input to the router's hash; another value moves nearly all flows
	storeRead time.Duration // latency of the store for processes that start; 0: defaultStoreLatency
	lives     uint64        // number of the latest datagram.Life

	answered, late, failed, resets int
	// measureFrom is the start of a measurement; 0: none. measuredStarted counts the
	// requests since then, measuredInAim those of its first second that were answered
	// within the target latency.
	mark         time.Duration
	begun, inAim int
	stranded     int // requests since measureFrom that failed on open flows whose upstreams run
	shed         int
	heard        map[datagram.IP]int // bytes of control messages to each VM, with their headers; nil: not counted
	lookups      traffic             // messages that belong to lookups of flows
	waits        []time.Duration     // latency of each answer
	breaches     []string
	// dayStart is when the day starts; outcomes are counted by second from then on.
	dayStart time.Duration
	seconds  []Second
}

// second returns the counts of the second in which a request started.
func (w *world) second(began time.Duration) *Second {
	if w.dayStart == 0 || began < w.dayStart {
		return &Second{}
	}
	n := int((began - w.dayStart) / time.Second)
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

const (
	worldService = "letters"
	worldIdle    = 15 * time.Second
	worldAim     = 150 * time.Millisecond
	// defaultStoreLatency is how long a process waits for its first reads of the store.
	storeReadUsual = 5 * time.Millisecond
)

var (
	worldAddress = datagram.Endpoint{IP: 0xc6120001, Port: 8443}
	worldKey     = datagram.ServiceKeyOf(worldService)
)

// testKeyring authenticates the messages of all processes. It is not secret, as all
// messages stay within the simulation.
const worldKeyring = "1:9ow6wBZbFi9UENcfCNG3G_2_cuAmtEZM_WKjhHMBOf0"

func newWorld(seed uint64) (*world, error) {
	r, err := keyring.Parse([]string{worldKeyring})
	if err != nil {
		return nil, err
	}
	w := &world{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), keys: link.NewKeys(r), revision: 1,
		balancers: map[datagram.IP]*balancerVM{}, agents: map[datagram.IP]*agentVM{}, callers: map[datagram.IP]*caller{},
		holders: map[datagram.Flow]*upstream{}, astray: map[datagram.Flow]*astray{},
		allowed: map[datagram.ServiceKey]bool{},
	}
	w.configure(1, datagram.Share{Service: worldKey, Weight: 1})
	return w, nil
}

// configure sets a configuration whose route leads to the given services, or that has no
// route if there are none. Each balancer reads it within 0.3 s.
func (w *world) configure(v datagram.Version, ss ...datagram.Share) {
	c := &datagram.Configuration{
		Version: v, IdleTimeout: worldIdle,
		Routes:   map[datagram.Endpoint]datagram.Route{},
		Services: map[datagram.ServiceKey]datagram.Service{worldKey: {Name: worldService}},
	}
	if len(ss) > 0 {
		c.Routes[worldAddress] = datagram.Route{Aim: worldAim, Shares: ss}
	}
	for _, s := range ss {
		w.allowed[s.Service] = true
	}
	w.config = c
	for _, b := range w.balancersInOrder() {
		life := b.life
		w.after(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
			if b.life == life {
				b.b.SetConfiguration(c)
			}
		})
	}
}

// after schedules f to run after d.
func (w *world) after(d time.Duration, f func()) { w.afterAs(d, 0, f) }

// afterWithKey schedules f to run after d. The key orders it among the events of the same
// time.
func (w *world) afterAs(d time.Duration, key uint64, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, key, w.seq, f})
}

// runUntil runs all events up to the given time.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// datagramHash returns a pseudo-random number for a datagram. It depends on the seed, the
// time, the ends and the length, and not on a random sequence, so that a day is the same
// in whatever order the code under test sends.
func (w *world) chance(from, to datagram.IP, b []byte) uint64 {
	return fleet.Mix(fleet.Mix(w.seed, uint64(from)<<32|uint64(to)), fleet.Mix(uint64(w.now), uint64(len(b))))
}

// A datagram between two VMs takes minNetworkDelay plus a random part of networkJitter.
const (
	wayLeast = 200 * time.Microsecond
	wayMore  = 1400 * time.Microsecond
)

// deliver calls f with the datagram after the network delay, unless the datagram is lost.
func (w *world) deliver(from, to datagram.IP, b []byte, f func([]byte)) {
	x := w.chance(from, to, b)
	if float64(x%10_000) < w.loss*10_000 {
		return
	}
	c := append([]byte(nil), b...)
	// Many datagrams arrive in the same microsecond. The hash is their key, as the order
	// in which they were sent is that of a map and so not reproducible.
	w.afterAs(wayLeast+time.Duration(x>>32%uint64(wayMore/time.Microsecond))*time.Microsecond, x, func() { f(c) })
}

// recordBreach records the violation of a guarantee to callers.
func (w *world) breach(what string) { w.breaches = append(w.breaches, w.now.String()+": "+what) }

// withHeadroom returns a copy of the datagram with space for a header before it.
func withRoom(p []byte) []byte { return append(make([]byte, datagram.HeaderLen, 1600), p...) }

// balancerVM is a VM with a balancer. It implements datagram.BalancerOutput.
type balancerVM struct {
	machine
	ip    datagram.IP
	b     *datagram.Balancer
	up    bool
	since time.Duration // when the balancer started
	due   time.Duration // when the next tick is scheduled
	// frozen is set while the balancer is paused; pending holds what it receives meanwhile.
	frozen bool
	held   []func()
}

// ToProcess sends a message to another VM of the fleet.
func (v *balancerVM) ToProcess(ip datagram.IP, m []byte) {
	v.post(ip, m, func(m []byte) { v.w.toProcess(v.ip, ip, m) })
}

// ToCaller sends a packet to a caller.
func (v *balancerVM) ToCaller(ip datagram.IP, p []byte) {
	v.post(ip, p, func(p []byte) { v.w.toCaller(ip, p, nil) })
}

// sendToProcess sends a message between two VMs of the fleet, with a random delay if
// maxMessageDelay is set.
func (w *world) toProcess(from, to datagram.IP, m []byte) {
	if w.busy > 0 {
		m = append([]byte(nil), m...)
		w.after(time.Duration(w.chance(from, to, m)%uint64(w.busy)), func() { w.hand(from, to, m) })
		return
	}
	w.hand(from, to, m)
}

// transmit counts a message and delivers it, unless the sender is muted or the VMs can't
// reach each other.
func (w *world) hand(from, to datagram.IP, m []byte) {
	if w.cut[from] != w.cut[to] || w.mute[from] {
		return
	}
	k := datagram.Kind(m[1])
	if w.heard != nil && k >= datagram.KindAgent {
		w.heard[to] += len(m) + packetHeaders
	}
	if ofLookup(k, datagram.Flags(m[5])) {
		w.lookups.messages++
		w.lookups.bytes += len(m) + packetHeaders
	}
	w.deliver(from, to, m, func(c []byte) {
		if a := w.agents[to]; a != nil && a.up {
			a.a.HandleMessage(from, c, w.now-a.since)
			a.a.Tick(w.now - a.since) // as the program does after each datagram
		}
		if b := w.balancers[to]; b != nil && b.up {
			b.receive(classLink, c, func() { b.b.HandleMessage(from, c, w.now-b.since) })
		}
	})
}

// ipUDPHeaderLen is the length of the IP and UDP headers of a message.
const packetHeaders = 28

// traffic counts messages.
type traffic struct{ messages, bytes int }

// isLookup reports whether a message belongs to the lookup of a flow.
func ofLookup(k datagram.Kind, f datagram.Flags) bool {
	switch k {
	case datagram.KindLocate, datagram.KindLocated, datagram.KindDenied, datagram.KindMine, datagram.KindNotMine:
		return true
	case datagram.KindPacket:
		return f&datagram.FlagLookup != 0
	}
	return false
}

// balancersByAddress returns the balancers, sorted by address.
func (w *world) balancersInOrder() []*balancerVM {
	vs := slices.Collect(maps.Values(w.balancers))
	slices.SortFunc(vs, func(a, b *balancerVM) int { return cmp.Compare(a.ip, b.ip) })
	return vs
}

// agentsByAddress returns the agent VMs, sorted by address.
func (w *world) agentsInOrder() []*agentVM {
	vs := slices.Collect(maps.Values(w.agents))
	slices.SortFunc(vs, func(a, b *agentVM) int { return cmp.Compare(a.ip, b.ip) })
	return vs
}

// newLife returns a number that no earlier run of a process had.
func (w *world) newLife() datagram.Life {
	w.lives++
	return datagram.Life(w.lives)
}

// addBalancer adds a VM of the given size with a balancer, and starts it.
func (w *world) addBalancer(n int, s size) *balancerVM {
	v := &balancerVM{machine: machine{w: w, size: s}, ip: datagram.IP(0x0a000100 + n)}
	w.balancers[v.ip] = v
	w.records = append(w.records, datagram.Member{IP: v.ip})
	v.start()
	return v
}

// start starts the balancer, which reads the store after its latency.
func (v *balancerVM) start() {
	if v.up {
		return // two overlapping faults stopped it, and the first to end has started it
	}
	w := v.w
	v.begin()
	v.up, v.since, v.due = true, w.now, 0
	v.frozen, v.held = false, nil
	v.b = &datagram.Balancer{Self: v.ip, Life: w.newLife(), Format: platform.Packets{}, Out: v, Keys: w.keys, Placement: w.placement, LookupRate: v.size.lookupRate()}
	v.b.Start()
	life := v.life
	w.after(cmp.Or(w.storeRead, storeReadUsual), func() {
		if v.life != life {
			return
		}
		v.b.SetConfiguration(w.config)
		v.b.SetZonesOut(w.out, w.revision, w.now-v.since)
		v.b.SetMembers(append([]datagram.Member(nil), w.records...), true, w.now-v.since)
		v.arm()
	})
	v.arm()
}

// receive passes a datagram to the balancer, or queues it while the balancer is paused.
func (v *balancerVM) receive(c class, b []byte, handle func()) {
	if v.frozen {
		if len(v.held) < unreadMost {
			v.held = append(v.held, func() { v.receive(c, b, handle) })
		}
		return
	}
	v.take(c, len(b), func() {
		handle()
		v.arm()
	})
}

// unfreeze ends the pause of the balancer and handles what it received meanwhile.
func (v *balancerVM) thaw() {
	held := v.held
	v.frozen, v.held = false, nil
	for _, f := range held {
		f()
	}
	v.arm()
}

// stop stops the balancer.
func (v *balancerVM) stop() { v.up, v.life = false, v.life+1 }

// tick runs what is due at the balancer and schedules the next tick for the time that the
// balancer asks for. Only the latest scheduled tick is valid; earlier ones are ignored.
func (v *balancerVM) arm() {
	if v.frozen {
		return
	}
	w, life := v.w, v.life
	now := w.now - v.since
	at := v.since + max(v.b.Tick(now), now+time.Millisecond)
	if v.due > w.now && v.due <= at {
		return
	}
	v.due = at
	w.after(at-w.now, func() {
		if v.life == life && v.due == at {
			v.arm()
		}
	})
}

// agentVM is a VM with an agent and its upstream. It implements datagram.AgentOutput.
type agentVM struct {
	w       *world
	ip      datagram.IP
	zone    string
	service datagram.ServiceKey
	a       *datagram.Agent
	u       *upstream
	up      bool          // the agent runs
	lost    bool          // the VM is lost permanently
	drained bool          // the store has a record that the upstream drains
	since   time.Duration // when the agent started
	life    int           // increases with each start and stop of the agent
}

// ToProcess sends a message to another VM of the fleet.
func (v *agentVM) ToProcess(ip datagram.IP, m []byte) { v.w.toProcess(v.ip, ip, m) }

// ToCaller sends a packet of the upstream to a caller.
func (v *agentVM) ToCaller(ip datagram.IP, p []byte) { v.w.toCaller(ip, p, v.u) }

// ToUpstream passes a packet to the upstream.
func (v *agentVM) ToUpstream(p []byte) { v.u.take(append([]byte(nil), p...)) }

// addAgent adds a VM with an agent and an upstream of the default service.
func (w *world) addAgent(n int, zone string) *agentVM { return w.addAgentOf(n, zone, worldKey) }

// addServiceAgent adds a VM with an agent and an upstream of the service, and starts them.
func (w *world) addAgentOf(n int, zone string, service datagram.ServiceKey) *agentVM {
	v := &agentVM{w: w, ip: datagram.IP(0x0a010000 + n), zone: zone, service: service}
	w.agents[v.ip] = v
	w.records = append(w.records, datagram.Member{IP: v.ip, Agent: true, Service: service, Zone: datagram.ZoneKeyOf(zone)})
	v.u = &upstream{w: w, vm: v, slots: 5, work: 30 * time.Millisecond}
	v.start()
	w.after(10*time.Millisecond, v.u.start)
	return v
}

// start starts the agent, which reads the store after its latency.
func (v *agentVM) start() {
	if v.up {
		return
	}
	w := v.w
	v.up, v.since, v.life = true, w.now, v.life+1
	v.a = &datagram.Agent{Life: w.newLife(), Service: v.service, Zone: datagram.ZoneKeyOf(v.zone), Format: platform.Packets{}, Out: v, Keys: w.keys, BusyAt: w.busyAt}
	life := v.life
	v.a.Probe = func() {
		w.after(time.Millisecond, func() {
			if v.life == life {
				p := datagram.ProbeRefused
				if v.u.alive {
					p = datagram.ProbeAccepted
				}
				v.a.Probed(p, w.now-v.since)
			}
		})
	}
	v.a.OnDrain = func() { w.after(storeReadUsual, func() { v.drained = true }) }
	v.a.Start()
	w.after(cmp.Or(w.storeRead, storeReadUsual), func() {
		if v.life == life {
			v.a.Recall(v.drained)
		}
	})
	if b := w.balancersInOrder(); len(b) > 0 {
		v.a.Meet(b[0].ip, 0) // it learns of the other balancers from this one
	}
}

// stop stops the agent; its upstream keeps running.
func (v *agentVM) stop() { v.up, v.life = false, v.life+1 }

// tick runs what is due at the agent and schedules the next tick.
func (v *agentVM) tick() {
	d := datagram.StatusEvery
	if v.up {
		now := v.w.now - v.since
		d = min(d, max(time.Millisecond, v.a.Tick(now)-now))
	}
	v.w.after(d, v.tick)
}

// balancerFor returns the balancer that the router sends the flow to, by rendezvous
// hashing over the balancers that are ready; nil if there is none.
func (w *world) route(f datagram.Flow) *balancerVM {
	var best *balancerVM
	var top uint64
	for _, v := range w.balancers {
		if s := fleet.Mix(uint64(f.Caller.IP)<<16|uint64(f.Caller.Port), uint64(v.ip)^w.routing); v.up && v.b.Ready() && (best == nil || s > top) {
			best, top = v, s
		}
	}
	return best
}

// sendToBalancer sends a caller's packet to the balancer that the router chooses.
func (w *world) toBalancer(p []byte, f datagram.Flow) {
	v := w.route(f)
	if v == nil {
		return
	}
	w.deliver(f.Caller.IP, v.ip, p, func(c []byte) {
		if !v.up {
			return
		}
		v.receive(classCaller, c, func() { v.b.HandleCaller(withRoom(c), w.now-v.since) })
	})
}

// sendToCaller sends a packet to a caller. The upstream is nil if a balancer sends it.
func (w *world) toCaller(ip datagram.IP, p []byte, from *upstream) {
	w.deliver(0, ip, p, func(c []byte) {
		if x := w.callers[ip]; x != nil {
			x.take(c, from)
		}
	})
}
