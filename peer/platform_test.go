package peer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// Guards against alarms about a platform that responds but refuses a call, because of a
// conflict or because its history is shorter than the node's pause.
func TestRefusalsDoNotMeanThatThePlatformIsDown(t *testing.T) {
	for name, x := range map[string]struct {
		err  error
		down bool
	}{
		"success": {nil, false}, "conflict": {eris.Wrap(platform.ErrConflict, "write"), false}, "not found": {platform.ErrNotFound, false},
		"history dropped": {platform.ErrGone, false}, "down": {platform.ErrDown, true}, "no answer": {platform.ErrOutcomeUnknown, true},
		"throttled": {platform.ErrThrottled, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := testNode(&standin.Platform{}, member(fleet.RoleAgent, 1, 1, 1))
			n.setPlatformResult(t.Context(), x.err)
			if n.PlatformDown() != x.down {
				t.Errorf("platform down: %t", !x.down)
			}
		})
	}
}

// Guards against an alarm that lasts after the platform has returned, on a node that only
// writes to it.
func TestSuccessfulWriteEndsTheAlarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &standin.Platform{}
		p.SetFaults(standin.Faults{Outage: true})
		n := testNode(p, member(fleet.RoleAgent, 1, 1, 1))
		n.Client = nil
		ctx, stop := context.WithCancel(t.Context())
		go n.publish(ctx)
		time.Sleep(5 * time.Second)
		if !n.PlatformDown() {
			t.Error("no alarm while the platform is down")
		}
		p.SetFaults(standin.Faults{})
		time.Sleep(30 * time.Second)
		if n.PlatformDown() {
			t.Error("the alarm lasts after a successful write")
		}
		stop()
		synctest.Wait()
	})
}

// Guards against a node that follows nobody but seeds at which no process runs, and never
// reads the platform.
func TestSeedsAreNoPeers(t *testing.T) {
	n := testNode(&standin.Platform{}, member(fleet.RoleAgent, 1, 1, 1))
	n.Seeds = []netip.AddrPort{netip.MustParseAddrPort("10.9.9.9:7002")}
	if k := n.sources(); k.relays != 0 || len(k.peers) != 1 {
		t.Errorf("%d relays among the peers %v", k.relays, k.peers)
	}
	n.State.Merge(fleet.Change{Members: []fleet.Member{member(fleet.RoleBalancer, 2, 1, 1)}})
	if k := n.sources(); k.relays != 1 || len(k.peers) != 2 {
		t.Errorf("%d relays among the peers %v, want the balancer", k.relays, k.peers)
	}
}
