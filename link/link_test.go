package link

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"pomeloway.example/pomeloway/keyring"
)

// message returns a message with all fields set.
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
		t.Errorf("the decoded header is %+v, payload %q, ok %t", got, p, ok)
	}
}

// Guards against an attacker on the network between balancers and agents who forges or
// changes datagrams to impersonate a caller. A change of any bit of the header and a header
// under an unknown key must be refused.
func TestForgedHeadersAreRefused(t *testing.T) {
	k, otherKey := NewKey(keyring.NewSecret(1)), NewKey(keyring.NewSecret(1))
	m := message()
	b := make([]byte, HeaderSize)
	k.Put(b, &m)
	for i := range HeaderSize * 8 {
		c := bytes.Clone(b)
		c[i/8] ^= 1 << (i % 8)
		if _, ok := (Keys{k}).Get(c, &Message{}); ok {
			t.Errorf("a header with bit %d flipped was accepted", i)
		}
	}
	otherKey.Put(b, &m)
	if _, ok := (Keys{k}).Get(b, &Message{}); ok {
		t.Error("a header under an unknown key was accepted")
	}
}

// Guards against an attacker who records a heartbeat and sends it again an hour later, so
// that a dead balancer appears alive to an agent. Its tag is valid, but its time is old.
func TestReplayedHeartbeatIsNotFresh(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, x := range map[string]struct {
		age  time.Duration
		want bool
	}{"now": {0, true}, "slow clock": {10 * time.Second, true}, "fast clock": {-10 * time.Second, true}, "recorded": {time.Hour, false}, "from the future": {-time.Hour, false}} {
		t.Run(name, func(t *testing.T) {
			m := Message{Sent: uint32(now.Add(-x.age).Unix())}
			if m.Fresh(now) != x.want {
				t.Errorf("for a heartbeat with an age of %v, Fresh returned %t", x.age, !x.want)
			}
		})
	}
}

func TestHeaderAllocatesNothing(t *testing.T) {
	k := NewKey(keyring.NewSecret(1))
	ks, m, b := Keys{k}, message(), make([]byte, HeaderSize)
	if n := testing.AllocsPerRun(1000, func() { k.Put(b, &m); ks.Get(b, &m) }); n > 0 {
		t.Errorf("%v allocations per header", n)
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
			t.Error("the decoded header has more than MaxCandidates candidates")
		}
		// The same fields with a valid tag, as any process of the fleet may send them.
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
