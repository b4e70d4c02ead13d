package demo

import (
	"net/http"
	"strconv"
	"time"

	"pomeloway.example/pomeloway/standin"
	"pomeloway.example/pomeloway/upstream"
)

// maxShortBody is the size in bytes of the largest request body for which the
// response time reflects the state of the upstream, not the time of the upload.
const maxShortBody = 64 << 10

// observingTransport is the transport from an agent to its upstream. It reports
// each response that the agent has received to the upstream stand-in, so that only
// requests which the agent sent despite a known cold start count as its errors.
type observingTransport struct {
	http.RoundTripper
	up *standin.Upstream
}

// RoundTrip sends the request with a header that holds the time of sending.
func (w observingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(upstream.HeaderRequest) == "" {
		return w.RoundTripper.RoundTrip(r) // a health check
	}
	sent := time.Now()
	r = r.Clone(r.Context())
	r.Header.Set(standin.HeaderSent, strconv.FormatInt(sent.UnixNano(), 10))
	a, err := w.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	w.up.ObserveResponse(standin.Response{
		Sent: sent, Took: time.Since(sent),
		Short: r.ContentLength >= 0 && r.ContentLength <= maxShortBody,
		Shed:  a.StatusCode == http.StatusServiceUnavailable,
	})
	return a, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (w observingTransport) CloseIdleConnections() {
	if c, ok := w.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
