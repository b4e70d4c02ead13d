package idempotency

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// Result is what came of a keyed request.
type Result uint8

// Results. ResultNotRun is never kept: the key may be used again.
const (
	ResultUnknown Result = iota
	ResultAnswered
	ResultNotRun
)

// Recorded is an answer that can be repeated.
type Recorded struct {
	Status int
	Header http.Header
	Body   []byte
	// TooLong says that the answer was given once but was too long to keep.
	TooLong bool
}

// MaxRecorded is the longest body that is kept for repeating, in bytes.
const MaxRecorded = 64 << 10

// Bounds of a journal.
const (
	maxEntries = 100_000
	// maxBytes keeps the recorded answers within the agent's memory.
	maxBytes = 16 << 20
)

// Errors of Journal.Begin.
var (
	ErrJournalFull = errors.New("journal of keyed requests is full")
	ErrOtherUse    = errors.New("idempotency key was used for another request")
)

// Use is one keyed request in the journal.
type Use struct {
	fingerprint string
	expires     time.Time
	done        chan struct{}
	result      Result
	recorded    *Recorded
}

// Journal keeps the uses of the keys whose home this process is. Its zero value
// works.
type Journal struct {
	mu    sync.Mutex
	uses  map[Nonce]*Use
	bytes int
	// last is the expiry of the latest key that was issued here.
	last time.Time
}

// Issued notes that a key was issued here, so that the home stays for it.
func (j *Journal) Issued(expires time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if expires.After(j.last) {
		j.last = expires
	}
}

// Until returns when the last key that was issued here expires.
func (j *Journal) Until() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.last
}

// Begin returns the key's use and whether the caller must run the request.
//
// Two copies of an order that arrive at once must not both run; the entry made
// here, before anything is sent on, is what the second finds.
func (j *Journal) Begin(k Key, fingerprint string) (u *Use, fresh bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if u, ok := j.uses[k.Nonce]; ok {
		if u.fingerprint != fingerprint {
			return nil, false, ErrOtherUse
		}
		return u, false, nil
	}
	if len(j.uses) >= maxEntries || j.bytes >= maxBytes {
		j.collect(time.Now())
	}
	if len(j.uses) >= maxEntries || j.bytes >= maxBytes {
		return nil, false, ErrJournalFull
	}
	if j.uses == nil {
		j.uses = map[Nonce]*Use{}
	}
	u = &Use{fingerprint: fingerprint, expires: k.Expires, done: make(chan struct{})}
	j.uses[k.Nonce] = u
	return u, true, nil
}

// Finish records what came of the use and tells those who wait.
func (j *Journal) Finish(k Key, u *Use, r Result, rec *Recorded) {
	j.mu.Lock()
	defer j.mu.Unlock()
	u.result, u.recorded = r, rec
	if rec != nil {
		j.bytes += len(rec.Body)
	}
	if r == ResultNotRun {
		delete(j.uses, k.Nonce)
	}
	close(u.done)
}

// Wait returns what came of the use.
func (j *Journal) Wait(ctx context.Context, u *Use) (Result, *Recorded, error) {
	select {
	case <-u.done:
		return u.result, u.recorded, nil
	case <-ctx.Done():
		return ResultUnknown, nil, ctx.Err()
	}
}

// Collect forgets uses whose keys have expired; an expired key is refused
// before the journal is asked.
func (j *Journal) Collect(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.collect(now)
}

// collectAfter keeps a use a little past its key's expiry, for a request that
// was opened just before it.
const collectAfter = time.Minute

func (j *Journal) collect(now time.Time) {
	for n, u := range j.uses {
		select {
		case <-u.done:
		default:
			continue
		}
		if now.After(u.expires.Add(collectAfter)) {
			if u.recorded != nil {
				j.bytes -= len(u.recorded.Body)
			}
			delete(j.uses, n)
		}
	}
}

// Len returns how many uses are kept.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.uses)
}
