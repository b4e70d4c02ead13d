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

// relay is the baseline: the same sockets and batches, and no decision. It sends
// every datagram to one address, with the header's room before it left as it is,
// so that both write as many bytes.
func relay(in, out *link.Socket, to netip.AddrPort, done *atomic.Uint64) error {
	b := link.NewBatch(batchSize)
	for {
		n, err := b.Read(in.Batched)
		if err != nil {
			return err
		}
		for i := range n {
			b.SendWithHeader(i, to)
		}
		b.Flush(out.Batched)
		done.Add(uint64(n))
	}
}

// threadTime is the processor time of the calling thread.
func threadTime() time.Duration {
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// flood sends the datagram to the address until it is told to stop.
func flood(tb testing.TB, to netip.AddrPort, p []byte, stop *atomic.Bool, w *sync.WaitGroup) {
	s := socket(tb)
	q := link.NewQueue(batchSize)
	w.Go(func() {
		for !stop.Load() {
			for range batchSize {
				q.Send(p, to)
			}
			q.Flush(s.Batched)
		}
	})
}

// saturate runs the forwarding under a flood and reports the processor time of
// its thread for each datagram. That is the figure that a core's datagrams a
// second follow from; the flood's own cost is not in it.
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
	v, ms := newTestView(1, 12, nil)
	sink := socket(b)
	token := short(quiclb.NewKey(secret).Seal(quiclb.Route{Service: 1, Zone: 1, Agent: sink.Addr()}, 1))
	_ = ms
	b.Run("relay", func(b *testing.B) {
		in, out := socket(b), socket(b)
		saturate(b, in, token, func(done *atomic.Uint64) error { return relay(in, out, sink.Addr(), done) })
	})
	b.Run("balancer", func(b *testing.B) {
		in, out := socket(b), socket(b)
		var view atomic.Pointer[View]
		view.Store(v)
		c := &Counters{}
		f := &forwarder{port: &port{id: 1, socket: in}, link: out, view: &view, log: events.NewLog(nil), count: c}
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
