package node

import (
	"testing"
	"testing/synctest"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// Guards against periods of the deployment that a process keeps when its settings file has changed.
func TestChangedPeriodsAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &platform.Settings{Heartbeat: 3 * time.Second, FlowLifetime: 5 * time.Minute, Evacuation: 9 * time.Second}
		a := newStoreAgent(t, testStore(&standin.Platform{}))
		a.applySettings(x)
		a.loop.do(t.Context(), func(time.Duration) {
			if got := a.agent; time.Duration(got.Heartbeat) != x.Heartbeat || time.Duration(got.FlowLifetime) != x.FlowLifetime || got.Evacuation != x.Evacuation {
				t.Errorf("agent has heartbeat %v, lifetime %v, evacuation %v", time.Duration(got.Heartbeat), time.Duration(got.FlowLifetime), got.Evacuation)
			}
		})

		b := &Balancer{base: &base{}, loop: newLoop(), store: testStore(&standin.Platform{}), ctx: t.Context(), balancer: &datagram.Balancer{}}
		b.balancer.Start()
		go b.loop.run(t.Context(), b)
		b.applySettings(x)
		b.loop.do(t.Context(), func(time.Duration) {
			if got := time.Duration(b.balancer.FlowLifetime); got != x.FlowLifetime {
				t.Errorf("balancer has lifetime %v", got)
			}
		})
	})
}
