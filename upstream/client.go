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

// RequestID names one run of one request towards the upstream.
type RequestID string

// HeaderRequest carries the RequestID to the upstream and back.
const HeaderRequest = "Pomeloway-Request"

// HeaderTimeout carries what is left of the caller's deadline, as a Go duration.
const HeaderTimeout = "Request-Timeout"

// Errors of Client.Do. ErrNotRun is certain: the request never left. Any other
// error leaves the outcome unknown.
var (
	ErrNotRun   = errors.New("request did not reach the upstream")
	ErrMismatch = errors.New("upstream's answer was to another request")
	errTaken    = errors.New("request's id is in use")
)

const (
	dialTimeout   = 2 * time.Second
	idleMost      = 64
	idleFor       = 30 * time.Second
	headerMost    = 64 << 10
	expectTimeout = time.Second
)

// Client sends requests to the upstream over HTTP and matches its answers.
type Client struct {
	// CheckID says that an answer must carry its request's id.
	CheckID atomic.Bool
	// Crossed counts answers that came on another request's connection,
	// Dropped those that nobody waited for any more.
	Crossed, Dropped atomic.Uint64

	address netip.AddrPort
	tr      http.RoundTripper

	mu      sync.Mutex
	waiting map[RequestID]chan *http.Response
}

// Protocol is what an upstream speaks.
type Protocol string

// Protocols of upstreams. Over HTTP/1.1 each open feed takes a connection; over
// HTTP/2 without TLS (prior knowledge, RFC 9113, 3.3) all share some.
const (
	ProtocolHTTP1 Protocol = "http/1.1"
	ProtocolH2C   Protocol = "h2c"
)

// streamBuffer is what the upstream may send of one answer before its caller has
// taken it, in bytes. The buffer of a whole connection is left as large as the
// library makes it.
//
// A caller that reads nothing fills its stream's share of the connection. Were
// the connection's buffer a few times the stream's, a few such callers would
// stop the feeds of all others; it shows as boards that stand still.
const streamBuffer = 64 << 10

// Pings find an upstream that fell silent on a connection that many feeds share.
const (
	pingAfter = 5 * time.Second
	pingWait  = 5 * time.Second
)

// set makes the transport speak the protocol.
func (p Protocol) set(t *http.Transport, d *net.Dialer) {
	if p != ProtocolH2C {
		t.DialContext = lingering(d)
		return
	}
	t.Protocols = &http.Protocols{}
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: streamBuffer, SendPingTimeout: pingAfter, PingTimeout: pingWait}
}

// NewClient returns a client of the upstream at the address.
func NewClient(a netip.AddrPort, p Protocol) *Client { return NewClientOver(a, NewTransport(p)) }

// NewTransport returns a transport for upstreams that speak the protocol.
func NewTransport(p Protocol) http.RoundTripper {
	d := net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    idleMost,
		IdleConnTimeout:        idleFor,
		MaxResponseHeaderBytes: headerMost,
		ExpectContinueTimeout:  expectTimeout,
		DisableCompression:     true,
	}
	p.set(t, &d)
	return t
}

// NewClientOver returns a client that reaches the upstream by the transport,
// which must tell of a connection through httptrace, as net/http's does.
func NewClientOver(a netip.AddrPort, tr http.RoundTripper) *Client {
	return &Client{address: a, tr: tr, waiting: map[RequestID]chan *http.Response{}}
}

// Close ends idle connections.
func (c *Client) Close() {
	if t, ok := c.tr.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// maxHealth bounds what is read of a health end point's answer, in bytes.
const maxHealth = 4 << 10

// Health returns the status that the upstream answers at the path.
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
	io.Copy(io.Discard, io.LimitReader(a.Body, maxHealth)) // so that the connection is kept
	return a.StatusCode, nil
}

