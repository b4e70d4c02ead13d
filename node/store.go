package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/platform"
)

const (
	// storeTimeout bounds a call to the store, well over the answers of a slow one.
	storeTimeout = 1500 * time.Millisecond
	// firstTimeout bounds the first tries of a read, each fifth one doubled; it is over
	// the answer of a slow store. A store that was silent when a process started answers
	// on new connections alone, so who waits long on an old one starts serving later.
	firstTimeout = 400 * time.Millisecond
	// eagerMost spaces the tries of a process that has read nothing yet; eagerFor
	// ends that, so that an outage costs few calls.
	eagerMost = 150 * time.Millisecond
	eagerFor  = 8 * time.Second
	// A watch can miss a change for good: the store may drop its history while
	// one waits, and its connection may be silent. So some balancers, chosen by
	// rendezvous, wait shortly, find out with their next watch, and tell the
	// others, who wait long. Each watch is a call. watchShort keeps what is found so
	// within the bound that operators are promised.
	watchShort = 3 * time.Second
	watchLong  = 16 * time.Second
	// watchGrace is what a watch is given beyond its wait, some answers of a slow store.
	// On a connection that has gone silent that is the time until the next try.
	watchGrace = time.Second
	// watchersLeast is how many wait shortly.
	watchersLeast = 3
	// retryFirst and retryMost space the calls to a store that does not answer.
	// A second at most keeps what operators wrote meanwhile within its bound.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
)

// store is the platform's store as one process uses it.
type store struct {
	current atomic.Pointer[platform.Client]
	log     *events.Log
	// watcher: this balancer is one of those that wait shortly.
	watcher atomic.Bool
	// detached: the last call was not answered.
	detached atomic.Bool
}

func newStore(s *platform.Settings, l *events.Log) *store {
	x := &store{log: l}
	x.use(s)
	return x
}

// watchWait returns how long the next watch waits.
func (s *store) watchWait() time.Duration {
	w := watchLong
	if s.watcher.Load() {
		w = watchShort
	}
	return w/2 + rand.N(w/2)
}

// use takes the store's address from the settings.
func (s *store) use(x *platform.Settings) {
	if c := s.current.Load(); c != nil && c.URL == x.Store {
		return
	}
	c := platform.NewClient(x.Store, "")
	c.Timeout = storeTimeout
	s.current.Store(c)
}

func (s *store) client() *platform.Client { return s.current.Load() }

// tries spaces and bounds the calls of one duty.
type tries struct {
	n     int
	since time.Time
	// hungry: the duty has had no success yet.
	hungry bool
}

func newTries() tries { return tries{since: time.Now(), hungry: true} }

// timeout returns how long the next read may take.
func (t *tries) timeout() time.Duration {
	return min(firstTimeout<<min(t.n/5, 4), storeTimeout)
}

// pause returns how long to wait after a failure: growing and jittered, so that a
// store that comes back meets no storm.
func (t *tries) pause() time.Duration {
	most := retryMost
	if t.hungry && time.Since(t.since) < eagerFor {
		most = eagerMost
	}
	p := min(retryFirst<<min(t.n, 8), most)
	t.n++
	return p/2 + rand.N(p/2)
}

func (t *tries) succeeded() { t.n, t.hungry = 0, false }

// retry calls f until it succeeds or the context ends.
func retry(ctx context.Context, t *tries, f func() error) bool {
	for {
		if f() == nil {
			t.succeeded()
			return true
		}
		if !clock.Sleep(ctx, t.pause()) {
			return false
		}
	}
}

// lost logs the first failure of a kind's calls and its end.
func (s *store) lost(was *bool, k platform.Kind, err error) {
	switch {
	case err != nil && !*was:
		s.log.Add(events.PlatformDown, slog.String("kind", string(k)), slog.String("error", err.Error()))
	case err == nil && *was:
		s.log.Add(events.PlatformUp, slog.String("kind", string(k)))
	}
	*was = err != nil
	s.detached.Store(*was)
}

