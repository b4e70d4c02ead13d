// Package guard names the guards against failures that a trial can switch off,
// one at a time, to show that the measurement notices the absence of each.
package guard

// Name is the name of a guard.
type Name string

// Guards.
const (
	// Journal lets only the first use of an idempotency key run.
	Journal Name = "journal"
	// Life refuses idempotency keys of an agent's earlier life.
	Life Name = "life"
	// Home lets nobody but a key's home run its request.
	Home Name = "home"
	// Retry sends again only what surely did not run.
	Retry Name = "retry"
	// Match gives an answer only to the request whose id it carries.
	Match Name = "match"
	// Slots keeps work within the upstream's slots and cold start.
	Slots Name = "slots"
	// Drain keeps new work from an upstream that leaves.
	Drain Name = "drain"
	// Outcome keeps "not run" to what is certain.
	Outcome Name = "outcome"
	// Zone stops traffic to an availability zone that is out.
	Zone Name = "zone"
	// Service drops a token on the address of another service.
	Service Name = "service"
	// Token keeps established flows at their agent by the token's route.
	Token Name = "token"
)

// Off is the guard that is switched off; the zero value means none.
type Off struct{ name Name }

// Without returns an Off with the guard switched off.
func Without(n Name) Off { return Off{n} }

// Has reports whether the guard is switched off.
func (o Off) Has(n Name) bool { return o.name != "" && o.name == n }
