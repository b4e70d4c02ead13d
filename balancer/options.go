package balancer

import (
	"net/netip"

	"pomeloway.example/pomeloway/process"
	"pomeloway.example/pomeloway/settings"
)

// Options are the settings of a balancer.
type Options struct {
	process.Options `embed:""`
	// Bind takes the place of the service addresses' IP where several
	// balancers share a host, as in a trial on loopback.
	Bind netip.Addr `help:"Listen for callers on this IP instead of the IPs of the services." env:"POMELOWAY_BIND" placeholder:"IP" group:"Addresses"`
	// Forwarders is how many sockets share each service's address.
	Forwarders int `help:"Number of sockets, each with its own thread, per service address." default:"1" env:"POMELOWAY_FORWARDERS" group:"Work"`
}

// maxForwarders is far above the cores of an entry VM.
const maxForwarders = 64

// Validate returns all that is wrong with the settings.
func (o *Options) Validate() error {
	var f settings.Faults
	f.Join(o.Options.Validate())
	f.Want(o.Forwarders >= 0 && o.Forwarders <= maxForwarders, "--forwarders", "must be 1 to 64")
	f.Want(!o.Bind.IsValid() || o.Bind.Is4(), "--bind", "must be an IPv4 address")
	return f.All()
}
