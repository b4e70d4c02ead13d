package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pomeloway.example/pomeloway/bundle"
)

func member(r Role, host byte, zone bundle.ZoneID) Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(zone), host}), 7001)
	m := Member{ID: NewID(r, a), Role: r, Zone: zone, Link: a, Peer: netip.AddrPortFrom(a.Addr(), 7002), Incarnation: 1, Phase: PhaseReady}
	if r == RoleAgent {
		m.Service = 1
	}
	return m
}

// Views arrive by any path, late, more than once and out of order. If the result
// depended on the order, processes would keep different views, and balancers would
// permanently send the datagrams of one opening to different agents.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts []Change
		for range rapid.IntRange(1, 12).Draw(t, "parts") {
			m := member(RoleAgent, byte(rapid.IntRange(1, 3).Draw(t, "host")), 1)
			m.Incarnation = Incarnation(rapid.IntRange(1, 3).Draw(t, "life"))
			m.Revision = Revision(rapid.IntRange(0, 3).Draw(t, "revision"))
			// A revision of an incarnation has only one content, since only its owner writes it.
			m.Phase = []Phase{PhaseReady, PhaseLeaving, PhaseLeft}[int(m.Revision)%3]
			o := Opinion{Observer: "b", Subject: m.ID, Life: m.Incarnation, Stamp: uint64(rapid.IntRange(1, 5).Draw(t, "stamp"))}
			o.Doubted = o.Stamp%2 == 0
			o.Life = Incarnation(o.Stamp)
			parts = append(parts, Change{Members: []Member{m}, Opinions: []Opinion{o}})
		}
		a, b := NewState(nil), NewState(nil)
		for _, p := range parts {
			a.Merge(p)
		}
		for _, i := range rapid.Permutation(indexes(len(parts))).Draw(t, "order") {
			b.Merge(parts[i])
			b.Merge(parts[i])
		}
		am, ao := a.Snapshot()
		bm, bo := b.Snapshot()
		if !reflect.DeepEqual(am, bm) || len(ao) != len(bo) {
			t.Fatalf("views differ: %v %v, %v %v", am, ao, bm, bo)
		}
	})
}

func indexes(n int) []int {
	x := make([]int, n)
	for i := range x {
		x[i] = i
	}
	return x
}

func TestSinceReturnsOnlyChanges(t *testing.T) {
	s := NewState(nil)
	s.Merge(Change{Members: []Member{member(RoleAgent, 1, 1)}})
	first := s.Since(0, 0, 0)
	s.Merge(Change{Members: []Member{member(RoleAgent, 2, 1)}})
	for name, x := range map[string]struct {
		epoch, revision uint64
		want            int
	}{
		"first revision":   {first.Epoch, first.Revision, 1},
		"no revision":      {0, 0, 2},
		"other epoch":      {first.Epoch + 1, first.Revision, 2},
		"future revision":  {first.Epoch, 99, 2},
		"present revision": {first.Epoch, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if c := s.Since(x.epoch, x.revision, 0); len(c.Members) != x.want {
				t.Errorf("%d members, want %d", len(c.Members), x.want)
			}
		})
	}
}

// A slow peer, or a platform restored from last night's backup, delivers a bundle that
// was in force before. Accepting it would silently revert what operators were told is
// in force.
func TestBundleVersionNeverDecreases(t *testing.T) {
	key, v, err := bundle.NewOperatorKey()
	if err != nil {
		t.Fatal(err)
	}
	s := NewState(v)
	signed := func(version bundle.Version, comment string) *bundle.Signed {
		text := fmt.Sprintf("# %s\nzones: [{id: 1, name: z, state: in}]\nkeys: [{id: 1, fingerprint: ab}]\ncurrentKey: 1\nservices: []\n", comment)
		b, err := bundle.Sign([]byte(text), bundle.Stamp{Version: version}, key)
		if err != nil {
			t.Fatal(err)
		}
		return &b
	}
	for _, x := range []struct {
		name    string
		version bundle.Version
		taken   bool
		want    bundle.Version
	}{{"first", 2, true, 2}, {"newer", 5, true, 5}, {"older", 4, false, 5}, {"same version, other text", 5, false, 5}, {"first again", 2, false, 5}} {
		m := s.Merge(Change{Bundle: signed(x.version, x.name)})
		if m.Bundle != x.taken || s.Accepted().Version != x.want {
			t.Errorf("%s: accepted %t (%v), in force %d", x.name, m.Bundle, m.Err, s.Accepted().Version)
		}
	}
	if m := s.Merge(Change{Bundle: &bundle.Signed{Text: "services: []"}}); m.Bundle || m.Err == nil {
		t.Error("an unsigned bundle was accepted")
	}
}

