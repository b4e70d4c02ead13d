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

// world is a small site in memory: balancers and agents by their real decisions,
// a router, upstreams and callers as stand-ins, and a clock that jumps from one
// event to the next. It notes every breach of what callers were promised.
type world struct {
	seed      uint64
	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	seq       int
	keys      link.Keys
	config    *datagram.Configuration
	allowed   map[datagram.ServiceKey]bool // services to which the route has ever led
	out       []datagram.ZoneKey
	revision  uint64
	records   []datagram.Member
	balancers map[datagram.IP]*balancerVM
	agents    map[datagram.IP]*agentVM
	callers   map[datagram.IP]*caller
	holders   map[datagram.Flow]*upstream
	astray    map[datagram.Flow]*astray
	loss      float64
	mute      map[datagram.IP]bool // VMs that no balancer hears
	cut       map[datagram.IP]bool // VMs that reach callers and each other only
	placement datagram.Placement
	busyAt    float64
	busy      time.Duration // how long a busy VM may leave a message unread
	routing   uint64        // what the router adds to its hash; another number moves nearly all flows
	storeRead time.Duration // how long the store takes to answer a balancer that starts; 0: storeReadUsual
	lives     uint64

	answered, late, failed, resets int
	// Requests that began after mark, by what became of them.
	mark         time.Duration
	begun, inAim int
	stranded     int // begun after mark and failed on flows whose upstreams live
	shed         int
	heard        map[datagram.IP]int // bytes of control messages, with their headers
	lookups      traffic             // messages by which flows are looked for
	waits        []time.Duration
	breaches     []string
	// dayStart is when the day began; what callers get is counted by second from then.
	dayStart time.Duration
	seconds  []Second
}

// second returns the counts of the second in which a request began.
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

// event is what happens at a time. Of those at the same time the one with the lower key
// is first, and then the one that was planned first.
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
	// storeReadUsual is what a balancer waits for its first reads of the store.
	storeReadUsual = 5 * time.Millisecond
)

var (
	worldAddress = datagram.Endpoint{IP: 0xc6120001, Port: 8443}
	worldKey     = datagram.ServiceKeyOf(worldService)
)

// worldKeyring tags the messages of all processes; nobody else is there to read it.
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

// configure writes a configuration in which the route leads to the services. Balancers
// read it within 0.3 s.
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

func (w *world) after(d time.Duration, f func()) { w.afterAs(d, 0, f) }

func (w *world) afterAs(d time.Duration, key uint64, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, key, w.seq, f})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// chance is drawn from what happens and not from a sequence, so that a day is the
// same however the code under test orders what it sends.
func (w *world) chance(from, to datagram.IP, b []byte) uint64 {
	return fleet.Mix(fleet.Mix(w.seed, uint64(from)<<32|uint64(to)), fleet.Mix(uint64(w.now), uint64(len(b))))
}

// wayLeast and wayMore bound the way of a datagram between two VMs.
const (
	wayLeast = 200 * time.Microsecond
	wayMore  = 1400 * time.Microsecond
)

// deliver hands over a datagram after its way between two VMs.
func (w *world) deliver(from, to datagram.IP, b []byte, f func([]byte)) {
	x := w.chance(from, to, b)
	if float64(x%10_000) < w.loss*10_000 {
		return
	}
	c := append([]byte(nil), b...)
	// Many datagrams arrive at one microsecond; their order is not that of sending,
	// which follows maps.
	w.afterAs(wayLeast+time.Duration(x>>32%uint64(wayMore/time.Microsecond))*time.Microsecond, x, func() { f(c) })
}

func (w *world) breach(what string) { w.breaches = append(w.breaches, w.now.String()+": "+what) }

// withRoom returns the datagram with room for a header before it.
func withRoom(p []byte) []byte { return append(make([]byte, datagram.HeaderLen, 1600), p...) }

type balancerVM struct {
	machine
	ip    datagram.IP
	b     *datagram.Balancer
	up    bool
	since time.Duration
	due   time.Duration // when it is called next
	// frozen: it stands still; held is what waits for it.
	frozen bool
	held   []func()
}

func (v *balancerVM) ToProcess(ip datagram.IP, m []byte) {
	v.post(ip, m, func(m []byte) { v.w.toProcess(v.ip, ip, m) })
}

func (v *balancerVM) ToCaller(ip datagram.IP, p []byte) {
	v.post(ip, p, func(p []byte) { v.w.toCaller(ip, p, nil) })
}

