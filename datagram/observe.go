package datagram

import "time"

// Observation is a time that operators look at.
type Observation uint8

// Observations.
const (
	// ObserveOpening: from a caller's opening at a balancer until an upstream accepted.
	ObserveOpening Observation = iota
	// ObserveHandshake: from an opening given to the upstream until it accepted.
	ObserveHandshake
	// ObserveRequest: from a request's first packet until the first of its answer.
	ObserveRequest
	// ObservationCount is how many there are.
	ObservationCount
)

var observationNames = [ObservationCount]string{"opening", "handshake", "request"}

// String returns the name of its metric.
func (o Observation) String() string { return observationNames[o] }

// observer takes observations; nil takes none.
type observer func(Observation, time.Duration)

func (f observer) note(o Observation, d time.Duration) {
	if f != nil {
		f(o, d)
	}
}

// BalancerState is a balancer's part of /state and of its metrics.
type BalancerState struct {
	Counts        BalancerCounts `json:"counts"`
	Version       Version        `json:"version"`
	Revision      uint64         `json:"evacuationsRevision"`
	ZonesOut      int            `json:"zonesOut"`
	Flows         int            `json:"flows"`
	Agents        int            `json:"agents"`
	AgentsHeard   int            `json:"agentsHeard"`
	AgentsDoubted int            `json:"agentsDoubted"`
	Balancers     int            `json:"balancers"`
	LinesLeft     uint64         `json:"linesLeftOut"`
	Ready         bool           `json:"ready"`
}

// Status returns what the balancer knows and has done.
func (b *Balancer) Status(now time.Duration) BalancerState {
	s := BalancerState{
		Counts: b.Count, Version: b.Configured(), Revision: b.revision, ZonesOut: len(b.out), Flows: b.flows.len(),
		Agents: len(b.agents.byIP), Balancers: len(b.peers), Ready: b.Ready(),
	}
	for _, a := range b.agents.byIP {
		if a.reachable(now) {
			s.AgentsHeard++
		}
		if a.class(now, b.out) == classDoubted {
			s.AgentsDoubted++
		}
	}
	if b.Log != nil {
		s.LinesLeft = b.Log.Left
	}
	return s
}

// AgentState is an agent's part of /state and of its metrics.
type AgentState struct {
	Counts    AgentCounts `json:"counts"`
	Upstream  string      `json:"upstream"`
	State     string      `json:"upstreamState"`
	Known     int         `json:"flowsKnown"`
	Open      int         `json:"flows"`
	UnderWay  int         `json:"requestsUnderWay"`
	Balancers int         `json:"balancers"`
	ZoneOut   bool        `json:"zoneOut"`
	Revision  uint64      `json:"evacuationsRevision"`
	Version   Version     `json:"version"`
	LinesLeft uint64      `json:"linesLeftOut"`
}

// Status returns what the agent knows and has done.
func (a *Agent) Status(time.Duration) AgentState {
	s := AgentState{
		Counts: a.Count, Upstream: a.upstream.id, State: a.upstream.state.String(), Known: a.flows.len(), Open: a.open,
		UnderWay: a.underWay, Balancers: len(a.balancers), ZoneOut: a.zoneOut, Revision: a.revision, Version: a.version,
	}
	if a.Log != nil {
		s.LinesLeft = a.Log.Left
	}
	return s
}
