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

// headerFree carries a sibling's free slots in each of its answers.
const headerFree = "Pomeloway-Free"

// freeSlotsTTL is how long a sibling's count of free slots is worth anything.
const freeSlotsTTL = time.Second

// siblings are the agents of the same service and what they last said of their
// free slots.
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

// set takes the ready, undoubted agents of the service from the members.
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

// recordFreeSlots takes the count of free slots from a sibling's answer.
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

// pick returns the sibling to try: of two at random that were not tried, the
// one that said to have more free slots, unless that is too long ago. Two
// choices spread nearly as well as all, and keep the whole service from running
// to the same one (Mitzenmacher, 2001).
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

// assumedFreeSlots ranks a sibling that said nothing lately above one that said to
// be full.
const assumedFreeSlots = 1

func (s *siblings) lastFreeSlots(id fleet.MemberID) int {
	f, ok := s.freeSlots[id]
	if !ok || time.Since(f.at) > freeSlotsTTL {
		return assumedFreeSlots
	}
	return f.slots
}

// home returns the address of a key's home if that life is still there.
func homeAlive(st *fleet.State, peer string, incarnation fleet.Incarnation) bool {
	ms, _ := st.Snapshot()
	for _, m := range ms {
		if m.Peer.String() == peer {
			return m.Incarnation == incarnation && m.Phase != fleet.PhaseLeft
		}
	}
	// A view that lacks the home may be the one at fault; the call will tell.
	return true
}
