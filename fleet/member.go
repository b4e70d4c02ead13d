// Package fleet is what a process knows of the others: members, opinions on
// who is alive, and the bundle in force. Merging is commutative, associative
// and idempotent, so views may travel by any path, late, twice or crossed.
package fleet

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
)

// MemberID names a process by its role and link address; it outlives restarts.
type MemberID string

// Incarnation orders the lives of one member: its start in Unix microseconds.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation() Incarnation { return Incarnation(time.Now().UnixMicro()) }

// Revision orders the records of one life of a member.
type Revision uint64

// Role is what a process does in the fleet.
type Role string

// Roles of members.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Phase is where a member stands in its life.
type Phase string

// Phases of members.
const (
	PhaseReady   Phase = "ready"
	PhaseLeaving Phase = "leaving"
	PhaseLeft    Phase = "left"
)

// Member is the record that a process announces of itself.
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

// UnmarshalJSON checks a member while it is decoded.
func (m *Member) UnmarshalJSON(b []byte) error {
	type plain Member
	if err := json.Unmarshal(b, (*plain)(m)); err != nil {
		return err
	}
	return m.Check()
}

// Check returns why the member's record is not valid.
func (m *Member) Check() error {
	switch {
	case m.Role != RoleBalancer && m.Role != RoleAgent:
		return eris.Errorf("member %q: role %q is unknown", m.ID, m.Role)
	case m.Phase != PhaseReady && m.Phase != PhaseLeaving && m.Phase != PhaseLeft:
		return eris.Errorf("member %q: phase %q is unknown", m.ID, m.Phase)
	case !m.Link.IsValid() || !m.Link.Addr().Is4() || m.Link.Port() == 0:
		return eris.Errorf("member %q: link %v is no IPv4 address and port", m.ID, m.Link)
	case !m.Peer.IsValid() || m.Peer.Port() == 0:
		return eris.Errorf("member %q: peer %v is no address and port", m.ID, m.Peer)
	case m.ID != NewID(m.Role, m.Link):
		return eris.Errorf("member %q: id does not fit its role and link", m.ID)
	case m.Zone == 0:
		return eris.Errorf("member %q: zone is missing", m.ID)
	case m.Role == RoleAgent && m.Service == 0:
		return eris.Errorf("member %q: service is missing", m.ID)
	}
	return nil
}

// Newer reports whether m replaces o.
//
// A process that was paused and writes late, or a process at an address whose
// next life has begun, shows as a lower incarnation or revision, and loses.
func (m *Member) Newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Revision > o.Revision
}

// Opinion is what one balancer holds of one agent's life.
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
