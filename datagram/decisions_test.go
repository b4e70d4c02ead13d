package datagram

import (
	"testing"
	"time"
)

// sent collects what a balancer or an agent sends; it is both their outputs.
type sent struct {
	process  []Message
	to       []IP
	caller   int
	upstream int
	keys     func(*Message, []byte) bool
}

func (s *sent) ToProcess(ip IP, b []byte) {
	var m Message
	if s.keys(&m, b) && m.Kind != KindAgent && m.Kind != KindBalancer {
		s.process, s.to = append(s.process, m), append(s.to, ip)
	}
}
func (s *sent) ToCaller(IP, []byte) { s.caller++ }
func (s *sent) ToUpstream([]byte)   { s.upstream++ }

func newSent(t *testing.T) *sent {
	ks := testKeys(t)
	return &sent{keys: func(m *Message, b []byte) bool { _, ok := m.Get(b, ks); return ok }}
}

// plain is a format whose packets are a kind byte, a flow and a number.
type plain struct{}

const (
	plainOpening = 'o'
	plainData    = 'd'
)

func (plain) Parse(b []byte) (Packet, bool) {
	if len(b) < 1+flowLen {
		return Packet{}, false
	}
	f, ok := flowFrom(b[1:])
	return Packet{Flow: f, Open: b[0] == plainOpening, Length: len(b) - 1 - flowLen}, ok
}
func (p plain) ParseOutbound(b []byte) (Packet, bool) { return p.Parse(b) }
func (plain) SetScratch([]byte, uint32)               {}
func (plain) ClearBounced([]byte)                     {}
func (plain) PutReset([]byte, Flow, uint32) int       { return 1 }
func (plain) RequestID([]byte) string                 { return "" }

func plainPacket(kind byte, port uint16) []byte {
	b := make([]byte, HeaderLen+1+flowLen)
	b[HeaderLen] = kind
	Flow{Caller: Endpoint{1, port}, Address: Endpoint{2, 443}}.put(b[HeaderLen+1:])
	return b
}

