// Command soak runs the programs pomeloway-datagram balancer and agent as separate processes
// on loopback addresses, with stand-ins for all that surrounds them, injects faults from
// outside, and checks the promises to callers and upstreams. docs/SOAK.md describes it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// options are the command-line options.
type options struct {
	Seeds     int           `help:"Number of seeds to play." default:"1"`
	From      Seed          `help:"First seed." default:"1"`
	Length    time.Duration `help:"Part of a run in which faults begin and end." default:"30s"`
	Balancers int           `help:"Number of balancers." default:"4"`
	Agents    int           `help:"Number of agents, each with an upstream." default:"8"`
	Jobs      int           `help:"Number of seeds played at the same time." default:"1"`
	Keep      string        `help:"Directory for the logs of failed seeds; without it they stay in a temporary directory." type:"path" placeholder:"DIR"`
	Program   string        `help:"Program to test; without it, the one of this source tree is built." type:"existingfile" placeholder:"FILE"`
	Case      string        `help:"Play the case in the file, whatever the seed." type:"existingfile" placeholder:"FILE"`
	Without   []Kind        `help:"Kinds of faults to leave out, such as those of a known fault of the product." placeholder:"KIND"`
	Plan      bool          `help:"Print the plans and play nothing."`
}

// Bounds of options.
const (
	minLength    = 4 * time.Second
	maxProcesses = 60 // the mesh has a socket for every pair
	maxJobs      = 8
)

// Validate returns all invalid options as one error.
func (o *options) Validate() error {
	var es []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			es = append(es, fmt.Errorf(format, args...))
		}
	}
	require(o.Seeds >= 1, "--seeds: must be 1 or more, not %d", o.Seeds)
	require(o.Length >= minLength, "--length: must be %v or more, not %v", minLength, o.Length)
	require(o.Balancers >= 2, "--balancers: must be 2 or more, not %d", o.Balancers)
	require(o.Agents >= 4, "--agents: must be 4 or more, so that both services have upstreams, not %d", o.Agents)
	require(o.Balancers+o.Agents <= maxProcesses, "--balancers and --agents: must be %d together or less, not %d", maxProcesses, o.Balancers+o.Agents)
	require(o.Jobs >= 1 && o.Jobs <= maxJobs, "--jobs: must be 1 to %d, not %d", maxJobs, o.Jobs)
	for _, k := range o.Without {
		require(slices.ContainsFunc(draws, func(d kindDraw) bool { return d.kind == k }), "--without: kind %q is unknown", k)
	}
	return errors.Join(es...)
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("soak"), kong.Description("Soak test of the datagram programs."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := o.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		stop()
		os.Exit(1)
	}
}

// errFailed is returned if checks failed.
var errFailed = errors.New("checks failed")

// run plays all seeds and prints what they gave.
func (o *options) run(ctx context.Context, w io.Writer) error {
	cs, err := o.scenarios()
	if err != nil {
		return err
	}
	if o.Plan {
		for _, c := range cs {
			fmt.Fprint(w, c)
		}
		return nil
	}
	tmp, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	if o.Keep != "" {
		defer os.RemoveAll(tmp)
	}
	binary := o.Program
	if binary == "" {
		if binary, err = build(tmp); err != nil {
			return err
		}
	}
	failed, err := o.playAll(ctx, w, cs, binary, tmp)
	switch {
	case err != nil:
		return err
	case failed > 0:
		return eris.Wrapf(errFailed, "%d of %d seeds", failed, len(cs))
	}
	return os.RemoveAll(tmp)
}

// playAll plays the seeds, some at the same time, and returns how many failed.
func (o *options) playAll(ctx context.Context, w io.Writer, cs []*scenario, binary, tmp string) (failed int, _ error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs []error
	slots := make(chan struct{}, o.Jobs)
	for _, c := range cs {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			dir, err := o.directory(tmp, c)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
				return
			}
			r, err := play(ctx, c, binary, dir)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				errs = append(errs, eris.Wrapf(err, "seed %d, logs: %s", c.Seed, dir))
			case len(r.breaches) > 0:
				failed++
			default:
				os.RemoveAll(dir)
			}
			if err == nil {
				r.print(w)
			}
		})
	}
	wg.Wait()
	return failed, errors.Join(errs...)
}

// directory creates the directory of the logs of a run, and writes down what it plays.
func (o *options) directory(tmp string, c *scenario) (string, error) {
	if o.Keep != "" {
		tmp = o.Keep
	}
	dir := filepath.Join(tmp, fmt.Sprintf("seed-%d", c.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	return dir, os.WriteFile(filepath.Join(dir, "case.txt"), []byte(c.String()), 0o644)
}

// scenarios returns what is to be played.
func (o *options) scenarios() ([]*scenario, error) {
	if o.Case != "" {
		c, err := readScenario(o.Case)
		return []*scenario{c}, err
	}
	var out []*scenario
	for i := range o.Seeds {
		c := newScenario(o.From+Seed(i), o.Length, shape{o.Balancers, o.Agents})
		c.Faults = slices.DeleteFunc(c.Faults, func(f Fault) bool { return slices.Contains(o.Without, f.Kind) })
		out = append(out, c)
	}
	return out, nil
}

func (r *result) print(w io.Writer) {
	state := "ok"
	if len(r.breaches) > 0 {
		state = "FAILED"
	}
	fmt.Fprintf(w, "seed %d %s: %d requests, served again %.1fs after the last fault, processes waited %.1fs for processors, excused %v\n",
		r.seed, state, r.requests, r.recovered.Seconds(), r.stalled.Seconds(), r.excused)
	for _, b := range r.breaches {
		fmt.Fprintln(w, "  "+b)
	}
}
