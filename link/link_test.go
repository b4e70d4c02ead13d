package link

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"pomeloway.example/pomeloway/keyring"
)

func message() Message {
	return Message{
		Kind: KindOpen, Zone: 2, Service: 7, Position: 1, Count: 3, Load: 9, Number: 1 << 40, Sent: 1_800_000_000,
		Caller: netip.MustParseAddrPort("198.51.100.7:4433"),
		Candidates: [MaxCandidates]netip.AddrPort{
			netip.MustParseAddrPort("10.0.0.1:7001"), netip.MustParseAddrPort("10.0.0.2:7001"), netip.MustParseAddrPort("10.0.0.3:7001"),
		},
	}
}

func TestHeaderRoundTrip(t *testing.T) {
	k := NewKey(keyring.NewSecret(1))
	b := append(make([]byte, HeaderSize), "payload"...)
	m, got := message(), Message{}
	k.Put(b, &m)
	p, ok := Keys{k}.Get(b, &got)
	if !ok || string(p) != "payload" || got != m {
		t.Errorf("came back as %+v, %q, %t", got, p, ok)
	}
}

// Somebody on the network between balancers and agents sends datagrams of their
// own, or changes some on their way, to put words into a caller's mouth. Each
// bit of the header is guarded; a foreign key is not in force.
func TestUnknownSendersAreRefused(t *testing.T) {
	k, foreign := NewKey(keyring.NewSecret(1)), NewKey(keyring.NewSecret(1))
	m := message()
	b := make([]byte, HeaderSize)
	k.Put(b, &m)
	for i := range HeaderSize * 8 {
		c := bytes.Clone(b)
		c[i/8] ^= 1 << (i % 8)
		if _, ok := (Keys{k}).Get(c, &Message{}); ok {
			t.Errorf("a header with bit %d flipped was believed", i)
		}
	}
	foreign.Put(b, &m)
	if _, ok := (Keys{k}).Get(b, &Message{}); ok {
		t.Error("a header under a foreign key was believed")
	}
}

// A recorded heartbeat is sent again an hour later, to make a dead balancer
// seem alive to an agent. Its tag is right; its time is not.
func TestReplayedHeartbeatIsNotFresh(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, x := range map[string]struct {
		age  time.Duration
		want bool
	}{"now": {0, true}, "slow clock": {10 * time.Second, true}, "fast clock": {-10 * time.Second, true}, "recorded": {time.Hour, false}, "from the future": {-time.Hour, false}} {
		t.Run(name, func(t *testing.T) {
			m := Message{Sent: uint32(now.Add(-x.age).Unix())}
			if m.Fresh(now) != x.want {
				t.Errorf("fresh at an age of %v: %t", x.age, !x.want)
			}
		})
	}
}

func TestHeaderAllocatesNothing(t *testing.T) {
	k := NewKey(keyring.NewSecret(1))
	ks, m, b := Keys{k}, message(), make([]byte, HeaderSize)
	if n := testing.AllocsPerRun(1000, func() { k.Put(b, &m); ks.Get(b, &m) }); n > 0 {
		t.Errorf("%v allocations a header", n)
	}
}

func FuzzGet(f *testing.F) {
	k := NewKey(keyring.NewSecret(1))
	m := message()
	b := make([]byte, HeaderSize)
	k.Put(b, &m)
	f.Add(b)
	f.Add([]byte{magic})
	f.Fuzz(func(t *testing.T, p []byte) {
		var m Message
		if _, ok := (Keys{k}).Get(p, &m); ok && int(m.Count) > MaxCandidates {
			t.Error("more candidates than the header holds")
		}
		// The same with a right tag: what any process of the fleet may send.
		if len(p) >= HeaderSize {
			var tagged Message
			c := bytes.Clone(p)
			m.Count = p[atCount] % (MaxCandidates + 1)
			for i := range m.Candidates {
				m.Candidates[i] = message().Candidates[0]
			}
			m.Kind, m.Caller = Kind(p[atKind]), message().Caller
			k.Put(c, &m)
			(Keys{k}).Get(c, &tagged)
		}
	})
}

func BenchmarkPut(b *testing.B) {
	k := NewKey(keyring.NewSecret(1))
	m, p := message(), make([]byte, HeaderSize)
	b.ReportAllocs()
	for b.Loop() {
		k.Put(p, &m)
	}
}

func BenchmarkGet(b *testing.B) {
	k := NewKey(keyring.NewSecret(1))
	ks, m, p := Keys{k}, message(), make([]byte, HeaderSize)
	k.Put(p, &m)
	b.ReportAllocs()
	for b.Loop() {
		ks.Get(p, &m)
	}
}
