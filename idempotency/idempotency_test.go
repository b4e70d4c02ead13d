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

func key() Key {
	return Key{Home: netip.MustParseAddrPort("10.0.0.1:7002"), Life: 77, Service: 1, Expires: noon.Add(time.Minute), Nonce: 5}
}

func TestKeysAreRefusedForAReason(t *testing.T) {
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
		"good":          {text, 1, noon, nil},
		"other service": {text, 2, noon, ErrService},
		"expired":       {text, 1, noon.Add(time.Minute), ErrExpired},
		"foreign":       {foreign.Seal(k), 1, noon, ErrForged},
		"flipped":       {text[:20] + flip(text[20:21]) + text[21:], 1, noon, ErrForged},
		"a caller's":    {"order-17", 1, noon, ErrForged},
		"empty":         {"", 1, noon, ErrForged},
		"other key id":  {"9" + text[1:], 1, noon, ErrForged},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := s.Open(x.text, x.service, x.now)
			if !errors.Is(err, x.want) || err == nil && got != k {
				t.Errorf("key %+v, err %v, want %v", got, err, x.want)
			}
		})
	}
}

func flip(s string) string {
	if s == "A" {
		return "B"
	}
	return "A"
}

// A buyer's screen sends the same order over two flows at once, because the
// first seemed slow. Both reach the home together; one may run.
func TestOneOfManyCopiesRuns(t *testing.T) {
	var j Journal
	var runs atomic.Int32
	var w sync.WaitGroup
	for range 50 {
		w.Go(func() {
			u, fresh, err := j.Begin(key(), "POST /order")
			if err != nil {
				t.Error(err)
				return
			}
			if fresh {
				runs.Add(1)
				j.Finish(key(), u, ResultAnswered, &Recorded{Status: 200, Body: []byte("1")})
			}
			if res, rec, err := j.Wait(t.Context(), u); err != nil || res != ResultAnswered || string(rec.Body) != "1" {
				t.Errorf("copy got %v, %v, %v", res, rec, err)
			}
		})
	}
	w.Wait()
	if runs.Load() != 1 {
		t.Errorf("%d copies ran", runs.Load())
	}
}

// The upstream refused the order before running it. The buyer is told "not run"
// and sends it again under the same key: now it must run, not repeat a refusal.
func TestNotRunFreesTheKeyAndUnknownDoesNot(t *testing.T) {
	for name, x := range map[string]struct {
		result Result
		again  bool
	}{"not run": {ResultNotRun, true}, "unknown": {ResultUnknown, false}, "answered": {ResultAnswered, false}} {
		t.Run(name, func(t *testing.T) {
			var j Journal
			u, _, _ := j.Begin(key(), "a")
			j.Finish(key(), u, x.result, nil)
			if _, fresh, _ := j.Begin(key(), "a"); fresh != x.again {
				t.Errorf("may run again: %t", fresh)
			}
		})
	}
}

func TestKeyIsForOneRequest(t *testing.T) {
	var j Journal
	j.Begin(key(), "POST /order")
	if _, _, err := j.Begin(key(), "POST /cancel"); !errors.Is(err, ErrOtherUse) {
		t.Errorf("err = %v", err)
	}
}

func TestCollectKeepsWhatStillRuns(t *testing.T) {
	var j Journal
	done, running := key(), key()
	running.Nonce = 6
	u, _, _ := j.Begin(done, "a")
	j.Finish(done, u, ResultAnswered, &Recorded{Body: make([]byte, 100)})
	j.Begin(running, "a")
	j.Collect(noon.Add(time.Hour))
	if j.Len() != 1 || j.bytes != 0 {
		t.Errorf("%d uses, %d bytes are left", j.Len(), j.bytes)
	}
}

func FuzzOpen(f *testing.F) {
	s := NewSealer(keyring.Ring{keyring.NewSecret(1)})
	f.Add(s.Seal(key()))
	f.Add("1.")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := s.Open(text, 1, noon)
		if err == nil && k != key() {
			t.Errorf("a made-up key was opened: %+v", k)
		}
	})
}
