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

// Fleet is a running site for measurements: balancers and agents without
// callers.
type Fleet struct{ s *Site }

// StartFleet starts a site with so many balancers and upstreams of one service,
// spread over the zones, that are spoken to by the protocol.
func StartFleet(ctx context.Context, balancers, upstreams, zones int, p upstream.Protocol) (*Fleet, error) {
	d := Deployment{Name: "fleet", Balancers: balancers, Services: []ServiceSize{{Name: "web", Upstreams: upstreams, Slots: 6, Connections: 8000, Protocol: p}}}
	for z := range zones {
		d.Zones = append(d.Zones, bundle.Name(fmt.Sprintf("zone-%d", z+1)))
	}
	s, err := NewSite(d, slog.New(slog.DiscardHandler), guard.Off{})
	if err != nil {
		return nil, err
	}
	s.health = "" // a look at the own VM's upstream is no traffic of the fleet
	if err := s.Start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return &Fleet{s}, nil
}

// Close ends the fleet.
func (f *Fleet) Close() { f.s.Close() }

// Change accepts one more bundle and returns how long it took to be in force in
// every process.
func (f *Fleet) Change(ctx context.Context) (time.Duration, error) {
	cur, err := f.s.Desk.Current(ctx)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := f.s.acceptText(ctx, append([]byte("# Touched.\n"), cur.Signed.Text...)); err != nil {
		return 0, err
	}
	err = f.s.InForce(ctx, cur.Version+1)
	return time.Since(start), err
}

// Hold opens flows that each hold a feed with a line a minute, and returns the
// function that ends them.
func (f *Fleet) Hold(ctx context.Context, flows int) (end func(), err error) {
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

// PlatformCalls returns the reads and writes that the platform took so far.
func (f *Fleet) PlatformCalls() (reads, writes uint64) {
	c := f.s.Platform.Counts()
	return c.Reads, c.Writes
}
