package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Each flow has two home balancers, which rendezvous hashing chooses of those that are
// alive. The agent that holds the flow tells them so, and a balancer that does not know
// where the flow is asks them. So a lookup costs the same in any fleet.

// homesEach is how many homes a flow has, so that one of them may die.
const homesEach = 2

// homeSet is the balancers among which homes are chosen.
type homeSet struct {
	ips []IP // in order
	// digest tells sets apart. Processes with other sets may choose other homes.
	digest uint64
}

func newHomeSet(ips []IP) homeSet {
	slices.Sort(ips)
	ips = slices.Compact(ips)
	return homeSet{ips, digestOf(ips)}
}

// digestOf returns a digest of the set of addresses, in whatever order they are.
func digestOf(ips []IP) uint64 {
	d := uint64(0)
	for _, ip := range ips {
		d ^= fleet.Mix(uint64(ip), homesSalt)
	}
	return d
}

// homesSalt keeps the digest apart from the ranks of addresses.
const homesSalt = 0x686f6d6573

// homes are a flow's home balancers; 0 stands where there is none.
type homes [homesEach]IP

// of returns the homes of the flow.
func (s *homeSet) of(f Flow) homes {
	var h homes
	var top [homesEach]uint64
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

// knows reports whether the digest is that of the set.
func (s *homeSet) knows(digest uint64) bool { return len(s.ips) > 0 && s.digest == digest }

func (s *homeSet) equal(o *homeSet) bool { return slices.Equal(s.ips, o.ips) }

// homeSilentLeast keeps a balancer a home through a restart.
const homeSilentLeast = 6 * time.Second

// homeSilentAfter is how long a balancer may be silent before its flows get another
// home, in a fleet with so many balancers.
func homeSilentAfter(balancers int) time.Duration {
	return max(homeSilentLeast, 3*farEvery(balancers))
}

// holdersMost bounds the agents that are remembered for one flow.
const holdersMost = 3

// holders are the agents that said that they hold a flow, the latest first. Two
// upstreams may have accepted one opening, and ports are used again.
type holders [holdersMost]IP

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
		n = holdersMost
	}
	return h[:n]
}
