package datagram

import (
	"reflect"
	"testing"

	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
)

func testKeys(t testing.TB) link.Keys {
	t.Helper()
	r, err := keyring.Parse([]string{"1:9ow6wBZbFi9UENcfCNG3G_2_cuAmtEZM_WKjhHMBOf0"})
	if err != nil {
		t.Fatal(err)
	}
	return link.NewKeys(r)
}

// Guards against accepting forged messages and messages damaged in transit.
func TestMessageRejectsForgery(t *testing.T) {
	ks := testKeys(t)
	for name, m := range map[string]Message{
		"opening": {Kind: KindOpening, Priority: 1, Opening: 9, Service: 11, Cold: 25},
		"refusal": {Kind: KindRefused, Reason: ReasonCold, Opening: 9},
		"status":  {Kind: KindAgent},
	} {
		t.Run(name, func(t *testing.T) {
			b := make([]byte, HeaderLen+maxAuthenticatedLen)
			m.Put(b, ks[0])
			var got Message
			if p, ok := got.Get(b, ks); !ok || got != m || len(p) != maxAuthenticatedLen {
				t.Fatalf("message decoded as %+v", got)
			}
			for i := range len(b) * 8 {
				c := append([]byte(nil), b...)
				c[i/8] ^= 1 << (i % 8)
				if _, ok := new(Message).Get(c, ks); ok {
					t.Errorf("message accepted with bit %d flipped", i)
				}
			}
		})
	}
}

func TestStatusRoundTrip(t *testing.T) {
	a := AgentStatus{
		Life: 1, Sequence: 2, Uptime: 3, Service: 4, Zone: 5, State: UpstreamDraining, Leaving: true,
		Slots: 6, Flows: 7, UnderWay: 8, ColdRemaining: 9,
	}
	var got AgentStatus
	if b := a.append(nil); !got.decode(b) || got != a || len(b) != agentStatusLen {
		t.Errorf("agent status decoded as %+v", got)
	}
	b := BalancerStatus{
		Life: 1, Version: 2, Revision: 3, Leaving: true, Detached: true, Agents: 9, Homes: 10, Watcher: 11, WatcherAge: 12, Known: 13,
		Zones: []ZoneKey{4, 5}, Balancers: []IP{6, 7, 8},
	}
	var back BalancerStatus
	if !back.decode(b.append(nil)) || !reflect.DeepEqual(back, b) {
		t.Errorf("balancer status decoded as %+v", back)
	}
	b.Zones, b.Balancers = make([]ZoneKey, 500), make([]IP, 500)
	if x := b.append(nil); len(x) > 1400 || !back.decode(x) {
		t.Errorf("balancer status of %d bytes does not fit a datagram or can't be decoded", len(x))
	}
}

func FuzzStatuses(f *testing.F) {
	a := AgentStatus{Life: 1}
	b := BalancerStatus{Zones: []ZoneKey{1}, Balancers: []IP{2}}
	f.Add(a.append(nil))
	f.Add(b.append(nil))
	f.Fuzz(func(t *testing.T, p []byte) {
		var a AgentStatus
		if a.decode(p) && a.State >= upstreamStateEnd {
			t.Errorf("decoded an invalid upstream state %d", a.State)
		}
		var b BalancerStatus
		b.decode(p)
	})
}

func FuzzMessage(f *testing.F) {
	ks := testKeys(f)
	m := Message{Kind: KindPacket}
	b := make([]byte, HeaderLen+40)
	m.Put(b, ks[0])
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if p, ok := m.Get(b, ks); ok && len(p) != len(b)-HeaderLen {
			t.Error("the payload is not the rest of the message")
		}
	})
}
