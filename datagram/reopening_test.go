package datagram

import (
	"testing"
	"time"
)

// The second opening from the same port, and the number with which the upstream accepts it.
const (
	nextStart         = 900_000
	nextUpstreamStart = 700_000
)

// close closes a flow from both ends after its first answer.
func (s *flowSite) close(port uint16) {
	s.answer(port)
	s.caller(port, testAck|testFin, callerEnd, upstreamEnd, 0)
	s.reply(port, testAck|testFin, upstreamEnd, callerEnd+1, 0)
	s.caller(port, testAck, callerEnd+1, upstreamEnd+1, 0)
}

// reopen opens the next flow from a port, on which the caller sends a request.
func (s *flowSite) reopen(port uint16) {
	s.caller(port, testOpen, nextStart, 0, 0)
	s.reply(port, testOpen|testAck, nextUpstreamStart, nextStart+1, 0)
	s.caller(port, testAck, nextStart+1, nextUpstreamStart+1, testLength)
}

// Guards against openings that reach an upstream although they may not, because the port had a flow
// there before.
func TestOpeningFromAUsedPortIsChecked(t *testing.T) {
	for name, refuse := range map[string]func(s *flowSite){
		"the upstream drains": func(s *flowSite) {
			s.a.HandleAnnouncement(&Announcement{Service: flowSiteRoute, Draining: true, Born: 5, Sequence: int64(s.now) + 1, Slots: 5}, s.now)
		},
		"the agent leaves": func(s *flowSite) { s.a.Leave(s.now) },
		"the zone is out": func(s *flowSite) {
			for _, b := range s.balancers {
				b.SetZonesOut([]ZoneKey{0}, 9, s.now)
			}
		},
		"the route has moved": func(s *flowSite) {
			for _, b := range s.balancers {
				b.SetConfiguration(&Configuration{Version: 2, Routes: map[Endpoint]Route{testFlow(1).Address: {Shares: []Share{{99, 1}}}}})
			}
		},
	} {
		for earlier, end := range map[string]func(s *flowSite){
			"closed just now":     func(s *flowSite) { s.close(9) },
			"closed 5 s ago":      func(s *flowSite) { s.close(9); s.run(5 * time.Second) },
			"closed 35 s ago":     func(s *flowSite) { s.close(9); s.run(35 * time.Second) },
			"open":                func(s *flowSite) { s.answer(9) },
			"closed by one end":   func(s *flowSite) { s.caller(9, testAck|testFin, callerEnd, upstreamStart+1, 0) },
			"reset by the caller": func(s *flowSite) { s.caller(9, testReset, callerEnd, 0, 0) },
		} {
			t.Run(name+", earlier flow "+earlier, func(t *testing.T) {
				s := newFlowSite(t, 0)
				s.open(9)
				end(s)
				refuse(s)
				before := s.upstream
				s.caller(9, testOpen, nextStart, 0, 0)
				s.run(100 * time.Millisecond)
				if s.upstream != before {
					t.Error("the upstream got the opening")
				}
			})
		}
	}
}

// Guards against a caller that waits for its flow because the upstream's acceptance was lost and
// copies of the opening are refused.
func TestCopyOfAnOpeningPassesTheChecks(t *testing.T) {
	for name, restart := range map[string]bool{"same balancer": false, "balancers restarted meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			s.caller(9, testOpen, callerStart, 0, 0)
			s.reply(9, testOpen|testAck, upstreamStart, callerStart+1, 0)
			if restart {
				s.startBalancer(101, 0)
				s.startBalancer(102, 0)
				s.run(100 * time.Millisecond)
			} else {
				s.a.leaving = true
			}
			before := s.upstream
			s.caller(9, testOpen, callerStart, 1, 0)
			if s.upstream != before+1 {
				t.Error("the upstream did not get the copy")
			}
		})
	}
}

// Guards against flows that are denied or reset because an earlier flow had the same addresses and
// ports.
func TestNextFlowFromAPortIsAFlowOfItsOwn(t *testing.T) {
	const flows = 20
	for name, earlier := range map[string]func(s *flowSite, port uint16){
		"closed by both": func(s *flowSite, port uint16) { s.open(port); s.close(port) },
		"closed by the caller": func(s *flowSite, port uint16) {
			s.open(port)
			s.caller(port, testAck|testFin, callerEnd, upstreamStart+1, 0)
		},
		"reset":         func(s *flowSite, port uint16) { s.open(port); s.caller(port, testReset, callerEnd, 0, 0) },
		"left open":     func(s *flowSite, port uint16) { s.open(port); s.answer(port) },
		"not confirmed": func(s *flowSite, port uint16) { s.caller(port, testOpen, callerStart, 0, 0); s.accept(port) },
		"not accepted":  func(s *flowSite, port uint16) { s.caller(port, testOpen, callerStart, 0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			for port := range uint16(flows) {
				earlier(s, port)
			}
			s.run(1500 * time.Millisecond)
			for port := range uint16(flows) {
				before := s.upstream
				s.reopen(port)
				if s.upstream != before+2 {
					t.Fatalf("the upstream got %d packets of the handshake and request", s.upstream-before)
				}
			}
			s.run(2 * recountInterval)
			if s.a.openFlows != flows {
				t.Errorf("%d open flows, want %d", s.a.openFlows, flows)
			}
			s.restartBalancers()
			for port := range uint16(flows) {
				s.caller(port, testAck, nextStart+1+testLength, nextUpstreamStart+1, 0)
			}
			s.run(3 * time.Second)
			if s.resets > 0 {
				t.Errorf("%d of %d flows reset", s.resets, flows)
			}
		})
	}
}

