package datagram

import (
	"encoding/binary"
	"testing"
	"time"
)

// Guards against agents of a zone that is out that swallow packets of other zones' flows.
func TestLookupPassesAZoneThatIsOut(t *testing.T) {
	const now = 20 * time.Second
	for name, x := range map[string]struct {
		first   int64 // sequence of the first announcement: 1 if the agent saw the whole life
		here    bool
		dropped bool
		flags   Flags
	}{
		"elsewhere, and the agent knows it": {1, false, false, 0},
		"not known, agent was restarted":    {9, false, false, FlagUnsure | FlagKnownOnly},
		"here":                              {1, true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSent(t)
			a := &Agent{Service: 7, Zone: 3, Format: plain{}, Out: s, Keys: testKeys(t)}
			a.Start()
			a.Announce(&Announcement{Service: 7, Born: 5, Sequence: x.first, Slots: 5}, time.Second)
			a.setZonesOut([]ZoneKey{3}, 9, now-evacuationUsual)
			m := plainPacket(plainData, 9)
			k, _ := plain{}.Parse(m[HeaderLen:])
			if x.here {
				a.flows.set(k.Flow, &flowState{phase: flowOpen, born: 5})
			}
			h := Message{Kind: KindPacket, Flags: FlagLookup}
			h.Put(m, a.Keys[0])
			a.HandleMessage(1, m, now)
			if s.upstream != 0 {
				t.Error("given to the upstream of a zone that is out")
			}
			if x.dropped != (len(s.process) == 0) || !x.dropped && (s.process[0].Kind != KindDenied || s.process[0].Flags&^FlagLookup != x.flags) {
				t.Errorf("sent %+v", s.process)
			}
		})
	}
}

// Guards against a flow's packets at foreign upstreams, and against its end without a proof,
// when an agent in a zone that is out may not ask its upstream for it.
func TestLookupPastAnAgentThatMayNotAsk(t *testing.T) {
	const now = 20 * time.Second
	for name, x := range map[string]struct {
		first    int64
		here     bool
		upstream int
	}{
		"knows all flows":           {1, false, 0},
		"would have to ask":         {9, false, 0},
		"knows that it is here":     {9, true, 1},
		"knows all, and it is here": {1, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSent(t)
			a := &Agent{Service: 7, Zone: 3, Format: plain{}, Out: s, Keys: testKeys(t)}
			a.Start()
			a.Announce(&Announcement{Service: 7, Born: 5, Sequence: x.first, Slots: 5}, time.Second)
			m := plainPacket(plainData, 9)
			k, _ := plain{}.Parse(m[HeaderLen:])
			if x.here {
				a.flows.set(k.Flow, &flowState{phase: flowOpen, born: 5})
			}
			h := Message{Kind: KindPacket, Flags: FlagLookup | FlagUnsure | FlagKnownOnly}
			h.Put(m, a.Keys[0])
			a.HandleMessage(1, m, now)
			if s.upstream != x.upstream {
				t.Errorf("given to the upstream %d times", s.upstream)
			}
			if !x.here && (len(s.process) != 1 || s.process[0].Flags&^FlagLookup != FlagUnsure|FlagKnownOnly) {
				t.Errorf("sent %+v", s.process)
			}
		})
	}
}

// Guards against callers that wait for a silent agent which can hold no flow.
func TestSilentAgentMayHoldFlows(t *testing.T) {
	now := 20 * time.Second
	for name, x := range map[string]struct {
		status AgentStatus
		silent time.Duration
		asks   int
		want   bool
	}{
		"ready":                         {AgentStatus{State: UpstreamReady}, 2 * time.Second, asksUnanswered - 1, true},
		"ready, for long":               {AgentStatus{State: UpstreamReady}, goneAfter, asksUnanswered, false},
		"ready, for long, not asked":    {AgentStatus{State: UpstreamReady}, 2 * goneAfter, 0, true},
		"draining":                      {AgentStatus{State: UpstreamDraining}, 2 * time.Second, asksUnanswered - 1, true},
		"deregistered":                  {AgentStatus{State: UpstreamGone}, 2 * time.Second, 0, false},
		"never announced":               {AgentStatus{State: UpstreamUnknown, KnowsAll: true, Uptime: MillisOf(announcedWithin + time.Second)}, 2 * time.Second, 0, false},
		"never announced, listens":      {AgentStatus{State: UpstreamUnknown, Uptime: MillisOf(announcedWithin + time.Second)}, 2 * time.Second, 0, true},
		"not announced, just restarted": {AgentStatus{State: UpstreamUnknown, Uptime: MillisOf(time.Second)}, 2 * time.Second, asksUnanswered - 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := agentView{status: x.status, heard: now - x.silent, suspicion: suspicion{now - x.silent, x.asks, now - askEvery}}
			if a.mayLive(now) != x.want {
				t.Errorf("may hold flows: %t", !x.want)
			}
		})
	}
}

// numbered is a format whose packets end with what they acknowledge.
type numbered struct{ plain }

func (numbered) Parse(b []byte) (Packet, bool) {
	p, ok := plain{}.Parse(b)
	p.Number = binary.BigEndian.Uint32(b[len(b)-4:])
	return p, ok
}

func (n numbered) ParseOutbound(b []byte) (Packet, bool) {
	p, ok := n.plain.Parse(b)
	p.Seq = binary.BigEndian.Uint32(b[len(b)-4:])
	return p, ok
}

// Guards against the reset of a flow that lives at another upstream: two accepted the
// opening with numbers near each other, the caller's packet was taken for a choice of the
// wrong one, and what that bounced for a flow that it had lost.
func TestCallerChoosesOneOfTwoUpstreams(t *testing.T) {
	const accepted = 1 << 31
	for name, x := range map[string]struct {
		number    uint32
		restarted bool // the agent, after the opening was given to its upstream
		chosen    bool
	}{
		"this one":               {accepted + 1, false, true},
		"one with a near number": {accepted + 500, false, false},
		"one just before":        {accepted, false, false},
		"another":                {17, false, false},
		"this one, restarted":    {accepted + 1, true, true},
		"another, restarted":     {17, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSent(t)
			a := &Agent{Service: 7, Format: numbered{}, Out: s, Keys: testKeys(t)}
			a.Start()
			a.Announce(&Announcement{Service: 7, Born: 5, Sequence: 1, Slots: 5}, time.Second)
			if x.restarted {
				a.HandleUpstream(binary.BigEndian.AppendUint32(plainPacket(plainOpening, 9), accepted), time.Second)
			} else {
				a.flows.set(testFlow(9), &flowState{phase: flowAccepted, born: 5, accepted: accepted})
			}
			m := binary.BigEndian.AppendUint32(plainPacket(plainData, 9), x.number)
			h := Message{Kind: KindPacket}
			h.Put(m, a.Keys[0])
			a.HandleMessage(1, m, 2*time.Second)
			if given := s.upstream == 1; given != x.chosen {
				t.Errorf("given to the upstream: %t", given)
			}
			if !x.chosen && (len(s.process) != 1 || s.process[0].Kind != KindNotMine) {
				t.Errorf("sent %+v", s.process)
			}
		})
	}
}
