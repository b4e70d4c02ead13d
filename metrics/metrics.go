// Package metrics exports a program's metrics to Prometheus.
package metrics

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Interval is how often a program copies its counters to the metrics, and how
// often these are passed to the reporter. Copying them periodically keeps the hot
// path from updating shared metrics.
const Interval = time.Second

// Metrics is the metrics registry of one program.
type Metrics struct {
	Scope tally.Scope

	reporter prometheus.Reporter
	closer   io.Closer
}

// New returns an independent registry, because tests run several programs in one
// operating system process.
func New() *Metrics {
	reg := client.NewRegistry()
	m := &Metrics{reporter: prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})}
	m.Scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pomeloway", CachedReporter: m.reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, Interval)
	return m
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close passes the last values to the reporter and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// SetGauges sets a gauge for each number and boolean in the JSON encoding of v. Nested
// objects become subscopes.
func SetGauges(s tally.Scope, v any) {
	var m map[string]any
	b, err := json.Marshal(v)
	if err != nil || json.Unmarshal(b, &m) != nil {
		return
	}
	for k, x := range m {
		switch x := x.(type) {
		case float64:
			s.Gauge(k).Update(x)
		case bool:
			s.Gauge(k).Update(BoolValue(x))
		case map[string]any:
			SetGauges(s.SubScope(k), x)
		}
	}
}

// BoolValue returns 1 for true and 0 for false.
func BoolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
