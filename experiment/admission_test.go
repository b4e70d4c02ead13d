package experiment

import (
	"fmt"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// admissionWays are the ways of admission that are compared.
var admissionWays = map[string]datagram.Admission{
	"waiting, no level": datagram.AdmitAll, "refusing, no level": datagram.AdmitIfIdle,
	"level by priority": datagram.AdmitByPriority, "level, refusing at once": datagram.AdmitAtOnce,
	"level, free slots": datagram.AdmitWaiting, "level, short wait": datagram.AdmitByLevel,
}

// admissionLoads returns the loads at which they are compared, in multiples of the usual one, which
// is half of what the upstreams bear.
func admissionLoads() []float64 {
	if !hasSeeds() {
		return []float64{1, 1.5, 4}
	}
	return []float64{1, 1.5, 2, 2.2, 2.5, 4, 5.2}
}

// lateWorth is the worth of a late answer, as a share of one in time.
const lateWorth = 0.3

// overloadResult sums up the outcomes of overloads, of the two seconds after them and of the time
// until the last callers of the overload have ended.
type overloadResult struct {
	during, after, later outcomePair
	worstAfter           float64 // the lowest share of feeds in time after an overload
}

// outcomePair holds the outcomes of the feeds and of the confirmations.
type outcomePair [2]outcomes

func (p *outcomePair) add(feeds, confirmations *outcomes) {
	p[0].add(feeds)
	p[1].add(confirmations)
}

// worth returns the share of the worth that was earned. A confirmation is worth two feeds.
func worth(ps ...outcomePair) float64 {
	var earned, owed float64
	for _, p := range ps {
		for i, o := range p {
			earned += float64(i+1) * (float64(o.inAim) + lateWorth*float64(o.late))
			owed += float64(i+1) * float64(o.started)
		}
	}
	return earned / owed
}

// playAdmission plays overloads with a way of admission.
func (s loadedSite) playAdmission(t *testing.T, way datagram.Admission, load float64, seeds uint64) (r overloadResult) {
	t.Helper()
	r.worstAfter = 1
	for seed := range seeds {
		w, _, c := s.startWith(t, seed, way)
		f1, c1 := w.play(load, 4*time.Second)
		f2, c2 := w.play(1, 2*time.Second)
		f3, c3 := w.play(1, 4*time.Second)
		w.play(1, c.timeout)
		w.checkBreaches(t)
		r.during.add(f1, c1)
		r.after.add(f2, c2)
		r.later.add(f3, c3)
		r.worstAfter = min(r.worstAfter, f2.share())
	}
	return r
}

// Guards against an admission that refuses callers while the upstreams can serve them, that serves
// fewer requests in time than openings that wait, or after which callers that were refused take the
// places of new ones.
func TestWaysOfAdmission(t *testing.T) {
	seeds, ways := seedCount(t), admissionWays
	if !hasSeeds() { // only those that are compared below
		ways = map[string]datagram.Admission{"waiting, no level": datagram.AdmitAll, "level, short wait": datagram.AdmitByLevel}
	}
	for site, s := range loadedSites {
		for _, load := range admissionLoads() {
			t.Run(fmt.Sprintf("%s, load %v", site, load), func(t *testing.T) {
				t.Parallel()
				results := map[string]overloadResult{}
				for name, way := range ways {
					r := s.playAdmission(t, way, load, seeds)
					results[name] = r
					t.Logf("%-23s worth %.4f, during %.3f, after %.3f, later %.3f; in time: feeds %.3f, urgent %.3f, after: feeds %.3f, worst %.3f; feeds %+v",
						name, worth(r.during, r.after, r.later), worth(r.during), worth(r.after), worth(r.later),
						r.during[0].share(), r.during[1].share(), r.after[0].share(), r.worstAfter, r.during[0])
				}
				kept, waiting := results["level, short wait"], results["waiting, no level"]
				if load <= 1 && kept != waiting {
					t.Errorf("half of the load that the upstreams can bear, but admission changes the outcome: %+v, without it %+v", kept, waiting)
				}
				// At three quarters, bursts at single upstreams lower their levels at times.
				if x := kept.during[0]; load < 2 && x.inAim != x.started {
					t.Errorf("the upstreams can bear the load, but not all feeds are in time: %+v", x)
				}
				if x := kept.during[0].share(); x < waiting.during[0].share()-0.03 {
					t.Errorf("%.3f of the feeds in time, without admission %.3f", x, waiting.during[0].share())
				}
				if load <= 4 && kept.worstAfter < 0.97 {
					t.Errorf("%.3f of the feeds in time after the overload, want 0.97", kept.worstAfter)
				}
			})
		}
	}
}