// Each of these openings would break a promise if the agent gave it to its
// upstream, whatever balancers believe.
func TestAgentIsTheGateForOpenings(t *testing.T) {
	const now = 10 * time.Second
	ready := Announcement{Service: 7, Born: 5, Sequence: 1, Slots: 5}
	draining := ready
	draining.Draining = true
	cold := ready
	cold.Cold = 5 * time.Second
	for name, x := range map[string]struct {
		prepare func(*Agent)
		opening Message
		want    Reason
	}{
		"ready":                  {func(a *Agent) { a.Announce(&ready, now) }, Message{Service: 7}, ReasonNone},
		"other service":          {func(a *Agent) { a.Announce(&ready, now) }, Message{Service: 8}, ReasonService},
		"upstream not heard yet": {func(*Agent) {}, Message{Service: 7}, ReasonUnknown},
		"not heard yet, it listens, zones not known": {func(a *Agent) { a.Probed(ProbeAccepted, now) }, Message{Service: 7}, ReasonUnknown},
		"not heard yet, it listens": {func(a *Agent) {
			a.Probed(ProbeAccepted, now)
			a.setZonesOut(nil, 9, now)
		}, Message{Service: 7}, ReasonNone},
		"not heard yet, it listens, zone out": {func(a *Agent) {
			a.Probed(ProbeAccepted, now)
			a.setZonesOut([]ZoneKey{3}, 9, now)
		}, Message{Service: 7}, ReasonZoneOut},
		"not heard yet, held for cold": {func(a *Agent) {
			a.Probed(ProbeAccepted, now)
			a.setZonesOut(nil, 9, now)
			a.upstream.bucket.take(0.5, now)
		}, Message{Service: 7, Cold: ColdRateOf(0.5)}, ReasonCold},
		"nothing listens": {func(a *Agent) {
			a.Announce(&ready, now-time.Second)
			a.probed = now - time.Millisecond
			a.Probed(ProbeRefused, now)
		}, Message{Service: 7}, ReasonGone},
		"announced while it was tried": {func(a *Agent) {
			a.probed = now - time.Second
			a.Announce(&ready, now)
			a.Probed(ProbeRefused, now)
		}, Message{Service: 7}, ReasonNone},
		"draining": {func(a *Agent) { a.Announce(&draining, now) }, Message{Service: 7}, ReasonDraining},
		"gone":     {func(a *Agent) { a.Announce(&ready, now); a.Deregister("", now) }, Message{Service: 7}, ReasonGone},
		"zone out": {func(a *Agent) { a.Announce(&ready, now); a.setZonesOut([]ZoneKey{3}, 9, now) }, Message{Service: 7}, ReasonZoneOut},
		"zone out, older word": {func(a *Agent) {
			a.Announce(&ready, now)
			a.setZonesOut(nil, 9, now)
			a.setZonesOut([]ZoneKey{3}, 8, now)
		}, Message{Service: 7}, ReasonNone},
		"zone back": {func(a *Agent) {
			a.Announce(&ready, now)
			a.setZonesOut([]ZoneKey{3}, 8, now)
			a.setZonesOut(nil, 9, now)
		}, Message{Service: 7}, ReasonNone},
		"agent leaves":           {func(a *Agent) { a.Announce(&ready, now); a.Leave(now) }, Message{Service: 7}, ReasonDraining},
		"busy":                   {func(a *Agent) { a.Announce(&ready, now); a.underWay = 10 }, Message{Service: 7}, ReasonBusy},
		"busy, pressing":         {func(a *Agent) { a.Announce(&ready, now); a.underWay = 10 }, Message{Service: 7, Hop: pressing}, ReasonBusy},
		"busy, pressing, urgent": {func(a *Agent) { a.Announce(&ready, now); a.underWay = 10 }, Message{Service: 7, Hop: pressingUrgent}, ReasonNone},
		"full, pressing, urgent": {func(a *Agent) { a.Announce(&ready, now); a.underWay = 15 }, Message{Service: 7, Hop: pressingUrgent}, ReasonBusy},
		"a slot's worth of room": {func(a *Agent) { a.Announce(&ready, now); a.underWay = 9 }, Message{Service: 7}, ReasonNone},
		"cold, no limit":         {func(a *Agent) { a.Announce(&cold, now) }, Message{Service: 7}, ReasonNone},
		"cold, used up": {func(a *Agent) {
			a.Announce(&cold, now)
			a.upstream.bucket.take(0.5, now)
		}, Message{Service: 7, Cold: ColdRateOf(0.5)}, ReasonCold},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSent(t)
			a := &Agent{Service: 7, Zone: 3, Format: plain{}, Out: s, Keys: testKeys(t)}
			a.Start()
			x.prepare(a)
			b := plainPacket(plainOpening, 9)
			x.opening.Kind = KindOpening
			x.opening.Put(b, a.Keys[0])
			a.HandleMessage(1, b, now)
			if x.want == ReasonNone {
				if s.upstream != 1 || len(s.process) != 0 {
					t.Errorf("given %d times, answers %+v", s.upstream, s.process)
				}
				return
			}
			if s.upstream != 0 || len(s.process) != 1 || s.process[0].Kind != KindRefused || s.process[0].Reason != x.want {
				t.Errorf("given %d times, answers %+v", s.upstream, s.process)
			}
		})
	}
}

// testBalancer has agents 1 to n of service 7, all heard at the time.
func testBalancer(t *testing.T, n int, now time.Duration) (*Balancer, *sent) {
	s := newSent(t)
	b := &Balancer{Format: plain{}, Out: s, Keys: testKeys(t)}
	b.Start()
	b.SetConfiguration(&Configuration{Version: 1, Routes: map[Endpoint]Route{{2, 443}: {Shares: []Share{{7, 1}}}}})
	b.settled = true
	for ip := range IP(n) {
		b.agents.hear(ip+1, AgentStatus{Life: Life(ip + 1), Sequence: 1, Service: 7, State: UpstreamReady, Slots: 5}, now)
	}
	return b, s
}

