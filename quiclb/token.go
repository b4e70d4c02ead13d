// Package quiclb makes and reads the connection IDs by which any balancer finds
// the agent of an established flow without a table.
//
// A connection ID has 20 bytes: the key's id, one AES block over the route, and
// three bytes of a keyed checksum over both. The idea of an encrypted route in
// the connection ID is that of the IETF draft draft-ietf-quic-load-balancers;
// the route here holds the agent's address itself, so that a balancer born a
// second ago needs no list of agents. Reading one costs an AES block and a
// SipHash. Given up: agents with IPv6 addresses, for which 16 bytes are too few.
package quiclb

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/quic-go/quic-go"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
)

// Size is the length of a connection ID in bytes, the longest QUIC allows.
const Size = 20

const (
	blockAt  = 1
	checkAt  = blockAt + aes.BlockSize
	checkLen = Size - checkAt
)

// Incarnation tells the lives of a process at one address apart.
type Incarnation uint32

// incarnationMask keeps the 24 bits that a token carries.
const incarnationMask = 1<<24 - 1

// Short returns the part of the incarnation that tokens carry.
func (i Incarnation) Short() Incarnation { return i & incarnationMask }

// Route is what a token says: which agent of which service and zone.
type Route struct {
	Service     bundle.ServiceID
	Zone        bundle.ZoneID
	Agent       netip.AddrPort
	Incarnation Incarnation
}

// Key makes and reads tokens under one fleet secret.
type Key struct {
	id     bundle.KeyID
	block  cipher.Block
	k0, k1 uint64
}

// NewKey derives the token key of a fleet secret.
func NewKey(s keyring.Secret) *Key {
	b := s.Derive(keyring.UseToken, 32)
	c, err := aes.NewCipher(b[:16])
	if err != nil {
		panic(err) // the key's length is a constant
	}
	return &Key{
		id: s.ID(), block: c,
		k0: binary.BigEndian.Uint64(b[16:]), k1: binary.BigEndian.Uint64(b[24:]),
	}
}

func (k *Key) check(b []byte) uint32 {
	return uint32(siphash.Hash(k.k0, k.k1, b[:checkAt])) & incarnationMask
}

// Seal returns a token for the route with the nonce.
func (k *Key) Seal(r Route, nonce uint32) [Size]byte {
	var p [aes.BlockSize]byte
	a := r.Agent.Addr().As4()
	copy(p[0:4], a[:])
	binary.BigEndian.PutUint16(p[4:], r.Agent.Port())
	binary.BigEndian.PutUint16(p[6:], uint16(r.Service))
	binary.BigEndian.PutUint32(p[8:], uint32(r.Incarnation.Short()))
	p[8] = byte(r.Zone)
	binary.BigEndian.PutUint32(p[12:], nonce)
	var t [Size]byte
	t[0] = byte(k.id)
	k.block.Encrypt(t[blockAt:checkAt], p[:])
	c := k.check(t[:])
	t[checkAt], t[checkAt+1], t[checkAt+2] = byte(c>>16), byte(c>>8), byte(c)
	return t
}

// Keys are the token keys in force, the current one first.
type Keys []*Key

// NewKeys derives the token keys of a ring.
func NewKeys(r keyring.Ring) Keys {
	var ks Keys
	for _, s := range r {
		ks = append(ks, NewKey(s))
	}
	return ks
}

// Opener reads tokens without allocating. It is for one goroutine.
type Opener struct {
	p [aes.BlockSize]byte
}

// Open returns the route of a token. A connection ID that a caller chose, or
// one under a retired key, is not valid: both look like random bytes here.
func (o *Opener) Open(ks Keys, t []byte) (Route, bool) {
	if len(t) != Size {
		return Route{}, false
	}
	for _, k := range ks {
		if byte(k.id) != t[0] {
			continue
		}
		c := k.check(t)
		if t[checkAt] != byte(c>>16) || t[checkAt+1] != byte(c>>8) || t[checkAt+2] != byte(c) {
			return Route{}, false
		}
		k.block.Decrypt(o.p[:], t[blockAt:checkAt])
		return o.route(), true
	}
	return Route{}, false
}

func (o *Opener) route() Route {
	return Route{
		Service: bundle.ServiceID(binary.BigEndian.Uint16(o.p[6:])),
		Zone:    bundle.ZoneID(o.p[8]),
		Agent: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(o.p[0:4])),
			binary.BigEndian.Uint16(o.p[4:])),
		Incarnation: Incarnation(binary.BigEndian.Uint32(o.p[8:])) & incarnationMask,
	}
}

// Generator makes the connection IDs of one agent for quic-go.
type Generator struct {
	Route Route
	// Key returns the key to seal with, the current one at the time.
	Key func() *Key
}

// GenerateConnectionID returns a fresh token.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	var n [4]byte
	rand.Read(n[:])
	t := g.Key().Seal(g.Route, binary.BigEndian.Uint32(n[:]))
	return quic.ConnectionIDFromBytes(t[:]), nil
}

// ConnectionIDLen returns the constant length of the tokens.
func (g *Generator) ConnectionIDLen() int { return Size }
