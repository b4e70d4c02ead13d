// Package program provides what all long-running programs need: signal handling
// and logging.
package program

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Program is a long-running program, such as the balancer or the agent.
type Program interface {
	// Run runs the program until stopped is done, then stops gracefully.
	Run(stopped context.Context) error
	// Kill stops the program at once.
	Kill()
}

// Start takes the results of a program's constructor. It serves the program, or
// returns the constructor's error.
func Start[P Program](p P, err error) error {
	if err != nil {
		return err
	}
	return Serve(p)
}

// Serve runs the program until it ends. The first SIGTERM or interrupt stops it
// gracefully, the second one at once.
func Serve(p Program) error {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for _, act := range []func(){stop, p.Kill} {
			select {
			case <-c:
				act()
			case <-ended:
				return
			}
		}
	}()
	return p.Run(ctx)
}

// Logs holds the log settings of a program.
type Logs struct {
	LogFormat string     `help:"Format of log lines: json or text." enum:"json,text" default:"json" env:"POMELOWAY_LOG_FORMAT" group:"Logs"`
	LogLevel  slog.Level `help:"Minimum level of log lines: debug, info, warn or error." default:"info" env:"POMELOWAY_LOG_LEVEL" group:"Logs"`
}

// Logger returns a logger with these settings that writes to w.
func (l *Logs) Logger(w io.Writer) *slog.Logger {
	h := &slog.HandlerOptions{Level: l.LogLevel}
	if l.LogFormat == "text" {
		return slog.New(slog.NewTextHandler(w, h))
	}
	return slog.New(slog.NewJSONHandler(w, h))
}
