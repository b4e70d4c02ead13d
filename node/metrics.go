package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/metrics"
)

// metricsInterval is how often counters are copied to the metrics.
const metricsInterval = 5 * time.Second

// histograms holds a histogram of durations for each kind of observation.
type histograms [datagram.ObservationCount]tally.Histogram

// durationBuckets range from the duration of a handshake to more than a caller waits.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

func newHistograms(s tally.Scope) (h histograms) {
	for i := range h {
		h[i] = s.Histogram(datagram.Observation(i).String(), durationBuckets)
	}
	return h
}

// observe records a duration. It runs on the loop and does not allocate.
func (b *base) observe(o datagram.Observation, d time.Duration) { b.durations[o].RecordDuration(d) }

// addMetrics adds to the group the copying of counters to the metrics, and a server for
// /metrics and /state if it is configured. status is called on the loop.
func (b *base) addMetrics(g *run.Group, l *loop, status func() any) {
	ctx, stop := context.WithCancel(context.Background())
	readStatus := func() (v any) {
		l.do(ctx, func(time.Duration) { v = status() })
		return v
	}
	g.Add(func() error {
		for clock.Sleep(ctx, metricsInterval) {
			metrics.SetGauges(b.metrics.Scope.SubScope(string(b.role)), readStatus())
			b.metrics.Scope.Gauge("decisions_lost").Update(float64(b.log.Lost()))
			b.metrics.Scope.Gauge("datagrams_broken").Update(float64(l.broken.Load()))
			b.metrics.Scope.Gauge("datagrams_dropped").Update(float64(l.dropped.Load()))
		}
		return b.metrics.Close()
	}, func(error) { stop() })
	a := b.metricsAddress()
	if !a.IsValid() {
		return
	}
	m := http.NewServeMux()
	m.Handle("GET /metrics", b.metrics.Handler())
	m.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(readStatus())
	})
	addHTTP(g, a, m)
}
