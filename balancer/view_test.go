package balancer

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/quiclb"
)

var secret = keyring.NewSecret(1)

func agentAt(i int, s bundle.ServiceID, z bundle.ZoneID) fleet.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7001)
	return fleet.Member{ID: fleet.NewID(fleet.RoleAgent, a), Role: fleet.RoleAgent, Service: s, Zone: z, Link: a, Peer: a, Phase: fleet.PhaseReady}
}

// newTestView returns a view of the given number of services and agents per
// service. The agents are spread over three zones, of which the third is out.
func newTestView(services, agentsPerService int, doubts map[fleet.MemberID]bool) (*View, []fleet.Member) {
	b := &bundle.Bundle{Zones: []bundle.Zone{{ID: 1, State: bundle.ZoneStateIn}, {ID: 2, State: bundle.ZoneStateIn}, {ID: 3, State: bundle.ZoneStateOut}}}
	var ms []fleet.Member
	for i := range services {
		b.Services = append(b.Services, bundle.Service{ID: bundle.ServiceID(i + 1)})
		for range agentsPerService {
			ms = append(ms, agentAt(len(ms)+1, bundle.ServiceID(i+1), bundle.ZoneID(len(ms)%3+1)))
		}
	}
	return NewView(&bundle.Accepted{Bundle: b}, keyring.Ring{secret}, ms, doubts), ms
}

// initial returns a QUIC Initial packet with the connection ID.
func initial(id uint64) []byte {
	p := append([]byte{0xc0, 0, 0, 0, 1, 8}, binary.BigEndian.AppendUint64(nil, id)...)
	return append(p, make([]byte, 1186)...)
}

// short returns a packet with a QUIC short header and the token as connection ID.
func short(token [quiclb.TokenSize]byte) []byte {
	return append(append([]byte{0x40}, token[:]...), make([]byte, 1000)...)
}

func TestDecide(t *testing.T) {
	v, ms := newTestView(2, 6, nil)
	k := quiclb.NewKey(secret)
	token := func(s bundle.ServiceID, z bundle.ZoneID) []byte {
		return short(k.Seal(quiclb.Route{Service: s, Zone: z, Agent: ms[0].Link}, 1))
	}
	unknown := short(quiclb.NewKey(keyring.NewSecret(1)).Seal(quiclb.Route{Service: 1, Zone: 1, Agent: ms[0].Link}, 1))
	for name, x := range map[string]struct {
		p      []byte
		want   Verdict
		reason events.Reason
	}{
		"token":                       {token(1, 1), VerdictForward, ""},
		"token of another service":    {token(2, 1), VerdictDrop, events.ReasonWrongService},
		"token of a zone that is out": {token(1, 3), VerdictDrop, events.ReasonZoneOut},
		"token of an unknown zone":    {token(1, 9), VerdictDrop, events.ReasonZoneOut},
		"token under a foreign key":   {unknown, VerdictDrop, events.ReasonUnknownToken},
		"opening":                     {initial(1), VerdictOpen, events.ReasonFirst},
		"too long":                    {make([]byte, link.MaxPayload+1), VerdictDrop, events.ReasonTooLong},
		"empty":                       {nil, VerdictDrop, events.ReasonNotQUIC},
		"short opening ID":            {[]byte{0xc0, 0, 0, 0, 1, 4, 1, 2, 3, 4, 0, 0}, VerdictDrop, events.ReasonNotQUIC},
	} {
		t.Run(name, func(t *testing.T) {
			var a Action
			v.Decide(1, x.p, &quiclb.Opener{}, &a)
			if a.Verdict != x.want || a.Reason != x.reason {
				t.Errorf("wrong verdict %d or reason %q", a.Verdict, a.Reason)
			}
			if a.Verdict == VerdictForward && a.Target() != ms[0].Link {
				t.Errorf("target %v", a.Target())
			}
		})
	}
}

