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
	encodingZstd     = "zstd"
	encodingDCZ      = "dcz"
	headerDictionary = "Available-Dictionary"
)

// dczMagic starts a dcz body and is followed by the dictionary's SHA-256
// (RFC 9842, section 5). A zstd decoder skips both as one skippable frame.
var dczMagic = []byte{0x5e, 0x2a, 0x4d, 0x18, 0x20, 0, 0, 0}

// minPackBytes is the minimum length in bytes of a response that is compressed.
const minPackBytes = 1200

// windowBytes is the zstd window size in bytes, which bounds the memory of an
// encoder. A bundle of the largest size that the platform accepts fits.
const windowBytes = 2 << 20

// dictionary is a bundle's text, encoded as in a response, that serves as a zstd
// dictionary.
type dictionary struct {
	digest  bundle.Digest
	content []byte
	hash    [sha256.Size]byte
}

func newDictionary(text string) (*dictionary, error) {
	b, err := json.Marshal(text)
	if err != nil {
		return nil, eris.Wrap(err, "dictionary")
	}
	return &dictionary{digest: bundle.DigestOf([]byte(text)), content: b, hash: sha256.Sum256(b)}, nil
}

// headerValue returns the dictionary's hash as a structured field value (RFC 8941).
func (d *dictionary) headerValue() string {
	return ":" + base64.StdEncoding.EncodeToString(d.hash[:]) + ":"
}

// setRequestHeaders sets the request headers that list the encodings the client
// can decode; d may be nil.
func (d *dictionary) setRequestHeaders(h http.Header) {
	if d == nil {
		h.Set("Accept-Encoding", encodingZstd)
		return
	}
	h.Set("Accept-Encoding", encodingDCZ+", "+encodingZstd)
	h.Set(headerDictionary, d.headerValue())
}

func newEncoder(o ...zstd.EOption) (*zstd.Encoder, error) {
	o = append([]zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes)}, o...)
	return zstd.NewWriter(nil, o...)
}

// packer compresses a server's responses. The zero value is ready to use.
type packer struct {
	mu    sync.Mutex
	plain *zstd.Encoder
	// withDict is the encoder for dict, the dictionary requested last. One is
	// enough because most followers of a relay have the same bundle.
	withDict *zstd.Encoder
	dict     *dictionary
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
		recent = s.RecentBundles()
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
	if len(b) < minPackBytes || !strings.Contains(accepts, encodingZstd) {
		return b, ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if strings.Contains(accepts, encodingDCZ) && p.selectDictionary(h.Get(headerDictionary), recent) {
		out = append(append(out, dczMagic...), p.dict.hash[:]...)
		return p.withDict.EncodeAll(b, out), encodingDCZ
	}
	if p.plain == nil {
		e, err := newEncoder()
		if err != nil {
			return b, ""
		}
		p.plain = e
	}
	return p.plain.EncodeAll(b, nil), encodingZstd
}

// selectDictionary selects the dictionary with the header value if it is that of
// a recent bundle, and reports whether it did. The caller must hold p.mu.
func (p *packer) selectDictionary(headerValue string, recent []string) bool {
	if len(recent) == 0 {
		return false
	}
	if p.dict != nil && p.dict.headerValue() == headerValue {
		return true
	}
	for _, text := range recent {
		d, err := newDictionary(text)
		if err != nil || d.headerValue() != headerValue {
			continue
		}
		e, err := newEncoder(zstd.WithEncoderDictRaw(0, d.content))
		if err != nil {
			return false
		}
		p.withDict, p.dict = e, d
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
	d.setRequestHeaders(h)
	out, _ := (&packer{}).pack(b, h, []string{have})
	return len(out), nil
}

// unpack decompresses a response body. It needs the dictionary d only for a body
// that was compressed with one.
func unpack(b []byte, encoding string, d *dictionary) ([]byte, error) {
	o := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChangeBytes)}
	switch encoding {
	case "":
		return b, nil
	case encodingZstd:
	case encodingDCZ:
		if d == nil || !bytes.HasPrefix(b, append(dczMagic[:len(dczMagic):len(dczMagic)], d.hash[:]...)) {
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
