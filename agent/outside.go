package agent

import (
	"context"
	"sync"
	"sync/atomic"
)

// outside are the requests that siblings in other availability zones passed here.
//
// Their flows end at the siblings, so closing this agent's flows when its zone goes
// out ends none of them; a feed that was passed here would be served on from a zone
// that must be silent. It shows as an upstream of the zone that still sends. So they
// are ended with the zone, and the sibling's caller sees its answer cut. The zero
// value is ready.
type outside struct {
	mu  sync.Mutex
	out bool
	// in ends with end, when the zone goes out; nil until somebody needs it.
	in  context.Context
	end context.CancelFunc
}

// enter returns a context that ends when the zone goes out, or false if it is out.
func (o *outside) enter(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	if o.out {
		return ctx, stop, false
	}
	if o.in == nil {
		o.in, o.end = context.WithCancel(context.Background())
	}
	leave := context.AfterFunc(o.in, stop)
	return ctx, func() { leave(); stop() }, true
}

// follow takes over whether the zone is out, and ends what is here if so. The flag
// is read under the lock: a zone that comes back at the very moment in which its
// requests are to end must not stay out here.
func (o *outside) follow(out *atomic.Bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out = out.Load()
	if o.out && o.in != nil {
		o.end()
		o.in = nil
	}
}

// refuseOutside refuses what a sibling passes to a zone that is out. An order that
// comes to its key's home may have run before.
func refuseOutside(passed string) *refusal {
	if passed == passedHome {
		return refuseUnknown("the availability zone of the agent that issued the key is out")
	}
	return refuseFull("the availability zone is out")
}
