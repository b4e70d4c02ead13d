// This file decides where each datagram goes. A decision is a pure function of
// the datagram, the service address that received it and an immutable View; it
// takes no lock and allocates nothing. A datagram of an established flow costs one
// AES block, independent of the number of flows and upstreams. An opening costs
// one short chain of multiplications (fleet.Mix) for each upstream of its service.
// As balancers keep no per-flow state, no decision can depend on earlier datagrams
// of the flow.

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

// maxCandidates is the number of agents that an opening may try.
const maxCandidates = 3

// View holds everything that decisions depend on. It is immutable and replaced as
// a whole.
type View struct {
	Version   bundle.Version
	tokenKeys quiclb.Keys
	linkKeys  link.Keys
	// services is indexed by service ID. With a map, the lookup took a quarter of
	// the time of an opening in a large fleet.
	services []*service
	zoneOut  [256]bool
	// resetFrom is the time, in Unix seconds, by which the agents of a zone that
	// is out have closed their flows. From then on, datagrams to that zone are
	// answered with a stateless reset. Zero means never.
	resetFrom [256]uint32
	resets    resetKeys
	off       guard.Off
}

// service holds the agents that openings of one service may go to.
type service struct {
	// usable agents are tried first. doubted agents, which observers consider
	// failed, follow only if there are fewer than maxCandidates usable ones.
	usable, doubted []candidate
}

// candidate is an agent with the hash of its member ID for rendezvous hashing.
type candidate struct {
	hash uint64
	addr netip.AddrPort
}

// NewView returns the view of a bundle, its secrets, and the fleet's members, of
// which doubts names those that are considered failed. Zones that the bundle does
// not define count as out of service.
func NewView(a *bundle.Accepted, r keyring.Ring, ms []fleet.Member, doubts map[fleet.MemberID]bool) *View {
	v := &View{
		Version:   a.Version,
		tokenKeys: quiclb.NewKeys(r),
		linkKeys:  link.NewKeys(r),
		resets:    newResetKeys(r),
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
		v.addMember(&ms[i], doubts[ms[i].ID])
	}
	return v
}

// service returns the service with the ID, or nil if there is none.
func (v *View) service(id bundle.ServiceID) *service {
	if int(id) >= len(v.services) {
		return nil
	}
	return v.services[id]
}

// addMember adds the member to its service if it is an agent that takes openings.
func (v *View) addMember(m *fleet.Member, doubted bool) {
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

// Verdict says how a datagram is handled.
type Verdict uint8

// Verdicts.
const (
	// VerdictDrop discards the datagram.
	VerdictDrop Verdict = iota
	// VerdictForward sends a datagram of an established flow to its agent.
	VerdictForward
	// VerdictOpen sends an opening to the first of its candidates.
	VerdictOpen
)

// Action is the decision on one datagram. Count is the number of Candidates, and
// Flow the hash of the connection ID of an opening.
type Action struct {
	Verdict    Verdict
	Reason     events.Reason
	Zone       bundle.ZoneID
	Count      uint8
	Candidates [link.MaxCandidates]netip.AddrPort
	Flow       uint64
}

// Target returns the link address of the agent that the datagram is sent to.
func (a *Action) Target() netip.AddrPort { return a.Candidates[0] }

// Decide sets a to the decision on the datagram p, which was received on the
// address of the service id.
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
	if r, ok := o.Open(v.tokenKeys, cid); ok && !v.off.Disabled(guard.Token) {
		v.decideEstablished(id, r, a)
		return
	}
	if class != quiclb.ClassOpening && !v.off.Disabled(guard.Token) {
		a.Reason = events.ReasonUnknownToken
		return
	}
	v.decideOpening(id, cid, a)
}

// decideEstablished forwards a datagram by the route in its token.
//
// It drops a datagram whose route names another service than that of the address
// that received it. Otherwise a caller could use a token of one service to reach
// the agents of another; a well-behaved caller never sends such a datagram. It
// also drops datagrams to a zone that operators have taken out of service, which
// must receive no traffic even for flows that are still open there.
func (v *View) decideEstablished(id bundle.ServiceID, r quiclb.Route, a *Action) {
	a.Zone = r.Zone
	if r.Service != id && !v.off.Disabled(guard.Service) {
		a.Reason = events.ReasonWrongService
		return
	}
	if v.zoneOut[r.Zone] && !v.off.Disabled(guard.Zone) {
		a.Reason = events.ReasonZoneOut
		return
	}
	a.Verdict, a.Count = VerdictForward, 1
	a.Candidates[0] = r.Agent
}

// decideOpening ranks the agents of the service for an opening by rendezvous
// hashing. The key is the caller's initial connection ID, which all datagrams of
// one opening share. Balancers with equal views therefore rank the agents equally.
func (v *View) decideOpening(id bundle.ServiceID, cid []byte, a *Action) {
	s := v.service(id)
	a.Flow = fleet.HashOf(cid)
	if s == nil {
		a.Reason = events.ReasonNoCandidate
		return
	}
	a.addBest(s.usable)
	if a.Count < maxCandidates {
		a.addBest(s.doubted)
	}
	if a.Count == 0 {
		a.Reason = events.ReasonNoCandidate
		return
	}
	a.Verdict, a.Reason = VerdictOpen, events.ReasonFirst
}

// addBest appends the highest-ranked agents of cs until a has maxCandidates.
func (a *Action) addBest(cs []candidate) {
	var score [maxCandidates]uint64
	first, n := int(a.Count), 0
	free := maxCandidates - first
	for i := range cs {
		x := fleet.Mix(a.Flow, cs[i].hash)
		if n == free && x <= score[n-1] {
			continue
		}
		if n < free {
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
