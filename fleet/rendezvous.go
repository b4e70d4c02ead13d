package fleet

// Rendezvous hashing (Thaler and Ravishankar, 1998): each key ranks all members by a
// hash of key and member, so adding or removing a member moves only the keys that rank
// it first. Ranking costs one hash per member. The lists here contain the members of
// one service or one zone, a few dozen at most. Weights are not supported, because all
// upstreams of a service have the same limits.

import (
	"cmp"
	"slices"

	"github.com/dchest/siphash"

	"pomeloway.example/pomeloway/bundle"
)

// The keys are fixed because every process must compute the same ranking. They are not secret.
const (
	rankKey0 = 0x706f6d656c6f7761
	rankKey1 = 0x792072616e6b2031
)

// HashOf returns the hash of a text or identifier, which is the same in every process.
func HashOf(b []byte) uint64 { return siphash.Hash(rankKey0, rankKey1, b) }

// Mix combines two hashes into one that is uniform in both. It uses the finalizer of
// SplitMix64 by Steele, Lea and Flood.
func Mix(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the first n members in the ranking of the key, or all if there are fewer.
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

// observersPerAgent is the number of balancers that monitor one agent.
const observersPerAgent = 3

// Observers returns the balancers that monitor the member. Balancers of its own
// availability zone come first, so that the member is still monitored when its zone is
// cut off from the others.
//
// Doubted balancers are skipped. A balancer that failed stays a member until its object
// is removed from the platform, so an agent could otherwise have only failed observers.
// Such an agent receives no heartbeats and sends its responses to callers through failed
// balancers.
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
	out := Rank(k, own, observersPerAgent)
	if len(out) < observersPerAgent {
		out = append(out, Rank(k, other, observersPerAgent-len(out))...)
	}
	return out
}
