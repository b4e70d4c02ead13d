package datagram

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/waitqueue"
)

// busyAgent returns an agent whose upstream has two slots and the given number of requests in
// progress, of 30 ms each.
func busyAgent(t *testing.T, n int, now time.Duration) (*Agent, *recorder) {
	s := newRecorder(t)
	a := &Agent{Service: 7, Zone: 3, Format: plainFormat{}, Out: s, Keys: testKeys(t)}
	a.Start()
	a.HandleAnnouncement(&Announcement{Service: 7, Born: 5, Sequence: 1, Slots: 2}, now)
	a.lastRecount = now // the requests belong to no flows
	a.requests.busy, a.requests.done, a.requests.updatedAt = 300*time.Millisecond, 10, now
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
	if a.waiting.Len() != maxHeld || len(s.process) != 5 {
		t.Errorf("%d openings held back and %d declined", a.waiting.Len(), len(s.process))
	}
}

// keepingAgent returns an agent with five open flows to a route with a target latency of 250 ms,
// whose upstream has the given number of other requests in progress.
func keepingAgent(t *testing.T, inProgress int, now time.Duration) (a *Agent, s *recorder, request func(port uint16, seq uint32)) {
	a, s = busyAgent(t, inProgress, now)
	a.noteTarget(Endpoint{2, 443}, budgetOf(240*time.Millisecond))
	for port := range uint16(5) {
		a.flows.set(Flow{Endpoint{1, 1 + port}, Endpoint{2, 443}}, &flowState{phase: flowOpen, born: 5, hadRequest: true})
	}
	request = func(port uint16, seq uint32) {
		m := append(plainPacket(plainData, port), make([]byte, seq)...) // the recorder's format has no sequence numbers
		h := Message{Kind: KindPacket}
		h.Put(m, a.Keys[0])
		a.HandleMessage(1, m, now)
	}
	return a, s, request
}

// Guards against requests on open flows that fill an upstream's queue until all are late.
func TestRequestsThatWouldBeLateAreKept(t *testing.T) {
	const now = 10 * time.Second
	for name, x := range map[string]struct {
		inProgress int
		prepare    func(a *Agent, f *flowState)
		want       bool // the request is forwarded
	}{
		"free slot":                            {1, nil, true},
		"short queue":                          {8, nil, true},
		"long queue":                           {30, nil, false},
		"full":                                 {30, func(a *Agent, _ *flowState) { a.requests.capacity = 30 }, true},
		"first request":                        {30, func(_ *Agent, f *flowState) { f.hadRequest = false }, true},
		"first request that would be rejected": {10, func(a *Agent, f *flowState) { f.hadRequest, a.requests.capacity = false, 10 }, false},
		"urgent that would be rejected":        {10, func(a *Agent, f *flowState) { f.urgent, a.requests.capacity = true, 10 }, false},
		"urgent that would be rejected, late":  {20, func(a *Agent, f *flowState) { f.urgent, a.requests.capacity = true, 20 }, true},
		"first request with little time left": {10, func(a *Agent, f *flowState) {
			f.hadRequest, f.due, a.requests.capacity = false, now+100*time.Millisecond, 10
		}, true},
		"urgent":               {30, func(_ *Agent, f *flowState) { f.urgent = true }, true},
		"no target":            {30, func(a *Agent, _ *flowState) { clear(a.targets) }, true},
		"service time unknown": {30, func(a *Agent, _ *flowState) { a.requests.done = 0 }, true},
		"many are kept":        {30, fillQueue, true},
		"large ones are kept": {30, func(a *Agent, _ *flowState) {
			x := waitingEntry{Value: waiting{state: &flowState{}}, Priority: waitqueue.Normal, Size: waitqueue.MaxBytes}
			a.waiting.Push(x, waitqueue.Never)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, s, request := keepingAgent(t, x.inProgress, now)
			f, _ := a.flows.get(Flow{Endpoint{1, 1}, Endpoint{2, 443}})
			if x.prepare != nil {
				x.prepare(a, f)
			}
			request(1, 100)
			if got := s.upstream == 1; got != x.want || f.isWaiting() == x.want {
				t.Errorf("forwarded: %v, kept: %v", got, f.isWaiting())
			}
		})
	}
}

