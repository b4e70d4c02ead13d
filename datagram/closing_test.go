package datagram

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"pomeloway.example/pomeloway/link"
)

// closingFormat is a format whose packets have flags, numbers, a scratch field and data.
type closingFormat struct{ plainFormat }

const (
	testOpen = 1 << iota
	testAck
	testFin
	testReset
	testBounced
)

const closingHeaderLen = 1 + flowLen + 4 + 4 + 4

func (closingFormat) Parse(b []byte) (p Packet, ok bool) {
	if len(b) < closingHeaderLen {
		return p, false
	}
	p.Flow, ok = decodeFlow(b[1:])
	x := b[0]
	p.Open, p.Ack, p.Fin, p.Reset, p.Bounced = x&testOpen != 0, x&testAck != 0, x&testFin != 0, x&testReset != 0, x&testBounced != 0
	p.Seq, p.AckNumber = binary.BigEndian.Uint32(b[1+flowLen:]), binary.BigEndian.Uint32(b[5+flowLen:])
	p.Scratch = binary.BigEndian.Uint32(b[9+flowLen:])
	p.Length = len(b) - closingHeaderLen
	return p, ok
}

func (closingFormat) SetScratch(b []byte, v uint32) { binary.BigEndian.PutUint32(b[9+flowLen:], v) }

func (closingFormat) ClearBounced(b []byte) { b[0] &^= testBounced }

func (f closingFormat) ParseOutbound(b []byte) (Packet, bool) { return f.Parse(b) }

// PutReset writes a reset without an acknowledgement, which only balancers and agents send.
func (closingFormat) PutReset(b []byte, f Flow, seq uint32) int {
	clear(b[:closingHeaderLen])
	b[0] = testReset
	f.put(b[1:])
	binary.BigEndian.PutUint32(b[1+flowLen:], seq)
	return closingHeaderLen
}

// closingPacket returns a packet of a flow, with space for a header before it.
func closingPacket(port uint16, flags byte, seq, ack uint32, length int) []byte {
	b := make([]byte, HeaderLen+closingHeaderLen+length)
	p := b[HeaderLen:]
	p[0] = flags
	testFlow(port).put(p[1:])
	binary.BigEndian.PutUint32(p[1+flowLen:], seq)
	binary.BigEndian.PutUint32(p[5+flowLen:], ack)
	return b
}

// The numbers of a flow in these tests. The caller's request and the upstream's answer have 100
// bytes each.
const (
	callerStart   = 1000
	upstreamStart = 5000
	testLength    = 100
	callerEnd     = callerStart + 1 + testLength
	upstreamEnd   = upstreamStart + 1 + testLength
)

// flowSite is two balancers, both homes of every flow, an agent whose upstream accepts flows, and
// some whose upstreams drain. Messages arrive at once.
type flowSite struct {
	now       time.Duration
	keys      link.Keys
	a         *Agent
	started   time.Duration // when the agent started
	draining  map[IP]*Agent
	startedAt map[IP]time.Duration // when agents in draining started, if not at the beginning
	balancers map[IP]*Balancer
	lives     Life
	// resets counts the resets for callers, upstream the packets for the upstream.
	resets, upstream int
	// onUpstream and onReset, if not nil, are called with each packet for the upstream of an agent
	// and with the caller's port and the number of each reset.
	onUpstream func(agent IP, p []byte)
	onReset    func(port uint16, number uint32)
}

// flowSitePort is one process of a flowSite, as its output.
type flowSitePort struct {
	s    *flowSite
	from IP
}

func (o flowSitePort) ToProcess(to IP, m []byte) {
	s, m := o.s, slices.Clone(m)
	if a := s.draining[to]; a != nil {
		a.HandleMessage(o.from, m, s.now-s.startedAt[to])
	} else if to == testAgent {
		s.a.HandleMessage(o.from, m, s.uptime())
	} else if b := s.balancers[to]; b != nil {
		b.HandleMessage(o.from, m, s.now)
	}
}

