package idempotency

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// Result says how a request with an idempotency key ended.
type Result uint8

// Results. The journal never keeps ResultNotRun, so that the key can be used again.
const (
	// ResultUnknown means that the upstream may have run the request.
	ResultUnknown Result = iota
	// ResultAnswered means that the upstream ran the request and responded.
	ResultAnswered
	// ResultNotRun means that the upstream certainly did not run the request.
	ResultNotRun
)

// RecordedResponse is a response that can be sent again for the same key.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// TooLong means that the response was sent once but was too long to keep.
	TooLong bool
}

// MaxRecordedBody is the maximum length of a recorded body, in bytes.
const MaxRecordedBody = 64 << 10

// Limits of a journal.
const (
	maxEntries = 100_000
	// maxBytes limits the memory of an agent that recorded bodies take.
	maxBytes = 16 << 20
)

// Errors of Journal.Begin.
var (
	ErrJournalFull = errors.New("journal of keyed requests is full")
	ErrKeyReused   = errors.New("idempotency key was used for another request")
)

// Entry is the record of one request with an idempotency key.
type Entry struct {
	// fingerprint identifies the request that the key was first used for.
	fingerprint string
	expires     time.Time
	// done is closed once result and recorded are set.
	done     chan struct{}
	result   Result
	recorded *RecordedResponse
}

// Journal keeps an entry for each used key that this process issued. The zero value
// is ready to use.
type Journal struct {
	mu      sync.Mutex
	entries map[Nonce]*Entry
	// bytes is the total length of the recorded bodies.
	bytes int
	// lastExpiry is the latest expiry of the keys that this process issued.
	lastExpiry time.Time
}

// RecordIssued records that this process issued a key with the expiry. An agent
// that leaves uses LastExpiry to stay available until its last key has expired.
func (j *Journal) RecordIssued(expires time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if expires.After(j.lastExpiry) {
		j.lastExpiry = expires
	}
}

// LastExpiry returns the latest expiry of the keys that this process issued.
func (j *Journal) LastExpiry() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastExpiry
}

// Begin returns the key's entry and whether it is new, in which case the caller must
// run the request and call Finish.
//
// The entry is created before the request is sent to the upstream. Of two copies of
// an order that arrive at the same time, the second therefore finds the entry of the
// first and does not run.
func (j *Journal) Begin(k Key, fingerprint string) (u *Entry, isNew bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if u, ok := j.entries[k.Nonce]; ok {
		if u.fingerprint != fingerprint {
			return nil, false, ErrKeyReused
		}
		return u, false, nil
	}
	if len(j.entries) >= maxEntries || j.bytes >= maxBytes {
		j.removeExpired(time.Now())
	}
	if len(j.entries) >= maxEntries || j.bytes >= maxBytes {
		return nil, false, ErrJournalFull
	}
	if j.entries == nil {
		j.entries = map[Nonce]*Entry{}
	}
	u = &Entry{fingerprint: fingerprint, expires: k.Expires, done: make(chan struct{})}
	j.entries[k.Nonce] = u
	return u, true, nil
}

// Finish sets the result of the entry and wakes all waiters.
func (j *Journal) Finish(k Key, u *Entry, r Result, rec *RecordedResponse) {
	j.mu.Lock()
	defer j.mu.Unlock()
	u.result, u.recorded = r, rec
	if rec != nil {
		j.bytes += len(rec.Body)
	}
	if r == ResultNotRun {
		delete(j.entries, k.Nonce)
	}
	close(u.done)
}

// Wait waits until the entry is finished and returns its result.
func (j *Journal) Wait(ctx context.Context, u *Entry) (Result, *RecordedResponse, error) {
	select {
	case <-u.done:
		return u.result, u.recorded, nil
	case <-ctx.Done():
		return ResultUnknown, nil, ctx.Err()
	}
}

// RemoveExpired removes finished entries whose keys have expired. Requests with an
// expired key are rejected before the journal is consulted.
func (j *Journal) RemoveExpired(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removeExpired(now)
}

// expiryGracePeriod is how long an entry is kept after its key has expired. A request
// whose key was checked just before the expiry still finds the entry.
const expiryGracePeriod = time.Minute

// removeExpired is RemoveExpired for callers that hold j.mu.
func (j *Journal) removeExpired(now time.Time) {
	for n, u := range j.entries {
		select {
		case <-u.done:
		default:
			continue
		}
		if now.After(u.expires.Add(expiryGracePeriod)) {
			if u.recorded != nil {
				j.bytes -= len(u.recorded.Body)
			}
			delete(j.entries, n)
		}
	}
}

// Len returns the number of entries.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.entries)
}
