package agent

import (
	"net/netip"
	"testing"
	"time"

	"pomeloway.example/pomeloway/bundle"
)

// Guards against memory that grows with each balancer that ever sent a heartbeat.
func TestPathsForgetBalancersThatEnded(t *testing.T) {
	var p paths
	now := time.Now()
	for n := range byte(100) {
		p.recordHeartbeat(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7001), 1, now)
		now = now.Add(balancerTimeout + time.Millisecond)
		p.expire(now)
	}
	p.recordHeartbeat(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, 0}), 7001), 2, now)
	out := &bundle.Bundle{Zones: []bundle.Zone{{ID: 2, State: bundle.ZoneStateOut}}}
	p.updateMembers(nil, out, now)
	if len(p.lastHeard) != 0 || len(p.zones) != 0 {
		t.Errorf("%d balancers and %d zones of balancers are kept", len(p.lastHeard), len(p.zones))
	}
}
