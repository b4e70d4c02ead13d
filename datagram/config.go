package datagram

import (
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// ServiceKey is the hash of a service's name, which all processes share.
type ServiceKey uint64

// ZoneKey is the hash of an availability zone's name.
type ZoneKey uint64

// ServiceKeyOf returns the key of the service's name.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(fleet.HashOf([]byte(name))) }

// ZoneKeyOf returns the key of the availability zone's name.
func ZoneKeyOf(name string) ZoneKey { return ZoneKey(fleet.HashOf([]byte(name))) }

// Version orders configurations.
type Version uint64

// Share is a part of a route's new flows.
type Share struct {
	Service ServiceKey
	Weight  uint64
}

// Route says which services take the flows to an address.
type Route struct {
	Shares []Share
	// Urgent: its requests go before those of another route of the same service.
	Urgent bool
	// Aim is within what its requests are to be answered; 0 if it has none.
	Aim time.Duration
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// ColdRate is how many new flows a second an upstream in cold start bears;
	// 0 means that cold start is no limit.
	ColdRate float64
}

// Configuration is what operators have brought into force.
type Configuration struct {
	Version     Version
	Routes      map[Endpoint]Route
	Services    map[ServiceKey]Service
	IdleTimeout time.Duration
}

// pick returns the service that takes the new flow with the hash.
func (r Route) pick(hash uint64) (ServiceKey, bool) {
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

// routeSalt keeps the choice of the service apart from that of the agent.
const routeSalt = 0x726f757465
