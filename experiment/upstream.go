package experiment

import (
	"cmp"
	"encoding/binary"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// upstream simulates a back end. It holds flows, answers requests, and bounces packets of
// flows that it does not hold.
type upstream struct {
	w            *simulation
	vm           *agentVM
	alive        bool
	draining     bool
	drainAckedAt time.Duration // when it first announced to its agent that it drains; 0 if not yet

	startedAt      time.Duration
	heartbeatDelay time.Duration            // delay between the start and the first heartbeat
	born           int64                    // start time in ms, which identifies this run
	sequence       int64                    // number of the latest heartbeat
	speed          float64                  // a request's processing time is divided by it; 0: 1
	clockStep      time.Duration            // how far its VM's clock has stepped back since its start
	slots          int                      // requests processed at the same time
	serviceTime    time.Duration            // processing time of a request, unless its workload has another
	queue          int                      // requests queued before more are shed; 0: maxQueuedRequests
	slotFreeAt     []time.Duration          // when each slot is free
	pending        int                      // requests in process or queued
	lastRequestSeq map[datagram.Flow]uint32 // sequence number of the latest request
	flows          map[datagram.Flow]*upstreamFlow
	openings       int
}

// upstreamFlow is a flow that an upstream has accepted. It is open from the caller's first
// packet after the opening.
type upstreamFlow struct {
	seq  uint32
	open bool
}

// start starts the upstream without any flows.
func (u *upstream) start() {
	u.alive, u.draining, u.drainAckedAt, u.sequence, u.slotFreeAt, u.pending = true, false, 0, 0, nil, 0
	u.startedAt, u.lastRequestSeq = u.w.now, map[datagram.Flow]uint32{}
	u.born = int64(u.w.now/time.Millisecond) + 1
	u.flows = map[datagram.Flow]*upstreamFlow{}
	born := u.born
	u.w.after(u.heartbeatDelay, func() { u.sendHeartbeat(born) })
}

// crash stops the upstream; it loses its flows.
func (u *upstream) crash() {
	u.alive = false
	for f, h := range u.w.owners {
		if h == u {
			delete(u.w.owners, f)
		}
	}
}

// defaultHeartbeat is the interval of the heartbeats.
const defaultHeartbeat = 770 * time.Millisecond

// sendHeartbeat sends a heartbeat to the agent at each interval, or retries after 50 ms while
// the agent is down.
func (u *upstream) sendHeartbeat(born int64) {
	if !u.alive || u.born != born {
		return
	}
	u.sequence++
	if !u.vm.up {
		u.w.after(50*time.Millisecond, func() { u.sendHeartbeat(born) })
		return
	}
	u.vm.a.HandleAnnouncement(&datagram.Announcement{
		ID: "i", Service: u.vm.service, Draining: u.draining, Slots: u.slots, Born: u.born, Sequence: u.sequence, Age: u.w.now - u.startedAt - u.clockStep,
		Cold: max(0, u.startedAt+u.w.coldStart-u.w.now),
	}, u.w.now-u.vm.startedAt)
	if u.draining && u.drainAckedAt == 0 {
		u.drainAckedAt = u.w.now
	}
	u.w.after(cmp.Or(u.w.heartbeat, defaultHeartbeat), func() { u.sendHeartbeat(born) })
}

const (
	flagReset, flagAck, flagFin, flagOpen, flagBounced = 1, 2, 4, 8, 16
	packetHeaderLen                                    = 31
)

const (
	// maxQueuedRequests is how many requests an upstream queues before it sheds more.
	maxQueuedRequests = 20
	shedAnswer        = "503"
)

// encodePacket encodes a packet of the platform's protocol.
func encodePacket(src, dst datagram.Endpoint, flags byte, seq, ack uint32, data string) []byte {
	b := make([]byte, packetHeaderLen+len(data))
	binary.BigEndian.PutUint32(b, seq)
	binary.BigEndian.PutUint32(b[4:], ack)
	b[12] = flags
	binary.BigEndian.PutUint32(b[13:], uint32(dst.IP))
	binary.BigEndian.PutUint32(b[17:], uint32(src.IP))
	binary.BigEndian.PutUint16(b[21:], src.Port)
	binary.BigEndian.PutUint16(b[23:], dst.Port)
	binary.BigEndian.PutUint16(b[29:], uint16(len(data)))
	copy(b[packetHeaderLen:], data)
	return b
}

// handlePacket handles a packet that the agent on the same VM passes on.
func (u *upstream) handlePacket(b []byte) {
	if !u.alive {
		return
	}
	w := u.w
	w.after(300*time.Microsecond, func() {
		if !u.alive {
			return
		}
		p, ok := platform.PacketFormat{}.Parse(b)
		if !ok {
			w.recordBreach("upstream got bytes that are no packet")
			return
		}
		if !w.routedServices[u.vm.service] {
			w.recordBreach("packet at an upstream of a service to which no configuration led")
		}
		h := u.flows[p.Flow]
		switch {
		case p.Open:
			u.handleOpening(p, b, h)
		case h == nil || !h.open && p.AckNumber != h.seq+1:
			w.recordMisroute(p.Flow, u)
			u.bounce(b)
		default:
			w.clearMisroute(p.Flow)
			u.handleRequest(p, h)
		}
	})
}

// handleOpening accepts a new flow. It records a breach if the upstream has announced
// that it drains, or if its availability zone is out of service.
func (u *upstream) handleOpening(p datagram.Packet, b []byte, h *upstreamFlow) {
	w := u.w
	if u.draining && u.drainAckedAt != 0 && w.now-u.drainAckedAt > 3*time.Second {
		w.recordBreach("opening at an upstream that drains")
	}
	for _, z := range w.zonesOut {
		if z == datagram.ZoneKeyOf(u.vm.zone) && w.now-w.zonesChangedAt() > 5*time.Second {
			w.recordBreach("opening in an availability zone that is out")
		}
	}
	if h == nil {
		h = &upstreamFlow{seq: w.rng.Uint32()}
		u.flows[p.Flow] = h
		u.openings++
	}
	u.send(encodePacket(p.Flow.Address, p.Flow.Caller, flagOpen|flagAck, h.seq, p.Seq+1, ""))
}

// handleRequest answers a request of a flow that the upstream holds, or sheds the request
// if the queue is full.
func (u *upstream) handleRequest(p datagram.Packet, h *upstreamFlow) {
	w := u.w
	if !h.open {
		h.open = true
		w.owners[p.Flow] = u
	}
	if p.Length == 0 || u.lastRequestSeq[p.Flow] == p.Seq {
		return // no data, or a retransmission of a request that was received already
	}
	u.lastRequestSeq[p.Flow] = p.Seq
	if u.pending >= u.slots+cmp.Or(u.queue, maxQueuedRequests) {
		u.send(encodePacket(p.Flow.Address, p.Flow.Caller, flagAck, h.seq+1, p.Seq+uint32(p.Length), shedAnswer))
		return
	}
	u.pending++
	if w.acknowledges {
		u.send(encodePacket(p.Flow.Address, p.Flow.Caller, flagAck, h.seq+1, p.Seq+uint32(p.Length), ""))
	}
	if len(u.slotFreeAt) == 0 {
		u.slotFreeAt = make([]time.Duration, u.slots)
	}
	slot := 0
	for i := range u.slotFreeAt {
		if u.slotFreeAt[i] < u.slotFreeAt[slot] {
			slot = i
		}
	}
	work := w.serviceTime(p, u)
	if u.speed > 0 {
		work = time.Duration(float64(work) / u.speed)
	}
	if w.now-u.startedAt < 2*time.Second {
		work = work * 8 / 5 // it is slower shortly after its start
	}
	u.slotFreeAt[slot] = max(u.slotFreeAt[slot], w.now) + work
	born := u.born
	w.after(u.slotFreeAt[slot]-w.now, func() {
		if u.alive && u.born == born {
			u.pending--
			u.send(encodePacket(p.Flow.Address, p.Flow.Caller, flagAck, h.seq+1, p.Seq+uint32(p.Length), "answer"))
		}
	})
}

// bounce returns a packet of a flow that the upstream does not hold to the agent.
func (u *upstream) bounce(b []byte) {
	b[12] |= flagBounced
	u.send(b)
}

// send passes a packet to the agent on the same VM.
func (u *upstream) send(b []byte) {
	v := u.vm
	u.w.after(50*time.Microsecond, func() {
		if v.up {
			v.a.HandleUpstream(withHeadroom(b), u.w.now-v.startedAt)
			v.a.Tick(u.w.now - v.startedAt)
		}
	})
}

// misroute counts the packets of a flow that reached other upstreams than its owner since
// the last packet that reached the owner.
type misroute struct {
	since time.Duration
	n     int
}

// recordMisroute counts a packet that reached another upstream than the owner of its flow.
// It records a breach if the owner runs and has missed at least three packets over 2 s.
func (w *simulation) recordMisroute(f datagram.Flow, u *upstream) {
	owner := w.owners[f]
	if owner == nil || owner == u || !owner.alive {
		return
	}
	a := w.misroutes[f]
	if a == nil {
		a = &misroute{since: w.now}
		w.misroutes[f] = a
	}
	if a.n++; a.n >= 3 && w.now-a.since >= 2*time.Second {
		w.recordBreach("packets of flow " + f.Caller.String() + " reach other upstreams only")
	}
}

// clearMisroute resets the count after a packet that reached the owner of the flow.
func (w *simulation) clearMisroute(f datagram.Flow) { delete(w.misroutes, f) }

// zonesChangedAt returns when an availability zone was last taken out or put back.
func (w *simulation) zonesChangedAt() time.Duration { return time.Duration(w.zonesRevision) }
