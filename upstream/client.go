package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// RequestID identifies one attempt to run a request on an upstream.
type RequestID string

// HeaderRequest is the header that carries the RequestID to the upstream and back.
const HeaderRequest = "Pomeloway-Request"

// HeaderTimeout is the header that carries the time until the caller's deadline,
// as a Go duration.
const HeaderTimeout = "Request-Timeout"

// Errors of Client.Do. ErrNotRun guarantees that the request was not sent. After
// any other error, it is unknown whether the upstream ran the request.
var (
	ErrNotRun   = errors.New("request did not reach the upstream")
	ErrMismatch = errors.New("upstream's answer was to another request")
	errIDInUse  = errors.New("request's id is in use")
)

// Limits of the HTTP transport.
const (
	dialTimeout     = 2 * time.Second
	maxIdleConns    = 64
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	continueTimeout = time.Second
)

// Client sends requests to the upstream over HTTP and matches its responses to
// them.
type Client struct {
	// CheckID requires that a response carries the ID of its request.
	CheckID atomic.Bool
	// Crossed counts responses that arrived on the connection of another request
	// and were delivered to their own. Dropped counts responses that no request
	// was waiting for.
	Crossed, Dropped atomic.Uint64

	address netip.AddrPort
	tr      http.RoundTripper

	mu      sync.Mutex
	pending map[RequestID]chan *http.Response
}

// Protocol is the HTTP version that an upstream supports.
type Protocol string

// Protocols of upstreams. Over HTTP/1.1, each open feed occupies a connection.
// Over HTTP/2 without TLS (prior knowledge, RFC 9113, section 3.3), all requests
// share a few connections.
const (
	ProtocolHTTP1 Protocol = "http/1.1"
	ProtocolH2C   Protocol = "h2c"
)

// streamBufferSize is the HTTP/2 flow-control window of a stream in bytes: how much
// of a response the upstream may send before the caller reads it. The window of
// the connection keeps the library's default.
//
// A caller that does not read fills the window of its stream. If the connection's
// window were only a few times larger, a few such callers would block the feeds of
// all others on that connection, and their display boards would stop updating.
const streamBufferSize = 64 << 10

// HTTP/2 pings detect an upstream that stopped responding on a connection that many
// feeds share. A ping is sent after pingIdleTimeout without a received frame and
// must be acknowledged within pingTimeout.
const (
	pingIdleTimeout = 5 * time.Second
	pingTimeout     = 5 * time.Second
)

// configure sets up the transport for the protocol.
func (p Protocol) configure(t *http.Transport, d *net.Dialer) {
	if p != ProtocolH2C {
		t.DialContext = lingerDialer(d)
		return
	}
	t.Protocols = &http.Protocols{}
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: streamBufferSize, SendPingTimeout: pingIdleTimeout, PingTimeout: pingTimeout}
}

// NewClient returns a client for the upstream at the address.
func NewClient(a netip.AddrPort, p Protocol) *Client {
	return NewClientWithTransport(a, NewTransport(p))
}

// NewTransport returns an HTTP transport for upstreams with the protocol.
func NewTransport(p Protocol) http.RoundTripper {
	d := net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ExpectContinueTimeout:  continueTimeout,
		DisableCompression:     true,
	}
	p.configure(t, &d)
	return t
}

// NewClientWithTransport returns a client that uses the given transport. Like the
// transport of net/http, it must call the GotConn hook of httptrace: a request that
// fails before GotConn counts as not run.
func NewClientWithTransport(a netip.AddrPort, tr http.RoundTripper) *Client {
	return &Client{address: a, tr: tr, pending: map[RequestID]chan *http.Response{}}
}

// Close closes idle connections.
func (c *Client) Close() {
	if t, ok := c.tr.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// maxHealthBody limits how much of a health response is read, in bytes.
const maxHealthBody = 4 << 10

// Health requests the path from the upstream and returns the HTTP status.
func (c *Client) Health(ctx context.Context, path string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address.String()+path, nil)
	if err != nil {
		return 0, eris.Wrap(err, "health")
	}
	a, err := c.tr.RoundTrip(r)
	if err != nil {
		return 0, eris.Wrap(err, "health")
	}
	defer a.Body.Close()
	io.Copy(io.Discard, io.LimitReader(a.Body, maxHealthBody)) // lets the transport reuse the connection
	return a.StatusCode, nil
}

// idempotencyHeaders are the headers that make net/http's transport resend any
// request, even a POST, when a reused connection fails.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// Do sends the request with the ID and returns its response.
//
// Do removes idempotency headers. With one, net/http's transport would resend an
// order after its connection broke mid-request, and the order would run twice.
// The agent itself guarantees idempotency, so the upstream does not need the
// header. Without it, the transport resends a POST only if no byte of it was
// written.
func (c *Client) Do(r *http.Request, id RequestID) (*http.Response, error) {
	ch, err := c.register(id)
	if err != nil {
		return nil, err
	}
	defer c.unregister(id)
	for _, h := range idempotencyHeaders {
		r.Header.Del(h)
	}
	r.URL.Scheme, r.URL.Host = "http", c.address.String()
	r.Header.Set(HeaderRequest, string(id))
	if d, ok := r.Context().Deadline(); ok {
		r.Header.Set(HeaderTimeout, time.Until(d).Round(time.Millisecond).String())
	}
	a, err := c.exchange(r)
	if err != nil {
		return nil, err
	}
	return c.match(r.Context(), a, id, ch)
}

