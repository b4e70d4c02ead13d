package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
)

// Bounds of a State: what is beyond them is refused and counted, so that a
// faulty peer can't make the process outgrow its memory.
const (
	MaxMembers  = 20_000
	MaxOpinions = 60_000
	// tombstoneLife is how long the record of a member that left is kept, so
	// that a late copy of its last life isn't taken for a new member.
	tombstoneLife = 10 * time.Minute
	// recentBundles is how many bundles before the one in force are kept, for
	// followers that have one of them.
	recentBundles = 3
)

// Change is a part of a State that has changed since a revision.
type Change struct {
	// Epoch names the life of the State that revisions count in.
	Epoch    uint64         `json:"epoch"`
	Revision uint64         `json:"revision"`
	Bundle   *bundle.Signed `json:"bundle,omitempty"`
	Members  []Member       `json:"members,omitempty"`
	Opinions []Opinion      `json:"opinions,omitempty"`
}

// Merged says what a merge changed and refused.
type Merged struct {
	// Joined and Changed are the members that are new or have a new record.
	Joined, Changed   []Member
	Opinions, Refused int
	Bundle            bool
	// Err tells why a bundle was refused.
	Err error
}

// Any reports whether anything changed.
func (m Merged) Any() bool { return m.Bundle || len(m.Joined)+len(m.Changed)+m.Opinions > 0 }

type held[T any] struct {
	v        T
	revision uint64
	// since is when the present content came about, heard when its owner last
	// said it.
	since, heard time.Time
}

// State is a process's view of the fleet. Any goroutine may use it.
type State struct {
	verifier *bundle.Verifier
	epoch    uint64

	mu       sync.Mutex
	revision uint64
	// generation counts changes of any kind.
	generation uint64
	members    map[MemberID]*held[Member]
	opinions   map[opinionKey]*held[Opinion]
	accepted   *bundle.Accepted
	// recent are the texts of the bundles in force before, the latest first.
	recent  []string
	changed chan struct{}
}

// NewState returns an empty State that takes bundles of the verifier's keys.
func NewState(v *bundle.Verifier) *State {
	return &State{
		verifier: v,
		epoch:    uint64(NewIncarnation()),
		members:  map[MemberID]*held[Member]{},
		opinions: map[opinionKey]*held[Opinion]{},
		changed:  make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Immediately returns a channel that is closed already, in place of the first
// change for those who begin to follow.
func Immediately() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Accepted returns the bundle in force, or nil before the first.
func (s *State) Accepted() *bundle.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Recent returns the texts of some bundles before the one in force, the latest
// first.
func (s *State) Recent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent
}

// Snapshot returns all members and opinions.
func (s *State) Snapshot() ([]Member, []Opinion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := make([]Member, 0, len(s.members))
	for _, h := range s.members {
		ms = append(ms, h.v)
	}
	os := make([]Opinion, 0, len(s.opinions))
	for _, h := range s.opinions {
		os = append(os, h.v)
	}
	slices.SortFunc(ms, func(a, b Member) int { return compare(a.ID, b.ID) })
	return ms, os
}

func compare(a, b MemberID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Member returns the record of one member.
func (s *State) Member(id MemberID) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return h.v, true
}

// Since returns what has changed after the revision of the epoch. Another
// epoch's revision, or one from the future, gets everything.
func (s *State) Since(epoch, revision uint64, have bundle.Version) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epoch || revision > s.revision {
		revision = 0
	}
	c := Change{Epoch: s.epoch, Revision: s.revision}
	if s.accepted != nil && s.accepted.Version > have {
		b := s.accepted.Signed
		c.Bundle = &b
	}
	for _, h := range s.members {
		if h.revision > revision {
			c.Members = append(c.Members, h.v)
		}
	}
	for _, h := range s.opinions {
		if h.revision > revision {
			c.Opinions = append(c.Opinions, h.v)
		}
	}
	return c
}

