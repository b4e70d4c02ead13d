package node

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// Guards against a balancer without a configuration that waits for its next sync round
// although another balancer offers one. The second balancer can reach neither the store nor
// seeds, so it can get the configuration only from the offer.
func TestFirstConfigurationIsPassedOn(t *testing.T) {
	s := newSite(t)
	first, err := NewBalancer(s.options(balancerIP), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.run(first)()
	configured := func(b *Balancer) datagram.Version {
		v := make(chan datagram.Version, 1)
		b.loop.do(t.Context(), func(time.Duration) { v <- b.balancer.ConfigurationVersion() })
		return <-v
	}
	s.eventually("configuration from the store", func() bool { return configured(first) == 3 })
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
		t.Fatalf("the balancer has version %d without store, seeds or offer", v)
	}
	second.loop.do(t.Context(), func(time.Duration) { second.balancer.OnNewerConfiguration(first.self(), 3) })
	s.eventually("configuration from the other balancer", func() bool { return configured(second) == 3 })
}

// requireCatchUp runs a balancer that has an old configuration, the given seeds and no
// store. It repeatedly reports a newer configuration of another balancer to it, and fails
// the test unless the balancer obtains that configuration.
func requireCatchUp(t *testing.T, seeds func([]netip.AddrPort) []netip.AddrPort) {
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
			second.balancer.OnNewerConfiguration(first.self(), 3)
			done = second.balancer.ConfigurationVersion() == 3
		})
		return done
	})
}

// Guards against rounds that never start because each report of a newer configuration
// restarts the wait for the next round.
func TestVersionReportsDoNotDelaySyncRounds(t *testing.T) {
	requireCatchUp(t, func(s []netip.AddrPort) []netip.AddrPort { return s })
}

// Guards against a balancer that receives a configuration late after its watch missed it.
// This happens if it asks its peers in turn, many of which don't answer, instead of the one
// that reported the configuration.
func TestSyncAsksHolderOfNewerConfiguration(t *testing.T) {
	requireCatchUp(t, func([]netip.AddrPort) []netip.AddrPort {
		return slices.Repeat([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.13:1")}, 1000)
	})
}
