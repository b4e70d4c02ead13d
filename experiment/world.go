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
	routeRecord     datagram.RouteRecord         // in the store
	routedServices  map[datagram.ServiceKey]bool // services that the route leads to or has led to
	zonesOut        []datagram.ZoneKey           // availability zones out of service
	zonesRevision   uint64                       // revision of zonesOut: the time of the last change
	members         []datagram.Member            // members in the store
	membersRevision uint64                       // of the last change of members
	recordsRemoved  int                          // records that watchers have removed
	balancers       map[datagram.IP]*balancerVM
	agents          map[datagram.IP]*agentVM
	callers         map[datagram.IP]*caller
	workloads       []*workload                 // requests besides those of addCaller
	owners          map[datagram.Flow]*upstream // upstream that owns each open flow
	misroutes       map[datagram.Flow]*misroute
	lossRate        float64              // share of datagrams that are lost
	muted           map[datagram.IP]bool // VMs whose messages to other VMs are dropped
	partitioned     map[datagram.IP]bool // VMs that can reach only callers and each other
	cutFromStore    map[datagram.IP]bool // VMs that the store does not answer
	placement       datagram.Placement
	admission       datagram.Admission
	changeReport    func(from datagram.IP, r *datagram.LoadReport) // changes agents' load reports on the way, if not nil
	busyAt          float64                                        // see datagram.Agent.BusyAt
	maxMessageDelay time.Duration                                  // limit of the random delay of each message, as on busy VMs; 0: no delay
	routeSalt       uint64                                         // input to the router's hash; another value moves nearly all flows
	accountPrefix   uint8                                          // see datagram.Balancer.AccountPrefix
	rewrite         func(from datagram.IP, m []byte) []byte        // changes messages on their way; nil: none
	cuts            overlapping[int]
	losses          overlapping[float64]
	storeDelays     overlapping[time.Duration]
	zones           int           // number of availability zones of the balancers; 0: they have none
	heartbeat       time.Duration // interval of upstreams' heartbeats; 0: defaultHeartbeat
	coldStart       time.Duration // duration of upstreams' cold start
	storeLatency    time.Duration // latency of the store for processes that start; 0: defaultStoreLatency
	lastLife        uint64        // number of the latest datagram.Life

	onReceive    func(to datagram.IP, b []byte) // called for what balancers receive; nil: not called
	acknowledges bool                           // upstreams acknowledge requests at once, so that callers do not repeat them

	answered, late, failed, resets int
	resetsIgnored                  int // resets whose numbers callers did not accept
	// measureFrom is the start of a measurement; 0: none. measuredStarted counts the
	// requests since then, measuredInAim those of its first second that were answered
	// within the target latency.
	measureFrom                    time.Duration
	measuredStarted, measuredInAim int
	failedOnLiveFlow               int // requests since measureFrom that failed on open flows whose upstreams run
	neverReceived                  int // those of them that the upstreams have not received
	shed                           int
	routeRecordWrites              int                   // writes of the record of routes
	controlBytes                   map[datagram.IP]int   // bytes of control messages to each VM, with their headers; nil: not counted
	controlByKind                  map[datagram.Kind]int // the same by kind of message
	lookupTraffic                  traffic               // messages that belong to lookups of flows
	breaches                       []string
	// dayStart is when the day starts; outcomes are counted by second from then on.
	dayStart time.Duration
	seconds  []Second
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
		routedServices: map[datagram.ServiceKey]bool{}, controlByKind: map[datagram.Kind]int{},
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
				b.applyConfiguration(c)
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
	if w.changeReport != nil {
		m = w.withChangedReport(from, m)
	}
	if w.rewrite != nil {
		m = w.rewrite(from, m)
	}
	k := datagram.Kind(m[1])
	if w.controlBytes != nil && k >= datagram.KindAgent {
		w.controlBytes[to] += len(m) + ipUDPHeaderLen
		w.controlByKind[k] += len(m) + ipUDPHeaderLen
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
			if w.onReceive != nil {
				w.onReceive(to, c)
			}
			b.receive(classLink, c, func() { b.b.HandleMessage(from, c, w.now-b.startedAt) })
		}
	})
}

// withChangedReport returns the message with its load report changed, if it has one.
func (w *simulation) withChangedReport(from datagram.IP, m []byte) []byte {
	var h datagram.Message
	c := append([]byte(nil), m...)
	p, ok := h.Get(c, w.keys)
	switch {
	case !ok:
		return m
	case h.Kind == datagram.KindAgent:
		w.changeReport(from, &h.Report)
	case h.Kind == datagram.KindOpened, h.Kind == datagram.KindRefused:
		b := p[len(p)-6:]
		r := datagram.LoadReport{
			Present: b[5] == 1, ServiceTime: datagram.DurationCode(b[0]), TailTime: datagram.DurationCode(b[1]),
			Utilization: datagram.Utilization(b[2]), Requests: b[3], Level: datagram.Level(b[4]),
		}
		if w.changeReport(from, &r); !r.Present {
			r = datagram.LoadReport{}
			b[5] = 0
		} else {
			copy(b, []byte{byte(r.ServiceTime), byte(r.TailTime), byte(r.Utilization), r.Requests, byte(r.Level), 1})
		}
	default:
		return m
	}
	h.Put(c, w.keys[0])
	return c
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
