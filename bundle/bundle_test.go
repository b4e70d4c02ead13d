package bundle

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"aead.dev/minisign"
	"github.com/sebdah/goldie/v2"
)

const validBundle = `services:
  - id: 1
    name: letters
    address: 192.0.2.1:443
    protocol: h3
    upstreams: {slots: 5, connections: 2000, coldStart: {slots: 1, answers: 5}}
    routes:
      - {prefix: /feed, holds: connection}
zones:
  - {id: 1, name: dar-1, state: in}
  - {id: 2, name: dar-2, state: out}
keys:
  - {id: 1, fingerprint: "0011223344556677"}
currentKey: 1
`

func TestDecodeReportsAllErrorsWithPosition(t *testing.T) {
	tests := map[string]string{
		"unknown fields and reused names": strings.NewReplacer(
			"    protocol: h3\n", "    protocol: h3\n    colour: blue\n",
			"name: dar-2", "name: dar-1",
			"currentKey: 1", "currentKey: 7").Replace(validBundle),
		"limits out of range": strings.Replace(validBundle, "slots: 5, connections: 2000, coldStart: {slots: 1, answers: 5}",
			"slots: -1, connections: many, body: lots, coldStart: {slots: 9, answers: 0}", 1),
		"reused id and address": strings.Replace(validBundle, "zones:\n", `  - id: 1
    name: scans
    address: 192.0.2.1:443
    protocol: h2
    upstreams: {slots: 5, connections: 2000, coldStart: {slots: 1, answers: 5}}
zones:
`, 1),
		"broken YAML":      "services: [\n",
		"two documents":    validBundle + "---\n" + validBundle,
		"wrong YAML types": "services: 7\nzones: {a: 1}\nkeys:\n  - 5\ncurrentKey: [1]\n",
		"invalid timeouts": validBundle + "timeouts: {idle: 60s, keepAlive: 50s, queue: -1s, request: soon}\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(text))
			var f Findings
			if !errors.As(err, &f) {
				t.Fatalf("err = %v, want findings", err)
			}
			goldie.New(t).Assert(t, strings.ReplaceAll(name, " ", "-"), []byte(f.InFile("bundle.yaml").Error()+"\n"))
		})
	}
}

func TestDecodeAcceptsValidBundle(t *testing.T) {
	b, err := Decode([]byte(validBundle))
	if err != nil {
		t.Fatal(err)
	}
	if !b.ZoneOut(2) || b.ZoneOut(1) || !b.ZoneOut(9) {
		t.Error("want zone 1 in; zone 2 and the unknown zone 9 out")
	}
	s := b.Service(1)
	if s.HoldingFor("/feed/7") != HoldingConnection || s.HoldingFor("/order") != HoldingSlot {
		t.Error("want a feed to hold a connection and an order to hold a slot")
	}
}

func signer(t *testing.T) (minisign.PrivateKey, *Verifier) {
	t.Helper()
	key, v, err := NewOperatorKey()
	if err != nil {
		t.Fatal(err)
	}
	return key, v
}

// An attacker who controls the platform or a peer changes a bundle on its way:
// its text, its version or its signer. If such a bundle took effect, operators
// would no longer control the configuration.
func TestVerifyRejectsBundleNotSignedByOperator(t *testing.T) {
	key, v := signer(t)
	other, _ := signer(t)
	s, err := Sign([]byte(validBundle), Stamp{Version: 2, Parent: "aa", Author: "Neema K"}, key)
	if err != nil {
		t.Fatal(err)
	}
	foreign, _ := Sign([]byte(validBundle), Stamp{Version: 2}, other)
	plain, _ := Sign([]byte("services: 7"), Stamp{Version: 2}, key)
	tests := map[string]Signed{
		"altered text":         {Text: s.Text + " ", Signature: s.Signature},
		"altered stamp":        {Text: s.Text, Signature: strings.Replace(s.Signature, "bundle 2", "bundle 3", 1)},
		"unsigned":             {Text: s.Text},
		"other signer":         foreign,
		"signed but not valid": plain,
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			if a, err := v.Verify(x); err == nil {
				t.Errorf("accepted as version %d", a.Version)
			}
		})
	}
	a, err := v.Verify(s)
	if err != nil || a.Version != 2 || a.Parent != "aa" || a.Author != "Neema_K" {
		t.Errorf("correctly signed bundle: %+v, %v", a, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte("services: 7"))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := Decode(b)
		if (x == nil) == (err == nil) {
			t.Errorf("bundle %v with error %v", x, err)
		}
	})
}

func FuzzStamp(f *testing.F) {
	f.Add("pomeloway-bundle 3 -aa- -me-")
	f.Fuzz(func(t *testing.T, text string) {
		var s Stamp
		if s.UnmarshalText([]byte(text)) == nil && s.Version == 0 {
			t.Error("accepted a stamp without a version")
		}
	})
}

// The decoder once made a pass over the whole text for each value. A bundle of
// 870 services took 11 s to decode in every process, which delayed each change.
// The test uses allocated memory as a measure of time: twice the text must
// allocate about twice as much.
func TestDecodeAllocatesLinearly(t *testing.T) {
	text := func(n int) []byte {
		var b strings.Builder
		b.WriteString("services:\n")
		for i := range n {
			fmt.Fprintf(&b, "  - {id: %d, name: s%d, address: 10.0.%d.%d:443, protocol: h3, upstreams: {slots: 1, connections: 1, coldStart: {slots: 1, answers: 1}}}\n", i+1, i, i>>8, i&255)
		}
		return []byte(b.String() + validBundle[strings.Index(validBundle, "zones:"):])
	}
	bytes := func(n int) int64 {
		x := text(n)
		return testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(x); err != nil {
					b.Fatal(err)
				}
			}
		}).AllocedBytesPerOp()
	}
	if one, two := bytes(50), bytes(100); two > one*5/2 {
		t.Errorf("decoding 50 services allocates %d bytes, 100 services %d, want about twice as many", one, two)
	}
}
