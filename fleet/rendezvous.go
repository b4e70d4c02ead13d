package fleet

// Rendezvous hashing (Thaler and Ravishankar, 1998): each key ranks all members
// by a hash of the pair, so a member that comes or goes moves only the keys
// that rank it first. Ranking costs one hash a member; the lists here are those
// of one service or one zone, a few dozen at most. Given up: weights, since all
// upstreams of a service have the same limits.

import (
	"cmp"
	"slices"

	"github.com/dchest/siphash"

	"pomeloway.example/pomeloway/bundle"
)

// Fixed keys: every process must rank alike, and nothing here is secret.
const (
	rankKey0 = 0x706f6d656c6f7761
	rankKey1 = 0x792072616e6b2031
)

// HashOf returns the fixed hash of a text or identifier.
func HashOf(b []byte) uint64 { return siphash.Hash(rankKey0, rankKey1, b) }

// Mix combines two hashes into one that is uniform in both (the finalizer of
// SplitMix64 by Steele, Lea and Flood).
func Mix(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the n members that the key ranks first.
func Rank(key uint64, ms []Member, n int) []Member {
	type ranked struct {
		score uint64
		m     Member
	}
	rs := make([]ranked, len(ms))
	for i := range ms {
		rs[i] = ranked{Mix(key, HashOf([]byte(ms[i].ID))), ms[i]}
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), compare(a.m.ID, b.m.ID))
	})
	rs = rs[:min(n, len(rs))]
	out := make([]Member, len(rs))
	for i := range rs {
		out[i] = rs[i].m
	}
	return out
}

// observers is how many balancers watch over one agent.
const observers = 3

// Observers returns the balancers that watch over the member: of its own
// availability zone first, so that a zone that loses the others still has them.
//
// A balancer that died stays a member until its object is removed. Were it
// chosen still, an agent could end with dead observers only; it shows as an
// agent that nobody sends heartbeats to, which then answers callers through the
// dead. So the doubted are passed over.
func Observers(subject MemberID, ms []Member, doubts map[MemberID]bool, zone bundle.ZoneID) []Member {
	var own, other []Member
	for _, m := range ms {
		if m.Role != RoleBalancer || m.Phase != PhaseReady || m.ID == subject || doubts[m.ID] {
			continue
		}
		if m.Zone == zone {
			own = append(own, m)
		} else {
			other = append(other, m)
		}
	}
	k := HashOf([]byte(subject))
	out := Rank(k, own, observers)
	if len(out) < observers {
		out = append(out, Rank(k, other, observers-len(out))...)
	}
	return out
}
