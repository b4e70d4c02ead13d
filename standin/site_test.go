package standin

import (
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"pomeloway.example/pomeloway/platform"
)

// Guards against stand-ins that speak another protocol than the programs.
func TestPlatformReadsWhatStandInsWrite(t *testing.T) {
	h := Heartbeat{
		Service: "letters", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 3, Draining: true, Sequence: 4, Born: 5, Cold: 2 * time.Second,
	}
	a, err := platform.DecodeHeartbeat("i", h.Encode())
	if err != nil || !a.Draining || a.Slots != 3 || a.Sequence != 4 || a.Born != 5 || a.Cold != 2*time.Second {
		t.Errorf("heartbeat decoded as %+v, %v", a, err)
	}
	b, err := json.Marshal(Configuration(7, []Route{
		{netip.MustParseAddrPort("198.18.0.1:443"), "letters", 1, 400 * time.Millisecond},
		{netip.MustParseAddrPort("198.18.0.1:444"), "letters", 0, 300 * time.Millisecond},
	}, map[string]float64{"letters": 9}))
	if err != nil {
		t.Fatal(err)
	}
	c, err := platform.DecodeConfiguration(b)
	if err != nil || c.Version != 7 || len(c.Routes) != 2 || len(c.Services) != 1 {
		t.Fatalf("configuration decoded as %+v, %v", c, err)
	}
	for e, r := range c.Routes {
		if r.Urgent != (e.Port == 444) || r.TargetLatency == 0 {
			t.Errorf("route %v decoded as %+v", e, r)
		}
	}
	for path, want := range map[string]platform.Kind{objectsPath + "config": "config", objectsPath + "config/main": "", "/x": ""} {
		if k := ListedKind(httptest.NewRequest("GET", path, nil)); k != want {
			t.Errorf("%s lists %q, want %q", path, k, want)
		}
	}
}
