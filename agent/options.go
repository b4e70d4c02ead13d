package agent

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/process"
	"pomeloway.example/pomeloway/settings"
	"pomeloway.example/pomeloway/upstream"
)

// Options are the settings of an agent.
type Options struct {
	process.Options `embed:""`
	Service         bundle.ServiceID  `help:"Number of the service that the upstream belongs to." required:"" env:"POMELOWAY_SERVICE" group:"Place"`
	Upstream        netip.AddrPort    `help:"Address of the upstream's HTTP port." required:"" env:"POMELOWAY_UPSTREAM" placeholder:"IP:PORT" group:"Addresses"`
	Protocol        upstream.Protocol `help:"Protocol of the upstream: ${enum}. With h2c (HTTP/2 without TLS), feeds share a few connections and need less memory." name:"upstream-protocol" enum:"http/1.1,h2c" default:"http/1.1" env:"POMELOWAY_UPSTREAM_PROTOCOL" group:"Addresses"`
	Health          string            `help:"Path on the upstream that returns status 503 while the upstream drains." env:"POMELOWAY_HEALTH" placeholder:"PATH" group:"Work"`
	Certificate     string            `help:"PEM file with the certificate chain that callers receive." type:"path" env:"POMELOWAY_CERTIFICATE" placeholder:"FILE" group:"Keys"`
	CertificateKey  string            `help:"PEM file with the private key of the certificate." type:"path" env:"POMELOWAY_CERTIFICATE_KEY" placeholder:"FILE" group:"Keys"`
	Drain           time.Duration     `help:"Maximum time that a graceful stop waits for running requests and for idempotency keys to expire." default:"4h" env:"POMELOWAY_DRAIN" group:"Work"`

	// TLS replaces the certificate files in tests and the demo.
	TLS *tls.Config `kong:"-"`
	// Wrap wraps the transport to the upstream in tests and the demo.
	Wrap func(http.RoundTripper) http.RoundTripper `kong:"-"`
}

// transport returns the HTTP transport to the upstream.
func (o *Options) transport() http.RoundTripper {
	t := upstream.NewTransport(o.Protocol)
	if o.Wrap != nil {
		return o.Wrap(t)
	}
	return t
}

// Validate returns all errors in the settings.
func (o *Options) Validate() error {
	var f settings.Errors
	f.Join(o.Options.Validate())
	f.Require(o.Service != 0, "--service", "must be 1 to 65535")
	f.RequireAddress("--upstream", o.Upstream)
	f.Require(o.Health == "" || strings.HasPrefix(o.Health, "/"), "--health", "must be a path such as /healthz")
	f.Require(o.Drain > 0, "--drain", "must be more than zero")
	if o.TLS == nil {
		_, err := o.callerTLS()
		f.AddError("--certificate", err)
	}
	return f.ErrOrNil()
}

func (o *Options) callerTLS() (*tls.Config, error) {
	if o.TLS != nil {
		return o.TLS, nil
	}
	c, err := tls.LoadX509KeyPair(o.Certificate, o.CertificateKey)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate for callers")
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c}}, nil
}