// An agent dies. Every opening that came to it waited 60 ms for it, as each was
// sent there first; only the first may.
func TestUnansweredOpeningMovesTheAgentBehind(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 4, now-100*time.Millisecond)
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	dead := s.to[0]
	now += answerWithin
	b.Tick(now)
	if len(s.to) != 2 || s.to[1] == dead {
		t.Fatalf("sent to %v", s.to)
	}
	for port := range uint16(50) {
		b.HandleCaller(plainPacket(plainOpening, 100+port), now)
		if s.to[len(s.to)-1] == dead {
			t.Fatal("the silent agent is asked first again")
		}
	}
	b.agents.hear(dead, AgentStatus{Life: Life(dead), Sequence: 2, Service: 7, State: UpstreamReady, Slots: 5}, now)
	if b.agents.byIP[dead].class(now, nil) != classReady {
		t.Error("an agent that is heard again is still doubted")
	}
}

// A walk that sends a packet to a silent agent ends there, though the flow may be
// with the next one.
func TestWalkAsksSilentAgentsLast(t *testing.T) {
	now := 10 * time.Second
	for silent := IP(1); silent <= 4; silent++ {
		b, s := testBalancer(t, 4, now-200*time.Millisecond)
		b.agents.byIP[silent].heard = now - 2*time.Second
		m := plainPacket(plainData, 5)
		b.HandleCaller(m, now)
		for range 3 {
			last := len(s.to) - 1
			if s.to[last] == silent && s.process[last].Hop != hopFinal {
				t.Fatalf("the silent agent %v is asked before others: %v", silent, s.to)
			}
			h := s.process[last]
			b.notMine(s.to[last], plainPacket(plainData, 5), h, now)
		}
		if got := s.to[len(s.to)-1]; got != silent || s.caller != 0 {
			t.Errorf("asked %v, resets %d", s.to, s.caller)
		}
	}
}

// What a walk ends in, with every agent asked: only the certain end of a flow is
// told to its caller.
func TestEndOfAWalk(t *testing.T) {
	for name, x := range map[string]struct {
		prepare func(b *Balancer, now time.Duration)
		resets  int
	}{
		"all deny":                  {func(*Balancer, time.Duration) {}, 1},
		"one can't tell":            {func(b *Balancer, _ time.Duration) { b.agents.byIP[2].status.State = UpstreamUnknown }, 0},
		"records not read":          {func(b *Balancer, _ time.Duration) { b.settled = false }, 0},
		"one silent for two second": {func(b *Balancer, now time.Duration) { b.agents.byIP[1].heard = now - 2*time.Second }, 0},
		"one silent for long":       {func(b *Balancer, now time.Duration) { b.agents.byIP[1].heard = now - 2*goneAfter }, 1},
		"one recorded now, not heard": {func(b *Balancer, now time.Duration) {
			b.SetMembers([]Member{{IP: 9, Agent: true, Service: 7}}, true, now)
		}, 0},
		"one recorded for long, not heard": {func(b *Balancer, now time.Duration) {
			b.SetMembers([]Member{{IP: 9, Agent: true, Service: 7}}, true, now-2*unheardAfter)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, s := testBalancer(t, 3, now-200*time.Millisecond)
			x.prepare(b, now)
			b.HandleCaller(plainPacket(plainData, 5), now)
			answer(b, s, 0, now)
			if s.caller != x.resets {
				t.Errorf("%d resets after asking %v", s.caller, s.to)
			}
		})
	}
}

// A balancer that has just started hears its agents one by one. One that is heard
// after the walk passed its place has not denied the flow.
func TestAgentThatTheWalkPassedOverCountsAsNotAsked(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 5, now-200*time.Millisecond)
	b.agents.byIP[3].heard = 0
	b.HandleCaller(plainPacket(plainData, 5), now)
	for i := 0; i < len(s.to) && i < 10; i++ {
		if i == 3 {
			b.agents.byIP[3].heard = now // heard, but not asked
		}
		b.notMine(s.to[i], plainPacket(plainData, 5), s.process[i], now)
	}
	asked := contains(s.to, 3)
	if s.caller != 0 && !asked {
		t.Errorf("reset after asking %v of five", s.to)
	}
}