func (w *world) toProcess(from, to datagram.IP, m []byte) {
	if w.busy > 0 {
		m = append([]byte(nil), m...)
		w.after(time.Duration(w.chance(from, to, m)%uint64(w.busy)), func() { w.hand(from, to, m) })
		return
	}
	w.hand(from, to, m)
}

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

// packetHeaders are the bytes of IP and UDP before a message.
const packetHeaders = 28

// traffic counts messages.
type traffic struct{ messages, bytes int }

// ofLookup reports whether a message is one by which a flow is looked for.
func ofLookup(k datagram.Kind, f datagram.Flags) bool {
	switch k {
	case datagram.KindLocate, datagram.KindLocated, datagram.KindDenied, datagram.KindMine, datagram.KindNotMine:
		return true
	case datagram.KindPacket:
		return f&datagram.FlagLookup != 0
	}
	return false
}

// balancersInOrder returns the balancers by address.
func (w *world) balancersInOrder() []*balancerVM {
	vs := slices.Collect(maps.Values(w.balancers))
	slices.SortFunc(vs, func(a, b *balancerVM) int { return cmp.Compare(a.ip, b.ip) })
	return vs
}

// agentsInOrder returns the agents by address.
func (w *world) agentsInOrder() []*agentVM {
	vs := slices.Collect(maps.Values(w.agents))
	slices.SortFunc(vs, func(a, b *agentVM) int { return cmp.Compare(a.ip, b.ip) })
	return vs
}

func (w *world) newLife() datagram.Life {
	w.lives++
	return datagram.Life(w.lives)
}

// addBalancer adds an entry VM of the size; it reads the store at its start.
func (w *world) addBalancer(n int, s size) *balancerVM {
	v := &balancerVM{machine: machine{w: w, size: s}, ip: datagram.IP(0x0a000100 + n)}
	w.balancers[v.ip] = v
	w.records = append(w.records, datagram.Member{IP: v.ip})
	v.start()
	return v
}

func (v *balancerVM) start() {
	if v.up {
		return // two faults at once end it, and it is back after the first
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

// receive has the balancer handle a datagram, once it does not stand still.
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

// thaw has the balancer go on after it stood still.
func (v *balancerVM) thaw() {
	held := v.held
	v.frozen, v.held = false, nil
	for _, f := range held {
		f()
	}
	v.arm()
}

func (v *balancerVM) stop() { v.up, v.life = false, v.life+1 }

// arm runs what is due at the balancer, and again when it next wants to be called. One
// call is planned at a time; one that another came before is void.
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

type agentVM struct {
	w       *world
	ip      datagram.IP
	zone    string
	service datagram.ServiceKey
	a       *datagram.Agent
	u       *upstream
	up      bool
	lost    bool // the VM is gone for good
	drained bool // the store has a record that the upstream drains
	since   time.Duration
	life    int
}

func (v *agentVM) ToProcess(ip datagram.IP, m []byte) { v.w.toProcess(v.ip, ip, m) }

func (v *agentVM) ToCaller(ip datagram.IP, p []byte) { v.w.toCaller(ip, p, v.u) }

func (v *agentVM) ToUpstream(p []byte) { v.u.take(append([]byte(nil), p...)) }

func (w *world) addAgent(n int, zone string) *agentVM { return w.addAgentOf(n, zone, worldKey) }

// addAgentOf adds a VM with an upstream of the service.
func (w *world) addAgentOf(n int, zone string, service datagram.ServiceKey) *agentVM {
	v := &agentVM{w: w, ip: datagram.IP(0x0a010000 + n), zone: zone, service: service}
	w.agents[v.ip] = v
	w.records = append(w.records, datagram.Member{IP: v.ip, Agent: true, Service: service, Zone: datagram.ZoneKeyOf(zone)})
	v.u = &upstream{w: w, vm: v, slots: 5, work: 30 * time.Millisecond}
	v.start()
	w.after(10*time.Millisecond, v.u.start)
	return v
}

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
		v.a.Meet(b[0].ip, 0) // one seed is enough
	}
}

func (v *agentVM) stop() { v.up, v.life = false, v.life+1 }

func (v *agentVM) tick() {
	d := datagram.StatusEvery
	if v.up {
		now := v.w.now - v.since
		d = min(d, max(time.Millisecond, v.a.Tick(now)-now))
	}
	v.w.after(d, v.tick)
}

// route returns the balancer that the router sends the flow to, or nil.
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

func (w *world) toCaller(ip datagram.IP, p []byte, from *upstream) {
	w.deliver(0, ip, p, func(c []byte) {
		if x := w.callers[ip]; x != nil {
			x.take(c, from)
		}
	})
}
