package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/idempotency"
)

// QUIC settings of a caller, as recommended in docs/CALLERS.md.
const (
	callIdleTimeout     = 8 * time.Second
	callKeepAlivePeriod = 2 * time.Second
)

// runCall sends one request over HTTP/3 and copies the response body to s.out as
// it arrives.
func runCall(ctx context.Context, o CallOptions, s streams) error {
	ctx, stop := context.WithTimeout(ctx, o.Timeout)
	defer stop()
	t, err := o.transport()
	if err != nil {
		return err
	}
	defer t.Close()
	if o.Key == "new" {
		if o.Key, err = requestIdempotencyKey(ctx, t, o.URL); err != nil {
			return err
		}
		fmt.Fprintln(s.errs, "key:", o.Key)
	}
	r, err := http.NewRequestWithContext(ctx, o.Method, o.URL, strings.NewReader(o.Data))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	if o.Key != "" {
		r.Header.Set(idempotency.Header, o.Key)
	}
	a, err := t.RoundTrip(r)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer a.Body.Close()
	fmt.Fprintln(s.errs, "status:", a.StatusCode, "agent:", a.Header.Get(agent.HeaderAgent), "outcome:", a.Header.Get(agent.HeaderOutcome))
	_, err = io.Copy(s.out, a.Body)
	return eris.Wrap(err, "read response")
}

// transport returns an HTTP/3 transport that always dials o.Address, whichever
// host the URL names.
func (o CallOptions) transport() (*http3.Transport, error) {
	pool, err := x509.SystemCertPool()
	if err != nil || pool == nil {
		pool = x509.NewCertPool()
	}
	if o.CACert != "" {
		b, err := os.ReadFile(o.CACert)
		if err != nil {
			return nil, eris.Wrap(err, "--cacert")
		}
		if !pool.AppendCertsFromPEM(b) {
			return nil, eris.Errorf("--cacert: %s has no certificate in PEM format", o.CACert)
		}
	}
	return &http3.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool},
		QUICConfig:      &quic.Config{MaxIdleTimeout: callIdleTimeout, KeepAlivePeriod: callKeepAlivePeriod},
		Dial: func(ctx context.Context, _ string, c *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return quic.DialAddr(ctx, o.Address.String(), c, q)
		},
	}, nil
}

// requestIdempotencyKey requests an idempotency key from the host of the URL.
func requestIdempotencyKey(ctx context.Context, t *http3.Transport, url string) (string, error) {
	scheme, rest, _ := strings.Cut(url, "://")
	host, _, _ := strings.Cut(rest, "/")
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+host+agent.PathKey, nil)
	if err != nil {
		return "", eris.Wrap(err, "create request for idempotency key")
	}
	a, err := t.RoundTrip(r)
	if err != nil {
		return "", eris.Wrap(err, "request idempotency key")
	}
	defer a.Body.Close()
	var k agent.IssuedKey
	if err := json.NewDecoder(a.Body).Decode(&k); err != nil {
		return "", eris.Wrap(err, "decode idempotency key")
	}
	return k.Key, nil
}
