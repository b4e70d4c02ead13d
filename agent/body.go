package agent

import (
	"io"
	"sync"
)

// replayMost is how much of a request's body is kept until it is known that the
// request need not be sent a second time.
const replayMost = 64 << 10

// replayBody lets a request be sent again after a refusal that proves it was
// not run, as long as little of its body was read.
type replayBody struct {
	src io.ReadCloser

	mu   sync.Mutex
	kept []byte
	lost bool
	// turn counts the sendings; the reader of an earlier one gets no more.
	turn int
}

func newReplayBody(src io.ReadCloser) *replayBody { return &replayBody{src: src} }

// reader returns the body from its start, or false if too much has been read.
func (b *replayBody) reader() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil, false
	}
	b.turn++
	return &bodyTurn{b: b, turn: b.turn}, true
}

type bodyTurn struct {
	b    *replayBody
	turn int
	at   int
}

// Read returns what was kept, then what the caller goes on to send.
func (t *bodyTurn) Read(p []byte) (int, error) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if t.turn != t.b.turn {
		return 0, io.ErrClosedPipe
	}
	if t.at < len(t.b.kept) {
		n := copy(p, t.b.kept[t.at:])
		t.at += n
		return n, nil
	}
	n, err := t.b.src.Read(p)
	if len(t.b.kept)+n <= replayMost && !t.b.lost {
		t.b.kept = append(t.b.kept, p[:n]...)
		t.at += n
	} else if n > 0 {
		t.b.lost, t.b.kept, t.at = true, nil, 0
	}
	return n, err
}

// Close ends this sending; the caller's body stays for the next.
func (t *bodyTurn) Close() error { return nil }
