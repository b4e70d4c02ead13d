package node

import (
	"context"
	"sync"
)

// gate blocks goroutines while it is closed. Its zero value is closed.
type gate struct {
	mu     sync.Mutex
	open   bool
	opened chan struct{} // closed when the gate opens; nil if nobody waits
}

// set opens or closes the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open = open; open && g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait waits until the gate is open. It returns false if the context ends first.
func (g *gate) wait(ctx context.Context) bool {
	for ctx.Err() == nil {
		opened := g.waiter()
		if opened == nil {
			return true
		}
		select {
		case <-opened:
		case <-ctx.Done():
		}
	}
	return false
}

// waiter returns nil if the gate is open, or else a channel that is closed when it opens.
func (g *gate) waiter() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		return nil
	}
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
	return g.opened
}
