// Package guard lists the protections against failures that a test or a run of the demo
// can disable, one at a time, to show that its checks detect when that protection is
// missing.
package guard

// Name is the name of a guard.
type Name string

// Guards.
const (
	// Journal runs a request only at the first use of its idempotency key.
	Journal Name = "journal"
	// Life refuses idempotency keys that an agent issued before its last restart.
	Life Name = "life"
	// Home lets only the agent that issued an idempotency key, the key's home, run the
	// request.
	Home Name = "home"
	// Retry repeats a request only if it certainly did not run.
	Retry Name = "retry"
	// Match accepts a response only for the request whose id it carries.
	Match Name = "match"
	// Slots limits the load on an upstream to its slots and its cold-start rate.
	Slots Name = "slots"
	// Drain sends no new work to an upstream that is leaving.
	Drain Name = "drain"
	// Outcome reports "not run" for a request only if that is certain.
	Outcome Name = "outcome"
	// Zone stops traffic to an availability zone that is out of service.
	Zone Name = "zone"
	// Service drops datagrams whose token is of another service than their address.
	Service Name = "service"
	// Token keeps an established flow at the agent in its token's route.
	Token Name = "token"
)

// Off is the guard that is disabled. The zero value means that none is.
type Off struct{ name Name }

// Without returns an Off with the guard disabled.
func Without(n Name) Off { return Off{n} }

// Disabled reports whether the guard is disabled.
func (o Off) Disabled(n Name) bool { return o.name != "" && o.name == n }
