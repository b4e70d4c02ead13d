package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Each flow has two homes: balancers chosen by rendezvous hashing among those that are
// alive. The agent that holds the flow registers it there, and a balancer that does not know
// where the flow is asks them. So a lookup costs the same in a fleet of any size.

// homesPerFlow is the number of homes of a flow, so that one of them may fail.
const homesPerFlow = 2

// homeSet is a set of balancers from which homes are chosen.
type homeSet struct {
	ips []IP // sorted
	// digest identifies the set. Processes with different sets may choose different homes.
	digest uint64
}

func newHomeSet(ips []IP) homeSet {
	slices.Sort(ips)
	ips = slices.Compact(ips)
	return homeSet{ips, digestOf(ips)}
}

// digestOf returns a digest of the set of addresses. Their order does not matter.
func digestOf(ips []IP) uint64 {
	d := uint64(0)
	for _, ip := range ips {
		d ^= fleet.Mix(uint64(ip), homesSalt)
	}
	return d
}

// homesSalt makes the digest independent of the ranks of addresses.
const homesSalt = 0x686f6d6573

// homes are the home balancers of a flow. An element is 0 if there are fewer balancers.
type homes [homesPerFlow]IP

// choose returns the homes for the flow.
func (s *homeSet) choose(f Flow) homes {
	var h homes
	var top [homesPerFlow]uint64
	key := f.hash()
	for _, ip := range s.ips {
		n := score(key, ip)
		for i := range h {
			if h[i] == 0 || n > top[i] {
				h[i], ip = ip, h[i]
				top[i], n = n, top[i]
			}
			if ip == 0 {
				break
			}
		}
	}
	return h
}

func (h homes) has(ip IP) bool { return slices.Contains(h[:], ip) }

// hasDigest reports whether the set is not empty and has the digest.
func (s *homeSet) hasDigest(digest uint64) bool { return len(s.ips) > 0 && s.digest == digest }

func (s *homeSet) equal(o *homeSet) bool { return slices.Equal(s.ips, o.ips) }

// minHomeTimeout lets a balancer stay a home while it restarts.
const minHomeTimeout = 6 * time.Second

// homeTimeout returns how long a balancer may be silent before its flows get another home,
// in a fleet of the given number of balancers.
func homeTimeout(balancers int) time.Duration {
	return max(minHomeTimeout, 3*farInterval(balancers))
}

// maxHolders bounds the agents that are recorded for one flow.
const maxHolders = 3

// holders are the agents that registered a flow as theirs, the latest first. There can be
// several, as two upstreams may have accepted the same opening, and callers reuse ports.
type holders [maxHolders]IP

func (h *holders) add(ip IP) {
	if slices.Contains(h[:], ip) {
		return
	}
	copy(h[1:], h[:])
	h[0] = ip
}

func (h *holders) list() []IP {
	n := slices.Index(h[:], 0)
	if n < 0 {
		n = maxHolders
	}
	return h[:n]
}
