package agent

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/idempotency"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/upstream"
)

// world is a service's agents with their upstreams, joined in memory, so that a
// run takes no real time. The request layer is the real one; faults are drawn
// by seed on the wires to the upstreams and between the agents.
type world struct {
	off    guard.Off
	agents []*front
	// calm is a world in which nothing fails.
	calm bool

	mu   sync.Mutex
	rand *rand.Rand
	runs map[string]int
	held *crossed
}

// crossed is an answer that waits to be given to another request.
type crossed struct {
	id, order string
	met       chan crossed
}

func (w *world) dice(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calm {
		return n - 1
	}
	return w.rand.IntN(n)
}

const worldAgents = 3

func newWorld(seed uint64, off guard.Off) *world {
	w := &world{off: off, rand: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
	for i := range worldAgents {
		w.agents = append(w.agents, w.start(i, 1))
	}
	w.introduce()
	return w
}

func worldAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7002)
}

func worldMember(i int, life fleet.Incarnation) fleet.Member {
	a := netip.AddrPortFrom(worldAddr(i).Addr(), 7001)
	return fleet.Member{ID: fleet.NewID(fleet.RoleAgent, a), Role: fleet.RoleAgent, Zone: 1, Service: 1, Link: a, Peer: worldAddr(i), Incarnation: life, Phase: fleet.PhaseReady}
}

// start begins a life of the i-th agent.
func (w *world) start(i int, life fleet.Incarnation) *front {
	m := worldMember(i, life)
	d := &dispatcher{
		gate: &upstream.Gate{}, client: upstream.NewClientOver(worldAddr(i), wireUp{w}),
		siblings: &siblings{service: 1, self: m.ID}, peers: wirePeers{w}, life: life,
		guards: w.off, counts: &RequestCounts{},
	}
	d.client.CheckID.Store(!w.off.Has(guard.Match))
	s := &bundle.Service{ID: 1, Upstreams: bundle.Limits{Slots: 3, Connections: 10, ColdStart: bundle.ColdStart{Slots: 3, Answers: 1}, ShedStatus: 503}}
	d.service.Store(s)
	t := bundle.Timeouts{}.OrDefault()
	d.timeouts.Store(&t)
	d.gate.Limit(s.Upstreams)
	f := &front{dispatcher: d, zone: 1}
	f.orders = &orders{d: d, home: m.Peer, life: life, state: fleet.NewState(nil)}
	f.orders.sealer.Store(idempotency.NewSealer(keyring.Ring{secret}))
	return f
}

// introduce tells every agent of the others.
func (w *world) introduce() {
	var ms []fleet.Member
	for i, f := range w.agents {
		m := worldMember(i, f.life)
		if f.leaving.Load() {
			m.Phase = fleet.PhaseLeaving
		}
		ms = append(ms, m)
	}
	for _, f := range w.agents {
		f.siblings.set(ms, nil, &bundle.Bundle{Zones: []bundle.Zone{{ID: 1, State: bundle.ZoneStateIn}}})
	}
}

// restart ends an agent's life and begins the next at the same address.
func (w *world) restart(i int) {
	w.mu.Lock()
	life := w.agents[i].life + 1
	w.mu.Unlock()
	f := w.start(i, life)
	w.mu.Lock()
	w.agents[i] = f
	w.mu.Unlock()
	w.introduce()
}

func (w *world) agent(i int) *front {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[i]
}

var errWire = errors.New("connection was cut")

// wireUp is the way to an upstream that runs orders.
type wireUp struct{ w *world }

// RoundTrip runs the order, or fails before, in between or after.
func (u wireUp) RoundTrip(r *http.Request) (*http.Response, error) {
	fate := u.w.dice(20)
	if fate == 0 {
		return nil, &net.OpError{Op: "dial", Err: errWire}
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Duration(u.w.dice(30)) * time.Millisecond)
	id := r.Header.Get(upstream.HeaderRequest)
	switch fate {
	case 1:
		return nil, errWire // it never ran, and nobody can know
	case 2:
		return response(http.StatusServiceUnavailable, id, "shed"), nil
	}
	u.w.mu.Lock()
	u.w.runs[string(b)]++
	u.w.mu.Unlock()
	switch fate {
	case 3:
		return nil, errWire // it ran, and nobody can know
	case 4, 5:
		x := u.w.cross(crossed{id: id, order: string(b)})
		return response(http.StatusOK, x.id, x.order), nil
	}
	return response(http.StatusOK, id, string(b)), nil
}