// A balancer that loses its link receives no heartbeats and doubts every agent. If the
// doubt of one balancer were enough at once, all these agents would be considered failed,
// and new flows would overload the few others.
func TestDoubtedNeedsTwoObserversOrLastingDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState(nil)
		m := member(RoleAgent, 1, 1)
		s.Merge(Change{Members: []Member{m}})
		report := func(by MemberID, doubted bool, life Incarnation) {
			s.Merge(Change{Opinions: []Opinion{{Observer: by, Subject: m.ID, Life: life, Doubted: doubted, Stamp: uint64(time.Now().UnixMicro())}}})
			time.Sleep(time.Millisecond)
		}
		check := func(what string, want bool) {
			t.Helper()
			if s.Doubted()[m.ID] != want {
				t.Errorf("%s: doubted %t", what, !want)
			}
		}
		report("b1", true, 1)
		check("one doubts", false)
		report("b2", true, 1)
		check("two doubt", true)
		report("b2", false, 1)
		check("one withdraws its doubt", false)
		time.Sleep(singleDoubtDelay + time.Second)
		check("the other's doubt lasts", true)
		m.Incarnation = 2
		s.Merge(Change{Members: []Member{m}})
		check("the next incarnation", false)
	})
}

func TestRemoveExpiredAfterTombstoneTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState(nil)
		m := member(RoleAgent, 1, 1)
		m.Phase = PhaseLeft
		s.Merge(Change{Members: []Member{m}, Opinions: []Opinion{{Observer: "b", Subject: m.ID, Life: 1, Stamp: 1}}})
		s.RemoveExpired()
		if ms, _ := s.Snapshot(); len(ms) != 1 {
			t.Fatal("the member was removed at once; a late copy of its record would be added as a new member")
		}
		time.Sleep(tombstoneTTL + time.Second)
		before, changed := s.Generation(), s.Changed()
		s.RemoveExpired()
		if ms, os := s.Snapshot(); len(ms)+len(os) != 0 {
			t.Errorf("not removed after tombstoneTTL: %v %v", ms, os)
		}
		select {
		case <-changed:
		default:
			t.Error("views of the state with the removed member stay in use")
		}
		if s.Generation() == before {
			t.Error("the removal is no new generation")
		}
	})
}

func TestRankMovesOnlyKeysOfRemovedMember(t *testing.T) {
	var ms []Member
	for i := range 10 {
		ms = append(ms, member(RoleAgent, byte(i+1), 1))
	}
	moved, load := 0, map[MemberID]int{}
	const keys = 10_000
	for k := range uint64(keys) {
		h := Mix(k, 99)
		before, after := Rank(h, ms, 1)[0], Rank(h, ms[1:], 1)[0]
		load[before.ID]++
		if before.ID != after.ID && before.ID != ms[0].ID {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("%d keys moved between members that were not removed", moved)
	}
	for id, n := range load {
		if n < keys/10*8/10 || n > keys/10*12/10 {
			t.Errorf("%s has %d of %d keys", id, n, keys)
		}
	}
}

func FuzzMember(f *testing.F) {
	b, _ := json.Marshal(member(RoleAgent, 1, 1))
	f.Add(b)
	f.Add([]byte(`{"id":"agent-[::1]:1","role":"agent","link":"[::1]:1"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Member
		if json.Unmarshal(b, &m) == nil && m.Check() != nil {
			t.Errorf("decoded a member that fails its own check: %v", m.Check())
		}
	})
}

// Balancers fail one after another, and their objects stay in the platform for minutes.
// An agent whose three observers had all failed received no heartbeats. It sent the lines
// of its feeds (long-lived streaming responses) through failed balancers, so the lines did
// not reach the callers.
func TestObserversExcludeDoubtedBalancers(t *testing.T) {
	var ms []Member
	doubts := map[MemberID]bool{}
	for i := range 20 {
		m := member(RoleBalancer, byte(i+1), bundle.ZoneID(i%3+1))
		ms = append(ms, m)
		doubts[m.ID] = i < 18
	}
	for i := range 50 {
		for _, o := range Observers(member(RoleAgent, byte(i+1), 1).ID, ms, doubts, 1) {
			if doubts[o.ID] {
				t.Fatalf("agent %d has an observer that failed", i)
			}
		}
	}
}

// An observer that doubts a member and then fails itself never withdraws its doubt. If
// the doubt did not expire, a healthy member would stay the last choice for new flows
// until an operator intervened.
func TestDoubtOfFailedObserverExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState(nil)
		m := member(RoleAgent, 1, 1)
		s.Merge(Change{Members: []Member{m}, Opinions: []Opinion{{Observer: "b1", Subject: m.ID, Life: 1, Doubted: true, Stamp: 1}}})
		time.Sleep(singleDoubtDelay + time.Second)
		if !s.Doubted()[m.ID] {
			t.Error("a lasting doubt of one observer does not count")
		}
		time.Sleep(doubtTTL)
		if s.Doubted()[m.ID] {
			t.Error("the doubt of a failed observer still counts after doubtTTL")
		}
	})
}
