// This file makes long answers to followers short. Every one is compressed with
// zstd (RFC 8878). A follower names the bundle that it has as its dictionary
// (RFC 9842, "Available-Dictionary"); a relay that had the same one before sends
// the next compressed against it, which leaves little but what has changed.
// Given up: a follower more than a few bundles behind gets the whole.

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

// Content encodings, and the header by which a follower names its dictionary.
const (
	encodingWhole    = "zstd"
	encodingDelta    = "dcz"
	headerDictionary = "Available-Dictionary"
)

// deltaMagic begins a dcz body, before the dictionary's SHA-256 (RFC 9842, 5). To
// zstd both together are a frame to skip.
var deltaMagic = []byte{0x5e, 0x2a, 0x4d, 0x18, 0x20, 0, 0, 0}

// packFrom is the length from which an answer is worth compressing, in bytes.
const packFrom = 1200

// packWindow bounds what a compressor looks back over, and so its memory; a
// bundle of the largest size that the platform takes fits.
const packWindow = 2 << 20

// dictionary is a bundle as it stands in an answer.
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

// name returns the dictionary's name as a structured field (RFC 8941).
func (d *dictionary) name() string {
	return ":" + base64.StdEncoding.EncodeToString(d.hash[:]) + ":"
}

// ask sets in a request's header what its sender can read; d may be nil.
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

// packer compresses a server's answers. The zero value is ready.
type packer struct {
	mu    sync.Mutex
	whole *zstd.Encoder
	// delta is the compressor against known, the dictionary last asked for:
	// followers of one relay mostly have the same.
	delta *zstd.Encoder
	known *dictionary
}

// write writes the change in the shortest form that the follower reads.
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

// pack compresses b as the request's header allows. A compressor that can't be
// made costs bytes, not the answer.
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

// use makes the named dictionary the known one, if it is a recent bundle; p.mu
// is held.
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

// WireSize returns the bytes that a change takes towards a follower that has a
// bundle of the text, or none if that is empty.
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

// unpack returns the plain form of an answer's body.
func unpack(b []byte, encoding string, d *dictionary) ([]byte, error) {
	o := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChange)}
	switch encoding {
	case "":
		return b, nil
	case encodingWhole:
	case encodingDelta:
		if d == nil || !bytes.HasPrefix(b, append(deltaMagic[:len(deltaMagic):len(deltaMagic)], d.hash[:]...)) {
			return nil, eris.New("the answer is compressed against another bundle than this process has")
		}
		o = append(o, zstd.WithDecoderDictRaw(0, d.content))
	default:
		return nil, eris.Errorf("content encoding %q was not asked for", encoding)
	}
	z, err := zstd.NewReader(nil, o...)
	if err != nil {
		return nil, eris.Wrap(err, "zstd")
	}
	defer z.Close()
	out, err := z.DecodeAll(b, nil)
	return out, eris.Wrap(err, "compressed answer")
}