// cross exchanges an answer with the next one that is to be crossed.
func (w *world) cross(c crossed) crossed {
	w.mu.Lock()
	if o := w.held; o != nil {
		w.held = nil
		w.mu.Unlock()
		o.met <- c
		return *o
	}
	c.met = make(chan crossed, 1)
	w.held = &c
	w.mu.Unlock()
	select {
	case o := <-c.met:
		return o
	case <-time.After(20 * time.Millisecond):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held == &c {
		w.held = nil
		return c
	}
	return <-c.met
}

func response(status int, id, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{upstream.HeaderRequest: {id}}, Body: io.NopCloser(strings.NewReader(body))}
}

// inFlight is how much of a body leaves before a refusal comes back.
const inFlight = 2 * replayMost

// wirePeers is the way between agents.
type wirePeers struct{ w *world }

// RoundTrip calls the other agent, or fails before or after it ran.
func (p wirePeers) RoundTrip(r *http.Request) (*http.Response, error) {
	fate := p.w.dice(20)
	if fate == 0 {
		return nil, &net.OpError{Op: "dial", Err: errWire}
	}
	for i := range worldAgents {
		if worldAddr(i).String() != r.URL.Host {
			continue
		}
		// A real connection carries the body's beginning before the answer.
		c := r.Clone(r.Context())
		if r.Body != nil {
			head, err := io.ReadAll(io.LimitReader(r.Body, inFlight))
			if err != nil {
				return nil, err
			}
			c.Body = io.NopCloser(io.MultiReader(bytes.NewReader(head), r.Body))
		}
		rec := httptest.NewRecorder()
		p.w.agent(i).peerHandler().ServeHTTP(rec, c)
		if fate == 1 {
			return nil, errWire // the answer is lost
		}
		return rec.Result(), nil
	}
	return nil, &net.OpError{Op: "dial", Err: errWire}
}

// told is what a caller heard of one sending of its order.
type told struct {
	outcome Outcome // empty for an answer
	body    string
}

// orderModel is one order under one key: it has run or not. A sending that is
// answered has run it, once; "not run" is only true while it has not; after
// "unknown" both are possible.
var orderModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		ran := state.(int)
		if n, ok := output.(int); ok { // the ledger at the end
			if n == ran {
				return []any{ran}
			}
			return nil
		}
		switch o := output.(told); {
		case o.outcome == "":
			return []any{1}
		case o.outcome == OutcomeNotRun && ran == 0:
			return []any{0}
		case o.outcome == OutcomeNotRun:
			return nil
		}
		if ran == 1 {
			return []any{1}
		}
		return []any{0, 1}
	},
	Equal: func(a, b any) bool { return a == b },
}

// send places the order at an agent and returns what the caller heard.
func (w *world) send(ctx context.Context, i int, order, key string) told {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/order", strings.NewReader(order))
	r.Header.Set(idempotency.Header, key)
	rec := httptest.NewRecorder()
	w.agent(i).ServeHTTP(rec, r)
	return told{Outcome(rec.Header().Get(HeaderOutcome)), rec.Body.String()}
}

func (w *world) key(i int) string {
	f := w.agent(i)
	o := f.orders
	return o.sealer.Load().Seal(idempotency.Key{Home: o.home, Life: o.life, Service: 1, Expires: time.Now().Add(time.Minute), Nonce: idempotency.NewNonce()})
}

// play runs callers and faults, and returns why the history can't be, if so.
func play(ctx context.Context, seed uint64, off guard.Off) error {
	w := newWorld(seed, off)
	start := time.Now()
	var mu sync.Mutex
	var wrong []error
	var g sync.WaitGroup
	for c := range 4 {
		g.Go(func() {
			for n := range 3 {
				if err := w.order(ctx, fmt.Sprintf("order-%d-%d", c, n), start); err != nil {
					mu.Lock()
					wrong = append(wrong, err)
					mu.Unlock()
				}
			}
		})
	}
	g.Go(func() { w.faults() })
	g.Wait()
	return errors.Join(wrong...)
}

// faults restarts and drains agents while callers order.
func (w *world) faults() {
	for range 4 {
		time.Sleep(time.Duration(w.dice(60)) * time.Millisecond)
		i := w.dice(worldAgents)
		if w.dice(2) == 0 {
			w.restart(i)
			continue
		}
		f := w.agent(i)
		f.leaving.Store(!f.leaving.Load())
		w.introduce()
	}
}

