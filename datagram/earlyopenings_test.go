package datagram

import (
	"testing"
	"time"
)

// Guards against a balancer without a configuration that keeps too many openings, or old ones.
func TestEarlyOpeningsAreTheLatest(t *testing.T) {
	var x earlyOpenings
	for i := range maxEarlyOpenings + 10 {
		x.add(plainPacket(plainOpening, uint16(i)), time.Duration(i)*time.Millisecond)
	}
	x.add(make([]byte, HeaderLen+maxOpeningLen+1), 0) // longer than an opening can be
	now := openingTimeout + 30*time.Millisecond
	out := x.take(now)
	if len(out) == 0 || len(out) > maxEarlyOpenings {
		t.Fatalf("%d openings, want up to %d", len(out), maxEarlyOpenings)
	}
	for i, o := range out {
		if now-o.arrived >= openingTimeout {
			t.Errorf("opening of %v is returned at %v", o.arrived, now)
		}
		if i > 0 && o.arrived > out[i-1].arrived {
			t.Errorf("opening %d arrived after the one before it", i)
		}
	}
	if len(x.take(now)) != 0 {
		t.Error("openings are returned twice")
	}
}

// Guards against an opening that arrived before the first configuration and is sent twice, to no
// agent, or although its caller would get a late answer.
func TestEarlyOpeningsAreSentOnce(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 3, now-100*time.Millisecond)
	c := *b.config
	c.Routes = map[Endpoint]Route{}
	for e, r := range b.config.Routes {
		r.TargetLatency = 300 * time.Millisecond
		c.Routes[e] = r
	}
	c.Version++
	b.config = nil
	b.HandleCaller(plainPacket(plainOpening, 1), now-200*time.Millisecond) // too old by then
	b.HandleCaller(plainPacket(plainOpening, 2), now-50*time.Millisecond)
	b.Tick(now)
	if len(s.to) != 0 {
		t.Fatalf("openings sent to %v without a configuration", s.to)
	}
	b.SetConfiguration(&c)
	b.Tick(now)
	b.Tick(now + time.Millisecond)
	if len(s.to) != 1 {
		t.Errorf("openings sent to %v, want one", s.to)
	}
}
