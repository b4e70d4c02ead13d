package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// playIdle raises the idle timeout of flows, which is a limit of the configuration. Clients then
// pause longer than the old timeout and shorter than the new one, and go on.
func playIdle(ctx context.Context, s *site, trouble bool) error {
	const (
		raisedIdleTimeout = 50 * time.Second
		flows             = 40
		pause             = 150 * time.Millisecond
		secondAt          = 62 * time.Second // since the start of the machines
		shortIdle         = 10 * time.Second
	)
	if err := sleep(ctx, lead); err != nil {
		return err
	}
	if trouble {
		if err := s.configure(ctx, raisedIdleTimeout); err != nil {
			return err
		}
	}
	// All machines are in touch and the new version is in force when the flows begin.
	if err := sleep(ctx, lead); err != nil {
		return err
	}
	var long, short []*clientFlow
	for i := range flows {
		s.mu.Lock()
		c := s.anyClient()
		long = append(long, c.open(c.newPort(), fmt.Sprintf("first-%d", i), nil))
		if i%4 == 0 {
			short = append(short, c.open(c.newPort(), fmt.Sprintf("short-%d", i), nil))
		}
		s.mu.Unlock()
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
	askAll := func(fs []*clientFlow, name string) error {
		for i, f := range fs {
			s.mu.Lock()
			if f.state == flowOpen {
				f.ask(fmt.Sprintf("%s-%d", name, i), nil)
			}
			s.mu.Unlock()
			if err := sleep(ctx, pause/3); err != nil {
				return err
			}
		}
		return nil
	}
	if err := sleep(ctx, shortIdle); err != nil {
		return err
	}
	if err := askAll(short, "short-again"); err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(s.begun.Add(secondAt))); err != nil {
		return err
	}
	if err := askAll(long, "second"); err != nil {
		return err
	}
	if err := sleep(ctx, requestDeadline); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	opened, answered := 0, 0
	for _, f := range long {
		if f.answered > 0 {
			opened++
		}
		if f.answered > 1 {
			answered++
		}
	}
	s.note("flows with an answer before the pause: %d of %d; with an answer after it: %d", opened, flows, answered)
	if opened < flows/2 {
		return errors.New("fewer than half of the flows opened")
	}
	return nil
}

// playHalfClose opens flows with a long answer that is sent in parts. The clients of two thirds of
// them close their end right after the request, and read on. With trouble, the balancers are
// restarted in turn meanwhile.
func playHalfClose(ctx context.Context, s *site, trouble bool) error {
	const (
		flows   = 180
		pause   = 10 * time.Millisecond
		gap     = 2500 * time.Millisecond // between two restarts
		restart = 300 * time.Millisecond
	)
	if err := sleep(ctx, lead); err != nil {
		return err
	}
	var fs []*clientFlow
	for i := range flows {
		s.mu.Lock()
		c := s.anyClient()
		f := c.open(c.newPort(), fmt.Sprintf("%s%d", streamPrefix, i), nil)
		f.streams, f.halfClose = true, i%3 != 0
		fs = append(fs, f)
		s.mu.Unlock()
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
	ended := time.Now().Add(time.Second + streamParts*streamInterval)
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	for _, m := range s.machines {
		if !trouble || m.role != "balancer" {
			continue
		}
		t := time.Now()
		if err := s.restart(m, restart); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(t.Add(gap))); err != nil {
			return err
		}
	}
	if err := sleep(ctx, time.Until(ended)); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	opened := 0
	for _, half := range []bool{true, false} {
		n, whole, reset := 0, 0, 0
		for _, f := range fs {
			if f.halfClose != half {
				continue
			}
			n++
			if f.parts > 0 {
				opened++
			}
			if f.ended && f.parts == streamParts {
				whole++
			}
			if f.state == flowReset {
				reset++
			}
		}
		s.note("flows whose client closed its end early = %v: %d, with the whole answer: %d, reset: %d", half, n, whole, reset)
	}
	if opened < flows/2 {
		return errors.New("fewer than half of the flows opened")
	}
	return nil
}

