package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

const (
	upstreamSlots     = 3
	upstreamQueue     = 8
	serviceTime       = 25 * time.Millisecond
	slowFactor        = 8 // of a slow upstream
	coldStart         = 4 * time.Second
	heartbeatInterval = 770 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
	heartbeatRetry    = 50 * time.Millisecond
	shedAnswer        = "503"
)

// Flags and offsets of the platform's packet format.
const (
	flagReset, flagAck, flagOpen, flagBounced = 1, 2, 8, 16
	flagsOffset, headerLen                    = 12, 31
)

// encode encodes a packet of the platform's format.
func encode(src, dst datagram.Endpoint, flags byte, seq, ack uint32, data string) []byte {
	b := make([]byte, headerLen+len(data))
	binary.BigEndian.PutUint32(b, seq)
	binary.BigEndian.PutUint32(b[4:], ack)
	b[flagsOffset] = flags
	binary.BigEndian.PutUint32(b[13:], uint32(dst.IP))
	binary.BigEndian.PutUint32(b[17:], uint32(src.IP))
	binary.BigEndian.PutUint16(b[21:], src.Port)
	binary.BigEndian.PutUint16(b[23:], dst.Port)
	binary.BigEndian.PutUint16(b[29:], uint16(len(data)))
	copy(b[headerLen:], data)
	return b
}

// upstream is a back end on the VM of an agent. The lock of the site guards it.
type upstream struct {
	s    *site
	vm   *process
	http *http.Client

	alive    bool
	draining bool
	life     int // number of starts
	born     int64
	sequence int64
	conn     *net.UDPConn
	listener net.Listener
	slow     bool

	readyAckedAt time.Time // when the agent acknowledged the first heartbeat of this life
	drainAckedAt time.Time // when it acknowledged the first one that announces draining
	coldUntil    time.Time
	coldTaken    []time.Time // when openings arrived during the cold start
	slotFreeAt   [upstreamSlots]time.Time
	pending      int
	flows        map[datagram.Flow]*held
}

// held is a flow that an upstream has accepted. It is open from the caller's first packet
// after the opening.
type held struct {
	seq     uint32
	open    bool
	lastSeq uint32 // of the latest request
	answer  []byte // to it
}

// start starts the upstream without flows. It is cold for some time.
func (u *upstream) start(cold time.Duration) error {
	at := netip.AddrPortFrom(u.vm.ip, u.s.ports.app)
	c, l, err := listen(at)
	for end := time.Now().Add(listenLimit); errors.Is(err, unix.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(heartbeatRetry)
		c, l, err = listen(at)
	}
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	u.life++
	u.alive, u.draining, u.born, u.sequence = true, false, time.Now().UnixMilli(), 0
	u.conn, u.listener, u.flows, u.pending = c, l, map[datagram.Flow]*held{}, 0
	u.readyAckedAt, u.drainAckedAt, u.coldUntil, u.coldTaken = time.Time{}, time.Time{}, time.Now().Add(cold), nil
	u.slotFreeAt = [upstreamSlots]time.Time{}
	go u.read(c, u.life)
	go u.announce(u.life)
	return nil
}

// listenLimit limits the attempts to listen again. A program that is being started has a copy of
// the closed socket between its fork and its exec, for tenths of a second on a busy machine.
const listenLimit = 10 * time.Second

// listen opens the sockets of an upstream. A real one serves its health check on TCP.
func listen(at netip.AddrPort) (*net.UDPConn, net.Listener, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, nil, err
	}
	if err := stampArrivals(c); err != nil {
		c.Close()
		return nil, nil, err
	}
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, l, nil
}

// stop ends the upstream; it loses its flows.
func (u *upstream) stop() {
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	if u.alive {
		u.alive = false
		u.conn.Close()
		u.listener.Close()
	}
}

// drain announces that the upstream takes no more flows.
func (u *upstream) drain() {
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	u.draining = true
	go u.announce(u.life)
}

// announce sends heartbeats until the life ends, or until another goroutine does so because
// the state has changed.
func (u *upstream) announce(life int) {
	u.s.mu.Lock()
	draining := u.draining
	u.s.mu.Unlock()
	for {
		u.s.mu.Lock()
		if !u.alive || u.life != life || u.draining != draining {
			u.s.mu.Unlock()
			return
		}
		u.sequence++
		h := standin.Heartbeat{
			Service: u.vm.service, Address: netip.AddrPortFrom(u.vm.ip, u.s.ports.app), Slots: upstreamSlots,
			Draining: draining, Sequence: u.sequence, Born: u.born, Cold: time.Until(u.coldUntil),
		}
		u.s.mu.Unlock()
		pause := heartbeatRetry
		if u.post(standin.CallHeartbeat, h.Encode()) {
			pause = heartbeatInterval
			u.acknowledged(life, draining)
		}
		time.Sleep(pause)
	}
}

