package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// This file detects when an upstream stops working on an aborted request. The
// upstream notices an abort with a delay, and the request occupies it until then.
//
// Over HTTP/1.1, the agent closes only its sending direction of the connection. A
// server closes such a connection once its handler returns, so the end of the other
// direction proves that the upstream has stopped, and the slot is released then.
// Over HTTP/2, requests share a connection and each is reset separately. Nothing
// proves that the upstream has stopped, so the slot is released after a delay.

// lingerTimeout limits how long an upstream that never closes its side of a
// connection can occupy a slot.
const lingerTimeout = 5 * time.Second

// streamResetDelay is how long the slot of a reset HTTP/2 request stays occupied, so
// that the reset can reach the upstream and its handler can stop.
const streamResetDelay = 250 * time.Millisecond

// lingerConn is a connection whose Close waits in the background until the peer has
// closed its side. closed is closed after that wait.
type lingerConn struct {
	*net.TCPConn
	once   sync.Once
	closed chan struct{}
}

// Close closes the sending direction. It closes the whole connection in the
// background when the peer has closed its side or lingerTimeout has passed.
func (c *lingerConn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.CloseWrite()
		go c.drain()
	})
	return err
}

// drain discards incoming data until the peer closes its side or lingerTimeout has
// passed, and closes the connection.
func (c *lingerConn) drain() {
	defer close(c.closed)
	defer c.TCPConn.Close()
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		io.Copy(io.Discard, c.TCPConn) // any error ends the wait, too
	}
}

// lingerDialer returns a dial function that returns lingerConns.
func lingerDialer(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		return &lingerConn{TCPConn: t, closed: make(chan struct{})}, nil
	}
}

// OnStop calls the given function in the background once the upstream has stopped
// working on an aborted request, or is assumed to have stopped.
type OnStop func(func())

// connOnStop returns the OnStop of a request that was aborted on this connection.
func connOnStop(c net.Conn) OnStop {
	l, ok := c.(*lingerConn)
	if !ok {
		return func(f func()) { time.AfterFunc(streamResetDelay, f) }
	}
	return func(f func()) {
		go func() {
			<-l.closed
			f()
		}()
	}
}

// UnfinishedError is the error of a request that was aborted while the upstream may
// still work on it. OnStop reports when the upstream has stopped.
type UnfinishedError struct {
	Err    error
	OnStop OnStop
}

func (e *UnfinishedError) Error() string { return e.Err.Error() }

// Unwrap returns the error that aborted the request.
func (e *UnfinishedError) Unwrap() error { return e.Err }
