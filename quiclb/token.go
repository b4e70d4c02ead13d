// Package quiclb encodes and decodes the QUIC connection IDs that carry the route of a
// flow, so that any balancer finds the agent of an established flow without a table.
// Such a connection ID is called a token.
//
// A token has 20 bytes: the key's id, the route encrypted as one AES block, and three
// bytes of a keyed checksum over both. The encrypted route in the connection ID follows
// the IETF draft draft-ietf-quic-load-balancers. Here the route contains the agent's
// address itself, so a balancer that has just started needs no list of agents. Decoding a
// token costs one AES block and one SipHash. Agents with IPv6 addresses are not
// supported, because 16 bytes are too few for them.
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

// TokenSize is the length of a token in bytes. It is the longest connection ID that QUIC allows.
const TokenSize = 20

const (
	blockOffset    = 1
	checksumOffset = blockOffset + aes.BlockSize
	checksumLen    = TokenSize - checksumOffset
)

// Incarnation distinguishes successive processes at the same address.
type Incarnation uint32

// incarnationMask selects the 24 bits of an incarnation that a token carries. Checksums
// are reduced to 24 bits by the same mask.
const incarnationMask = 1<<24 - 1

// Short returns the part of the incarnation that tokens carry.
func (i Incarnation) Short() Incarnation { return i & incarnationMask }

// Route is the content of a token: the agent of the flow, its service and its zone.
type Route struct {
	Service     bundle.ServiceID
	Zone        bundle.ZoneID
	Agent       netip.AddrPort
	Incarnation Incarnation
}

// Key encrypts and decrypts tokens under one fleet secret.
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

// checksum returns the 24-bit checksum of a token's key id and encrypted route.
func (k *Key) checksum(b []byte) uint32 {
	return uint32(siphash.Hash(k.k0, k.k1, b[:checksumOffset])) & incarnationMask
}

// Seal returns the token of the route. Tokens of one route differ by the nonce.
func (k *Key) Seal(r Route, nonce uint32) [TokenSize]byte {
	var p [aes.BlockSize]byte
	a := r.Agent.Addr().As4()
	copy(p[0:4], a[:])
	binary.BigEndian.PutUint16(p[4:], r.Agent.Port())
	binary.BigEndian.PutUint16(p[6:], uint16(r.Service))
	binary.BigEndian.PutUint32(p[8:], uint32(r.Incarnation.Short()))
	p[8] = byte(r.Zone)
	binary.BigEndian.PutUint32(p[12:], nonce)
	var t [TokenSize]byte
	t[0] = byte(k.id)
	k.block.Encrypt(t[blockOffset:checksumOffset], p[:])
	c := k.checksum(t[:])
	t[checksumOffset], t[checksumOffset+1], t[checksumOffset+2] = byte(c>>16), byte(c>>8), byte(c)
	return t
}

// Keys holds the token keys in force, the current one first.
type Keys []*Key

// NewKeys derives the token keys of the secrets in a ring.
func NewKeys(r keyring.Ring) Keys {
	var ks Keys
	for _, s := range r {
		ks = append(ks, NewKey(s))
	}
	return ks
}

// Opener decodes tokens without allocating. It is not safe for concurrent use.
type Opener struct {
	p [aes.BlockSize]byte
}

// Open returns the route of a token and whether the token is valid. A connection ID that
// a caller chose is not valid, and neither is a token of a retired key. Both look like
// random bytes.
func (o *Opener) Open(ks Keys, t []byte) (Route, bool) {
	if len(t) != TokenSize {
		return Route{}, false
	}
	for _, k := range ks {
		if byte(k.id) != t[0] {
			continue
		}
		c := k.checksum(t)
		if t[checksumOffset] != byte(c>>16) || t[checksumOffset+1] != byte(c>>8) || t[checksumOffset+2] != byte(c) {
			return Route{}, false
		}
		k.block.Decrypt(o.p[:], t[blockOffset:checksumOffset])
		return o.route(), true
	}
	return Route{}, false
}

// route decodes the route in the decrypted block.
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

// Generator generates the connection IDs of one agent for quic-go.
type Generator struct {
	Route Route
	// Key returns the current key at the time of the call. It encrypts the next token.
	Key func() *Key
}

// GenerateConnectionID returns a token with a random nonce.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	var n [4]byte
	rand.Read(n[:])
	t := g.Key().Seal(g.Route, binary.BigEndian.Uint32(n[:]))
	return quic.ConnectionIDFromBytes(t[:]), nil
}

// ConnectionIDLen returns the length of all tokens.
func (g *Generator) ConnectionIDLen() int { return TokenSize }
