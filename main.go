// Command pomeloway is a layer-4 load balancer for QUIC: the balancer, the agent
// beside each upstream, and the operators' commands.
package main

import (
	"os"

	"pomeloway.example/pomeloway/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
