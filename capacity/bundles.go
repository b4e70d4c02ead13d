package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"aead.dev/minisign"

	"pomeloway.example/pomeloway/balancer"
	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/peer"
)

// Sizes of the fleet that pomeloway is designed for.
const (
	Nodes            = 400
	Upstreams        = 2400
	ServiceAddresses = 870
	Zones            = 8
	Changes          = 830 // per day
)

// BundleText returns the text of a valid bundle with the given number of services.
func BundleText(services int, k keyring.Secret) []byte {
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, `  - id: %d
    name: service-%d
    address: 10.%d.%d.1:443
    protocol: h3
    upstreams: {slots: 6, connections: 8000, coldStart: {slots: 1, answers: 5}, answersCarryID: true}
    routes:
      - {prefix: /feed, holds: connection}
`, i+1, i+1, i>>8, i&255)
	}
	b.WriteString("zones:\n")
	for z := range Zones {
		fmt.Fprintf(&b, "  - {id: %d, name: zone-%d, state: in}\n", z+1, z+1)
	}
	fmt.Fprintf(&b, "keys:\n  - {id: %d, fingerprint: %s}\ncurrentKey: %d\n", k.ID(), k.Fingerprint(), k.ID())
	return []byte(b.String())
}

// AgentMember returns the i-th agent of a fleet with the given number of services.
func AgentMember(i, services int) fleet.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)}), 7001)
	return fleet.Member{
		ID: fleet.NewID(fleet.RoleAgent, a), Role: fleet.RoleAgent, Zone: bundle.ZoneID(i%Zones + 1),
		Service: bundle.ServiceID(i%services + 1), Link: a, Peer: netip.AddrPortFrom(a.Addr(), 7002),
		Operator: a.Addr().String() + ":7003", Incarnation: fleet.NewIncarnation(), Phase: fleet.PhaseReady,
	}
}

// medianSeconds returns the median time of several runs of f, in seconds.
func medianSeconds(f func()) float64 {
	const runs = 9
	var t []float64
	for range runs {
		start := time.Now()
		f()
		t = append(t, time.Since(start).Seconds())
	}
	return median(t)
}

// MeasureBundles measures bundles with the given numbers of services: their size and the
// time to verify and decode them.
func MeasureBundles(sizes []int) ([]Slope, error) {
	k := keyring.NewSecret(1)
	key, v, err := bundle.NewOperatorKey()
	if err != nil {
		return nil, err
	}
	var size, compressed, change, verify []Point
	for _, n := range sizes {
		text := BundleText(n, k)
		s, err := bundle.Sign(text, bundle.Stamp{Version: 1}, key)
		if err != nil {
			return nil, err
		}
		wire, err := json.Marshal(s)
		if err != nil {
			return nil, err
		}
		at := func(v float64) Point { return Point{float64(n), v} }
		size = append(size, at(float64(len(wire))))
		whole, err := peer.WireSize(fleet.Change{Bundle: &s}, "")
		if err != nil {
			return nil, err
		}
		compressed = append(compressed, at(float64(whole)))
		one, err := changeSize(text, key)
		if err != nil {
			return nil, err
		}
		change = append(change, at(float64(one)))
		verify = append(verify, at(medianSeconds(func() { _, err = v.Verify(s) })))
		if err != nil {
			return nil, err
		}
	}
	return []Slope{
		NewSlope("bundle on the wire", "service", "B", size),
		NewSlope("bundle compressed", "service", "B", compressed),
		NewSlope("bundle changed in one service", "service", "B", change),
		NewSlope("bundle verified and decoded", "service", "s", verify),
	}, nil
}

// changeSize returns how many bytes it takes to send a bundle that differs from
// the text in one service to a process that has the text.
func changeSize(text []byte, key minisign.PrivateKey) (int, error) {
	next := bytes.Replace(text, []byte("slots: 6"), []byte("slots: 7"), 1)
	s, err := bundle.Sign(next, bundle.Stamp{Version: 2, Parent: bundle.DigestOf(text)}, key)
	if err != nil {
		return 0, err
	}
	return peer.WireSize(fleet.Change{Bundle: &s}, string(text))
}

// MeasureViews measures the view of fleets with the given numbers of members: its size in
// memory and on the wire, and the time to merge and build it.
func MeasureViews(sizes []int, services int) ([]Slope, error) {
	k := keyring.NewSecret(1)
	b, err := bundle.Decode(BundleText(services, k))
	if err != nil {
		return nil, err
	}
	a := &bundle.Accepted{Bundle: b}
	var heap, wire, merge, build []Point
	for _, n := range sizes {
		var ms []fleet.Member
		for i := range n {
			ms = append(ms, AgentMember(i, services))
		}
		at := func(v float64) Point { return Point{float64(n), v} }
		before := memoryInUse()
		s := fleet.NewState(nil)
		s.Merge(fleet.Change{Members: ms})
		heap = append(heap, at(memoryInUse()-before))
		j, err := json.Marshal(s.Since(0, 0, 0))
		if err != nil {
			return nil, err
		}
		wire = append(wire, at(float64(len(j))))
		merge = append(merge, at(medianSeconds(func() { fleet.NewState(nil).Merge(fleet.Change{Members: ms}) })))
		build = append(build, at(medianSeconds(func() {
			ms, _ := s.Snapshot()
			balancer.NewView(a, keyring.Ring{k}, ms, s.Doubted())
		})))
	}
	return []Slope{
		NewSlope("view in memory", "member", "B", heap),
		NewSlope("view on the wire", "member", "B", wire),
		NewSlope("view merged", "member", "s", merge),
		NewSlope("balancer's view made", "member", "s", build),
	}, nil
}