// acknowledged notes that the agent acknowledged a heartbeat.
func (u *upstream) acknowledged(life int, draining bool) {
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	switch {
	case u.life != life:
	case draining && u.drainAckedAt.IsZero():
		u.drainAckedAt = time.Now()
	case !draining && u.readyAckedAt.IsZero():
		u.readyAckedAt = time.Now()
	}
}

// post calls the agent and reports whether it acknowledged.
func (u *upstream) post(call string, body []byte) bool {
	a := standin.UpstreamURL(netip.AddrPortFrom(u.vm.ip, u.s.ports.control), "i-"+u.vm.name, call)
	r, err := u.http.Post(a, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stampArrivals makes the kernel note when datagrams arrive. Bounds on arrivals then hold
// although the soak itself may read them late.
func stampArrivals(c *net.UDPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var e error
	if err := raw.Control(func(fd uintptr) { e = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) }); err != nil {
		return err
	}
	return e
}

// arrival returns the kernel's time in the control message of a datagram.
func arrival(oob []byte) time.Time {
	ms, err := unix.ParseSocketControlMessage(oob)
	if err != nil || len(ms) == 0 || len(ms[0].Data) < 16 {
		return time.Now()
	}
	d := ms[0].Data
	return time.Unix(int64(binary.NativeEndian.Uint64(d)), int64(binary.NativeEndian.Uint64(d[8:])))
}

// read handles the packets from the agent until the socket is closed.
func (u *upstream) read(c *net.UDPConn, life int) {
	b, oob := make([]byte, 2048), make([]byte, 64)
	for {
		n, k, _, _, err := c.ReadMsgUDPAddrPort(b, oob)
		if err != nil {
			return
		}
		u.handlePacket(append([]byte(nil), b[:n]...), arrival(oob[:k]), life)
	}
}

// handlePacket handles a packet that the agent passes on.
func (u *upstream) handlePacket(b []byte, at time.Time, life int) {
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	if !u.alive || u.life != life {
		return
	}
	p, ok := platform.PacketFormat{}.Parse(b)
	if !ok {
		u.s.checks.breach(checkService, "", "%s got bytes that are no packet", u.vm.name)
		return
	}
	h := u.flows[p.Flow]
	u.s.checkArrival(u, p, at, h != nil)
	switch {
	case p.Open:
		if h == nil {
			h = &held{seq: u.s.draw()}
			u.flows[p.Flow] = h
		}
		u.send(encode(p.Flow.Address, p.Flow.Caller, flagOpen|flagAck, h.seq, p.Seq+1, ""))
	case h == nil || !h.open && p.AckNumber != h.seq+1:
		u.s.misrouted(p.Flow, u, at)
		b[flagsOffset] |= flagBounced
		u.send(b)
	default:
		u.handleRequest(p, h, b)
	}
}

// handleRequest runs the request of a flow that the upstream holds, or rejects it if the
// queue is full. It repeats the answer if a request is repeated.
func (u *upstream) handleRequest(p datagram.Packet, h *held, b []byte) {
	if !h.open {
		h.open = true
	}
	u.s.arrived(p.Flow, u)
	switch {
	case p.Length == 0:
		return
	case h.lastSeq == p.Seq:
		if h.answer != nil {
			u.send(h.answer)
		}
		return
	}
	h.lastSeq, h.answer = p.Seq, nil
	answer := func(text string) {
		h.answer = encode(p.Flow.Address, p.Flow.Caller, flagAck, h.seq+1, p.Seq+uint32(p.Length), text)
		u.send(append([]byte(nil), h.answer...))
	}
	if u.pending >= upstreamSlots+upstreamQueue {
		answer(shedAnswer)
		return
	}
	u.s.ran(platform.PacketFormat{}.RequestID(b), p.Flow, u)
	u.pending++
	slot := 0
	for i := range u.slotFreeAt {
		if u.slotFreeAt[i].Before(u.slotFreeAt[slot]) {
			slot = i
		}
	}
	work := serviceTime
	if u.slow {
		work *= slowFactor
	}
	now, life := time.Now(), u.life
	if u.slotFreeAt[slot].Before(now) {
		u.slotFreeAt[slot] = now
	}
	u.slotFreeAt[slot] = u.slotFreeAt[slot].Add(work)
	time.AfterFunc(u.slotFreeAt[slot].Sub(now), func() {
		u.s.mu.Lock()
		defer u.s.mu.Unlock()
		if u.alive && u.life == life {
			u.pending--
			answer("answer")
		}
	})
}

// send passes a packet to the agent.
func (u *upstream) send(b []byte) {
	u.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(u.vm.ip, u.s.ports.outbound))
}
