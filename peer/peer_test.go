package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quic-go/quic-go/http3"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

func member(role fleet.Role, host byte, zone bundle.ZoneID, incarnation fleet.Incarnation) fleet.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(zone), host}), 7001)
	m := fleet.Member{ID: fleet.NewID(role, a), Role: role, Zone: zone, Link: a, Peer: netip.AddrPortFrom(a.Addr(), 7002), Incarnation: incarnation, Phase: fleet.PhaseReady}
	if role == fleet.RoleAgent {
		m.Service = 1
	}
	return m
}

func startServer(t *testing.T, r keyring.Ring) (*Server, *fleet.State) {
	t.Helper()
	i, err := NewIdentity(r)
	if err != nil {
		t.Fatal(err)
	}
	s := fleet.NewState(nil)
	v, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), i, s, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- v.Run() }()
	t.Cleanup(func() { v.Close(); <-done })
	return v, s
}

// An attacker without a fleet key announces a member in order to attract callers'
// flows. Its TLS handshake must fail, while a process that holds any of the keys
// in force must be able to announce a member.
func TestAnnounceRequiresAFleetKey(t *testing.T) {
	old, next, foreign := keyring.NewSecret(1), keyring.NewSecret(2), keyring.NewSecret(1)
	v, s := startServer(t, keyring.Ring{next, old})
	for name, x := range map[string]struct {
		ring keyring.Ring
		ok   bool
	}{"the current key": {keyring.Ring{next}, true}, "the old key": {keyring.Ring{old}, true}, "a foreign key": {keyring.Ring{foreign}, false}} {
		t.Run(name, func(t *testing.T) {
			i, err := NewIdentity(x.ring)
			if err != nil {
				t.Fatal(err)
			}
			c := NewClient(i)
			defer c.Close()
			m := member(fleet.RoleAgent, byte(len(name)), 1, 1)
			err = c.Announce(t.Context(), v.Addr(), fleet.Change{Members: []fleet.Member{m}})
			if _, known := s.Member(m.ID); (err == nil) != x.ok || known != x.ok {
				t.Errorf("err = %v, member accepted: %t", err, known)
			}
		})
	}
}

// An attacker without a fleet key skips the verification of the server. The
// server's own check of the client certificate must reject it.
func TestServerRejectsClientWithoutFleetKey(t *testing.T) {
	v, s := startServer(t, keyring.Ring{keyring.NewSecret(1)})
	i, err := NewIdentity(keyring.Ring{keyring.NewSecret(1)})
	if err != nil {
		t.Fatal(err)
	}
	c := i.ClientTLS()
	c.VerifyPeerCertificate = nil
	tr := &http3.Transport{TLSClientConfig: c}
	defer tr.Close()
	b, _ := json.Marshal(fleet.Change{Members: []fleet.Member{member(fleet.RoleAgent, 1, 1, 1)}})
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+v.Addr().String()+pathAnnounce, bytes.NewReader(b))
	if a, err := tr.RoundTrip(r); err == nil {
		a.Body.Close()
		t.Errorf("unauthenticated client got a response with status %d", a.StatusCode)
	}
	if ms, _ := s.Snapshot(); len(ms) != 0 {
		t.Errorf("member of an unauthenticated client was accepted: %v", ms)
	}
}

// Operators rotate the fleet key and retire the old one. A process that kept
// presenting the key from its start would be rejected by all peers.
func TestClientPresentsTheCurrentKey(t *testing.T) {
	old, next := keyring.NewSecret(1), keyring.NewSecret(2)
	i, err := NewIdentity(keyring.Ring{old, next})
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient(i)
	defer c.Close()
	if err := i.SetKeys(keyring.Ring{next}); err != nil {
		t.Fatal(err)
	}
	v, _ := startServer(t, keyring.Ring{next})
	if err := c.Announce(t.Context(), v.Addr(), fleet.Change{}); err != nil {
		t.Errorf("announce after the key rotation: %v", err)
	}
}