func (o flowSitePort) ToCaller(_ IP, p []byte) {
	if p[0] != testReset {
		return
	}
	if o.s.resets++; o.s.onReset != nil {
		k, _ := closingFormat{}.Parse(p)
		o.s.onReset(k.Flow.Caller.Port, k.Seq)
	}
}

func (o flowSitePort) ToUpstream(p []byte) {
	if o.s.upstream++; o.s.onUpstream != nil {
		o.s.onUpstream(o.from, p)
	}
}

const flowSiteRoute = 7

func newFlowSite(t *testing.T, l FlowLifetime) *flowSite { return newFlowSiteWithKeys(testKeys(t), l) }

func newFlowSiteWithKeys(ks link.Keys, l FlowLifetime) *flowSite {
	s := &flowSite{now: time.Second, keys: ks, balancers: map[IP]*Balancer{}, draining: map[IP]*Agent{}, startedAt: map[IP]time.Duration{}}
	s.a = s.newAgent(testAgent, l)
	for ip := IP(11); ip <= 13; ip++ {
		s.draining[ip] = s.newAgent(ip, l)
	}
	s.announce(1)
	for _, ip := range []IP{101, 102} {
		s.startBalancer(ip, l)
	}
	s.run(time.Second)
	return s
}

func (s *flowSite) newAgent(ip IP, l FlowLifetime) *Agent {
	a := &Agent{Life: Life(ip) + 60, Service: flowSiteRoute, Format: closingFormat{}, Out: flowSitePort{s, ip}, Keys: s.keys, FlowLifetime: l}
	a.Start()
	return a
}

func (s *flowSite) announce(n int64) {
	s.a.HandleAnnouncement(&Announcement{Service: flowSiteRoute, Born: 5, Sequence: n, Slots: 500}, s.uptime())
	for ip, a := range s.draining {
		a.HandleAnnouncement(&Announcement{Service: flowSiteRoute, Draining: true, Born: 5, Sequence: n, Slots: 500}, s.now-s.startedAt[ip])
	}
}

// uptime returns the time since the agent started.
func (s *flowSite) uptime() time.Duration { return s.now - s.started }

// restartAgent restarts the agent. The upstream, which goes on, announces itself.
func (s *flowSite) restartAgent() {
	s.lives++
	l := s.a.FlowLifetime
	s.a, s.started = s.newAgent(testAgent, l), s.now
	s.a.Life = 1000 + s.lives
	s.run(100 * time.Millisecond)
	s.announce(int64(s.now))
}

// restartDraining restarts an agent whose upstream drains.
func (s *flowSite) restartDraining(ip IP) {
	s.lives++
	s.draining[ip], s.startedAt[ip] = s.newAgent(ip, s.a.FlowLifetime), s.now
	s.draining[ip].Life = 1000 + s.lives
	s.run(100 * time.Millisecond)
	s.announce(int64(s.now))
}

func (s *flowSite) startBalancer(ip IP, l FlowLifetime) {
	s.lives++
	b := &Balancer{Self: ip, Life: s.lives, Format: closingFormat{}, Out: flowSitePort{s, ip}, Keys: s.keys, FlowLifetime: l}
	b.Start()
	b.SetConfiguration(&Configuration{Version: 1, Routes: map[Endpoint]Route{testFlow(1).Address: {Shares: []Share{{flowSiteRoute, 1}}}}})
	s.balancers[ip] = b
	ms := []Member{{IP: testAgent, Agent: true, Service: flowSiteRoute}}
	for ip := range s.draining {
		ms = append(ms, Member{IP: ip, Agent: true, Service: flowSiteRoute})
	}
	for ip := range s.balancers {
		ms = append(ms, Member{IP: ip})
	}
	b.SetMembers(ms, true, s.now)
}

// restartBalancers restarts the balancers in turn.
func (s *flowSite) restartBalancers() {
	for _, ip := range []IP{101, 102} {
		l := s.balancers[ip].FlowLifetime
		delete(s.balancers, ip)
		s.run(300 * time.Millisecond)
		s.startBalancer(ip, l)
		s.run(2 * time.Second)
	}
}

