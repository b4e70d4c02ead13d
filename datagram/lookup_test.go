package datagram

import (
	"slices"
	"testing"
	"time"
)

// testFlow is the flow of plainPacket with the port.
func testFlow(port uint16) Flow {
	p, _ := plain{}.Parse(plainPacket(plainData, port)[HeaderLen:])
	return p.Flow
}

// asks returns the agents that were given packets, in order.
func (s *sent) asks() []IP {
	var ips []IP
	for i, m := range s.process {
		if m.Kind == KindPacket {
			ips = append(ips, s.to[i])
		}
	}
	return ips
}

// deny answers for an agent that it does not hold the flow.
func deny(b *Balancer, ip IP, port uint16, f Flags, now time.Duration) {
	b.HandleMessage(ip, message(b, Message{Kind: KindDenied, Flags: f}, appendFlow(nil, testFlow(port))), now)
}

// message returns a message as it comes from another process.
func message(b *Balancer, h Message, p []byte) []byte {
	m := append(make([]byte, HeaderLen), p...)
	h.Put(m, b.Keys[0])
	return m
}

// goOn has the balancer hear an agent, and go on with its lookups.
func goOn(b *Balancer, now time.Duration) {
	b.HandleMessage(3, message(b, Message{Kind: KindRefused}, nil), now+time.Millisecond)
	b.lookAgain(now + lookupShort)
}

// Guards against the reset of a flow that lives, and against callers of lost flows that
// are told nothing.
func TestEndOfALookup(t *testing.T) {
	for name, x := range map[string]struct {
		prepare func(b *Balancer, now time.Duration)
		denies  Flags // what those that are asked say
		asked   int
		resets  int
	}{
		"homes know of all flows": {func(*Balancer, time.Duration) {}, 0, 0, 1},
		"one started after its upstream, denies": {func(b *Balancer, _ time.Duration) {
			b.agents.byIP[2].status.KnowsAll = false
		}, 0, 1, 1},
		"one started after its upstream, can't tell": {func(b *Balancer, _ time.Duration) {
			b.agents.byIP[2].status.KnowsAll = false
		}, FlagUnsure, 1, 0},
		"one of another service started after its upstream": {func(b *Balancer, now time.Duration) {
			b.agents.hear(9, AgentStatus{Life: 9, Sequence: 1, Service: 8, State: UpstreamReady, Homes: b.homes.digest}, now)
		}, 0, 0, 0},
		"an entry did not arrive": {func(b *Balancer, _ time.Duration) {
			b.agents.byIP[1].status.Entries = 1
		}, 0, 0, 0},
		"one chooses among other balancers": {func(b *Balancer, _ time.Duration) {
			b.agents.byIP[1].status.Homes++
		}, 0, 0, 0},
		"records not read": {func(b *Balancer, _ time.Duration) { b.settled = false }, 0, 0, 0},
		"one silent for two seconds": {func(b *Balancer, now time.Duration) {
			b.agents.byIP[1].heard = now - 2*time.Second
		}, 0, 0, 0},
		"one silent for long": {func(b *Balancer, now time.Duration) {
			leaveUnanswered(b, 1, now)
		}, 0, 0, 1},
		"one silent for long, not asked": {func(b *Balancer, now time.Duration) {
			b.agents.byIP[1].heard = now - 2*goneAfter
		}, 0, 0, 0},
		"most silent for long": {func(b *Balancer, now time.Duration) {
			leaveUnanswered(b, 1, now)
			leaveUnanswered(b, 2, now)
		}, 0, 0, 0},
		"one recorded now, not heard": {func(b *Balancer, now time.Duration) {
			b.SetMembers([]Member{{IP: 9, Agent: true, Service: 7}}, true, now)
		}, 0, 0, 0},
		"one recorded for long, not heard": {func(b *Balancer, now time.Duration) {
			b.SetMembers([]Member{{IP: 9, Agent: true, Service: 7}}, true, now-2*unheardAfter)
		}, 0, 0, 1},
		"the other home does not answer": {func(b *Balancer, now time.Duration) {
			addPeer(b, 101, now)
		}, 0, 0, 0},
		"too many may hold it": {func(b *Balancer, _ time.Duration) {
			b.directory.flows.set(testFlow(5), holders{7, 8, 9})
		}, 0, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, s := testBalancer(t, 3, now-200*time.Millisecond)
			x.prepare(b, now)
			b.HandleCaller(plainPacket(plainData, 5), now)
			for i := 0; i < len(s.asks()); i++ {
				deny(b, s.asks()[i], 5, x.denies, now)
			}
			goOn(b, now)
			if len(s.asks()) != x.asked || s.caller != x.resets {
				t.Errorf("%d resets after asking %v", s.caller, s.asks())
			}
		})
	}
}

// leaveUnanswered has an agent that was heard long ago leave the balancer's questions
// unanswered.
func leaveUnanswered(b *Balancer, ip IP, now time.Duration) {
	a := b.agents.byIP[ip]
	a.heard, a.suspicion = now-2*goneAfter, suspicion{now - goneAfter, asksUnanswered, now - askEvery}
}

