package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const target = 250 * time.Millisecond

// mean is the speed of the service in these tests.
var mean = Speed{30 * time.Millisecond, 42 * time.Millisecond}

// candidate returns an idle candidate of two slots that is the given factor slower than the mean.
func candidate(factor float64) Candidate {
	return Candidate{
		Slots: 2, ServiceTime: time.Duration(factor * float64(mean.ServiceTime)), TailTime: time.Duration(factor * float64(mean.TailTime)),
		UtilizationKnown: true,
	}
}

// with returns the candidate after a change.
func (c Candidate) with(change func(*Candidate)) Candidate {
	change(&c)
	return c
}

// Guards against choices that ignore one of the inputs.
func TestChoose(t *testing.T) {
	slow, fast := candidate(2.5), candidate(0.8)
	queue := func(n int) func(*Candidate) { return func(c *Candidate) { c.Requests = n } }
	for name, x := range map[string]struct {
		cs   []Candidate
		want int
	}{
		"none":                         {nil, -1},
		"alike":                        {[]Candidate{candidate(0.9), candidate(1.1).with(queue(3))}, -1},
		"unknown counts as the mean":   {[]Candidate{candidate(1).with(func(c *Candidate) { c.ServiceTime = 0 }), candidate(1.2)}, -1},
		"old report counts as mean":    {[]Candidate{slow.with(func(c *Candidate) { c.Age = time.Hour }), candidate(1.1)}, -1},
		"fast is idle":                 {[]Candidate{slow, fast}, 1},
		"fast has a short queue":       {[]Candidate{slow, fast.with(queue(5))}, 1},
		"fast has a long queue":        {[]Candidate{slow, fast.with(queue(12))}, 0},
		"fast has openings on the way": {[]Candidate{slow, fast.with(func(c *Candidate) { c.Pending = 12 })}, 0},
		"fast is full, report is old": {[]Candidate{slow.with(func(c *Candidate) { c.Age, c.Utilization = time.Second, 0.3 }),
			fast.with(func(c *Candidate) { c.Age, c.Utilization = time.Second, 1 })}, 0},
		"old queue does not count": {[]Candidate{slow.with(func(c *Candidate) { c.Age, c.Utilization = time.Second, 0.3 }),
			fast.with(func(c *Candidate) { c.Age, c.Utilization, c.Requests = time.Second, 0.3, 40 })}, 1},
		"class goes first": {[]Candidate{slow, fast.with(func(c *Candidate) { c.Class = 1 })}, 0},
		"own zone is preferred": {[]Candidate{fast.with(func(c *Candidate) { c.RoundTrip = 2 * time.Millisecond }), slow,
			fast.with(func(c *Candidate) { c.OwnZone = true })}, 2},
		"own zone does not make up for slowness": {[]Candidate{fast, slow.with(func(c *Candidate) { c.OwnZone = true })}, 0},
		"the tail is late at the slow one": {[]Candidate{candidate(1.5).with(func(c *Candidate) { c.TailTime = 2 * target }),
			fast.with(queue(5))}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if c := ByTimeAndRisk.Choose(x.cs, mean, target); c.Index != x.want {
				t.Errorf("%+v, want %d", c, x.want)
			}
		})
	}
}

// drawCandidate returns any candidate, sensible or not.
func drawCandidate(t *rapid.T) Candidate {
	d := rapid.Int64Range(0, int64(15*time.Second))
	return Candidate{
		Slots: rapid.IntRange(-1, 1<<16).Draw(t, "slots"), Requests: rapid.IntRange(0, 255).Draw(t, "requests"),
		Pending: rapid.IntRange(0, 1024).Draw(t, "pending"), Flows: rapid.IntRange(0, 1<<17).Draw(t, "flows"),
		ServiceTime: time.Duration(d.Draw(t, "service")), TailTime: time.Duration(d.Draw(t, "tail")),
		Utilization: rapid.Float64Range(0, 1.27).Draw(t, "utilization"), UtilizationKnown: rapid.Bool().Draw(t, "known"),
		Age: time.Duration(rapid.Int64Range(0, int64(2*time.Hour)).Draw(t, "age")), RoundTrip: time.Duration(d.Draw(t, "rtt")),
		Class: uint8(rapid.IntRange(0, 3).Draw(t, "class")), OwnZone: rapid.Bool().Draw(t, "ownZone"),
	}
}

func drawSpeed(t *rapid.T) Speed {
	d := rapid.Int64Range(0, int64(15*time.Second))
	return Speed{ServiceTime: time.Duration(d.Draw(t, "mean")), TailTime: time.Duration(d.Draw(t, "meanTail"))}
}

