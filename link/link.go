// Package link is the datagram protocol between balancers and agents: a fixed
// header with the caller's address before a caller's datagram, and heartbeats.
//
// Every header carries a SipHash-2-4 tag of 128 bits under a key of the fleet.
// The tag covers the header alone: the payload is QUIC and authenticates
// itself, so a replayed header gives an attacker no more than forging the
// caller's address on the fabric would. Weighed against it: PROXY protocol v2
// (its library allocates for each datagram and has no tag), AES-GCM (one key in
// 400 senders would need nonces that never meet) and HMAC-SHA-256 (slower by
// the measurement in docs/DESIGN.md).
package link

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
)

// Layout of the header, in bytes.
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
	candidateLen = 6
	// HeaderSize is the length of a header.
	HeaderSize = 80
)

const (
	// MaxCandidates is how many agents an opening may try.
	MaxCandidates = 4
	// mtu less the IP and UDP headers.
	maxUDP = 1500 - 28
	// MaxPayload is the largest datagram that is carried. Callers that probe
	// for more lose the probe and settle below it, so nothing is fragmented.
	MaxPayload = maxUDP - HeaderSize
	// MaxSkew is how far the clocks of two VMs may differ.
	MaxSkew = 30 * time.Second
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindForward carries a datagram of an established flow to its agent.
	KindForward Kind = iota + 1
	// KindOpen carries a datagram that may open a flow, with its candidates.
	KindOpen
	// KindReturn carries a datagram from an agent to a caller.
	KindReturn
	// KindHeartbeat says that an agent is there.
	KindHeartbeat
	// KindHeartbeatAck says that the balancer is there, too.
	KindHeartbeatAck
	kindEnd
)

// Message is a header in decoded form.
type Message struct {
	Kind    Kind
	Zone    bundle.ZoneID
	Service bundle.ServiceID
	// Position is the index of the receiver among the candidates.
	Position uint8
	Count    uint8
	// Load is the sender's open flows, capped at the field's size.
	Load       uint16
	Caller     netip.AddrPort
	Candidates [MaxCandidates]netip.AddrPort
	// Number is the sender's incarnation in a heartbeat, and in an opening the agents
	// that have passed it on.
	Number uint64
	// Sent is when the message was made, in Unix seconds.
	Sent uint32
}

// Key tags messages under one fleet secret.
type Key struct {
	id     bundle.KeyID
	k0, k1 uint64
}

// NewKey derives the link key of a fleet secret.
func NewKey(s keyring.Secret) Key {
	b := s.Derive(keyring.UseLink, 16)
	return Key{id: s.ID(), k0: binary.BigEndian.Uint64(b), k1: binary.BigEndian.Uint64(b[8:])}
}

// Keys are the link keys in force, the current one first.
type Keys []Key

// NewKeys derives the link keys of a ring.
func NewKeys(r keyring.Ring) Keys {
	var ks Keys
	for _, s := range r {
		ks = append(ks, NewKey(s))
	}
	return ks
}

// ID returns the id of the secret that the key derives from.
func (k Key) ID() bundle.KeyID { return k.id }

// Tag returns the keyed hash of two pieces of a message.
func (k Key) Tag(head, rest []byte) uint64 {
	return siphash.Hash(k.k0, siphash.Hash(k.k0, k.k1, head)^k.k1, rest)
}

// Find returns the key with the id.
func (ks Keys) Find(id byte) (Key, bool) {
	for _, k := range ks {
		if byte(k.id) == id {
			return k, true
		}
	}
	return Key{}, false
}

// Put writes the header of m to the first HeaderSize bytes of b.
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

func putCandidate(b []byte, a netip.AddrPort) {
	x := a.Addr().As4()
	copy(b, x[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

// Get reads the header of b into m and returns the payload. It returns false
// for a message of an unknown sender, which must change nothing.
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

// Fresh reports whether a heartbeat was made near now. A recorded heartbeat
// that is replayed later would keep a dead process alive; it shows as an old
// time under a valid tag.
func (m *Message) Fresh(now time.Time) bool {
	d := now.Sub(time.Unix(int64(m.Sent), 0))
	return d > -MaxSkew && d < MaxSkew
}
