// Package idempotency issues the keys by which a request runs at most once, and
// keeps what came of each.
//
// A key names its home: the agent, and the life of that agent, which alone may
// run the request. So at-most-once needs no write to the platform for an order
// and no agreement: one process decides, and if that process is dead nobody
// does, and the outcome is unknown. docs/DESIGN.md weighs it against homes that
// move by lease and a conditional create in the platform for each order.
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

// Header is the header that carries a key, as in the IETF draft
// draft-ietf-httpapi-idempotency-key-header.
const Header = "Idempotency-Key"

// Errors of Opener.Open.
var (
	ErrForged  = errors.New("idempotency key was not issued by this fleet")
	ErrExpired = errors.New("idempotency key has expired")
	ErrService = errors.New("idempotency key was issued for another service")
)

// Nonce tells the keys of one home apart.
type Nonce uint64

// Key is what an idempotency key says.
type Key struct {
	Home    netip.AddrPort // the home's peer address, IPv4
	Life    fleet.Incarnation
	Service bundle.ServiceID
	Expires time.Time
	Nonce   Nonce
}

// Layout of a key's plain text, in bytes.
const (
	atPort    = 4
	atLife    = 6
	atService = 14
	atExpires = 16
	atNonce   = 24
	plainSize = 32
)

func (k *Key) marshal() []byte {
	b := make([]byte, plainSize)
	a := k.Home.Addr().As4()
	copy(b, a[:])
	binary.BigEndian.PutUint16(b[atPort:], k.Home.Port())
	binary.BigEndian.PutUint64(b[atLife:], uint64(k.Life))
	binary.BigEndian.PutUint16(b[atService:], uint16(k.Service))
	binary.BigEndian.PutUint64(b[atExpires:], uint64(k.Expires.UnixMilli()))
	binary.BigEndian.PutUint64(b[atNonce:], uint64(k.Nonce))
	return b
}

func unmarshal(b []byte) Key {
	return Key{
		Home:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[atPort:])),
		Life:    fleet.Incarnation(binary.BigEndian.Uint64(b[atLife:])),
		Service: bundle.ServiceID(binary.BigEndian.Uint16(b[atService:])),
		Expires: time.UnixMilli(int64(binary.BigEndian.Uint64(b[atExpires:]))),
		Nonce:   Nonce(binary.BigEndian.Uint64(b[atNonce:])),
	}
}

// Sealer seals and opens keys under the fleet's secrets.
type Sealer struct {
	ids   []bundle.KeyID
	aeads []cipher.AEAD
}

// NewSealer returns a sealer; it seals under the ring's first secret.
func NewSealer(r keyring.Ring) *Sealer {
	s := &Sealer{}
	for _, k := range r {
		a, err := chacha20poly1305.NewX(k.Derive(keyring.UseOrder, chacha20poly1305.KeySize))
		if err != nil {
			panic(err) // the key's length is a constant
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

// Seal returns the key's text. The extended nonce is random: at 192 bits two
// agents that share a secret never draw the same one.
func (s *Sealer) Seal(k Key) string {
	n := make([]byte, chacha20poly1305.NonceSizeX, chacha20poly1305.NonceSizeX+plainSize+chacha20poly1305.Overhead)
	rand.Read(n)
	c := s.aeads[0].Seal(n, n, k.marshal(), nil)
	return strconv.Itoa(int(s.ids[0])) + "." + base64.RawURLEncoding.EncodeToString(c)
}

// Open reads a key's text for the service.
func (s *Sealer) Open(text string, want bundle.ServiceID, now time.Time) (Key, error) {
	k, err := s.open(text)
	switch {
	case err != nil:
		return Key{}, err
	case k.Service != want:
		return Key{}, ErrService
	case !now.Before(k.Expires):
		return Key{}, ErrExpired
	}
	return k, nil
}

func (s *Sealer) open(text string) (Key, error) {
	id, rest, _ := strings.Cut(text, ".")
	b, err := base64.RawURLEncoding.DecodeString(rest)
	if err != nil || len(b) != chacha20poly1305.NonceSizeX+plainSize+chacha20poly1305.Overhead {
		return Key{}, eris.Wrap(ErrForged, "not a key's form")
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