// exchange makes the round trip. The response may belong to another request, so
// it can be detached from the context of r to outlive it.
func (c *Client) exchange(r *http.Request) (*detachableResponse, error) {
	var used atomic.Pointer[httptrace.GotConnInfo]
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	detach := context.AfterFunc(r.Context(), cancel)
	a, err := c.tr.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { used.Store(&i) },
	})))
	conn := used.Load()
	if err != nil {
		cancel()
		if conn == nil {
			return nil, eris.Wrap(ErrNotRun, err.Error())
		}
		return nil, &UnfinishedError{err, connOnStop(conn.Conn)}
	}
	b := &body{ReadCloser: a.Body, cancel: cancel}
	if conn != nil {
		b.conn = conn.Conn
	}
	a.Body = b
	return &detachableResponse{Response: a, detach: detach}, nil
}

// detachableResponse is a response with a function that detaches it from the
// context of the request on whose connection it arrived.
type detachableResponse struct {
	*http.Response
	detach func() bool
}

// body is a response body. Closing it cancels the exchange.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
	conn   net.Conn
	// complete is set once the body was read to its end.
	complete bool
}

// Read reads from the response body and records when its end is reached.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.complete = b.complete || err == io.EOF
	return n, err
}

// OnStopOf returns the OnStop of the request with the closed response body. It
// returns nil if the body was read to its end: the upstream has then stopped.
func OnStopOf(response io.ReadCloser) OnStop {
	b, ok := response.(*body)
	if !ok || b.complete {
		return nil
	}
	return connOnStop(b.conn)
}

// Close closes the body and cancels the exchange if it still runs.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// register returns the channel on which a response with the ID is delivered if it
// arrives on another request's connection.
func (c *Client) register(id RequestID) (chan *http.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.pending[id]; ok {
		return nil, eris.Wrap(ErrNotRun, errIDInUse.Error())
	}
	ch := make(chan *http.Response, 1)
	c.pending[id] = ch
	return ch, nil
}

// unregister ends the wait for the ID and drops a response that was delivered but
// not received.
func (c *Client) unregister(id RequestID) {
	c.mu.Lock()
	ch := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	select {
	case a := <-ch:
		c.drop(a)
	default:
	}
}

// drop counts and closes a response that no request is waiting for.
func (c *Client) drop(a *http.Response) {
	c.Dropped.Add(1)
	a.Body.Close()
}

// crossedTimeout is how long a request waits for its own response after that of
// another request arrived on its connection.
const crossedTimeout = 2 * time.Second

// match returns the response to the request with the ID.
//
// An upstream that mixes up its responses would show one caller the data of
// another. The ID in the response detects this: a response to another pending
// request is delivered to that request, any other response is dropped, and this
// request waits for its own.
func (c *Client) match(ctx context.Context, a *detachableResponse, id RequestID, own chan *http.Response) (*http.Response, error) {
	if !c.CheckID.Load() || RequestID(a.Header.Get(HeaderRequest)) == id {
		return a.Response, nil
	}
	a.detach()
	c.deliver(a.Response)
	t := time.NewTimer(crossedTimeout)
	defer t.Stop()
	select {
	case a := <-own:
		return a, nil
	case <-t.C:
		return nil, ErrMismatch
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// deliver passes the response to the pending request with its ID, or drops it.
func (c *Client) deliver(a *http.Response) {
	c.mu.Lock()
	ch, ok := c.pending[RequestID(a.Header.Get(HeaderRequest))]
	if ok {
		select {
		case ch <- a:
		default:
			ok = false
		}
	}
	c.mu.Unlock()
	if !ok {
		c.drop(a)
		return
	}
	c.Crossed.Add(1)
}

// Sizes of the buffers that Stream reads into, independent of the body's length. A
// feed that is idle holds a small one.
const (
	smallBufferSize = 2 << 10
	largeBufferSize = 32 << 10
)

var (
	smallBuffers = sync.Pool{New: func() any { b := make([]byte, smallBufferSize); return &b }}
	largeBuffers = sync.Pool{New: func() any { b := make([]byte, largeBufferSize); return &b }}
)

// Stream copies body to w and flushes after each read, so that data of a feed
// arrives without delay and a slow reader slows down the upstream. It uses a large
// buffer only after a read that filled the previous buffer.
func Stream(w io.Writer, flush func() error, body io.Reader) error {
	pool := &smallBuffers
	for {
		b := pool.Get().(*[]byte)
		n, err := body.Read(*b)
		werr := writeAndFlush(w, flush, (*b)[:n])
		full := n == len(*b)
		pool.Put(b)
		switch {
		case werr != nil:
			return eris.Wrap(werr, "write to caller")
		case err == io.EOF:
			return nil
		case err != nil:
			return eris.Wrap(err, "read from upstream")
		}
		pool = &smallBuffers
		if full {
			pool = &largeBuffers
		}
	}
}

// writeAndFlush writes p to w and flushes it. An empty p is skipped.
func writeAndFlush(w io.Writer, flush func() error, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := w.Write(p); err != nil {
		return err
	}
	return flush()
}
