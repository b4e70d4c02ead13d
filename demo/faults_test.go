package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/standin"
)

// runDuring runs callers while f applies faults to the site, and returns the report.
func runDuring(t *testing.T, s *Site, rec *recorder, callers int, f func(ctx context.Context)) *Report {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var w sync.WaitGroup
	w.Go(func() { runCallers(ctx, s, rec, callers/callerDivisor, 1) })
	time.Sleep(time.Second)
	f(ctx)
	stop()
	w.Wait()
	r := rec.finish(time.Time{}, time.Time{})
	s.addCounters(&r, &script{})
	r.checkInvariants()
	t.Logf("flows %d, broken %d, given up %d, answered %d, refused %d, unknown %d, causes %v",
		r.FlowsOpened, r.BrokenFlows, r.FlowsGivenUpWithZone, r.RequestsAnswered, r.RequestsRefused, r.RequestsUnknown, r.Causes)
	return &r
}

// requireInvariants fails the test for each violated invariant.
func requireInvariants(t *testing.T, r *Report) {
	t.Helper()
	for _, b := range r.Broken {
		t.Error(b)
	}
}

// Guards against requests that are cut when VMs are replaced. Two upstreams drain
// shortly after each other while callers read feeds, upload and order; one of them
// reports that it drains before its agent does. All started requests must finish,
// and a draining upstream must get no new work after 3 s.
func TestDrainInterruptsNoRequest(t *testing.T) {
	for _, name := range []string{"agency", "saltbush"} {
		t.Run(name, func(t *testing.T) {
			s, rec := startSite(t, name, guard.Off{})
			var drained []*upstreamVM
			var at []time.Time
			r := runDuring(t, s, rec, 40, func(ctx context.Context) {
				for i := range 2 {
					u := s.RunningUpstreams()[0]
					drained, at = append(drained, u), append(at, time.Now())
					if i == 1 {
						u.Drain(true) // the upstream reports it before its agent is stopped
						time.Sleep(1500 * time.Millisecond)
					}
					go s.StopUpstream(u)
					time.Sleep(500 * time.Millisecond)
					s.AddUpstream(0, u.zone)
				}
				time.Sleep(4 * time.Second)
			})
			requireInvariants(t, r)
			for i, u := range drained {
				if d := time.Unix(0, u.LastWork.Load()).Sub(at[i]); d > 3*time.Second {
					t.Errorf("draining upstream %d got new work after %v", i, d)
				}
			}
			if r.RequestsUnknown > 0 {
				t.Errorf("%d requests had an unknown outcome in a planned stop", r.RequestsUnknown)
			}
		})
	}
}

// Guards against overload of upstreams that become cold without warning; their load
// endpoints report meaningless numbers. Two upstreams turn cold, twice, and shed the
// requests beyond their capacity. Callers must see no error, and after a second
// neither upstream may get more requests than it can handle.
func TestUnwarnedColdStart(t *testing.T) {
	s, rec := startSite(t, "saltbush", guard.Off{})
	r := runDuring(t, s, rec, 60, func(ctx context.Context) {
		for range 2 {
			for _, u := range s.RunningUpstreams()[:2] {
				u.TurnCold()
			}
			time.Sleep(2500 * time.Millisecond)
		}
	})
	requireInvariants(t, r)
	t.Logf("%d requests exceeded the cold capacity before the agents could know of it", r.OverColdUnwarned)
}

