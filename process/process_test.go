package process

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
)

func newProcess(t *testing.T, log io.Writer) (*Process, keyring.Secret) {
	t.Helper()
	k := keyring.NewSecret(1)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	p, err := New(Options{
		Zone: 1, Link: netip.MustParseAddrPort("127.0.0.1:7"), Peer: anyPort, Operator: anyPort,
		Platform: "http://127.0.0.1:1", Keys: []string{k.Reveal()}, Token: "platform-token",
	}, fleet.RoleBalancer, 0, slog.New(slog.NewJSONHandler(log, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.server.Close(); p.operator.Close(); p.metrics.Close(); p.Peers.Close() })
	return p, k
}

func get(p *Process, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

func TestOperatorEndpoints(t *testing.T) {
	p, _ := newProcess(t, io.Discard)
	p.SetProgramState(func() any {
		return struct {
			Forwarded int            `json:"forwarded"`
			Leaving   bool           `json:"leaving"`
			Load      map[string]int `json:"load"`
		}{7, true, map[string]int{"slots": 5}}
	})
	if c := get(p, "/readyz").Code; c != http.StatusServiceUnavailable {
		t.Errorf("/readyz before SetReady: status %d", c)
	}
	p.SetReady(true)
	if c := get(p, "/readyz").Code; c != http.StatusOK {
		t.Errorf("/readyz after SetReady: status %d", c)
	}
	var s Status
	if err := json.NewDecoder(get(p, "/state").Body).Decode(&s); err != nil || len(s.Members) != 1 || !s.Ready {
		t.Errorf("/state returned %+v, err %v", s, err)
	}
	p.setGauges()
	p.metrics.Close() // flushes the gauges to the reporter
	m := get(p, "/metrics").Body.String()
	for _, want := range []string{"pomeloway_ready 1", "pomeloway_balancer_forwarded 7", "pomeloway_balancer_leaving 1", "pomeloway_balancer_load_slots 5"} {
		if !strings.Contains(m, want) {
			t.Errorf("metrics do not contain %q:\n%s", want, m)
		}
	}
}

// An operator pastes a process's state, metrics or log into a ticket. If they
// contained a fleet key, any reader could forge the fleet's datagrams.
func TestOutputContainsNoSecrets(t *testing.T) {
	var log strings.Builder
	p, k := newProcess(t, &log)
	p.Log.Add(6001, slog.Any("key", k), slog.Any("ring", p.Keys()))
	_, secret, _ := strings.Cut(k.Reveal(), ":")
	_, err := keyring.Parse([]string{k.Reveal() + "x"})
	for name, text := range map[string]string{
		"state": get(p, "/state").Body.String(), "version": get(p, "/version").Body.String(),
		"metrics": get(p, "/metrics").Body.String(), "log": log.String(), "error": err.Error(),
	} {
		if strings.Contains(text, secret) || strings.Contains(text, "platform-token") {
			t.Errorf("%s contains a secret: %s", name, text)
		}
	}
	if !strings.Contains(log.String(), k.Fingerprint()) {
		t.Errorf("the log does not identify the key by its fingerprint: %s", log.String())
	}
}
