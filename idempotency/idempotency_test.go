package idempotency

import (
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
)

var noon = time.Unix(1_800_000_000, 0)

// key returns a key that expires one minute after noon.
func key() Key {
	return Key{Home: netip.MustParseAddrPort("10.0.0.1:7002"), Life: 77, Service: 1, Expires: noon.Add(time.Minute), Nonce: 5}
}

func TestOpenReturnsReasonForRejection(t *testing.T) {
	ring := keyring.Ring{keyring.NewSecret(1)}
	s, foreign := NewSealer(ring), NewSealer(keyring.Ring{keyring.NewSecret(1)})
	k := key()
	text := s.Seal(k)
	for name, x := range map[string]struct {
		text    string
		service bundle.ServiceID
		now     time.Time
		want    error
	}{
		"valid":               {text, 1, noon, nil},
		"other service":       {text, 2, noon, ErrWrongService},
		"expired":             {text, 1, noon.Add(time.Minute), ErrExpired},
		"other secret":        {foreign.Seal(k), 1, noon, ErrForged},
		"modified ciphertext": {text[:20] + flip(text[20:21]) + text[21:], 1, noon, ErrForged},
		"chosen by caller":    {"order-17", 1, noon, ErrForged},
		"empty":               {"", 1, noon, ErrForged},
		"other key ID":        {"9" + text[1:], 1, noon, ErrForged},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := s.Open(x.text, x.service, x.now)
			if !errors.Is(err, x.want) || err == nil && got != k {
				t.Errorf("key %+v, err %v, want %v", got, err, x.want)
			}
		})
	}
}

// flip returns a base64 character other than s.
func flip(s string) string {
	if s == "A" {
		return "B"
	}
	return "A"
}

// A caller sends copies of an order over several flows, for example because the
// first seemed slow. They reach the home at the same time; only one may run.
func TestConcurrentCopiesRunOnce(t *testing.T) {
	var j Journal
	var runs atomic.Int32
	var w sync.WaitGroup
	for range 50 {
		w.Go(func() {
			u, isNew, err := j.Begin(key(), "POST /order")
			if err != nil {
				t.Error(err)
				return
			}
			if isNew {
				runs.Add(1)
				j.Finish(key(), u, ResultAnswered, &RecordedResponse{Status: 200, Body: []byte("1")})
			}
			if res, rec, err := j.Wait(t.Context(), u); err != nil || res != ResultAnswered || string(rec.Body) != "1" {
				t.Errorf("wrong result for a copy: %v, %v, %v", res, rec, err)
			}
		})
	}
	w.Wait()
	if runs.Load() != 1 {
		t.Errorf("%d copies ran, want 1", runs.Load())
	}
}

// The upstream refuses an order without running it. The caller receives "not run"
// and sends the order again with the same key. It must then run, and the caller must
// not receive the recorded refusal. With any other result it must not run again.
func TestOnlyNotRunFreesTheKey(t *testing.T) {
	for name, x := range map[string]struct {
		result Result
		again  bool
	}{"not run": {ResultNotRun, true}, "unknown": {ResultUnknown, false}, "answered": {ResultAnswered, false}} {
		t.Run(name, func(t *testing.T) {
			var j Journal
			u, _, _ := j.Begin(key(), "a")
			j.Finish(key(), u, x.result, nil)
			if _, isNew, _ := j.Begin(key(), "a"); isNew != x.again {
				t.Errorf("may run again = %t", isNew)
			}
		})
	}
}

func TestKeyReuseForOtherRequestIsRejected(t *testing.T) {
	var j Journal
	j.Begin(key(), "POST /order")
	if _, _, err := j.Begin(key(), "POST /cancel"); !errors.Is(err, ErrKeyReused) {
		t.Errorf("err = %v, want ErrKeyReused", err)
	}
}

func TestRemoveExpiredKeepsRunningEntries(t *testing.T) {
	var j Journal
	done, running := key(), key()
	running.Nonce = 6
	u, _, _ := j.Begin(done, "a")
	j.Finish(done, u, ResultAnswered, &RecordedResponse{Body: make([]byte, 100)})
	j.Begin(running, "a")
	j.RemoveExpired(noon.Add(time.Hour))
	if j.Len() != 1 || j.bytes != 0 {
		t.Errorf("%d entries and %d bytes are left, want 1 and 0", j.Len(), j.bytes)
	}
}

func FuzzOpen(f *testing.F) {
	s := NewSealer(keyring.Ring{keyring.NewSecret(1)})
	f.Add(s.Seal(key()))
	f.Add("1.")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := s.Open(text, 1, noon)
		if err == nil && k != key() {
			t.Errorf("a forged key was accepted: %+v", k)
		}
	})
}
