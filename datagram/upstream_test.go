package datagram

import (
	"testing"
	"time"
)

// Guards against openings at an upstream that leaves, by an announcement that comes late.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	for name, x := range map[string]struct {
		said  []Announcement
		state UpstreamState
		born  int64
	}{
		"late ready":          {[]Announcement{{Born: 5, Sequence: 3}, {Born: 5, Sequence: 5, Draining: true}, {Born: 5, Sequence: 4}}, UpstreamDraining, 5},
		"ready after drain":   {[]Announcement{{Born: 5, Sequence: 3, Draining: true}, {Born: 5, Sequence: 4}}, UpstreamDraining, 5},
		"older life":          {[]Announcement{{Born: 9, Sequence: 1}, {Born: 5, Sequence: 77, Draining: true}}, UpstreamReady, 9},
		"next life":           {[]Announcement{{Born: 5, Sequence: 30, Draining: true}, {Born: 9, Sequence: 1}}, UpstreamReady, 9},
		"repeated":            {[]Announcement{{Born: 5, Sequence: 3}, {Born: 5, Sequence: 3, Draining: true}}, UpstreamReady, 5},
		"drains at its birth": {[]Announcement{{Born: 5, Sequence: 1, Draining: true}}, UpstreamDraining, 5},
	} {
		t.Run(name, func(t *testing.T) {
			var u upstream
			for i := range x.said {
				u.accept(&x.said[i], time.Second)
			}
			if u.state != x.state || u.born != x.born {
				t.Errorf("state %v of life %d", u.state, u.born)
			}
		})
	}
}

// Guards against the denial of flows that live by an agent that was restarted.
func TestOnlyAnAgentOfTheWholeLifeKnowsAllFlows(t *testing.T) {
	for name, x := range map[string]struct {
		said []Announcement
		want bool
	}{
		"first heartbeat":        {[]Announcement{{Born: 5, Sequence: 1}}, true},
		"agent was restarted":    {[]Announcement{{Born: 5, Sequence: 8}}, false},
		"next life, late heard":  {[]Announcement{{Born: 5, Sequence: 8}, {Born: 9, Sequence: 3}}, true},
		"started with the agent": {[]Announcement{{Born: 5, Sequence: 3, Age: 150 * time.Millisecond}}, true},
		"fed by an earlier run":  {[]Announcement{{Born: 5, Sequence: 3, Age: 1500 * time.Millisecond}}, false},
		"clock went back":        {[]Announcement{{Born: 5, Sequence: 3, Age: -time.Second}}, false},
		"none":                   {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := Agent{}
			for i := range x.said {
				a.upstream.accept(&x.said[i], 100*time.Millisecond)
			}
			if a.knowsAll(announcedWithin) != x.want {
				t.Errorf("knows all: %t", !x.want)
			}
		})
	}
	if (&Agent{}).knowsAll(flowLife+time.Second) != true {
		t.Error("no flow is older than the agent, and it still asks")
	}
}

// Guards against more openings at a cold upstream in any second than it bears.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	for name, rate := range map[string]float64{"slow": 2, "one": 1, "fast": 40, "less than one": 0.5} {
		t.Run(name, func(t *testing.T) {
			var b bucket
			var taken []time.Duration
			for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
				if b.take(rate, now) {
					taken = append(taken, now)
				}
			}
			for i := range taken {
				n := 0
				for _, x := range taken[i:] {
					if x-taken[i] < time.Second {
						n++
					}
				}
				if float64(n) > 1.5*rate+1 {
					t.Fatalf("%d in the second from %v at %v a second", n, taken[i], rate)
				}
			}
			if got := float64(len(taken)); got < 10*rate*0.9 {
				t.Errorf("%v in ten seconds", got)
			}
		})
	}
}

// Guards against late statuses of an agent's former life, and against clocks that jump.
func TestFormerLifeOfAnAgentIsNotBelieved(t *testing.T) {
	x := newAgents()
	hear := func(life Life, seq uint32, up, now time.Duration, s UpstreamState) {
		x.hear(1, AgentStatus{Life: life, Sequence: seq, Uptime: MillisOf(up), State: s}, now)
	}
	hear(7, 1, time.Second, 10*time.Second, UpstreamReady)
	hear(8, 1, 10*time.Millisecond, 12*time.Second, UpstreamDraining)
	hear(7, 9, 3*time.Second, 12100*time.Millisecond, UpstreamReady)
	if a := x.byIP[1]; a.status.Life != 8 || a.status.State != UpstreamDraining {
		t.Errorf("%+v", a.status)
	}
	hear(8, 1, 10*time.Millisecond, 12200*time.Millisecond, UpstreamReady)
	if a := x.byIP[1]; a.status.State != UpstreamDraining {
		t.Error("a repeated status was believed")
	}
}
