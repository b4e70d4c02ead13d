package datagram

import (
	"testing"
	"time"
)

// assumeServiceTime makes requests of the given service time known.
func (r *requests) assumeServiceTime(d, now time.Duration) {
	for range 10 {
		r.times.Add(d, now)
	}
	r.updatedAt = now
}

// Guards against an estimate of the service time that grows with the queue.
func TestServiceTimeLeavesOutWaiting(t *testing.T) {
	const service, slots = 30 * time.Millisecond, 2
	for name, queued := range map[string]int{"one at a time": 1, "all slots": 2, "queue": 10} {
		t.Run(name, func(t *testing.T) {
			var r requests
			now := time.Second
			var ids []requestID
			for range queued {
				id, _ := r.begin(slots, now)
				ids = append(ids, id)
			}
			for range 200 {
				now += service / time.Duration(min(queued, slots))
				if _, processed := r.end(ids[0], queued-1, slots, now); !processed {
					t.Fatal("a request in order counts as rejected")
				}
				id, _ := r.begin(slots, now)
				ids = append(ids[1:], id)
			}
			if d := (r.serviceTime() - service).Abs(); d > service/10 {
				t.Errorf("service time %v, want %v", r.serviceTime(), service)
			}
		})
	}
}

// Guards against urgent openings for a queue that is full, and against a limit that stays
// after the upstream has got a longer queue.
func TestCapacityFollowsRejections(t *testing.T) {
	const slots = 2
	var r requests
	now := time.Second
	type request struct {
		id    requestID
		ahead int
	}
	begin := func() (x request) {
		now += time.Millisecond
		x.id, x.ahead = r.begin(slots, now)
		return x
	}
	end := func(x request) bool {
		now += time.Millisecond
		_, processed := r.end(x.id, x.ahead, slots, now)
		return processed
	}
	var queue []request
	for range 10 {
		queue = append(queue, begin())
	}
	if r.isFull(10) {
		t.Fatal("full before any rejection")
	}
	if end(begin()) {
		t.Fatal("a request that was answered before the ten ahead of it counts as processed")
	}
	if !r.isFull(10) || r.isFull(9) {
		t.Errorf("capacity %d, want 10", r.capacity)
	}
	if !end(queue[1]) {
		t.Error("a request that overtook another one in process counts as rejected")
	}
	queue = append(queue[:1], queue[2:]...)
	last := []request{begin(), begin(), begin()}
	for _, x := range append(queue, last...) {
		if !end(x) {
			t.Error("a request in order counts as rejected")
		}
	}
	if r.isFull(11) || !r.isFull(12) {
		t.Errorf("capacity %d after a request behind 11 others was processed, want 12", r.capacity)
	}
}

// Guards against uploads over slow links that make an idle upstream look busy.
func TestUploadCountsWhenComplete(t *testing.T) {
	a := &Agent{Format: plainFormat{}}
	a.Start()
	f := &flowState{phase: flowOpen}
	piece := func(seq uint32, full bool) {
		if a.trackCallerPacket(Packet{Seq: seq, Length: 100, Full: full}, f, nil, time.Second) {
			a.beginRequest(f, time.Second)
		}
	}
	piece(1, true)
	piece(101, true)
	if n := a.requests.count(); n != 0 {
		t.Fatalf("%d requests in progress during the upload", n)
	}
	piece(201, false)
	if n := a.requests.count(); n != 1 {
		t.Fatalf("%d requests in progress after the upload, want 1", n)
	}
	a.trackUpstreamPacket(Packet{Length: 5}, f, time.Second)
	if n := a.requests.count(); n != 0 {
		t.Errorf("%d requests in progress after the answer", n)
	}
}

// Guards against a limit that an agent learns while it only assumes the number of slots.
func TestNothingIsLearnedBeforeTheFirstAnnouncement(t *testing.T) {
	const now = time.Second
	a := &Agent{Format: plainFormat{}}
	a.Start()
	var fs []*flowState
	for range assumedSlots + 2 {
		f := &flowState{phase: flowOpen}
		a.beginRequest(f, now)
		fs = append(fs, f)
	}
	a.endRequest(fs[assumedSlots+1], now)
	if n := a.requests.count(); a.requests.capacity != 0 || a.Count.Rejected != 0 || n != assumedSlots+1 {
		t.Errorf("capacity %d, %d rejected, %d in progress", a.requests.capacity, a.Count.Rejected, n)
	}
}
