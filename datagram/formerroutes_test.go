package datagram

import (
	"slices"
	"testing"
	"time"
)

// routeTo is a configuration whose only route leads to the services.
func routeTo(v Version, ss ...ServiceKey) *Configuration {
	c := &Configuration{Version: v, Routes: map[Endpoint]Route{}}
	var r Route
	for _, s := range ss {
		r.Shares = append(r.Shares, Share{s, 1})
	}
	if len(ss) > 0 {
		c.Routes[testFlow(1).Address] = r
	}
	return c
}

// formerServices returns the services to which the route led before, as the balancer knows.
func formerServices(b *Balancer, now time.Duration) (out []ServiceKey) {
	b.former.expire(b.FlowLifetime, now)
	for s := range b.former[testFlow(1).Address] {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Guards against a balancer that does not know where the open flows of a route may be.
func TestFormerServicesAreRemembered(t *testing.T) {
	const now = 10 * time.Second
	for name, x := range map[string]struct {
		changes [][]ServiceKey
		after   time.Duration
		want    []ServiceKey
	}{
		"not moved":             {[][]ServiceKey{{7}, {7}}, 0, nil},
		"moved":                 {[][]ServiceKey{{7}, {8}}, 0, []ServiceKey{7}},
		"moved twice":           {[][]ServiceKey{{7}, {8}, {9}}, 0, []ServiceKey{7, 8}},
		"moved back":            {[][]ServiceKey{{7}, {8}, {7}}, 0, []ServiceKey{7, 8}},
		"a share removed":       {[][]ServiceKey{{7, 8}, {8}}, 0, []ServiceKey{7}},
		"a share added":         {[][]ServiceKey{{7}, {7, 8}}, 0, nil},
		"route removed":         {[][]ServiceKey{{7}, {}}, 0, []ServiceKey{7}},
		"removed and added":     {[][]ServiceKey{{7}, {}, {8}}, 0, []ServiceKey{7}},
		"moved, a lifetime ago": {[][]ServiceKey{{7}, {8}}, FlowLifetime(0).limit() + time.Second, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Self: testSelf, lastActive: now}
			b.Start()
			for i, ss := range x.changes {
				b.SetConfiguration(routeTo(Version(i+1), ss...))
			}
			if got := formerServices(b, now+x.after); !slices.Equal(got, x.want) {
				t.Errorf("former services %v, want %v", got, x.want)
			}
		})
	}
}

// Guards against a balancer that started after a route was moved, or while it is, and looks for open
// flows at the new service only.
func TestRestartedBalancerLearnsFormerServices(t *testing.T) {
	for name, x := range map[string]struct {
		moveFirst bool // before the other balancer starts again
		newer     bool // the other balancer starts with the new configuration
	}{
		"started after the change":             {true, true},
		"started before this one applies it":   {false, true},
		"started before the change as a whole": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFlowSite(t, 0)
			move := func() { s.balancers[101].SetConfiguration(routeTo(2, 99)) }
			if x.moveFirst {
				move()
			}
			s.startBalancer(102, 0)
			if x.newer {
				s.balancers[102].config = routeTo(2, 99)
			}
			s.run(50 * time.Millisecond)
			if !x.moveFirst {
				move()
				s.balancers[102].SetConfiguration(routeTo(2, 99))
			}
			s.run(50 * time.Millisecond)
			if got := formerServices(s.balancers[102], s.now); !slices.Equal(got, []ServiceKey{flowSiteRoute}) {
				t.Errorf("the restarted balancer knows the former services %v", got)
			}
		})
	}
}

// Guards against flows of a moved route that are not looked for at its former service when their
// agent and their homes have been restarted, and against packets to a service where it never led.
func TestLookupAsksAgentsOfFormerServices(t *testing.T) {
	now := 10 * time.Second
	b, s := testBalancer(t, 1, now-200*time.Millisecond)
	b.agents.byIP[1].status.KnowsAll = false
	for ip, service := range map[IP]ServiceKey{9: 8, 10: 55} {
		b.agents.applyStatus(ip, AgentStatus{Life: Life(ip), Sequence: 1, Service: service, State: UpstreamReady, Homes: b.homes.digest}, now)
	}
	b.SetConfiguration(routeTo(2, 8))
	b.HandleCaller(plainPacket(plainData, 5), now)
	for i := 0; i < len(s.askedAgents()); i++ {
		deny(b, s.askedAgents()[i], 5, 0, now)
	}
	got := slices.Sorted(slices.Values(s.askedAgents()))
	if !slices.Equal(got, []IP{1, 9}) || s.caller != 0 {
		t.Errorf("asked %v, %d resets, want the agents of both services and no reset", got, s.caller)
	}
}

// Guards against a balancer that is told of former routes by the whole of a large fleet when it
// starts.
func TestFewBalancersTellFormerRoutes(t *testing.T) {
	const now, fleet = 10 * time.Second, 400
	senders := 0
	for self := range IP(fleet) {
		s := newRecorder(t)
		b := &Balancer{Self: self + 1, Format: plainFormat{}, Out: s, Keys: testKeys(t), lastActive: now}
		b.Start()
		for ip := range IP(fleet) {
			if b.discoverPeer(ip+1, now) {
				b.peers[ip+1].lastSeen = now
			}
		}
		b.former.add(testFlow(1).Address, 7, now)
		b.sendFormerRoutes(1000, now)
		senders += len(s.process)
	}
	if senders != formerRoutesSenders {
		t.Errorf("told by %d of %d balancers, want %d", senders, fleet, formerRoutesSenders)
	}
}

// Guards against a configuration that moves many routes and costs each restarted balancer much.
func TestFormerRoutesAreBounded(t *testing.T) {
	const now = time.Minute
	var x formerRoutes
	for i := range 2 * maxFormerRoutes {
		x.add(Endpoint{IP(i), 443}, 7, now-time.Duration(i)*time.Millisecond)
	}
	x.expire(0, now)
	if n := len(x.list(now)); n != maxFormerRoutes || x[Endpoint{0, 443}] == nil {
		t.Errorf("%d former routes kept, want the latest %d", n, maxFormerRoutes)
	}
	known := map[formerRoute]bool{}
	for l := range Life(3) {
		rs, ok := decodeFormerRoutes(x.append(nil, l+1, now))
		if !ok || len(rs) != maxFormerRoutesSent {
			t.Fatalf("%d former routes in a message", len(rs))
		}
		for _, r := range rs {
			known[r] = true
		}
	}
	if len(known) < 2*maxFormerRoutesSent {
		t.Errorf("three balancers send the same %d of %d former routes", len(known), maxFormerRoutes)
	}
}

// BenchmarkFormerRoutes reports the memory per former route.
func BenchmarkFormerRoutes(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(heapOf(maxFormerRoutes, func() any {
			var x formerRoutes
			for i := range maxFormerRoutes {
				x.add(Endpoint{IP(i), 443}, 7, time.Minute)
			}
			return x
		}), "B/route")
	}
}

func FuzzFormerRoutes(f *testing.F) {
	f.Add(make([]byte, formerRouteLen))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, p []byte) {
		b := &Balancer{Self: testSelf}
		b.Start()
		b.handleFormerRoutes(p, time.Second)
		for _, r := range b.former.list(time.Second) {
			if r.Age.Duration() > b.FlowLifetime.limit() {
				t.Errorf("a route is kept that led there %v ago", r.Age.Duration())
			}
		}
	})
}
