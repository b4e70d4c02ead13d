package datagram

import (
	"encoding/binary"
	"math"
	"time"

	"pomeloway.example/pomeloway/link"
)

// Kind is the type of a message between balancers and agents.
type Kind uint8

// Message kinds. An opening is the packet with which a caller asks for a new flow, like
// a TCP SYN. A home is a balancer that keeps the locations of some flows; see homes.go.
const (
	// KindOpening carries a caller's opening to an agent, which replies with
	// KindOpened or KindRefused.
	KindOpening Kind = 1 + iota
	// KindPacket carries any other packet of a caller to an agent.
	KindPacket
	// KindOpened reports that the agent's upstream accepted the flow.
	KindOpened
	// KindRefused reports that the agent did not forward the opening to its upstream, or
	// that the upstream refused it.
	KindRefused
	// KindReturned returns a packet of a flow that the agent's upstream does not hold.
	KindReturned
	// KindNotHeld answers a lookup: the flow is not at this agent.
	KindNotHeld
	// KindHeld answers a lookup: the flow is at this agent.
	KindHeld
	// KindAgent and KindBalancer carry the sender's status.
	KindAgent
	KindBalancer
	// KindSilent reports that the statuses of an agent near the sending balancer are
	// overdue; see cadence.go. It carries the agent's address and life.
	KindSilent
	// KindEntries lists flows that an agent holds, for a home of these flows. KindResend
	// asks the agent to send the complete list again.
	KindEntries
	KindResend
	// KindLocate asks a home which agents hold the given flows. KindLocated is the answer.
	KindLocate
	KindLocated
	// KindRoutes tells a balancer that has started recently to which services routes led before.
	// Earlier builds ignore it.
	KindRoutes
	kindEnd
)

var kindNames = [kindEnd]string{
	"", "opening", "packet", "opened", "refused", "returned", "notHeld", "held", "agentStatus", "balancerStatus", "silent",
	"entries", "resend", "locate", "located", "routes",
}

// String returns the name of the kind in reports.
func (k Kind) String() string {
	if k >= kindEnd {
		return "unknown"
	}
	return kindNames[k]
}

// isFromAgent reports whether agents send messages of this kind.
func (k Kind) isFromAgent() bool {
	switch k {
	case KindOpened, KindRefused, KindReturned, KindNotHeld, KindHeld, KindAgent, KindEntries:
		return true
	}
	return false
}

// Message is the header of a message.
type Message struct {
	Kind   Kind
	Reason Reason
	// Priority is set in openings. Requests is set in refusals: the number of requests at
	// the upstream. In a home's answer about one flow, Requests has a bit for each agent that
	// may hold the flow, and Opening one for each uncovered agent: the home hears it.
	Priority Priority
	Requests uint8
	// Budget is set in openings: the time left to answer the flow's first request within its
	// target latency.
	Budget Budget
	// Flags are set in openings, in lookups and in the answers to these, in statuses of agents and in
	// resend requests.
	Flags Flags
	// Opening is the number that the balancer gave to this attempt to open a flow. In a message
	// with one entry it is the number that a reset of the flow has to carry; 0: not known.
	Opening uint32
	Service ServiceKey
	// Zone is set in statuses of balancers: the sender's availability zone. Earlier builds
	// neither send nor read it.
	Zone ZoneKey
	// Cold is set in openings: the rate limit of new flows for an upstream in cold start.
	Cold ColdRate
	// Load is set in messages from agents: the number of flows and requests at the agent.
	Load uint16
	// Report is set in statuses of agents. In answers to openings it follows the flow in the
	// payload instead.
	Report LoadReport
}

// Flags qualify an opening, a packet that is sent to look up its flow and the answers to it, or a
// status of an agent.
type Flags uint8

const (
	// FlagUnsure marks an answer of an agent that can't tell whether its upstream holds
	// the flow.
	FlagUnsure Flags = 1 << iota
	// FlagLookup marks a packet whose sender does not know where the flow is and wants
	// an answer.
	FlagLookup
	// FlagKnownOnly lets only an agent that knows the flow forward the packet to its
	// upstream. It is set when the flow may be at an agent that must not forward packets
	// of unknown flows.
	FlagKnownOnly
	// FlagUrgent marks an opening of an urgent route.
	FlagUrgent
	// FlagReserveHomes marks the status of an agent that registers its flows at their reserve
	// homes too, which earlier builds don't.
	FlagReserveHomes
	// FlagRunRecordPending marks the status of an agent that will know shortly, from a record in the store,
	// whether it knows every flow of its upstream.
	FlagRunRecordPending
	// FlagRecordMissing marks a resend request to a member that has no record in the store and has to
	// write one. Balancers ignore the request itself.
	FlagRecordMissing
)

func (f Flags) has(x Flags) bool { return f&x != 0 }

// ColdRate is a number of new flows per second, in tenths. 0 means no limit during cold
// start.
type ColdRate uint16

// ColdRateOf converts a rate in flows per second. A positive rate is never rounded down
// to 0, which would mean no limit.
func ColdRateOf(perSecond float64) ColdRate {
	if perSecond <= 0 {
		return 0
	}
	return ColdRate(max(1, min(perSecond*10, math.MaxUint16)))
}

func (r ColdRate) perSecond() float64 { return float64(r) / 10 }

// Budget is a duration on the wire, in units of budgetUnit. 0 means that there is no limit.
type Budget uint8

