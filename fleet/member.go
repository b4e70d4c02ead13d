// Package fleet holds a process's view of the fleet: the members, the opinions on
// which of them are alive, and the bundle in force. Merging views is commutative,
// associative and idempotent, so views may arrive by any path, late, more than once
// or out of order.
package fleet

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
)

// MemberID identifies a process by its role and link address. It stays the same
// across restarts.
type MemberID string

// Incarnation identifies one run of a member between two restarts, which is also called
// a life of the member. It is the start time in Unix microseconds, so later
// incarnations are higher.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation() Incarnation { return Incarnation(time.Now().UnixMicro()) }

// Revision orders the records of one incarnation of a member.
type Revision uint64

// Role is the role of a process in the fleet.
type Role string

// Roles of members.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Phase is the phase of a member in its lifecycle, from ready through leaving to left.
type Phase string

// Phases of members.
const (
	PhaseReady   Phase = "ready"
	PhaseLeaving Phase = "leaving"
	PhaseLeft    Phase = "left"
)

// Member is the record that a process publishes about itself.
type Member struct {
	ID          MemberID         `json:"id"`
	Role        Role             `json:"role"`
	Zone        bundle.ZoneID    `json:"zone"`
	Service     bundle.ServiceID `json:"service,omitempty"`
	Link        netip.AddrPort   `json:"link"`
	Peer        netip.AddrPort   `json:"peer"`
	Operator    string           `json:"operator,omitempty"`
	Incarnation Incarnation      `json:"incarnation"`
	Revision    Revision         `json:"revision"`
	Phase       Phase            `json:"phase"`
}

// NewID returns the id of the member with the role and link address.
func NewID(r Role, a netip.AddrPort) MemberID {
	return MemberID(string(r) + "-" + a.String())
}

// UnmarshalJSON decodes a member and checks it.
func (m *Member) UnmarshalJSON(b []byte) error {
	type plain Member
	if err := json.Unmarshal(b, (*plain)(m)); err != nil {
		return err
	}
	return m.Check()
}

// Check returns an error if the member's record is not valid.
func (m *Member) Check() error {
	switch {
	case m.Role != RoleBalancer && m.Role != RoleAgent:
		return eris.Errorf("member %q: role %q is unknown", m.ID, m.Role)
	case m.Phase != PhaseReady && m.Phase != PhaseLeaving && m.Phase != PhaseLeft:
		return eris.Errorf("member %q: phase %q is unknown", m.ID, m.Phase)
	case !m.Link.IsValid() || !m.Link.Addr().Is4() || m.Link.Port() == 0:
		return eris.Errorf("member %q: link %v is not an IPv4 address and port", m.ID, m.Link)
	case !m.Peer.IsValid() || m.Peer.Port() == 0:
		return eris.Errorf("member %q: peer %v is not an address and port", m.ID, m.Peer)
	case m.ID != NewID(m.Role, m.Link):
		return eris.Errorf("member %q: id does not match its role and link", m.ID)
	case m.Zone == 0:
		return eris.Errorf("member %q: zone is missing", m.ID)
	case m.Role == RoleAgent && m.Service == 0:
		return eris.Errorf("member %q: service is missing", m.ID)
	}
	return nil
}

// Newer reports whether m replaces o.
//
// A process that was paused may write an old record late, and a record of an earlier
// process may arrive after the next one has started at the same address. Both have a
// lower incarnation or revision, so they don't replace the newer record.
func (m *Member) Newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Revision > o.Revision
}

// Opinion is one balancer's judgement of whether an incarnation of one agent is alive.
// Doubted means that the observer considers the subject failed.
type Opinion struct {
	Observer MemberID    `json:"observer"`
	Subject  MemberID    `json:"subject"`
	Life     Incarnation `json:"life"`
	Doubted  bool        `json:"doubted"`
	// Stamp orders the opinions of one observer, in Unix microseconds.
	Stamp uint64 `json:"stamp"`
}

type opinionKey struct{ observer, subject MemberID }

func (o *Opinion) key() opinionKey { return opinionKey{o.Observer, o.Subject} }
