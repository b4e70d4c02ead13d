package balancer

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/quiclb"
)

// A reset must not be sent for what is no packet of an established flow, must be
// shorter than what it answers, and must not flood whoever's address was forged.
func TestResetAnswersOnlyEstablishedFlows(t *testing.T) {
	route := quiclb.Route{Service: 1, Zone: 3, Agent: loopback}
	cid := quiclb.NewKey(secret).Seal(route, 1)
	tail := func(n int) []byte { return append(short(cid)[:1+quiclb.Size], make([]byte, n)...) }
	for name, x := range map[string]struct {
		p    []byte
		keys keyring.Ring
		sent int
		want int
	}{
		"a packet of a flow":           {tail(40), keyring.Ring{secret}, 0, 1},
		"during a rotation of keys":    {tail(40), keyring.Ring{secret, keyring.NewSecret(2)}, 0, 2},
		"the shortest to be answered":  {tail(resetLeast - quiclb.Size), keyring.Ring{secret}, 0, 1},
		"too short to be answered":     {tail(resetLeast - quiclb.Size - 1), keyring.Ring{secret}, 0, 0},
		"an opening":                   {initial(7), keyring.Ring{secret}, 0, 0},
		"nothing":                      {nil, keyring.Ring{secret}, 0, 0},
		"a balancer that has no keys":  {tail(40), nil, 0, 0},
		"a packet beyond the second's": {tail(40), keyring.Ring{secret}, resetsMost, 0},
	} {
		t.Run(name, func(t *testing.T) {
			out, caller := socket(t), socket(t)
			r := resetter{second: 9, sent: x.sent}
			r.reset(newResetKeys(x.keys), x.p, caller.Addr(), out, 9)
			// Loopback delivers before the write returns: what isn't there now never comes.
			caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			b, got := make([]byte, 100), 0
			for {
				n, err := caller.Read(b)
				if err != nil {
					break
				}
				got++
				if n >= len(x.p) || !quiclb.IsShort(b) {
					t.Errorf("a reset of %d bytes, first %#x, answers a datagram of %d", n, b[0], len(x.p))
				}
			}
			if got != x.want {
				t.Errorf("%d resets, want %d", got, x.want)
			}
		})
	}
}