// order places one order, some of its sendings at once, until it is answered or
// enough were tried, and checks the history of what was told.
func (w *world) order(ctx context.Context, id string, start time.Time) error {
	key := w.key(w.dice(worldAgents))
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wrong error
	note := func(call time.Duration, out any) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: id, Call: int64(call), Output: out, Return: int64(time.Since(start))})
		if o, ok := out.(told); ok && o.outcome == "" && o.body != id {
			wrong = fmt.Errorf("%s got the answer of %q", id, o.body)
		}
	}
	for range 3 {
		var g sync.WaitGroup
		for range 1 + w.dice(2) {
			i := w.dice(worldAgents)
			g.Go(func() {
				call := time.Since(start)
				note(call, w.send(ctx, i, id, key))
			})
		}
		g.Wait()
		time.Sleep(time.Duration(1+w.dice(20)) * time.Millisecond)
	}
	w.mu.Lock()
	runs := w.runs[id]
	w.mu.Unlock()
	note(time.Since(start), runs)
	if wrong != nil {
		return wrong
	}
	if runs > 1 {
		return fmt.Errorf("%s ran %d times: %+v", id, runs, ops)
	}
	m := orderModel.ToModel()
	if !porcupine.CheckOperations(m, ops) {
		return fmt.Errorf("%s: no history explains what was told: %+v", id, ops)
	}
	return nil
}

// histories is how many runs are checked; POMELOWAY_HISTORIES asks for more.
func histories(t *testing.T) uint64 {
	n, err := strconv.ParseUint(cmp.Or(os.Getenv("POMELOWAY_HISTORIES"), "1000"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Clerks and buyers send orders while agents restart at their addresses, drain
// and come back, upstreams refuse, shed, cut and cross their answers, and calls
// between agents are lost before or after they took effect. Whatever is told
// must be true: each order runs once at most, "not run" is so, and an answer is
// the order's own.
func TestHistoriesOfOrdersAreExplained(t *testing.T) {
	for seed := range histories(t) {
		synctest.Test(t, func(t *testing.T) {
			if err := play(t.Context(), seed, guard.Off{}); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		})
	}
}

// The checker must find each planted fault, or its silence above says nothing.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for name, what := range map[guard.Name]string{
		guard.Retry:   "an unknown outcome is sent again",
		guard.Life:    "a home forgets its incarnation",
		guard.Match:   "answers go to whoever's connection they came on",
		guard.Journal: "a key is accepted twice",
		guard.Home:    "another agent runs what a key's home should",
		guard.Outcome: "what is not known is told as not run",
	} {
		t.Run(string(name), func(t *testing.T) {
			const most = 300
			for seed := range uint64(most) {
				var err error
				synctest.Test(t, func(t *testing.T) { err = play(t.Context(), seed, guard.Without(name)) })
				if err != nil {
					t.Logf("%s: found in run %d", what, seed+1)
					return
				}
			}
			t.Errorf("%s: not found in %d runs", what, most)
		})
	}
}

// A clerk uploads a scan to an agent that is full; its sibling is full, too, and
// refuses after it has read a part. The scan must not be refused for that: it is
// kept whole, and sent when a slot is free.
func TestUploadIsNotSpentOnAFullSibling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, guard.Off{})
		w.calm = true
		for _, f := range w.agents {
			for range 3 {
				f.gate.TryAcquire()
			}
		}
		time.AfterFunc(time.Second, func() { w.agents[0].gate.Release(upstream.Sign{}) })
		scan := strings.Repeat("x", 4*replayMost)
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/upload", strings.NewReader(scan))
		rec := httptest.NewRecorder()
		w.agents[0].ServeHTTP(rec, r)
		if rec.Code != http.StatusOK || rec.Body.Len() != len(scan) {
			t.Errorf("status %d: %.200s", rec.Code, rec.Body)
		}
	})
}

// An upstream dies while a teacher's screen is read from it. Reading it again
// elsewhere harms nobody, so the screen must come; an order, which may have run,
// must not be sent again, and nothing may be when the retries are spent.
func TestOnlyReadingIsRepeatedAfterAnUnknownOutcome(t *testing.T) {
	for name, x := range map[string]struct {
		method string
		spent  bool
		status int
		tries  int
	}{
		"a screen":                      {http.MethodGet, false, http.StatusOK, 2},
		"an order without a key":        {http.MethodPost, false, http.StatusBadGateway, 1},
		"an update":                     {http.MethodPut, false, http.StatusBadGateway, 1},
		"a screen, all retries spent":   {http.MethodGet, true, http.StatusBadGateway, 1},
		"what an upstream may not know": {"PROPFIND", false, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, guard.Off{})
				w.calm = true
				dies := &dyingUp{}
				w.agents[0].client = upstream.NewClientOver(worldAddr(0), dies)
				for range 200 {
					w.agents[0].retries.earn()
				}
				for x.spent && w.agents[0].retries.spend() {
				}
				rec := httptest.NewRecorder()
				w.agents[0].ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), x.method, "/screen", nil))
				if tries := dies.asked + int(w.agents[1].counts.Placed.Load()+w.agents[2].counts.Placed.Load()); rec.Code != x.status || tries != x.tries {
					t.Errorf("status %d after %d tries: %s", rec.Code, tries, rec.Body)
				}
			})
		})
	}
}