// run advances the clock. The upstream announces itself.
func (s *flowSite) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
		if s.now%(500*time.Millisecond) == 0 {
			s.announce(int64(s.now))
		}
		s.a.Tick(s.uptime())
		for ip, a := range s.draining {
			a.Tick(s.now - s.startedAt[ip])
		}
		for _, ip := range []IP{101, 102} {
			if b := s.balancers[ip]; b != nil {
				b.Tick(s.now)
			}
		}
	}
}

// caller sends a packet of the caller by the first balancer.
func (s *flowSite) caller(port uint16, flags byte, seq, ack uint32, length int) {
	s.balancers[101].HandleCaller(closingPacket(port, flags, seq, ack, length), s.now)
}

// reply sends a packet of the upstream.
func (s *flowSite) reply(port uint16, flags byte, seq, ack uint32, length int) {
	s.a.HandleUpstream(closingPacket(port, flags, seq, ack, length), s.uptime())
}

// open opens a flow, on which the caller sends a request.
func (s *flowSite) open(port uint16) {
	s.caller(port, testOpen, callerStart, 0, 0)
	s.reply(port, testOpen|testAck, upstreamStart, callerStart+1, 0)
	s.caller(port, testAck, callerStart+1, upstreamStart+1, testLength)
}

// Guards against resets of flows that one end has closed, when the balancers have been restarted
// and the caller acknowledges the answer.
func TestFlowClosedByOneEndGoesOnAfterRestarts(t *testing.T) {
	const flows = 20
	for name, x := range map[string]struct {
		before func(s *flowSite, port uint16)
		reset  bool
	}{
		"open": {func(*flowSite, uint16) {}, false},
		"closed by the caller": {func(s *flowSite, port uint16) {
			s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, 0)
			s.reply(port, testAck, upstreamStart+1, callerEnd+1, 0)
		}, false},
		"closed by the caller, twice": {func(s *flowSite, port uint16) {
			s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, 0)
			s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, 0)
			s.reply(port, testAck, upstreamStart+1, callerEnd+1, 0)
		}, false},
		"closed by the caller with the request": {func(s *flowSite, port uint16) {
			s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, testLength)
		}, false},
		"closed by the upstream": {func(s *flowSite, port uint16) {
			s.reply(port, testAck|testFin, upstreamStart+1, callerEnd, testLength)
			s.caller(port, testAck, callerEnd, upstreamEnd+1, 0)
		}, false},
		"closed by both, the end of the answer is missing": {func(s *flowSite, port uint16) {
			s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, 0)
			s.reply(port, testAck|testFin, upstreamEnd, callerEnd+1, 0)
			s.caller(port, testAck, callerEnd+1, upstreamStart+1, 0)
		}, false},
		"closed by both, a part of the request is missing": {func(s *flowSite, port uint16) {
			s.caller(port, testAck|testFin, callerEnd+testLength, upstreamStart+1, 0)
			s.reply(port, testAck|testFin, upstreamStart+1, callerEnd, 0)
			s.caller(port, testAck, callerEnd+testLength+1, upstreamStart+2, 0)
		}, false},
		"closed by both": {func(s *flowSite, port uint16) {
			s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, 0)
			s.reply(port, testAck|testFin, upstreamStart+1, callerEnd+1, testLength)
			s.caller(port, testAck, callerEnd+1, upstreamEnd+1, 0)
		}, true},
		"reset by the upstream": {func(s *flowSite, port uint16) { s.reply(port, testAck|testReset, upstreamStart+1, callerEnd, 0) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			for port := range uint16(flows) {
				s.open(port)
				x.before(s, port)
			}
			s.restartBalancers()
			for port := range uint16(flows) {
				s.caller(port, testAck, callerEnd, upstreamStart+1, 0)
			}
			s.run(3 * time.Second)
			if (s.resets > 0) != x.reset {
				t.Errorf("%d of %d flows reset, want any: %t", s.resets, flows, x.reset)
			}
		})
	}
}

