package datagram

import (
	"testing"
	"time"
)

// lookUpAll sends a packet of each flow by the first balancer and runs the lookups.
func (s *flowSite) lookUpAll(flows int) {
	for port := range uint16(flows) {
		s.caller(port, testAck, callerEnd, upstreamEnd, testLength)
	}
	s.run(3 * time.Second)
}

// answer answers the first request of a flow.
func (s *flowSite) answer(port uint16) {
	s.reply(port, testAck, upstreamStart+1, callerEnd, testLength)
	s.caller(port, testAck, callerEnd, upstreamEnd, 0)
}

// setLifetime changes the lifetime of flows in all processes.
func (s *flowSite) setLifetime(l FlowLifetime) {
	s.a.FlowLifetime = l
	for _, a := range s.draining {
		a.FlowLifetime = l
	}
	for _, b := range s.balancers {
		b.FlowLifetime = l
	}
}

// Guards against resets of flows that pause for less than their lifetime, whatever the idle timeout
// was while they paused.
func TestIdleFlowGoesOn(t *testing.T) {
	const flows = 20
	for name, x := range map[string]struct {
		lifetime FlowLifetime
		pause    time.Duration
		during   func(s *flowSite) // in the middle of the pause
	}{
		"longer than usual idle timeouts":   {0, 35 * time.Second, nil},
		"nearly the lifetime":               {0, 59 * time.Second, nil},
		"nearly a long lifetime":            {FlowLifetime(5 * time.Minute), 295 * time.Second, nil},
		"short lifetime":                    {FlowLifetime(10 * time.Second), 9 * time.Second, nil},
		"the balancers restart":             {0, 59 * time.Second, (*flowSite).restartBalancers},
		"long, the balancers restart":       {FlowLifetime(5 * time.Minute), 295 * time.Second, (*flowSite).restartBalancers},
		"the lifetime is raised meanwhile":  {0, 290 * time.Second, nil},
		"the lifetime is lowered meanwhile": {FlowLifetime(5 * time.Minute), 59 * time.Second, func(s *flowSite) { s.setLifetime(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, x.lifetime)
			s.run(30 * time.Second) // the flows open between two rotations
			for port := range uint16(flows) {
				s.open(port)
				s.answer(port)
			}
			if name == "the lifetime is raised meanwhile" {
				s.run(20 * time.Second)
				s.setLifetime(FlowLifetime(5 * time.Minute))
			}
			end := s.now + x.pause
			s.run(x.pause / 2)
			if x.during != nil {
				x.during(s)
			}
			s.run(end - s.now)
			before := s.upstream
			s.lookUpAll(flows)
			if s.resets > 0 || s.upstream-before != flows {
				t.Errorf("%d of %d flows reset, %d packets at the upstream", s.resets, flows, s.upstream-before)
			}
		})
	}
}

// Guards against an agent that denies flows that it has dropped and that may be open.
func TestDroppedFlowsAreNotDenied(t *testing.T) {
	const flows = 60
	for name, x := range map[string]struct {
		capacity int
		after    func(s *flowSite)
	}{
		"too many": {flows / 3, func(*flowSite) {}},
		"the lifetime was raised afterwards": {maxFlows, func(s *flowSite) {
			s.run(140 * time.Second)
			s.setLifetime(FlowLifetime(5 * time.Minute))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			s.a.flows.capacity = x.capacity
			for port := range uint16(flows) {
				s.open(port)
				s.answer(port)
				s.run(10 * time.Millisecond)
			}
			x.after(s)
			if n := s.a.flows.len(); n > flows/2 {
				t.Fatalf("%d flows left", n)
			}
			s.restartBalancers()
			before := s.upstream
			s.lookUpAll(flows)
			if s.resets > 0 || s.upstream-before != flows {
				t.Errorf("%d of %d flows reset, %d packets at the upstream", s.resets, flows, s.upstream-before)
			}
		})
	}
}

// Guards against callers that wait for flows that are gone because an agent once dropped flows.
func TestAgentKnowsAllFlowsAgainAfterALifetime(t *testing.T) {
	for name, x := range map[string]struct {
		after func(s *flowSite)
		want  bool
	}{
		"flows were dropped":               {func(*flowSite) {}, false},
		"all of these have been too old":   {func(s *flowSite) { s.run(FlowLifetime(0).limit() + time.Second) }, true},
		"the upstream has started again":   {func(s *flowSite) { s.run(2 * time.Second); s.announceRun(6) }, true},
		"the upstream is gone":             {func(s *flowSite) { s.refuseConnections() }, true},
		"the lifetime has been raised now": {func(s *flowSite) { s.run(FlowLifetime(0).limit()); s.setLifetime(FlowLifetime(5 * time.Minute)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			s.a.flows.capacity = 4
			for port := range uint16(10) {
				s.open(port)
				s.run(10 * time.Millisecond)
			}
			x.after(s)
			if got := s.a.knowsAllFlows(s.now); got != x.want || s.a.Count.Forgotten == 0 {
				t.Errorf("knows all flows: %t, %d forgotten", got, s.a.Count.Forgotten)
			}
		})
	}
}

// Guards against an agent that is not sure of its flows because it has dropped some that had ended.
func TestDroppingEndedFlowsProvesAsBefore(t *testing.T) {
	s := newFlowSite(t, 0)
	s.a.flows.capacity = 4
	for port := range uint16(20) {
		s.open(port)
		s.reply(port, testReset, upstreamStart+1, 0, 0)
		s.run(10 * time.Millisecond)
	}
	if !s.a.knowsAllFlows(s.now) || s.a.Count.Forgotten > 0 {
		t.Errorf("%d flows forgotten", s.a.Count.Forgotten)
	}
}

// Guards against homes that still take an agent's flows for known when it has dropped some.
func TestHomesLearnThatFlowsWereDropped(t *testing.T) {
	s := newFlowSite(t, 0)
	s.a.flows.capacity = 4
	for port := range uint16(10) {
		s.open(port)
		s.a.expireFlows(s.now)
	}
	for ip, b := range s.balancers {
		if b.agents.byIP[testAgent].status.KnowsAll {
			t.Errorf("%v was not told", ip)
		}
	}
}
