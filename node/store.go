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
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/platform"
)

const (
	// storeTimeout limits a call to the store. A slow store answers well within it.
	storeTimeout = 1500 * time.Millisecond
	// initialReadTimeout limits the first attempts of a read; it doubles after every five
	// failures. A slow store answers within it. A store that did not respond when a
	// process started answers only on new connections, so a long wait on an old
	// connection would delay the time at which the process can serve.
	initialReadTimeout = 400 * time.Millisecond
	// eagerMaxDelay is the longest delay between the attempts of a process that has read
	// nothing yet. It applies only for eagerPeriod, so that an outage causes few calls.
	eagerMaxDelay = 150 * time.Millisecond
	eagerPeriod   = 8 * time.Second
	// watchWait is the longest wait of a watch. A watch can miss a change for good: the store
	// may drop its history while the watch waits, or the connection may hang. Such a change
	// is detected by the next watch, within the time that operators are promised.
	watchWait = 3 * time.Second
	// watchGrace is how much longer than its wait a watch may take: a few times the
	// response time of a slow store. On a hanging connection it delays the next attempt.
	watchGrace = time.Second
	// initialRetryDelay and maxRetryDelay are the first and the longest delay between
	// calls to a store that does not answer. With at most a second, what operators wrote
	// during an outage is still applied within the time that they are promised.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
)

// store gives a process access to the platform's store.
type store struct {
	current atomic.Pointer[platform.Client]
	log     *events.Log
	// failing counts the kinds whose last read failed.
	failing atomic.Int32
}

func newStore(s *platform.Settings, l *events.Log) *store {
	x := &store{log: l}
	x.updateAddress(s)
	return x
}

// updateAddress updates the store's address from the settings.
func (s *store) updateAddress(x *platform.Settings) {
	if c := s.current.Load(); c != nil && c.URL == x.Store {
		return
	}
	c := platform.NewClient(x.Store, "")
	c.Timeout = storeTimeout
	s.current.Store(c)
}

// client returns the client for the store's current address.
func (s *store) client() *platform.Client { return s.current.Load() }

// backoff determines the timeouts of a task's calls to the store and the delays between
// its attempts.
type backoff struct {
	failures int // failures since the last success
	start    time.Time
	// eager is true until the task's first success.
	eager bool
}

func newBackoff() backoff { return backoff{start: time.Now(), eager: true} }

// timeout returns the limit for the next read.
func (t *backoff) timeout() time.Duration {
	return min(initialReadTimeout<<min(t.failures/5, 4), storeTimeout)
}

// nextDelay returns the delay after a failure. It grows and is jittered, so that the
// processes don't overload a store that recovers.
func (t *backoff) nextDelay() time.Duration {
	maxDelay := maxRetryDelay
	if t.eager && time.Since(t.start) < eagerPeriod {
		maxDelay = eagerMaxDelay
	}
	p := min(initialRetryDelay<<min(t.failures, 8), maxDelay)
	t.failures++
	return p/2 + rand.N(p/2)
}

// reset resets the timeout and the delay after a success.
func (t *backoff) reset() { t.failures, t.eager = 0, false }

// retry calls f until it succeeds, and returns false if the context ends first.
func retry(ctx context.Context, t *backoff, f func() error) bool {
	for {
		if f() == nil {
			t.reset()
			return true
		}
		if !clock.Sleep(ctx, t.nextDelay()) {
			return false
		}
	}
}

// detached reports whether the last read of any kind failed.
func (s *store) detached() bool { return s.failing.Load() > 0 }

// trackOutcome records in failing whether a read of the kind failed. It logs the first
// failure after a success, and the first success after a failure.
func (s *store) trackOutcome(failing *bool, k platform.Kind, err error) {
	switch {
	case err != nil && !*failing:
		s.failing.Add(1)
		s.log.Add(events.PlatformDown, slog.String("kind", string(k)), slog.String("error", err.Error()))
	case err == nil && *failing:
		s.failing.Add(-1)
		s.log.Add(events.PlatformUp, slog.String("kind", string(k)))
	}
	*failing = err != nil
}

// follow lists and then watches all objects of a kind while the gate is open, until the
// context ends. It calls onUpdate with the objects by name, and their revision, after each
// list and watch.
func (s *store) follow(ctx context.Context, g *gate, k platform.Kind, onUpdate func(map[string]platform.Object, platform.Revision)) {
	var at platform.Revision
	var failing bool
	all := map[string]platform.Object{}
	t := newBackoff()
	for g.wait(ctx) {
		x, err := s.listOrWatch(ctx, k, at, t.timeout(), all)
		if gone := errors.Is(err, platform.ErrGone) || err == nil && x < at; gone {
			// The store has dropped the history, or its answer is older than the known state:
			// list everything again.
			at = 0
		} else if ctx.Err() == nil {
			s.trackOutcome(&failing, k, err)
			if err == nil {
				t.reset()
				at = x
				onUpdate(all, at)
				continue
			}
		}
		if !clock.Sleep(ctx, t.nextDelay()) {
			return
		}
	}
}