// Guards against callers that are not told that their upstream has ended, because they had closed
// their end and only read the answer.
func TestCallerThatClosedItsEndIsToldThatUpstreamEnded(t *testing.T) {
	for name, end := range map[string]func(s *flowSite){
		"connections are refused":   func(s *flowSite) { s.refuseConnections() },
		"the upstream starts again": func(s *flowSite) { s.announceRun(6) },
		"the upstream bounces a packet": func(s *flowSite) {
			s.caller(9, testAck, callerEnd+1, upstreamStart+1, 0)
			m := closingPacket(9, testAck|testBounced, callerEnd+1, upstreamStart+1, 0)
			p, _ := closingFormat{}.Parse(m[HeaderLen:])
			p.Scratch = s.a.lastScratch
			s.a.handleBounced(p, m, s.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			s.open(9)
			s.caller(9, testAck|testFin, callerEnd, upstreamStart+1, 0)
			s.reply(9, testAck, upstreamStart+1, callerEnd+1, 0)
			s.run(5 * time.Second)
			end(s)
			if s.resets != 1 {
				t.Errorf("%d resets, want 1", s.resets)
			}
		})
	}
}

// refuseConnections passes the result of a probe to the agent: nothing listens any more.
func (s *flowSite) refuseConnections() {
	s.a.lastProbe = s.now + time.Millisecond
	s.a.HandleProbeResult(ProbeRefused, s.now+time.Millisecond)
}

// announceRun announces another run of the upstream, which began now.
func (s *flowSite) announceRun(born int64) {
	s.a.HandleAnnouncement(&Announcement{Service: flowSiteRoute, Born: born, Sequence: 1, Slots: 5, Age: time.Millisecond}, s.now)
}

// Guards against an upstream that looks idle while it works on requests whose callers have closed
// their ends.
func TestRequestOfCallerThatClosedItsEndTakesASlot(t *testing.T) {
	for name, x := range map[string]struct {
		after           func(s *flowSite)
		flows, requests int
	}{
		"no answer yet":     {func(*flowSite) {}, 1, 1},
		"answered":          {func(s *flowSite) { s.reply(9, testAck, upstreamStart+1, callerEnd+1, testLength) }, 1, 0},
		"answered and shut": {func(s *flowSite) { s.reply(9, testAck|testFin, upstreamStart+1, callerEnd+1, testLength) }, 0, 0},
		"shut, no answer":   {func(s *flowSite) { s.reply(9, testAck|testFin, upstreamStart+1, callerEnd+1, 0) }, 0, 0},
		"reset by caller":   {func(s *flowSite) { s.caller(9, testReset, callerEnd+1, 0, 0) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			s.open(9)
			s.caller(9, testAck|testFin, callerEnd, upstreamStart+1, 0)
			x.after(s)
			s.run(2 * recountInterval)
			if s.a.openFlows != x.flows || s.a.requests.count() != x.requests {
				t.Errorf("%d flows and %d requests, want %d and %d", s.a.openFlows, s.a.requests.count(), x.flows, x.requests)
			}
		})
	}
}

// Guards against a request that its agent keeps and never forwards, because the caller closed its
// end behind it.
func TestKeptRequestSurvivesTheCallersFin(t *testing.T) {
	s := newFlowSite(t, 0)
	s.open(9)
	f, _ := s.a.flows.get(testFlow(9))
	f.kept = true
	s.caller(9, testAck|testFin, callerEnd, upstreamStart+1, 0)
	if !f.kept {
		t.Error("the request is dropped")
	}
}

// Guards against flows that have ended and stay in memory.
func TestClosedFlowsAreDropped(t *testing.T) {
	s := newFlowSite(t, 0)
	for port := range uint16(50) {
		s.open(port)
		s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, 0)
		if port != 9 {
			s.reply(port, testAck|testFin, upstreamStart+1, callerEnd+1, 0) // the last acknowledgement is lost
		}
	}
	s.run(closedFlowRetention + 2*recountInterval)
	if _, ok := s.a.flows.get(testFlow(9)); !ok || s.a.flows.len() != 1 {
		t.Errorf("%d flows are left, want the one that has not ended", s.a.flows.len())
	}
}
