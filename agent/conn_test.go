package agent

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
)

var (
	secret       = keyring.NewSecret(1)
	callerAddr   = netip.MustParseAddrPort("198.51.100.7:4433")
	balancerAddr = netip.MustParseAddrPort("127.0.0.1:9")
)

// newSocket opens a link socket that is closed at the end of the test.
func newSocket(t *testing.T) *link.Socket {
	t.Helper()
	s, err := link.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func newTestConn(t *testing.T, admit func() events.Reason) *conn {
	t.Helper()
	c := newConn(newSocket(t), 1, 1, 7, admit, func() int { return 0 }, nil)
	ks := link.NewKeys(keyring.Ring{secret})
	c.keys.Store(&ks)
	return c
}

func initialPacket(id uint64) []byte {
	return append(binary.BigEndian.AppendUint64([]byte{0xc0, 0, 0, 0, 1, 8}, id), make([]byte, 100)...)
}

// openingDatagram returns the datagram of an opening as a balancer sends it.
func openingDatagram(m link.Message, payload []byte) []byte {
	b := append(make([]byte, link.HeaderSize), payload...)
	m.Kind = link.KindOpen
	if m.Service == 0 {
		m.Service = 1
	}
	if !m.Caller.IsValid() {
		m.Caller = callerAddr
	}
	link.NewKey(secret).Put(b, &m)
	return b
}

// Guards against an opening that is split between two agents. A ClientHello with a
// hybrid post-quantum key exchange fills two datagrams. The first one finds the agent
// full and is passed on; then a flow ends, and the second one arrives, or the first one
// again. If it were taken here now, each agent would hold half a handshake, and the
// caller would time out.
func TestAllDatagramsOfAnOpeningFollowTheFirst(t *testing.T) {
	next := newSocket(t)
	for name, x := range map[string]struct {
		first, then events.Reason
		takenHere   bool
	}{
		"full, then free":    {events.ReasonFull, "", false},
		"free, then full":    {"", events.ReasonFull, true},
		"free, then leaving": {"", events.ReasonLeaving, true},
	} {
		t.Run(name, func(t *testing.T) {
			reason := x.first
			c := newTestConn(t, func() events.Reason { return reason })
			m := link.Message{Count: 2, Candidates: [link.MaxCandidates]netip.AddrPort{c.socket.Addr(), next.Addr()}}
			for i := range 4 {
				p, _ := c.handle(openingDatagram(m, initialPacket(5)), balancerAddr)
				if (p != nil) != x.takenHere {
					t.Errorf("datagram %d taken by this agent: %t", i, p != nil)
				}
				reason = x.then
			}
			if p, _ := c.handle(openingDatagram(m, initialPacket(6)), balancerAddr); (p != nil) != (x.then == "") {
				t.Error("the decision on the first opening was applied to another one")
			}
		})
	}
}

func TestPassedOpeningNamesItsNextCandidate(t *testing.T) {
	next := newSocket(t)
	c := newTestConn(t, func() events.Reason { return events.ReasonFull })
	c.handle(openingDatagram(link.Message{Count: 2, Candidates: [link.MaxCandidates]netip.AddrPort{c.socket.Addr(), next.Addr()}}, initialPacket(5)), balancerAddr)
	b := make([]byte, 2048)
	n, err := next.Read(b)
	var m link.Message
	p, ok := (*c.keys.Load()).Get(b[:n], &m)
	if err != nil || !ok || m.Position != 1 || m.Caller != callerAddr || string(p) != string(initialPacket(5)) {
		t.Errorf("the next agent received %+v, %t, %v", m, ok, err)
	}
}

// Guards against an opening that goes to the busier of two agents, or circulates
// between them. Both agents have capacity, one has more flows. Whichever the balancer
// asked first, the less busy one must take all datagrams of the opening.
func TestLessBusyOfTwoTakesTheOpening(t *testing.T) {
	for name, x := range map[string]struct {
		first, second int
		atFirst       bool
	}{
		"first busier": {9, 3, false}, "second busier": {3, 9, true}, "equal": {5, 5, false}, "first without flows": {0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			admitAll := func() events.Reason { return "" }
			a, b := newTestConn(t, admitAll), newTestConn(t, admitAll)
			a.flowCount, b.flowCount = func() int { return x.first }, func() int { return x.second }
			m := link.Message{Count: 2, Candidates: [link.MaxCandidates]netip.AddrPort{a.socket.Addr(), b.socket.Addr()}}
			for datagram := range 3 {
				at, hops := a, 0
				p := openingDatagram(m, initialPacket(5))
				for taken, _ := at.handle(p, balancerAddr); taken == nil; taken, _ = at.handle(p, balancerAddr) {
					if at, hops = otherConn(at, a, b), hops+1; hops > 2 {
						t.Fatal("the opening circulates")
					}
					p = receive(t, at)
				}
				if (at == a) != x.atFirst {
					t.Errorf("datagram %d was taken by the first agent: %t", datagram, at == a)
				}
			}
		})
	}
}

