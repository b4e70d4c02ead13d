package datagram

import (
	"testing"
	"time"
)

// Guards against new flows to an upstream that breaks requests off while its announcements are
// good, and against one that is avoided for long after it works again.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	start := 10 * time.Second
	run := func(a *Agent, now time.Duration, requests, failEach int) {
		for n := range requests {
			f := &flowState{phase: flowOpen, born: 5}
			a.beginRequest(f, now)
			a.trackUpstreamPacket(Packet{Reset: failEach > 0 && n%failEach == 0, Length: 5}, f, now)
		}
	}
	for name, x := range map[string]struct {
		failEach int // one request of so many fails; 0: none
		then     func(a *Agent, now time.Duration)
		later    time.Duration
		priority Priority
		want     bool // the opening is accepted
	}{
		"all requests work":        {0, nil, 0, PriorityFirst, true},
		"few fail":                 {16, nil, 0, PriorityFirst, true},
		"a third fails":            {3, nil, 0, PriorityFirst, false},
		"others are busy":          {3, nil, 0, PriorityRepeated, true},
		"others are busy, urgent":  {3, nil, 0, PriorityUrgent, true},
		"works again":              {3, func(a *Agent, now time.Duration) { run(a, now, 30, 0) }, 0, PriorityFirst, true},
		"not tried for some while": {3, nil, 2 * failureHalfLife, PriorityFirst, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, s := busyAgent(t, 0, start)
			run(a, start, 40, x.failEach)
			if x.then != nil {
				x.then(a, start)
			}
			now := start + x.later
			a.HandleMessage(1, openingMessage(a, 9, x.priority, 280*time.Millisecond), now)
			if got := s.upstream == 1; got != x.want {
				t.Errorf("forwarded: %v, want %v; share of failed requests %.2f", got, x.want, a.failures.current(now))
			}
		})
	}
}
