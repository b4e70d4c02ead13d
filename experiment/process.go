package experiment

import (
	"cmp"
	"slices"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// The programs on the simulated VMs: balancers, and agents with their upstreams.

// balancerVM is a VM with a balancer. It implements datagram.BalancerOutput.
type balancerVM struct {
	machine
	ip        datagram.IP
	zone      datagram.ZoneKey // 0: none
	b         *datagram.Balancer
	up        bool
	startedAt time.Duration
	nextTick  time.Duration
	// clockError is how far its wall clock is ahead.
	clockError time.Duration
	// frozen is set while the balancer is paused; pending holds what it receives meanwhile.
	frozen  bool
	pending []func()
	// recording is set while a record of routes is being written, which is checked at recordCheckAt.
	recording     bool
	recordCheckAt time.Duration
	// membersReadAt is when it reads the members next, if it is a watcher.
	membersReadAt time.Duration
}

// ToProcess sends a message to another VM of the fleet.
func (v *balancerVM) ToProcess(ip datagram.IP, m []byte) {
	v.enqueueSend(ip, m, func(m []byte) { v.w.sendToProcess(v.ip, ip, m) })
}

// ToCaller sends a packet to a caller.
func (v *balancerVM) ToCaller(ip datagram.IP, p []byte) {
	v.enqueueSend(ip, p, func(p []byte) { v.w.sendToCaller(ip, p, nil) })
}

// addBalancer adds a VM of the given size with a balancer, and starts it.
func (w *simulation) addBalancer(n int, s size) *balancerVM {
	v := &balancerVM{machine: machine{w: w, size: s}, ip: datagram.IP(0x0a000100 + n)}
	if w.zones > 0 {
		v.zone = datagram.ZoneKeyOf(zoneOfBalancer(n, w.zones))
	}
	w.balancers[v.ip] = v
	w.record(datagram.Member{IP: v.ip, Zone: v.zone})
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
	v.frozen, v.pending, v.recording, v.recordCheckAt, v.membersReadAt = false, nil, false, 0, w.now+datagram.MemberListInterval
	v.b = &datagram.Balancer{Self: v.ip, Life: w.newLife(), Zone: v.zone, Format: platform.PacketFormat{}, Out: v, Keys: w.keys, Placement: w.placement, Admission: w.admission, AccountPrefix: w.accountPrefix, Clock: func() time.Duration { return w.now + v.clockError }, LookupRate: v.size.lookupRate()}
	v.b.OnRecordInDoubt = func() {
		if !w.cutFromStore[v.ip] {
			w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() { w.record(datagram.Member{IP: v.ip, Zone: v.zone}) })
		}
	}
	v.b.Start()
	life := v.life
	w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() {
		if v.life != life {
			return
		}
		v.applyConfiguration(w.config)
		v.b.SetZonesOut(w.zonesOut, w.zonesRevision, w.now-v.startedAt)
		v.b.SetMembers(append([]datagram.Member(nil), w.members...), true, w.now-v.startedAt)
		v.tick()
	})
	v.tick()
}

// applyConfiguration applies a configuration and the record of routes.
func (v *balancerVM) applyConfiguration(c *datagram.Configuration) {
	v.b.SetConfiguration(c)
	v.b.ApplyRouteRecord(v.w.routeRecord, v.w.now-v.startedAt)
	v.recordCheckAt = 0 // the program checks at once whether the record has to be written
}

// recordRoutes writes the record of routes if this balancer has to.
func (v *balancerVM) recordRoutes() {
	w, life := v.w, v.life
	if v.recording || w.now < v.recordCheckAt {
		return
	}
	v.recordCheckAt = w.now + datagram.StatusInterval
	r, due := v.b.RouteRecordDue(w.now - v.startedAt)
	if !due {
		return
	}
	v.recording = true
	w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() {
		w.routeRecord = r
		w.routeRecordWrites++
		if v.life == life {
			v.recording = false
			v.b.ApplyRouteRecord(r, w.now-v.startedAt)
		}
	})
}