// Guards against a zone that is still served after operators took it out. The
// platform answers slowly, and the path from the fabric to one caller drops all
// datagrams. The zone's upstreams must stop working within 3 s, flows in other
// zones must not break, and the zone's return must break nothing.
func TestZoneIsTakenOutAndReturned(t *testing.T) {
	s, rec := startSite(t, "saltbush", guard.Off{})
	s.Platform.SetFaults(standin.Faults{Delay: 200 * time.Millisecond})
	var last time.Duration
	r := runDuring(t, s, rec, 60, func(ctx context.Context) {
		x := &script{s: s, rec: rec}
		muted := openFlowInZone(ctx, t, s, outZone)
		defer muted.close()
		dropDatagrams(t, muted, false, true)
		if err := x.zoneOut(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2500 * time.Millisecond)
		dropDatagrams(t, muted, false, false)
		requireReset(t, muted)
		time.Sleep(time.Until(x.zoneOutAt.Add(3 * time.Second)))
		for _, u := range s.RunningUpstreams() {
			if u.zone == outZone {
				last = max(last, time.Unix(0, max(u.LastWork.Load(), u.LastSent.Load())).Sub(x.zoneOutAt))
			}
		}
		if err := x.zoneIn(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	})
	requireInvariants(t, r)
	t.Logf("last work in the zone %v after it was taken out", last)
	if last > 3*time.Second {
		t.Errorf("the zone was still served %v after it was taken out", last)
	}
	if r.FlowsGivenUpWithZone == 0 {
		t.Error("no flow was closed with the zone, so it was not taken out")
	}
}

// openFlowInZone opens flows until one reaches an agent in the zone.
func openFlowInZone(ctx context.Context, t *testing.T, s *Site, z bundle.ZoneID) *flow {
	t.Helper()
	for range 200 {
		f, err := openFlow(ctx, s, newRecorder(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if bundle.ZoneID(f.zone.Load()) == z {
			return f
		}
		f.close()
	}
	t.Fatal("none of 200 flows reached the zone")
	return nil
}

// requireReset waits until the flow ends and fails the test unless a stateless
// reset ended it. The only datagram that closed the flow was lost, and the agent
// sends no other. The balancers must reset the flow at the caller's next datagram;
// otherwise the caller gets no data until its idle timeout.
func requireReset(t *testing.T, f *flow) {
	t.Helper()
	start := time.Now()
	select {
	case <-f.conn.Context().Done():
	case <-time.After(callerIdleTimeout + time.Second):
		t.Fatal("the flow is still open after the idle timeout")
	}
	if err := context.Cause(f.conn.Context()); !wasReset(err) {
		t.Errorf("the flow ended after %v with %v, want a stateless reset", time.Since(start), err)
	}
	t.Logf("the flow was reset %v after its path was restored", time.Since(start))
}

// Guards against new processes that depend on the platform. During an outage of
// the platform, a new balancer and a new agent must serve callers with the bundle
// that they get from their peers. After the outage the processes must not send
// the platform a burst of calls.
func TestNewProcessesServeDuringPlatformOutage(t *testing.T) {
	s, rec := startSite(t, "agency", guard.Off{})
	r := runDuring(t, s, rec, 40, func(ctx context.Context) {
		s.Platform.SetFaults(standin.Faults{Outage: true})
		time.Sleep(500 * time.Millisecond)
		b, err := s.AddBalancer(1)
		if err != nil {
			t.Fatal(err)
		}
		u, err := s.AddUpstream(0, 2)
		if err != nil {
			t.Fatal(err)
		}
		limit, stop := context.WithTimeout(ctx, 20*time.Second)
		defer stop()
		// Open flows one after another until one reaches the new agent.
		if poll(limit, func() bool { return b.Status().Ready && servesNewFlow(ctx, s, u) }) != nil {
			t.Errorf("new balancer ready: %t; no flow reached the new agent", b.Status().Ready)
		}
		s.SyncFabric()
		before := s.Platform.Counts()
		s.Platform.SetFaults(standin.Faults{})
		time.Sleep(3 * time.Second)
		after := s.Platform.Counts()
		if n := after.Reads + after.Writes - before.Reads - before.Writes; n > 60 {
			t.Errorf("%d calls to the platform in the 3 s after the outage, from %d processes", n, len(s.RunningUpstreams())+len(s.Balancers()))
		}
	})
	requireInvariants(t, r)
}

// servesNewFlow opens a flow and reports whether it reached the agent of u and got
// an answer there.
func servesNewFlow(ctx context.Context, s *Site, u *upstreamVM) bool {
	f := openFlowAt(ctx, s, u)
	if f == nil {
		return false
	}
	defer f.close()
	r, err := f.do(ctx, http.MethodGet, "/screen?caller=x", nil, "")
	return err == nil && r.status == http.StatusOK
}

// openFlowAt opens a flow and returns it if it reached the agent of u, else nil.
func openFlowAt(ctx context.Context, s *Site, u *upstreamVM) *flow {
	f, err := openFlow(ctx, s, newRecorder(), u.service)
	if err != nil {
		return nil
	}
	if agentID := f.agentID.Load(); agentID == nil || *agentID != string(u.agent.Node.Self().ID) {
		f.close()
		return nil
	}
	return f
}

// Guards against an agent that accepts the flows and idempotency keys of an earlier
// agent at its address. An upstream's VM is killed and another starts at the same
// address. A request on an old flow must fail within 5 s, and a repeated order
// must not run again but get an unknown outcome.
func TestReplacementRejectsFlowsAndKeysOfKilledAgent(t *testing.T) {
	s, rec := startSite(t, "agency", guard.Off{})
	var f *flow
	for f == nil || f.agentID.Load() == nil {
		var err error
		if f, err = openFlow(t.Context(), s, rec, 0); err != nil {
			t.Fatal(err)
		}
		defer f.close()
		f.do(t.Context(), http.MethodGet, "/screen?caller=x", nil, "")
	}
	c := &caller{s: s, rec: rec, rand: rand.New(rand.NewPCG(1, 1)), name: "buyer"}
	key, err := c.requestKey(t.Context(), f)
	if err != nil || key == "" {
		t.Fatalf("request for a key: %q, %v", key, err)
	}
	if r, err := f.do(t.Context(), http.MethodPost, "/order?caller=buyer", []byte("oats"), key); err != nil || r.status != http.StatusOK {
		t.Fatalf("%+v, %v", r, err)
	}
	old := s.upstreamOf(*f.agentID.Load())
	s.KillUpstream(old)
	if _, err := s.startUpstream(old.service, old.zone, old.opts.Link.Addr()); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if _, err := f.do(t.Context(), http.MethodGet, "/screen?caller=x", nil, ""); err == nil {
		t.Error("a request on a flow of the killed agent was answered")
	} else if d := time.Since(start); d > 5*time.Second {
		t.Errorf("the request failed only after %v: %v", d, err)
	}
	r := sendOrderAgain(t, s, rec, key)
	if r.outcome != agent.OutcomeUnknown || s.Ledger.Runs("oats") != 1 {
		t.Errorf("status %d, outcome %q, runs %d: %s", r.status, r.outcome, s.Ledger.Runs("oats"), r.body)
	}
}

// sendOrderAgain sends the order "oats" again on a new flow.
func sendOrderAgain(t *testing.T, s *Site, rec *recorder, key string) *result {
	t.Helper()
	f, err := openFlow(t.Context(), s, rec, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	r, err := f.do(t.Context(), http.MethodPost, "/order?caller=buyer", []byte("oats"), key)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a report that misses failures: with each guard switched off, the
// report must show the failure that the guard prevents.
func TestReportShowsDisabledGuard(t *testing.T) {
	for name, shows := range map[guard.Name]func(*Report) bool{
		guard.Journal: func(r *Report) bool { return r.RunTwice > 0 },
		guard.Slots:   func(r *Report) bool { return r.OverSlots+r.OverCold > 0 },
		guard.Token:   func(r *Report) bool { return r.BrokenFlows+r.FlowsFailedToOpen > 0 },
		guard.Drain:   func(r *Report) bool { return r.NewWorkAfterLeaving > maxNewWorkSeconds || r.BrokenFlows > 0 },
		guard.Zone:    func(r *Report) bool { return r.ZoneOutSeconds > maxZoneOutSeconds },
	} {
		t.Run(string(name), func(t *testing.T) {
			s, rec := startSite(t, "agency", guard.Without(name))
			var x *script
			runDuring(t, s, rec, 40, func(ctx context.Context) {
				x = &script{s: s, rec: rec}
				if name == guard.Drain {
					requestAfterDrain(ctx, t, s, x)
				} else {
					x.drain(ctx)
					time.Sleep(4 * time.Second)
				}
				if name == guard.Zone {
					f := openFlowInZone(ctx, t, s, outZone)
					defer f.close()
					go requestRepeatedly(ctx, f)
					x.zoneOut(ctx)
					time.Sleep(time.Duration(maxZoneOutSeconds+1) * time.Second)
					x.measureZoneOut()
				}
			})
			rep := rec.finish(time.Time{}, time.Time{})
			s.addCounters(&rep, x)
			if !shows(&rep) {
				t.Errorf("the report does not show the missing guard: %+v", rep)
			}
		})
	}
}

// requestRepeatedly sends one request after another on a flow, so that its upstream
// always has work.
func requestRepeatedly(ctx context.Context, f *flow) {
	for ctx.Err() == nil {
		if _, err := f.do(ctx, http.MethodGet, "/screen?caller=x", nil, ""); err != nil {
			return
		}
		clock.Sleep(ctx, maxThinkTime)
	}
}

// requestAfterDrain drains an upstream and sends it a request on an existing flow
// 3.5 s later.
func requestAfterDrain(ctx context.Context, t *testing.T, s *Site, x *script) {
	limit, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	var f *flow
	if poll(limit, func() bool { f = openFlowAt(limit, s, s.RunningUpstreams()[0]); return f != nil }) != nil {
		t.Fatal("no flow reached the upstream that is to drain")
	}
	defer f.close()
	x.drain(ctx)
	time.Sleep(3500 * time.Millisecond)
	f.do(ctx, http.MethodGet, "/screen?caller=x", nil, "")
	time.Sleep(500 * time.Millisecond)
}

// Guards against faults that are tolerated alone but not together. Pairs of faults
// are drawn at random by the seed; a pair may be the same fault twice.
func TestPairsOfFaults(t *testing.T) {
	faults := []struct {
		name string
		do   func(*script, context.Context) error
	}{
		{"balancer crashes", (*script).killBalancer}, {"balancer joins", (*script).joinBalancer},
		{"upstream drains", (*script).drain}, {"upstream turns cold", (*script).turnCold},
		{"upstreams swap answers", (*script).swapAnswers}, {"platform goes down", (*script).platformDown},
	}
	r := rand.New(rand.NewPCG(7, uint64(sizeFromEnv(t, "POMELOWAY_SEED", 1))))
	for range sizeFromEnv(t, "POMELOWAY_PAIRS", 3) {
		a, b := faults[r.IntN(len(faults))], faults[r.IntN(len(faults))]
		t.Run(a.name+" and "+b.name, func(t *testing.T) {
			s, rec := startSite(t, "saltbush", guard.Off{})
			rep := runDuring(t, s, rec, 40, func(ctx context.Context) {
				x := &script{s: s, rec: rec}
				for _, f := range []func(*script, context.Context) error{a.do, b.do} {
					if err := f(x, ctx); err != nil {
						t.Error(err)
					}
				}
				time.Sleep(3 * time.Second)
			})
			requireInvariants(t, rep)
		})
	}
}

// Guards against a flow that breaks at an oversized header. A request with a header
// of 80 kB must get status 431 and must not run, and the next request on the flow
// must be answered.
func TestOversizedHeaderIsRefused(t *testing.T) {
	s, rec := startSite(t, "agency", guard.Off{})
	f, err := openFlow(t.Context(), s, rec, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	r, err := f.do(t.Context(), http.MethodPost, "/order?caller=x&long="+strings.Repeat("x", 80<<10), []byte("oats"), "")
	if err != nil || r.status != http.StatusRequestHeaderFieldsTooLarge || s.Ledger.Runs("oats") != 0 {
		t.Errorf("%+v, %v, runs %d", r, err, s.Ledger.Runs("oats"))
	}
	if r, err := f.do(t.Context(), http.MethodGet, "/screen?caller=x", nil, ""); err != nil || r.status != http.StatusOK {
		t.Errorf("next request on the flow: %+v, %v", r, err)
	}
}
