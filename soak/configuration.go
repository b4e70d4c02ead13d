package main

import (
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/standin"
)

// Services. Names of instances in heartbeats and settings files are the same.
const (
	letters = "letters" // the main service
	parcels = "parcels" // the second service
)

const (
	// coldRate is how many openings per second a cold upstream gets.
	coldRate = 8
	// versionRoutes is how many versions of the configuration have an address of their own.
	versionRoutes = 200
)

// address returns the service address with the last two bytes.
func address(x, y int) datagram.Endpoint {
	return datagram.Endpoint{IP: datagram.IPOf(netip.AddrFrom4([4]byte{198, 18, byte(x), byte(y)})), Port: 443}
}

// Addresses of routes. The service of switchAddress changes with every version.
var (
	feedAddress   = address(0, 1)
	urgentAddress = address(0, 2)
	secondAddress = address(0, 3)
	switchAddress = address(0, 4)
)

// versionAddress returns the address that only the version of the configuration has.
func versionAddress(v int) datagram.Endpoint { return address(1, 1+v%versionRoutes) }

// serviceIn returns the service to which the version routes the address; "" if none.
func serviceIn(v int, a datagram.Endpoint) string {
	switch a {
	case feedAddress, urgentAddress, versionAddress(v):
		return letters
	case secondAddress:
		return parcels
	case switchAddress:
		return []string{letters, parcels}[v%2]
	}
	return ""
}

// configurationOf returns a version of the configuration as an operator writes it.
func configurationOf(v int) map[string]any {
	var rs []standin.Route
	for _, a := range []datagram.Endpoint{feedAddress, urgentAddress, secondAddress, switchAddress, versionAddress(v)} {
		r := standin.Route{Address: a.AddrPort(), Service: serviceIn(v, a), Priority: 1, TargetLatency: 400 * time.Millisecond}
		if a == urgentAddress {
			r.Priority, r.TargetLatency = 0, 300*time.Millisecond
		}
		rs = append(rs, r)
	}
	return standin.Configuration(v, rs, map[string]float64{letters: coldRate, parcels: coldRate})
}
