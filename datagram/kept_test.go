package datagram

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/servicetime"
)

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
		"free slot":            {1, nil, true},
		"short queue":          {8, nil, true},
		"long queue":           {30, nil, false},
		"full":                 {30, func(a *Agent, _ *flowState) { a.requests.capacity = 30 }, true},
		"first request":        {30, func(_ *Agent, f *flowState) { f.hadRequest = false }, true},
		"urgent":               {30, func(_ *Agent, f *flowState) { f.urgent = true }, true},
		"no target":            {30, func(a *Agent, _ *flowState) { clear(a.targets) }, true},
		"service time unknown": {30, func(a *Agent, _ *flowState) { a.requests.times = servicetime.Estimator[Endpoint]{} }, true},
		"many are kept":        {30, func(a *Agent, _ *flowState) { a.kept = make([]keptRequest, maxKept) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, s, request := keepingAgent(t, x.inProgress, now)
			f, _ := a.flows.get(Flow{Endpoint{1, 1}, Endpoint{2, 443}})
			if x.prepare != nil {
				x.prepare(a, f)
			}
			request(1, 100)
			if got := s.upstream == 1; got != x.want || f.kept == x.want {
				t.Errorf("forwarded: %v, kept: %v", got, f.kept)
			}
		})
	}
}

// Guards against old requests that make newer ones late, and against requests that are
// forwarded twice because their callers repeat them.
func TestNewestKeptRequestGoesFirst(t *testing.T) {
	now := 10 * time.Second
	a, s, request := keepingAgent(t, 30, now)
	for port := range uint16(3) {
		request(1+port, 100)
	}
	request(2, 100)
	if s.upstream != 0 || len(a.kept) != 3 {
		t.Fatalf("%d requests forwarded and %d kept, want 0 and 3", s.upstream, len(a.kept))
	}
	a.requests.inProgress = a.requests.inProgress[:12]
	now += 20 * time.Millisecond
	a.Tick(now)
	if len(a.kept) != 2 || a.kept[1].flow.Caller.Port != 2 || s.upstream != 1 {
		t.Fatalf("%d requests kept and %d forwarded, want the newest forwarded", len(a.kept), s.upstream)
	}
	now += 300 * time.Millisecond
	a.Tick(now)
	if len(a.kept) != 2 {
		t.Fatal("a late request was forwarded although no slot is free")
	}
	a.requests.inProgress = nil
	a.Tick(now)
	if len(a.kept) != 0 || s.upstream != 3 {
		t.Errorf("%d requests kept and %d forwarded, want the late ones in the free slots", len(a.kept), s.upstream)
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
			if len(a.kept) != 1 {
				t.Fatal("the request was not kept")
			}
			if name == "caller gave up" {
				now += abandonedAfter
			}
			drop(a, now)
			a.requests.inProgress = nil
			a.releaseKept(now)
			if len(a.kept) != 0 || s.upstream != 0 {
				t.Errorf("%d requests kept, %d forwarded", len(a.kept), s.upstream)
			}
		})
	}
}
