package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"pomeloway.example/pomeloway/upstream"
)

// flowTable holds the open flows of an agent.
type flowTable struct {
	mu   sync.Mutex
	next upstream.FlowID
	open map[upstream.FlowID]*quic.Conn
}

func newFlowTable() *flowTable { return &flowTable{open: map[upstream.FlowID]*quic.Conn{}} }

// add registers the flow until its connection ends, then calls onClose.
func (t *flowTable) add(c *quic.Conn, onClose func()) upstream.FlowID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	id := t.next
	t.open[id] = c
	context.AfterFunc(c.Context(), func() {
		t.mu.Lock()
		delete(t.open, id)
		t.mu.Unlock()
		onClose()
	})
	return id
}

func (t *flowTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// addresses returns the addresses of the callers of the open flows.
func (t *flowTable) addresses() (out []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.open {
		out = append(out, c.RemoteAddr().String())
	}
	return out
}

func (t *flowTable) closeAll(code quic.ApplicationErrorCode, reason string) {
	t.mu.Lock()
	var all []*quic.Conn
	for _, c := range t.open {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		go closeFlow(c, code, reason)
	}
}

// handshakeWait is how long closeFlow waits for a handshake. By then balancers have dropped
// what callers send to a zone that is out, so most handshakes that are not complete never will be.
const handshakeWait = 300 * time.Millisecond

// closeFlow closes a flow with a reason. QUIC can't send the reason before the
// handshake is complete, and the flow would look broken instead of closed on purpose.
// So closeFlow waits for the handshake, but only for a moment: a caller that has completed
// its side of the handshake would wait for its first answer until its idle timeout.
func closeFlow(c *quic.Conn, code quic.ApplicationErrorCode, reason string) {
	t := time.NewTimer(handshakeWait)
	defer t.Stop()
	select {
	case <-c.HandshakeComplete():
	case <-t.C:
	case <-c.Context().Done():
		return
	}
	c.CloseWithError(code, reason)
}

func addrPort(a net.Addr) (netip.AddrPort, bool) {
	u, ok := a.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}, false
	}
	p := u.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port()), true
}
