package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/guard"
)

// benchSite starts a site with one service and warm upstreams.
func benchSite(b *testing.B, z ServiceSpec) *Site {
	b.Helper()
	d := Deployment{Name: "bench", Zones: Deployments["agency"].Zones, Balancers: 3, Services: []ServiceSpec{z}}
	s, _ := startDeployment(b, d, guard.Off{})
	warmAll(b, s)
	return s
}

// warmAll sends requests until no upstream is cold and every agent knows it.
func warmAll(b *testing.B, s *Site) {
	b.Helper()
	ctx, stop := context.WithTimeout(b.Context(), startTimeout)
	defer stop()
	var w sync.WaitGroup
	for range 32 {
		w.Go(func() {
			f, err := openFlow(ctx, s, newRecorder(), 0)
			if err != nil {
				return
			}
			defer f.close()
			for !isWarm(s) && ctx.Err() == nil {
				f.do(ctx, http.MethodGet, "/screen?caller=x", nil, "")
			}
		})
	}
	w.Wait()
	if !isWarm(s) {
		b.Fatal("the upstreams are still cold at the start timeout")
	}
}

// isWarm reports whether all upstreams and their agents use all slots.
func isWarm(s *Site) bool {
	for _, u := range s.RunningUpstreams() {
		if u.Cold() || u.agent.Counts().Load.Slots < u.Slots {
			return false
		}
	}
	return true
}

// measureRequests calls each function repeatedly, concurrently with the others, for
// the duration d. It returns how long each call took.
func measureRequests(b *testing.B, d time.Duration, requests []func(context.Context) error) []time.Duration {
	b.Helper()
	ctx, stop := context.WithTimeout(b.Context(), d)
	defer stop()
	took := make([][]time.Duration, len(requests))
	var w sync.WaitGroup
	for i, f := range requests {
		w.Go(func() {
			for ctx.Err() == nil {
				start := time.Now()
				if err := f(b.Context()); err != nil {
					b.Error(err)
					return
				}
				took[i] = append(took[i], time.Since(start))
			}
		})
	}
	w.Wait()
	return slices.Concat(took...)
}

// BenchmarkRequests compares the latency of upstreams that answer at once when
// callers reach them directly over HTTP/1.1, and through fabric, balancer and
// agent over HTTP/3. The two alternate within one run. All programs share the
// machine's processors.
func BenchmarkRequests(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := benchSite(b, ServiceSpec{Name: "web", Upstreams: 3, Slots: 64, Connections: 2000, Work: time.Nanosecond})
			direct, through := directCallers(b, s, callers), throughCallers(b, s, callers)
			var d, t []time.Duration
			const round = time.Second
			for b.Loop() {
				d = append(d, measureRequests(b, round, direct)...)
				t = append(t, measureRequests(b, round, through)...)
			}
			seconds := round.Seconds() * float64(b.N)
			b.ReportMetric(float64(len(d))/seconds, "direct/s")
			b.ReportMetric(float64(len(t))/seconds, "through/s")
			for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999} {
				b.ReportMetric(quantile(d, q)*1e6, name+"-direct-us")
				b.ReportMetric((quantile(t, q)-quantile(d, q))*1e6, name+"-added-us")
			}
		})
	}
}

// directCallers returns functions that request the screen from an upstream.
func directCallers(b *testing.B, s *Site, n int) (out []func(context.Context) error) {
	units := s.RunningUpstreams()
	tr := &http.Transport{MaxIdleConnsPerHost: n}
	b.Cleanup(tr.CloseIdleConnections)
	for i := range n {
		url := "http://" + units[i%len(units)].opts.Upstream.String() + "/screen?caller=x"
		out = append(out, func(ctx context.Context) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return err
			}
			a, err := tr.RoundTrip(r)
			if err != nil {
				return err
			}
			defer a.Body.Close()
			_, err = io.Copy(io.Discard, a.Body)
			return err
		})
	}
	return out
}

// throughCallers returns functions that request the screen on a flow each.
func throughCallers(b *testing.B, s *Site, n int) (out []func(context.Context) error) {
	for range n {
		f, err := openFlow(b.Context(), s, newRecorder(), 0)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(f.close)
		out = append(out, func(ctx context.Context) error {
			r, err := f.do(ctx, http.MethodGet, "/screen?caller=x", nil, "")
			if err == nil && r.status != http.StatusOK {
				err = fmt.Errorf("status %d", r.status)
			}
			return err
		})
	}
	return out
}

// BenchmarkSlots runs twice as many callers as slots and reports the share of
// slots in use, as counted by the upstreams.
func BenchmarkSlots(b *testing.B) {
	const upstreams, slots = 6, 5
	s := benchSite(b, ServiceSpec{Name: "web", Upstreams: upstreams, Slots: slots, Connections: 2000})
	var before uint64
	served := func() (n uint64) {
		for _, u := range s.RunningUpstreams() {
			n += u.Served.Load()
		}
		return n
	}
	requests := throughCallers(b, s, 2*upstreams*slots)
	const round = 5 * time.Second
	var done atomic.Uint64
	for b.Loop() {
		before = served()
		measureRequests(b, round, requests)
		done.Add(served() - before)
	}
	busy := float64(done.Load()) * defaultWork.Seconds()
	b.ReportMetric(busy/(round.Seconds()*float64(b.N)*upstreams*slots), "busy")
}

// BenchmarkUpload sends 1 GiB through an agent and reports the size of the heap
// before and its maximum during the upload. The heap includes callers, balancers
// and the upstream.
func BenchmarkUpload(b *testing.B) {
	s := benchSite(b, ServiceSpec{Name: "web", Upstreams: 1, Slots: 4, Connections: 100})
	f, err := openFlow(b.Context(), s, newRecorder(), 0)
	if err != nil {
		b.Fatal(err)
	}
	defer f.close()
	const size = 1 << 30
	b.SetBytes(size)
	var base, most uint64
	for b.Loop() {
		runtime.GC()
		base = heapInUse()
		ctx, stop := context.WithCancel(b.Context())
		go func() {
			for clock.Sleep(ctx, 10*time.Millisecond) {
				most = max(most, heapInUse())
			}
		}()
		upload(b, f, size)
		stop()
	}
	b.ReportMetric(float64(base)/(1<<20), "base-MiB")
	b.ReportMetric(float64(most)/(1<<20), "most-MiB")
}

// heapInUse returns the bytes in use on the heap.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// upload sends size bytes and requires status 200.
func upload(b *testing.B, f *flow, size int) {
	b.Helper()
	a := post(b.Context(), b, f, "/upload?caller=x", size)
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		b.Fatalf("status %d", a.StatusCode)
	}
	io.Copy(io.Discard, a.Body)
}