// idempotencyHeaders make net/http's transport repeat any request, a POST too,
// when a kept connection fails.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// Do sends the request under the id and returns the answer to it.
//
// With an idempotency header net/http's transport would send an order again
// after its connection broke in mid-request; it would show as one order run
// twice. The header ends at the agent, which keeps the promise itself, so the
// transport repeats a POST only when not one byte of it was written.
func (c *Client) Do(r *http.Request, id RequestID) (*http.Response, error) {
	ch, err := c.expect(id)
	if err != nil {
		return nil, err
	}
	defer c.forget(id)
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

// exchange makes the round trip. The answer may turn out to be another
// request's, so it outlives the request's context once it is handed over.
func (c *Client) exchange(r *http.Request) (*answer, error) {
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
		return nil, &UnfinishedError{err, endOn(conn.Conn)}
	}
	b := &body{ReadCloser: a.Body, cancel: cancel}
	if conn != nil {
		b.conn = conn.Conn
	}
	a.Body = b
	return &answer{Response: a, detach: detach}, nil
}

// answer is a response and the function that frees it from the context of the
// request whose connection it came on.
type answer struct {
	*http.Response
	detach func() bool
}

// body ends its exchange when it is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
	conn   net.Conn
	whole  bool
}

// Read reads the answer's body and notes its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

// EndOf returns the end of a request whose answer's body was closed; nil if its
// upstream has stopped already.
func EndOf(answer io.ReadCloser) End {
	b, ok := answer.(*body)
	if !ok || b.whole {
		return nil
	}
	return endOn(b.conn)
}

// Close closes the body and cancels what is left of the exchange.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func (c *Client) expect(id RequestID) (chan *http.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.waiting[id]; ok {
		return nil, eris.Wrap(ErrNotRun, errTaken.Error())
	}
	ch := make(chan *http.Response, 1)
	c.waiting[id] = ch
	return ch, nil
}

// forget drops an answer that was handed over but is waited for no more.
func (c *Client) forget(id RequestID) {
	c.mu.Lock()
	ch := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	select {
	case a := <-ch:
		c.drop(a)
	default:
	}
}

func (c *Client) drop(a *http.Response) {
	c.Dropped.Add(1)
	a.Body.Close()
}

// crossWait is how long a request waits for its own answer after another's came
// on its connection.
const crossWait = 2 * time.Second

// match returns the answer to the request with the id.
//
// An upstream that mixes up its answers would show one caller another's letter.
// The id in the answer tells: an answer to a request that still waits is handed
// to it, any other is dropped, and this request waits for its own.
func (c *Client) match(ctx context.Context, a *answer, id RequestID, own chan *http.Response) (*http.Response, error) {
	if !c.CheckID.Load() || RequestID(a.Header.Get(HeaderRequest)) == id {
		return a.Response, nil
	}
	a.detach()
	c.handOver(a.Response)
	t := time.NewTimer(crossWait)
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

func (c *Client) handOver(a *http.Response) {
	c.mu.Lock()
	ch, ok := c.waiting[RequestID(a.Header.Get(HeaderRequest))]
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

// Sizes of the buffers that a body passes through, whatever its length. A feed
// that mostly waits holds the small one while it does.
const (
	smallCopy = 2 << 10
	largeCopy = 32 << 10
)

var (
	smallBuffers = sync.Pool{New: func() any { b := make([]byte, smallCopy); return &b }}
	largeBuffers = sync.Pool{New: func() any { b := make([]byte, largeCopy); return &b }}
)

// Stream copies body to w and flushes after each read, so that a feed's first
// byte arrives at once and a slow reader slows the writer. It reads into a large
// buffer only while the last read filled the one before.
func Stream(w io.Writer, flush func() error, body io.Reader) error {
	pool := &smallBuffers
	for {
		b := pool.Get().(*[]byte)
		n, err := body.Read(*b)
		werr := forward(w, flush, (*b)[:n])
		full := n == len(*b)
		pool.Put(b)
		switch {
		case werr != nil:
			return eris.Wrap(werr, "to caller")
		case err == io.EOF:
			return nil
		case err != nil:
			return eris.Wrap(err, "from upstream")
		}
		pool = &smallBuffers
		if full {
			pool = &largeBuffers
		}
	}
}

func forward(w io.Writer, flush func() error, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := w.Write(p); err != nil {
		return err
	}
	return flush()
}
