// This file tells callers that their flow has ended when nobody else can: its
// availability zone is out, its agent has closed it, and the closing was lost.
// A stateless reset (RFC 9000, 10.3) needs no memory of the flow: its token is a
// keyed hash of the connection ID, and all agents and balancers hold the key.
// Given up: telling the callers of an upstream that died without a word, since a
// balancer's doubt is no proof; they find out by their idle timeout.

package balancer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/quiclb"
)

const (
	// resetToken is the length of a reset's token, at its end, and resetLeast
	// that of the shortest reset, in bytes (RFC 9000, 10.3).
	resetToken = 16
	resetLeast = 21
	// resetLength looks like a short packet of an established flow.
	resetLength = 43
	// resetsMost bounds the resets of one forwarder in a second.
	resetsMost = 2000
	// resetMargin lets a closing that is on its way arrive first.
	resetMargin = time.Second
	// shortMask and shortForm mark a packet of an established flow.
	shortMask, shortForm = 0x3f, 0x40
)

// resetKeys make the tokens of stateless resets.
type resetKeys [][]byte

func newResetKeys(r keyring.Ring) resetKeys {
	var ks resetKeys
	for _, s := range r {
		ks = append(ks, s.Derive(keyring.UseReset, sha256.Size))
	}
	return ks
}

// resetter sends one forwarder's stateless resets.
type resetter struct {
	second uint32
	sent   int
	hash   []hash.Hash
	keys   resetKeys
	buffer [resetLength]byte
}

// reset ends the caller's flow, as far as the datagram is of an established one.
// It reports whether it did.
//
// A reset is shorter than the datagram that it answers, so two ends that both
// answer so can't go on for ever, and nobody gains by a forged address. An agent
// keeps the reset key that it started with, so during a rotation there is a reset
// for each key.
func (x *resetter) reset(ks resetKeys, p []byte, to netip.AddrPort, out *link.Socket, now uint32) bool {
	class, cid := quiclb.Classify(p)
	n := min(resetLength, len(p)-1)
	if class != quiclb.ClassEstablished || !quiclb.IsShort(p) || n < resetLeast || !x.spend(now) {
		return false
	}
	x.use(ks)
	for _, h := range x.hash {
		b := x.buffer[:n]
		rand.Read(b)
		b[0] = b[0]&shortMask | shortForm
		h.Reset()
		h.Write(cid)
		var sum [sha256.Size]byte
		copy(b[n-resetToken:], h.Sum(sum[:0]))
		out.WriteToUDPAddrPort(b, to)
	}
	return true
}

// use makes the hashes of the keys, unless it has them.
func (x *resetter) use(ks resetKeys) {
	if len(x.keys) == len(ks) && (len(ks) == 0 || &x.keys[0] == &ks[0]) {
		return
	}
	x.keys, x.hash = ks, nil
	for _, k := range ks {
		x.hash = append(x.hash, hmac.New(sha256.New, k))
	}
}

// spend takes one of the second's resets.
func (x *resetter) spend(now uint32) bool {
	if now != x.second {
		x.second, x.sent = now, 0
	}
	x.sent++
	return x.sent <= resetsMost
}
