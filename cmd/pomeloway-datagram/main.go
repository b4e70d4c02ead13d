// Command pomeloway-datagram contains only the balancer and the agent of datagram
// services. A VM with a twelfth of a core loads and starts it about 40 ms faster
// than the full pomeloway binary, and after a power loss this start is all that
// callers wait for.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"pomeloway.example/pomeloway/node"
	"pomeloway.example/pomeloway/program"
	"pomeloway.example/pomeloway/settings"
)

// options holds the commands and their settings.
type options struct {
	program.Logs `embed:""`

	Balancer node.Options `cmd:"" help:"Run the balancer of an entry VM."`
	Agent    node.Options `cmd:"" help:"Run the agent beside an upstream."`
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var o options
	c := kong.Parse(&o, kong.Name("pomeloway-datagram"), kong.Description("Balancer and agent of datagram services."))
	err := o.run(c.Command())
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "pomeloway-datagram:", err)
	if f := (settings.Errors)(nil); errors.As(err, &f) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// run runs the program that the command names.
func (o *options) run(command string) error {
	l := o.Logger(os.Stderr)
	if command == "balancer" {
		return program.Start(node.NewBalancer(o.Balancer, l))
	}
	return program.Start(node.NewAgent(o.Agent, l))
}
