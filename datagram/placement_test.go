package datagram

import (
	"fmt"
	"testing"
	"time"
)

// placingBalancer returns a balancer with a route to service 7 that has a target latency if timed
// is set, and n idle agents of 4 slots whose reports prepare may change.
func placingBalancer(t *testing.T, n int, timed bool, now time.Duration, prepare func(ip IP, r *LoadReport)) *Balancer {
	b, _ := testBalancer(t, n, now)
	r := Route{Shares: []Share{{7, 1}}}
	if timed {
		r.TargetLatency = 400 * time.Millisecond
	}
	b.SetConfiguration(&Configuration{Version: 2, Routes: map[Endpoint]Route{{2, 443}: r}})
	for ip := IP(1); ip <= IP(n); ip++ {
		a := b.agents.byIP[ip]
		a.status.Zone = ZoneKey(1 + ip%3)
		x := LoadReport{Present: true, ServiceTime: DurationCodeOf(40 * time.Millisecond), TailTime: DurationCodeOf(60 * time.Millisecond), Level: LevelAll}
		prepare(ip, &x)
		a.updateReport(x, now)
	}
	return b
}

// slowFrom returns a change of reports: agents from the given one are 2.5 times as slow.
func slowFrom(first IP) func(IP, *LoadReport) {
	return func(ip IP, r *LoadReport) {
		if ip >= first {
			r.ServiceTime, r.TailTime = DurationCodeOf(100*time.Millisecond), DurationCodeOf(150*time.Millisecond)
		}
	}
}

// chosen counts the agents that openings of 10,000 flows are placed at.
func (b *Balancer) chosen(now time.Duration) map[IP]int {
	n := map[IP]int{}
	for hash := range uint64(10_000) {
		if a, _, _ := b.agents.choose(hash*0x9e3779b97f4a7c15, 7, nil, PriorityFirst, 400*time.Millisecond, now); a != nil {
			n[a.ip]++
		}
	}
	return n
}

// Guards against other decisions than before where speeds are alike or not known, or where no
// target latency is set.
func TestPlacementIsByCountUnlessSpeedsDiffer(t *testing.T) {
	const now = time.Second
	for name, x := range map[string]struct {
		timed   bool
		prepare func(IP, *LoadReport)
		at      time.Duration
		same    bool
	}{
		"alike": {true, func(ip IP, r *LoadReport) { r.ServiceTime += DurationCode(ip % 9) }, now, true},
		"only the mean differs": {true, func(ip IP, r *LoadReport) {
			if ip > 8 {
				r.ServiceTime += 14
			}
		}, now, true},
		"no reports":        {true, func(_ IP, r *LoadReport) { *r = LoadReport{} }, now, true},
		"no target latency": {false, slowFrom(9), now, true},
		"a third is slow":   {true, slowFrom(9), now, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := placingBalancer(t, 12, x.timed, now, x.prepare)
			byTime := b.chosen(x.at)
			b.agents.placement = PlaceByTwoChoices
			byCount := b.chosen(x.at)
			same := true
			for ip := IP(1); ip <= 12; ip++ {
				same = same && byTime[ip] == byCount[ip]
			}
			if same != x.same || (b.Count.PlacedByTime == 0) != x.same {
				t.Errorf("by time %v, by count %v, %d placed by time", byTime, byCount, b.Count.PlacedByTime)
			}
		})
	}
}

// Guards against slow upstreams that get as many openings as others, or none at all, so that a
// recovery is not seen.
func TestSlowUpstreamsGetATrickle(t *testing.T) {
	const now = time.Second
	b := placingBalancer(t, 12, true, now, slowFrom(9))
	n := b.chosen(now)
	for ip := IP(9); ip <= 12; ip++ {
		if share := float64(n[ip]) * 12 / 10_000; share < 0.5/trickleInterval || share > 0.3 {
			t.Errorf("agent %d gets %.3f of the mean", ip, share)
		}
	}
	if s := b.Status(now); s.AgentsSlow != 4 || s.Counts.Trickle == 0 {
		t.Errorf("%d agents are slow, %d trickle openings", s.AgentsSlow, s.Counts.Trickle)
	}
}