// The acknowledgement of an upload's end was lost, so its last piece came again
// after the answer. It was counted as a request that never ends; after minutes
// every upstream of uploads was held for busy, and one upload in two was refused.
func TestRetransmissionAfterTheAnswerIsNoRequest(t *testing.T) {
	a := &Agent{Format: plain{}}
	a.Start()
	f := &flowState{phase: flowOpen}
	piece := func(seq uint32) { a.began(Packet{Seq: seq, Length: 100}, f, nil, time.Second) }
	piece(1)
	piece(101)
	if a.underWay != 1 {
		t.Fatalf("%d under way", a.underWay)
	}
	a.answered(Packet{Length: 5}, f, time.Second)
	piece(101)
	if a.underWay != 0 {
		t.Errorf("%d under way after the answer", a.underWay)
	}
	piece(201)
	if a.underWay != 1 {
		t.Errorf("the next request is not counted")
	}
}

// A VM dies for good; its record would stay, and after the next loss of power hold
// up what is told to callers. One balancer removes it, and never one that lives.
func TestOneBalancerRemovesTheRecordsOfTheDead(t *testing.T) {
	start := 20 * time.Second
	now := start + reapAfter + time.Second
	ms := []Member{{IP: 1, Agent: true, Service: 7}, {IP: 2, Agent: true, Service: 7}, {IP: 9, Agent: true, Service: 7}, {IP: 101}, {IP: 102}, {IP: 103}}
	removed := map[IP]int{}
	for self := IP(101); self <= 103; self++ {
		b, _ := testBalancer(t, 2, start)
		b.Self = self
		b.SetMembers(ms, true, start)
		for _, p := range b.peers {
			p.heard = now
		}
		b.agents.hear(1, AgentStatus{Life: 1, Sequence: 2, Service: 7, State: UpstreamReady}, now)
		if early := b.Reap(ms, start+time.Second); len(early) > 0 {
			t.Errorf("removed %v after a second", early)
		}
		for _, ip := range b.Reap(ms, now) {
			removed[ip]++
		}
	}
	if len(removed) != 2 || removed[2] != 1 || removed[9] != 1 {
		t.Errorf("removed %v, want 2 and 9 once each", removed)
	}
}

// Every upstream is full. An opening waited for the caller's copy, 200 ms, and met
// full upstreams again; a confirmation's aim is 200 ms. It waits at the balancer and
// asks one agent at a time, and an urgent one presses the idlest at once.
func TestOpeningWaitsForRoomAtTheBalancer(t *testing.T) {
	for name, x := range map[string]struct {
		urgent bool
		first  int // askings before it waits
		hop    uint8
	}{
		"urgent":     {true, 4, pressingUrgent},
		"not urgent": {false, 3, pressing},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, s := testBalancer(t, 3, now-100*time.Millisecond)
			b.config.Routes[Endpoint{2, 443}] = Route{Shares: []Share{{7, 1}}, Urgent: x.urgent}
			b.HandleCaller(plainPacket(plainOpening, 1), now)
			busy := func() {
				b.refused(s.to[len(s.to)-1], Message{Opening: 1, Reason: ReasonBusy, Load: 20, Hop: 10}, now)
			}
			for range x.first {
				busy()
			}
			if len(s.to) != x.first || s.caller != 0 {
				t.Fatalf("asked %v, resets %d", s.to, s.caller)
			}
			now += roomAfter
			b.Tick(now)
			if len(s.to) != x.first+1 || s.process[x.first].Hop != x.hop {
				t.Fatalf("asked %v with hop %d after %v", s.to, s.process[len(s.to)-1].Hop, roomAfter)
			}
			for range 100 {
				busy()
				now += roomAfter
				b.Tick(now)
			}
			if n := len(s.to); n < 20 || n > 40 {
				t.Errorf("asked %d times in all; the caller gave up after 1.4 s", n)
			}
		})
	}
}