// follow keeps take informed of all objects of a kind, by name, as of a
// revision, until the context ends.
func (s *store) follow(ctx context.Context, k platform.Kind, take func(map[string]platform.Object, platform.Revision)) {
	var at platform.Revision
	var down bool
	all := map[string]platform.Object{}
	t := newTries()
	for ctx.Err() == nil {
		retry(ctx, &t, func() error {
			x, err := s.next(ctx, k, at, t.timeout(), all)
			if errors.Is(err, platform.ErrGone) || err == nil && x < at {
				// The history is gone, or the answer is older than what is known.
				at = 0
				return err
			}
			if ctx.Err() == nil {
				s.lost(&down, k, err)
			}
			if err == nil {
				at = x
				take(all, at)
			}
			return err
		})
	}
}

// next waits for changes after the revision, or lists everything from zero.
func (s *store) next(ctx context.Context, k platform.Kind, at platform.Revision, timeout time.Duration, all map[string]platform.Object) (platform.Revision, error) {
	if at == 0 {
		ctx, stop := context.WithTimeout(ctx, timeout)
		defer stop()
		l, err := s.client().List(ctx, k)
		if err != nil {
			return 0, err
		}
		clear(all)
		for _, o := range l.Items {
			all[o.Meta.Name] = o
		}
		return l.At, nil
	}
	wait := s.watchWait()
	ctx, stop := context.WithTimeout(ctx, wait+watchGrace)
	defer stop()
	x, err := s.client().Watch(ctx, k, at, wait)
	if err != nil {
		return 0, err
	}
	for _, e := range x.Events {
		if e.Removed {
			delete(all, e.Object.Meta.Name)
		} else {
			all[e.Object.Meta.Name] = e.Object
		}
	}
	return x.At, nil
}

// put makes the store hold the record, whoever wrote there before, and reports whether
// there was none.
//
// The answer to a write may be lost after it took effect, or the record be that
// of an earlier VM at the address: both show as an object that is there already,
// which comes with the refusal and is compared or replaced on its revision.
func (s *store) put(ctx context.Context, name string, p platform.Process) (created bool) {
	t := newTries()
	retry(ctx, &t, func() error {
		o, err := s.client().Create(ctx, platform.KindProcess, name, p)
		if !errors.Is(err, platform.ErrConflict) {
			created = err == nil
			return err
		}
		var held platform.Process
		if json.Unmarshal(o.Spec, &held) == nil && held == p {
			return nil
		}
		_, err = s.client().Update(ctx, platform.KindProcess, name, p, o.Meta.Revision)
		return err
	})
	return created
}

// putDraining records that an upstream drains; it may be recorded already.
func (s *store) putDraining(ctx context.Context, name string, d platform.Draining) {
	t := newTries()
	retry(ctx, &t, func() error {
		_, err := s.client().Create(ctx, platform.KindDraining, name, d)
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	})
}

// draining reads whether an upstream is recorded to drain; ok is false if the context
// ended before.
func (s *store) draining(ctx context.Context, name string) (found, ok bool) {
	t := newTries()
	ok = retry(ctx, &t, func() error {
		ctx, stop := context.WithTimeout(ctx, t.timeout())
		defer stop()
		_, err := s.client().Get(ctx, platform.KindDraining, name)
		if found = err == nil; errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		return err
	})
	return found, ok
}

// removeDraining removes what was recorded of an upstream that has ended. If that fails, a
// later upstream at the address gets no opening before its first heartbeat.
func (s *store) removeDraining(ctx context.Context, name string) {
	o, err := s.client().Get(ctx, platform.KindDraining, name)
	if err == nil {
		err = s.client().Delete(ctx, platform.KindDraining, name, o.Meta.Revision)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.log.Add(events.PlatformDown, slog.String("kind", string(platform.KindDraining)), slog.String("error", err.Error()))
	}
}

// remove takes the record out of the store if it is still this one.
func (s *store) remove(ctx context.Context, name string, p platform.Process) {
	o, err := s.client().Get(ctx, platform.KindProcess, name)
	var held platform.Process
	if err != nil || json.Unmarshal(o.Spec, &held) != nil || held != p {
		return
	}
	if err := s.client().Delete(ctx, platform.KindProcess, name, o.Meta.Revision); err != nil {
		s.log.Add(events.PlatformDown, slog.String("kind", string(platform.KindProcess)), slog.String("error", err.Error()))
	}
}
