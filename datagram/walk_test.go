package datagram

import (
	"testing"
	"time"
)

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
