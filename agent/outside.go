package agent

import (
	"context"
	"sync"
	"sync/atomic"
)

// siblingRequests are the requests that siblings in other availability zones passed here.
//
// Their flows end at the siblings, so closing this agent's flows when its zone goes
// out ends none of them; a feed that was passed here would be served on from a zone
// that must be silent. It shows as an upstream of the zone that still sends. So they
// are ended with the zone, and the sibling's caller sees its answer cut. The zero
// value is ready.
type siblingRequests struct {
	mu      sync.Mutex
	zoneOut bool
	// zoneCtx ends with end, when the zone goes out; nil until somebody needs it.
	zoneCtx context.Context
	cancel  context.CancelFunc
}

// register returns a context that ends when the zone goes out, or false if it is out.
func (o *siblingRequests) register(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	if o.zoneOut {
		return ctx, stop, false
	}
	if o.zoneCtx == nil {
		o.zoneCtx, o.cancel = context.WithCancel(context.Background())
	}
	unregister := context.AfterFunc(o.zoneCtx, stop)
	return ctx, func() { unregister(); stop() }, true
}

// syncZone takes over whether the zone is out, and ends what is here if so. The flag
// is read under the lock: a zone that comes back at the very moment in which its
// requests are to end must not stay out here.
func (o *siblingRequests) syncZone(zoneOut *atomic.Bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zoneOut = zoneOut.Load()
	if o.zoneOut && o.zoneCtx != nil {
		o.cancel()
		o.zoneCtx = nil
	}
}

// refuseZoneOut refuses what a sibling passes to a zone that is out. An order that
// comes to its key's home may have run before.
func refuseZoneOut(passed string) *refusal {
	if passed == passedHome {
		return refuseUnknown("the availability zone of the agent that issued the key is out")
	}
	return refuseFull("the availability zone is out")
}
