package main

import (
	"slices"
	"strings"
	"time"
)

// Check is a promise that is checked while a site runs.
type Check string

// Checks.
const (
	checkReset         Check = "flowReset"     // a flow was reset although its upstream lives
	checkAstray        Check = "flowAstray"    // its packets reach other upstreams only
	checkSilent        Check = "flowSilent"    // its packets are lost
	checkService       Check = "wrongService"  // a packet reached an upstream of another service
	checkOnce          Check = "ranTwice"      // an urgent request ran more than once
	checkCold          Check = "coldRate"      // a cold upstream got more than its rate
	checkDrained       Check = "drained"       // an opening reached an upstream that drains
	checkEvacuated     Check = "evacuated"     // an opening reached an evacuated zone
	checkConfiguration Check = "configuration" // a version is not in force in time
	checkInForce       Check = "inForce"       // its routes are refused
	checkOrder         Check = "versionOrder"  // a balancer went back to an earlier version
	checkRecovery      Check = "recovery"      // callers are not served after the last fault
	checkExit          Check = "exit"          // a process ended by itself
)

// scope is whose faults excuse a process.
type scope uint8

const (
	ofPath  scope = iota // of the balancers and the agent that the flow used
	ofAgent              // of the agent alone
	ofAll                // that concern all processes
	ofAny
)

// excuse says that the time of a fault, and some seconds after it, does not count for a check.
type excuse struct {
	check  Check
	kinds  []Kind
	scope  scope
	after  time.Duration // the time of faults counts from this time after their begin on
	until  time.Duration // and up to this time after their end
	reason string
}

var (
	// storeKinds are faults of the store.
	storeKinds = []Kind{kindDown, kindSlow, kindLose, kindRewound, kindStale, kindMute, kindReset}
	// haltKinds are faults in which a process does nothing, or starts without memory.
	haltKinds = []Kind{kindStop, kindKill, kindTerm}
	// muteKinds are faults in which a process answers nobody.
	muteKinds = slices.Concat(haltKinds, []Kind{kindSilence, kindCutIn, kindCutOut})
	// linkKinds are faults in which datagrams of a process are lost or late.
	linkKinds = []Kind{kindDelay, kindDrop, kindCutIn, kindCutOut, kindSilence, kindRate, kindPair}
	// loadKinds are loads that upstreams can't bear.
	loadKinds = []Kind{kindOverload, kindHeavy, kindLaggard}
)

// aftermath is how long after its end a fault still counts, if nothing narrower is said.
const aftermath = 4 * time.Second

// deathTime is how long an agent answers nobody until balancers consider it gone: they suspect
// it after 850 ms and ask it five times, 250 ms apart (datagram/suspicion.go).
const deathTime = 2 * time.Second

// excuses are all there are. A check without an entry is never excused: services, requests
// that run twice, cold starts, drains, the order of versions and the recovery depend on no
// process that may be impaired, or are checked while no fault is active.
var excuses = []excuse{
	{checkReset, muteKinds, ofPath, deathTime, 1500 * time.Millisecond,
		"balancers can't tell an agent that answers nobody for this long from a dead one (docs/DATAGRAM.md, not solved)"},
	{checkAstray, slices.Concat(haltKinds, linkKinds), ofPath, 0, aftermath,
		"the owner's agent or the flow's balancer does nothing or can't be reached, so others are asked for the flow"},
	{checkSilent, slices.Concat(haltKinds, linkKinds, loadKinds), ofAny, 0, aftermath,
		"the balancer or the agent on the way may change with every packet, and requests may wait for as long as a load lasts"},
	{checkEvacuated, storeKinds, ofAll, 0, aftermath,
		"balancers learn of an evacuation from the store only; with faults of some, the others tell all agents"},
	{checkEvacuated, slices.Concat(haltKinds, linkKinds), ofAgent, 0, aftermath,
		"the agent, which refuses whatever balancers know, could not be told"},
	{checkConfiguration, storeKinds, ofPath, 0, aftermath,
		"the balancer learns of a configuration from the store, or later from another balancer"},
	{checkConfiguration, slices.Concat(haltKinds, linkKinds), ofPath, 0, aftermath,
		"the balancer could not be told"},
	{checkInForce, slices.Concat(storeKinds, haltKinds, linkKinds, loadKinds, lifeKinds, []Kind{kindEvacuate}), ofAny, 0, aftermath,
		"balancers refuse openings also while upstreams are missing or full, and callers can't tell why"},
}

// covers reports whether the fault excuses the parties.
func (x *excuse) covers(f Fault, parties []*process) bool {
	if !slices.Contains(x.kinds, f.Kind) {
		return false
	}
	switch x.scope {
	case ofAny:
		return true
	case ofAll:
		return f.Target == all
	}
	return f.Target == all || slices.ContainsFunc(parties, func(p *process) bool {
		return (x.scope == ofPath || p.role == roleAgent) && slices.Contains(strings.Split(f.Target, pairSeparator), p.name)
	})
}
