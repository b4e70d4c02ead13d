// This file decides where each datagram goes. A decision is a pure function of
// the datagram, the address it came in on and an immutable View; it takes no
// lock and allocates nothing. An established flow costs one AES block, whatever
// the number of flows and upstreams; an opening costs one multiplication chain
// for each upstream of its service. Given up: any memory of flows, and with it
// every choice that would need one.

package balancer

import (
	"net/netip"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/quiclb"
)

// candidates is how many agents an opening may try.
const candidates = 3

// View is everything that decisions depend on. It never changes; a new one
// takes its place.
type View struct {
	Version bundle.Version
	tokens  quiclb.Keys
	links   link.Keys
	// services are indexed by id, since a look-up by hash took a quarter of an
	// opening's time in a large fleet.
	services []*service
	zoneOut  [256]bool
	// resetFrom is when, in Unix seconds, the agents of a zone that is out have
	// closed their flows, so that what callers still send is answered by a reset.
	// Zero means never.
	resetFrom [256]uint32
	resets    resetKeys
	off       guard.Off
}

type service struct {
	// usable come first for openings, doubted only when those are too few.
	usable, doubted []candidate
}

type candidate struct {
	hash uint64
	addr netip.AddrPort
}

// NewView returns the view of a bundle, the fleet's members and doubts.
func NewView(a *bundle.Accepted, r keyring.Ring, ms []fleet.Member, doubts map[fleet.MemberID]bool) *View {
	v := &View{
		Version: a.Version,
		tokens:  quiclb.NewKeys(r),
		links:   link.NewKeys(r),
		resets:  newResetKeys(r),
	}
	for i := range v.zoneOut {
		v.zoneOut[i] = true
	}
	for _, z := range a.Bundle.Zones {
		v.zoneOut[z.ID] = z.State == bundle.ZoneStateOut
	}
	for i := range a.Bundle.Services {
		s := &a.Bundle.Services[i]
		for len(v.services) <= int(s.ID) {
			v.services = append(v.services, nil)
		}
		v.services[s.ID] = &service{}
	}
	for i := range ms {
		v.add(&ms[i], doubts[ms[i].ID])
	}
	return v
}

// service returns the service with the id, or nil.
func (v *View) service(id bundle.ServiceID) *service {
	if int(id) >= len(v.services) {
		return nil
	}
	return v.services[id]
}

func (v *View) add(m *fleet.Member, doubted bool) {
	s := v.service(m.Service)
	if s == nil || m.Role != fleet.RoleAgent || m.Phase != fleet.PhaseReady || v.zoneOut[m.Zone] {
		return
	}
	c := candidate{hash: fleet.HashOf([]byte(m.ID)), addr: m.Link}
	if doubted {
		s.doubted = append(s.doubted, c)
	} else {
		s.usable = append(s.usable, c)
	}
}

// Verdict is what becomes of a datagram.
type Verdict uint8

// Verdicts.
const (
	VerdictDrop Verdict = iota
	VerdictForward
	VerdictOpen
)

// Action is the decision on one datagram.
type Action struct {
	Verdict    Verdict
	Reason     events.Reason
	Zone       bundle.ZoneID
	Count      uint8
	Candidates [link.MaxCandidates]netip.AddrPort
	Flow       uint64
}

// Target returns the agent that the datagram goes to first.
func (a *Action) Target() netip.AddrPort { return a.Candidates[0] }

// Decide fills a with the decision on datagram p, which came in on the address
// of the service.
func (v *View) Decide(id bundle.ServiceID, p []byte, o *quiclb.Opener, a *Action) {
	*a = Action{}
	if len(p) > link.MaxPayload {
		a.Reason = events.ReasonTooLong
		return
	}
	class, cid := quiclb.Classify(p)
	if class == quiclb.ClassInvalid {
		a.Reason = events.ReasonNotQUIC
		return
	}
	if r, ok := o.Open(v.tokens, cid); ok && !v.off.Has(guard.Token) {
		v.established(id, r, a)
		return
	}
	if class != quiclb.ClassOpening && !v.off.Has(guard.Token) {
		a.Reason = events.ReasonBadToken
		return
	}
	v.open(id, cid, a)
}

// established forwards by the route in the token.
//
// A token of another service would let a caller carry a letter's flow into scan
// intake; it shows as a route whose service is not that of the address, and is
// dropped, since no honest caller can come by it. A zone that operators have
// taken out must get nothing more, whoever still holds flows there.
func (v *View) established(id bundle.ServiceID, r quiclb.Route, a *Action) {
	a.Zone = r.Zone
	if r.Service != id && !v.off.Has(guard.Service) {
		a.Reason = events.ReasonService
		return
	}
	if v.zoneOut[r.Zone] && !v.off.Has(guard.Zone) {
		a.Reason = events.ReasonZoneOut
		return
	}
	a.Verdict, a.Count = VerdictForward, 1
	a.Candidates[0] = r.Agent
}

// open ranks the agents of the service for the opening. The key is the caller's
// first connection ID, which all datagrams of one opening share, so whichever
// balancers they reach rank alike as far as their views agree.
func (v *View) open(id bundle.ServiceID, cid []byte, a *Action) {
	s := v.service(id)
	a.Flow = fleet.HashOf(cid)
	if s == nil {
		a.Reason = events.ReasonNoCandidate
		return
	}
	a.take(s.usable)
	if a.Count < candidates {
		a.take(s.doubted)
	}
	if a.Count == 0 {
		a.Reason = events.ReasonNoCandidate
		return
	}
	a.Verdict, a.Reason = VerdictOpen, events.ReasonFirst
}

// take appends the best of cs by rank until there are enough candidates.
func (a *Action) take(cs []candidate) {
	var score [candidates]uint64
	first, n := int(a.Count), 0
	room := candidates - first
	for i := range cs {
		x := fleet.Mix(a.Flow, cs[i].hash)
		if n == room && x <= score[n-1] {
			continue
		}
		if n < room {
			n++
		}
		j := n - 1
		for ; j > 0 && score[j-1] < x; j-- {
			score[j] = score[j-1]
			a.Candidates[first+j] = a.Candidates[first+j-1]
		}
		score[j] = x
		a.Candidates[first+j] = cs[i].addr
	}
	a.Count += uint8(n)
}
