package demo

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/upstream"
)

// Fleet is a site of balancers and agents without callers, for measurements.
type Fleet struct{ s *Site }

// StartFleet starts a site with one service. The given numbers of balancers and
// upstreams are distributed over the zones; agents use protocol p to upstreams.
func StartFleet(ctx context.Context, balancers, upstreams, zones int, p upstream.Protocol) (*Fleet, error) {
	d := Deployment{Name: "fleet", Balancers: balancers, Services: []ServiceSpec{{Name: "web", Upstreams: upstreams, Slots: 6, Connections: 8000, Protocol: p}}}
	for z := range zones {
		d.Zones = append(d.Zones, bundle.Name(fmt.Sprintf("zone-%d", z+1)))
	}
	s, err := NewSite(d, slog.New(slog.DiscardHandler), guard.Off{})
	if err != nil {
		return nil, err
	}
	s.healthPath = "" // health checks stay within a VM and are not traffic of the fleet
	if err := s.Start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return &Fleet{s}, nil
}

// Close stops the fleet.
func (f *Fleet) Close() { f.s.Close() }

// ChangeBundle accepts one more bundle and returns the time until it is in force in
// every process.
func (f *Fleet) ChangeBundle(ctx context.Context) (time.Duration, error) {
	cur, err := f.s.Bundles.Current(ctx)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := f.s.acceptBundle(ctx, append([]byte("# Touched.\n"), cur.Signed.Text...)); err != nil {
		return 0, err
	}
	err = f.s.WaitInForce(ctx, cur.Version+1)
	return time.Since(start), err
}

// OpenFeeds opens the given number of flows, each with a feed of one line per minute.
// The returned function closes them.
func (f *Fleet) OpenFeeds(ctx context.Context, flows int) (end func(), err error) {
	ctx, end = context.WithCancel(ctx)
	rec := newRecorder()
	for i := range flows {
		x, err := openFlow(ctx, f.s, rec, 0)
		if err != nil {
			end()
			return nil, err
		}
		context.AfterFunc(ctx, x.close)
		go x.feed(ctx, fmt.Sprintf("caller-%d", i), 1000, time.Minute)
	}
	return end, nil
}

// PlatformCalls returns the numbers of reads and writes that the platform has
// received.
func (f *Fleet) PlatformCalls() (reads, writes uint64) {
	c := f.s.Platform.Counts()
	return c.Reads, c.Writes
}