// Both service addresses receive a million datagrams: openings, and tokens of both
// services. No datagram may be sent to an agent of the other service.
func TestDecideNeverMisroutes(t *testing.T) {
	v, ms := newTestView(2, 6, nil)
	owner := map[netip.AddrPort]bundle.ServiceID{}
	for _, m := range ms {
		owner[m.Link] = m.Service
	}
	k := quiclb.NewKey(secret)
	var o quiclb.Opener
	var a Action
	forwarded := 0
	for i := range 1_000_000 {
		at := bundle.ServiceID(i%2 + 1)
		p := initial(uint64(i))
		if i%3 != 0 {
			m := ms[i%len(ms)]
			p = short(k.Seal(quiclb.Route{Service: m.Service, Zone: 1, Agent: m.Link}, uint32(i)))
		}
		v.Decide(at, p, &o, &a)
		for _, c := range a.Candidates[:a.Count] {
			forwarded++
			if owner[c] != at {
				t.Fatalf("datagram %d to service %d was sent to agent %v of service %d", i, at, c, owner[c])
			}
		}
	}
	if forwarded == 0 {
		t.Error("no datagram was forwarded")
	}
}

// The view lags behind and marks a working agent as doubted. The agent must keep its
// flows and remain the last candidate for openings, so that a wrong doubt costs no
// flow.
func TestDoubtedAgentKeepsFlows(t *testing.T) {
	_, ms := newTestView(1, 3, nil)
	doubts := map[fleet.MemberID]bool{ms[0].ID: true}
	v, _ := newTestView(1, 3, doubts)
	var a Action
	var o quiclb.Opener
	for i := range uint64(1000) {
		v.Decide(1, initial(i), &o, &a)
		if a.Verdict != VerdictOpen || a.Target() == ms[0].Link || a.Candidates[a.Count-1] != ms[0].Link {
			t.Fatalf("doubted agent is not the last candidate: %v", a.Candidates[:a.Count])
		}
	}
	s := quiclb.NewKey(secret).Seal(quiclb.Route{Service: 1, Zone: 1, Agent: ms[0].Link}, 1)
	if v.Decide(1, short(s), &o, &a); a.Verdict != VerdictForward {
		t.Error("a datagram of an established flow to a doubted agent was dropped")
	}
	all := map[fleet.MemberID]bool{ms[0].ID: true, ms[1].ID: true, ms[2].ID: true}
	w, _ := newTestView(1, 3, all)
	if w.Decide(1, initial(1), &o, &a); a.Verdict != VerdictOpen {
		t.Error("an opening was dropped because all agents are doubted")
	}
}

func TestDecideAllocatesNothing(t *testing.T) {
	v, ms := newTestView(1, 12, nil)
	s := quiclb.NewKey(secret).Seal(quiclb.Route{Service: 1, Zone: 1, Agent: ms[0].Link}, 1)
	var o quiclb.Opener
	var a Action
	for name, p := range map[string][]byte{"token": short(s), "opening": initial(7)} {
		if n := testing.AllocsPerRun(1000, func() { v.Decide(1, p, &o, &a) }); n > 0 {
			t.Errorf("%s: %v allocations, want 0", name, n)
		}
	}
}

// With a guard disabled, the failure that it prevents must occur. Otherwise a test
// that passes with the guard enabled proves nothing.
func TestDisabledGuardsForward(t *testing.T) {
	v, ms := newTestView(2, 3, nil)
	k := quiclb.NewKey(secret)
	for name, x := range map[string]struct {
		off   guard.Name
		route quiclb.Route
	}{
		"service": {guard.Service, quiclb.Route{Service: 2, Zone: 1, Agent: ms[3].Link}},
		"zone":    {guard.Zone, quiclb.Route{Service: 1, Zone: 3, Agent: ms[2].Link}},
	} {
		t.Run(name, func(t *testing.T) {
			var a Action
			p := short(k.Seal(x.route, 1))
			for _, off := range []guard.Off{{}, guard.Without(x.off)} {
				w := *v
				w.off = off
				w.Decide(1, p, &quiclb.Opener{}, &a)
				if (a.Verdict == VerdictForward) != off.Disabled(x.off) {
					t.Errorf("guard disabled = %t: verdict %d", off.Disabled(x.off), a.Verdict)
				}
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	k := quiclb.NewKey(secret)
	for _, x := range []struct{ services, each int }{{1, 12}, {200, 12}, {1, 2400}} {
		v, ms := newTestView(x.services, x.each, nil)
		s := k.Seal(quiclb.Route{Service: 1, Zone: 1, Agent: ms[0].Link}, 1)
		for name, p := range map[string][]byte{"token": short(s), "opening": initial(7)} {
			b.Run(fmt.Sprintf("%s/services=%d/each=%d", name, x.services, x.each), func(b *testing.B) {
				var o quiclb.Opener
				var a Action
				b.ReportAllocs()
				for b.Loop() {
					v.Decide(1, p, &o, &a)
				}
			})
		}
	}
}
