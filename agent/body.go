package agent

import (
	"io"
	"sync"
)

// maxReplayBytes is how much of a request's body is kept until it is known that the
// request need not be sent a second time.
const maxReplayBytes = 64 << 10

// replayBody lets a request be sent again after a refusal that proves it was
// not run, as long as little of its body was read.
type replayBody struct {
	src io.ReadCloser

	mu         sync.Mutex
	buffered   []byte
	overflowed bool
	// attempt counts the sendings; the reader of an earlier one gets no more.
	attempt int
}

func newReplayBody(src io.ReadCloser) *replayBody { return &replayBody{src: src} }

// reader returns the body from its start, or false if too much has been read.
func (b *replayBody) reader() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflowed {
		return nil, false
	}
	b.attempt++
	return &bodyReader{b: b, attempt: b.attempt}, true
}

type bodyReader struct {
	b       *replayBody
	attempt int
	offset  int
}

// Read returns what was kept, then what the caller goes on to send.
func (t *bodyReader) Read(p []byte) (int, error) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if t.attempt != t.b.attempt {
		return 0, io.ErrClosedPipe
	}
	if t.offset < len(t.b.buffered) {
		n := copy(p, t.b.buffered[t.offset:])
		t.offset += n
		return n, nil
	}
	n, err := t.b.src.Read(p)
	if len(t.b.buffered)+n <= maxReplayBytes && !t.b.overflowed {
		t.b.buffered = append(t.b.buffered, p[:n]...)
		t.offset += n
	} else if n > 0 {
		t.b.overflowed, t.b.buffered, t.offset = true, nil, 0
	}
	return n, err
}

// Close ends this sending; the caller's body stays for the next.
func (t *bodyReader) Close() error { return nil }
