package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Each flow has two homes: balancers chosen by rendezvous hashing among those that are
// alive. The agent that holds the flow registers it there, and a balancer that does not know
// where the flow is asks them. So a lookup costs the same in a fleet of any size.
//
// A flow is also registered at a reserve home, which is asked if a home does not answer. It is in
// another availability zone than the homes; if both homes are in one zone, there are two. So every
// flow keeps two registrations if a zone fails, for as long as the fleet takes to notice.

// homesPerFlow is the number of homes of a flow, so that one of them may fail.
const homesPerFlow = 2

// homeSet is a set of balancers from which homes are chosen.
type homeSet struct {
	ips []IP // sorted
	// zones are the availability zones of ips, 0 where it is not known; nil if none is.
	zones []ZoneKey
	// digest identifies the set. Processes with different sets may choose different homes.
	digest uint64
}

// newHomeSet returns the set of the balancers. zoneOf returns a balancer's availability zone, or 0;
// it may be nil.
func newHomeSet(ips []IP, zoneOf func(IP) ZoneKey) homeSet {
	slices.Sort(ips)
	s := homeSet{ips: slices.Compact(ips)}
	s.digest = digestOf(s.ips)
	for i, ip := range s.ips {
		if zoneOf == nil || s.zones == nil && zoneOf(ip) == 0 {
			continue
		}
		if s.zones == nil {
			s.zones = make([]ZoneKey, len(s.ips))
		}
		s.zones[i] = zoneOf(ip)
	}
	return s
}

// zone returns the availability zone of the i-th balancer, or 0.
func (s *homeSet) zone(i int) ZoneKey {
	if s.zones == nil {
		return 0
	}
	return s.zones[i]
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

// maxReserves is the number of reserve homes of a flow whose homes are in one availability zone.
// Other flows have one.
const maxReserves = 2

// registration is where a flow is registered: its homes, and from index firstReserve on its reserve
// homes. An element is 0 if there are fewer.
type registration [homesPerFlow + maxReserves]IP

const firstReserve = homesPerFlow

// registration returns where the flow is registered. The reserve homes are the highest ranked
// balancers in other zones than the homes, or of all others if there are none.
func (s *homeSet) registration(f Flow) (r registration) {
	h := s.choose(f)
	copy(r[:], h[:])
	var used [homesPerFlow]ZoneKey
	for i, ip := range h {
		if at, ok := slices.BinarySearch(s.ips, ip); ok {
			used[i] = s.zone(at)
		}
	}
	reserves := 1
	if used[0] != 0 && used[0] == used[1] {
		reserves = maxReserves
	}
	type candidate struct {
		ip        IP
		otherZone bool
		score     uint64
	}
	var best [maxReserves]candidate
	key := f.hash()
	for i, ip := range s.ips {
		if h.has(ip) {
			continue
		}
		z := s.zone(i)
		c := candidate{ip, z != 0 && !slices.Contains(used[:], z), score(key, ip)}
		for j := range best[:reserves] {
			if o := best[j]; o.ip == 0 || c.otherZone && !o.otherZone || c.otherZone == o.otherZone && c.score > o.score {
				best[j], c = c, o
			}
			if c.ip == 0 {
				break
			}
		}
	}
	for j := range best {
		r[firstReserve+j] = best[j].ip
	}
	return r
}

// index returns the index of the balancer, or a negative number if it is not one of them.
func (r *registration) index(ip IP) int {
	if ip == 0 {
		return -1
	}
	return slices.Index(r[:], ip)
}

// hasDigest reports whether the set is not empty and has the digest.
func (s *homeSet) hasDigest(digest uint64) bool { return len(s.ips) > 0 && s.digest == digest }

func (s *homeSet) equal(o *homeSet) bool {
	return slices.Equal(s.ips, o.ips) && slices.Equal(s.zones, o.zones)
}

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
	at := slices.Index(h[:], ip)
	if at < 0 {
		at = maxHolders - 1
	}
	copy(h[1:at+1], h[:at])
	h[0] = ip
}

func (h *holders) list() []IP {
	n := slices.Index(h[:], 0)
	if n < 0 {
		n = maxHolders
	}
	return h[:n]
}
