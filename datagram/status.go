package datagram

import (
	"bytes"
	"encoding/binary"
	"time"
)

// Life identifies one run of a process. It is random.
type Life uint64

// UpstreamState is the state of an upstream as its agent knows it.
type UpstreamState uint8

// States of an upstream.
const (
	// UpstreamUnknown: the upstream has not announced itself since the agent started.
	UpstreamUnknown UpstreamState = iota
	UpstreamReady
	UpstreamDraining
	UpstreamGone
	// UpstreamSilent: the upstream did not answer an opening that was forwarded to it.
	UpstreamSilent
	// UpstreamAbsent: nothing listens at the upstream's address.
	UpstreamAbsent
	upstreamStateEnd
)

// Millis is a duration on the wire, in milliseconds.
type Millis uint32

// MillisOf converts d to milliseconds, rounded up.
func MillisOf(d time.Duration) Millis {
	return Millis(max(0, (d+time.Millisecond-1)/time.Millisecond))
}

// Duration returns m as a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// AgentStatus is an agent's periodic report on itself and its upstream. Its fields are sent
// in this order.
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
	// Flows is the number of flows open at the upstream, UnderWay how many of them have a
	// request in progress.
	Flows         uint16
	UnderWay      uint16
	ColdRemaining Millis
	// Interval is the time within which the receiver is sent the next status.
	Interval Millis
	// Homes is the digest of the balancers among which the agent chooses homes.
	Homes uint64
	// Entries is the number of flows registered at the receiver since Epoch began; 0 if the
	// agent has not received anything from the receiver.
	Epoch, Entries uint32
	// KnowsAll: the agent knows every flow of its upstream.
	KnowsAll bool
	// Balancers is the number of balancers that the agent knows.
	Balancers uint16
}

const agentStatusLen = 8 + 4 + 4 + 8 + 8 + 1 + 1 + 2 + 2 + 2 + 4 + 4 + 8 + 4 + 4 + 1 + 2

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

// decodeWithHomes decodes a status and the home set that may follow it, as a list of balancers or,
// after an empty list, as a bitmap.
func (s *AgentStatus) decodeWithHomes(b []byte) (ips []IP, bitmap []byte, ok bool) {
	n := min(len(b), agentStatusLen)
	if !s.decode(b[:n]) {
		return nil, nil, false
	}
	if len(b) == n {
		return nil, nil, true
	}
	ips, rest, ok := decodeIPs(b[n:])
	if !ok || len(rest) > 0 && (len(ips) > 0 || len(rest) < bitmapLen(0)) {
		return nil, nil, false
	}
	return ips, rest, true
}

// BalancerStatus is a balancer's periodic report to agents and other balancers. Zones are
// the evacuated availability zones as of Revision of the store.
type BalancerStatus struct {
	Life     Life
	Version  Version
	Revision uint64
	Leaving  bool
	// Detached: the store does not answer the sender.
	Detached bool
	// Agents is the number of agents that the sender knows.
	Agents uint16
	// Homes is the digest of the balancers among which the sender chooses homes.
	Homes uint64
	// Watcher is the balancer that watches the store and was alive last, as far as the sender
	// knows, and WatcherAge how long ago that was; 0 if it knows of none.
	Watcher    IP
	WatcherAge Millis
	// Known is the number of balancers that the sender knows, itself included.
	Known uint16
	Zones []ZoneKey
	// Balancers are some of those that the sender knows, or as many as fit if the receiver
	// knows few.
	Balancers []IP
}

// Limits of a BalancerStatus, so that it fits into one datagram.
const (
	maxZones     = 32
	maxBalancers = 128
)

type balancerStatusHeader struct {
	Life             Life
	Version          Version
	Revision         uint64
	Leaving          bool
	Detached         bool
	Agents           uint16
	Homes            uint64
	Watcher          IP
	WatcherAge       Millis
	Known            uint16
	Zones, Balancers uint8
}

func (s *BalancerStatus) append(b []byte) []byte {
	z, r := s.Zones[:min(len(s.Zones), maxZones)], s.Balancers[:min(len(s.Balancers), maxBalancers)]
	h := balancerStatusHeader{
		s.Life, s.Version, s.Revision, s.Leaving, s.Detached, s.Agents, s.Homes, s.Watcher, s.WatcherAge, s.Known, uint8(len(z)), uint8(len(r)),
	}
	b, _ = binary.Append(b, binary.BigEndian, &h)
	b, _ = binary.Append(b, binary.BigEndian, z)
	b, _ = binary.Append(b, binary.BigEndian, r)
	return b
}

func (s *BalancerStatus) decode(b []byte) bool {
	var h balancerStatusHeader
	r := bytes.NewReader(b)
	if binary.Read(r, binary.BigEndian, &h) != nil || r.Len() != int(h.Zones)*8+int(h.Balancers)*4 {
		return false
	}
	*s = BalancerStatus{
		Life: h.Life, Version: h.Version, Revision: h.Revision, Leaving: h.Leaving,
		Detached: h.Detached, Agents: h.Agents, Homes: h.Homes, Watcher: h.Watcher, WatcherAge: h.WatcherAge, Known: h.Known,
	}
	s.Zones, s.Balancers = make([]ZoneKey, h.Zones), make([]IP, h.Balancers)
	return binary.Read(r, binary.BigEndian, s.Zones) == nil && binary.Read(r, binary.BigEndian, s.Balancers) == nil
}
