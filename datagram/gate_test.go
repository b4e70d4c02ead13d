package datagram

import (
	"testing"
	"time"
)

// Guards against openings that an upstream may not get, whatever balancers believe.
func TestAgentIsTheGateForOpenings(t *testing.T) {
	const now = 10 * time.Second
	ready := Announcement{Service: 7, Born: 5, Sequence: 1, Slots: 5}
	draining := ready
	draining.Draining = true
	cold := ready
	cold.Cold = 5 * time.Second
	for name, x := range map[string]struct {
		prepare func(*Agent)
		opening Message
		want    Reason
	}{
		"ready":                  {func(a *Agent) { a.Announce(&ready, now) }, Message{Service: 7}, ReasonNone},
		"other service":          {func(a *Agent) { a.Announce(&ready, now) }, Message{Service: 8}, ReasonService},
		"upstream not heard yet": {func(*Agent) {}, Message{Service: 7}, ReasonUnknown},
		"not heard yet, it listens, zones not known": {func(a *Agent) { a.Recall(false); a.Probed(ProbeAccepted, now) }, Message{Service: 7}, ReasonUnknown},
		"not heard yet, it listens, records not read": {func(a *Agent) {
			a.Probed(ProbeAccepted, now)
			a.setZonesOut(nil, 9, now)
		}, Message{Service: 7}, ReasonUnknown},
		"not heard yet, it listens, drained before": {func(a *Agent) {
			a.Recall(true)
			a.Probed(ProbeAccepted, now)
			a.setZonesOut(nil, 9, now)
		}, Message{Service: 7}, ReasonUnknown},
		"drained before, another life": {func(a *Agent) {
			a.Recall(true)
			a.Announce(&ready, now)
		}, Message{Service: 7}, ReasonNone},
		"not heard yet, it listens": {func(a *Agent) {
			a.Recall(false)
			a.Probed(ProbeAccepted, now)
			a.setZonesOut(nil, 9, now)
		}, Message{Service: 7}, ReasonNone},
		"not heard yet, it listens, zone out": {func(a *Agent) {
			a.Recall(false)
			a.Probed(ProbeAccepted, now)
			a.setZonesOut([]ZoneKey{3}, 9, now)
		}, Message{Service: 7}, ReasonZoneOut},
		"not heard yet, held for cold": {func(a *Agent) {
			a.Recall(false)
			a.Probed(ProbeAccepted, now)
			a.setZonesOut(nil, 9, now)
			a.upstream.bucket.take(0.5, now)
		}, Message{Service: 7, Cold: ColdRateOf(0.5)}, ReasonCold},
		"nothing listens": {func(a *Agent) {
			a.Announce(&ready, now-time.Second)
			a.probed = now - time.Millisecond
			a.Probed(ProbeRefused, now)
		}, Message{Service: 7}, ReasonGone},
		"announced while it was tried": {func(a *Agent) {
			a.probed = now - time.Second
			a.Announce(&ready, now)
			a.Probed(ProbeRefused, now)
		}, Message{Service: 7}, ReasonNone},
		"draining": {func(a *Agent) { a.Announce(&draining, now) }, Message{Service: 7}, ReasonDraining},
		"gone":     {func(a *Agent) { a.Announce(&ready, now); a.Deregister("", now) }, Message{Service: 7}, ReasonGone},
		"zone out": {func(a *Agent) { a.Announce(&ready, now); a.setZonesOut([]ZoneKey{3}, 9, now) }, Message{Service: 7}, ReasonZoneOut},
		"zone out, older word": {func(a *Agent) {
			a.Announce(&ready, now)
			a.setZonesOut(nil, 9, now)
			a.setZonesOut([]ZoneKey{3}, 8, now)
		}, Message{Service: 7}, ReasonNone},
		"zone back": {func(a *Agent) {
			a.Announce(&ready, now)
			a.setZonesOut([]ZoneKey{3}, 8, now)
			a.setZonesOut(nil, 9, now)
		}, Message{Service: 7}, ReasonNone},
		"agent leaves":           {func(a *Agent) { a.Announce(&ready, now); a.Leave(now) }, Message{Service: 7}, ReasonDraining},
		"busy":                   {func(a *Agent) { a.Announce(&ready, now); a.underWay = 10 }, Message{Service: 7}, ReasonBusy},
		"busy, repeated":         {func(a *Agent) { a.Announce(&ready, now); a.underWay = 10 }, Message{Service: 7, Priority: PriorityRepeated}, ReasonBusy},
		"busy, repeated, urgent": {func(a *Agent) { a.Announce(&ready, now); a.underWay = 10 }, Message{Service: 7, Priority: PriorityUrgent}, ReasonNone},
		"full, repeated, urgent": {func(a *Agent) { a.Announce(&ready, now); a.underWay = 15 }, Message{Service: 7, Priority: PriorityUrgent}, ReasonBusy},
		"a slot's worth of room": {func(a *Agent) { a.Announce(&ready, now); a.underWay = 9 }, Message{Service: 7}, ReasonNone},
		"cold, no limit":         {func(a *Agent) { a.Announce(&cold, now) }, Message{Service: 7}, ReasonNone},
		"cold, used up": {func(a *Agent) {
			a.Announce(&cold, now)
			a.upstream.bucket.take(0.5, now)
		}, Message{Service: 7, Cold: ColdRateOf(0.5)}, ReasonCold},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSent(t)
			a := &Agent{Service: 7, Zone: 3, Format: plain{}, Out: s, Keys: testKeys(t)}
			a.Start()
			x.prepare(a)
			b := plainPacket(plainOpening, 9)
			x.opening.Kind = KindOpening
			x.opening.Put(b, a.Keys[0])
			a.HandleMessage(1, b, now)
			if x.want == ReasonNone {
				if s.upstream != 1 || len(s.process) != 0 {
					t.Errorf("given %d times, answers %+v", s.upstream, s.process)
				}
				return
			}
			if s.upstream != 0 || len(s.process) != 1 || s.process[0].Kind != KindRefused || s.process[0].Reason != x.want {
				t.Errorf("given %d times, answers %+v", s.upstream, s.process)
			}
		})
	}
}

