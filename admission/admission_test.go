package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is a wall clock's time, about the year 2026.
const start = 56 * 365 * 24 * time.Hour

// Guards against accounts that are refused period after period.
func TestNoAccountIsRefusedForLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Account(rapid.Uint64().Draw(t, "account"))
		p := rapid.SampledFrom([]Priority{Urgent, Ordinary}).Draw(t, "priority")
		// admitted is the number of the priority's ranks that are admitted.
		admitted := rapid.IntRange(4, 127).Draw(t, "admitted")
		l := Level(admitted)
		if p == Ordinary {
			l += levelUrgent
		}
		// Multiples of the golden ratio visit every interval of length s at least once in 3/s
		// steps.
		most, refused := 3*128/admitted+1, 0
		for n := range 2000 {
			if refused++; l.Admits(RankOf(p, a, start+time.Duration(n)*period)) {
				refused = 0
			}
			if refused > most {
				t.Fatalf("refused for %d periods at level %d", refused, l)
			}
		}
	})
}

// Guards against urgent openings that are refused while others are admitted.
func TestUrgentRanksComeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := time.Duration(rapid.Int64().Draw(t, "wall"))
		u := RankOf(Urgent, Account(rapid.Uint64().Draw(t, "urgent account")), wall)
		o := RankOf(Ordinary, Account(rapid.Uint64().Draw(t, "other account")), wall)
		l := Level(rapid.Uint8().Draw(t, "level"))
		if l.Admits(o) && !l.Admits(u) {
			t.Fatalf("level %d admits rank %d, but not the urgent rank %d", l, o, u)
		}
		if !LevelAll.Admits(o) || !LevelAll.Admits(u) {
			t.Fatal("the highest level does not admit everything")
		}
		if Level(0).Admits(u) || Level(0).Admits(o) {
			t.Fatal("level 0 admits something")
		}
	})
}

// Guards against balancers that decide differently although their clocks are nearly the same, and
// against an admitted share that differs from the level's.
func TestRankDependsOnClocksLittle(t *testing.T) {
	const accounts, skew = 20_000, time.Second
	l := Level(levelUrgent + 64)
	for at := time.Duration(start); at < start+period; at += skew {
		differ, admitted := 0, 0
		for n := range uint64(accounts) {
			a := Account(n * 0x9e3779b97f4a7c15)
			x, y := l.Admits(RankOf(Ordinary, a, at)), l.Admits(RankOf(Ordinary, a, at+skew))
			if x != y {
				differ++
			}
			if x {
				admitted++
			}
		}
		if share := float64(differ) / accounts; share > 1.1*float64(skew)/float64(period) {
			t.Errorf("%v: a clock that is off by %v decides differently for %.3f of the accounts", at, skew, share)
		}
		if share := float64(admitted) / accounts; share < 0.48 || share > 0.52 {
			t.Errorf("%v: %.3f of the accounts are admitted, want 0.5", at, share)
		}
	}
}

// control updates the controller every 10 ms for d, and returns the level.
func control(c *Controller, l Load, now *time.Duration, d time.Duration) Level {
	for end := *now + d; *now < end; {
		*now += 10 * time.Millisecond
		c.Update(l, *now)
	}
	return c.Level()
}

// Guards against levels that fall too late or for short bursts, that refuse urgent openings while
// there are others, or that stay low when slots are free.
func TestLevelFollowsLoad(t *testing.T) {
	idle, full := Load{Slots: 2, Requests: 1}, Load{Slots: 2, Requests: 5, Waiting: 2}
	var c Controller
	now := time.Duration(0)
	if c.Level() != LevelAll {
		t.Errorf("level %d before any observation", c.Level())
	}
	if l := control(&c, full, &now, 150*time.Millisecond); l != LevelAll {
		t.Errorf("level %d after a short burst", l)
	}
	if l := control(&c, idle, &now, time.Second); l != LevelAll {
		t.Errorf("level %d after the burst", l)
	}
	var m Mean
	if m.Add(control(&c, full, &now, 500*time.Millisecond), 2, 0); m.Level() != LevelAll {
		t.Errorf("level %d after half a second, as long as the callers of an outage of a second come back", m.Level())
	}
	if l := control(&c, full, &now, 500*time.Millisecond); l >= LevelAll-20 {
		t.Errorf("level %d after a second of overload", l)
	}
	if l := control(&c, full, &now, 10*time.Second); l != levelUrgent {
		t.Errorf("level %d in an overload with requests that are not urgent, want %d", l, levelUrgent)
	}
	if l := control(&c, idle, &now, time.Second); l != LevelAll {
		t.Errorf("level %d a second after the overload", l)
	}
	full.UrgentOnly = true
	if l := control(&c, full, &now, 10*time.Second); l != 0 {
		t.Errorf("level %d in an overload of urgent requests only, want 0", l)
	}
}

// Guards against a clock that jumps or stands still and moves the level by more than an
// observation can, and against levels outside of the scale.
func TestLevelSurvivesClockJumps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Controller
		for range rapid.IntRange(1, 50).Draw(t, "updates") {
			before := c.excess
			c.Update(Load{
				Slots: rapid.IntRange(-1, 10).Draw(t, "slots"), Requests: rapid.IntRange(0, 1000).Draw(t, "requests"),
				Waiting: rapid.IntRange(0, 1000).Draw(t, "waiting"), UrgentOnly: rapid.Bool().Draw(t, "urgent only"),
				ServiceTime: time.Duration(rapid.Int64().Draw(t, "service time")), Target: time.Duration(rapid.Int64().Draw(t, "target")),
			}, time.Duration(rapid.Int64().Draw(t, "now")))
			if d := c.excess - before; d > maxQueue*maxUpdateInterval.Seconds() || c.excess < 0 || c.excess > 1+slack {
				t.Fatalf("an update moved the excess by %v to %v", d, c.excess)
			}
		}
	})
}

// Guards against old or missing reports, and single agents that lie, that decide for a service.
func TestMeanOfReports(t *testing.T) {
	type report struct {
		level Level
		slots int
		age   time.Duration
	}
	for name, x := range map[string]struct {
		reports []report
		unknown int
		want    Level
		heard   int
	}{
		"none":                {want: LevelAll},
		"nobody reported":     {unknown: 3, want: LevelAll},
		"weighted by slots":   {reports: []report{{255, 1, 0}, {127, 3, 0}}, want: 159, heard: 2},
		"an hour old":         {reports: []report{{0, 2, time.Hour}, {200, 2, 0}}, want: LevelAll, heard: 1},
		"from the future":     {reports: []report{{0, 2, -time.Second}}, want: LevelAll},
		"old agents beside":   {reports: []report{{127, 2, 0}}, unknown: 2, want: 191, heard: 1},
		"one of ten lies":     {reports: []report{{0, 2, 0}, {255, 18, 0}}, want: LevelAll, heard: 2},
		"slots are not known": {reports: []report{{100, 0, 0}, {200, 0, 0}}, want: 150, heard: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var m Mean
			for _, r := range x.reports {
				m.Add(r.level, r.slots, r.age)
			}
			if x.unknown > 0 {
				m.AddUnknown(x.unknown)
			}
			if m.Level() != x.want || m.Heard != x.heard {
				t.Errorf("level %d of %d agents, want %d of %d", m.Level(), m.Heard, x.want, x.heard)
			}
		})
	}
}
