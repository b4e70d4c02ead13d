package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// orderly is a handler that records the order of datagrams and stops the loop after the
// last one.
type orderly struct {
	order []source
	stop  context.CancelFunc
	last  int
}

func (o *orderly) datagram(b *buffer, _ time.Duration) {
	o.order = append(o.order, b.at)
	if len(o.order) == o.last {
		o.stop()
	}
}

func (o *orderly) tick(now time.Duration) time.Duration { return now + time.Hour }

// Guards against a balancer that is busy with callers' datagrams and handles the answers
// of agents too late, so that every flow that it starts to open is started again elsewhere.
func TestFleetGoesBeforeCallers(t *testing.T) {
	l := newLoop()
	for range 2 * fleetTurn {
		l.events <- &buffer{at: fromProcess}
	}
	for range 3 {
		l.addCaller(&buffer{at: fromCaller})
	}
	ctx, stop := context.WithCancel(t.Context())
	o := &orderly{stop: stop, last: 2*fleetTurn + 3}
	if err := l.run(ctx, o); err != nil {
		t.Fatal(err)
	}
	for i, at := range o.order {
		callers := i == fleetTurn || i > 2*fleetTurn
		if (at == fromCaller) != callers {
			t.Fatalf("datagrams were handled in the order %v", o.order)
		}
	}
}

// Guards against a full queue that keeps the oldest datagrams, so that each is answered
// only after its caller has given up.
func TestOldestDatagramOfACallerIsDropped(t *testing.T) {
	l := newLoop()
	for i := range callersLen + 5 {
		l.addCaller(&buffer{n: i})
	}
	if n := l.dropped.Load(); n != 5 {
		t.Errorf("%d datagrams were dropped", n)
	}
	if b := <-l.callers; b.n != 5 {
		t.Errorf("the next datagram is number %d", b.n)
	}
}

// Guards against a loop that handles every queued datagram, each of them too late.
func TestDatagramThatHasWaitedTooLongIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoop()
		l.addCaller(&buffer{n: 1, came: l.now()})
		time.Sleep(callersPatience)
		l.addCaller(&buffer{n: 2, came: l.now()})
		turn := 0
		if b, ok := l.first(&turn).(*buffer); !ok || b.n != 2 || l.dropped.Load() != 1 {
			t.Errorf("the next datagram is %+v after %d dropped ones", b, l.dropped.Load())
		}
	})
}

// Guards against a loop that does not stop while datagrams keep arriving.
func TestBusyLoopStops(t *testing.T) {
	l := newLoop()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	for range ringLen {
		l.events <- &buffer{at: fromProcess}
	}
	o := &orderly{stop: stop}
	if err := l.run(ctx, o); err != nil || len(o.order) > 0 {
		t.Errorf("the loop returned %v after %d datagrams", err, len(o.order))
	}
}