func TestFollowWaitsForAndReturnsChange(t *testing.T) {
	r := keyring.Ring{keyring.NewSecret(1)}
	v, s := startServer(t, r)
	i, _ := NewIdentity(r)
	c := NewClient(i)
	defer c.Close()
	s.Merge(fleet.Change{Members: []fleet.Member{member(fleet.RoleAgent, 1, 1, 1)}})
	first, err := c.Follow(t.Context(), v.Addr(), Position{}, nil, time.Second)
	if err != nil || len(first.Members) != 1 {
		t.Fatalf("Follow returned %+v, err %v", first, err)
	}
	got := make(chan fleet.Change, 1)
	go func() {
		x, err := c.Follow(t.Context(), v.Addr(), Position{first.Epoch, first.Revision}, nil, 10*time.Second)
		if err != nil {
			t.Error(err)
		}
		got <- x
	}()
	for n := byte(0); n < 200; n++ { // enough for a compressed response
		s.Merge(fleet.Change{Members: []fleet.Member{member(fleet.RoleAgent, n, 2, 1)}})
	}
	if x := <-got; len(x.Members) == 0 || x.Members[0].Zone != 2 {
		t.Errorf("follow returned %d members, or a member of another zone", len(x.Members))
	}
}

// testNode returns a node that calls the platform directly, without a network.
func testNode(p *standin.Platform, self fleet.Member) *Node {
	c := &platform.Client{URL: "http://platform", HTTP: &http.Client{Transport: standin.HandlerTransport{Handler: p}}}
	return NewNode(fleet.NewState(nil), nil, c, nil, self)
}

func stored(t *testing.T, n *Node) (fleet.Member, error) {
	t.Helper()
	o, err := n.Platform.Get(t.Context(), platform.KindMember, string(n.Self().ID))
	var m fleet.Member
	if err == nil {
		err = json.Unmarshal(o.Spec, &m)
	}
	return m, err
}

// An agent's VM is paused for minutes just before a write. Meanwhile a new
// incarnation starts at its address. After the pause the conditional write must
// fail, or an outdated record would replace a live one.
func TestPausedProcessDoesNotOverwriteNewIncarnation(t *testing.T) {
	p := &standin.Platform{}
	old := testNode(p, member(fleet.RoleAgent, 1, 1, 1))
	if err := old.write(t.Context()); err != nil {
		t.Fatal(err)
	}
	next := testNode(p, member(fleet.RoleAgent, 1, 1, 2))
	for next.write(t.Context()) != nil { // finds the old incarnation's object and replaces it
	}
	old.SetPhase(fleet.PhaseLeaving)
	if err := old.write(t.Context()); err != nil {
		t.Errorf("the old incarnation keeps retrying its write: %v", err)
	}
	if m, err := stored(t, next); err != nil || m.Incarnation != 2 || m.Phase != fleet.PhaseReady {
		t.Errorf("record stored in the platform: %+v, err %v", m, err)
	}
	old.Leave()
	if _, err := stored(t, next); err != nil {
		t.Errorf("the old incarnation removed the new one's record: %v", err)
	}
}

// A paused process is considered failed and its record is removed, but no new
// incarnation starts. When the process continues, its record must be restored.
func TestRecordIsRestoredAfterWrongRemoval(t *testing.T) {
	p := &standin.Platform{}
	n := testNode(p, member(fleet.RoleAgent, 1, 1, 1))
	if err := n.write(t.Context()); err != nil {
		t.Fatal(err)
	}
	o, _ := n.Platform.Get(t.Context(), platform.KindMember, string(n.Self().ID))
	if err := n.Platform.Delete(t.Context(), platform.KindMember, o.Meta.Name, o.Meta.Revision); err != nil {
		t.Fatal(err)
	}
	x, err := n.Platform.Watch(t.Context(), platform.KindMember, o.Meta.Revision, 0)
	if err != nil || len(x.Events) != 1 || !x.Events[0].Removed {
		t.Fatalf("watch returned %+v, err %v", x, err)
	}
	n.mergeEvents(platform.KindMember, x.Events) // the node receives its own removal
	for n.write(t.Context()) != nil {
	}
	if m, err := stored(t, n); err != nil || m.Phase != fleet.PhaseReady || !m.Newer(&fleet.Member{Incarnation: 1}) {
		t.Errorf("record stored in the platform: %+v, err %v", m, err)
	}
}

