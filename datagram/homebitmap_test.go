package datagram

import (
	"slices"
	"testing"
	"time"
)

// Guards against homes that can't tell which flows an agent has registered with them, because the
// agent started while an availability zone was away, and its home set lacks the balancers there.
func TestAgentThatMissesZoneHasReadableHomes(t *testing.T) {
	for name, x := range map[string]struct {
		balancers int
		unknown   int // balancers that the balancer under test does not know
		build     ZoneKey
		want      bool
	}{
		"70 balancers":             {70, 0, 1, true},
		"304 balancers":            {304, 0, 1, true},
		"800 balancers":            {800, 0, 1, true},
		"one balancer not known":   {304, 1, 1, false},
		"balancer of older build":  {304, 0, 0, false},
		"small set, listed anyway": {20, 0, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, s := testBalancer(t, 3, now)
			b.Zone = x.build
			a := &Agent{Life: 99, Service: 7, Zone: 2, Format: plainFormat{}, Out: s, Keys: testKeys(t)}
			a.Start()
			for i := range x.balancers - 1 {
				ip := IP(200 + i)
				a.AddBalancer(ip, now)
				if i >= x.unknown {
					b.discoverPeer(ip, now)
					b.peers[ip].zone, b.peers[ip].lastSeen = zonesOfTen(ip), now
				}
				if zonesOfTen(ip) != 1 {
					a.balancers[ip].life, a.balancers[ip].zone = Life(ip), zonesOfTen(ip)
				}
			}
			b.updateHomes(now)
			a.HandleMessage(testSelf, b.statusMessage(0, now), now)
			a.updateHomes(now)
			status := func(now time.Duration) {
				r := &statusRecorder{recorder: s}
				a.Out = r
				a.HandleMessage(testSelf, b.statusMessage(0, now), now)
				if len(r.last) > 0 {
					b.HandleMessage(50, r.last, now)
				}
			}
			b.HandleMessage(50, slices.Clone(a.statusMessage(a.balancers[testSelf], now, time.Minute, true)), now)
			status(now + mismatchDelay/2)
			if view := b.agents.byIP[50]; len(a.homes.ips) > maxHomesListed && view.knowsHomes(&b.homes) {
				t.Fatal("a set that may differ only for a moment was sent")
			}
			status(now + mismatchDelay)
			view := b.agents.byIP[50]
			if got := view.knowsHomes(&b.homes); got != x.want || got && !view.homes.equal(&a.homes) {
				t.Fatalf("home set of %d of %d balancers known: %t, unread %d", len(a.homes.ips), x.balancers, got, b.Count.UnreadHomes)
			}
			if x.unknown == 0 {
				return
			}
			for i := range x.unknown { // the balancer learns of the others
				b.discoverPeer(IP(200+i), now)
			}
			status(now + 2*mismatchDelay)
			if view := b.agents.byIP[50]; !view.knowsHomes(&b.homes) {
				t.Error("the home set is not sent again to a balancer that can read it now")
			}
		})
	}
}

func FuzzHomeBitmap(f *testing.F) {
	known := newHomeSet([]IP{1, 2, 3, 500, 600, 700, 800, 900, 1000, 1100}, nil)
	some := newHomeSet([]IP{2, 500, 1100}, nil)
	f.Add(some.appendBitmap(nil, &known))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, p []byte) {
		ips, ok := decodeBitmap(p, &known)
		if !ok {
			return
		}
		s := newHomeSet(slices.Clone(ips), nil)
		if again := s.appendBitmap(nil, &known); !slices.Equal(again, p) {
			t.Errorf("decoded %v, encoded %x as %x", ips, p, again)
		}
	})
}
