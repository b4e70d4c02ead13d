package datagram

import (
	"strconv"
	"testing"
	"time"

	"pomeloway.example/pomeloway/admission"
	"pomeloway.example/pomeloway/link"
)

// admissionBalancer returns a balancer with ten agents that have reported the level, before a
// service with an urgent route and another one.
func admissionBalancer(ks link.Keys, level Level, prioritized bool) *Balancer {
	b := &Balancer{Self: 99, Format: plainFormat{}, Out: &discardOutput{}, Keys: ks}
	b.Start()
	b.SetConfiguration(&Configuration{
		Version: 1, Services: map[ServiceKey]Service{7: {Name: "orders", Prioritized: prioritized}},
		Routes: map[Endpoint]Route{{2, 443}: {Shares: []Share{{7, 1}}, Urgent: true}, {2, 80}: {Shares: []Share{{7, 1}}}},
	})
	for ip := range IP(10) {
		b.agents.applyStatus(ip+1, AgentStatus{Life: Life(ip + 1), Sequence: 1, Service: 7, State: UpstreamReady, Slots: 2}, time.Second)
		b.agents.byIP[ip+1].updateReport(LoadReport{Present: true, Level: level}, time.Second)
	}
	return b
}

// admitted returns how many of a hundred accounts are admitted.
func admitted(b *Balancer, urgent bool, now time.Duration) (n int) {
	for i := range IP(100) {
		o := &opening{service: 7, urgent: urgent, flow: Flow{Caller: Endpoint{IP: 1000 + i, Port: 9}}}
		if b.admit(o, now); !o.unadmitted {
			n++
		}
	}
	return n
}

// Guards against levels that are applied to services without priorities, to urgent openings while
// there are others, with the setting off, or after reports are old.
func TestAdmissionOfOpenings(t *testing.T) {
	ks := testKeys(t)
	for name, x := range map[string]struct {
		level           Level
		oneClass        bool
		way             Admission
		now             time.Duration
		urgent          int
		least, most     int // of the others
		wantNotAdmitted bool
	}{
		"everything":          {level: LevelAll, urgent: 100, least: 100, most: 100},
		"half of the others":  {level: 191, urgent: 100, least: 35, most: 65, wantNotAdmitted: true},
		"urgent only":         {level: 127, urgent: 100, wantNotAdmitted: true},
		"nothing":             {level: 0, wantNotAdmitted: true},
		"one class of routes": {level: 0, oneClass: true, urgent: 100, least: 100, most: 100},
		"setting off":         {level: 0, way: AdmitAll, urgent: 100, least: 100, most: 100},
		"reports an hour old": {level: 0, now: time.Hour, urgent: 100, least: 100, most: 100},
		"reports 1.9 s old":   {level: 127, now: 2900 * time.Millisecond, urgent: 100, wantNotAdmitted: true},
		"agents are doubted":  {level: 127, now: 3500 * time.Millisecond, urgent: 100, least: 100, most: 100},
	} {
		t.Run(name, func(t *testing.T) {
			b := admissionBalancer(ks, x.level, !x.oneClass)
			b.Admission = x.way
			now := max(x.now, 1100*time.Millisecond)
			if name == "reports 1.9 s old" {
				for _, a := range b.agents.byIP {
					a.lastSeen = now // statuses without a report arrived since
				}
			}
			if n := admitted(b, true, now); n != x.urgent {
				t.Errorf("%d of 100 urgent openings admitted, want %d", n, x.urgent)
			}
			if n := admitted(b, false, now); n < x.least || n > x.most {
				t.Errorf("%d of 100 other openings admitted, want %d to %d", n, x.least, x.most)
			}
			if (b.Count.NotAdmitted > 0) != x.wantNotAdmitted {
				t.Errorf("%d openings counted as not admitted", b.Count.NotAdmitted)
			}
		})
	}
}

// Guards against balancers that rank an account differently, so that a caller who was refused is
// admitted through another one.
func TestBalancersAdmitTheSameAccounts(t *testing.T) {
	ks := testKeys(t)
	clock := func() time.Duration { return 1_800_000_000 * time.Second }
	x, y := admissionBalancer(ks, 191, true), admissionBalancer(ks, 191, true)
	x.Clock, y.Clock = clock, clock
	for i := range IP(1000) {
		o := &opening{service: 7, flow: Flow{Caller: Endpoint{IP: i, Port: 9}}}
		p := &opening{service: 7, flow: Flow{Caller: Endpoint{IP: i, Port: 10}}}
		x.admit(o, 1100*time.Millisecond)
		y.admit(p, 1200*time.Millisecond)
		if o.unadmitted != p.unadmitted {
			t.Fatalf("account %d is admitted at one balancer only", i)
		}
	}
}

// Guards against an address prefix that does not join callers, or joins others.
func TestAccountPrefix(t *testing.T) {
	for name, x := range map[string]struct {
		prefix uint8
		a, b   IP
		same   bool
	}{
		"unset":           {0, 0x0a000001, 0x0a000002, false},
		"whole address":   {32, 0x0a000001, 0x0a000002, false},
		"same prefix":     {24, 0x0a000001, 0x0a0000ff, true},
		"another prefix":  {24, 0x0a000001, 0x0a000101, false},
		"shortest prefix": {8, 0x0a000001, 0x0affffff, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{AccountPrefix: x.prefix}
			if same := b.accountOf(x.a) == b.accountOf(x.b); same != x.same {
				t.Errorf("same account: %v, want %v", same, x.same)
			}
		})
	}
}

// Guards against agents that report a level although the setting is off or their service has no
// urgent routes.
func TestAgentLevelNeedsUrgentRoutes(t *testing.T) {
	overload := func(a *Agent) Level {
		for now := time.Second; now < 5*time.Second; now += 10 * time.Millisecond {
			a.controller.Update(admission.Load{Slots: 1, Requests: 10}, now)
		}
		return Level(a.level(5 * time.Second))
	}
	if l := overload(&Agent{urgentAt: 4 * time.Second}); l != 127 {
		t.Errorf("level %d with urgent openings, want 127", l)
	}
	if l := overload(&Agent{}); l != LevelAll {
		t.Errorf("level %d without urgent openings", l)
	}
	if l := overload(&Agent{urgentAt: 4 * time.Second, Admission: AdmitAll}); l != LevelAll {
		t.Errorf("level %d with the setting off", l)
	}
}

// BenchmarkLevel is the computation of a service's level, which takes a pass over its agents.
func BenchmarkLevel(b *testing.B) {
	for _, n := range []int{10, 56, 250, 2400} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			x, _ := benchBalancer(b, testKeys(b))
			for ip := range IP(n) {
				x.agents.applyStatus(ip+1, AgentStatus{Life: Life(ip + 1), Sequence: 1, Service: 7, State: UpstreamReady, Slots: 5}, time.Second)
				x.agents.byIP[ip+1].updateReport(LoadReport{Present: true, Level: 200}, benchTime)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				x.levelOf(7, benchTime).updatedAt = 0 // as if it were old
			}
		})
	}
}
