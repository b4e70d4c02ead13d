package balancer

import (
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/peer"
)

func testObserver(t *testing.T, ms ...fleet.Member) *observer {
	t.Helper()
	a := netip.MustParseAddrPort("127.0.0.1:7001")
	self := fleet.Member{ID: fleet.NewID(fleet.RoleBalancer, a), Role: fleet.RoleBalancer, Zone: 1, Link: a, Peer: a, Incarnation: 1, Phase: fleet.PhaseReady}
	log := events.NewLog(slog.New(slog.DiscardHandler))
	n := peer.NewNode(fleet.NewState(nil), nil, nil, log, self)
	n.State.Merge(fleet.Change{Members: ms})
	var v atomic.Pointer[View]
	v.Store(&View{linkKeys: link.NewKeys(keyring.Ring{secret})})
	return &observer{node: n, link: socket(t), view: &v, log: log}
}

// runTicks calls tick at each heartbeat interval of the duration and returns the
// time of the next tick.
func (o *observer) runTicks(from time.Time, d time.Duration) time.Time {
	for end := from.Add(d); from.Before(end); from = from.Add(heartbeatInterval) {
		o.tick(from)
	}
	return from
}

// A balancer's VM is paused for a minute, as in a live migration. Afterwards every
// member appears to have been silent for a minute. If two balancers doubted all
// members after such pauses, the fleet would consider every agent failed at once.
func TestPausedObserverDoubtsNoMember(t *testing.T) {
	m := agentAt(1, 1, 1)
	m.Incarnation = 5
	start := time.Unix(1_800_000_000, 0)
	for name, x := range map[string]struct {
		pause, silent time.Duration
		doubted       bool
	}{
		"member silent":                       {0, 4 * time.Second, true},
		"observer paused":                     {time.Minute, time.Second, false},
		"observer paused, then member silent": {time.Minute, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			o := testObserver(t, m)
			o.updateSubjects(start)
			now := o.runTicks(start, time.Second)
			o.handleAck(ack{from: m.Link, incarnation: 5}, now)
			now = o.runTicks(now.Add(x.pause), x.silent)
			if s := o.subjects[m.Link]; s == nil || s.doubted != x.doubted {
				t.Errorf("subject has the wrong doubt or is missing: %+v", s)
			}
			o.handleAck(ack{from: m.Link, incarnation: 4}, now)
			if x.doubted != o.subjects[m.Link].doubted {
				t.Error("an acknowledgement of an earlier incarnation changed the doubt")
			}
			o.handleAck(ack{from: m.Link, incarnation: 5}, now)
			if o.subjects[m.Link].doubted {
				t.Error("an acknowledgement did not clear the doubt")
			}
		})
	}
}

// An observer stops observing a member that it doubts. Only the observer itself
// can withdraw its opinion; otherwise the doubt would remain.
func TestDoubtIsWithdrawnOnReassignment(t *testing.T) {
	m := agentAt(1, 1, 1)
	m.Incarnation = 5
	start := time.Unix(1_800_000_000, 0)
	o := testObserver(t, m)
	o.updateSubjects(start)
	now := o.runTicks(start, 4*time.Second)
	m.Phase, m.Revision = fleet.PhaseLeft, 1
	o.node.State.Merge(fleet.Change{Members: []fleet.Member{m}})
	o.updateSubjects(now)
	_, os := o.node.State.Snapshot()
	if len(os) != 1 || os[0].Doubted {
		t.Errorf("opinions %+v, want one that does not doubt", os)
	}
}