// accept accepts the first opening from a port.
func (s *flowSite) accept(port uint16) {
	s.reply(port, testOpen|testAck, upstreamStart, callerStart+1, 0)
}

// Guards against an open flow that is denied after a late copy of the opening of an earlier flow.
func TestLateOpeningOfAnEarlierFlowChangesNothing(t *testing.T) {
	for name, answer := range map[string]func(s *flowSite){
		"no answer": func(*flowSite) {},
		"the upstream repeats its acceptance": func(s *flowSite) {
			s.reply(9, testOpen|testAck, nextUpstreamStart, callerStart+1, 0)
		},
		"the upstream bounces it": func(s *flowSite) {
			m := closingPacket(9, testOpen|testBounced, callerStart, 2, 0)
			p, _ := closingFormat{}.Parse(m[HeaderLen:])
			p.Scratch = s.a.lastScratch
			s.a.handleBounced(p, m, s.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			s.open(9)
			s.close(9)
			s.reopen(9)
			m := closingPacket(9, testOpen, callerStart, 2, 0)
			h := Message{Kind: KindOpening, Service: flowSiteRoute, Opening: 999_999}
			h.Put(m, s.keys[0])
			s.a.HandleMessage(102, m, s.now)
			answer(s)
			before := s.upstream
			s.caller(9, testAck, nextStart+1+testLength, nextUpstreamStart+1, testLength)
			s.run(time.Second)
			if s.upstream != before+1 || s.resets > 0 {
				t.Errorf("the upstream got %d packets, the caller %d resets", s.upstream-before, s.resets)
			}
		})
	}
}

// Guards against an open flow that counts as reset after a late reset of an earlier flow.
func TestLateResetOfAnEarlierFlowChangesNothing(t *testing.T) {
	const flows = 20
	s := newFlowSite(t, 0)
	for port := range uint16(flows) {
		s.open(port)
		s.close(port)
		s.reopen(port)
		s.caller(port, testReset, callerEnd, 0, 0)
		s.caller(port, testAck, nextStart+1+testLength, nextUpstreamStart+1, 0)
	}
	s.run(2 * closedFlowRetention)
	s.restartBalancers()
	for port := range uint16(flows) {
		s.caller(port, testAck, nextStart+1+testLength, nextUpstreamStart+1, testLength)
	}
	s.run(3 * time.Second)
	if s.resets > 0 || s.a.openFlows != flows {
		t.Errorf("%d of %d flows reset, %d open", s.resets, flows, s.a.openFlows)
	}
}

// Guards against an agent that was restarted, sees a late copy of an open flow's opening, and denies
// the flow because the caller no longer acknowledges the acceptance alone.
func TestRestartedAgentDoesNotDenyAfterALateOpening(t *testing.T) {
	for name, accept := range map[string]bool{"the upstream has not answered yet": false, "the upstream repeats its acceptance": true} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			s.open(9)
			s.answer(9)
			s.restartAgent()
			s.run(time.Second)
			m := closingPacket(9, testOpen, callerStart, 2, 0)
			h := Message{Kind: KindOpening, Service: flowSiteRoute, Opening: 999_999}
			h.Put(m, s.keys[0])
			s.a.HandleMessage(102, m, s.uptime())
			if accept {
				s.accept(9)
			}
			before := s.upstream
			s.caller(9, testAck, callerEnd, upstreamEnd, testLength)
			s.run(3 * time.Second)
			if s.upstream == before || s.resets > 0 {
				t.Errorf("the upstream got %d packets, the caller %d resets", s.upstream-before, s.resets)
			}
		})
	}
}

// Guards against lookups that go to the agent of an earlier flow with the same addresses and ports.
func TestHomesNameTheLatestAgentFirst(t *testing.T) {
	var h holders
	for _, ip := range []IP{1, 2, 1, 3, 2, 4} {
		h.add(ip)
	}
	if h != (holders{4, 2, 3}) {
		t.Errorf("holders %v, want 4, 2, 3", h)
	}
}
