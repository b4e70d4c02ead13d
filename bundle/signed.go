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

// Version counts accepted bundles from one upwards; a process never goes back.
type Version uint64

// Digest is the SHA-256 of a bundle's text in lower-case hexadecimal.
type Digest string

// DigestOf returns the digest of a bundle's text.
func DigestOf(text []byte) Digest {
	s := sha256.Sum256(text)
	return Digest(hex.EncodeToString(s[:]))
}

// Stamp is the signed place of a bundle in the line of versions. It travels in
// the signature's trusted comment, so the text itself stays the operator's.
type Stamp struct {
	Version Version `json:"version"`
	Parent  Digest  `json:"parent,omitempty"`
	Author  string  `json:"author,omitempty"`
}

// UnmarshalText reads a trusted comment as Stamp.MarshalText wrote it.
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

// Signed is a bundle as the platform and the peers keep it. Only Verify makes
// it into something that may take effect.
type Signed struct {
	Text      string `json:"text"`
	Signature string `json:"signature"`
}

// Sign returns the text under the operator's key with the stamp.
func Sign(text []byte, s Stamp, key minisign.PrivateKey) (Signed, error) {
	c, err := s.MarshalText()
	if err != nil {
		return Signed{}, err
	}
	sig := minisign.SignWithComments(key, text, string(c), "signature of a pomeloway bundle")
	return Signed{Text: string(text), Signature: string(sig)}, nil
}

// Accepted is a bundle whose signature, stamp and content were all checked.
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

// NewVerifier reads public keys in minisign's text form.
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

// NewOperator returns a fresh key of an operator and the verifier that trusts it
// alone, for sites that are made for one run.
func NewOperator() (minisign.PrivateKey, *Verifier, error) {
	pub, key, err := minisign.GenerateKey(rand.Reader)
	if err != nil {
		return key, nil, eris.Wrap(err, "operator's key")
	}
	return key, &Verifier{Keys: []minisign.PublicKey{pub}}, nil
}

// Verify returns the accepted form of a signed bundle, or why it is none.
//
// An altered or unsigned bundle shows as a failing signature here, in every
// process, before anything of its text is used: so a platform or peer that was
// taken over can withhold a bundle but cannot make one.
func (v *Verifier) Verify(s Signed) (*Accepted, error) {
	ok := false
	for _, k := range v.Keys {
		ok = ok || minisign.Verify(k, []byte(s.Text), []byte(s.Signature))
	}
	if !ok {
		return nil, eris.New("bundle's signature is of none of the operators' keys")
	}
	var sig minisign.Signature
	if err := sig.UnmarshalText([]byte(s.Signature)); err != nil {
		return nil, eris.Wrap(err, "bundle's signature")
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

// DecodeSigned reads the JSON form of a signed bundle.
func DecodeSigned(b []byte) (Signed, error) {
	var s Signed
	err := json.Unmarshal(b, &s)
	return s, eris.Wrap(err, "signed bundle")
}

// ClaimedVersion returns the version that the stamp claims, without checking
// the signature; zero if there is none. It is for showing only.
func (s Signed) ClaimedVersion() Version {
	var sig minisign.Signature
	var t Stamp
	if sig.UnmarshalText([]byte(s.Signature)) != nil || t.UnmarshalText([]byte(sig.TrustedComment)) != nil {
		return 0
	}
	return t.Version
}