func drawWay(t *rapid.T) Way {
	return rapid.SampledFrom([]Way{ByTimeAndRisk, ByTime, ByWeightedCount}).Draw(t, "way")
}

// Guards against a choice outside the candidates or of a worse class, and against an expected time
// that is negative, whatever the reports say.
func TestAnyReportsGiveAValidChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 8).Draw(t, "candidates")
		d := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "target"))
		c := drawWay(t).Choose(cs, drawSpeed(t), d)
		if c.Index < -1 || c.Index >= len(cs) {
			t.Fatalf("%+v of %d", c, len(cs))
		}
		if c.Index < 0 {
			return
		}
		for i := range cs {
			if cs[i].Class < cs[c.Index].Class {
				t.Errorf("class %d, and there is one of %d", cs[c.Index].Class, cs[i].Class)
			}
		}
		if c.Expected < 0 {
			t.Errorf("expected after %v", c.Expected)
		}
	})
}

// Guards against a choice by time among upstreams of like speed.
func TestAlikeUpstreamsAreLeftToTheCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Speed{ServiceTime: time.Duration(rapid.Int64Range(1e6, 1e9).Draw(t, "mean"))}
		m.TailTime = 2 * m.ServiceTime
		var cs []Candidate
		for range rapid.IntRange(0, 8).Draw(t, "n") {
			c := drawCandidate(t)
			f := rapid.Float64Range(0.82, 1.22).Draw(t, "factor")
			c.ServiceTime, c.TailTime = time.Duration(f*float64(m.ServiceTime)), time.Duration(f*float64(m.TailTime))
			cs = append(cs, c)
		}
		if c := drawWay(t).Choose(cs, m, target); c.Index != -1 {
			t.Errorf("%+v", c)
		}
	})
}

// Guards against a longer queue, more openings on the way or a slower upstream that make a
// candidate look better.
func TestWorseReportsNeverShortenTheExpectedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Speed{30 * time.Millisecond, 42 * time.Millisecond}
		c := drawCandidate(t)
		c.Slots = rapid.IntRange(1, 64).Draw(t, "few slots")
		if c.ServiceTime == 0 || c.TailTime == 0 {
			return
		}
		for name, worse := range map[string]Candidate{
			"requests":    c.with(func(c *Candidate) { c.Requests += 5 }),
			"pending":     c.with(func(c *Candidate) { c.Pending += 5 }),
			"utilization": c.with(func(c *Candidate) { c.Utilization += 0.1 }),
			"distance":    c.with(func(c *Candidate) { c.RoundTrip += time.Millisecond }),
		} {
			before, _ := ByTimeAndRisk.cost(&c, m, target)
			if after, _ := ByTimeAndRisk.cost(&worse, m, target); after < before-1e-9 || worse.Expected(m) < c.Expected(m) {
				t.Errorf("%s: %v became %v, cost %v became %v", name, c.Expected(m), worse.Expected(m), before, after)
			}
		}
	})
}

// Guards against a false report that makes an upstream look faster without limit.
func TestFalseSpeedIsBounded(t *testing.T) {
	liar := candidate(1).with(func(c *Candidate) { c.ServiceTime, c.TailTime, c.Requests = 1, 1, 20 })
	if d := liar.Expected(mean); d < mean.ServiceTime {
		t.Errorf("an answer behind 20 requests is expected after %v", d)
	}
}

// Guards against an upstream that fails its requests at once, looks fast and gets most of them.
func TestImplausibleSpeedCountsAsTheMean(t *testing.T) {
	failing, idle := candidate(0.01), Candidate{}
	if c := ByTimeAndRisk.Choose([]Candidate{candidate(0.9), failing}, mean, target); c.Index != -1 {
		t.Errorf("candidate %d is chosen by time, want the count to decide", c.Index)
	}
	if d, usual := failing.Expected(mean), idle.Expected(mean); d != usual {
		t.Errorf("an answer of a failing upstream is expected after %v, of one whose speed is not known after %v", d, usual)
	}
}

// Guards against memory allocations for each opening.
func TestChooseDoesNotAllocate(t *testing.T) {
	cs := [...]Candidate{candidate(1), candidate(2.5), candidate(0.5), candidate(1.2)}
	if n := testing.AllocsPerRun(100, func() { ByTimeAndRisk.Choose(cs[:], mean, target) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	cs := [...]Candidate{candidate(1), candidate(2.5), candidate(0.5), candidate(1.2)}
	b.ReportAllocs()
	for b.Loop() {
		ByTimeAndRisk.Choose(cs[:], mean, target)
	}
}
