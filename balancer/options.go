package balancer

import (
	"net/netip"

	"pomeloway.example/pomeloway/process"
	"pomeloway.example/pomeloway/settings"
)

// Options holds the settings of a balancer.
type Options struct {
	process.Options `embed:""`
	// Bind replaces the IP of the services' addresses. It lets several balancers
	// share a host, as in a test on loopback.
	Bind netip.Addr `help:"Listen for callers on this IP instead of the IPs of the services." env:"POMELOWAY_BIND" placeholder:"IP" group:"Addresses"`
	// Forwarders is the number of sockets, each with its own thread, that share
	// the address of a service.
	Forwarders int `help:"Number of sockets per service address, each with its own thread." default:"1" env:"POMELOWAY_FORWARDERS" group:"Work"`
}

// maxForwarders is well above the number of cores of an entry VM.
const maxForwarders = 64

// Validate returns an error that lists all invalid settings.
func (o *Options) Validate() error {
	var f settings.Errors
	f.Join(o.Options.Validate())
	f.Require(o.Forwarders >= 1 && o.Forwarders <= maxForwarders, "--forwarders", "must be 1 to 64")
	f.Require(!o.Bind.IsValid() || o.Bind.Is4(), "--bind", "must be an IPv4 address")
	return f.ErrOrNil()
}
