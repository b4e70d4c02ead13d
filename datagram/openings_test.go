package datagram

import (
	"testing"
	"time"
)

// Guards against openings that each wait for the timeout of the same dead agent.
func TestUnansweredOpeningDemotesAgent(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 4, now-100*time.Millisecond)
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	dead := s.to[0]
	now += minAnswerTimeout
	b.Tick(now)
	if len(s.to) != 2 || s.to[1] == dead {
		t.Fatalf("opening sent to %v, want a second agent after the timeout", s.to)
	}
	for port := range uint16(50) {
		b.HandleCaller(plainPacket(plainOpening, 100+port), now)
		if s.to[len(s.to)-1] == dead {
			t.Fatal("an opening was sent to the silent agent first again")
		}
	}
	b.agents.applyStatus(dead, AgentStatus{Life: Life(dead), Sequence: 2, Service: 7, State: UpstreamReady, Slots: 5}, now)
	if b.agents.byIP[dead].class(now, nil) != classReady {
		t.Error("an agent that sent a status again is still doubted")
	}
}

// Guards against openings that wait for the caller's retransmission although slots have
// become free.
func TestOpeningWaitsForCapacity(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 3, now-100*time.Millisecond)
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	busy := func() {
		b.handleRefused(s.to[len(s.to)-1], Message{Opening: 1, Reason: ReasonBusy, Load: 20, Requests: 10}, nil, now)
	}
	for range 3 {
		busy()
	}
	if len(s.to) != 3 || s.caller != 0 {
		t.Fatalf("opening sent to %v, %d resets", s.to, s.caller)
	}
	now += capacityRetryDelay
	b.Tick(now)
	if len(s.to) != 4 || s.process[3].Priority != PriorityRepeated {
		t.Fatalf("opening sent to %v, last with priority %d, after waiting %v", s.to, s.process[len(s.to)-1].Priority, capacityRetryDelay)
	}
	for range 100 {
		busy()
		now += capacityRetryDelay
		b.Tick(now)
	}
	if n := len(s.to); n < 20 || n > 40 {
		t.Errorf("opening sent %d times in total; its caller gave up after 1.4 s", n)
	}
}

// Guards against urgent openings that wait at their balancer, where they miss the places
// that become free at upstreams.
func TestUrgentOpeningWaitsAtAgents(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 5, now-100*time.Millisecond)
	b.config.Routes[Endpoint{2, 443}] = Route{Shares: []Share{{7, 1}}, Urgent: true}
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	decline := func(requests uint8) {
		b.handleRefused(s.to[len(s.to)-1], Message{Opening: 1, Reason: ReasonBusy, Load: 20, Requests: requests}, nil, now)
	}
	for _, n := range []uint8{13, 11, 12} {
		decline(n)
	}
	if len(s.to) != urgentSamples+1 || s.to[urgentSamples] != s.to[1] || s.process[urgentSamples].Priority != PriorityUrgent {
		t.Fatalf("opening sent to %v, last with priority %d; want the least loaded of the first %d again",
			s.to, s.process[len(s.to)-1].Priority, urgentSamples)
	}
	for range 100 {
		n := len(s.to)
		now += maxHoldTime
		decline(12)
		if len(s.to) == n && now < 10*time.Second+openingTimeout-maxHoldTime-capacityRetryDelay {
			t.Fatalf("declined after %v, and not passed to another agent at once", now-10*time.Second)
		}
	}
	if n := len(s.to); n < 20 || n > 40 {
		t.Errorf("opening sent %d times in total; its caller gave up after 1.4 s", n)
	}
}

// Guards against waiting openings that together cause more messages than a small balancer
// can send.
func TestWaitingOpeningsLimitMessages(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 7, now-100*time.Millisecond)
	for port := range uint16(50) {
		b.HandleCaller(plainPacket(plainOpening, 100+port), now)
	}
	asked := 0
	for end := now + time.Second; now < end; now += time.Millisecond {
		for ; asked < len(s.to); asked++ {
			b.handleRefused(s.to[asked], Message{Opening: s.process[asked].Opening, Reason: ReasonBusy, Load: 20, Requests: 10}, nil, now)
		}
		for ip := range b.agents.byIP {
			b.agents.byIP[ip].lastSeen = now
		}
		b.Tick(now)
	}
	if most := 50 + 7*int(time.Second/declineBackoff); asked > most {
		t.Errorf("%d openings sent in a second, want at most %d", asked, most)
	}
	if asked < 100 {
		t.Errorf("only %d openings sent; free slots were found late", asked)
	}
}

// Guards against openings that time out at a dead agent while slots become free at busy
// ones.
func TestBusyAgentsPrecedeDoubtedOnes(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 4, now-100*time.Millisecond)
	b.agents.byIP[4].missedOpenings = doubtThreshold
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	for i := 0; i < len(s.to); i++ {
		if s.to[i] == 4 {
			t.Fatalf("opening sent to %v; agent 4 is doubted", s.to)
		}
		b.handleRefused(s.to[i], Message{Opening: 1, Reason: ReasonBusy, Load: 20, Requests: 10}, nil, now)
	}
	if len(s.to) != 3 {
		t.Errorf("opening sent to %v, want the three reachable agents", s.to)
	}
	for ip := IP(1); ip <= 3; ip++ {
		b.agents.byIP[ip].lastSeen = now - 2*time.Second // all agents are silent now
	}
	b.Tick(now + capacityRetryDelay)
	if len(s.to) != 4 {
		t.Errorf("opening sent to %v, want a doubted agent if there is no other", s.to)
	}
}