// dyingUp is the way to an upstream that dies with each request it has read.
type dyingUp struct{ asked int }

// RoundTrip reads the request and fails.
func (u *dyingUp) RoundTrip(r *http.Request) (*http.Response, error) {
	u.asked++
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	return nil, errWire
}

// A clerk picks a film in place of a scan. The service takes bodies of 64 kB: the
// film must be refused with the reason, at once if its length is said, and its
// upstream must not be held for broken because of it.
func TestBodiesOverTheLimitAreRefused(t *testing.T) {
	const most = 64 << 10
	for name, x := range map[string]struct {
		length  int
		said    bool
		status  int
		outcome Outcome
	}{
		"as long as allowed, said":   {most, true, http.StatusOK, ""},
		"as long as allowed, unsaid": {most, false, http.StatusOK, ""},
		"longer, said":               {most + 1, true, http.StatusRequestEntityTooLarge, OutcomeNotRun},
		"longer, unsaid":             {most + 1, false, http.StatusRequestEntityTooLarge, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, guard.Off{})
				w.calm = true
				f := w.agents[0]
				s := *f.service.Load()
				s.Upstreams.Body = most
				f.service.Store(&s)
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/upload", strings.NewReader(strings.Repeat("x", x.length)))
				if !x.said {
					r.ContentLength = -1
				}
				rec := httptest.NewRecorder()
				f.ServeHTTP(rec, r)
				if rec.Code != x.status || Outcome(rec.Header().Get(HeaderOutcome)) != x.outcome {
					t.Errorf("status %d, outcome %q: %.200s", rec.Code, rec.Header().Get(HeaderOutcome), rec.Body)
				}
				if l := f.gate.Load(); l.Slots != 3 || l.Running != 0 {
					t.Errorf("the upstream is held for cold, or a slot is lost: %+v", l)
				}
			})
		})
	}
}

// A feed was passed to a sibling in another zone, which goes out. The flow ends at
// an agent whose zone is in, so nothing closes it, and the zone's upstream sent on
// (seen after 3.2 s). It must be ended, and nothing more be taken, until the zone
// is back.
func TestWhatWasPassedToAZoneEndsWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, guard.Off{})
		w.calm = true
		f := w.agents[0]
		f.client = upstream.NewClientOver(worldAddr(0), endlessUp{})
		ask := func(passed string) (rec *httptest.ResponseRecorder) {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/feed", nil)
			r.Header.Set(headerPassed, passed)
			r.Header.Set(headerService, "1")
			rec = httptest.NewRecorder()
			defer func() {
				if recover() == http.ErrAbortHandler {
					rec.Code = 0 // cut, as its reader sees it
				}
			}()
			f.peerHandler().ServeHTTP(rec, r)
			return rec
		}
		var out atomic.Bool
		done := make(chan int)
		go func() { done <- ask(passedWork).Code }()
		synctest.Wait()
		start := time.Now()
		out.Store(true)
		f.outside.follow(&out)
		if code := <-done; code != 0 || time.Since(start) > time.Second {
			t.Errorf("the feed ended after %v with status %d; it must be cut at once", time.Since(start), code)
		}
		for passed, want := range map[string]Outcome{passedWork: OutcomeNotRun, passedHome: OutcomeUnknown} {
			if got := ask(passed).Header().Get(HeaderOutcome); Outcome(got) != want {
				t.Errorf("%s to a zone that is out: outcome %q, want %q", passed, got, want)
			}
		}
		out.Store(false)
		f.outside.follow(&out)
		go func() { done <- ask(passedWork).Code }()
		synctest.Wait()
		select {
		case code := <-done:
			t.Errorf("after the zone's return a feed ended with status %d", code)
		default:
		}
		out.Store(true)
		f.outside.follow(&out)
		<-done
	})
}

// endlessUp is the way to an upstream that answers and never ends.
type endlessUp struct{}

// RoundTrip returns an answer whose body ends with the request's context.
func (endlessUp) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	a := response(http.StatusOK, r.Header.Get(upstream.HeaderRequest), "")
	in, out := io.Pipe()
	context.AfterFunc(r.Context(), func() { out.CloseWithError(r.Context().Err()) })
	a.Body = in
	return a, nil
}
