// Command review-standin plays the cases of the review as scripts: it starts the programs of
// deploy/system.toml as separate processes on loopback addresses, with stand-ins for the platform,
// the routers, the clients and the backends, and judges what clients and backends see.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration is the time after which a case is given up.
const maxDuration = 115 * time.Second

// options are the command line.
type options struct {
	Case    string `arg:"" help:"Case to play: half, idle, clock or port."`
	Record  string `help:"File for what was sent, answered and run." required:""`
	Trouble bool   `help:"Play the disruption." default:"true" negatable:""`
}

// scenario is a case.
type scenario struct {
	// prepare, if not nil, is called before the site starts, if the disruption is played.
	prepare func(*site)
	// play plays the case on a running site.
	play func(ctx context.Context, s *site, trouble bool) error
}

var scenarios = map[string]scenario{
	"half":  {play: playHalfClose},
	"idle":  {play: playIdle},
	"clock": {prepare: prepareClock, play: playClock},
	"port":  {play: playPort},
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	kong.Parse(&o, kong.Name("review-standin"))
	x, ok := scenarios[o.Case]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q does not exist\n", o.Case)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	s, err := newSite(o.Record)
	if err == nil {
		defer s.close()
		if x.prepare != nil && o.Trouble {
			x.prepare(s)
		}
		if err = s.start(); err == nil {
			err = x.play(ctx, s, o.Trouble)
		}
	}
	if err = errors.Join(err, s.endedUnasked()); err != nil {
		fmt.Fprintln(os.Stderr, "the case could not be played:", err)
		return exitFailed
	}
	if n := s.breaks(); n > 0 {
		fmt.Printf("the rule was broken %d times; the first: %s\n", n, s.firstBreak())
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// sleep waits, or returns the error of the context if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
