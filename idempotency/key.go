// Package idempotency implements the idempotency keys with which a request runs at
// most once, and the journal of their results.
//
// A key names its home: the process that issued it, given by the agent's address and
// its incarnation ("life"). Only the home may run a request with the key. At-most-once
// execution therefore needs neither a write to the platform for each order nor
// consensus. If the home has failed, no other process can decide, and the outcome of
// the request is unknown. docs/DESIGN.md compares this design with homes that move by
// lease, and with a conditional create in the platform for each order.
package idempotency

import (
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/crypto/chacha20poly1305"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
)

// Header is the name of the HTTP header that carries a key
// (draft-ietf-httpapi-idempotency-key-header).
const Header = "Idempotency-Key"

// Errors of Sealer.Open.
var (
	ErrForged       = errors.New("idempotency key was not issued by this fleet")
	ErrExpired      = errors.New("idempotency key has expired")
	ErrWrongService = errors.New("idempotency key was issued for another service")
)

// Nonce identifies a key among those of the same home.
type Nonce uint64

// Key is the content of an idempotency key.
type Key struct {
	Home    netip.AddrPort // peer address of the home, IPv4
	Life    fleet.Incarnation
	Service bundle.ServiceID
	Expires time.Time
	Nonce   Nonce
}

// Field offsets and size of a key's plaintext, in bytes.
const (
	portOffset    = 4
	lifeOffset    = 6
	serviceOffset = 14
	expiresOffset = 16
	nonceOffset   = 24
	plaintextSize = 32
)

// marshal returns the plaintext of the key.
func (k *Key) marshal() []byte {
	b := make([]byte, plaintextSize)
	a := k.Home.Addr().As4()
	copy(b, a[:])
	binary.BigEndian.PutUint16(b[portOffset:], k.Home.Port())
	binary.BigEndian.PutUint64(b[lifeOffset:], uint64(k.Life))
	binary.BigEndian.PutUint16(b[serviceOffset:], uint16(k.Service))
	binary.BigEndian.PutUint64(b[expiresOffset:], uint64(k.Expires.UnixMilli()))
	binary.BigEndian.PutUint64(b[nonceOffset:], uint64(k.Nonce))
	return b
}

// unmarshal decodes a plaintext of plaintextSize bytes.
func unmarshal(b []byte) Key {
	return Key{
		Home:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[portOffset:])),
		Life:    fleet.Incarnation(binary.BigEndian.Uint64(b[lifeOffset:])),
		Service: bundle.ServiceID(binary.BigEndian.Uint16(b[serviceOffset:])),
		Expires: time.UnixMilli(int64(binary.BigEndian.Uint64(b[expiresOffset:]))),
		Nonce:   Nonce(binary.BigEndian.Uint64(b[nonceOffset:])),
	}
}

// Sealer encrypts and decrypts keys with the fleet's secrets.
type Sealer struct {
	ids   []bundle.KeyID
	aeads []cipher.AEAD
}

// NewSealer returns a sealer that encrypts with the first secret of the ring and
// decrypts with any of them.
func NewSealer(r keyring.Ring) *Sealer {
	s := &Sealer{}
	for _, k := range r {
		a, err := chacha20poly1305.NewX(k.Derive(keyring.UseOrder, chacha20poly1305.KeySize))
		if err != nil {
			panic(err) // unreachable: the derived key has the required length
		}
		s.ids, s.aeads = append(s.ids, k.ID()), append(s.aeads, a)
	}
	return s
}

// NewNonce returns a random nonce.
func NewNonce() Nonce {
	var b [8]byte
	rand.Read(b[:])
	return Nonce(binary.BigEndian.Uint64(b[:]))
}

// Seal returns the key as encrypted text. The AEAD nonce is random: with 192 bits,
// a collision between agents that share a secret is practically impossible.
func (s *Sealer) Seal(k Key) string {
	n := make([]byte, chacha20poly1305.NonceSizeX, chacha20poly1305.NonceSizeX+plaintextSize+chacha20poly1305.Overhead)
	rand.Read(n)
	c := s.aeads[0].Seal(n, n, k.marshal(), nil)
	return strconv.Itoa(int(s.ids[0])) + "." + base64.RawURLEncoding.EncodeToString(c)
}

// Open decrypts a key's text and checks its service and expiry.
func (s *Sealer) Open(text string, want bundle.ServiceID, now time.Time) (Key, error) {
	k, err := s.open(text)
	switch {
	case err != nil:
		return Key{}, err
	case k.Service != want:
		return Key{}, ErrWrongService
	case !now.Before(k.Expires):
		return Key{}, ErrExpired
	}
	return k, nil
}

// open decrypts a key's text with the secret that its key ID names.
func (s *Sealer) open(text string) (Key, error) {
	id, rest, _ := strings.Cut(text, ".")
	b, err := base64.RawURLEncoding.DecodeString(rest)
	if err != nil || len(b) != chacha20poly1305.NonceSizeX+plaintextSize+chacha20poly1305.Overhead {
		return Key{}, eris.Wrap(ErrForged, "malformed idempotency key")
	}
	for i, a := range s.aeads {
		if strconv.Itoa(int(s.ids[i])) != id {
			continue
		}
		p, err := a.Open(nil, b[:chacha20poly1305.NonceSizeX], b[chacha20poly1305.NonceSizeX:], nil)
		if err != nil {
			return Key{}, ErrForged
		}
		return unmarshal(p), nil
	}
	return Key{}, ErrForged
}
