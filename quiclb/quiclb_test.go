package quiclb

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
)

func route(i int) Route {
	return Route{
		Service: bundle.ServiceID(i%870 + 1), Zone: bundle.ZoneID(i%8 + 1),
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), uint16(7000+i%100)),
		Incarnation: Incarnation(i * 7919).Short(),
	}
}

func TestSealOpenRoundTrip(t *testing.T) {
	k := NewKey(keyring.NewSecret(3))
	var o Opener
	for i := range 10_000 {
		s := k.Seal(route(i), uint32(i))
		got, ok := o.Open(Keys{k}, s[:])
		if !ok || got != route(i) {
			t.Fatalf("route %+v was decoded as %+v, valid %t", route(i), got, ok)
		}
	}
}

// While operators rotate the fleet key, new tokens use the new key and existing flows
// still carry tokens of the old one. Both must be valid until the old key is removed from
// the bundle. After that, tokens of the old key must be refused, so that a leaked key
// becomes useless.
func TestOpenDuringKeyRotation(t *testing.T) {
	old, next := NewKey(keyring.NewSecret(1)), NewKey(keyring.NewSecret(2))
	a, b := old.Seal(route(1), 1), next.Seal(route(2), 2)
	var o Opener
	for name, x := range map[string]struct {
		keys   Keys
		aValid bool
	}{"both": {Keys{next, old}, true}, "retired": {Keys{next}, false}} {
		t.Run(name, func(t *testing.T) {
			if _, ok := o.Open(x.keys, a[:]); ok != x.aValid {
				t.Errorf("token of the old key valid: %t", ok)
			}
			if _, ok := o.Open(x.keys, b[:]); !ok {
				t.Error("token of the new key is not valid")
			}
		})
	}
}

// An attacker sends datagrams with random, modified and foreign connection IDs to the
// address of one service, so that one of them is decoded as a route to another service.
func TestOpenRejectsForgedTokens(t *testing.T) {
	k := NewKey(keyring.NewSecret(1))
	foreign := NewKey(keyring.NewSecret(1))
	r := rand.New(rand.NewPCG(1, 2))
	var o Opener
	valid := 0
	for i := range 1_000_000 {
		s := k.Seal(route(i), uint32(i))
		switch i % 3 {
		case 0: // random bytes chosen by the caller, with the right key id
			for j := 1; j < TokenSize; j++ {
				s[j] = byte(r.Uint32())
			}
		case 1:
			s[1+r.IntN(TokenSize-1)] ^= 1 << r.IntN(8)
		case 2:
			s = foreign.Seal(route(i), uint32(i))
		}
		if got, ok := o.Open(Keys{k}, s[:]); ok && got.Service == route(i).Service {
			valid++
		}
	}
	if valid != 0 {
		t.Errorf("%d of a million forged tokens were decoded as a route to the service", valid)
	}
}

func TestOpenAllocatesNothing(t *testing.T) {
	k := NewKey(keyring.NewSecret(1))
	s := k.Seal(route(1), 1)
	var o Opener
	if n := testing.AllocsPerRun(1000, func() { o.Open(Keys{k}[:1:1], s[:]) }); n > 0 {
		t.Errorf("%v allocations per token", n)
	}
}

func FuzzClassify(f *testing.F) {
	k := NewKey(keyring.NewSecret(1))
	s := k.Seal(route(1), 1)
	f.Add(append([]byte{0x40}, s[:]...))
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, TokenSize}, s[:]...))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255, 1})
	f.Fuzz(func(t *testing.T, p []byte) {
		c, id := Classify(p)
		if c == ClassInvalid && id != nil || c != ClassInvalid && len(id) > TokenSize {
			t.Errorf("class %d with an ID of %d bytes", c, len(id))
		}
		var o Opener
		o.Open(Keys{k}, id)
	})
}

func BenchmarkOpen(b *testing.B) {
	k := NewKey(keyring.NewSecret(1))
	ks, s := Keys{k}, k.Seal(route(1), 1)
	var o Opener
	b.ReportAllocs()
	for b.Loop() {
		o.Open(ks, s[:])
	}
}
