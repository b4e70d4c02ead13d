// This file sends stateless resets (RFC 9000, section 10.3). A reset ends a
// caller's flow after its availability zone was taken out of service, its agent
// closed the flow, and the agent's close was lost. It needs no per-flow state: the
// reset token is a keyed hash of the connection ID, and all agents and balancers
// have the key.
//
// Callers of an upstream that failed without closing its flows get no reset,
// because a balancer's doubt does not prove the failure. Their idle timeout ends
// these flows.

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
	// resetTokenLen is the length of the token at the end of a reset, and
	// minResetLen that of the shortest reset, in bytes (RFC 9000, section 10.3).
	resetTokenLen = 16
	minResetLen   = 21
	// maxResetLen makes a reset look like a short packet of an established flow.
	maxResetLen = 43
	// maxResetsPerSecond limits the resets of one forwarder.
	maxResetsPerSecond = 2000
	// resetMargin gives the agent's close time to arrive before a reset is sent.
	resetMargin = time.Second
	// shortMask and shortForm set the header form and fixed bit of a QUIC packet
	// with a short header, as packets of established flows have.
	shortMask, shortForm = 0x3f, 0x40
)

// resetKeys holds the HMAC keys of stateless reset tokens, one for each fleet
// secret.
type resetKeys [][]byte

func newResetKeys(r keyring.Ring) resetKeys {
	var ks resetKeys
	for _, s := range r {
		ks = append(ks, s.Derive(keyring.UseReset, sha256.Size))
	}
	return ks
}

// resetter sends the stateless resets of one forwarder.
type resetter struct {
	second uint32
	sent   int
	hash   []hash.Hash
	keys   resetKeys
	buffer [maxResetLen]byte
}

// reset answers the datagram p with stateless resets if it is a packet of an
// established flow and the rate limit permits. It reports whether it sent any.
//
// A reset is shorter than the datagram that it answers. This prevents endless
// loops between two endpoints that both send resets, and amplification towards a
// forged source address. An agent keeps the reset key that it started with, so
// reset sends one reset for each key during a key rotation.
func (x *resetter) reset(ks resetKeys, p []byte, to netip.AddrPort, out *link.Socket, now uint32) bool {
	class, cid := quiclb.Classify(p)
	n := min(maxResetLen, len(p)-1)
	if class != quiclb.ClassEstablished || !quiclb.IsShort(p) || n < minResetLen {
		return false
	}
	x.setKeys(ks)
	sent := false
	for _, h := range x.hash {
		if !x.allow(now) {
			break
		}
		sent = true
		b := x.buffer[:n]
		rand.Read(b)
		b[0] = b[0]&shortMask | shortForm
		h.Reset()
		h.Write(cid)
		var sum [sha256.Size]byte
		copy(b[n-resetTokenLen:], h.Sum(sum[:0]))
		out.WriteToUDPAddrPort(b, to)
	}
	return sent
}

// setKeys creates the HMACs of the keys unless they exist already.
func (x *resetter) setKeys(ks resetKeys) {
	if len(x.keys) == len(ks) && (len(ks) == 0 || &x.keys[0] == &ks[0]) {
		return
	}
	x.keys, x.hash = ks, nil
	for _, k := range ks {
		x.hash = append(x.hash, hmac.New(sha256.New, k))
	}
}

// allow consumes one of this second's resets and reports whether one was left.
func (x *resetter) allow(now uint32) bool {
	if now != x.second {
		x.second, x.sent = now, 0
	}
	x.sent++
	return x.sent <= maxResetsPerSecond
}
