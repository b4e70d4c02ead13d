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

// cluster is a service's agents and their upstreams, connected in memory, so that a run
// takes no real time. The request handling is the real one; faults are injected at
// random, by seed, into the connections to the upstreams and between the agents.
type cluster struct {
	disabledGuards guard.Off
	agents         []*handler
	// noFaults switches all faults off.
	noFaults bool

	mu      sync.Mutex
	rand    *rand.Rand
	runs    map[string]int
	pending *swappedResponse
}

// swappedResponse is a response that waits to be swapped with that of another request.
type swappedResponse struct {
	id, order string
	partner   chan swappedResponse
}

// randomN returns a random number from 0 to n-1. With noFaults it returns n-1, which
// selects no fault.
func (w *cluster) randomN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.noFaults {
		return n - 1
	}
	return w.rand.IntN(n)
}

const clusterAgents = 3

func newCluster(seed uint64, disabledGuards guard.Off) *cluster {
	w := &cluster{disabledGuards: disabledGuards, rand: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
	for i := range clusterAgents {
		w.agents = append(w.agents, w.start(i, 1))
	}
	w.shareMembers()
	return w
}

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7002)
}

func agentMember(i int, incarnation fleet.Incarnation) fleet.Member {
	a := netip.AddrPortFrom(agentAddr(i).Addr(), 7001)
	return fleet.Member{ID: fleet.NewID(fleet.RoleAgent, a), Role: fleet.RoleAgent, Zone: 1, Service: 1, Link: a, Peer: agentAddr(i), Incarnation: incarnation, Phase: fleet.PhaseReady}
}

// start starts the i-th agent with an incarnation.
func (w *cluster) start(i int, incarnation fleet.Incarnation) *handler {
	m := agentMember(i, incarnation)
	d := &dispatcher{
		gate: &upstream.Gate{}, client: upstream.NewClientWithTransport(agentAddr(i), upstreamTransport{w}),
		siblings: &siblings{service: 1, self: m.ID}, peers: peerTransport{w}, incarnation: incarnation,
		disabledGuards: w.disabledGuards, counts: &RequestCounts{},
	}
	d.client.CheckID.Store(!w.disabledGuards.Disabled(guard.Match))
	s := &bundle.Service{ID: 1, Upstreams: bundle.Limits{Slots: 3, Connections: 10, ColdStart: bundle.ColdStart{Slots: 3, Answers: 1}, ShedStatus: 503}}
	d.service.Store(s)
	t := bundle.Timeouts{}.OrDefault()
	d.timeouts.Store(&t)
	d.gate.SetLimits(s.Upstreams)
	f := &handler{dispatcher: d, zone: 1}
	f.keyedRequests = &keyedRequests{d: d, home: m.Peer, incarnation: incarnation, state: fleet.NewState(nil)}
	f.keyedRequests.sealer.Store(idempotency.NewSealer(keyring.Ring{secret}))
	return f
}

// shareMembers updates the list of siblings of every agent.
func (w *cluster) shareMembers() {
	var ms []fleet.Member
	for i, f := range w.agents {
		m := agentMember(i, f.incarnation)
		if f.leaving.Load() {
			m.Phase = fleet.PhaseLeaving
		}
		ms = append(ms, m)
	}
	for _, f := range w.agents {
		f.siblings.set(ms, nil, &bundle.Bundle{Zones: []bundle.Zone{{ID: 1, State: bundle.ZoneStateIn}}})
	}
}

// restart replaces an agent by one with the next incarnation at the same address.
func (w *cluster) restart(i int) {
	w.mu.Lock()
	incarnation := w.agents[i].incarnation + 1
	w.mu.Unlock()
	f := w.start(i, incarnation)
	w.mu.Lock()
	w.agents[i] = f
	w.mu.Unlock()
	w.shareMembers()
}

func (w *cluster) agent(i int) *handler {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[i]
}

var errConnCut = errors.New("connection was cut off")

// upstreamTransport is the transport to an upstream that runs orders.
type upstreamTransport struct{ w *cluster }

// RoundTrip runs the order, or fails before, during or after the run.
func (u upstreamTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	fault := u.w.randomN(20)
	if fault == 0 {
		return nil, &net.OpError{Op: "dial", Err: errConnCut}
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Duration(u.w.randomN(30)) * time.Millisecond)
	id := r.Header.Get(upstream.HeaderRequest)
	switch fault {
	case 1:
		return nil, errConnCut // it did not run, but the agent can't know
	case 2:
		return newResponse(http.StatusServiceUnavailable, id, "shed"), nil
	}
	u.w.mu.Lock()
	u.w.runs[string(b)]++
	u.w.mu.Unlock()
	switch fault {
	case 3:
		return nil, errConnCut // it ran, but the agent can't know
	case 4, 5:
		x := u.w.swap(swappedResponse{id: id, order: string(b)})
		return newResponse(http.StatusOK, x.id, x.order), nil
	}
	return newResponse(http.StatusOK, id, string(b)), nil
}

// swap swaps a response with the next one that is to be swapped.
func (w *cluster) swap(c swappedResponse) swappedResponse {
	w.mu.Lock()
	if o := w.pending; o != nil {
		w.pending = nil
		w.mu.Unlock()
		o.partner <- c
		return *o
	}
	c.partner = make(chan swappedResponse, 1)
	w.pending = &c
	w.mu.Unlock()
	select {
	case o := <-c.partner:
		return o
	case <-time.After(20 * time.Millisecond):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == &c {
		w.pending = nil
		return c
	}
	return <-c.partner
}

func newResponse(status int, id, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{upstream.HeaderRequest: {id}}, Body: io.NopCloser(strings.NewReader(body))}
}

// inFlightBytes is how much of a body is sent before a refusal arrives.
const inFlightBytes = 2 * maxReplayBytes

// peerTransport is the transport between agents.
type peerTransport struct{ w *cluster }

// RoundTrip calls the other agent. It may fail before or after the request ran.
func (p peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	fault := p.w.randomN(20)
	if fault == 0 {
		return nil, &net.OpError{Op: "dial", Err: errConnCut}
	}
	for i := range clusterAgents {
		if agentAddr(i).String() != r.URL.Host {
			continue
		}
		// A real connection sends the start of the body before the response arrives.
		c := r.Clone(r.Context())
		if r.Body != nil {
			head, err := io.ReadAll(io.LimitReader(r.Body, inFlightBytes))
			if err != nil {
				return nil, err
			}
			c.Body = io.NopCloser(io.MultiReader(bytes.NewReader(head), r.Body))
		}
		rec := httptest.NewRecorder()
		p.w.agent(i).peerHandler().ServeHTTP(rec, c)
		if fault == 1 {
			return nil, errConnCut // the response is lost
		}
		return rec.Result(), nil
	}
	return nil, &net.OpError{Op: "dial", Err: errConnCut}
}
