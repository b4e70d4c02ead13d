package servicetime

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an estimate that does not follow a change of speed, or only after many requests.
func TestEstimateFollowsAChangeOfSpeed(t *testing.T) {
	for name, factor := range map[string]float64{"2.5 times as slow": 2.5, "6 times as slow": 6, "2.5 times as fast": 1 / 2.5, "6 times as fast": 1. / 6} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				var e Estimator[int]
				r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
				const mean, requests = 50 * time.Millisecond, 40
				now := time.Second
				for range 100 {
					now += 20 * time.Millisecond
					e.Add(mean/2+time.Duration(r.Int64N(int64(mean))), now)
				}
				changed := time.Duration(factor * float64(mean))
				for range requests {
					now += 20 * time.Millisecond
					e.Add(changed/2+time.Duration(r.Int64N(int64(changed))), now)
				}
				if x := e.Overall(now); x.Mean > changed*9/5 || x.Mean < changed*5/9 {
					t.Errorf("%+v, want a mean of %v", x, changed)
				}
			})
		})
	}
}

// Guards against single long requests that count as a change of speed.
func TestLongRequestsAreNoChange(t *testing.T) {
	var e Estimator[int]
	now := time.Second
	var known Estimate
	for i := range 2000 {
		now += 10 * time.Millisecond
		d := 25*time.Millisecond + time.Duration(i*7%51)*time.Millisecond
		if i%33 == 0 {
			d *= 7
		}
		e.Add(d, now)
		if i == 200 {
			known = e.Overall(now)
		}
		if i > 200 && e.Overall(now).DiffersFrom(known) {
			t.Fatalf("request %d: %+v became %+v", i, known, e.Overall(now))
		}
	}
}

// Guards against a mean, a deviation or a tail that is not that of the requests.
func TestEstimateDescribesTheLatestRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator[int]
		var ds []float64
		now := time.Second
		for range rapid.IntRange(0, 30).Draw(t, "n") {
			now += time.Millisecond
			d := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "d"))
			e.Add(d, now)
			ds = append(ds, float64(d))
		}
		x := e.Overall(now)
		if len(ds) < minSamples {
			if x.Known() || x != (Estimate{}) {
				t.Fatalf("%+v is known from %d requests", x, len(ds))
			}
			return
		}
		if x.Samples > len(ds) || x.Samples < min(len(ds), afterChange) {
			t.Fatalf("%d samples of %d", x.Samples, len(ds))
		}
		ds = ds[len(ds)-x.Samples:]
		slices.Sort(ds)
		sum := 0.0
		for _, d := range ds {
			sum += d
		}
		mean := sum / float64(len(ds))
		above := 0
		for _, d := range ds {
			if time.Duration(d) > x.Tail {
				above++
			}
		}
		if math.Abs(float64(x.Mean)-mean) > 1e-6*mean+2 || above*10 > len(ds) || x.Deviation < 0 {
			t.Fatalf("%+v for %v", x, ds)
		}
	})
}

// Guards against an upstream without requests that stays known as slow.
func TestEstimateOfAnIdleUpstreamBecomesUnknown(t *testing.T) {
	var e Estimator[string]
	for range 20 {
		e.Add(time.Second, time.Second)
		e.AddTo("a", time.Second, time.Second)
	}
	if !e.Overall(time.Second+maxAge).Known() || !e.Route("a", time.Second+maxAge).Known() {
		t.Error("unknown too soon")
	}
	if e.Overall(2*time.Second+maxAge).Known() || e.Route("a", 2*time.Second+maxAge).Known() {
		t.Error("still known")
	}
}

// Guards against routes that share an estimate, and against memory that grows with the routes.
func TestRoutesAreBoundedAndApart(t *testing.T) {
	var e Estimator[int]
	for i := range 3 * maxRoutes {
		for range 5 {
			e.AddTo(i, time.Duration(i+1)*time.Millisecond, time.Duration(i)*time.Millisecond)
		}
		if n := len(e.routes); n > maxRoutes {
			t.Fatalf("%d routes", n)
		}
	}
	const now = 3 * maxRoutes * time.Millisecond
	for i := 2 * maxRoutes; i < 3*maxRoutes; i++ {
		if x := e.Route(i, now); x.Mean != time.Duration(i+1)*time.Millisecond {
			t.Errorf("route %d: %+v", i, x)
		}
	}
	if x := e.Route(0, now); x.Known() {
		t.Errorf("the oldest route is kept: %+v", x)
	}
}

// Guards against a utilization that is not the share of slot time in use.
func TestUtilization(t *testing.T) {
	for name, x := range map[string]struct {
		requests int
		low      float64
		high     float64
	}{"idle": {0, 0, 0}, "half": {2, 0.49, 0.51}, "full": {4, 0.98, 1}, "queue": {20, 1.1, 1.4}} {
		t.Run(name, func(t *testing.T) {
			var e Estimator[int]
			if _, known := e.Utilization(time.Second); known {
				t.Error("known without any requests counted")
			}
			e.Count(x.requests, 4, time.Second)
			if _, known := e.Utilization(time.Second + time.Millisecond); known {
				t.Error("known at once")
			}
			if u, known := e.Utilization(9 * time.Second); !known || u < x.low || u > x.high {
				t.Errorf("%v, %v", u, known)
			}
		})
	}
}

// Guards against memory allocations for each request.
func TestAddDoesNotAllocate(t *testing.T) {
	var e Estimator[int]
	now := time.Second
	if n := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		e.Count(3, 4, now)
		e.Add(time.Duration(now)%50, now)
		e.AddTo(1, time.Duration(now)%50, now)
		e.Overall(now)
		e.Utilization(now)
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkAddAndEstimate(b *testing.B) {
	var e Estimator[int]
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		e.Add(time.Duration(now)%50, now)
		e.Overall(now)
	}
}