// Guards against requests that become late behind others which could have waited, against late
// requests that take the places of others, and against requests that are forwarded twice
// because their callers repeat them.
func TestKeptRequestWithTheLeastTimeLeftGoesFirst(t *testing.T) {
	now := 10 * time.Second
	a, s, request := keepingAgent(t, 30, now)
	for port := range uint16(3) {
		request(1+port, 100)
	}
	request(2, 100)
	if s.upstream != 0 || a.waiting.Len() != 3 {
		t.Fatalf("%d requests forwarded and %d kept, want 0 and 3", s.upstream, a.waiting.Len())
	}
	// kept returns the ports of the callers whose requests are kept.
	kept := func() (ports []uint16) {
		for port := range uint16(5) {
			if f, _ := a.flows.get(Flow{Endpoint{1, 1 + port}, Endpoint{2, 443}}); f.isWaiting() {
				ports = append(ports, 1+port)
			}
		}
		return ports
	}
	a.requests.inProgress = a.requests.inProgress[:a.upstream.slots+requestsAhead-1]
	now += 20 * time.Millisecond
	a.Tick(now)
	if !slices.Equal(kept(), []uint16{2, 3}) || s.upstream != 1 {
		t.Fatalf("requests of callers %v kept and %d forwarded, want the first one forwarded", kept(), s.upstream)
	}
	now += 300 * time.Millisecond
	a.requests.inProgress = a.requests.inProgress[:a.upstream.slots]
	a.Tick(now)
	if a.waiting.Len() != 2 {
		t.Fatal("a late request was forwarded although no slot is free")
	}
	a.requests.inProgress = nil
	a.Tick(now)
	if a.waiting.Len() != 0 || s.upstream != 3 {
		t.Errorf("%d requests kept and %d forwarded, want the late ones in the free slots", a.waiting.Len(), s.upstream)
	}
}

// Guards against urgent requests that the upstream would reject and that wait longer than
// necessary, or behind others.
func TestAdmittedRequestGetsTheNextPlace(t *testing.T) {
	now := 10 * time.Second
	a, s, request := keepingAgent(t, 10, now)
	a.requests.capacity = 10
	for port := range uint16(3) {
		request(1+port, 100)
	}
	f, _ := a.flows.get(Flow{Endpoint{1, 4}, Endpoint{2, 443}})
	f.urgent = true
	request(4, 100)
	if s.upstream != 0 || a.waiting.Len() != 4 || a.waitingAdmitted != 1 {
		t.Fatalf("%d requests forwarded, %d kept, %d of them admitted", s.upstream, a.waiting.Len(), a.waitingAdmitted)
	}
	a.requests.inProgress = a.requests.inProgress[:9]
	a.Tick(now)
	if s.upstream != 1 || f.isWaiting() || f.request == 0 || a.waitingAdmitted != 0 {
		t.Fatalf("%d requests forwarded; the urgent one waits: %v", s.upstream, f.isWaiting())
	}
	a.Tick(now)
	if s.upstream != 1 {
		t.Error("a request was forwarded to a full upstream")
	}
}

// Guards against upstreams that work for callers who have left, and against requests that
// reach an upstream which must not have them.
func TestKeptRequestsAreDropped(t *testing.T) {
	flow := Flow{Endpoint{1, 1}, Endpoint{2, 443}}
	for name, drop := range map[string]func(a *Agent, now time.Duration){
		"caller gave up": func(*Agent, time.Duration) {},
		"caller reset": func(a *Agent, now time.Duration) {
			f, _ := a.flows.get(flow)
			a.trackCallerPacket(Packet{Reset: true}, f, nil, now)
		},
		"flow has ended":     func(a *Agent, _ time.Duration) { a.flows.remove(flow) },
		"zone evacuated":     func(a *Agent, now time.Duration) { a.setZonesOut([]ZoneKey{3}, 9, now-defaultEvacuation) },
		"upstream restarted": func(a *Agent, _ time.Duration) { a.upstream.born = 6 },
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			a, s, request := keepingAgent(t, 30, now)
			request(1, 100)
			if a.waiting.Len() != 1 {
				t.Fatal("the request was not kept")
			}
			if name == "caller gave up" {
				now += abandonedAfter
			}
			drop(a, now)
			a.requests.inProgress = nil
			a.releaseWaiting(now)
			if a.waiting.Len() != 0 || s.upstream != 0 {
				t.Errorf("%d requests kept, %d forwarded", a.waiting.Len(), s.upstream)
			}
		})
	}
}

