package demo

import (
	"net/http"
	"strconv"
	"time"

	"pomeloway.example/pomeloway/standin"
	"pomeloway.example/pomeloway/upstream"
)

// shortBody is the longest request whose time to answer says something about the
// upstream, in bytes.
const shortBody = 64 << 10

// witness is an agent's way to its upstream. It tells the stand-in what the agent has
// heard, so that the agent is judged by what it could know.
type witness struct {
	http.RoundTripper
	up *standin.Upstream
}

// RoundTrip passes the request on with the moment at which it left.
func (w witness) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(upstream.HeaderRequest) == "" {
		return w.RoundTripper.RoundTrip(r) // a look at its health
	}
	sent := time.Now()
	r = r.Clone(r.Context())
	r.Header.Set(standin.HeaderSent, strconv.FormatInt(sent.UnixNano(), 10))
	a, err := w.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	w.up.Heard(standin.Heard{
		Sent: sent, Took: time.Since(sent),
		Short: r.ContentLength >= 0 && r.ContentLength <= shortBody,
		Shed:  a.StatusCode == http.StatusServiceUnavailable,
	})
	return a, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (w witness) CloseIdleConnections() {
	if c, ok := w.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
