package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
)

// callTimeout bounds a call to a peer, on top of the requested long-poll wait.
const callTimeout = 3 * time.Second

// maxChangeBytes bounds a peer's response in bytes, before and after decompression.
// The full view of a large fleet fits.
const maxChangeBytes = 64 << 20

// Client calls peers. Callers' requests and view synchronization use separate
// connections: those for synchronization send keep-alives less often.
type Client struct {
	requests, viewSync *http3.Transport

	mu sync.Mutex
	// dict is the compression dictionary built from the bundle in force.
	dict *dictionary
}

// NewClient returns a client that authenticates with the identity.
func NewClient(i *Identity) *Client {
	transport := func(idle, alive time.Duration) *http3.Transport {
		return &http3.Transport{
			QUICConfig: &quic.Config{
				HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idle, KeepAlivePeriod: alive, MaxIncomingStreams: maxPeerStreams,
			},
			// The TLS settings are built for each connection, because peers reject
			// the key from process start once operators have retired it.
			Dial: func(ctx context.Context, a string, _ *tls.Config, q *quic.Config) (*quic.Conn, error) {
				return quic.DialAddr(ctx, a, i.ClientTLS(), q)
			},
		}
	}
	return &Client{requests: transport(callIdleTimeout, callKeepAlive), viewSync: transport(followIdleTimeout, followKeepAlive)}
}

// RoundTrip sends one request to a peer; the URL's host is the peer's address.
func (c *Client) RoundTrip(r *http.Request) (*http.Response, error) { return c.requests.RoundTrip(r) }

// Close closes all connections.
func (c *Client) Close() {
	c.requests.Close()
	c.viewSync.Close()
}

// Position is the point up to which a follower has read a peer's view.
type Position struct {
	Epoch, Revision uint64
}

// Follow returns the changes to the peer's view after the position. If there are
// none yet, the peer waits up to wait before it responds. have is the bundle in
// force in this process, or nil.
func (c *Client) Follow(ctx context.Context, a netip.AddrPort, at Position, have *bundle.Accepted, wait time.Duration) (fleet.Change, error) {
	ctx, stop := context.WithTimeout(ctx, wait+callTimeout)
	defer stop()
	var out fleet.Change
	version, d, err := c.dictionaryOf(have)
	if err != nil {
		return out, err
	}
	u := fmt.Sprintf("https://%s%s?epoch=%d&revision=%d&have=%d&wait=%s", a, pathFleet, at.Epoch, at.Revision, version, wait)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return out, eris.Wrap(err, "follow")
	}
	d.setRequestHeaders(r.Header)
	b, err := c.do(r, d)
	if err != nil {
		return out, err
	}
	return out, eris.Wrap(json.Unmarshal(b, &out), "decode peer's change")
}

// Announce sends a change of the view to the peer.
func (c *Client) Announce(ctx context.Context, a netip.AddrPort, ch fleet.Change) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	b, err := json.Marshal(ch)
	if err != nil {
		return eris.Wrap(err, "announce")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+a.String()+pathAnnounce, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "announce")
	}
	_, err = c.do(r, nil)
	return err
}

// dictionaryOf returns the bundle's version and its dictionary, which is cached
// until another bundle comes into force.
func (c *Client) dictionaryOf(a *bundle.Accepted) (bundle.Version, *dictionary, error) {
	if a == nil {
		return 0, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dict == nil || c.dict.digest != a.Digest {
		d, err := newDictionary(a.Signed.Text)
		if err != nil {
			return 0, nil, err
		}
		c.dict = d
	}
	return a.Version, c.dict, nil
}

func (c *Client) do(r *http.Request, d *dictionary) ([]byte, error) {
	a, err := c.viewSync.RoundTrip(r)
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s", r.URL.Host)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxChangeBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s", r.URL.Host)
	}
	if a.StatusCode >= http.StatusBadRequest {
		return nil, eris.Errorf("peer %s responded with status %d: %s", r.URL.Host, a.StatusCode, b)
	}
	b, err = unpack(b, a.Header.Get("Content-Encoding"), d)
	return b, eris.Wrapf(err, "peer %s", r.URL.Host)
}
