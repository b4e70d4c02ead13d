// Package keyring holds the fleet's secrets. It derives a separate key from a secret for
// each use, so that no two protocols share a key.
package keyring

import (
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
)

// SecretSize is the length of a fleet secret in bytes.
const SecretSize = 32

// Use is the purpose of a derived key. It is the info parameter of the HKDF derivation.
type Use string

// Uses of derived keys.
const (
	UseToken Use = "pomeloway token v1"
	UseLink  Use = "pomeloway link v1"
	UseOrder Use = "pomeloway order key v1"
	UseReset Use = "pomeloway stateless reset v1"
	UseTLS   Use = "pomeloway peer identity v1"
	UseView  Use = "pomeloway view v1"
)

// Secret is one fleet secret. It is formatted and logged as its id and fingerprint only.
type Secret struct {
	id  bundle.KeyID
	raw [SecretSize]byte
}

// NewSecret returns a new random secret.
func NewSecret(id bundle.KeyID) Secret {
	s := Secret{id: id}
	rand.Read(s.raw[:])
	return s
}

// ID returns the id of the secret.
func (s Secret) ID() bundle.KeyID { return s.id }

// Fingerprint returns a hash of the secret that may be public. Bundles identify the secret
// by it.
func (s Secret) Fingerprint() string {
	h := sha256.Sum256(append([]byte("pomeloway fingerprint v1"), s.raw[:]...))
	return hex.EncodeToString(h[:8])
}

// String returns the id and fingerprint, never the secret itself.
func (s Secret) String() string { return fmt.Sprintf("key %d %s", s.id, s.Fingerprint()) }

// LogValue returns the same text as String, never the secret itself.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Reveal returns the secret as it is written in settings, id:base64. Only the command
// `key new` and tests may print it.
func (s Secret) Reveal() string {
	return fmt.Sprintf("%d:%s", s.id, base64.RawURLEncoding.EncodeToString(s.raw[:]))
}

// Derive returns a derived key of n bytes for the use.
func (s Secret) Derive(u Use, n int) []byte {
	b, err := hkdf.Key(sha256.New, s.raw[:], nil, string(u), n)
	if err != nil {
		panic(err) // can't happen: n is a constant, far below the limit of HKDF
	}
	return b
}

// ParseSecret parses the text that Reveal returns. Its errors never contain the text.
func ParseSecret(text string) (Secret, error) {
	i, b, ok := strings.Cut(strings.TrimSpace(text), ":")
	if !ok {
		return Secret{}, eris.New("a fleet key must be id:secret, as `pomeloway key new` prints it")
	}
	id, err := strconv.ParseUint(i, 10, 8)
	if err != nil || id == 0 {
		return Secret{}, eris.New("a fleet key's id must be 1 to 255")
	}
	raw, err := base64.RawURLEncoding.DecodeString(b)
	if err != nil || len(raw) != SecretSize {
		return Secret{}, eris.Errorf("fleet key %d must be %d bytes of unpadded URL base64", id, SecretSize)
	}
	s := Secret{id: bundle.KeyID(id)}
	copy(s.raw[:], raw)
	return s, nil
}

// Ring is the list of secrets in the settings of a process.
type Ring []Secret

// Parse parses a list of secrets. An id may occur only once.
func Parse(texts []string) (Ring, error) {
	var r Ring
	for _, t := range texts {
		s, err := ParseSecret(t)
		if err != nil {
			return nil, err
		}
		if _, dup := r.Get(s.id); dup {
			return nil, eris.Errorf("fleet key %d occurs twice", s.id)
		}
		r = append(r, s)
	}
	return r, nil
}

// Get returns the secret with the id.
func (r Ring) Get(id bundle.KeyID) (Secret, bool) {
	for _, s := range r {
		if s.id == id {
			return s, true
		}
	}
	return Secret{}, false
}

// Select returns the secrets of the bundle's keys, the current one first. A secret matches
// a key if id and fingerprint are equal. If no secret matches the current key, Select
// returns only an error. If none matches another key, Select returns the matching secrets
// and an error with the ids of the other keys.
func (r Ring) Select(b *bundle.Bundle) (Ring, error) {
	var out Ring
	var bad []string
	for _, k := range b.Keys {
		s, ok := r.Get(k.ID)
		if !ok || s.Fingerprint() != k.Fingerprint {
			bad = append(bad, fmt.Sprint(k.ID))
			continue
		}
		if k.ID == b.CurrentKey {
			out = append(Ring{s}, out...)
		} else {
			out = append(out, s)
		}
	}
	if len(out) == 0 || out[0].id != b.CurrentKey {
		return nil, eris.Errorf("no secret in the settings matches the bundle's current key %d", b.CurrentKey)
	}
	if len(bad) > 0 {
		return out, eris.Errorf("no secret in the settings matches key %s of the bundle", strings.Join(bad, ", "))
	}
	return out, nil
}
