package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
)

// Limits of a State. Entries beyond them are refused and counted, so that a faulty peer
// can't exhaust the memory of the process.
const (
	MaxMembers  = 20_000
	MaxOpinions = 60_000
	// tombstoneTTL is how long the record of a member that left is kept, so that a late
	// copy of an earlier record isn't added as a new member.
	tombstoneTTL = 10 * time.Minute
	// maxRecentBundles is how many bundles before the one in force are kept. For a
	// process that still has one of them, package peer uses it to compress the new one.
	maxRecentBundles = 3
)

// Change is the part of a State that has changed since a revision.
type Change struct {
	// Epoch identifies the State whose revisions these are. A restart begins a new epoch.
	Epoch    uint64         `json:"epoch"`
	Revision uint64         `json:"revision"`
	Bundle   *bundle.Signed `json:"bundle,omitempty"`
	Members  []Member       `json:"members,omitempty"`
	Opinions []Opinion      `json:"opinions,omitempty"`
}

// MergeResult reports what a merge changed and refused.
type MergeResult struct {
	// Joined are the new members. Changed are the known members with a newer record.
	// Opinions is the number of new and newer opinions. Refused is the number of members
	// and opinions beyond the limits. Bundle is set if a new bundle is in force.
	Joined, Changed   []Member
	Opinions, Refused int
	Bundle            bool
	// Err is the reason why a bundle was refused.
	Err error
}

// Any reports whether anything changed.
func (m MergeResult) Any() bool { return m.Bundle || len(m.Joined)+len(m.Changed)+m.Opinions > 0 }

// entry is a member or an opinion with the time and revision of its changes.
type entry[T any] struct {
	v        T
	revision uint64
	// changedAt is when the content last changed. refreshedAt is when the opinion was last
	// received, changed or not; it is not used for members.
	changedAt, refreshedAt time.Time
}

// State is a process's view of the fleet. It is safe for concurrent use.
type State struct {
	verifier *bundle.Verifier
	epoch    uint64

	mu       sync.Mutex
	revision uint64
	// generation increases with every change of members, opinions or the bundle.
	generation uint64
	members    map[MemberID]*entry[Member]
	opinions   map[opinionKey]*entry[Opinion]
	accepted   *bundle.Accepted
	// recent holds the texts of bundles that were in force before, the latest first.
	recent  []string
	changed chan struct{}
}

// NewState returns an empty State that accepts bundles signed with the verifier's keys.
func NewState(v *bundle.Verifier) *State {
	return &State{
		verifier: v,
		epoch:    uint64(NewIncarnation()),
		members:  map[MemberID]*entry[Member]{},
		opinions: map[opinionKey]*entry[Opinion]{},
		changed:  make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ClosedChannel returns a closed channel. A loop that waits for changes uses it in the
// first round, in order to read the present state at once.
func ClosedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Accepted returns the bundle in force, or nil if none has been accepted yet.
func (s *State) Accepted() *bundle.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// RecentBundles returns the texts of the last bundles before the one in force, the
// latest first.
func (s *State) RecentBundles() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent
}

// Snapshot returns all members, sorted by ID, and all opinions.
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

// Since returns what has changed after the revision. It returns everything if the epoch
// is not that of s or the revision is higher than the present one. The bundle is
// included if its version is higher than have.
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

// Merge merges another process's view into s.
func (s *State) Merge(c Change) MergeResult {
	var m MergeResult
	if c.Bundle != nil {
		m.Bundle, m.Err = s.mergeBundle(*c.Bundle)
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
		s.notify()
	}
	return m
}

// Generation returns a number that increases with every change of s.
func (s *State) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// notify wakes the goroutines that wait for a change. The caller must hold s.mu.
func (s *State) notify() {
	s.generation++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) mergeMember(v *Member, m *MergeResult) {
	h, ok := s.members[v.ID]
	if ok && !v.Newer(&h.v) {
		return
	}
	if !ok && len(s.members) >= MaxMembers {
		m.Refused++
		return
	}
	s.revision++
	s.members[v.ID] = &entry[Member]{v: *v, revision: s.revision, changedAt: time.Now()}
	if ok {
		m.Changed = append(m.Changed, *v)
	} else {
		m.Joined = append(m.Joined, *v)
	}
}

func (s *State) mergeOpinion(v *Opinion, m *MergeResult) {
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
	n := &entry[Opinion]{v: *v, revision: s.revision, changedAt: now, refreshedAt: now}
	if ok && h.v.Doubted == v.Doubted && h.v.Life == v.Life {
		n.changedAt = h.changedAt
	}
	s.opinions[k] = n
	m.Opinions++
}

// mergeBundle verifies a bundle and accepts it if its version is higher.
//
// A slow peer, a platform restored from a backup or a replay can deliver an older
// bundle. Accepting it would revert what operators were told is in force, so a version
// that is not higher than the accepted one is refused for as long as the process runs.
func (s *State) mergeBundle(b bundle.Signed) (bool, error) {
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
		return false, eris.Errorf("bundle version %d is not higher than version %d in force", a.Version, s.accepted.Version)
	}
	if s.accepted != nil {
		s.recent = append([]string{s.accepted.Signed.Text}, s.recent[:min(len(s.recent), maxRecentBundles-1)]...)
	}
	s.accepted = a
	s.notify()
	return true, nil
}

// RemoveExpired removes members that left and opinions on incarnations that ended, once
// tombstoneTTL has passed since they last changed. It returns how many it removed.
func (s *State) RemoveExpired() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, h := range s.members {
		if h.v.Phase == PhaseLeft && time.Since(h.changedAt) > tombstoneTTL {
			delete(s.members, id)
			n++
		}
	}
	for k, h := range s.opinions {
		m, ok := s.members[k.subject]
		ended := !ok || m.v.Incarnation > h.v.Life || m.v.Phase == PhaseLeft
		if ended && time.Since(h.changedAt) > tombstoneTTL {
			delete(s.opinions, k)
			n++
		}
	}
	if n > 0 {
		s.notify()
	}
	return n
}

const (
	// singleDoubtDelay is how long the doubt of a single balancer must last to be
	// enough. By then a second observer would have reported too, if one were alive.
	singleDoubtDelay = 10 * time.Second
	// DoubtInterval is how often an observer repeats that it doubts a member. doubtTTL
	// is how long a doubt counts after the last repetition. Without it, the doubt of an
	// observer that failed itself would count forever.
	DoubtInterval = 30 * time.Second
	doubtTTL      = 3 * DoubtInterval
)

// Doubted returns the members whose current incarnation is considered failed.
//
// An observer that is cut off itself doubts every member. So a member counts as doubted
// only if two observers doubt it, or one has doubted it for longer than
// singleDoubtDelay. A wrong result breaks no flow: it only makes the member a later
// choice when a new flow is opened.
func (s *State) Doubted() map[MemberID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[MemberID]int{}
	for k, h := range s.opinions {
		m, ok := s.members[k.subject]
		if !ok || !h.v.Doubted || h.v.Life != m.v.Incarnation || time.Since(h.refreshedAt) > doubtTTL {
			continue
		}
		count[k.subject]++
		if time.Since(h.changedAt) > singleDoubtDelay {
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