// Guards against the flows of a zone that is out ending all at once, or after the bound.
func TestFlowsOfAZoneThatIsOutEndOneByOne(t *testing.T) {
	for name, bound := range map[string]time.Duration{"usual": 0, "short": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			a := &Agent{Zone: 3, Evacuation: bound, Format: plain{}, Out: newSent(t)}
			a.Start()
			a.setZonesOut([]ZoneKey{3}, 9, time.Second)
			if bound == 0 {
				bound = evacuationUsual
			}
			ends := map[time.Duration]int{}
			for port := range uint16(1000) {
				f := Flow{Caller: Endpoint{1, port}, Address: Endpoint{2, 443}}
				if a.closed(f, time.Second+bound/2) {
					t.Fatal("a flow ended in the first half of the bound")
				}
				if !a.closed(f, time.Second+bound) {
					t.Fatal("a flow goes on after the bound")
				}
				ends[a.cutAfter(f)*10/bound]++
			}
			for tenth := range time.Duration(3) {
				if n := ends[6+tenth]; n < 200 || n > 350 {
					t.Errorf("%d of 1000 end in tenth %d of the bound", n, 6+tenth)
				}
			}
		})
	}
}

// Guards against upstreams that are held for busy by retransmissions after the answer.
func TestRetransmissionAfterTheAnswerIsNoRequest(t *testing.T) {
	a := &Agent{Format: plain{}}
	a.Start()
	f := &flowState{phase: flowOpen}
	piece := func(seq uint32) { a.began(Packet{Seq: seq, Length: 100}, f, nil, time.Second) }
	piece(1)
	piece(101)
	if a.underWay != 1 {
		t.Fatalf("%d under way", a.underWay)
	}
	a.answered(Packet{Length: 5}, f, time.Second)
	piece(101)
	if a.underWay != 0 {
		t.Errorf("%d under way after the answer", a.underWay)
	}
	piece(201)
	if a.underWay != 1 {
		t.Errorf("the next request is not counted")
	}
}
