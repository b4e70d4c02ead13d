package balancer

import (
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/quiclb"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func socket(tb testing.TB) *link.Socket {
	tb.Helper()
	s, err := link.Listen(loopback)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { s.Close() })
	return s
}

// relay is the baseline of BenchmarkForward. It uses the same sockets and batches
// as a forwarder but makes no decision: it sends every datagram to one address. It
// leaves the header bytes unset but sends them, so that both write equally many
// bytes.
func relay(in, out *link.Socket, to netip.AddrPort, done *atomic.Uint64) error {
	b := link.NewBatch(batchSize)
	for {
		n, err := b.Read(in.Batched)
		if err != nil {
			return err
		}
		for i := range n {
			b.EnqueueWithHeader(i, to)
		}
		b.Flush(out.Batched)
		done.Add(uint64(n))
	}
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// flood sends the datagram to the address until stop is set.
func flood(tb testing.TB, to netip.AddrPort, p []byte, stop *atomic.Bool, w *sync.WaitGroup) {
	s := socket(tb)
	q := link.NewQueue(batchSize)
	w.Go(func() {
		for !stop.Load() {
			for range batchSize {
				q.Enqueue(p, to)
			}
			q.Flush(s.Batched)
		}
	})
}

// saturate runs a forwarder under a flood and reports the processor time of its
// thread per datagram, and from it the datagrams per second and core. The cost of
// the flood itself is not included.
func saturate(b *testing.B, in *link.Socket, p []byte, run func(done *atomic.Uint64) error) {
	var stop atomic.Bool
	var done atomic.Uint64
	var w sync.WaitGroup
	for range 2 {
		flood(b, in.Addr(), p, &stop, &w)
	}
	var spent time.Duration
	w.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		start := threadTime()
		run(&done)
		spent = threadTime() - start
	})
	for done.Load() < uint64(b.N) {
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	in.Close()
	w.Wait()
	each := float64(spent.Nanoseconds()) / float64(done.Load())
	b.ReportMetric(each, "cpu-ns/datagram")
	b.ReportMetric(1e9/each, "datagrams/s/core")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkForward(b *testing.B) {
	v, _ := newTestView(1, 12, nil)
	sink := socket(b)
	token := short(quiclb.NewKey(secret).Seal(quiclb.Route{Service: 1, Zone: 1, Agent: sink.Addr()}, 1))
	b.Run("relay", func(b *testing.B) {
		in, out := socket(b), socket(b)
		saturate(b, in, token, func(done *atomic.Uint64) error { return relay(in, out, sink.Addr(), done) })
	})
	b.Run("balancer", func(b *testing.B) {
		in, out := socket(b), socket(b)
		var view atomic.Pointer[View]
		view.Store(v)
		c := &Counters{}
		f := &forwarder{id: 1, in: in, link: out, view: &view, log: events.NewLog(nil), count: c}
		saturate(b, in, token, func(done *atomic.Uint64) error {
			go func() {
				for in.SetWriteDeadline(time.Time{}) == nil {
					done.Store(c.Forwarded.Load())
					time.Sleep(time.Millisecond)
				}
			}()
			err := f.run()
			done.Store(c.Forwarded.Load())
			return err
		})
	})
}

// An entry VM has several cores, and one service may receive most datagrams. With
// several sockets on one address, the kernel must distribute callers over all of
// them, and no datagram may be lost.
func TestForwardersShareAnAddress(t *testing.T) {
	const callers = 64
	sink := socket(t)
	first, err := link.ListenShared(loopback)
	if err != nil {
		t.Fatal(err)
	}
	second, err := link.ListenShared(first.Addr())
	if err != nil {
		t.Fatal(err)
	}
	v, _ := newTestView(1, 12, nil)
	var view atomic.Pointer[View]
	view.Store(v)
	token := short(quiclb.NewKey(secret).Seal(quiclb.Route{Service: 1, Zone: 1, Agent: sink.Addr()}, 1))
	var w sync.WaitGroup
	var counts [2]Counters
	for i, in := range []*link.Socket{first, second} {
		f := &forwarder{id: 1, in: in, link: socket(t), view: &view, count: &counts[i]}
		w.Go(func() { f.run() })
	}
	for range callers {
		if _, err := socket(t).WriteToUDPAddrPort(token, first.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	b := make([]byte, 2048)
	for range callers {
		sink.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := sink.Read(b); err != nil || n != link.HeaderSize+len(token) {
			t.Fatalf("read %d bytes, err = %v", n, err)
		}
	}
	first.Close()
	second.Close()
	w.Wait()
	if counts[0].Forwarded.Load() == 0 || counts[1].Forwarded.Load() == 0 {
		t.Errorf("forwarded %d and %d datagrams, want both above 0", counts[0].Forwarded.Load(), counts[1].Forwarded.Load())
	}
}
