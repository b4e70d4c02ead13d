package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/settings"
	"pomeloway.example/pomeloway/upstream"
)

// Options are the settings of a measurement.
type Options struct {
	Quick bool          `help:"Measure only small sizes, as a quick check." env:"POMELOWAY_QUICK" group:"Run"`
	Hold  time.Duration `help:"Duration of the measurement of each size." default:"10s" env:"POMELOWAY_HOLD" group:"Run"`
	JSON  string        `help:"File for the slopes as JSON." name:"json" placeholder:"FILE" env:"POMELOWAY_JSON" group:"Output"`
	Plots string        `help:"Directory for the plots as SVG." placeholder:"DIR" env:"POMELOWAY_PLOTS" group:"Output"`
}

// Validate returns all errors in the settings.
func (o *Options) Validate() error {
	var f settings.Errors
	f.Require(o.Hold > 0, "--hold", "must be more than zero")
	return f.ErrOrNil()
}

// Run measures all slopes, prints a table and writes the JSON file and the plots
// that the options ask for.
func Run(ctx context.Context, o Options, progress, out io.Writer) error {
	fleets := []FleetSize{{2, 8}, {8, 42}, {17, 83}, {34, 166}}
	flows := []int{250, 500, 1000, 2000}
	if o.Quick {
		fleets, flows = []FleetSize{{2, 3}, {2, 6}, {3, 8}, {3, 12}}, []int{10, 20, 30, 40}
	}
	fmt.Fprintf(out, "%s %s/%s, %d processors\n", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	var all []Slope
	for _, f := range []func() ([]Slope, error){
		func() ([]Slope, error) { return MeasureBundles([]int{109, 218, 435, ServiceAddresses}) },
		func() ([]Slope, error) {
			return MeasureViews([]int{350, 700, 1400, Nodes + Upstreams}, ServiceAddresses)
		},
		func() ([]Slope, error) { return MeasureFlows(ctx, upstream.ProtocolHTTP1, flows, o.Hold, progress) },
		func() ([]Slope, error) { return MeasureFlows(ctx, upstream.ProtocolH2C, flows, o.Hold, progress) },
		func() ([]Slope, error) { return MeasureFleets(ctx, fleets, o.Hold, progress) },
	} {
		ss, err := f()
		if err != nil {
			return err
		}
		for _, s := range ss {
			fmt.Fprintln(out, s)
		}
		all = append(all, ss...)
	}
	return writeResults(all, o)
}

// writeResults writes the JSON file and the plots that the options ask for.
func writeResults(all []Slope, o Options) error {
	if o.Plots != "" {
		for _, s := range all {
			if err := s.Plot(o.Plots); err != nil {
				return eris.Wrap(err, "--plots")
			}
		}
	}
	if o.JSON == "" {
		return nil
	}
	b, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return eris.Wrap(err, "slopes")
	}
	return eris.Wrap(os.WriteFile(o.JSON, append(b, '\n'), 0o644), "--json")
}
