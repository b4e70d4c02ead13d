package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"pomeloway.example/pomeloway/demo"
	"pomeloway.example/pomeloway/upstream"
)

// FleetSize is the size of a fleet to measure.
type FleetSize struct{ Balancers, Upstreams int }

const (
	// flowSettleTime is how long flows settle before they are measured, and after
	// they have ended.
	flowSettleTime = 3 * time.Second
	// fleetSettleTime is how long a fleet settles before it is measured. By then no
	// process changes the relay that it follows any more.
	fleetSettleTime = 25 * time.Second
)

// fleetZones is the number of availability zones of a measured fleet.
const fleetZones = 4

// changesPerSize is the number of bundles accepted at each size.
const changesPerSize = 5

// MeasureFleets measures whole fleets without callers: balancers, agents and the
// platform's stand-in, all in this process and connected over loopback.
func MeasureFleets(ctx context.Context, sizes []FleetSize, hold time.Duration, progress io.Writer) ([]Slope, error) {
	var cpu, net, heap, reads, inForce, change []Point
	for _, z := range sizes {
		n := float64(z.Balancers + z.Upstreams)
		fmt.Fprintf(progress, "measuring a fleet of %d balancers and %d agents\n", z.Balancers, z.Upstreams)
		before := memoryInUse()
		f, err := startFleet(ctx, z, upstream.ProtocolHTTP1)
		if err != nil {
			return nil, err
		}
		time.Sleep(fleetSettleTime)
		a := readUsage()
		ra, _ := f.PlatformCalls()
		time.Sleep(hold)
		cores, bytes := readUsage().ratesSince(a)
		rb, _ := f.PlatformCalls()
		at := func(v float64) Point { return Point{n, v} }
		cpu, net = append(cpu, at(cores)), append(net, at(bytes))
		reads = append(reads, at(float64(rb-ra)/hold.Seconds()))
		heap = append(heap, at(memoryInUse()-before))
		took, each, err := measureChanges(ctx, f, bytes)
		f.Close()
		if err != nil {
			return nil, err
		}
		inForce, change = append(inForce, at(took)), append(change, at(each))
	}
	return []Slope{
		NewSlope("processor, quiet", "process", "cores", cpu),
		NewSlope("traffic, quiet", "process", "B/s", net),
		NewSlope("memory", "process", "B", heap),
		NewSlope("platform's reads", "process", "1/s", reads),
		NewSlope("bundle in force everywhere", "process", "s", inForce),
		NewSlope("traffic of one change", "process", "B", change),
	}, nil
}

// startTimeout is the maximum time for the start of a large fleet.
const startTimeout = 90 * time.Second

func startFleet(ctx context.Context, z FleetSize, p upstream.Protocol) (*demo.Fleet, error) {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	return demo.StartFleet(ctx, z.Balancers, z.Upstreams, fleetZones, p)
}

// measureChanges accepts several bundles. It returns the median time until a
// bundle is in force everywhere, and the bytes sent per bundle in addition to the
// traffic without changes, which is quietBytes per second.
func measureChanges(ctx context.Context, f *demo.Fleet, quietBytes float64) (seconds, bytes float64, err error) {
	var took []float64
	a := readUsage()
	for range changesPerSize {
		d, err := f.ChangeBundle(ctx)
		if err != nil {
			return 0, 0, err
		}
		took = append(took, d.Seconds())
		time.Sleep(time.Second)
	}
	b := readUsage()
	extra := b.net - a.net - quietBytes*b.at.Sub(a.at).Seconds()
	return median(took), max(0, extra) / changesPerSize, nil
}

// MeasureFlows measures the cost of an open feed with upstreams of the given protocol.
// This includes the cost at the caller and the upstream because all run in this
// process.
func MeasureFlows(ctx context.Context, p upstream.Protocol, sizes []int, hold time.Duration, progress io.Writer) ([]Slope, error) {
	f, err := startFleet(ctx, FleetSize{2, 6}, p)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var heap, cpu, net []Point
	for _, n := range sizes {
		fmt.Fprintf(progress, "measuring %d flows with an open feed each, upstream protocol %s\n", n, p)
		end, err := f.OpenFeeds(ctx, n)
		if err != nil {
			return nil, err
		}
		time.Sleep(flowSettleTime)
		a := readUsage()
		time.Sleep(hold)
		cores, bytes := readUsage().ratesSince(a)
		at := func(v float64) Point { return Point{float64(n), v} }
		heap, cpu, net = append(heap, at(memoryInUse())), append(cpu, at(cores)), append(net, at(bytes))
		end()
		time.Sleep(flowSettleTime)
	}
	return []Slope{
		NewSlope("memory, both ends of a feed, "+string(p), "flow", "B", heap),
		NewSlope("processor, quiet feeds, "+string(p), "flow", "cores", cpu),
		NewSlope("traffic, quiet feeds, "+string(p), "flow", "B/s", net),
	}, nil
}
