package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/platform"
)

// View is what a balancer has read from the store. Balancers that cannot read the store
// themselves fetch it.
type View struct {
	Configuration platform.Object   `json:"configuration"`
	Evacuations   []platform.Object `json:"evacuations"`
	// EvacuationsAt is the store's revision at which the evacuations were read.
	EvacuationsAt platform.Revision `json:"evacuationsAt"`
	Processes     []platform.Object `json:"processes"`
}

// Requests for a view and their responses are authenticated under the fleet's key. The
// request carries a nonce and the nonce's tag, the response a tag of the nonce and the
// body. Outsiders can therefore neither read nor forge a view, and an old response cannot
// be replayed.
const (
	viewPath = "/view"
	// configurationPath serves a view that has the configuration only.
	configurationPath = "/view/configuration"
	headerNonce       = "Pomeloway-Nonce"
	headerTag         = "Pomeloway-Tag"
	nonceLen          = 16
	// maxViewSize limits the size of a view. It fits the largest configuration and the
	// records of a large fleet.
	maxViewSize = 8 << 20
	// viewTimeout limits a request. It allows for a busy peer in another region.
	viewTimeout = time.Second
)

// viewTag returns the hexadecimal HMAC-SHA-256 of the parts, each followed by a zero byte.
func viewTag(key []byte, parts ...[]byte) string {
	h := hmac.New(sha256.New, key)
	for _, p := range parts {
		h.Write(p)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// viewHandler serves the view to clients that have the fleet's key.
func viewHandler(key []byte, view func() View) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+viewPath, func(w http.ResponseWriter, r *http.Request) { serveView(w, r, key, view()) })
	m.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, r *http.Request) {
		serveView(w, r, key, View{Configuration: view().Configuration})
	})
	return m
}

// serveView writes the view, compressed if the client accepts that. The tag is that of the
// uncompressed body.
func serveView(w http.ResponseWriter, r *http.Request, key []byte, v View) {
	n := []byte(r.Header.Get(headerNonce))
	if len(n) != 2*nonceLen || !hmac.Equal([]byte(r.Header.Get(headerTag)), []byte(viewTag(key, n))) {
		http.Error(w, "not of this fleet", http.StatusForbidden)
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerTag, viewTag(key, n, b))
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Write(b)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	z.Write(b) // if the client has left, there is nobody to tell
	z.Close()
}

// viewClient does not keep connections open, because views are rarely requested.
var viewClient = &http.Client{Timeout: viewTimeout, Transport: &http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: viewTimeout / 2}).DialContext,
}}

// fetchView requests the view at the path of the balancer at the address and verifies its tag.
func fetchView(ctx context.Context, key []byte, a netip.AddrPort, path string) (View, error) {
	var v View
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, nil)
	if err != nil {
		return v, eris.Wrap(err, "view")
	}
	n := []byte(hex.EncodeToString(randomBytes(nonceLen)))
	r.Header.Set(headerNonce, string(n))
	r.Header.Set(headerTag, viewTag(key, n))
	x, err := viewClient.Do(r)
	if err != nil {
		return v, eris.Wrap(err, "view")
	}
	defer x.Body.Close()
	b, err := io.ReadAll(io.LimitReader(x.Body, maxViewSize+1))
	switch {
	case err != nil:
		return v, eris.Wrap(err, "view")
	case len(b) > maxViewSize:
		return v, eris.Errorf("view of %s exceeds the limit of %d bytes", a, maxViewSize)
	}
	if x.StatusCode != http.StatusOK || !hmac.Equal([]byte(x.Header.Get(headerTag)), []byte(viewTag(key, n, b))) {
		return v, eris.Errorf("view: status %d, or the tag is not made with this fleet's key", x.StatusCode)
	}
	return v, json.NewDecoder(bytes.NewReader(b)).Decode(&v)
}

// randomBytes returns n cryptographically random bytes.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	rand.Read(b)
	return b
}
