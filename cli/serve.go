package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/balancer"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/program"
)

func runBalancer(o balancer.Options, s streams) error {
	return program.Start(balancer.New(o, s.log, guard.Off{}))
}

func runAgent(o agent.Options, s streams) error {
	return program.Start(agent.New(o, s.log, guard.Off{}))
}

func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}
