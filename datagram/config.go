package datagram

import (
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// ServiceKey is the hash of a service's name, which is the same in every process.
type ServiceKey uint64

// ZoneKey is the hash of an availability zone's name.
type ZoneKey uint64

// ServiceKeyOf returns the key of the service's name.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(fleet.HashOf([]byte(name))) }

// ZoneKeyOf returns the key of the availability zone's name.
func ZoneKeyOf(name string) ZoneKey { return ZoneKey(fleet.HashOf([]byte(name))) }

// Version identifies a configuration; newer configurations have higher versions.
type Version uint64

// Share is the weight of a service among the new flows of a route.
type Share struct {
	Service ServiceKey
	Weight  uint64
}

// Route distributes the flows to an address over services.
type Route struct {
	Shares []Share
	// Urgent: its requests take precedence over those of other routes to the same service.
	Urgent bool
	// TargetLatency is the time within which its requests are to be answered; 0 if there is
	// none.
	TargetLatency time.Duration
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// ColdRate is the number of new flows per second that an upstream in cold start can
	// take; 0 means that cold start imposes no limit.
	ColdRate float64
	// Prioritized: it has routes of more than one priority, so that at overload openings of the
	// less urgent ones are refused; see Admission.
	Prioritized bool
}

// Configuration is the set of routes and services that operators have put into effect.
type Configuration struct {
	Version  Version
	Routes   map[Endpoint]Route
	Services map[ServiceKey]Service
	// IdleTimeout is the idle time after which a flow may be discarded. Flows are kept for their
	// lifetime instead, because the idle timeout may be raised while they are idle.
	IdleTimeout time.Duration
}

// pickService returns the service that receives the new flow with the hash. It is false if
// no service has a weight.
func (r Route) pickService(hash uint64) (ServiceKey, bool) {
	var total uint64
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return 0, false
	}
	at := fleet.Mix(hash, routeSalt) % total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service, true
		}
		at -= s.Weight
	}
	return 0, false
}

// routeSalt makes the choice of the service independent of the choice of the agent.
const routeSalt = 0x726f757465
