// Package clock provides waits that a context can end. They use the clock of package time,
// which testing/synctest replaces in tests.
package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration d. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
