package datagram

import (
	"testing"
	"time"
)

// busyAgent returns an agent whose upstream has two slots and the given number of requests in
// progress, of 30 ms each.
func busyAgent(t *testing.T, n int, now time.Duration) (*Agent, *recorder) {
	s := newRecorder(t)
	a := &Agent{Service: 7, Zone: 3, Format: plainFormat{}, Out: s, Keys: testKeys(t)}
	a.Start()
	a.HandleAnnouncement(&Announcement{Service: 7, Born: 5, Sequence: 1, Slots: 2}, now)
	a.lastRecount = now // the requests belong to no flows
	a.requests.assumeServiceTime(30*time.Millisecond, now)
	for range n {
		a.requests.begin(2, now)
	}
	return a, s
}

func openingMessage(a *Agent, port uint16, p Priority, budget time.Duration) []byte {
	m := plainPacket(plainOpening, port)
	h := Message{Kind: KindOpening, Service: 7, Priority: p, Opening: uint32(port), Budget: budgetOf(budget)}
	h.Put(m, a.Keys[0])
	return m
}

// Guards against urgent openings that are declined while they can be in time, and accepted
// while they can't.
func TestUrgentOpeningsAreAdmittedByTimeLeft(t *testing.T) {
	const now = 10 * time.Second
	for name, x := range map[string]struct {
		inProgress, capacity int
		budget               time.Duration
		want                 bool
	}{
		"idle":                           {0, 0, 280 * time.Millisecond, true},
		"long queue":                     {10, 0, 280 * time.Millisecond, true},
		"too long a queue":               {20, 0, 280 * time.Millisecond, false},
		"full":                           {10, 10, 280 * time.Millisecond, false},
		"almost full":                    {9, 10, 280 * time.Millisecond, true},
		"little time left":               {10, 0, 120 * time.Millisecond, false},
		"little time left, short queue":  {4, 0, 120 * time.Millisecond, true},
		"no time left, free slot":        {1, 0, 8 * time.Millisecond, true},
		"no target, more than 3 a slot":  {6, 0, 0, false},
		"no target, fewer than 3 a slot": {5, 0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, s := busyAgent(t, x.inProgress, now)
			a.requests.capacity = x.capacity
			a.HandleMessage(1, openingMessage(a, 9, PriorityUrgent, x.budget), now)
			if got := s.upstream == 1; got != x.want {
				t.Errorf("forwarded: %v, want %v", got, x.want)
			}
		})
	}
}

// Guards against places that go to whatever arrives first while urgent openings wait.
func TestHeldOpeningGetsTheNextPlace(t *testing.T) {
	now := 10 * time.Second
	a, s := busyAgent(t, 10, now)
	a.requests.capacity = 10
	first := a.requests.inProgress[0]
	a.HandleMessage(1, openingMessage(a, 9, PriorityUrgent, 280*time.Millisecond), now)
	a.HandleMessage(1, openingMessage(a, 10, PriorityUrgent, 280*time.Millisecond), now)
	if s.upstream != 0 || len(s.process) != 0 {
		t.Fatalf("%d openings forwarded to a full upstream, answers %+v", s.upstream, s.process)
	}
	now += 10 * time.Millisecond
	a.requests.end(first, 0, 2, now)
	if at := a.Tick(now); at > now+maxHoldTime {
		t.Errorf("next tick at %v, after the openings have expired", at)
	}
	if s.upstream != 1 {
		t.Fatalf("%d openings forwarded, want 1 for the free place", s.upstream)
	}
	a.requests.begin(2, now) // the request of the first one
	now += maxHoldTime
	a.Tick(now)
	if s.upstream != 1 || len(s.process) != 1 || s.process[0].Reason != ReasonBusy || s.process[0].Opening != 10 {
		t.Errorf("%d openings forwarded, answers %+v; want the second one declined", s.upstream, s.process)
	}
}

// Guards against openings that are held back and then given to an upstream that drains.
func TestHeldOpeningIsCheckedAgain(t *testing.T) {
	now := 10 * time.Second
	a, s := busyAgent(t, 10, now)
	a.requests.capacity = 10
	a.HandleMessage(1, openingMessage(a, 9, PriorityUrgent, 280*time.Millisecond), now)
	a.HandleAnnouncement(&Announcement{Service: 7, Born: 5, Sequence: 2, Slots: 2, Draining: true}, now)
	a.requests.inProgress = nil
	a.Tick(now)
	if s.upstream != 0 || len(s.process) != 1 || s.process[0].Reason != ReasonDraining {
		t.Errorf("%d openings forwarded, answers %+v", s.upstream, s.process)
	}
}

// Guards against openings that are held back without bound.
func TestHeldOpeningsAreBounded(t *testing.T) {
	now := 10 * time.Second
	a, s := busyAgent(t, 10, now)
	a.requests.capacity = 10
	for port := range uint16(maxHeld + 5) {
		a.HandleMessage(1, openingMessage(a, 100+port, PriorityUrgent, 280*time.Millisecond), now)
	}
	if len(a.held) != maxHeld || len(s.process) != 5 {
		t.Errorf("%d openings held back and %d declined", len(a.held), len(s.process))
	}
}
