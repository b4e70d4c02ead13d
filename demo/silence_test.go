package demo

import (
	"context"
	"net"
	"testing"
	"time"

	"pomeloway.example/pomeloway/guard"
)

// startFeed opens a flow with a feed of so many lines, ten a second; the channel
// gets how it ended.
func startFeed(t *testing.T, s *Site, rec *recorder, lines int) (*flow, <-chan error) {
	t.Helper()
	f, err := openFlow(t.Context(), s, rec, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	done := make(chan error, 1)
	go func() { done <- f.feed(t.Context(), "teacher", lines, 100*time.Millisecond) }()
	return f, done
}

// silence drops what the caller sends, what comes back to it, or both.
func silence(t *testing.T, f *flow, in, out bool) {
	t.Helper()
	from := f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
	if !f.s.Fabric.Silence(f.s.ServiceAddress(f.service), from, in, out) {
		t.Fatal("the fabric does not know the caller")
	}
}

// Something between caller and fabric forgets the flow: datagrams vanish in both
// directions, for good, while new flows work. The teacher's screen goes on by
// moving the flow to a new port, and the agent must follow.
func TestSilentPathIsLeftByMigration(t *testing.T) {
	for name, x := range map[string]struct{ in, out bool }{"both ways": {true, true}, "towards the caller": {false, true}, "from the caller": {true, false}} {
		t.Run(name, func(t *testing.T) {
			s, rec := startSite(t, "agency", guard.Off{})
			f, done := startFeed(t, s, rec, 80)
			time.Sleep(time.Second)
			silence(t, f, x.in, x.out)
			time.Sleep(2 * time.Second)
			if err := f.move(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := <-done; err != nil {
				t.Errorf("the feed broke: %v", err)
			}
		})
	}
}

// The same, but the caller can't move. Both ends must find out within ten
// seconds and let go: the caller to open a new flow, the agent to free what the
// flow held.
func TestSilentPathIsFoundInSeconds(t *testing.T) {
	s, rec := startSite(t, "agency", guard.Off{})
	f, done := startFeed(t, s, rec, 1000)
	time.Sleep(time.Second)
	silence(t, f, true, true)
	start := time.Now()
	if err := <-done; err == nil {
		t.Error("a feed that was cut ended as whole")
	}
	limit, stop := context.WithTimeout(t.Context(), 10*time.Second-time.Since(start))
	defer stop()
	if poll(limit, func() bool { return s.feeds() == 0 && s.flows() == 0 }) != nil {
		t.Errorf("after 10 s: %d feeds at upstreams, %d flows at agents", s.feeds(), s.flows())
	}
}
