package datagram

import (
	"encoding/binary"
	"math"

	"pomeloway.example/pomeloway/link"
)

// Kind is what a message between a balancer and an agent means.
type Kind uint8

// Kinds of messages.
const (
	// KindOpening carries a caller's opening to an agent, which answers with
	// KindOpened or KindRefused.
	KindOpening Kind = 1 + iota
	// KindPacket carries any other packet of a caller to an agent.
	KindPacket
	// KindOpened: the agent's upstream accepted the flow.
	KindOpened
	// KindRefused: the agent did not give the opening to its upstream, or the
	// upstream refused it.
	KindRefused
	// KindNotMine gives a packet back whose flow the agent's upstream does not hold.
	KindNotMine
	// KindDenied: the flow, which is looked for, is not at this agent.
	KindDenied
	// KindMine: the flow, which was looked for, is at this agent.
	KindMine
	// KindAgent and KindBalancer carry the sender's status.
	KindAgent
	KindBalancer
	// KindSilent is a balancer's word that an agent near it fell silent: the
	// agent's address and life.
	KindSilent
	// KindEntries tells a home which flows an agent holds, and KindResend asks the
	// agent to tell all of them again.
	KindEntries
	KindResend
	// KindLocate asks a home which agents hold flows, and KindLocated answers.
	KindLocate
	KindLocated
	kindEnd
)

// ofAgent reports whether an agent sends messages of the kind.
func (k Kind) ofAgent() bool {
	switch k {
	case KindOpened, KindRefused, KindNotMine, KindDenied, KindMine, KindAgent, KindEntries:
		return true
	}
	return false
}

// Message is the header of a message.
type Message struct {
	Kind   Kind
	Reason Reason
	// Priority is that of an opening, Requests what the upstream has in a refusal.
	Priority Priority
	Requests uint8
	// Flags say how a flow is looked for.
	Flags Flags
	// Opening names an attempt at an opening to the balancer that made it.
	Opening uint32
	Service ServiceKey
	// Cold is what the configuration lets an upstream in cold start take.
	Cold ColdRate
	// Load is the flows and requests at the agent, in what agents answer.
	Load uint16
}

// Flags go with a packet whose flow is looked for, and with answers.
type Flags uint8

const (
	// FlagUnsure: who answers can't tell whether the flow is gone.
	FlagUnsure Flags = 1 << iota
	// FlagLookup: the sender does not know where the flow is, and wants to be told.
	FlagLookup
	// FlagKnownOnly: only an agent that knows the flow may give the packet to its
	// upstream, as the flow may be at one that nothing may be sent to.
	FlagKnownOnly
)

func (f Flags) has(x Flags) bool { return f&x != 0 }

// ColdRate is new flows a second in tenths; 0 means that cold start is no limit.
type ColdRate uint16

// ColdRateOf returns the rate of so many a second. One that is there is never
// rounded to none.
func ColdRateOf(perSecond float64) ColdRate {
	if perSecond <= 0 {
		return 0
	}
	return ColdRate(max(1, min(perSecond*10, math.MaxUint16)))
}

func (r ColdRate) perSecond() float64 { return float64(r) / 10 }

// HeaderLen is the length of a message's header in bytes.
const HeaderLen = 28

const (
	messageMagic = 0xd7
	atTag        = 20
	// coveredLen of a packet's first bytes are under the tag, enough to bind the
	// header to the flow; the ends of the flow authenticate the rest.
	coveredLen = 31
)

// covered returns how much of the payload is under the tag.
func (k Kind) covered(n int) int {
	switch k {
	case KindOpening, KindPacket, KindNotMine:
		return min(n, coveredLen)
	}
	return n
}

// Put writes the header before the payload that starts at b[HeaderLen].
func (m *Message) Put(b []byte, k link.Key) {
	_ = b[HeaderLen-1]
	b[0], b[1], b[2], b[3], b[4] = messageMagic, byte(m.Kind), byte(k.ID()), byte(m.Reason), m.Requests
	b[5] = byte(m.Flags)
	if m.Kind == KindOpening {
		b[4] = byte(m.Priority)
		binary.BigEndian.PutUint16(b[6:], uint16(m.Cold))
	} else {
		binary.BigEndian.PutUint16(b[6:], m.Load)
	}
	binary.BigEndian.PutUint32(b[8:], m.Opening)
	binary.BigEndian.PutUint64(b[12:], uint64(m.Service))
	binary.BigEndian.PutUint64(b[atTag:], k.Tag(b[:atTag], b[HeaderLen:HeaderLen+m.Kind.covered(len(b)-HeaderLen)]))
}

// Get reads the header of b and returns the payload. It is false for a message
// of an unknown sender, which must change nothing.
func (m *Message) Get(b []byte, ks link.Keys) ([]byte, bool) {
	if len(b) < HeaderLen || b[0] != messageMagic || b[1] == 0 || b[1] >= byte(kindEnd) {
		return nil, false
	}
	m.Kind = Kind(b[1])
	k, ok := ks.Find(b[2])
	if !ok || k.Tag(b[:atTag], b[HeaderLen:HeaderLen+m.Kind.covered(len(b)-HeaderLen)]) != binary.BigEndian.Uint64(b[atTag:]) {
		return nil, false
	}
	m.Reason, m.Flags = Reason(b[3]), Flags(b[5])
	m.Priority, m.Requests, m.Cold, m.Load = 0, 0, 0, 0
	if m.Kind == KindOpening {
		m.Priority, m.Cold = Priority(b[4]), ColdRate(binary.BigEndian.Uint16(b[6:]))
	} else {
		m.Requests, m.Load = b[4], binary.BigEndian.Uint16(b[6:])
	}
	m.Opening = binary.BigEndian.Uint32(b[8:])
	m.Service = ServiceKey(binary.BigEndian.Uint64(b[12:]))
	return b[HeaderLen:], true
}

// Reason is why an agent refused an opening, or a balancer a packet.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonService
	ReasonUnknown
	ReasonDraining
	ReasonZoneOut
	ReasonCold
	ReasonFull
	ReasonBusy
	ReasonNoRoute
	ReasonNoAgent
	ReasonNotFound
	ReasonSilent
	ReasonGone
	ReasonCutOff
	ReasonHomeSilent
	ReasonHomeUnsure
	ReasonAgentSilent
	reasonEnd
)

var reasonNames = [reasonEnd]string{
	"", "wrongService", "upstreamUnknown", "draining", "zoneOut", "cold", "full", "busy",
	"noRoute", "noAgent", "notFound", "noAnswer", "upstreamGone", "cutOff", "homeSilent", "homeUnsure", "agentSilent",
}

// String returns the reason as it stands in the log.
func (r Reason) String() string {
	if r >= reasonEnd {
		return "unknown"
	}
	return reasonNames[r]
}
