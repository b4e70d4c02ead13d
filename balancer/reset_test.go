package balancer

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/quiclb"
)

// A reset may only answer a packet of an established flow. It must be shorter than
// that packet and limited in rate, so that forged source addresses can't be used
// to flood a third party.
func TestResetAnswersOnlyEstablishedFlows(t *testing.T) {
	route := quiclb.Route{Service: 1, Zone: 3, Agent: loopback}
	cid := quiclb.NewKey(secret).Seal(route, 1)
	tail := func(n int) []byte { return append(short(cid)[:1+quiclb.TokenSize], make([]byte, n)...) }
	for name, x := range map[string]struct {
		p    []byte
		keys keyring.Ring
		sent int
		want int
	}{
		"packet of an established flow":          {tail(40), keyring.Ring{secret}, 0, 1},
		"key rotation":                           {tail(40), keyring.Ring{secret, keyring.NewSecret(2)}, 0, 2},
		"shortest answered packet":               {tail(minResetLen - quiclb.TokenSize), keyring.Ring{secret}, 0, 1},
		"packet too short":                       {tail(minResetLen - quiclb.TokenSize - 1), keyring.Ring{secret}, 0, 0},
		"opening":                                {initial(7), keyring.Ring{secret}, 0, 0},
		"empty datagram":                         {nil, keyring.Ring{secret}, 0, 0},
		"no keys":                                {tail(40), nil, 0, 0},
		"rate limit reached":                     {tail(40), keyring.Ring{secret}, maxResetsPerSecond, 0},
		"limit reached by the first of two keys": {tail(40), keyring.Ring{secret, keyring.NewSecret(2)}, maxResetsPerSecond - 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			out, caller := socket(t), socket(t)
			r := resetter{second: 9, sent: x.sent}
			r.reset(newResetKeys(x.keys), x.p, caller.Addr(), out, 9)
			// Loopback delivers a datagram before the write returns, so a short
			// deadline finds all resets.
			caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			b, got := make([]byte, 100), 0
			for {
				n, err := caller.Read(b)
				if err != nil {
					break
				}
				got++
				if n >= len(x.p) || !quiclb.IsShort(b) {
					t.Errorf("reset of %d bytes with first byte %#x for a datagram of %d bytes", n, b[0], len(x.p))
				}
			}
			if got != x.want {
				t.Errorf("got %d resets, want %d", got, x.want)
			}
		})
	}
}
