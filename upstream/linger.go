package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// An upstream finds out some time after its caller that a request was broken off, and
// works on it until then. The end of its own side of the connection proves that it has
// stopped: servers close a connection that their client has closed once its handler
// returns. So a connection is closed in one direction first, and the slot of the
// request is given back when the other direction ends. Over HTTP/2 requests share a
// connection, each is reset by itself, and nothing proves its end: its slot is given
// back after a while.

// lingerMost keeps a slot from being lost to an upstream that never closes.
const lingerMost = 5 * time.Second

// resetSettle keeps the slot while a reset reaches the upstream and its handler stops.
const resetSettle = 250 * time.Millisecond

// lingerConn is a connection whose Close waits in the background for the other side.
type lingerConn struct {
	*net.TCPConn
	once  sync.Once
	ended chan struct{}
}

// Close ends the sending direction, and both when the other side has ended or
// lingerMost has passed.
func (c *lingerConn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.CloseWrite()
		go c.drain()
	})
	return err
}

func (c *lingerConn) drain() {
	defer close(c.ended)
	defer c.TCPConn.Close()
	if c.SetReadDeadline(time.Now().Add(lingerMost)) == nil {
		io.Copy(io.Discard, c.TCPConn) // its end is all that counts
	}
}

// lingering returns a dial function whose connections linger.
func lingering(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		return &lingerConn{TCPConn: t, ended: make(chan struct{})}, nil
	}
}

// End calls a function when the upstream has stopped working on a request that was
// broken off, as far as that can be known.
type End func(func())

// endOn returns the end of what was broken off on the connection.
func endOn(c net.Conn) End {
	l, ok := c.(*lingerConn)
	if !ok {
		return func(f func()) { time.AfterFunc(resetSettle, f) }
	}
	return func(f func()) {
		go func() {
			<-l.ended
			f()
		}()
	}
}

// UnfinishedError says that a request was broken off while its upstream may work on it.
type UnfinishedError struct {
	Err error
	End End
}

func (e *UnfinishedError) Error() string { return e.Err.Error() }

// Unwrap returns why the request was broken off.
func (e *UnfinishedError) Unwrap() error { return e.Err }