// readMembers reads the members at regular intervals if this balancer is a watcher, and changes their
// records as it has to.
func (v *balancerVM) readMembers() {
	w, life := v.w, v.life
	if w.now < v.membersReadAt || !v.b.WatchesStore() || w.cutFromStore[v.ip] {
		return
	}
	v.membersReadAt = w.now + datagram.MemberListInterval
	w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() {
		if v.life != life {
			return
		}
		now, ms := w.now-v.startedAt, slices.Clone(w.members)
		v.b.SetMembers(ms, false, now)
		for _, c := range v.b.RecordChanges(ms, now) {
			if r := w.changeRecord(c); c.Action == datagram.RecordMark && r != 0 {
				v.b.NoteMarked(c.IP, r, now)
			}
		}
		w.record(datagram.Member{IP: v.ip, Zone: v.zone})
	})
}

// record writes a member's record if it is missing.
func (w *simulation) record(m datagram.Member) {
	if !slices.ContainsFunc(w.members, func(o datagram.Member) bool { return o.IP == m.IP }) {
		w.membersRevision++
		m.Revision = w.membersRevision
		w.members = append(w.members, m)
	}
}

// changeRecord changes a member's record if it still has the revision, and returns the new one. It
// returns 0 if it did not, or has removed the record.
func (w *simulation) changeRecord(c datagram.RecordChange) uint64 {
	i := slices.IndexFunc(w.members, func(m datagram.Member) bool { return m.IP == c.IP && m.Revision == c.Revision })
	if i < 0 {
		return 0
	}
	w.membersRevision++
	if c.Action == datagram.RecordRemove {
		w.recordsRemoved++
		w.members = slices.Delete(w.members, i, i+1)
		return 0
	}
	w.members[i].Marked, w.members[i].Revision = c.Action == datagram.RecordMark, w.membersRevision
	return w.membersRevision
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
	v.recordRoutes()
	v.readMembers()
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
	up            bool                 // the agent runs
	lost          bool                 // the VM is lost permanently
	drainRecorded bool                 // the store has a record that the upstream drains
	servedRun     datagram.UpstreamRun // recorded in the store
	startedAt     time.Duration
	life          int // increases with each start and stop of the agent
	probes        int // connections to the upstream that the agent has begun
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
	w.record(v.member())
	v.u = &upstream{w: w, vm: v, slots: 5, serviceTime: 30 * time.Millisecond}
	v.start()
	w.after(10*time.Millisecond, v.u.start)
	return v
}

// member returns the record of the agent.
func (v *agentVM) member() datagram.Member {
	return datagram.Member{IP: v.ip, Agent: true, Service: v.service, Zone: datagram.ZoneKeyOf(v.zone)}
}

// start starts the agent, which reads the store after its latency.
func (v *agentVM) start() {
	if v.up || v.lost {
		return
	}
	w := v.w
	v.up, v.startedAt, v.life = true, w.now, v.life+1
	v.a = &datagram.Agent{Life: w.newLife(), Service: v.service, Zone: datagram.ZoneKeyOf(v.zone), Format: platform.PacketFormat{}, Out: v, Keys: w.keys, BusyAt: w.busyAt, Admission: w.admission, Heartbeat: datagram.HeartbeatInterval(w.heartbeat)}
	life := v.life
	v.a.Probe = func() {
		v.probes++
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
	v.a.OnServe = func(r datagram.UpstreamRun) {
		w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() {
			if v.servedRun = r; v.life == life {
				v.a.HandleRunRecorded(r)
			}
		})
	}
	v.a.OnRecordInDoubt = func() {
		if !w.cutFromStore[v.ip] {
			w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() { w.record(v.member()) })
		}
	}
	v.a.Start()
	w.after(cmp.Or(w.storeLatency, defaultStoreLatency), func() {
		if v.life == life {
			v.a.SetServedRun(v.servedRun, true, w.now-v.startedAt)
			v.a.SetRecordedDraining(v.drainRecorded)
		}
	})
	bs := w.balancersByAddress()
	for _, b := range bs[:min(len(bs), settingsSeeds)] {
		v.a.Seeds = append(v.a.Seeds, b.ip)
		v.a.AddBalancer(b.ip, 0) // it learns of the other balancers from these
	}
}

// settingsSeeds is the number of balancers that an agent's settings name.
const settingsSeeds = 3

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
