package node

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// Guards against balancers without a configuration that wait for their rounds while one has
// it. The second balancer can reach neither store nor seeds, so that only the offer is left.
func TestFirstConfigurationIsPassedOn(t *testing.T) {
	s := newSite(t)
	first, err := NewBalancer(s.options(balancerIP), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.run(first)()
	configured := func(b *Balancer) datagram.Version {
		v := make(chan datagram.Version, 1)
		b.loop.do(t.Context(), func(time.Duration) { v <- b.balancer.Configured() })
		return <-v
	}
	s.eventually("configuration of the store", func() bool { return configured(first) == 3 })
	o := s.options("127.0.0.12")
	second, err := NewBalancer(o, nil)
	if err != nil {
		t.Fatal(err)
	}
	second.store.current.Store(platform.NewClient("http://127.0.0.13:1", ""))
	seedless := *second.settings
	seedless.Seeds, seedless.Store = nil, "http://127.0.0.13:1"
	second.live.Store(&seedless)
	defer s.run(second)()
	if v := configured(second); v != 0 {
		t.Fatalf("version %d without store, seeds or offer", v)
	}
	second.loop.do(t.Context(), func(time.Duration) { second.balancer.Behind(first.self(), 3) })
	s.eventually("configuration of the other balancer", func() bool { return configured(second) == 3 })
}

// mustCatchUp has a balancer with an old configuration, which the store does not answer
// and which has the seeds, told of a newer one by another, and waits until it has it.
func mustCatchUp(t *testing.T, seeds func([]netip.AddrPort) []netip.AddrPort) {
	t.Helper()
	s := newSite(t)
	first, err := NewBalancer(s.options(balancerIP), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.run(first)()
	second, err := NewBalancer(s.options("127.0.0.12"), nil)
	if err != nil {
		t.Fatal(err)
	}
	second.store.current.Store(platform.NewClient("http://127.0.0.13:1", ""))
	live := *second.settings
	live.Store, live.Seeds = "http://127.0.0.13:1", seeds(live.Seeds)
	second.live.Store(&live)
	second.balancer.SetConfiguration(&datagram.Configuration{Version: 2})
	defer s.run(second)()
	s.eventually("the newer configuration", func() (done bool) {
		second.loop.do(t.Context(), func(time.Duration) {
			second.balancer.Behind(first.self(), 3)
			done = second.balancer.Configured() == 3
		})
		return done
	})
}

// Guards against rounds that never come, as each word of others begins the wait anew.
func TestWordsOfOthersDoNotHoldUpARound(t *testing.T) {
	mustCatchUp(t, func(s []netip.AddrPort) []netip.AddrPort { return s })
}

// Guards against a configuration that comes late to a balancer whose watch missed it, as
// it asks others in their order, of which many do not answer, and not the one that told
// of it.
func TestHolderOfANewerConfigurationIsAsked(t *testing.T) {
	mustCatchUp(t, func([]netip.AddrPort) []netip.AddrPort {
		return slices.Repeat([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.13:1")}, 1000)
	})
}