// listOrWatch waits for changes after the revision and applies them to all, or replaces
// all with a list if the revision is 0. It returns the new revision.
func (s *store) listOrWatch(ctx context.Context, k platform.Kind, at platform.Revision, timeout time.Duration, all map[string]platform.Object) (platform.Revision, error) {
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
	wait := watchWait/2 + rand.N(watchWait/2)
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

// writtenRecord is the result of writing a process's record.
type writtenRecord struct {
	at      platform.Revision
	created bool // there was none
	// served is the run of the upstream in the existing record, and servedAtOnce is set if the store
	// answered the first call with it.
	served       datagram.UpstreamRun
	servedAtOnce bool
}

// putRecord writes the record to the store and replaces any other one. The revision of the result is 0 if
// the context ends first.
//
// The record may exist already because the answer to an earlier write was lost after the
// write took effect, or because an earlier VM had the same address. The store then refuses
// to create it and returns the existing one. putRecord keeps that one if it is of the same VM, and
// otherwise replaces it, unless its revision has changed.
func (s *store) putRecord(ctx context.Context, name string, p platform.Process) (w writtenRecord) {
	t := newBackoff()
	calls := 0
	retry(ctx, &t, func() error {
		calls++
		o, err := s.client().Create(ctx, platform.KindProcess, name, p)
		w.created = err == nil
		if errors.Is(err, platform.ErrConflict) {
			var existing platform.Process
			switch err = json.Unmarshal(o.Spec, &existing); {
			case err != nil || !existing.IsSameVM(p):
				o, err = s.client().Update(ctx, platform.KindProcess, name, p, o.Meta.Revision)
			default:
				w.served, w.servedAtOnce = existing.Served, calls == 1
			}
		}
		if err == nil {
			w.at = o.Meta.Revision
		}
		return err
	})
	return w
}

// putServed records the run of the upstream in the process's record, which had the given revision. It
// returns the revision of the record, or 0 if the context ends first or the record is of another VM by now.
func (s *store) putServed(ctx context.Context, name string, p platform.Process, at platform.Revision) platform.Revision {
	t := newBackoff()
	replaced := false
	ok := retry(ctx, &t, func() error {
		o, err := s.client().Update(ctx, platform.KindProcess, name, p, at)
		if errors.Is(err, platform.ErrNotFound) {
			o, err = s.client().Create(ctx, platform.KindProcess, name, p)
		}
		if errors.Is(err, platform.ErrConflict) {
			var existing platform.Process
			readable := json.Unmarshal(o.Spec, &existing) == nil
			if replaced = readable && !existing.IsSameVM(p); replaced || existing == p {
				err = nil // an earlier attempt whose answer was lost may have written it
			}
		}
		if o.Meta.Revision != 0 {
			at = o.Meta.Revision
		}
		return err
	})
	if !ok || replaced {
		return 0
	}
	return at
}

// putDraining records that an upstream drains. An existing record is kept. It returns the
// revision of the record, or 0 if the context ends first.
func (s *store) putDraining(ctx context.Context, name string, d platform.Draining) (at platform.Revision) {
	t := newBackoff()
	retry(ctx, &t, func() error {
		o, err := s.client().Create(ctx, platform.KindDraining, name, d)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			at = o.Meta.Revision
			return nil
		}
		return err
	})
	return at
}

// readDraining returns the revision of the record that the upstream drains, or 0 if there is
// none. ok is false if the context ends first.
func (s *store) readDraining(ctx context.Context, name string) (at platform.Revision, ok bool) {
	t := newBackoff()
	ok = retry(ctx, &t, func() error {
		ctx, stop := context.WithTimeout(ctx, t.timeout())
		defer stop()
		o, err := s.client().Get(ctx, platform.KindDraining, name)
		at = o.Meta.Revision
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		return err
	})
	return at, ok
}

// remove deletes an object that still has the given revision, or returns the current one. It logs a
// failure, unless the object is gone or has been changed.
func (s *store) remove(ctx context.Context, k platform.Kind, name string, at platform.Revision) (current platform.Object) {
	current, err := s.client().DeleteUnchanged(ctx, k, name, at)
	if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
		s.log.Add(events.PlatformDown, slog.String("kind", string(k)), slog.String("error", err.Error()))
	}
	return current
}

// removeDraining deletes the record that an upstream drains, after the upstream has ended.
// If that fails, a later upstream at the same address gets no new flows before its first
// heartbeat.
func (s *store) removeDraining(ctx context.Context, name string) {
	o, err := s.client().Get(ctx, platform.KindDraining, name)
	switch {
	case err == nil:
		s.remove(ctx, platform.KindDraining, name, o.Meta.Revision)
	case !errors.Is(err, platform.ErrNotFound):
		s.log.Add(events.PlatformDown, slog.String("kind", string(platform.KindDraining)), slog.String("error", err.Error()))
	}
}

// removeRecord deletes the record from the store if it is still that of the VM. A revision of 0 means that
// it is not known.
func (s *store) removeRecord(ctx context.Context, name string, p platform.Process, at platform.Revision) {
	var o platform.Object
	if at != 0 {
		o = s.remove(ctx, platform.KindProcess, name, at)
	} else {
		var err error
		if o, err = s.client().Get(ctx, platform.KindProcess, name); err != nil {
			return
		}
	}
	// A watcher may have marked the record since it was written.
	var existing platform.Process
	if json.Unmarshal(o.Spec, &existing) == nil && existing.IsSameVM(p) {
		s.remove(ctx, platform.KindProcess, name, o.Meta.Revision)
	}
}