// addPeer has the balancer hear another one, by which agents know it too.
func addPeer(b *Balancer, ip IP, now time.Duration) {
	b.meet(ip, now)
	b.peers[ip].heard = now
	b.updateHomes(now)
	for _, a := range b.agents.byIP {
		a.status.Homes, a.homes = b.homes.digest, b.homes
	}
}

// tellHome answers a lookup for another balancer.
func tellHome(b *Balancer, from IP, port uint16, now time.Duration, holders ...IP) {
	p := appendFlow([]byte{0}, testFlow(port))
	b.hearLocated(from, appendIPs(append(p, byte(len(holders))), holders), now)
}

// Guards against a flow that is reset by a balancer that does not know to which service
// its route led before: the home's word counts, whatever service the agent is of.
func TestHomeFindsAFlowOfAFormerService(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 3, now-200*time.Millisecond)
	b.agents.hear(9, AgentStatus{Life: 9, Sequence: 1, Service: 8, State: UpstreamReady, KnowsAll: true, Homes: b.homes.digest}, now)
	addPeer(b, 101, now)
	b.HandleCaller(plainPacket(plainData, 5), now)
	tellHome(b, 101, 5, now, 9)
	if got := s.asks(); len(got) != 1 || got[0] != 9 || s.caller != 0 {
		t.Fatalf("asked %v, resets %d", got, s.caller)
	}
	b.found(9, testFlow(5), now)
	b.HandleCaller(plainPacket(plainData, 5), now)
	if got := s.asks(); len(got) != 2 || got[1] != 9 {
		t.Errorf("the flow is not remembered at its agent: %v", got)
	}
}

// Guards against a lookup that ends at an agent that does not answer.
func TestLookupGoesOnPastASilentAgent(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 4, now-200*time.Millisecond)
	for _, a := range b.agents.byIP {
		a.status.KnowsAll = false
	}
	b.HandleCaller(plainPacket(plainData, 5), now)
	for len(s.asks()) < 4 && now < 11*time.Second {
		now += agentWithin
		b.Tick(now)
	}
	got := slices.Sorted(slices.Values(s.asks()))
	if !slices.Equal(got, []IP{1, 2, 3, 4}) || s.caller != 0 {
		t.Errorf("asked %v, resets %d", s.asks(), s.caller)
	}
}

// Guards against a lookup that asks all others before the agent that holds the flow, as its
// question was lost.
func TestLookupAsksAgainWhoDidNotAnswer(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 20, now-200*time.Millisecond)
	for _, a := range b.agents.byIP {
		a.status.KnowsAll = false
	}
	b.HandleCaller(plainPacket(plainData, 5), now)
	first := s.asks()[0]
	now += agentWithin
	b.lookAgain(now)
	for i := 1; i < len(s.asks()); i++ {
		deny(b, s.asks()[i], 5, FlagUnsure, now)
	}
	before := len(s.asks())
	now += roundFirst
	b.lookAgain(now)
	if got := s.asks()[before:]; len(got) == 0 || got[0] != first {
		t.Errorf("asked %v in the second round, want %v first", got, first)
	}
}

// Guards against agents that are given a flow's packets before one whose availability
// zone is out and that may hold it, and drops them.
func TestLookupAsksAZoneThatIsOutFirst(t *testing.T) {
	now := 10 * time.Second
	for port := range uint16(50) {
		b, s := testBalancer(t, 6, now-200*time.Millisecond)
		for ip, a := range b.agents.byIP {
			a.status.KnowsAll = false
			if ip <= 2 {
				a.status.Zone = 3
			}
		}
		b.SetZonesOut([]ZoneKey{3}, 9, now)
		b.HandleCaller(plainPacket(plainData, port), now)
		for i := 0; i < len(s.asks()); i++ {
			deny(b, s.asks()[i], port, 0, now)
		}
		goOn(b, now)
		if got := s.asks(); len(got) != 6 || got[0] > 2 || got[1] > 2 || got[0] == got[1] || s.caller != 1 {
			t.Fatalf("asked %v, resets %d", got, s.caller)
		}
		for _, m := range s.process {
			if m.Kind == KindPacket && !m.Flags.has(FlagKnownOnly) {
				t.Fatal("an agent that does not know the flow may give it to its upstream")
			}
		}
	}
}

// Guards against callers of lost flows that wait for their own retransmissions while
// VMs return one after another.
func TestLookupIsMadeAgainWhenAllAreKnown(t *testing.T) {
	for name, x := range map[string]struct {
		meanwhile func(b *Balancer, now time.Duration)
		resets    int
	}{
		"all are known": {func(b *Balancer, now time.Duration) { hearAgent(b, 2, now) }, 1},
		"one is not":    {func(*Balancer, time.Duration) {}, 0},
		"the flow was found": {func(b *Balancer, now time.Duration) {
			hearAgent(b, 2, now)
			b.found(2, testFlow(5), now)
		}, 0},
		"its caller has reset it": {func(b *Balancer, now time.Duration) {
			hearAgent(b, 2, now)
			b.lookups.byFlow[testFlow(5)].ended = true
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, s := testBalancer(t, 3, now-200*time.Millisecond)
			b.agents.byIP[2].heard = now - 2*time.Second
			b.HandleCaller(plainPacket(plainData, 5), now)
			if s.caller != 0 {
				t.Fatal("reset though one agent is not heard")
			}
			x.meanwhile(b, now)
			b.Tick(now + roundFirst)
			for _, ip := range s.asks() {
				deny(b, ip, 5, 0, now+roundFirst+time.Millisecond)
			}
			if s.caller != x.resets {
				t.Errorf("%d resets", s.caller)
			}
		})
	}
}

