package agent

import (
	"context"
	"sync"
	"sync/atomic"
)

// siblingRequests tracks the requests that siblings in other availability zones passed
// here, and cancels them when this agent's zone goes out.
//
// Their flows end at the siblings, so closing this agent's flows does not end them. A
// feed that was passed here would continue, and an upstream of a zone that is out would
// still send. When the requests are canceled, the siblings' callers see their
// responses cut off. The zero value is ready to use.
type siblingRequests struct {
	mu      sync.Mutex
	zoneOut bool
	// zoneCtx is canceled by cancel when the zone goes out. It is nil until a request
	// needs it.
	zoneCtx context.Context
	cancel  context.CancelFunc
}

// register returns a context that is canceled when the zone goes out, or false if the
// zone is out.
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

// syncZone records whether the zone is out, and cancels the requests if it is. It reads
// the flag under the lock: otherwise a zone that comes back just as its requests are
// canceled could stay recorded as out.
func (o *siblingRequests) syncZone(zoneOut *atomic.Bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zoneOut = zoneOut.Load()
	if o.zoneOut && o.zoneCtx != nil {
		o.cancel()
		o.zoneCtx = nil
	}
}

// refuseZoneOut returns the refusal of a request that a sibling passes to a zone that
// is out. A request sent to its key's home may have run before, so its outcome is
// unknown.
func refuseZoneOut(passed string) *refusal {
	if passed == passedHome {
		return refuseUnknown("the availability zone of the agent that issued the key is out")
	}
	return refuseFull("the availability zone is out")
}