const budgetUnit = 8 * time.Millisecond

// budgetOf converts d, rounded down. Durations that don't fit become the longest one.
func budgetOf(d time.Duration) Budget {
	return Budget(max(0, min(d/budgetUnit, math.MaxUint8)))
}

// after returns what is left of the budget after d. It stays a limit if b is one.
func (b Budget) after(d time.Duration) Budget {
	if b == 0 {
		return 0
	}
	return max(1, budgetOf(b.duration()-d))
}

func (b Budget) duration() time.Duration { return time.Duration(b) * budgetUnit }

// HeaderLen is the length of a message header in bytes.
const HeaderLen = 28

const (
	messageMagic = 0xd7
	tagOffset    = 20
	// maxAuthenticatedLen is how many of the first bytes of a caller's packet the tag covers
	// at most. They bind the header to the flow. The endpoints of the flow authenticate the
	// rest.
	maxAuthenticatedLen = 31
)

// authenticatedLen returns how many of the n payload bytes the tag covers.
func (k Kind) authenticatedLen(n int) int {
	switch k {
	case KindOpening, KindPacket, KindReturned:
		return min(n, maxAuthenticatedLen)
	}
	return n
}

// Put writes the header into b[:HeaderLen]. The payload in b[HeaderLen:] must already be
// there, as the tag covers it.
func (m *Message) Put(b []byte, k link.Key) {
	_ = b[HeaderLen-1]
	b[0], b[1], b[2], b[3], b[4] = messageMagic, byte(m.Kind), byte(k.ID()), byte(m.Reason), m.Requests
	b[5] = byte(m.Flags)
	binary.BigEndian.PutUint32(b[8:], m.Opening)
	switch m.Kind {
	case KindOpening:
		b[3], b[4] = byte(m.Budget), byte(m.Priority)
		binary.BigEndian.PutUint16(b[6:], uint16(m.Cold))
	case KindAgent:
		m.Report.putHeader(b)
	default:
		binary.BigEndian.PutUint16(b[6:], m.Load)
	}
	key := uint64(m.Service)
	if m.Kind == KindBalancer {
		key = uint64(m.Zone)
	}
	binary.BigEndian.PutUint64(b[12:], key)
	binary.BigEndian.PutUint64(b[tagOffset:],
		k.Tag(b[:tagOffset], b[HeaderLen:HeaderLen+m.Kind.authenticatedLen(len(b)-HeaderLen)]))
}

// Get reads the header of b and returns the payload. It returns false for a malformed or
// unauthenticated message, which callers must ignore.
func (m *Message) Get(b []byte, ks link.Keys) ([]byte, bool) {
	if len(b) < HeaderLen || b[0] != messageMagic || b[1] == 0 || b[1] >= byte(kindEnd) {
		return nil, false
	}
	m.Kind = Kind(b[1])
	k, ok := ks.Find(b[2])
	if !ok || k.Tag(b[:tagOffset], b[HeaderLen:HeaderLen+m.Kind.authenticatedLen(len(b)-HeaderLen)]) !=
		binary.BigEndian.Uint64(b[tagOffset:]) {
		return nil, false
	}
	m.Reason, m.Flags = Reason(b[3]), Flags(b[5])
	m.Priority, m.Requests, m.Budget, m.Cold, m.Load, m.Report = 0, 0, 0, 0, 0, LoadReport{}
	m.Opening = binary.BigEndian.Uint32(b[8:])
	switch m.Kind {
	case KindOpening:
		m.Reason, m.Budget = ReasonNone, Budget(b[3])
		m.Priority, m.Cold = Priority(b[4]), ColdRate(binary.BigEndian.Uint16(b[6:]))
	case KindAgent:
		m.Reason, m.Opening, m.Report = ReasonNone, 0, loadReportInHeader(b)
	default:
		m.Requests, m.Load = b[4], binary.BigEndian.Uint16(b[6:])
	}
	m.Service, m.Zone = ServiceKey(binary.BigEndian.Uint64(b[12:])), 0
	if m.Kind == KindBalancer {
		m.Service, m.Zone = 0, ZoneKey(m.Service)
	}
	return b[HeaderLen:], true
}

// Reason is why an agent refused an opening, or why a balancer refused or dropped a packet.
type Reason uint8

// Reasons. Their names in the log are in reasonNames.
const (
	ReasonNone Reason = iota
	ReasonWrongService
	ReasonUpstreamUnknown
	ReasonDraining
	ReasonZoneOut
	ReasonCold
	ReasonFull
	ReasonBusy
	ReasonNoRoute
	ReasonNoAgent
	ReasonNotFound
	ReasonNoAnswer
	ReasonUpstreamGone
	ReasonCutOff
	ReasonHomeSilent
	ReasonHomeUnsure
	ReasonAgentSilent
	ReasonOverloaded
	ReasonLinkBusy
	reasonEnd
)

var reasonNames = [reasonEnd]string{
	"", "wrongService", "upstreamUnknown", "draining", "zoneOut", "cold", "full", "busy",
	"noRoute", "noAgent", "notFound", "noAnswer", "upstreamGone", "cutOff", "homeSilent", "homeUnsure", "agentSilent", "overloaded", "linkBusy",
}

// String returns the name of the reason in the log.
func (r Reason) String() string {
	if r >= reasonEnd {
		return "unknown"
	}
	return reasonNames[r]
}