// Fifty openings wait while all upstreams are full. Each asked every agent every 40 ms,
// together more than a balancer on a twelfth of a core can send, so that also those
// that found room waited. Who was declined speaks for all that are held to its limit.
func TestManyThatWaitAskLittle(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 7, now-100*time.Millisecond)
	for port := range uint16(50) {
		b.HandleCaller(plainPacket(plainOpening, 100+port), now)
	}
	asked := 0
	for end := now + time.Second; now < end; now += time.Millisecond {
		for ; asked < len(s.to); asked++ {
			b.refused(s.to[asked], Message{Opening: s.process[asked].Opening, Reason: ReasonBusy, Load: 20, Hop: 10}, now)
		}
		for ip := range b.agents.byIP {
			b.agents.byIP[ip].heard = now
		}
		b.Tick(now)
	}
	if most := 50 + 7*int(time.Second/busyFor); asked > most {
		t.Errorf("asked %d times in a second, want at most %d", asked, most)
	}
	if asked < 100 {
		t.Errorf("asked %d times only; room was found late", asked)
	}
}

// All upstreams that are heard are busy, and one VM is dead. Each opening that waited
// was given to the dead agent first and lost 60 ms there, a third of its aim.
func TestBusyAgentsGoBeforeDoubtedOnes(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 4, now-100*time.Millisecond)
	b.agents.byIP[4].missed = doubtAfter
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	for i := 0; i < len(s.to); i++ {
		if s.to[i] == 4 {
			t.Fatalf("asked %v; agent 4 is doubted", s.to)
		}
		b.refused(s.to[i], Message{Opening: 1, Reason: ReasonBusy, Load: 20, Hop: 10}, now)
	}
	if len(s.to) != 3 {
		t.Errorf("asked %v, want the three that are heard", s.to)
	}
	for ip := IP(1); ip <= 3; ip++ {
		b.agents.byIP[ip].heard = now - 2*time.Second // none of them is heard any more
	}
	b.Tick(now + roomAfter)
	if len(s.to) != 4 {
		t.Errorf("asked %v, want one of the doubted when there is no other", s.to)
	}
}

// What an opening is held to, by how long it has waited.
func TestLateOpeningsYield(t *testing.T) {
	now := 10 * time.Second
	for name, x := range map[string]struct {
		urgent  bool
		aim     time.Duration
		waited  time.Duration
		hop     uint8
		belowAt float64 // requests a slot up to which an agent takes it
	}{
		"can be in time":           {false, 150 * time.Millisecond, 50 * time.Millisecond, pressing, fullAt},
		"urgent, can be in time":   {true, 150 * time.Millisecond, 50 * time.Millisecond, pressingUrgent, fullAtUrgent},
		"will be late":             {false, 150 * time.Millisecond, 100 * time.Millisecond, pressingLate, lateAt},
		"urgent, will be late":     {true, 150 * time.Millisecond, 100 * time.Millisecond, pressingLateUrgent, lateAtUrgent},
		"a caller's second copy":   {false, 150 * time.Millisecond, copyAge(1), pressingLate, lateAt},
		"a route without an aim":   {false, 0, time.Second, pressing, fullAt},
		"a route with a long aim":  {false, 500 * time.Millisecond, copyAge(1), pressing, fullAt},
		"its caller's third copy":  {false, 500 * time.Millisecond, copyAge(2), pressingLate, lateAt},
		"urgent, its second copy":  {true, 200 * time.Millisecond, copyAge(1), pressingLateUrgent, lateAtUrgent},
		"urgent, without any wait": {true, 200 * time.Millisecond, 0, pressingUrgent, fullAtUrgent},
	} {
		t.Run(name, func(t *testing.T) {
			o := opening{urgent: x.urgent, aim: x.aim, started: now - x.waited}
			if hop := o.press(now); hop != x.hop || limitOf(hop) != x.belowAt {
				t.Errorf("hop %d, limit %v", hop, limitOf(hop))
			}
		})
	}
}

