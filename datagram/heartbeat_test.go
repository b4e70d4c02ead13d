package datagram

import (
	"testing"
	"time"
)

// heartbeatIntervals are intervals that deployments may have.
var heartbeatIntervals = map[string]time.Duration{
	"0.25 s": 250 * time.Millisecond, "0.77 s": 770 * time.Millisecond, "3 s": 3 * time.Second, "10 s": 10 * time.Second,
}

// Guards against an agent that takes the time between two heartbeats for a crash, and opens
// connections to a running upstream that no request needs.
func TestRunningUpstreamIsNotProbed(t *testing.T) {
	for name, interval := range heartbeatIntervals {
		t.Run(name, func(t *testing.T) {
			a, now := &Agent{Service: 7, Format: plainFormat{}, Out: newRecorder(t), Keys: testKeys(t), Heartbeat: HeartbeatInterval(interval)}, time.Duration(0)
			probes := 0
			a.Probe = func() { probes++ }
			a.Start()
			run := func(until time.Duration, r ProbeResult) {
				for ; now < until && a.UpstreamState() != UpstreamAbsent; now += 10 * time.Millisecond {
					if a.Tick(now); a.probing {
						a.HandleProbeResult(r, now)
					}
				}
			}
			const beats = 10
			for n := range beats {
				// The phase of the first one is anywhere in the interval.
				run(time.Duration(n)*interval+interval/3, ProbeAccepted)
				a.HandleAnnouncement(&Announcement{Service: 7, Born: 5, Sequence: int64(n + 100), Slots: 2}, now)
			}
			if probes > 1 { // one when the agent starts
				t.Errorf("%d probes within %d heartbeats", probes, beats)
			}
			last := now
			run(last+10*interval, ProbeRefused)
			if a.UpstreamState() != UpstreamAbsent || now-last > 2*interval+20*time.Millisecond {
				t.Errorf("the upstream that ended without a word is %v after %v, want %v within two intervals", a.UpstreamState(), now-last, UpstreamAbsent)
			}
		})
	}
}

// Guards against resets of flows that a restarted upstream has accepted before its announcement
// arrives, and against flows of its earlier run that are kept.
func TestFlowsOpenedBeforeAnnouncement(t *testing.T) {
	for name, x := range map[string]struct {
		interval, age, want time.Duration
	}{
		"announced at once":              {3 * time.Second, 10 * time.Millisecond, time.Second},
		"second attempt after 3 s":       {3 * time.Second, 2500 * time.Millisecond, 2700 * time.Millisecond},
		"clock has jumped forward":       {3 * time.Second, time.Hour, 3 * time.Second},
		"clock has jumped back":          {3 * time.Second, -time.Hour, time.Second},
		"age unknown":                    {3 * time.Second, 0, time.Second},
		"interval shorter than attempts": {250 * time.Millisecond, time.Hour, time.Second},
		"no interval in the settings":    {0, time.Hour, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if d := HeartbeatInterval(x.interval).startDelay(x.age); d != x.want {
				t.Errorf("delay %v, want %v", d, x.want)
			}
		})
	}
}