// Guards against slow upstreams that stay unused while the fast ones have long queues.
func TestSlowUpstreamsAreUsedWhenOthersAreFull(t *testing.T) {
	const now = time.Second
	b := placingBalancer(t, 12, true, now, func(ip IP, r *LoadReport) {
		if slowFrom(9)(ip, r); ip < 9 {
			r.Requests, r.Utilization = 14, fullUtilization
		}
	})
	n := b.chosen(now)
	slow := 0
	for ip := IP(9); ip <= 12; ip++ {
		slow += n[ip]
	}
	if slow < 5000 {
		t.Errorf("%d of 10,000 openings go to slow upstreams", slow)
	}
}

// Guards against a report that decides for ever after its agent has stopped to report.
func TestOldReportCountsAsTheMean(t *testing.T) {
	const now, later = time.Second, time.Hour
	b := placingBalancer(t, 12, true, now, slowFrom(9))
	for _, a := range b.agents.byIP {
		a.lastSeen = later // its statuses arrive without reports
	}
	b.chosen(later)
	if b.Count.PlacedByTime != 0 {
		t.Errorf("%d openings placed by reports an hour old", b.Count.PlacedByTime)
	}
}

// Guards against agents of the previous build, which don't report, being avoided or preferred.
func TestAgentsWithoutReportsAreUsed(t *testing.T) {
	const now = time.Second
	b := placingBalancer(t, 12, true, now, func(ip IP, r *LoadReport) {
		if slowFrom(9)(ip, r); ip%2 == 0 {
			*r = LoadReport{}
		}
	})
	n := b.chosen(now)
	for ip := IP(2); ip <= 12; ip += 2 {
		if share := float64(n[ip]) * 12 / 10_000; share < 0.05 || share > 2 {
			t.Errorf("agent %d without a report gets %.2f of the mean: %v", ip, share, n)
		}
	}
}

// Guards against an allocation for each opening.
func TestChooseDoesNotAllocate(t *testing.T) {
	const now = time.Second
	b := placingBalancer(t, 12, true, now, slowFrom(9))
	hash := uint64(0)
	if n := testing.AllocsPerRun(1000, func() {
		hash++
		b.agents.choose(hash, 7, nil, PriorityFirst, 400*time.Millisecond, now)
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkChoose measures the choice of the agent for an opening.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 56, 2400} {
		x, _ := benchBalancer(b, testKeys(b))
		for ip := range IP(n) {
			x.agents.applyStatus(ip+1, AgentStatus{Life: Life(ip + 1), Sequence: 2, Service: 7, State: UpstreamReady, Slots: 4, Zone: 1 + ZoneKey(ip%3)}, benchTime)
		}
		x.SetConfiguration(&Configuration{Version: 2, Routes: map[Endpoint]Route{{2, 443}: {Shares: []Share{{7, 1}}, TargetLatency: time.Second}}})
		for name, slowest := range map[string]time.Duration{"": 60 * time.Millisecond, ", a third slow": 150 * time.Millisecond} {
			for ip := range IP(n) {
				d := 50 * time.Millisecond
				if ip%3 == 0 {
					d = slowest
				}
				x.agents.byIP[ip+1].updateReport(LoadReport{Present: true, ServiceTime: DurationCodeOf(d), TailTime: DurationCodeOf(d)}, benchTime-200*time.Millisecond)
			}
			b.Run(fmt.Sprintf("%d agents%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				hash := uint64(0)
				for b.Loop() {
					hash++
					x.agents.choose(hash, 7, nil, PriorityFirst, time.Second, benchTime)
				}
			})
		}
	}
}
