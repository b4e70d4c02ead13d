package agent

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"time"

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
