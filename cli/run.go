// Package cli is the command line.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"pomeloway.example/pomeloway/demo"
)

type options struct {
	Demo demo.Options `cmd:"" help:"Run a whole site on loopback and break it."`
}

// Run runs the command and returns its exit code.
func Run(args []string, out, errs io.Writer) int {
	var o options
	k, err := kong.New(&o, kong.Name("pomeloway"), kong.Writers(out, errs))
	if err != nil {
		panic(err)
	}
	_, err = k.Parse(args)
	if err == nil {
		err = demo.Run(context.Background(), o.Demo, errs, out)
	}
	if err != nil {
		fmt.Fprintln(errs, "pomeloway:", err)
		return 1
	}
	return 0
}
