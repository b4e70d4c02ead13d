package datagram

import (
	"time"

	"pomeloway.example/pomeloway/waitqueue"
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
	// ObserveWaitUrgent and ObserveWaitNormal: how long an opening or a request waited for a
	// place at the upstream, by its priority, whether it got one or not.
	ObserveWaitUrgent
	ObserveWaitNormal
	// ObservationCount is the number of observations.
	ObservationCount
)

var observationNames = [ObservationCount]string{"opening", "handshake", "request", "linkWait", "waitUrgent", "waitNormal"}

// String returns the name of the observation's metric.
func (o Observation) String() string { return observationNames[o] }

// waitObservations are the observations of the time in the queue.
var waitObservations = [waitqueue.PriorityCount]Observation{ObserveWaitUrgent, ObserveWaitNormal}

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
	Balancers     int            `json:"balancers"`
	// Watching: this balancer watches the store. WatcherAge is the time since another one that
	// does was last known to be alive.
	Watching     bool   `json:"watching"`
	WatcherAge   Millis `json:"watcherAgeMs"`
	LinesLeftOut uint64 `json:"linesLeftOut"`
	Ready        bool   `json:"ready"`
}

// Status returns the balancer's state and counts.
func (b *Balancer) Status(now time.Duration) BalancerState {
	s := BalancerState{
		Counts: b.Count, Version: b.ConfigurationVersion(), Revision: b.revision,
		ZonesOut: len(b.zonesOut), Flows: b.flows.len(),
		Agents: len(b.agents.byIP), Balancers: len(b.peers), Ready: b.Ready(),
		Watching: b.watching, WatcherAge: MillisOf(now - b.watcherSeen.at),
	}
	for _, a := range b.agents.byIP {
		if a.reachable(now) {
			s.AgentsHeard++
		}
		if a.class(now, b.zonesOut) == classDoubted {
			s.AgentsDoubted++
		}
	}
	if b.Log != nil {
		s.LinesLeftOut = b.Log.LeftOut
	}
	return s
}

// AgentState is an agent's part of /state and of its metrics.
type AgentState struct {
	Counts       AgentCounts  `json:"counts"`
	Upstream     string       `json:"upstream"`
	State        string       `json:"upstreamState"`
	Known        int          `json:"flowsKnown"`
	Open         int          `json:"flows"`
	UnderWay     int          `json:"requestsUnderWay"`
	Balancers    int          `json:"balancers"`
	ZoneOut      bool         `json:"zoneOut"`
	Revision     uint64       `json:"evacuationsRevision"`
	Version      Version      `json:"version"`
	Waiting      WaitingState `json:"waiting"`
	LinesLeftOut uint64       `json:"linesLeftOut"`
}

// WaitingState is the length of an agent's queue, by priority, and its size.
type WaitingState struct {
	Urgent int `json:"urgent"`
	Normal int `json:"normal"`
	Bytes  int `json:"bytes"`
}

// Status returns the agent's state and counts.
func (a *Agent) Status(time.Duration) AgentState {
	s := AgentState{
		Counts: a.Count, Upstream: a.upstream.id, State: a.upstream.state.String(), Known: a.flows.len(), Open: a.openFlows,
		UnderWay: a.requests.count(), Balancers: len(a.balancers), ZoneOut: a.zoneOut, Revision: a.revision, Version: a.version,
		Waiting: WaitingState{
			Urgent: a.waiting.Length(waitqueue.Urgent), Normal: a.waiting.Length(waitqueue.Normal), Bytes: a.waiting.Bytes(),
		},
	}
	if a.Log != nil {
		s.LinesLeftOut = a.Log.LeftOut
	}
	return s
}