// Deadlines of two lengths stand in one queue. One that was put at the end though
// it was due first kept openings waiting behind the others.
func TestDeadlinesComeInOrder(t *testing.T) {
	x := newOpenings()
	var ids []uint32
	for _, at := range []time.Duration{60, 100, 40, 70, 10} {
		o := x.add()
		x.wake(o, at)
		ids = append(ids, o.id)
	}
	for _, want := range []int{4, 2, 0, 3, 1} {
		if x.due() == 0 || x.queue[0].id != ids[want] {
			t.Fatalf("queue %v", x.queue)
		}
		x.get(ids[want]).deadline = 0
	}
}

// Whatever comes under the fleet's own key, also from a process of a former life at
// this very address, must not end the process.
func TestOddMessagesEndNothing(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 2, now)
	b.Self = 101
	a := &Agent{Service: 7, Format: plain{}, Out: s, Keys: testKeys(t)}
	a.Start()
	status := (&BalancerStatus{Life: 3, Balancers: []IP{0, 101, 1}}).append(make([]byte, HeaderLen))
	for k := KindOpening; k < kindEnd; k++ {
		for _, payload := range [][]byte{nil, make([]byte, 5), make([]byte, flowLen), make([]byte, 60), status[HeaderLen:]} {
			for _, from := range []IP{0, 1, 101, 102} {
				m := append(make([]byte, HeaderLen), payload...)
				h := Message{Kind: k, Hop: 255, Reason: 200, Opening: 7, Start: 9}
				h.Put(m, b.Keys[0])
				b.HandleMessage(from, append([]byte(nil), m...), now)
				a.HandleMessage(from, m, now)
			}
		}
	}
	b.Tick(now + time.Second)
	a.Tick(now + time.Second)
}

// A zone is out, and a balancer that has just started looks for a flow of another
// zone. The agents of the zone that is out swallowed its packets, so a lesson that
// had nothing to do with the zone stood still.
func TestWalkPassesAZoneThatIsOut(t *testing.T) {
	const now = 20 * time.Second
	for name, x := range map[string]struct {
		first   int64 // sequence of the first announcement: 1 if the agent saw the whole life
		here    bool
		dropped bool
		flags   Flags
	}{
		"elsewhere, and the agent knows it": {1, false, false, 0},
		"not known, agent was restarted":    {9, false, false, FlagUnsure | FlagKnownOnly},
		"here":                              {1, true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSent(t)
			a := &Agent{Service: 7, Zone: 3, Format: plain{}, Out: s, Keys: testKeys(t)}
			a.Start()
			a.Announce(&Announcement{Service: 7, Born: 5, Sequence: x.first, Slots: 5}, time.Second)
			a.setZonesOut([]ZoneKey{3}, 9, now-evacuationUsual)
			m := plainPacket(plainData, 9)
			k, _ := plain{}.Parse(m[HeaderLen:])
			if x.here {
				a.flows.set(k.Flow, &flowState{phase: flowOpen, born: 5})
			}
			h := Message{Kind: KindPacket, Hop: 2, Start: 4}
			h.Put(m, a.Keys[0])
			a.HandleMessage(1, m, now)
			if s.upstream != 0 {
				t.Error("given to the upstream of a zone that is out")
			}
			if x.dropped != (len(s.process) == 0) || !x.dropped && (s.process[0].Kind != KindNotMine || s.process[0].Flags != x.flags) {
				t.Errorf("sent %+v", s.process)
			}
		})
	}
}