// fillQueue fills the agent's queue with requests of other flows.
func fillQueue(a *Agent, _ *flowState) {
	for range waitqueue.MaxEntries {
		a.waiting.Push(waitingEntry{Value: waiting{state: &flowState{}}, Priority: waitqueue.Normal}, waitqueue.Never)
	}
}

// Guards against waits that end without a trace of the reason, or of whether there was time left.
func TestWaitsThatEndAreLogged(t *testing.T) {
	flow := Flow{Endpoint{1, 1}, Endpoint{2, 443}}
	for name, x := range map[string]struct {
		end    func(a *Agent, now time.Duration)
		after  time.Duration
		reason string
		left   float64 // in ms
	}{
		"caller silent": {func(*Agent, time.Duration) {}, abandonedAfter, "callerLeft", 240 - 2000},
		"caller closed": {func(a *Agent, now time.Duration) {
			f, _ := a.flows.get(flow)
			a.trackCallerPacket(Packet{Fin: true}, f, nil, now)
		}, 20 * time.Millisecond, "callerLeft", 220},
		"flow lost":          {func(a *Agent, _ time.Duration) { a.flows.remove(flow) }, 20 * time.Millisecond, "notFound", 220},
		"upstream restarted": {func(a *Agent, _ time.Duration) { a.upstream.born = 6 }, 20 * time.Millisecond, "upstreamGone", 220},
		"zone evacuated": {func(a *Agent, now time.Duration) {
			a.setZonesOut([]ZoneKey{3}, 9, now-defaultEvacuation)
		}, 20 * time.Millisecond, "zoneOut", 220},
		"opening": {func(a *Agent, _ time.Duration) {
			f, _ := a.flows.get(flow)
			a.removeWaiting(f.waiting)
			a.requests.capacity = 10
			a.HandleMessage(1, openingMessage(a, 9, PriorityUrgent, 280*time.Millisecond), 10*time.Second)
		}, maxHoldTime, "busy", 240},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			var out bytes.Buffer
			l := events.NewLog(slog.New(slog.NewJSONHandler(&out, nil)))
			a, _, request := keepingAgent(t, 30, now)
			a.Log = &Log{Log: l, MaxLines: 100}
			a.lastRecount = now + time.Hour
			request(1, 100)
			x.end(a, now+x.after)
			if name != "opening" {
				a.requests.inProgress = nil
			}
			a.Tick(now + x.after)
			ctx, stop := context.WithCancel(t.Context())
			stop()
			l.Run(ctx)
			var found []string
			for line := range bytes.Lines(out.Bytes()) {
				var d struct {
					Event         events.ID
					Reason        string
					AgeMs, LeftMs float64
				}
				if err := json.Unmarshal(line, &d); err != nil {
					t.Fatal(err)
				}
				if d.Event != events.WaitEnded {
					continue
				}
				found = append(found, d.Reason)
				if d.Reason != x.reason || d.AgeMs != float64(x.after/time.Millisecond) || d.LeftMs != x.left {
					t.Errorf("logged %+v, want reason %s, age %v and %v ms left", d, x.reason, x.after, x.left)
				}
			}
			if len(found) != 1 || a.Count.WaitEnded != 1 || a.waiting.Len() != 0 {
				t.Errorf("lines with reasons %q, %d counted, %d left in the queue; want one line", found, a.Count.WaitEnded, a.waiting.Len())
			}
		})
	}
}

// Guards against openings with much time left that fill an upstream's queue, so that those of
// another route with less time are late.
func TestRepeatedOpeningsLeaveTheQueueToShorterTargets(t *testing.T) {
	const now = 10 * time.Second
	for name, x := range map[string]struct {
		shortest time.Duration
		want     bool
	}{
		"same target":             {800 * time.Millisecond, true},
		"another, shorter target": {200 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, s := busyAgent(t, 10, now)
			a.noteTarget(Endpoint{2, 443}, budgetOf(800*time.Millisecond))
			a.noteTarget(Endpoint{3, 443}, budgetOf(x.shortest))
			a.HandleMessage(1, openingMessage(a, 9, PriorityRepeated, 800*time.Millisecond), now)
			if got := s.upstream == 1; got != x.want {
				t.Errorf("forwarded: %v, want %v", got, x.want)
			}
		})
	}
}