func otherConn(c, a, b *conn) *conn {
	if c == a {
		return b
	}
	return a
}

func receive(t *testing.T, c *conn) []byte {
	t.Helper()
	b := make([]byte, 2048)
	n, err := c.socket.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	return b[:n]
}

// agentConns are agents that pass openings to each other.
type agentConns []*conn

func (f agentConns) openingFor(at ...int) link.Message {
	m := link.Message{Count: uint8(len(at))}
	for i, a := range at {
		m.Candidates[i] = f[a].socket.Addr()
	}
	return m
}

// deliver delivers the datagram to an agent, follows it, and returns the agent that
// took it.
func (f agentConns) deliver(t *testing.T, p []byte, at int) int {
	t.Helper()
	for range 3 * maxHops {
		if p, _ := f[at].handle(p, balancerAddr); p != nil {
			return at
		}
		p, at = f.receive(t)
	}
	t.Fatal("the opening circulates")
	return 0
}

// receive returns the next datagram that an agent passed on, and the receiving agent.
func (f agentConns) receive(t *testing.T) ([]byte, int) {
	t.Helper()
	for {
		for i, c := range f {
			b := make([]byte, 2048)
			c.socket.SetReadDeadline(time.Now().Add(time.Millisecond))
			if n, err := c.socket.Read(b); err == nil {
				return b[:n], i
			}
		}
	}
}

// Guards against an opening that circulates among agents until its caller gives up. Two
// balancers name different candidates for its datagrams, and one of the agents begins
// to leave in between.
func TestOpeningWithDifferentCandidatesEndsAtOneAgent(t *testing.T) {
	reasons := make([]events.Reason, 4)
	var f agentConns
	for i, flowCount := range []int{1, 3, 9, 2} {
		c := newTestConn(t, func() events.Reason { return reasons[i] })
		c.flowCount = func() int { return flowCount }
		f = append(f, c)
	}
	reasons[0] = events.ReasonLeaving
	f[1].handle(openingDatagram(f.openingFor(1, 2, 3), initialPacket(5)), balancerAddr)
	p, at := f.receive(t)
	f[at].handle(p, balancerAddr) // busier, so it returns the opening
	back, at := f.receive(t)
	ends := map[int]bool{f.deliver(t, openingDatagram(f.openingFor(0, 1, 2), initialPacket(5)), 0): true}
	ends[f.deliver(t, back, at)] = true
	ends[f.deliver(t, openingDatagram(f.openingFor(0, 1, 2), initialPacket(5)), 0)] = true
	ends[f.deliver(t, openingDatagram(f.openingFor(3, 2, 1), initialPacket(5)), 2)] = true
	if len(ends) != 1 || !ends[1] {
		t.Errorf("the opening's datagrams were taken by agents %v, want 1 only", ends)
	}
}

