// Command pomeloway is a layer-4 load balancer for QUIC. It contains the balancer,
// the agent that runs beside each upstream, and the commands for operators.
package main

import (
	"os"

	"pomeloway.example/pomeloway/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
