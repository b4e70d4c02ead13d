// Package cli parses the command line and runs the commands.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/user"

	"github.com/alecthomas/kong"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/capacity"
	"pomeloway.example/pomeloway/demo"
	"pomeloway.example/pomeloway/experiment"
	"pomeloway.example/pomeloway/node"
	"pomeloway.example/pomeloway/operator"
	"pomeloway.example/pomeloway/program"
)

// Exit codes.
const (
	exitOK              = 0
	exitFailed          = 1 // any other error
	exitUsage           = 2 // wrong usage, an invalid bundle or a missing file
	exitNotAccepted     = 3 // the bundle was not accepted
	exitOutcomeUnknown  = 4 // it is unknown whether the bundle was accepted
	exitInvariantBroken = 5 // the demo or experiment detected a broken invariant
)

// streams are the writers and the logger of a command.
type streams struct {
	out, errs io.Writer
	log       *slog.Logger
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	var o Options
	code := -1
	k, err := kong.New(&o,
		kong.Name("pomeloway"),
		kong.Description("A layer-4 load balancer for QUIC whose balancers keep no per-flow state."),
		kong.Writers(out, errs),
		kong.Vars{"version": "pomeloway " + Version, "user": userName()},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
		kong.Exit(func(c int) { code = c; panic(exited{}) }),
	)
	if err != nil {
		panic(err) // the options are fixed at compile time, so this is a bug
	}
	c, err := parse(k, args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(errs, "pomeloway: %v\nTry pomeloway --help.\n", err)
		return exitUsage
	}
	return exitCode(dispatch(c, &o, streams{out: out, errs: errs, log: o.Logger(errs)}), errs)
}

const helpWidth = 100

// exited is the panic value that stops parsing once the help or the version has
// been printed.
type exited struct{}

// parse parses the arguments. It returns nil values if parsing was stopped by
// exited.
func parse(k *kong.Kong, args []string) (c *kong.Context, err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(exited); !ok {
				panic(r)
			}
		}
	}()
	if len(args) == 0 {
		args = []string{"--help"}
	}
	return k.Parse(args)
}

// userName returns the name of the current user, or an empty string if it is
// unknown.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// dispatch runs the selected command.
func dispatch(c *kong.Context, o *Options, s streams) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	switch c.Command() {
	case "balancer":
		return runBalancer(o.Balancer, s)
	case "agent":
		return runAgent(o.Agent, s)
	case "datagram balancer":
		return program.Start(node.NewBalancer(o.Datagram.Balancer, s.log))
	case "datagram agent":
		return program.Start(node.NewAgent(o.Datagram.Agent, s.log))
	case "explain <what>", "explain <what> <files>":
		return runExplain(o.Explain, s)
	case "demo":
		return runDemo(ctx, o.Demo, s)
	case "experiment":
		return runExperiment(ctx, o.Experiment, s)
	case "bench":
		return capacity.Run(ctx, o.Bench, s.errs, s.out)
	case "call <address> <url>":
		return runCall(ctx, o.Call, s)
	case "status":
		return runStatus(ctx, o.Status, s)
	case "key new":
		return keyNew(o.Key.New, s)
	case "key operator <file>":
		return keyOperator(o.Key.Operator, s)
	case "zone out <zone>":
		return setZoneState(ctx, o.Zone.Out, bundle.ZoneStateOut, s)
	case "zone in <zone>":
		return setZoneState(ctx, o.Zone.In, bundle.ZoneStateIn, s)
	case "standin platform":
		return standinPlatform(o.Standin.Platform, s)
	case "standin fabric":
		return standinFabric(o.Standin.Fabric, s)
	case "standin upstream":
		return standinUpstream(o.Standin.Upstream, s)
	}
	return dispatchBundle(ctx, c.Command(), &o.Bundle, s)
}

func runDemo(ctx context.Context, o demo.Options, s streams) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	return demo.Run(ctx, o, s.errs, s.out)
}

func runExperiment(ctx context.Context, o experiment.Options, s streams) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	return experiment.Run(ctx, o, s.out)
}

// exitCode prints the error and returns its exit code.
func exitCode(err error, w io.Writer) int {
	var f bundle.Findings
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &f):
		fmt.Fprintln(w, f.Error())
		fmt.Fprintf(w, "pomeloway: %d finding(s); nothing was accepted\n", len(f))
		return exitUsage
	}
	fmt.Fprintln(w, "pomeloway:", err)
	switch {
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.Is(err, operator.ErrNotAccepted):
		return exitNotAccepted
	case errors.Is(err, demo.ErrBroken), errors.Is(err, experiment.ErrBroken):
		return exitInvariantBroken
	case errors.Is(err, os.ErrNotExist):
		return exitUsage
	}
	return exitFailed
}
