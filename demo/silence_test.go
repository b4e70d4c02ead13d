package demo

import (
	"context"
	"net"
	"testing"
	"time"

	"pomeloway.example/pomeloway/guard"
)

// startFeed opens a flow and reads a feed of the given number of lines, ten per
// second. The channel receives the result of the feed.
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

// dropDatagrams makes the fabric drop the datagrams from the flow's caller (in),
// those towards it (out), or both.
func dropDatagrams(t *testing.T, f *flow, in, out bool) {
	t.Helper()
	from := f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
	if !f.s.Fabric.Silence(f.s.ServiceAddress(f.service), from, in, out) {
		t.Fatal("the fabric does not know the caller")
	}
}

// Guards against a feed that breaks when the network between caller and fabric
// drops all datagrams of its flow, in one or both directions, while new flows
// work. The caller migrates the flow to a new port, and the agent must follow.
func TestFlowMigratesOffSilentPath(t *testing.T) {
	for name, x := range map[string]struct{ in, out bool }{"both ways": {true, true}, "towards the caller": {false, true}, "from the caller": {true, false}} {
		t.Run(name, func(t *testing.T) {
			s, rec := startSite(t, "agency", guard.Off{})
			f, done := startFeed(t, s, rec, 80)
			time.Sleep(time.Second)
			dropDatagrams(t, f, x.in, x.out)
			time.Sleep(2 * time.Second)
			if err := f.migrate(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := <-done; err != nil {
				t.Errorf("the feed broke: %v", err)
			}
		})
	}
}

// Guards against flows that stay open on a silent path when the caller can't
// migrate. Both ends must close the flow within ten seconds: the caller to open a
// new one, the agent to free its resources.
func TestSilentPathIsDetectedInSeconds(t *testing.T) {
	s, rec := startSite(t, "agency", guard.Off{})
	f, done := startFeed(t, s, rec, 1000)
	time.Sleep(time.Second)
	dropDatagrams(t, f, true, true)
	start := time.Now()
	if err := <-done; err == nil {
		t.Error("the feed on a silent path ended without an error")
	}
	limit, stop := context.WithTimeout(t.Context(), 10*time.Second-time.Since(start))
	defer stop()
	if poll(limit, func() bool { return s.feedCount() == 0 && s.flowCount() == 0 }) != nil {
		t.Errorf("still open after 10 s: %d feeds at upstreams, %d flows at agents", s.feedCount(), s.flowCount())
	}
}
