package datagram

import "testing"

// Guards against processes that distribute a route's flows differently, and against flows
// for a service of weight 0.
func TestRouteDistributesFlowsByWeight(t *testing.T) {
	r := Route{Shares: []Share{{1, 90}, {2, 10}, {3, 0}}}
	got := map[ServiceKey]int{}
	for i := range uint16(10_000) {
		f := Flow{Caller: Endpoint{IP(i) << 3, i}, Address: Endpoint{9, 443}}
		s, ok := r.pickService(f.hash())
		again, _ := r.pickService(f.hash())
		if !ok || s != again {
			t.Fatalf("flow %d: service %v, then %v", i, s, again)
		}
		got[s]++
	}
	if got[1] < 8_800 || got[1] > 9_200 || got[3] != 0 {
		t.Errorf("flows per service: %v, want about 9000, about 1000 and none", got)
	}
	if _, ok := (Route{Shares: []Share{{1, 0}}}).pickService(7); ok {
		t.Error("a route whose services have no weight chooses one")
	}
}

// Guards against a store read that is answered late and restores an older configuration.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := &Balancer{}
	b.Start()
	for v := range Version(3) {
		b.SetConfiguration(&Configuration{Version: v + 1})
	}
	if b.SetConfiguration(&Configuration{Version: 2}) || b.ConfigurationVersion() != 3 {
		t.Error("an older configuration replaced version 3")
	}
}