// clockStep is how far the time of day jumps.
const clockStep = 2 * time.Second

// prepareClock sets the time of day ahead on the machine of the first backend.
func prepareClock(s *site) { s.backends[0].clockAhead = clockStep }

// playClock restarts a backend before traffic begins. With trouble, the time of day on its machine
// is ahead when the backend starts, and jumps back before the restart. Later the backend
// drains.
func playClock(ctx context.Context, s *site, trouble bool) error {
	const (
		jumpAfter = time.Second
		restart   = 1500 * time.Millisecond
		down      = 100 * time.Millisecond
		drainAt   = 14 * time.Second
		drainFor  = 10 * time.Second
		rate      = 40 // requests per second
	)
	x := s.backends[0]
	if err := sleep(ctx, jumpAfter); err != nil {
		return err
	}
	if trouble {
		s.mu.Lock()
		x.clockAhead = 0
		s.note("%s: the time of day jumps back by %v", x.vm.name, clockStep)
		s.mu.Unlock()
	}
	if err := sleep(ctx, restart-jumpAfter); err != nil {
		return err
	}
	x.stop()
	if err := sleep(ctx, down); err != nil {
		return err
	}
	if err := x.start(); err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(s.begun.Add(lead))); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { s.load(traffic, rate); close(ended) }()
	defer func() { stop(); <-ended }()
	if err := sleep(ctx, time.Until(s.begun.Add(drainAt))); err != nil {
		return err
	}
	before := s.taken(x)
	x.drain()
	if err := sleep(ctx, drainFor); err != nil {
		return err
	}
	x.stop()
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.drainAckedAt.IsZero() {
		return errors.New("the draining was not acknowledged")
	}
	if before == 0 {
		return errors.New("the backend got no flow before it drained")
	}
	return nil
}

// taken returns how many flows the backend has taken in this run.
func (s *site) taken(b *backend) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(b.flows)
}

// load sends requests with a flow each, until the context ends.
func (s *site) load(ctx context.Context, perSecond int) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		c := s.anyClient()
		var f *clientFlow
		f = c.open(c.newPort(), fmt.Sprintf("load-%d", i), func() { f.close() })
		s.mu.Unlock()
	}
}

// playPort lets clients use their ports again, after the flows from these have been closed by both
// ends. With trouble, a backend drains in between.
func playPort(ctx context.Context, s *site, trouble bool) error {
	const (
		flows    = 60
		pause    = 50 * time.Millisecond
		drainAt  = 39 * time.Second // since the start of the machines
		reuseAt  = 44 * time.Second // 30 s and more after the flows were closed
		drainFor = 12 * time.Second
	)
	if err := sleep(ctx, time.Until(s.begun.Add(lead))); err != nil {
		return err
	}
	var fs []*clientFlow
	for i := range flows {
		s.mu.Lock()
		c := s.anyClient()
		var f *clientFlow
		f = c.open(c.newPort(), fmt.Sprintf("first-%d", i), func() { f.close() })
		fs = append(fs, f)
		s.mu.Unlock()
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
	if err := sleep(ctx, time.Until(s.begun.Add(drainAt))); err != nil {
		return err
	}
	x := s.backends[0]
	if trouble {
		x.drain()
	}
	if err := sleep(ctx, time.Until(s.begun.Add(reuseAt))); err != nil {
		return err
	}
	closed := 0
	for i, f := range fs {
		s.mu.Lock()
		if f.state == flowClosed {
			closed++
			f.c.open(f.key.Caller.Port, fmt.Sprintf("again-%d", i), nil)
		}
		s.mu.Unlock()
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
	if err := sleep(ctx, time.Until(s.begun.Add(drainAt+drainFor))); err != nil {
		return err
	}
	x.stop()
	if closed < flows/2 {
		return errors.New("fewer than half of the first flows were closed by both ends")
	}
	return nil
}