// Guards against an opening that circulates among agents that are all leaving.
func TestOpeningAmongLeavingAgentsIsRefused(t *testing.T) {
	var f agentConns
	leaving := events.Reason("")
	for range 3 {
		c := newTestConn(t, func() events.Reason { return leaving })
		c.flowCount = func() int { return 1 + len(f) }
		f = append(f, c)
	}
	f[0].openings.put(openingKey{fleet.HashOf(binary.BigEndian.AppendUint64(nil, 5)), callerAddr}, placement{decisionPassed, f[1].socket.Addr()}, time.Now())
	f[1].openings.put(openingKey{fleet.HashOf(binary.BigEndian.AppendUint64(nil, 5)), callerAddr}, placement{decisionPassed, f[0].socket.Addr()}, time.Now())
	leaving = events.ReasonLeaving
	at := f.deliver(t, openingDatagram(f.openingFor(2, 0, 1), initialPacket(5)), 2)
	if !f[at].refused.has(callerAddr, time.Now()) {
		t.Error("the opening was taken by an agent that is leaving")
	}
}

// Guards against a panic on a datagram whose opening was passed on before, if the
// datagram names the agent as its last candidate.
func TestKnownOpeningAtItsLastCandidateIsPassedOn(t *testing.T) {
	f := agentConns{newTestConn(t, func() events.Reason { return "" }), newTestConn(t, func() events.Reason { return "" })}
	f[0].flowCount = func() int { return 5 }
	f[0].handle(openingDatagram(f.openingFor(0, 1), initialPacket(5)), balancerAddr)
	if _, at := f.receive(t); at != 1 {
		t.Fatal("the opening was not passed on")
	}
	m := f.openingFor(1, 1, 1, 0)
	m.Position = 3
	if at := f.deliver(t, openingDatagram(m, initialPacket(5)), 0); at != 1 {
		t.Errorf("the second datagram was taken by agent %d, the first by 1", at)
	}
}

// Guards against callers that time out when every agent is full, or stay refused
// afterwards. The last candidate must refuse the opening at once, and the caller must
// be able to open a flow when there is capacity again.
func TestLastCandidateRefusesAtOnce(t *testing.T) {
	reason := events.ReasonFull
	c := newTestConn(t, func() events.Reason { return reason })
	m := link.Message{Count: 1, Candidates: [link.MaxCandidates]netip.AddrPort{c.socket.Addr()}}
	if p, _ := c.handle(openingDatagram(m, initialPacket(5)), balancerAddr); p == nil || !c.refused.has(callerAddr, time.Now()) {
		t.Error("the opening did not reach quic-go to be refused")
	}
	reason = ""
	if p, _ := c.handle(openingDatagram(m, initialPacket(6)), balancerAddr); p == nil || c.refused.has(callerAddr, time.Now()) {
		t.Error("the next opening of the caller was refused, too")
	}
}

// Guards against a flow that is opened at another service. A datagram of another
// service reaches this agent because an address was reused or the view of a balancer is
// old.
func TestDatagramsOfOtherServicesAreNotTaken(t *testing.T) {
	c := newTestConn(t, func() events.Reason { return "" })
	m := link.Message{Service: 2, Count: 1, Candidates: [link.MaxCandidates]netip.AddrPort{c.socket.Addr()}}
	if p, _ := c.handle(openingDatagram(m, initialPacket(5)), balancerAddr); p != nil {
		t.Error("an opening of another service was taken")
	}
	b := append(make([]byte, link.HeaderSize), 0x40)
	link.NewKey(secret).Put(b, &link.Message{Kind: link.KindForward, Service: 2, Caller: callerAddr})
	if p, _ := c.handle(b, balancerAddr); p != nil {
		t.Error("a datagram of another service was taken")
	}
	if n := c.Foreign.Load(); n != 2 {
		t.Errorf("%d messages for other services counted, want 2", n)
	}
}

// Guards against a panic that would end all flows of an agent. A faulty process of the
// fleet names a caller without an IPv4 address, to which no datagram can be returned.
func TestCallerWithoutIPv4IsDropped(t *testing.T) {
	c := newTestConn(t, func() events.Reason { return "" })
	m := link.Message{Count: 1, Caller: netip.MustParseAddrPort("[2001:db8::1]:1"), Candidates: [link.MaxCandidates]netip.AddrPort{c.socket.Addr()}}
	if p, _ := c.handle(openingDatagram(m, initialPacket(5)), balancerAddr); p != nil {
		t.Error("a datagram of a caller without an IPv4 address was taken")
	}
}

