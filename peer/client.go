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

// callTimeout bounds a call to a peer beyond the time it was asked to wait.
const callTimeout = 3 * time.Second

// maxChange bounds the answer of a peer, in bytes: a whole large fleet.
const maxChange = 64 << 20

// Client calls peers. It follows over connections of their own, which are kept
// alive less often than those that carry callers' requests.
type Client struct {
	calls, follows *http3.Transport

	mu sync.Mutex
	// have is the dictionary of the bundle in force.
	have *dictionary
}

// NewClient returns a client with the identity.
func NewClient(i *Identity) *Client {
	transport := func(idle, alive time.Duration) *http3.Transport {
		return &http3.Transport{
			QUICConfig: &quic.Config{
				HandshakeIdleTimeout: peerHandshake, MaxIdleTimeout: idle, KeepAlivePeriod: alive, MaxIncomingStreams: peerStreams,
			},
			// The key to present is that of the moment: one taken when the
			// process started would be refused once operators retire it.
			Dial: func(ctx context.Context, a string, _ *tls.Config, q *quic.Config) (*quic.Conn, error) {
				return quic.DialAddr(ctx, a, i.ClientTLS(), q)
			},
		}
	}
	return &Client{calls: transport(callIdle, callAlive), follows: transport(followIdle, followAlive)}
}

// RoundTrip makes one request of a peer; the URL's host is its peer address.
func (c *Client) RoundTrip(r *http.Request) (*http.Response, error) { return c.calls.RoundTrip(r) }

// Close ends all connections.
func (c *Client) Close() {
	c.calls.Close()
	c.follows.Close()
}

// Position is how far a follower has read a peer's view.
type Position struct {
	Epoch, Revision uint64
}

// Follow returns what changed at the peer after the position, waiting for it.
// have is the bundle in force here, or nil.
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
	d.ask(r.Header)
	b, err := c.do(r, d)
	if err != nil {
		return out, err
	}
	return out, eris.Wrap(json.Unmarshal(b, &out), "peer's change")
}

// Announce tells the peer of a change.
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

// dictionaryOf returns the bundle's version and its dictionary, which is made
// anew only when the bundle in force is another.
func (c *Client) dictionaryOf(a *bundle.Accepted) (bundle.Version, *dictionary, error) {
	if a == nil {
		return 0, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.have == nil || c.have.of != a.Digest {
		d, err := newDictionary(a.Signed.Text)
		if err != nil {
			return 0, nil, err
		}
		c.have = d
	}
	return a.Version, c.have, nil
}

func (c *Client) do(r *http.Request, d *dictionary) ([]byte, error) {
	a, err := c.follows.RoundTrip(r)
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s", r.URL.Host)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxChange))
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s", r.URL.Host)
	}
	if a.StatusCode >= http.StatusBadRequest {
		return nil, eris.Errorf("peer %s answers %d: %s", r.URL.Host, a.StatusCode, b)
	}
	b, err = unpack(b, a.Header.Get("Content-Encoding"), d)
	return b, eris.Wrapf(err, "peer %s", r.URL.Host)
}
