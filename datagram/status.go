package datagram

import (
	"bytes"
	"encoding/binary"
	"time"
)

// Life names one run of a process; it is random.
type Life uint64

// UpstreamState is what an agent knows of its upstream.
type UpstreamState uint8

// States of an upstream.
const (
	// UpstreamUnknown: it has not been heard of since the agent started.
	UpstreamUnknown UpstreamState = iota
	UpstreamReady
	UpstreamDraining
	UpstreamGone
	// UpstreamSilent: it did not answer openings that it was given.
	UpstreamSilent
	// UpstreamAbsent: nothing listens at its address.
	UpstreamAbsent
	upstreamStateEnd
)

// Millis is a duration on the wire, in milliseconds.
type Millis uint32

// MillisOf returns d rounded up.
func MillisOf(d time.Duration) Millis {
	return Millis(max(0, (d+time.Millisecond-1)/time.Millisecond))
}

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// AgentStatus is what an agent says of itself and its upstream.
type AgentStatus struct {
	Life     Life
	Sequence uint32
	Uptime   Millis
	Service  ServiceKey
	Zone     ZoneKey
	State    UpstreamState
	// Leaving: the agent itself is about to stop.
	Leaving bool
	Slots   uint16
	// Flows are open at the upstream, UnderWay of them with a request.
	Flows    uint16
	UnderWay uint16
	Cold     Millis
	// Every is how often the receiver is told.
	Every Millis
	// Homes is the digest of the balancers among which the agent chooses homes.
	Homes uint64
	// Entries is how many the agent has told the receiver since Epoch began; 0 is before
	// the agent has heard the receiver.
	Epoch, Entries uint32
	// KnowsAll: the agent knows every flow of its upstream.
	KnowsAll bool
}

const agentStatusLen = 8 + 4 + 4 + 8 + 8 + 1 + 1 + 2 + 2 + 2 + 4 + 4 + 8 + 4 + 4 + 1

func (s *AgentStatus) append(b []byte) []byte {
	b, _ = binary.Append(b, binary.BigEndian, s) // a fixed-size struct can't fail
	return b
}

func (s *AgentStatus) decode(b []byte) bool {
	if len(b) != agentStatusLen {
		return false
	}
	_, err := binary.Decode(b, binary.BigEndian, s)
	return err == nil && s.State < upstreamStateEnd
}

// decodeWithHomes decodes a status and the balancers that may follow it.
func (s *AgentStatus) decodeWithHomes(b []byte) ([]IP, bool) {
	n := min(len(b), agentStatusLen)
	if !s.decode(b[:n]) {
		return nil, false
	}
	if len(b) == n {
		return nil, true
	}
	ips, rest, ok := cutIPs(b[n:])
	return ips, ok && len(rest) == 0
}

// BalancerStatus is what a balancer tells agents and other balancers. Zones is
// the view of evacuated availability zones as of a revision of the store.
type BalancerStatus struct {
	Life     Life
	Version  Version
	Revision uint64
	Leaving  bool
	// Detached: the store does not answer the sender.
	Detached bool
	// Agents is how many agents the sender knows.
	Agents uint16
	// Homes is the digest of the balancers among which the sender chooses homes.
	Homes uint64
	Zones []ZoneKey
	// Balancers are some that the sender knows, to a newcomer as many as fit.
	Balancers []IP
}

// Bounds of a BalancerStatus, so that it fits one datagram.
const (
	zonesMost     = 32
	balancersMost = 128
)

type balancerHead struct {
	Life             Life
	Version          Version
	Revision         uint64
	Leaving          bool
	Detached         bool
	Agents           uint16
	Homes            uint64
	Zones, Balancers uint8
}

func (s *BalancerStatus) append(b []byte) []byte {
	z, r := s.Zones[:min(len(s.Zones), zonesMost)], s.Balancers[:min(len(s.Balancers), balancersMost)]
	h := balancerHead{s.Life, s.Version, s.Revision, s.Leaving, s.Detached, s.Agents, s.Homes, uint8(len(z)), uint8(len(r))}
	b, _ = binary.Append(b, binary.BigEndian, &h)
	b, _ = binary.Append(b, binary.BigEndian, z)
	b, _ = binary.Append(b, binary.BigEndian, r)
	return b
}

func (s *BalancerStatus) decode(b []byte) bool {
	var h balancerHead
	r := bytes.NewReader(b)
	if binary.Read(r, binary.BigEndian, &h) != nil || r.Len() != int(h.Zones)*8+int(h.Balancers)*4 {
		return false
	}
	*s = BalancerStatus{Life: h.Life, Version: h.Version, Revision: h.Revision, Leaving: h.Leaving, Detached: h.Detached, Agents: h.Agents, Homes: h.Homes}
	s.Zones, s.Balancers = make([]ZoneKey, h.Zones), make([]IP, h.Balancers)
	return binary.Read(r, binary.BigEndian, s.Zones) == nil && binary.Read(r, binary.BigEndian, s.Balancers) == nil
}
