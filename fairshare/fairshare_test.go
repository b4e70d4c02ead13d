package fairshare

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a threshold that gives away more or less than there is, or limits somebody although
// there is enough for all.
func TestThresholdIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0, 1000), 0, 40).Draw(t, "rates")
		others := rapid.IntRange(0, 1000).Draw(t, "others")
		mean := rapid.Float64Range(0, 10).Draw(t, "mean")
		rest := mean * float64(others)
		capacity := rapid.Float64Range(0, 20_000).Draw(t, "capacity")
		x := threshold(rates, rest, others, capacity)
		given, wanted, most := float64(others)*min(mean, x), rest, 0.0
		if others > 0 {
			most = mean
		}
		for _, r := range rates {
			given, wanted, most = given+min(r, x), wanted+r, max(most, r)
		}
		if want := min(capacity, wanted); math.Abs(given-want) > 1e-6*(1+want) {
			t.Fatalf("threshold %v gives %v, want %v", x, given, want)
		}
		if wanted <= capacity && x < most-1e-9 {
			t.Fatalf("threshold %v limits an account with %v although there is enough", x, most)
		}
	})
}

// heavyAccount is the account that opens more than the others.
const heavyAccount Account = 1

// play has each light account open once in each second and the heavy one as often as given, in turns,
// and serves the share of all openings.
func play(s *Sharer, light, heavy int, share float64, d time.Duration) {
	served := 0.0
	n := light + heavy
	for now := time.Duration(0); now < d; now += time.Second {
		q := 0
		for i := range n {
			at := now + time.Duration(i)*time.Second/time.Duration(n)
			a := heavyAccount
			if (i+1)*light/n > q {
				q++
				a = Account(1000 + q)
			}
			s.Note(a, at)
			if served += share; served >= 1 {
				served--
				s.Served(at)
			}
		}
	}
}

// Guards against a heavy account that keeps its precedence, and against light ones that lose theirs.
func TestLoudAccountIsLimited(t *testing.T) {
	var s Sharer
	play(&s, 200, 50, 0.9, 3*time.Second)
	now := 3 * time.Second
	x := s.Of(heavyAccount, now)
	if !x.Limited || x.Probability > 0.7 {
		t.Errorf("the heavy account gets %+v", x)
	}
	for i := range Account(200) {
		if y := s.Of(1001+i, now); y.Limited || y.Probability != 1 {
			t.Errorf("the light account %d gets %+v", i, y)
		}
	}
}

// Guards against limits while there is enough for all, before anything was counted and after a pause.
func TestNobodyIsLimitedWithoutNeed(t *testing.T) {
	for name, x := range map[string]struct {
		share float64
		pause time.Duration
	}{
		"enough for all":  {share: 1},
		"after a pause":   {share: 0.5, pause: 3 * time.Second},
		"clock goes back": {share: 0.5, pause: -2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var s Sharer
			if y := s.Of(heavyAccount, 0); y.Limited {
				t.Errorf("%+v before anything was counted", y)
			}
			play(&s, 200, 50, x.share, 3*time.Second)
			if y := s.Of(heavyAccount, 3*time.Second+x.pause); y.Limited {
				t.Errorf("the heavy account gets %+v", y)
			}
		})
	}
}

// Guards against accounts that are alike and limited by chance.
func TestAccountsThatAreAlikeAreNotLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sharer
		n := rapid.IntRange(2, 300).Draw(t, "accounts")
		per := rapid.IntRange(1, 5).Draw(t, "openings")
		for i := range n * per {
			s.Note(Account(i%n), time.Duration(i))
			if i%3 == 0 {
				s.Served(time.Duration(i))
			}
		}
		for i := range n {
			if x := s.Of(Account(i), time.Duration(n*per)); x.Limited && x.Rate < minRate+float64(per) {
				t.Fatalf("account %d gets %+v", i, x)
			}
		}
	})
}
