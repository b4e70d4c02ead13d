package main

import (
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// shortSeed and shortLength are what CI plays. Its plan has faults of most groups: a balancer and
// an agent that end, links, the store, a drain, an evacuation and changes of the configuration.
const (
	shortSeed   Seed = 265
	shortLength      = 8 * time.Second
)

// Guards against broken promises to callers and upstreams in a short run of the real programs,
// and against processes that a run leaves over.
func TestShortSoak(t *testing.T) {
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r, err := play(t.Context(), newScenario(shortSeed, shortLength, shape{4, 8}), binary, t.TempDir())
	if err != nil {
		t.Error(err)
	}
	for _, b := range r.breaches {
		t.Error(b)
	}
	if r.requests == 0 || len(r.pids) < 12 {
		t.Errorf("%d requests, %d programs", r.requests, len(r.pids))
	}
	checkEnded(t, r.pids)
}

// checkEnded fails the test if a process that was started still exists.
func checkEnded(t *testing.T, pids []int) {
	t.Helper()
	for _, p := range pids {
		if err := syscall.Kill(p, 0); err != syscall.ESRCH {
			t.Errorf("process %d is left over: %v", p, err)
		}
	}
}

// Guards against processes that are left over, and a long wait, if a program does not start.
func TestProgramThatEndsAtOnce(t *testing.T) {
	r, err := play(t.Context(), newScenario(1, shortLength, shape{2, 4}), "/bin/false", t.TempDir())
	if err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("got %v", err)
	}
	checkEnded(t, r.pids)
}

