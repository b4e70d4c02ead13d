package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/platform"
)

// recordRoutes writes the record of routes to the store whenever it changes and this balancer is the one
// that writes it. It is written after the configuration is in force, so that a slow store delays nothing.
func (b *Balancer) recordRoutes() {
	t := newBackoff()
	tick := time.NewTicker(datagram.RouteRecordInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.routesChanged:
		case <-tick.C:
		case <-b.ctx.Done():
			return
		}
		var r datagram.RouteRecord
		var due bool
		if !b.loop.do(b.ctx, func(now time.Duration) { r, due = b.balancer.RouteRecordDue(now) }) {
			return
		}
		if !due {
			continue
		}
		if b.writeRouteRecord(r) == nil {
			t.reset()
		} else if !clock.Sleep(b.ctx, t.nextDelay()) {
			return
		}
	}
}

// writeRouteRecord writes the record as the status of the configuration object, if that is still the one
// that this balancer knows. Otherwise it applies the current one.
func (b *Balancer) writeRouteRecord(r datagram.RouteRecord) error {
	ctx, stop := context.WithTimeout(b.ctx, storeTimeout)
	defer stop()
	at := b.view.Load().Configuration.Meta.Revision
	o, err := b.store.client().UpdateStatus(ctx, platform.KindConfiguration, platform.ConfigurationName, platform.EncodeRouteRecord(r), at)
	switch {
	case err == nil:
		b.log.Add(events.RoutesRecorded, slog.Int("addresses", len(r)), slog.Uint64("revision", uint64(o.Meta.Revision)))
	case !errors.Is(err, platform.ErrConflict):
		b.log.Add(events.PlatformDown, slog.String("kind", string(platform.KindConfiguration)), slog.String("error", err.Error()))
		return err
	}
	if o.Meta.Revision != 0 {
		b.applyConfiguration(o, sourceStore)
	}
	return nil
}

// wakeRecorder makes recordRoutes check at once whether the record has to be written.
func (b *Balancer) wakeRecorder() {
	select {
	case b.routesChanged <- struct{}{}:
	default:
	}
}
