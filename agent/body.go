package agent

import (
	"io"
	"sync"
)

// maxReplayBytes is how much of a request body is buffered so that the request can be
// sent a second time.
const maxReplayBytes = 64 << 10

// replayBody buffers the start of a request body, so that the request can be sent again
// after a failed attempt. That is no longer possible once more than maxReplayBytes were
// read.
type replayBody struct {
	src io.ReadCloser

	mu         sync.Mutex
	buffered   []byte
	overflowed bool
	// attempt numbers the attempts to send the request. Readers of earlier attempts
	// fail.
	attempt int
}

func newReplayBody(src io.ReadCloser) *replayBody { return &replayBody{src: src} }

// reader returns a reader of the whole body for a new attempt, or false if more was
// read than is buffered.
func (b *replayBody) reader() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflowed {
		return nil, false
	}
	b.attempt++
	return &bodyReader{b: b, attempt: b.attempt}, true
}

// bodyReader reads the body for one attempt.
type bodyReader struct {
	b       *replayBody
	attempt int
	offset  int
}

// Read returns the buffered bytes first, then reads on from the caller.
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

// Close does nothing: the caller's body stays open for the next attempt.
func (t *bodyReader) Close() error { return nil }
