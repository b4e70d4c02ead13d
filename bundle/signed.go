package bundle

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"aead.dev/minisign"
	"github.com/rotisserie/eris"
)

// Version numbers accepted bundles, starting at one. A process never goes back
// to an earlier version.
type Version uint64

// Digest is the SHA-256 of a bundle's text in lower-case hexadecimal.
type Digest string

// DigestOf returns the digest of a bundle's text.
func DigestOf(text []byte) Digest {
	s := sha256.Sum256(text)
	return Digest(hex.EncodeToString(s[:]))
}

// Stamp is the signed position of a bundle in the version history. It is stored
// in the trusted comment of the signature, so that the text stays exactly as the
// operator wrote it.
type Stamp struct {
	Version Version `json:"version"`
	Parent  Digest  `json:"parent,omitempty"`
	Author  string  `json:"author,omitempty"`
}

// UnmarshalText parses a trusted comment written by Stamp.MarshalText.
func (s *Stamp) UnmarshalText(b []byte) error {
	f := strings.Fields(string(b))
	if len(f) != 4 || f[0] != stampTag {
		return eris.Errorf("trusted comment %q is not a pomeloway stamp", b)
	}
	v, err := strconv.ParseUint(f[1], 10, 64)
	if err != nil || v == 0 {
		return eris.Errorf("trusted comment has no valid version: %q", f[1])
	}
	*s = Stamp{Version: Version(v), Parent: Digest(strings.Trim(f[2], "-")), Author: strings.Trim(f[3], "-")}
	return nil
}

// MarshalText returns the stamp as a trusted comment.
func (s Stamp) MarshalText() ([]byte, error) {
	a := strings.Join(strings.Fields(s.Author), "_")
	return fmt.Appendf(nil, "%s %d -%s- -%s-", stampTag, s.Version, s.Parent, a), nil
}

const stampTag = "pomeloway-bundle"

// Signed is a bundle as the platform and the peers store it. It may take effect
// only after Verify has accepted it.
type Signed struct {
	Text      string `json:"text"`
	Signature string `json:"signature"`
}

// Sign signs the text and the stamp with the operator's key.
func Sign(text []byte, s Stamp, key minisign.PrivateKey) (Signed, error) {
	c, err := s.MarshalText()
	if err != nil {
		return Signed{}, err
	}
	sig := minisign.SignWithComments(key, text, string(c), "signature of a pomeloway bundle")
	return Signed{Text: string(text), Signature: string(sig)}, nil
}

// Accepted is a bundle whose signature, stamp and content have been verified.
type Accepted struct {
	Stamp
	Bundle *Bundle
	Digest Digest
	Signed Signed
}

// Verifier checks signed bundles against the operators' public keys.
type Verifier struct {
	Keys []minisign.PublicKey
}

// NewVerifier returns a verifier for public keys in minisign's text form.
func NewVerifier(texts []string) (*Verifier, error) {
	v := &Verifier{}
	for _, t := range texts {
		var k minisign.PublicKey
		if err := k.UnmarshalText([]byte(strings.TrimSpace(t))); err != nil {
			return nil, eris.Wrapf(err, "operator's public key %q", t)
		}
		v.Keys = append(v.Keys, k)
	}
	return v, nil
}

// NewOperatorKey generates an operator's key and returns it with a verifier that
// trusts only this key. It is for fleets that exist for a single run.
func NewOperatorKey() (minisign.PrivateKey, *Verifier, error) {
	pub, key, err := minisign.GenerateKey(rand.Reader)
	if err != nil {
		return key, nil, eris.Wrap(err, "generate operator's key")
	}
	return key, &Verifier{Keys: []minisign.PublicKey{pub}}, nil
}

// Verify checks the signature, stamp and content of a signed bundle and returns
// its accepted form.
//
// Every process verifies the signature before it uses any of the text. A
// compromised platform or peer can therefore withhold a bundle but cannot forge
// or alter one.
func (v *Verifier) Verify(s Signed) (*Accepted, error) {
	ok := false
	for _, k := range v.Keys {
		ok = ok || minisign.Verify(k, []byte(s.Text), []byte(s.Signature))
	}
	if !ok {
		return nil, eris.New("bundle signature matches none of the operators' public keys")
	}
	var sig minisign.Signature
	if err := sig.UnmarshalText([]byte(s.Signature)); err != nil {
		return nil, eris.Wrap(err, "parse bundle signature")
	}
	a := &Accepted{Signed: s, Digest: DigestOf([]byte(s.Text))}
	if err := a.Stamp.UnmarshalText([]byte(sig.TrustedComment)); err != nil {
		return nil, err
	}
	b, err := Decode([]byte(s.Text))
	if err != nil {
		return nil, eris.Wrap(err, "signed bundle is not valid")
	}
	a.Bundle = b
	return a, nil
}

// DecodeSigned decodes the JSON form of a signed bundle.
func DecodeSigned(b []byte) (Signed, error) {
	var s Signed
	err := json.Unmarshal(b, &s)
	return s, eris.Wrap(err, "decode signed bundle")
}

// ClaimedVersion returns the version in the stamp without checking the
// signature, or zero if there is no valid stamp. It is for display only.
func (s Signed) ClaimedVersion() Version {
	var sig minisign.Signature
	var t Stamp
	if sig.UnmarshalText([]byte(s.Signature)) != nil || t.UnmarshalText([]byte(sig.TrustedComment)) != nil {
		return 0
	}
	return t.Version
}
