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
// connection and nothing proves the end of one.

// lingerMost keeps a slot from being lost to an upstream that never closes.
const lingerMost = 5 * time.Second

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

// endOf returns the channel that is closed when the other side of the connection has
// ended, or nil if that can't be known.
func endOf(c net.Conn) <-chan struct{} {
	if l, ok := c.(*lingerConn); ok {
		return l.ended
	}
	return nil
}

// UnfinishedError says that a request was broken off while its upstream may work on it.
type UnfinishedError struct {
	Err error
	// Ended is closed when the upstream has stopped; nil if that can't be known.
	Ended <-chan struct{}
}

func (e *UnfinishedError) Error() string { return e.Err.Error() }

// Unwrap returns why the request was broken off.
func (e *UnfinishedError) Unwrap() error { return e.Err }
