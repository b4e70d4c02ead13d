package demo

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"testing"
	"time"

	"pomeloway.example/pomeloway/guard"
)

// echoSize is the number of bytes that one echo request sends.
const echoSize = 64 << 20

// pattern generates a body of a given size that can be verified without storing
// it.
type pattern struct{ left, at int }

func (p *pattern) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := min(len(b), p.left)
	for i := range n {
		b[i] = byte((p.at + i) * 131 >> 3)
	}
	p.left, p.at = p.left-n, p.at+n
	return n, nil
}

// BenchmarkReordering echoes 64 MiB over one flow through one balancer, and through
// three that the fabric distributes its datagrams over at random. The difference
// is the cost of reordering.
func BenchmarkReordering(b *testing.B) {
	for name, balancers := range map[string]int{"one": 1, "three": 3} {
		b.Run(name, func(b *testing.B) {
			d := Deployment{Name: "echo", Zones: Deployments["agency"].Zones, Balancers: balancers, Services: []ServiceSpec{{Name: "web", Upstreams: 1, Slots: 5, Connections: 100}}}
			s, rec := startDeployment(b, d, guard.Off{})
			f, err := openFlow(b.Context(), s, rec, 0)
			if err != nil {
				b.Fatal(err)
			}
			defer f.close()
			b.SetBytes(2 * echoSize)
			for b.Loop() {
				echo(b, f)
			}
		})
	}
}

// post sends size bytes and returns the answer.
func post(ctx context.Context, b *testing.B, f *flow, path string, size int) *http.Response {
	b.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+serverName+path, &pattern{left: size})
	if err != nil {
		b.Fatal(err)
	}
	a, err := f.h3.RoundTrip(r)
	if err != nil {
		b.Fatal(err)
	}
	return a
}

// echo sends a pattern and verifies that the same bytes come back.
func echo(b *testing.B, f *flow) {
	ctx, stop := context.WithTimeout(b.Context(), 2*time.Minute)
	defer stop()
	a := post(ctx, b, f, "/echo", echoSize)
	defer a.Body.Close()
	want, got := sha256.New(), sha256.New()
	io.Copy(want, &pattern{left: echoSize})
	n, err := io.Copy(got, a.Body)
	if err != nil || n != echoSize || string(want.Sum(nil)) != string(got.Sum(nil)) {
		b.Fatalf("echo returned %d bytes, or wrong ones: %v", n, err)
	}
}