// Guards against openings that will miss their target latency anyway and delay others that
// can still meet it.
func TestLateOpeningsHaveLowPriority(t *testing.T) {
	now := 10 * time.Second
	for name, x := range map[string]struct {
		urgent        bool
		targetLatency time.Duration
		waited        time.Duration
		priority      Priority
		maxLoad       float64 // requests per slot below which an agent accepts it
	}{
		"can be in time":               {false, 150 * time.Millisecond, 50 * time.Millisecond, PriorityRepeated, fullAt},
		"urgent, can be in time":       {true, 150 * time.Millisecond, 50 * time.Millisecond, PriorityUrgent, fullAtUrgent},
		"will be late":                 {false, 150 * time.Millisecond, 100 * time.Millisecond, PriorityLate, lateAt},
		"urgent, will be late":         {true, 150 * time.Millisecond, 100 * time.Millisecond, PriorityLateUrgent, lateAtUrgent},
		"first retransmission":         {false, 150 * time.Millisecond, retransmissionAge(1), PriorityLate, lateAt},
		"route without target latency": {false, 0, time.Second, PriorityRepeated, fullAt},
		"route with long target":       {false, 500 * time.Millisecond, retransmissionAge(1), PriorityRepeated, fullAt},
		"second retransmission":        {false, 500 * time.Millisecond, retransmissionAge(2), PriorityLate, lateAt},
		"urgent, first retransmission": {true, 200 * time.Millisecond, retransmissionAge(1), PriorityLateUrgent, lateAtUrgent},
		"urgent, has not waited":       {true, 200 * time.Millisecond, 0, PriorityUrgent, fullAtUrgent},
	} {
		t.Run(name, func(t *testing.T) {
			o := opening{urgent: x.urgent, targetLatency: x.targetLatency, started: now - x.waited}
			if p := o.retryPriority(now); p != x.priority || p.limit() != x.maxLoad {
				t.Errorf("priority %d with limit %v", p, p.limit())
			}
		})
	}
}

// Guards against deadlines that are handled after later ones.
func TestDeadlinesAreOrdered(t *testing.T) {
	x := newOpenings()
	var ids []uint32
	for _, at := range []time.Duration{60, 100, 40, 70, 10} {
		o := x.add()
		x.setDeadline(o, at)
		ids = append(ids, o.id)
	}
	for _, want := range []int{4, 2, 0, 3, 1} {
		if x.nextDeadline() == 0 || x.queue[0].id != ids[want] {
			t.Fatalf("queue %v is not in order of time", x.queue)
		}
		x.get(ids[want]).deadline = 0
	}
}

// Guards against an overloaded balancer that reads answers late and therefore sends each
// opening to one agent after another.
func TestAnswerTimeoutAdapts(t *testing.T) {
	for name, x := range map[string]struct {
		took        []time.Duration
		least, most time.Duration
	}{
		"no answer yet": {nil, minAnswerTimeout, minAnswerTimeout},
		"fast":          {[]time.Duration{3 * time.Millisecond, 5 * time.Millisecond, 4 * time.Millisecond}, minAnswerTimeout, minAnswerTimeout},
		"slow": {[]time.Duration{
			80 * time.Millisecond, 90 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond,
		}, 100 * time.Millisecond, maxAnswerTimeout},
		"very slow":       {[]time.Duration{time.Second, time.Second}, maxAnswerTimeout, maxAnswerTimeout},
		"fast after slow": {append([]time.Duration{200 * time.Millisecond}, make([]time.Duration, 40)...), minAnswerTimeout, minAnswerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			var a answerTimes
			for _, d := range x.took {
				a.add(d)
			}
			if l := a.timeout(); l < x.least || l > x.most {
				t.Errorf("timeout is %v", l)
			}
		})
	}
}

// Guards against callers that are left in silence by an overload, and against the reset of a
// flow that was opened through another balancer.
func TestOpeningThatIsGivenUpIsReset(t *testing.T) {
	for name, x := range map[string]struct {
		copies     []time.Duration // when copies after the first arrive, in order
		unanswered bool            // an agent did not answer
		want       int             // resets
	}{
		"all copies":                    {[]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}, false, 1},
		"second copy went elsewhere":    {[]time.Duration{0, 600 * time.Millisecond}, false, 0},
		"last copies went elsewhere":    {nil, false, 0},
		"an upstream may have the flow": {[]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			start := 10 * time.Second
			b, s := testBalancer(t, 3, start-100*time.Millisecond)
			b.HandleCaller(plainPacket(plainOpening, 1), start)
			o := b.openings.get(1)
			answered := 0
			for now := start; now < start+1400*time.Millisecond; now += 10 * time.Millisecond {
				for n, at := range x.copies {
					if at != 0 && now == start+at {
						o.noteCopy(uint32(n + 1))
						b.repeatOpening(o, now)
					}
				}
				for ; answered < len(s.to); answered++ {
					if x.unanswered && answered == 0 {
						continue
					}
					b.handleRefused(s.to[answered], Message{Opening: 1, Reason: ReasonBusy, Load: 20, Requests: 10}, nil, now)
				}
				for _, a := range b.agents.byIP {
					a.lastSeen = now
				}
				b.Tick(now)
			}
			if s.caller != x.want {
				t.Errorf("%d resets, want %d", s.caller, x.want)
			}
		})
	}
}
