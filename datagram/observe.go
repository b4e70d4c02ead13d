package datagram

import (
	"time"

	"pomeloway.example/pomeloway/admission"
)

// Observation identifies a duration that is exported as a metric.
type Observation uint8

// Observations.
const (
	// ObserveOpening: from the arrival of a caller's opening at a balancer until an
	// upstream accepted it.
	ObserveOpening Observation = iota
	// ObserveHandshake: from forwarding an opening to the upstream until the upstream
	// accepted it.
	ObserveHandshake
	// ObserveRequest: from the first packet of a request until the first packet of its
	// answer.
	ObserveRequest
	// ObserveLinkWait: how long the opening of an upload waited for the balancer's link.
	ObserveLinkWait
	// ObserveHold: how long an urgent opening was held back at a full upstream.
	ObserveHold
	// ObserveKept: how long a request on an open flow was kept back.
	ObserveKept
	// ObserveExpected: the time after which an opening's answer was expected, where the choice
	// of the agent was made by it.
	ObserveExpected
	// ObservationCount is the number of observations.
	ObservationCount
)

var observationNames = [ObservationCount]string{"opening", "handshake", "request", "linkWait", "hold", "kept", "expected"}

// String returns the name of the observation's metric.
func (o Observation) String() string { return observationNames[o] }

// observer receives durations; a nil observer ignores them.
type observer func(Observation, time.Duration)

func (f observer) record(o Observation, d time.Duration) {
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
	// AgentsSlow is the number of agents whose upstreams are slower than the mean.
	AgentsSlow int `json:"agentsSlow"`
	// AgentsGone are those that are considered gone. They may only be cut off.
	AgentsGone int `json:"agentsGone"`
	Balancers  int `json:"balancers"`
	// BalancersHeard is the number of other balancers whose statuses arrive.
	BalancersHeard int `json:"balancersHeard"`
	// Watching: this balancer watches the store. WatcherAge is the time since another one that
	// does was last known to be alive.
	Watching     bool   `json:"watching"`
	WatcherAge   Millis `json:"watcherAgeMs"`
	LinesLeftOut uint64 `json:"linesLeftOut"`
	Ready        bool   `json:"ready"`
	// Level is the lowest admission level of a service with routes of several priorities, as the
	// latest opening found it; 255 admits everything. LevelAgents is the number of agents whose
	// reports it is derived from, LevelAge the age of the oldest of these.
	Level       uint8  `json:"admissionLevel"`
	LevelAgents int    `json:"admissionLevelAgents"`
	LevelAge    Millis `json:"admissionLevelAgeMs"`
}

// Status returns the balancer's state and counts.
func (b *Balancer) Status(now time.Duration) BalancerState {
	s := BalancerState{
		Counts: b.Count, Version: b.ConfigurationVersion(), Revision: b.revision,
		ZonesOut: len(b.zonesOut), Flows: b.flows.len(),
		Agents: len(b.agents.byIP), Balancers: len(b.peers), Ready: b.Ready(),
		Watching: b.watching, WatcherAge: MillisOf(now - b.watcherSeen.at), BalancersHeard: len(b.aliveBalancers(now)) - 1,
	}
	for _, a := range b.agents.byIP {
		if a.reachable(now) {
			s.AgentsHeard++
		}
		if a.class(now, b.zonesOut) == classDoubted {
			s.AgentsDoubted++
		}
		if a.slow {
			s.AgentsSlow++
		}
		if a.suspicion.since != 0 && !a.mayBeAlive(now) {
			s.AgentsGone++
		}
	}
	s.Level = uint8(admission.LevelAll)
	for _, x := range b.admissions {
		if uint8(x.level) <= s.Level {
			s.Level, s.LevelAgents, s.LevelAge = uint8(x.level), x.mean.Heard, MillisOf(x.mean.Age)
		}
	}
	if b.Log != nil {
		s.LinesLeftOut = b.Log.LeftOut
	}
	return s
}

// AgentState is an agent's part of /state and of its metrics.
type AgentState struct {
	Counts   AgentCounts `json:"counts"`
	Upstream string      `json:"upstream"`
	State    string      `json:"upstreamState"`
	Known    int         `json:"flowsKnown"`
	Open     int         `json:"flows"`
	UnderWay int         `json:"requestsUnderWay"`
	// ServiceTime is the mean service time, TailTime the time that nine in ten requests do not
	// exceed, in milliseconds; 0: not known. Utilization is the share of slot time in use.
	ServiceTime float64 `json:"serviceTimeMs"`
	TailTime    float64 `json:"tailTimeMs"`
	Utilization float64 `json:"utilization"`
	Balancers   int     `json:"balancers"`
	// KnowsAll: the agent knows every flow of its upstream, so it can deny others.
	KnowsAll     bool    `json:"knowsAllFlows"`
	ZoneOut      bool    `json:"zoneOut"`
	Revision     uint64  `json:"evacuationsRevision"`
	Version      Version `json:"version"`
	LinesLeftOut uint64  `json:"linesLeftOut"`
	// Level is the admission level that the agent reports; 255 admits everything.
	Level uint8 `json:"admissionLevel"`
}

// Status returns the agent's state and counts.
func (a *Agent) Status(now time.Duration) AgentState {
	e := a.requests.times.Overall(now)
	u, _ := a.requests.times.Utilization(now)
	s := AgentState{
		Counts: a.Count, Upstream: a.upstream.id, State: a.upstream.state.String(), Known: a.flows.len(), Open: a.openFlows,
		ServiceTime: milliseconds(e.Mean), TailTime: milliseconds(e.Tail), Utilization: u,
		UnderWay: a.requests.count(), Balancers: len(a.balancers), ZoneOut: a.zoneOut, Revision: a.revision, Version: a.version,
		Level: uint8(a.level(now)), KnowsAll: a.knowsAllFlows(now),
	}
	if a.Log != nil {
		s.LinesLeftOut = a.Log.LeftOut
	}
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
