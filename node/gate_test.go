package node

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// Guards against a balancer that never reads a configuration which it could not fetch from
// the others, because it does not watch the store; and against one that reads the store
// although it lacks nothing.
func TestGatesOpenForWhatIsMissing(t *testing.T) {
	for name, x := range map[string]struct {
		version, newest datagram.Version
		revision        uint64
		behind          time.Duration // time since newest was reported
		configuration   bool
		evacuations     bool
	}{
		"just started":                     {0, 0, 0, 0, true, true},
		"configuration read":               {5, 0, 0, 0, false, true},
		"everything read":                  {5, 5, 8, 0, false, false},
		"newer configuration just told of": {5, 6, 8, behindTimeout / 2, false, false},
		"newer configuration not obtained": {5, 6, 8, 2 * behindTimeout, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{balancer: &datagram.Balancer{Self: 1}, newestVersion: x.newest}
			b.balancer.Start()
			if x.version != 0 {
				b.balancer.SetConfiguration(&datagram.Configuration{Version: x.version})
			}
			b.balancer.SetZonesOut(nil, x.revision, time.Second)
			b.updateGates(time.Second)
			b.updateGates(time.Second + x.behind)
			if got := b.configurationGate.waiter() == nil; got != x.configuration {
				t.Errorf("follows the configuration: %t", got)
			}
			if got := b.evacuationGate.waiter() == nil; got != x.evacuations {
				t.Errorf("follows the evacuations: %t", got)
			}
			if b.memberGate.waiter() == nil {
				t.Error("polls the member records")
			}
		})
	}
}
