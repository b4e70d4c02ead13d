package datagram

import (
	"encoding/binary"
	"iter"
	"maps"
	"math/bits"
	"slices"
)

// An agent's home set on the wire. A small set is listed. A larger one is sent as a bitmap over the
// balancers that the agent knows, in the order of their addresses, together with the digest of
// these. A balancer that knows the same ones can read it. Which balancers are known changes seldom;
// which of them belong to the set changes whenever some fail, and not everywhere at once: an agent
// that starts while an availability zone is away never hears the balancers there. The bitmap answers
// a status that a balancer sends because of the difference; see resolveMismatch.

// knownDigest returns the digest of the balancers.
func knownDigest(ips iter.Seq[IP]) (d uint64) {
	for ip := range ips {
		d ^= digestOf([]IP{ip})
	}
	return d
}

// appendBitmap appends the digest of the known balancers and a bit for each of them, which is set
// if the balancer belongs to the home set.
func (s *homeSet) appendBitmap(b []byte, known *homeSet) []byte {
	b = binary.BigEndian.AppendUint64(b, known.digest)
	at := len(b)
	b = append(b, make([]byte, (len(known.ips)+7)/8)...)
	i := 0
	for n, ip := range known.ips {
		for i < len(s.ips) && s.ips[i] < ip {
			i++
		}
		if i < len(s.ips) && s.ips[i] == ip {
			b[at+n/8] |= 1 << (n % 8)
		}
	}
	return b
}

// decodeBitmap returns the balancers whose bits are set. It returns false if the bitmap is of other
// known balancers.
func decodeBitmap(b []byte, known *homeSet) (ips []IP, ok bool) {
	if len(b) != bitmapLen(len(known.ips)) || binary.BigEndian.Uint64(b) != known.digest {
		return nil, false
	}
	for n, x := range b[bitmapLen(0):] {
		for ; x != 0; x &= x - 1 {
			i := 8*n + bits.TrailingZeros8(x)
			if i >= len(known.ips) {
				return nil, false
			}
			ips = append(ips, known.ips[i])
		}
	}
	return ips, true
}

// bitmapLen returns the length of a bitmap of n known balancers, with its digest.
func bitmapLen(n int) int { return 8 + (n+7)/8 }

// knownBalancers returns the balancers that the agent knows, of which some may never have been
// heard.
func (a *Agent) knownBalancers() *homeSet {
	if d := knownDigest(maps.Keys(a.balancers)); d != a.known.digest || len(a.known.ips) != len(a.balancers) {
		a.known = newHomeSet(slices.Collect(maps.Keys(a.balancers)), nil)
	}
	return &a.known
}

// knownBalancers returns this balancer and those that it knows, of which some may never have been
// heard.
func (b *Balancer) knownBalancers() *homeSet {
	d := knownDigest(maps.Keys(b.peers)) ^ digestOf([]IP{b.Self})
	if d != b.known.digest || len(b.known.ips) != len(b.peers)+1 {
		b.known = newHomeSet(append(slices.Collect(maps.Keys(b.peers)), b.Self), b.zoneOf)
	}
	return &b.known
}
