package node

import (
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// newStoreAgent returns an agent that calls the store and has no sockets. Its loop runs until
// the test ends.
func newStoreAgent(t *testing.T, s *store) *Agent {
	x := &platform.Settings{IP: netip.MustParseAddr("10.0.0.1"), Zone: "a", Service: "letters"}
	a := &Agent{base: &base{role: platform.RoleAgent, settings: x}, loop: newLoop(), store: s, ctx: t.Context(), agent: &datagram.Agent{}}
	a.agent.Start()
	go a.loop.run(t.Context(), a)
	return a
}

// Guards against records of ended upstreams that stay in the store, against the removal of
// another process's record, and against calls that only repeat what the agent knows.
func TestAgentRemovesItsRecords(t *testing.T) {
	const name = "agent-10.0.0.1"
	other := platform.Process{Address: "10.0.0.1", Role: platform.RoleAgent, Zone: "b", Service: "scans"}
	for caseName, x := range map[string]struct {
		drains  bool
		restart bool // the agent is restarted before its upstream ends
		// replace replaces the agent's record by one of a new VM at its address.
		replace bool
		outage  bool   // the store is down while the agent starts, and back when it ends
		calls   uint64 // calls from the start to the end; 0: not checked
		kept    bool   // a record is left
	}{
		"ends":                               {calls: 2},
		"drains and ends":                    {drains: true, calls: 4},
		"restarted, then ends":               {restart: true, calls: 4},
		"drains, restarted, then ends":       {drains: true, restart: true, calls: 6},
		"replaced":                           {replace: true, calls: 2, kept: true},
		"started without store, record left": {restart: true, outage: true, calls: 0},
	} {
		t.Run(caseName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &standin.Platform{}
				s := testStore(p)
				a := newStoreAgent(t, s)
				a.writeRecord()
				if x.drains {
					a.recordDraining()
				}
				if x.restart {
					a = newStoreAgent(t, s)
					if x.outage {
						p.SetFaults(standin.Faults{Outage: true})
						go a.writeRecord()
						time.Sleep(50 * time.Millisecond)
						p.SetFaults(standin.Faults{})
					} else {
						a.writeRecord()
					}
				}
				n := p.Counts()
				if x.replace {
					o, err := s.client().Get(t.Context(), platform.KindProcess, name)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := s.client().Update(t.Context(), platform.KindProcess, name, other, o.Meta.Revision); err != nil {
						t.Fatal(err)
					}
				}
				replaced := p.Counts()
				a.removeRecords(t.Context())
				got := n.Reads + n.Writes + p.Counts().Reads + p.Counts().Writes - replaced.Reads - replaced.Writes
				if x.calls != 0 && got != x.calls {
					t.Errorf("%d calls, want %d", got, x.calls)
				}
				for _, k := range []platform.Kind{platform.KindProcess, platform.KindDraining} {
					_, err := s.client().Get(t.Context(), k, name)
					if kept := k == platform.KindProcess && x.kept; errors.Is(err, platform.ErrNotFound) == kept {
						t.Errorf("kind %s: error %v, want a record: %t", k, err, kept)
					}
				}
			})
		})
	}
}
