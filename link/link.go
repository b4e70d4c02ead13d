// Package link implements the datagram protocol between balancers and agents: heartbeats,
// and callers' datagrams behind a header of fixed length that contains the caller's address.
//
// Every header carries a 128-bit SipHash-2-4 tag under a key of the fleet. The tag covers
// only the header. The payload is QUIC, which authenticates itself, so replaying a header
// gives an attacker no more than forging the caller's address on the network would.
//
// Alternatives that were considered: PROXY protocol v2 (its library allocates memory for
// each datagram and has no tag), AES-GCM (400 senders that share a key would have to ensure
// that no nonce is used twice) and HMAC-SHA-256 (slower, as measured in docs/DESIGN.md).
package link

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
)

// Layout of the header: magic is its first byte, and the constants from atMagic to atTag
// are the offsets of its fields in bytes.
const (
	magic        = 0xb7
	atMagic      = 0
	atKind       = 1
	atKey        = 2
	atZone       = 3
	atService    = 4
	atPosition   = 6
	atCount      = 7
	atCallerIP   = 8
	atCallerPort = 24
	atLoad       = 26
	atTime       = 28
	atCandidates = 32
	atNumber     = 56
	atTag        = 64
	candidateLen = 6 // length of a candidate's IPv4 address and port
	// HeaderSize is the length of a header in bytes.
	HeaderSize = 80
)

const (
	// MaxCandidates is the maximum number of agents to which a new flow is offered.
	MaxCandidates = 4
	// maxUDPPayload is the longest UDP payload of an Ethernet frame: the MTU minus the IP
	// and UDP headers.
	maxUDPPayload = 1500 - 28
	// MaxPayload is the length of the longest caller's datagram that is forwarded. Larger
	// path MTU probes of callers are lost, so callers stay below it and nothing is
	// fragmented.
	MaxPayload = maxUDPPayload - HeaderSize
	// MaxSkew is the maximum difference between the clocks of two VMs.
	MaxSkew = 30 * time.Second
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindForward carries a caller's datagram of an established flow to the flow's agent.
	KindForward Kind = iota + 1
	// KindOpen carries an opening, which is a caller's datagram that may open a flow, with
	// the candidates.
	KindOpen
	// KindReturn carries a datagram from an agent to a caller.
	KindReturn
	// KindHeartbeat is a liveness message that the receiver answers.
	KindHeartbeat
	// KindHeartbeatAck is the answer to a heartbeat.
	KindHeartbeatAck
	kindEnd
)

// Message is a decoded header.
type Message struct {
	Kind    Kind
	Zone    bundle.ZoneID
	Service bundle.ServiceID
	// Position is the receiver's index among the candidates, or Count in an opening that
	// goes back to the agent that passed it on.
	Position uint8
	// Count is the number of candidates.
	Count uint8
	// Load is the number of the sender's open flows, at most the field's maximum.
	Load uint16
	// Caller is the address of the caller.
	Caller netip.AddrPort
	// Candidates are the agents to which a new flow is offered, in order.
	Candidates [MaxCandidates]netip.AddrPort
	// Number is the sender's incarnation in a heartbeat, and the number of agents that
	// have passed on an opening.
	Number uint64
	// Sent is when the message was created, in Unix seconds.
	Sent uint32
}

// Key authenticates messages with tags. It is derived from a fleet secret.
type Key struct {
	id     bundle.KeyID
	k0, k1 uint64
}

// NewKey derives the link key of a fleet secret.
func NewKey(s keyring.Secret) Key {
	b := s.Derive(keyring.UseLink, 16)
	return Key{id: s.ID(), k0: binary.BigEndian.Uint64(b), k1: binary.BigEndian.Uint64(b[8:])}
}

// Keys are the accepted link keys. The first one is the current key.
type Keys []Key

// NewKeys derives the link keys of the secrets in a ring.
func NewKeys(r keyring.Ring) Keys {
	var ks Keys
	for _, s := range r {
		ks = append(ks, NewKey(s))
	}
	return ks
}

// ID returns the id of the secret that the key derives from.
func (k Key) ID() bundle.KeyID { return k.id }

