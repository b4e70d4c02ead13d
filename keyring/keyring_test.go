package keyring

import (
	"strings"
	"testing"

	"pomeloway.example/pomeloway/bundle"
)

func TestParseErrorsOmitSecret(t *testing.T) {
	s := NewSecret(1)
	_, raw, _ := strings.Cut(s.Reveal(), ":")
	for name, texts := range map[string][]string{
		"no id":       {raw},
		"id too high": {"256:" + raw},
		"zero id":     {"0:" + raw},
		"cut":         {"1:" + raw[:20]},
		"twice":       {s.Reveal(), s.Reveal()},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(texts)
			if err == nil || strings.Contains(err.Error(), raw[:20]) {
				t.Errorf("err = %v", err)
			}
		})
	}
	if r, err := Parse([]string{s.Reveal()}); err != nil || r[0].Fingerprint() != s.Fingerprint() {
		t.Errorf("valid secret: %v", err)
	}
}

// During a key rotation, a process may have no secret for the new key, or a mistyped one.
// It must report an error and must not use the wrong secret.
func TestSelectRequiresMatchingSecrets(t *testing.T) {
	a, b, other := NewSecret(1), NewSecret(2), NewSecret(2)
	keys := []bundle.Key{{ID: 1, Fingerprint: a.Fingerprint()}, {ID: 2, Fingerprint: b.Fingerprint()}}
	for name, x := range map[string]struct {
		ring    Ring
		current bundle.KeyID
		first   bundle.KeyID
		whole   bool
	}{
		"both":                    {Ring{a, b}, 2, 2, true},
		"old secret missing":      {Ring{b}, 2, 2, false},
		"current secret missing":  {Ring{a}, 2, 0, false},
		"current secret mistyped": {Ring{a, other}, 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := x.ring.Select(&bundle.Bundle{Keys: keys, CurrentKey: x.current})
			if (err == nil) != x.whole {
				t.Errorf("err = %v", err)
			}
			if x.first == 0 && len(r) > 0 || x.first > 0 && (len(r) == 0 || r[0].ID() != x.first) {
				t.Errorf("selected %v", r)
			}
		})
	}
}

func TestDerivedKeysDifferByUse(t *testing.T) {
	s := NewSecret(1)
	seen := map[string]Use{}
	for _, u := range []Use{UseToken, UseLink, UseOrder, UseReset, UseTLS, UseView} {
		k := string(s.Derive(u, 16))
		if o, ok := seen[k]; ok {
			t.Errorf("%q and %q share a key", o, u)
		}
		seen[k] = u
	}
}
