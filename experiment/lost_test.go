package experiment

import (
	"testing"
	"time"
)

// Guards against callers of lost flows that are told later in a fleet whose set of balancers
// is too large to be listed in statuses. All flows are lost with all VMs, and homes have to
// agree with the agents on the set before they can tell.
func TestLostFlowsAreToldAsSoonInALargeFleet(t *testing.T) {
	t.Parallel()
	for name, n := range fleets {
		if n < 7 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSite(t, 1, n, 2*n, 600)
			w.powerLoss(700 * time.Millisecond)
			w.runUntil(w.now + time.Second) // the last VM has started
			before := w.resets
			w.runUntil(w.now + 750*time.Millisecond)
			soon := w.resets - before
			w.runUntil(w.now + 2*time.Second)
			if all := w.resets - before; all == 0 || soon < all*9/10 {
				t.Errorf("%d of %d callers of lost flows were told within 0.75 s", soon, all)
			}
			w.checkBreaches(t)
		})
	}
}