// Tag returns a keyed hash of the two parts of a message.
func (k Key) Tag(head, rest []byte) uint64 {
	return siphash.Hash(k.k0, siphash.Hash(k.k0, k.k1, head)^k.k1, rest)
}

// Find returns the key that derives from the secret with the id.
func (ks Keys) Find(id byte) (Key, bool) {
	for _, k := range ks {
		if byte(k.id) == id {
			return k, true
		}
	}
	return Key{}, false
}

// Put encodes m and its tag into the first HeaderSize bytes of b.
func (k Key) Put(b []byte, m *Message) {
	_ = b[HeaderSize-1]
	clear(b[:HeaderSize])
	b[atMagic], b[atKind], b[atKey], b[atZone] = magic, byte(m.Kind), byte(k.id), byte(m.Zone)
	binary.BigEndian.PutUint16(b[atService:], uint16(m.Service))
	b[atPosition], b[atCount] = m.Position, m.Count
	a := m.Caller.Addr().As16()
	copy(b[atCallerIP:], a[:])
	binary.BigEndian.PutUint16(b[atCallerPort:], m.Caller.Port())
	binary.BigEndian.PutUint16(b[atLoad:], m.Load)
	binary.BigEndian.PutUint32(b[atTime:], m.Sent)
	for i := range min(int(m.Count), MaxCandidates) {
		putCandidate(b[atCandidates+i*candidateLen:], m.Candidates[i])
	}
	binary.BigEndian.PutUint64(b[atNumber:], m.Number)
	t0, t1 := siphash.Hash128(k.k0, k.k1, b[:atTag])
	binary.BigEndian.PutUint64(b[atTag:], t0)
	binary.BigEndian.PutUint64(b[atTag+8:], t1)
}

// putCandidate encodes the address of a candidate into b.
func putCandidate(b []byte, a netip.AddrPort) {
	x := a.Addr().As4()
	copy(b, x[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

// Get decodes the header of b into m and returns the payload. It returns false if the
// header is malformed or its tag is not made with one of the keys. Such a message must have
// no effect.
func (ks Keys) Get(b []byte, m *Message) ([]byte, bool) {
	if len(b) < HeaderSize || b[atMagic] != magic || !ks.authentic(b) {
		return nil, false
	}
	m.Kind, m.Zone = Kind(b[atKind]), bundle.ZoneID(b[atZone])
	m.Service = bundle.ServiceID(binary.BigEndian.Uint16(b[atService:]))
	m.Position, m.Count = b[atPosition], b[atCount]
	if m.Kind == 0 || m.Kind >= kindEnd || m.Count > MaxCandidates || m.Position > m.Count {
		return nil, false
	}
	m.Caller = netip.AddrPortFrom(
		netip.AddrFrom16([16]byte(b[atCallerIP:])).Unmap(), binary.BigEndian.Uint16(b[atCallerPort:]))
	m.Load = binary.BigEndian.Uint16(b[atLoad:])
	m.Sent = binary.BigEndian.Uint32(b[atTime:])
	m.Number = binary.BigEndian.Uint64(b[atNumber:])
	for i := range int(m.Count) {
		c := b[atCandidates+i*candidateLen:]
		m.Candidates[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte(c)), binary.BigEndian.Uint16(c[4:]))
	}
	return b[HeaderSize:], true
}

// authentic reports whether the tag of the header is valid under one of the keys.
func (ks Keys) authentic(b []byte) bool {
	for _, k := range ks {
		if byte(k.id) != b[atKey] {
			continue
		}
		t0, t1 := siphash.Hash128(k.k0, k.k1, b[:atTag])
		d0 := t0 ^ binary.BigEndian.Uint64(b[atTag:])
		d1 := t1 ^ binary.BigEndian.Uint64(b[atTag+8:])
		return d0|d1 == 0
	}
	return false
}

// Fresh reports whether a heartbeat was created within MaxSkew of now. A replayed heartbeat
// would make a dead process appear alive. Its tag is valid, but its time is old.
func (m *Message) Fresh(now time.Time) bool {
	d := now.Sub(time.Unix(int64(m.Sent), 0))
	return d > -MaxSkew && d < MaxSkew
}