// Flows of a zone that goes out all ended at one moment, and an eighth of the callers of
// the next two seconds waited in vain. They end one after another, none later than the
// operators' bound, and the same way for every packet of a flow.
func TestFlowsOfAZoneThatIsOutEndOneByOne(t *testing.T) {
	for name, bound := range map[string]time.Duration{"usual": 0, "short": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			a := &Agent{Zone: 3, Evacuation: bound, Format: plain{}, Out: newSent(t)}
			a.Start()
			a.setZonesOut([]ZoneKey{3}, 9, time.Second)
			if bound == 0 {
				bound = evacuationUsual
			}
			ends := map[time.Duration]int{}
			for port := range uint16(1000) {
				f := Flow{Caller: Endpoint{1, port}, Address: Endpoint{2, 443}}
				if a.closed(f, time.Second+bound/2) {
					t.Fatal("a flow ended in the first half of the bound")
				}
				if !a.closed(f, time.Second+bound) {
					t.Fatal("a flow goes on after the bound")
				}
				ends[a.cutAfter(f)*10/bound]++
			}
			for tenth := range time.Duration(3) {
				if n := ends[6+tenth]; n < 200 || n > 350 {
					t.Errorf("%d of 1000 end in tenth %d of the bound", n, 6+tenth)
				}
			}
		})
	}
}

// An agent of a zone that is out was started after its upstream and may not ask it
// for a flow. Whoever else is asked must know the flow to give it on, as the others'
// upstreams would get the packets of a flow that lives there; and its end is not
// proved.
func TestWalkPastAnAgentThatMayNotAsk(t *testing.T) {
	const now = 20 * time.Second
	for name, x := range map[string]struct {
		first    int64
		here     bool
		upstream int
	}{
		"knows all flows":           {1, false, 0},
		"would have to ask":         {9, false, 0},
		"knows that it is here":     {9, true, 1},
		"knows all, and it is here": {1, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSent(t)
			a := &Agent{Service: 7, Zone: 3, Format: plain{}, Out: s, Keys: testKeys(t)}
			a.Start()
			a.Announce(&Announcement{Service: 7, Born: 5, Sequence: x.first, Slots: 5}, time.Second)
			m := plainPacket(plainData, 9)
			k, _ := plain{}.Parse(m[HeaderLen:])
			if x.here {
				a.flows.set(k.Flow, &flowState{phase: flowOpen, born: 5})
			}
			h := Message{Kind: KindPacket, Hop: 2, Start: 4, Flags: FlagUnsure | FlagKnownOnly}
			h.Put(m, a.Keys[0])
			a.HandleMessage(1, m, now)
			if s.upstream != x.upstream {
				t.Errorf("given to the upstream %d times", s.upstream)
			}
			if !x.here && (len(s.process) != 1 || s.process[0].Flags != FlagUnsure|FlagKnownOnly) {
				t.Errorf("sent %+v", s.process)
			}
		})
	}
}

// A flow's upstream is in a zone that is out, and agents of other zones were just
// started: they gave its packets to their upstreams one after another, and it never
// reached its own. Those of the zone that is out must be asked first.
func TestWalkAsksAZoneThatIsOutFirst(t *testing.T) {
	now := 10 * time.Second
	for port := range uint16(50) {
		b, s := testBalancer(t, 6, now-200*time.Millisecond)
		for ip := IP(1); ip <= 2; ip++ {
			b.agents.byIP[ip].status.Zone = 3
		}
		b.SetZonesOut([]ZoneKey{3}, 9, now)
		if port%2 == 0 {
			f, _ := plain{}.Parse(plainPacket(plainData, port)[HeaderLen:])
			b.flows.set(f.Flow, place{agent: 5}) // remembered wrongly
		}
		b.HandleCaller(plainPacket(plainData, port), now)
		for i := 0; i < len(s.to) && i < 10; i++ {
			b.notMine(s.to[i], plainPacket(plainData, port), s.process[i], now)
		}
		asked := s.to[port%2^1:]
		if len(asked) != 6 || asked[0] > 2 || asked[1] > 2 || asked[0] == asked[1] || s.caller != 1 {
			t.Fatalf("asked %v, resets %d", s.to, s.caller)
		}
	}
}
