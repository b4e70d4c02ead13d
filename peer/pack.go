// This file compresses long responses to followers with zstd (RFC 8878). A
// follower names its current bundle as a dictionary in the Available-Dictionary
// header (RFC 9842). If the relay still has that bundle among its recent ones, it
// compresses the next bundle with it, so that little more than the changes is
// sent. A follower that is more than a few bundles behind gets a response
// compressed without a dictionary.

package peer

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
)

// Content encodings, and the request header that names the follower's dictionary.
const (
	encodingWhole    = "zstd"
	encodingDelta    = "dcz"
	headerDictionary = "Available-Dictionary"
)

// deltaMagic starts a dcz body and is followed by the dictionary's SHA-256
// (RFC 9842, section 5). A zstd decoder skips both as one skippable frame.
var deltaMagic = []byte{0x5e, 0x2a, 0x4d, 0x18, 0x20, 0, 0, 0}

// packFrom is the minimum length in bytes of a response that is compressed.
const packFrom = 1200

// packWindow is the zstd window size in bytes, which bounds the memory of an
// encoder. A bundle of the largest size that the platform accepts fits.
const packWindow = 2 << 20

// dictionary is a bundle's text, encoded as in a response, that serves as a zstd
// dictionary.
type dictionary struct {
	of      bundle.Digest
	content []byte
	hash    [sha256.Size]byte
}

func newDictionary(text string) (*dictionary, error) {
	b, err := json.Marshal(text)
	if err != nil {
		return nil, eris.Wrap(err, "dictionary")
	}
	return &dictionary{of: bundle.DigestOf([]byte(text)), content: b, hash: sha256.Sum256(b)}, nil
}

// name returns the dictionary's hash as a structured field value (RFC 8941).
func (d *dictionary) name() string {
	return ":" + base64.StdEncoding.EncodeToString(d.hash[:]) + ":"
}

// ask sets the request headers that list the encodings the client can decode; d
// may be nil.
func (d *dictionary) ask(h http.Header) {
	if d == nil {
		h.Set("Accept-Encoding", encodingWhole)
		return
	}
	h.Set("Accept-Encoding", encodingDelta+", "+encodingWhole)
	h.Set(headerDictionary, d.name())
}

func newEncoder(o ...zstd.EOption) (*zstd.Encoder, error) {
	o = append([]zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow)}, o...)
	return zstd.NewWriter(nil, o...)
}

// packer compresses a server's responses. The zero value is ready to use.
type packer struct {
	mu    sync.Mutex
	whole *zstd.Encoder
	// delta is the encoder for known, the dictionary requested last. One is enough
	// because most followers of a relay have the same bundle.
	delta *zstd.Encoder
	known *dictionary
}

// write writes the change in the most compact encoding that the follower accepts.
func (p *packer) write(w http.ResponseWriter, r *http.Request, s *fleet.State, c fleet.Change) {
	b, err := json.Marshal(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	var recent []string
	if c.Bundle != nil {
		recent = s.Recent()
	}
	out, encoding := p.pack(b, r.Header, recent)
	if encoding != "" {
		w.Header().Set("Content-Encoding", encoding)
		w.Header().Set("Vary", "Accept-Encoding, "+headerDictionary)
	}
	w.Write(out)
}

// pack compresses b as the request headers allow. If no encoder can be created it
// falls back to a response that is larger but still valid.
func (p *packer) pack(b []byte, h http.Header, recent []string) (out []byte, encoding string) {
	accepts := h.Get("Accept-Encoding")
	if len(b) < packFrom || !strings.Contains(accepts, encodingWhole) {
		return b, ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if strings.Contains(accepts, encodingDelta) && p.use(h.Get(headerDictionary), recent) {
		out = append(append(out, deltaMagic...), p.known.hash[:]...)
		return p.delta.EncodeAll(b, out), encodingDelta
	}
	if p.whole == nil {
		e, err := newEncoder()
		if err != nil {
			return b, ""
		}
		p.whole = e
	}
	return p.whole.EncodeAll(b, nil), encodingWhole
}

// use selects the named dictionary if it is that of a recent bundle, and reports
// whether it did. The caller must hold p.mu.
func (p *packer) use(name string, recent []string) bool {
	if len(recent) == 0 {
		return false
	}
	if p.known != nil && p.known.name() == name {
		return true
	}
	for _, text := range recent {
		d, err := newDictionary(text)
		if err != nil || d.name() != name {
			continue
		}
		e, err := newEncoder(zstd.WithEncoderDictRaw(0, d.content))
		if err != nil {
			return false
		}
		p.delta, p.known = e, d
		return true
	}
	return false
}

// WireSize returns the size in bytes of a change as sent to a follower whose
// current bundle has the text have. An empty text means that it has no bundle.
func WireSize(c fleet.Change, have string) (int, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, eris.Wrap(err, "change")
	}
	d, err := newDictionary(have)
	if err != nil {
		return 0, err
	}
	h := http.Header{}
	d.ask(h)
	out, _ := (&packer{}).pack(b, h, []string{have})
	return len(out), nil
}

// unpack decompresses a response body. It needs the dictionary d only for a body
// that was compressed with one.
func unpack(b []byte, encoding string, d *dictionary) ([]byte, error) {
	o := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChange)}
	switch encoding {
	case "":
		return b, nil
	case encodingWhole:
	case encodingDelta:
		if d == nil || !bytes.HasPrefix(b, append(deltaMagic[:len(deltaMagic):len(deltaMagic)], d.hash[:]...)) {
			return nil, eris.New("response is compressed with a different dictionary than this process has")
		}
		o = append(o, zstd.WithDecoderDictRaw(0, d.content))
	default:
		return nil, eris.Errorf("content encoding %q was not requested", encoding)
	}
	z, err := zstd.NewReader(nil, o...)
	if err != nil {
		return nil, eris.Wrap(err, "create zstd decoder")
	}
	defer z.Close()
	out, err := z.DecodeAll(b, nil)
	return out, eris.Wrap(err, "decompress response")
}