// The response to a write is lost after the write took effect. Retrying with the
// old condition, without reading the object back, would always fail.
func TestWriteIsReadBackAfterLostResponse(t *testing.T) {
	p := &standin.Platform{}
	n := testNode(p, member(fleet.RoleAgent, 1, 1, 1))
	p.SetFaults(standin.Faults{LoseAnswers: 1})
	if err := n.write(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.SetPhase(fleet.PhaseLeaving)
	if err := n.write(t.Context()); err != nil {
		t.Fatal(err)
	}
	if m, err := stored(t, n); err != nil || m.Phase != fleet.PhaseLeaving {
		t.Errorf("record stored in the platform: %+v, err %v", m, err)
	}
}

// The platform is down for an hour and the processes keep retrying. Without backoff
// and jitter their calls would overload the platform as soon as it recovers.
func TestFewCallsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &standin.Platform{}
		p.SetFaults(standin.Faults{Outage: true})
		n := testNode(p, member(fleet.RoleBalancer, 1, 1, 1))
		n.Client = nil
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			var w sync.WaitGroup
			for _, k := range watchedKinds {
				w.Go(func() { n.watch(ctx, k) })
			}
			w.Wait()
			close(done)
		}()
		go n.publish(ctx)
		time.Sleep(time.Hour)
		c := p.Counts()
		if rate := float64(c.Reads+c.Writes) / 3600; rate > 0.5 {
			t.Errorf("%.2f calls per second during the outage", rate)
		}
		p.SetFaults(standin.Faults{})
		time.Sleep(time.Minute)
		if _, err := stored(t, n); err != nil {
			t.Errorf("record not stored a minute after the outage: %v", err)
		}
		if n.PlatformDown() {
			t.Error("node still reports the platform as down")
		}
		stop()
		<-done
		synctest.Wait()
	})
}

func TestRelayCountGrowsWithZoneSize(t *testing.T) {
	for name, x := range map[string]struct{ agents, want int }{"small": {10, 2}, "large": {300, 7}} {
		t.Run(name, func(t *testing.T) {
			var ms []fleet.Member
			for z := range 4 {
				for h := range 10 {
					ms = append(ms, member(fleet.RoleBalancer, byte(h+1), bundle.ZoneID(z+1), 1))
				}
				for i := range x.agents {
					m := member(fleet.RoleAgent, byte(i), bundle.ZoneID(z+1), 1)
					m.Link = netip.AddrPortFrom(m.Link.Addr(), uint16(8000+i))
					m.ID = fleet.NewID(m.Role, m.Link)
					ms = append(ms, m)
				}
			}
			found := 0
			for _, m := range ms {
				if m.Role != fleet.RoleBalancer {
					continue
				}
				n := testNode(&standin.Platform{}, m)
				n.State.Merge(fleet.Change{Members: ms})
				k := n.sources()
				relay, peers := k.relay, k.peers
				if relay {
					found++
				}
				if len(peers) == 0 || !relay && peers[0].Addr().As4()[2] != byte(m.Zone) {
					t.Errorf("%s has the sources %v, want a relay of its own zone first", m.ID, peers)
				}
			}
			if found != 4*x.want {
				t.Errorf("wrong number of relays in 4 zones: %d", found)
			}
		})
	}
}

func TestClientDistinguishesErrors(t *testing.T) {
	p := &standin.Platform{}
	c := &platform.Client{URL: "http://platform", HTTP: &http.Client{Transport: standin.HandlerTransport{Handler: p}}}
	o, err := c.Create(t.Context(), "k", "n", 1)
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		f    standin.Faults
		call func() error
		want error
	}{
		"object exists":         {standin.Faults{}, func() error { _, err := c.Create(t.Context(), "k", "n", 2); return err }, platform.ErrConflict},
		"outdated revision":     {standin.Faults{}, func() error { _, err := c.Update(t.Context(), "k", "n", 2, o.Meta.Revision+9); return err }, platform.ErrConflict},
		"object does not exist": {standin.Faults{}, func() error { _, err := c.Get(t.Context(), "k", "x"); return err }, platform.ErrNotFound},
		"outage":                {standin.Faults{Outage: true}, func() error { _, err := c.Get(t.Context(), "k", "n"); return err }, platform.ErrDown},
		"response lost":         {standin.Faults{LoseAnswers: 1}, func() error { _, err := c.Create(t.Context(), "k", "m", 2); return err }, platform.ErrOutcomeUnknown},
		"value too large":       {standin.Faults{}, func() error { _, err := c.Create(t.Context(), "k", "b", make([]byte, platform.MaxValue)); return err }, platform.ErrInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			p.SetFaults(x.f)
			if err := x.call(); !errors.Is(err, x.want) {
				t.Errorf("err = %v, want %v", err, x.want)
			}
			p.SetFaults(standin.Faults{})
		})
	}
}
