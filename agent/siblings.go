package agent

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
)

// headerFree carries the number of free slots of an agent, in each of its responses to
// a sibling.
const headerFree = "Pomeloway-Free"

// freeSlotsTTL is how long a sibling's reported number of free slots is used.
const freeSlotsTTL = time.Second

// siblings holds the other agents of the same service and the free slots that they last
// reported.
type siblings struct {
	service bundle.ServiceID
	self    fleet.MemberID

	mu        sync.Mutex
	ready     []fleet.Member
	freeSlots map[fleet.MemberID]freeSlots
}

type freeSlots struct {
	slots int
	at    time.Time
}

// set replaces the list of siblings. It takes the agents of the service that are ready,
// not doubted and in a zone that is not out.
func (s *siblings) set(ms []fleet.Member, doubts map[fleet.MemberID]bool, b *bundle.Bundle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = nil
	for _, m := range ms {
		ok := m.Role == fleet.RoleAgent && m.Service == s.service && m.Phase == fleet.PhaseReady
		if ok && m.ID != s.self && !doubts[m.ID] && !b.ZoneOut(m.Zone) {
			s.ready = append(s.ready, m)
		}
	}
}

// recordFreeSlots records the number of free slots that a sibling's response reports.
func (s *siblings) recordFreeSlots(id fleet.MemberID, h http.Header) {
	n, err := strconv.Atoi(h.Get(headerFree))
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeSlots == nil {
		s.freeSlots = map[fleet.MemberID]freeSlots{}
	}
	s.freeSlots[id] = freeSlots{slots: n, at: time.Now()}
}

// pick returns the sibling to try next. It selects two untried ones at random and
// returns the one that reported more free slots, unless the reports are too old. Two
// choices spread requests nearly as well as comparing all siblings, and prevent all
// agents of the service from picking the same one (power of two choices; Mitzenmacher,
// 2001).
func (s *siblings) pick(tried map[fleet.MemberID]bool) (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var left []fleet.Member
	for _, m := range s.ready {
		if !tried[m.ID] {
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		return fleet.Member{}, false
	}
	rand.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	if len(left) > 1 && s.lastFreeSlots(left[1].ID) > s.lastFreeSlots(left[0].ID) {
		return left[1], true
	}
	return left[0], true
}

// assumedFreeSlots ranks a sibling without a recent report above one that reported no
// free slot.
const assumedFreeSlots = 1

func (s *siblings) lastFreeSlots(id fleet.MemberID) int {
	f, ok := s.freeSlots[id]
	if !ok || time.Since(f.at) > freeSlotsTTL {
		return assumedFreeSlots
	}
	return f.slots
}

// mayBeAlive reports whether the agent at the address may still run as the given
// incarnation. It returns true for an agent that the fleet's view does not contain.
func mayBeAlive(st *fleet.State, peer string, incarnation fleet.Incarnation) bool {
	ms, _ := st.Snapshot()
	for _, m := range ms {
		if m.Peer.String() == peer {
			return m.Incarnation == incarnation && m.Phase != fleet.PhaseLeft
		}
	}
	// The view may be incomplete. A call to the agent will show whether it runs.
	return true
}
