package datagram

import (
	"testing"
	"time"
)

// VMs return from a loss of power one after another. A caller asks on a flow that is
// gone while one agent has not heard its upstream: nobody may tell the caller so yet.
// When all could tell, nobody asked them again before the caller's retransmission,
// which came up to 1.6 s later and often after its deadline.
func TestWalkIsMadeAgainWhenAllCanTell(t *testing.T) {
	now := 10 * time.Second
	for name, x := range map[string]struct {
		meanwhile func(b *Balancer, now time.Duration)
		resets    int
	}{
		"all can tell": {func(b *Balancer, now time.Duration) {
			b.agents.hear(2, AgentStatus{Life: 2, Sequence: 2, Service: 7, State: UpstreamReady, Slots: 5}, now)
		}, 1},
		"it still can't": {func(*Balancer, time.Duration) {}, 0},
		"the flow was found": {func(b *Balancer, now time.Duration) {
			b.agents.hear(2, AgentStatus{Life: 2, Sequence: 2, Service: 7, State: UpstreamReady, Slots: 5}, now)
			k, _ := plain{}.Parse(plainPacket(plainData, 5)[HeaderLen:])
			b.flows.set(k.Flow, place{agent: 2})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, s := testBalancer(t, 3, now-200*time.Millisecond)
			b.agents.byIP[2].status.State = UpstreamUnknown
			b.HandleCaller(plainPacket(plainData, 5), now)
			answer(b, s, 0, now)
			if s.caller != 0 {
				t.Fatal("reset though one agent can't tell")
			}
			asked := len(s.to)
			x.meanwhile(b, now)
			b.Tick(now + unprovedEvery)
			answer(b, s, asked, now+unprovedEvery)
			if s.caller != x.resets {
				t.Errorf("%d resets after asking %v", s.caller, s.to)
			}
		})
	}
}

// answer denies the flow for every agent that was asked from the nth message on.
func answer(b *Balancer, s *sent, n int, now time.Duration) {
	for i := n; i < len(s.to) && i < n+10; i++ {
		h := s.process[i]
		if b.agents.byIP[s.to[i]].status.State == UpstreamUnknown {
			h.Flags |= FlagUnsure // as the agent would answer
		}
		if h.Hop != hopFinal {
			b.notMine(s.to[i], plainPacket(plainData, 5), h, now)
		}
	}
}

// An agent of an evacuated zone that was restarted can never tell. Its callers'
// packets are not walked for again and again, and what is kept has a bound.
func TestUnprovedWalksEnd(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 3, now)
	b.HandleCaller(plainPacket(plainData, 1), now)
	for port := range uint16(3 * unprovedMost) {
		m := plainPacket(plainData, 100+port)
		k, _ := plain{}.Parse(m[HeaderLen:])
		b.flows.set(k.Flow, place{looked: MillisOf(now)})
		b.lastAsk(m, k, Message{Hop: 3, Flags: FlagUnsure}, []ServiceKey{7}, now)
	}
	if len(b.unproved) != unprovedMost {
		t.Fatalf("%d kept", len(b.unproved))
	}
	asked := len(s.to)
	for end := now + 5*time.Second; now < end; now += unprovedEvery {
		for ip := range b.agents.byIP {
			b.agents.byIP[ip].heard = now
		}
		b.Tick(now)
	}
	if n := len(s.to) - asked; len(b.unproved) != 0 || n > unprovedTries*unprovedMost {
		t.Errorf("%d walks, %d kept still", n, len(b.unproved))
	}
}

// What a silent agent may still hold: an agent whose upstream had left is taken away
// with its VM, and nobody's flow need wait for it.
func TestSilentAgentMayHoldFlows(t *testing.T) {
	now := 20 * time.Second
	for name, x := range map[string]struct {
		status AgentStatus
		silent time.Duration
		want   bool
	}{
		"ready":                         {AgentStatus{State: UpstreamReady}, 2 * time.Second, true},
		"ready, for long":               {AgentStatus{State: UpstreamReady}, goneAfter, false},
		"draining":                      {AgentStatus{State: UpstreamDraining}, 2 * time.Second, true},
		"deregistered":                  {AgentStatus{State: UpstreamGone}, 2 * time.Second, false},
		"never announced":               {AgentStatus{State: UpstreamUnknown, Uptime: MillisOf(announcedWithin + time.Second)}, 2 * time.Second, false},
		"not announced, just restarted": {AgentStatus{State: UpstreamUnknown, Uptime: MillisOf(time.Second)}, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := agentView{status: x.status, heard: now - x.silent}
			if a.mayLive(now) != x.want {
				t.Errorf("may hold flows: %t", !x.want)
			}
		})
	}
}
