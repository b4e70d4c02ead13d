// Command standin-2 plays the cases of the second review: it starts the project's programs as
// the deploy file does, with stand-ins for the platform, the routers, clients and backends around
// them, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// timeLimit ends a case that hangs.
const timeLimit = 117 * time.Second

var cases = map[string]func(*site) error{
	"regions": playRegions,
	"clock":   playClock,
	"cold":    playCold,
	"moved":   playMoved,
	"rack":    playRack,
	"late":    playLate,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*site) error, record string) int {
	s, err := newSite(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitFailed
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- f(s) }()
	select {
	case err = <-done:
	case <-stop:
		err = errors.New("interrupted")
	case <-time.After(timeLimit):
		err = errors.New("time limit exceeded")
	}
	switch {
	case err == nil:
		s.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.note("result: %v", err)
		return exitBroken
	}
	s.note("result: the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "standin-2:", err)
	return exitFailed
}