// Guards against a feed that ends because its balancer fails. The caller of a feed
// sends nothing for minutes, so the agent must find another balancer by itself, while
// QUIC still retransmits.
func TestReturnPathMovesWithoutTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p paths
		a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
		for range 4 {
			p.recordHeartbeat(a, 1, time.Now())
			p.recordHeartbeat(b, 1, time.Now())
			time.Sleep(500 * time.Millisecond)
		}
		dead, _ := p.pick(callerAddr)
		alive := a
		if dead == a {
			alive = b
		}
		start := time.Now()
		for {
			p.recordHeartbeat(alive, 1, time.Now())
			p.expire(time.Now())
			if got, ok := p.pick(callerAddr); ok && got == alive {
				break
			}
			time.Sleep(250 * time.Millisecond)
		}
		if d := time.Since(start); d > 2*time.Second {
			t.Errorf("the return path moved after %v", d)
		}
	})
}

// Guards against a flood of forged openings. The table must stay bounded, and must
// still remember a real opening for as long as its caller retransmits.
func TestOpeningsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o openingTable
		for i := range uint64(10 * maxOpenings) {
			o.put(openingKey{connIDHash: i}, placement{decision: decisionTaken}, time.Now())
		}
		if n := len(o.current) + len(o.previous); n > 2*maxOpenings {
			t.Errorf("the table holds %d openings", n)
		}
		k := openingKey{connIDHash: 1 << 60}
		o.put(k, placement{decision: decisionPassed}, time.Now())
		time.Sleep(openingPeriod - time.Second)
		if o.get(k, time.Now()).decision != decisionPassed {
			t.Error("the opening was dropped while its caller still retransmits")
		}
		time.Sleep(3 * openingPeriod)
		if o.get(k, time.Now()).decision != decisionNone {
			t.Error("the opening was never dropped")
		}
	})
}

// Guards against callers that can't open flows during a rolling replacement. The
// balancers are replaced one after another, the oldest first, one second apart. A dead
// one counts as live for balancerTimeout, so the list nearly always contains one, at
// the same index. No caller may be assigned a dead balancer for more than a few seconds
// in a row.
func TestRollingReplacementStarvesNobody(t *testing.T) {
	host := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7001)
	}
	var p paths
	now := time.Now()
	unreachable := map[netip.AddrPort]int{}
	longest := 0
	for first := 1; first < 60; first++ { // balancers first to first+2 are live, first-1 has just died
		for ms := 0; ms < 1000; ms += 250 {
			for n := first; n < first+3; n++ {
				p.recordHeartbeat(host(n), 1, now)
			}
			p.expire(now)
			now = now.Add(250 * time.Millisecond)
		}
		for c := range 2000 {
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20000+c))
			if via, ok := p.pick(caller); ok && via.Addr().Compare(host(first).Addr()) >= 0 {
				unreachable[caller] = 0
				continue
			}
			unreachable[caller]++
			longest = max(longest, unreachable[caller])
		}
	}
	if longest > 4 {
		t.Errorf("datagrams to a caller went to a dead balancer for %d s in a row", longest)
	}
}

// Guards against a silent balancer that moves the flows of others. Only its own flows
// may move, since the datagrams of a moved flow are reordered, which reduces its
// throughput.
func TestOneSilentBalancerMovesItsOwnFlowsOnly(t *testing.T) {
	var p paths
	now := time.Now()
	gone := netip.MustParseAddrPort("10.0.0.3:7001")
	for n := byte(1); n <= 5; n++ {
		p.recordHeartbeat(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7001), 1, now)
	}
	pick := func(c int) netip.AddrPort {
		a, _ := p.pick(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20000+c)))
		return a
	}
	before := map[int]netip.AddrPort{}
	for c := range 1000 {
		before[c] = pick(c)
	}
	for a := range p.lastHeard {
		if a != gone {
			p.recordHeartbeat(a, 1, now.Add(time.Second))
		}
	}
	p.expire(now.Add(balancerTimeout + time.Millisecond))
	moved := 0
	for c, was := range before {
		if is := pick(c); is != was || is == gone {
			moved++
			if was != gone {
				t.Fatalf("a flow moved from %s to %s", was, is)
			}
		}
	}
	if moved < 100 || moved > 300 {
		t.Errorf("%d of 1000 flows moved", moved)
	}
}
