// Package datagram makes the decisions of datagram services: services whose traffic is
// flows of packets that only the caller and the upstream can read and write. A Balancer
// distributes the packets of callers over agents. An Agent forwards them to its upstream,
// and the upstream's packets to the callers.
//
// Both are free of I/O: they take a packet and the time, update their state, and send
// packets through a small interface. They are not safe for concurrent use; one goroutine
// owns each.
package datagram

import (
	"encoding/binary"
	"net/netip"

	"pomeloway.example/pomeloway/fleet"
)

// IP is an IPv4 address.
type IP uint32

// IPOf converts an IPv4 address. It returns 0 for any other address.
func IPOf(a netip.Addr) IP {
	a = a.Unmap()
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return IP(binary.BigEndian.Uint32(b[:]))
}

// Addr converts the address to a netip.Addr.
func (i IP) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(i))
	return netip.AddrFrom4(b)
}

// String returns the address in dotted decimal form.
func (i IP) String() string { return i.Addr().String() }

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	IP   IP
	Port uint16
}

// EndpointOf converts a netip.AddrPort.
func EndpointOf(a netip.AddrPort) Endpoint { return Endpoint{IPOf(a.Addr()), a.Port()} }

// AddrPort converts the endpoint to a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort { return netip.AddrPortFrom(e.IP.Addr(), e.Port) }

// String returns the endpoint as IP:PORT.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Flow identifies a flow by the caller's endpoint and the service endpoint that it called.
type Flow struct {
	Caller, Address Endpoint
}

const flowLen = 12

func (f Flow) put(b []byte) {
	binary.BigEndian.PutUint32(b, uint32(f.Caller.IP))
	binary.BigEndian.PutUint16(b[4:], f.Caller.Port)
	binary.BigEndian.PutUint32(b[6:], uint32(f.Address.IP))
	binary.BigEndian.PutUint16(b[10:], f.Address.Port)
}

func decodeFlow(b []byte) (Flow, bool) {
	if len(b) < flowLen {
		return Flow{}, false
	}
	return Flow{
		Caller:  Endpoint{IP(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint16(b[4:])},
		Address: Endpoint{IP(binary.BigEndian.Uint32(b[6:])), binary.BigEndian.Uint16(b[10:])},
	}, true
}

// hash returns the same value in every process, so that all processes rank agents and
// homes alike.
func (f Flow) hash() uint64 {
	a := uint64(f.Caller.IP)<<16 | uint64(f.Caller.Port)
	b := uint64(f.Address.IP)<<16 | uint64(f.Address.Port)
	return fleet.Mix(fleet.Mix(a, 0), b)
}

// Packet holds the fields of a packet that balancers and agents read.
type Packet struct {
	Flow Flow
	// FromUpstream is set if the packet goes from the upstream to the caller.
	FromUpstream bool
	Open         bool // requests a new flow, or accepts it
	Ack          bool
	Fin          bool
	Reset        bool
	// Bounced is set in a packet that the upstream bounced because it does not hold the
	// flow or can't accept it.
	Bounced bool
	Seq     uint32
	// AckNumber is the acknowledged sequence number. In an opening it is the number of
	// retransmissions before this copy.
	AckNumber uint32
	// Scratch is for the use of balancers and agents. Upstreams return it unchanged.
	Scratch uint32
	// Length is the number of data bytes.
	Length int
	// Full is set if the packet carries as many data bytes as fit into one, so that as a rule
	// more of the same request follows.
	Full bool
}

// Format parses and writes packets in the platform's format.
type Format interface {
	// Parse parses a packet of a caller. It returns false if b is not a valid packet.
	Parse(b []byte) (Packet, bool)
	// ParseOutbound parses a packet from an upstream: its own, or one that it bounced.
	ParseOutbound(b []byte) (Packet, bool)
	// SetScratch sets the scratch field.
	SetScratch(b []byte, v uint32)
	// ClearBounced clears the bounced mark, so that the packet can go to another upstream.
	ClearBounced(b []byte)
	// PutReset writes a packet that resets the flow for its caller, and returns its length.
	PutReset(b []byte, f Flow, seq uint32) int
	// RequestID returns the ID of the request that begins in the packet.
	RequestID(b []byte) string
}