// hearAgent has the balancer hear an agent of testBalancer again.
func hearAgent(b *Balancer, ip IP, now time.Duration) {
	s := b.agents.byIP[ip].status
	s.Sequence++
	b.agents.hear(ip, s, now)
}

// Guards against a storm of lookups that takes a small VM's link and processor, and
// against memory that grows with it.
func TestLookupsAreBounded(t *testing.T) {
	const callers = 3 * lookupsMost
	now := 10 * time.Second
	b, s := testBalancer(t, 40, now)
	b.LookupRate = 300
	for ip := range b.agents.byIP {
		b.agents.byIP[ip].status.KnowsAll = false
	}
	for port := range uint16(callers) {
		b.HandleCaller(plainPacket(plainData, 100+port), now)
	}
	if n := len(b.lookups.queue); n != lookupsMost || len(b.lookups.byFlow) != n {
		t.Fatalf("%d lookups under way, %d by flow", n, len(b.lookups.byFlow))
	}
	for end := now + lookupFor + time.Second; now < end; now += lookupShort {
		for ip := range b.agents.byIP {
			b.agents.byIP[ip].heard = now
		}
		b.Tick(now)
	}
	if n, most := len(s.asks()), int(1.5*b.LookupRate*(lookupFor+time.Second).Seconds()); n > most || n == 0 {
		t.Errorf("asked %d times, want at most %d", n, most)
	}
	if len(b.lookups.queue) != 0 {
		t.Errorf("%d lookups go on", len(b.lookups.queue))
	}
}

// Guards against openings and lookups that wait for each other: the budget is that of
// lookups alone.
func TestOpeningsAreNotHeldUpByLookups(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 3, now)
	b.LookupRate = 1
	for _, a := range b.agents.byIP {
		a.status.KnowsAll = false
	}
	for port := range uint16(50) {
		b.HandleCaller(plainPacket(plainData, 100+port), now)
	}
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	if s.process[len(s.process)-1].Kind != KindOpening {
		t.Error("an opening waits for lookups")
	}
}

func TestLookupRateFollowsTheVM(t *testing.T) {
	for name, x := range map[string]struct{ cores, bandwidth, least, most float64 }{
		"small link":      {1, 10, 700, 800},
		"small processor": {0.061, 1000, 350, 400},
		"not known":       {0, 0, 0, 0},
		"link alone":      {0, 10, 700, 800},
	} {
		t.Run(name, func(t *testing.T) {
			if r := LookupRate(x.cores, x.bandwidth); r < x.least || r > x.most {
				t.Errorf("%v messages a second", r)
			}
		})
	}
}

// Guards against a home that denies a flow which its agent told to others, as it chooses
// homes among other balancers.
func TestHomeIsUnsureOfFlowsThatOthersWereTold(t *testing.T) {
	now := 10 * time.Second
	b, _ := testBalancer(t, 3, now)
	others := newHomeSet([]IP{testSelf, 101, 102, 103})
	b.agents.byIP[2].homes, b.agents.byIP[2].status.Homes = others, others.digest
	sure := 0
	for port := range uint16(200) {
		s := newSent(t)
		b.Out = &withPayload{sent: s}
		b.locate(101, appendFlow(nil, testFlow(port)), now)
		_, ls, ok := decodeLocated(b.Out.(*withPayload).last)
		if !ok || len(ls) != 1 || ls[0].flow != testFlow(port) {
			t.Fatalf("answer %v", ls)
		}
		h := others.of(testFlow(port))
		if ls[0].sure != h.has(testSelf) {
			t.Fatalf("sure: %t of a flow with homes %v", ls[0].sure, h)
		}
		if ls[0].sure {
			sure++
		}
	}
	if sure < 60 || sure > 140 {
		t.Errorf("sure of %d of 200 flows, want about half", sure)
	}
}

// withPayload keeps the last message's payload.
type withPayload struct {
	*sent
	last []byte
}

func (w *withPayload) ToProcess(ip IP, m []byte) {
	w.last = slices.Clone(m[HeaderLen:])
	w.sent.ToProcess(ip, m)
}

func FuzzLocated(f *testing.F) {
	p := appendFlow(appendIPs([]byte{1}, []IP{9}), testFlow(1))
	f.Add(appendIPs(append(p, 2|unsureBit), []IP{1, 2}))
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, p []byte) {
		unsure, ls, ok := decodeLocated(p)
		if !ok && (unsure != nil || ls != nil) {
			t.Error("half an answer")
		}
	})
}