// Merge takes in what another process knows.
func (s *State) Merge(c Change) Merged {
	var m Merged
	if c.Bundle != nil {
		m.Bundle, m.Err = s.offer(*c.Bundle)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range c.Members {
		s.mergeMember(&c.Members[n], &m)
	}
	for n := range c.Opinions {
		s.mergeOpinion(&c.Opinions[n], &m)
	}
	if len(m.Joined)+len(m.Changed)+m.Opinions > 0 {
		s.wake()
	}
	return m
}

// Generation returns a number that every change raises.
func (s *State) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// wake tells the waiting that something changed; s.mu is held.
func (s *State) wake() {
	s.generation++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) mergeMember(v *Member, m *Merged) {
	h, ok := s.members[v.ID]
	if ok && !v.Newer(&h.v) {
		return
	}
	if !ok && len(s.members) >= MaxMembers {
		m.Refused++
		return
	}
	s.revision++
	s.members[v.ID] = &held[Member]{v: *v, revision: s.revision, since: time.Now()}
	if ok {
		m.Changed = append(m.Changed, *v)
	} else {
		m.Joined = append(m.Joined, *v)
	}
}

func (s *State) mergeOpinion(v *Opinion, m *Merged) {
	k := v.key()
	h, ok := s.opinions[k]
	if ok && v.Stamp <= h.v.Stamp {
		return
	}
	if !ok && len(s.opinions) >= MaxOpinions {
		m.Refused++
		return
	}
	s.revision++
	now := time.Now()
	n := &held[Opinion]{v: *v, revision: s.revision, since: now, heard: now}
	if ok && h.v.Doubted == v.Doubted && h.v.Life == v.Life {
		n.since = h.since
	}
	s.opinions[k] = n
	m.Opinions++
}

// offer verifies a bundle and takes it if it is newer.
//
// A lower version from a slow peer, a platform restored from an old copy, or a
// replay would take back what operators were told is in force; it shows as a
// version not above the held one, and is refused for the life of the process.
func (s *State) offer(b bundle.Signed) (bool, error) {
	if cur := s.Accepted(); cur != nil && cur.Signed == b {
		return false, nil
	}
	a, err := s.verifier.Verify(b)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted != nil && a.Version <= s.accepted.Version {
		if a.Digest == s.accepted.Digest {
			return false, nil
		}
		return false, eris.Errorf("bundle version %d is not above version %d in force", a.Version, s.accepted.Version)
	}
	if s.accepted != nil {
		s.recent = append([]string{s.accepted.Signed.Text}, s.recent[:min(len(s.recent), recentBundles-1)]...)
	}
	s.accepted = a
	s.wake()
	return true, nil
}

// Collect forgets members that left long ago and opinions on lives that ended.
func (s *State) Collect() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, h := range s.members {
		if h.v.Phase == PhaseLeft && time.Since(h.since) > tombstoneLife {
			delete(s.members, id)
			n++
		}
	}
	for k, h := range s.opinions {
		m, ok := s.members[k.subject]
		ended := !ok || m.v.Incarnation > h.v.Life || m.v.Phase == PhaseLeft
		if ended && time.Since(h.since) > tombstoneLife {
			delete(s.opinions, k)
			n++
		}
	}
	return n
}

const (
	// loneDoubt is how long the doubt of one balancer must last to count alone:
	// by then a second observer would have spoken if it were still there.
	loneDoubt = 10 * time.Second
	// DoubtEvery is how often an observer says again that it doubts a member;
	// doubtLife is how long its word counts. The doubt of an observer that died
	// itself would stand for good otherwise.
	DoubtEvery = 30 * time.Second
	doubtLife  = 3 * DoubtEvery
)

// Doubted returns the members that are believed dead in their present life.
//
// One observer may be cut off itself and doubt everybody; so a verdict wants
// two, or one that lasts. A wrong verdict costs no flow: it only moves a member
// behind the others when a new flow is opened.
func (s *State) Doubted() map[MemberID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[MemberID]int{}
	for k, h := range s.opinions {
		m, ok := s.members[k.subject]
		if !ok || !h.v.Doubted || h.v.Life != m.v.Incarnation || time.Since(h.heard) > doubtLife {
			continue
		}
		count[k.subject]++
		if time.Since(h.since) > loneDoubt {
			count[k.subject]++
		}
	}
	out := map[MemberID]bool{}
	for id, n := range count {
		if n >= 2 {
			out[id] = true
		}
	}
	return out
}
