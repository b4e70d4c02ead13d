package peer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"aead.dev/minisign"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
)

// bundleText returns the text of a bundle with count services. Service n,
// counted from zero, has the given number of slots, the others have 6.
func bundleText(count, n, slots int, k keyring.Secret) string {
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range count {
		s := 6
		if i == n {
			s = slots
		}
		fmt.Fprintf(&b, "  - {id: %d, name: s-%d, address: 10.%d.%d.1:443, protocol: h3, upstreams: {slots: %d, connections: 80, coldStart: {slots: 1, answers: 5}}}\n", i+1, i+1, i>>8, i&255, s)
	}
	fmt.Fprintf(&b, "zones:\n  - {id: 1, name: a, state: in}\nkeys:\n  - {id: %d, fingerprint: %s}\ncurrentKey: %d\n", k.ID(), k.Fingerprint(), k.ID())
	return b.String()
}

// bundleChain signs a sequence of bundles, each the child of the previous one.
type bundleChain struct {
	key    minisign.PrivateKey
	verify *bundle.Verifier
	last   bundle.Stamp
	digest bundle.Digest
}

func newBundleChain(t *testing.T) *bundleChain {
	t.Helper()
	key, v, err := bundle.NewOperatorKey()
	if err != nil {
		t.Fatal(err)
	}
	return &bundleChain{key: key, verify: v}
}

func (l *bundleChain) next(t *testing.T, text string) *bundle.Signed {
	t.Helper()
	l.last = bundle.Stamp{Version: l.last.Version + 1, Parent: l.digest}
	l.digest = bundle.DigestOf([]byte(text))
	s, err := bundle.Sign([]byte(text), l.last, l.key)
	if err != nil {
		t.Fatal(err)
	}
	return &s
}

// A relay sends each of 830 bundle changes a day to about forty followers. If it
// sent whole bundles, it would exceed the bandwidth allowed for control traffic.
// A follower with a recent bundle must receive little more than the changes; one
// with an old or unknown bundle must receive the whole bundle.
func TestBundlesAreCompressedWithKnownBundle(t *testing.T) {
	l, k := newBundleChain(t), keyring.NewSecret(1)
	relay := fleet.NewState(l.verify)
	var texts []string
	for v := range 7 {
		texts = append(texts, bundleText(200, v, 9, k))
		if m := relay.Merge(fleet.Change{Bundle: l.next(t, texts[v])}); !m.Bundle {
			t.Fatal(m.Err)
		}
	}
	want := relay.Accepted().Signed
	body, err := json.Marshal(fleet.Change{Bundle: &want})
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		have     string
		encoding string
		maxBytes int
	}{
		"previous bundle":       {texts[5], encodingDCZ, len(body) / 20},
		"two bundles before":    {texts[4], encodingDCZ, len(body) / 20},
		"too old bundle":        {texts[0], encodingZstd, len(body) / 5},
		"bundle never accepted": {bundleText(200, 9, 99, k), encodingZstd, len(body) / 5},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := newDictionary(x.have)
			if err != nil {
				t.Fatal(err)
			}
			h := http.Header{}
			d.setRequestHeaders(h)
			out, encoding := (&packer{}).pack(body, h, relay.RecentBundles())
			if encoding != x.encoding || len(out) > x.maxBytes {
				t.Errorf("response has %d bytes for a body of %d, encoding %q", len(out), len(body), encoding)
			}
			got, err := unpack(out, encoding, d)
			if err != nil || string(got) != string(body) {
				t.Errorf("unpacked to %d bytes, want %d, err %v", len(got), len(body), err)
			}
		})
	}
}

// A faulty relay compresses a response with a dictionary that the follower does
// not have, or labels it with the wrong encoding. Decompressing it must fail and
// not return garbage.
func TestUnpackRejectsInvalidResponses(t *testing.T) {
	k := keyring.NewSecret(1)
	mine, err := newDictionary(bundleText(50, 1, 7, k))
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := newDictionary(bundleText(50, 2, 7, k))
	if err != nil {
		t.Fatal(err)
	}
	h := http.Header{}
	theirs.setRequestHeaders(h)
	body := []byte(bundleText(50, 3, 7, k))
	out, encoding := (&packer{}).pack(body, h, []string{bundleText(50, 2, 7, k)})
	if encoding != encodingDCZ {
		t.Fatalf("expected the dictionary encoding, got %q", encoding)
	}
	for name, x := range map[string]struct {
		b        []byte
		encoding string
		d        *dictionary
	}{
		"other dictionary":     {out, encodingDCZ, mine},
		"no dictionary":        {out, encodingDCZ, nil},
		"dcz labelled as zstd": {out, encodingZstd, nil},
		"truncated":            {out[:len(out)-3], encodingDCZ, theirs},
		"unknown encoding":     {out, "br", theirs},
		"empty":                {nil, encodingDCZ, theirs},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := unpack(x.b, x.encoding, x.d); err == nil && string(got) == string(body) {
				t.Error("invalid response was unpacked")
			} else if err == nil {
				t.Errorf("invalid response was unpacked to %d wrong bytes without an error", len(got))
			}
		})
	}
}

// FuzzUnpack decompresses arbitrary responses, as from a faulty peer. The output
// must stay within maxChangeBytes.
func FuzzUnpack(f *testing.F) {
	d, err := newDictionary("services: []\n")
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte("x"), true)
	f.Add(append(append([]byte(nil), dczMagic...), d.hash[:]...), true)
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd, 0, 0}, false)
	f.Fuzz(func(t *testing.T, b []byte, delta bool) {
		encoding := encodingZstd
		if delta {
			encoding = encodingDCZ
		}
		if out, err := unpack(b, encoding, d); err == nil && len(out) > maxChangeBytes {
			t.Errorf("unpacked to %d bytes, more than the limit", len(out))
		}
	})
}