// Guards against plans that depend on more than the seed, leave the run, or lack kinds.
func TestPlan(t *testing.T) {
	const length = 30 * time.Second
	sh, drawn := shape{4, 8}, map[Kind]bool{}
	for seed := range Seed(60) {
		p := newPlan(seed, length, sh)
		if !slices.Equal(p, newPlan(seed, length, sh)) {
			t.Errorf("seed %d gives two plans", seed)
		}
		if len(p) < 5 {
			t.Errorf("seed %d gives %d faults", seed, len(p))
		}
		for _, f := range p {
			drawn[f.Kind] = true
			if f.At < quietStart || f.For <= 0 || f.At+f.For > length {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
	for _, d := range draws {
		if !drawn[d.kind] {
			t.Errorf("%s is never drawn", d.kind)
		}
	}
}

// Guards against cases that can't be played again as they failed.
func TestScenarioText(t *testing.T) {
	paths, _ := filepath.Glob("cases/*.txt")
	if len(paths) == 0 {
		t.Error("no cases")
	}
	for _, p := range paths {
		c, err := readScenario(p)
		if err != nil {
			t.Error(err)
		} else if c.Cause == "" || len(c.Faults) == 0 {
			t.Errorf("%s: has no cause or no faults", p)
		}
	}
	want := newScenario(7, 30*time.Second, shape{4, 8})
	got := &scenario{}
	for l := range strings.Lines(want.String()) {
		if err := got.parseLine(strings.TrimSuffix(l, "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got.String() != want.String() || !slices.Equal(got.Faults, want.Faults) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// Guards against errors in options that don't say what is wrong.
func TestOptions(t *testing.T) {
	good := options{Seeds: 1, Length: minLength, Balancers: 2, Agents: 4, Jobs: 1}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for name, x := range map[string]struct {
		change func(*options)
		want   string
	}{
		"no seeds":      {func(o *options) { o.Seeds = 0 }, "--seeds: must be 1 or more, not 0"},
		"short":         {func(o *options) { o.Length = time.Second }, "--length: must be 4s or more, not 1s"},
		"one balancer":  {func(o *options) { o.Balancers = 1 }, "--balancers: must be 2 or more, not 1"},
		"few agents":    {func(o *options) { o.Agents = 3 }, "--agents: must be 4 or more"},
		"too many":      {func(o *options) { o.Agents = 90 }, "must be 60 together or less, not 92"},
		"unknown kind":  {func(o *options) { o.Without = []Kind{"flood"} }, `--without: kind "flood" is unknown`},
		"too many jobs": {func(o *options) { o.Jobs = 9 }, "--jobs: must be 1 to 8, not 9"},
	} {
		t.Run(name, func(t *testing.T) {
			o := good
			x.change(&o)
			if err := o.Validate(); err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got %v, want %q", err, x.want)
			}
		})
	}
}

// checkedSite returns a site without processes, with a flow that upstream agent1 holds.
func checkedSite(t *testing.T) (*site, *flow, *upstream) {
	now := time.Now()
	s := &site{flows: map[datagram.Flow]*flow{}, runs: map[string]int{}, zonesOut: map[string]time.Time{}, acceptedAt: map[int]time.Time{}, latest: map[processRun]evidence{}}
	s.checks = checks{start: now.Add(-time.Minute), log: slog.New(slog.DiscardHandler), seen: map[string]bool{}, spared: map[Check]int{}}
	s.operator = &operator{version: 3}
	vm := &process{name: "agent1", role: roleAgent, zone: "a", service: letters}
	u := &upstream{s: s, vm: vm, alive: true, life: 1}
	f := &flow{key: datagram.Flow{Caller: datagram.Endpoint{IP: 1, Port: 2}, Address: feedAddress}, open: true, openedAt: now, owner: u, ownerLife: 1}
	f.via = []processRun{{&process{name: "balancer1"}, 0}}
	f.r = &request{flow: f, started: now.Add(-5 * time.Second), id: "feed-1"}
	s.flows[f.key] = f
	return s, f, u
}

// Guards against checks that don't find what they are for, and excuses that hide more than
// they say.
func TestChecks(t *testing.T) {
	opening := func(s *site, f *flow, u *upstream, at time.Time) {
		s.checkArrival(u, datagram.Packet{Flow: f.key, Open: true}, at, false)
	}
	at := func(s *site, a datagram.Endpoint, f *flow) {
		delete(s.flows, f.key)
		f.key.Address = a
		s.flows[f.key] = f
	}
	fault := func(s *site, k Kind, target string, begin, end time.Duration) {
		now := time.Now()
		s.checks.spans = append(s.checks.spans, &span{Fault{Kind: k, Target: target}, now.Add(begin), now.Add(end)})
	}
	for name, x := range map[string]struct {
		do   func(s *site, f *flow, u *upstream)
		want Check
	}{
		"reset of a living flow": {func(s *site, f *flow, u *upstream) { s.checkReset(f, u.vm) }, checkReset},
		"reset, agent stopped for a second": {func(s *site, f *flow, u *upstream) {
			fault(s, kindStop, "agent1", -1100*time.Millisecond, -100*time.Millisecond)
			s.checkReset(f, u.vm)
		}, checkReset},
		"reset, agent stopped for long": {func(s *site, f *flow, u *upstream) {
			fault(s, kindStop, "agent1", -3*time.Second, -100*time.Millisecond)
			s.checkReset(f, u.vm)
		}, ""},
		"reset, agent mute for long by two faults": {func(s *site, f *flow, u *upstream) {
			fault(s, kindCutOut, "agent1", -2500*time.Millisecond, -time.Second)
			fault(s, kindStop, "agent1", -1100*time.Millisecond, 0)
			s.checkReset(f, u.vm)
		}, ""},
		"reset, agent stopped twice": {func(s *site, f *flow, u *upstream) {
			fault(s, kindStop, "agent1", -3*time.Second, -1500*time.Millisecond)
			fault(s, kindStop, "agent1", -1400*time.Millisecond, 0)
			s.checkReset(f, u.vm)
		}, checkReset},
		"reset, another agent stopped for long": {func(s *site, f *flow, u *upstream) {
			fault(s, kindStop, "agent2", -3*time.Second, -100*time.Millisecond)
			s.checkReset(f, u.vm)
		}, checkReset},
		"reset after a crash": {func(s *site, f *flow, u *upstream) { u.life++; s.checkReset(f, u.vm) }, ""},
		"wrong service":       {func(s *site, f *flow, u *upstream) { u.vm.service = parcels; opening(s, f, u, time.Now()) }, checkService},
		"right service":       {func(s *site, f *flow, u *upstream) { opening(s, f, u, time.Now()) }, ""},
		"urgent request twice": {func(s *site, f *flow, u *upstream) {
			s.ran("urgent-1", f.key, u)
			s.ran("urgent-1", f.key, u)
		}, checkOnce},
		"cold upstream over its rate": {func(s *site, f *flow, u *upstream) {
			u.readyAckedAt, u.coldUntil = time.Now().Add(-time.Second), time.Now().Add(time.Second)
			for range 18 {
				opening(s, f, u, time.Now())
			}
		}, checkCold},
		"cold upstream within its rate": {func(s *site, f *flow, u *upstream) {
			u.readyAckedAt, u.coldUntil = time.Now().Add(-time.Second), time.Now().Add(time.Second)
			for range 17 {
				opening(s, f, u, time.Now())
			}
		}, ""},
		"drained": {func(s *site, f *flow, u *upstream) {
			u.drainAckedAt = time.Now().Add(-3100 * time.Millisecond)
			opening(s, f, u, time.Now())
		}, checkDrained},
		"drained just now": {func(s *site, f *flow, u *upstream) {
			u.drainAckedAt = time.Now().Add(-2900 * time.Millisecond)
			opening(s, f, u, time.Now())
		}, ""},
		"evacuated": {func(s *site, f *flow, u *upstream) {
			s.zonesOut["a"] = time.Now().Add(-5100 * time.Millisecond)
			opening(s, f, u, time.Now())
		}, checkEvacuated},
		"evacuated while the store is down": {func(s *site, f *flow, u *upstream) {
			s.zonesOut["a"] = time.Now().Add(-5100 * time.Millisecond)
			fault(s, kindDown, all, -4*time.Second, -3500*time.Millisecond)
			opening(s, f, u, time.Now())
		}, ""},
		"evacuated long before the store was down": {func(s *site, f *flow, u *upstream) {
			s.zonesOut["a"] = time.Now().Add(-20 * time.Second)
			fault(s, kindDown, all, -4*time.Second, -3500*time.Millisecond)
			opening(s, f, u, time.Now())
		}, checkEvacuated},
		"evacuated while the store is down for one": {func(s *site, f *flow, u *upstream) {
			s.zonesOut["a"] = time.Now().Add(-5100 * time.Millisecond)
			fault(s, kindDown, "balancer1", -4*time.Second, -3500*time.Millisecond)
			opening(s, f, u, time.Now())
		}, checkEvacuated},
		"replaced version": {func(s *site, f *flow, u *upstream) {
			at(s, versionAddress(2), f)
			s.acceptedAt[3] = f.openedAt.Add(-3100 * time.Millisecond)
			opening(s, f, u, time.Now())
		}, checkConfiguration},
		"service of a replaced version": {func(s *site, f *flow, u *upstream) {
			at(s, switchAddress, f)
			s.acceptedAt[3] = f.openedAt.Add(-3100 * time.Millisecond)
			opening(s, f, u, time.Now())
		}, checkConfiguration},
		"balancer goes back": {func(s *site, f *flow, u *upstream) {
			at(s, versionAddress(2), f)
			s.latest[f.via[0]] = evidence{3, f.openedAt.Add(-time.Second)}
			opening(s, f, u, time.Now())
		}, checkOrder},
		"new version refused": {func(s *site, f *flow, u *upstream) {
			at(s, versionAddress(3), f)
			s.acceptedAt[3] = f.openedAt.Add(-3100 * time.Millisecond)
			s.checkRefused(f)
		}, checkInForce},
		"astray": {func(s *site, f *flow, u *upstream) {
			o := &upstream{s: s, vm: &process{name: "agent2"}}
			for i := range 3 {
				s.misrouted(f.key, o, time.Now().Add(time.Duration(i-3)*1200*time.Millisecond))
			}
		}, checkAstray},
		"astray, then found": {func(s *site, f *flow, u *upstream) {
			o := &upstream{s: s, vm: &process{name: "agent2"}}
			for i := range 3 {
				s.misrouted(f.key, o, time.Now().Add(time.Duration(i-3)*1200*time.Millisecond))
				s.arrived(f.key, u)
			}
		}, ""},
		"silent": {func(s *site, f *flow, _ *upstream) { s.checkLost(f.r) }, checkSilent},
		"silent under load": {func(s *site, f *flow, _ *upstream) {
			fault(s, kindOverload, all, -3*time.Second, -time.Second)
			s.checkLost(f.r)
		}, ""},
		"silent while processes wait for a processor": {func(s *site, f *flow, _ *upstream) {
			s.checks.stalls = []stall{{f.r.started.Add(time.Second), 0}, {f.r.started.Add(3 * time.Second), 2 * time.Second}}
			s.checkLost(f.r)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s, f, u := checkedSite(t)
			x.do(s, f, u)
			if x.want == "" && len(s.checks.breaches) > 0 || x.want != "" && !slices.ContainsFunc(s.checks.breaches, func(b string) bool { return strings.Contains(b, string(x.want)) }) {
				t.Errorf("got %v, want %q", s.checks.breaches, x.want)
			}
		})
	}
}

// Guards against excuses without a reason, or of a kind that no plan draws.
func TestExcuses(t *testing.T) {
	for _, e := range excuses {
		if len(e.reason) < 30 || len(e.kinds) == 0 {
			t.Errorf("%s: reason %q, kinds %v", e.check, e.reason, e.kinds)
		}
		for _, k := range e.kinds {
			if !slices.ContainsFunc(draws, func(d kindDraw) bool { return d.kind == k }) {
				t.Errorf("%s: kind %s is never drawn", e.check, k)
			}
		}
	}
}

// Guards against flows that are reset, while their requests are answered, by a balancer that does
// not hear one agent. The others hear it, and the flows' homes name it.
func TestLostOneWayResetsNothing(t *testing.T) {
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	c, err := readScenario("cases/one-way.txt")
	if err != nil {
		t.Fatal(err)
	}
	r, err := play(t.Context(), c, binary, t.TempDir())
	if err != nil {
		t.Error(err)
	}
	for _, b := range r.breaches {
		t.Error(b)
	}
}
