package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"pomeloway.example/pomeloway/platform"
)

// What upstreams, the platform's routers and operators say to datagram services, in the platform's
// published protocol.

// Heartbeat is what an upstream tells its agent at regular intervals.
type Heartbeat struct {
	Service  string
	Address  netip.AddrPort
	Slots    int
	Draining bool
	Sequence int64
	// Born is the start of this run of the upstream in Unix milliseconds.
	Born int64
	// Cold is how much longer the upstream is in cold start.
	Cold time.Duration
}

// Encode returns the heartbeat as the platform's protocol has it.
func (h *Heartbeat) Encode() []byte {
	state := "ready"
	if h.Draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{ // strings and numbers can't fail
		"service": h.Service, "address": h.Address.String(), "slots": h.Slots, "state": state,
		"sequence": h.Sequence, "born": h.Born, "cold-remaining-ms": max(0, h.Cold.Seconds()*1000),
	})
	return b
}

// Calls of an upstream.
const (
	CallHeartbeat  = "heartbeat"
	CallDeregister = "deregister"
)

// UpstreamURL returns the URL of a call of the upstream with the id to its agent.
func UpstreamURL(agent netip.AddrPort, id, call string) string {
	return fmt.Sprintf("http://%s/pomeloway/instances/%s/%s", agent, id, call)
}

// ReadinessURL returns the URL at which routers ask whether a balancer is ready.
func ReadinessURL(balancer netip.AddrPort) string {
	return fmt.Sprintf("http://%s/pomeloway/readiness", balancer)
}

// Route is a route of a configuration as an operator writes it.
type Route struct {
	Address       netip.AddrPort
	Service       string
	Priority      int // 0 is the most urgent
	TargetLatency time.Duration
}

// Configuration returns what an operator writes: routes, and services with the openings per second
// that their upstreams bear in cold start.
func Configuration(version int, rs []Route, coldRates map[string]float64) map[string]any {
	var routes, services []any
	for i, r := range rs {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": r.Address.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"service": r.Service, "priority": r.Priority, "target-latency-ms": r.TargetLatency.Milliseconds(),
		})
	}
	for name, rate := range coldRates {
		services = append(services, map[string]any{"name": name, "cold-per-s": rate})
	}
	return map[string]any{"version": version, "routes": routes, "services": services}
}

// ListedKind returns the kind whose objects a call lists; empty if it lists none.
func ListedKind(r *http.Request) platform.Kind {
	k, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok || strings.Contains(k, "/") {
		return ""
	}
	return platform.Kind(k)
}

// List returns the store's answer to a call that lists the objects of a kind.
func (p *Platform) List(k platform.Kind) []byte {
	a := httptest.NewRecorder()
	p.ServeHTTP(a, httptest.NewRequest(http.MethodGet, objectsPath+string(k), nil))
	return a.Body.Bytes()
}
