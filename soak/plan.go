package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// A plan is drawn from its seed and the shape of the site only. Several series of faults run
// beside each other; the faults of one series follow each other, those of different series
// overlap. A target has only one fault of a kind at a time.

// Seed identifies a plan.
type Seed uint64

// Kind is a kind of fault, or of load.
type Kind string

// Kinds of faults.
const (
	kindStop     Kind = "stop"      // SIGSTOP, then SIGCONT
	kindKill     Kind = "kill"      // SIGKILL, then a restart
	kindTerm     Kind = "term"      // SIGTERM, then a restart
	kindReload   Kind = "reload"    // SIGHUP after a change of the settings file
	kindDelay    Kind = "delay"     // datagrams of a process are late
	kindDrop     Kind = "drop"      // a part of them is lost
	kindCutIn    Kind = "cutIn"     // none arrives at the process
	kindCutOut   Kind = "cutOut"    // none leaves it
	kindSilence  Kind = "silence"   // both
	kindRate     Kind = "rate"      // its link is slow
	kindPair     Kind = "cutPair"   // none arrives at a balancer from an agent
	kindDown     Kind = "storeDown" // the store answers with errors
	kindSlow     Kind = "storeSlow"
	kindLose     Kind = "storeLosesAnswers"
	kindRewound  Kind = "storeRewound" // the store drops its history
	kindStale    Kind = "storeStale"   // reads show the store as it was
	kindMute     Kind = "storeMute"    // connections to the store hang
	kindReset    Kind = "storeResets"  // connections to the store are reset
	kindEvacuate Kind = "evacuate"
	kindDrain    Kind = "drain" // an upstream drains, exits and returns cold
	kindCrash    Kind = "crash" // an upstream crashes and returns cold
	kindConfig   Kind = "configure"
	kindOverload Kind = "overload"
	kindLaggard  Kind = "slowUpstream"
	kindHeavy    Kind = "heavyCaller"
)

// all is the target of faults that concern every process.
const all = "all"

// Fault is one planned fault.
type Fault struct {
	At, For time.Duration
	Kind    Kind
	Target  string
}

// grain is the precision of times in plans, so that their text has them in full.
const grain = 10 * time.Millisecond

func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %s %s", f.At.Seconds(), (f.At + f.For).Seconds(), f.Kind, f.Target)
}

// kindDraw is how often a kind is drawn, for how long, and what its targets are.
type kindDraw struct {
	kind     Kind
	weight   int
	min, max time.Duration
	targets  func(*shape) []string
}

// draws has every kind.
var draws = []kindDraw{
	{kindStop, 4, 200 * time.Millisecond, 5 * time.Second, (*shape).processes},
	{kindKill, 5, 100 * time.Millisecond, 4 * time.Second, (*shape).processes},
	{kindTerm, 4, 300 * time.Millisecond, 4 * time.Second, (*shape).processes},
	{kindReload, 2, 100 * time.Millisecond, time.Second, (*shape).processes},
	{kindDelay, 2, time.Second, 4 * time.Second, (*shape).processes},
	{kindDrop, 2, time.Second, 4 * time.Second, (*shape).processes},
	{kindCutIn, 2, 500 * time.Millisecond, 5 * time.Second, (*shape).processes},
	{kindCutOut, 2, 500 * time.Millisecond, 5 * time.Second, (*shape).processes},
	{kindSilence, 2, 500 * time.Millisecond, 7 * time.Second, (*shape).processes},
	{kindRate, 1, time.Second, 4 * time.Second, (*shape).processes},
	{kindPair, 4, 3 * time.Second, 9 * time.Second, (*shape).pairs},
	{kindDown, 2, time.Second, 5 * time.Second, (*shape).processesOrAll},
	{kindSlow, 2, time.Second, 5 * time.Second, (*shape).processesOrAll},
	{kindLose, 1, time.Second, 4 * time.Second, (*shape).processesOrAll},
	{kindRewound, 2, 100 * time.Millisecond, 200 * time.Millisecond, func(*shape) []string { return []string{all} }},
	{kindStale, 4, 2 * time.Second, 5 * time.Second, (*shape).processesOrAll},
	{kindMute, 2, time.Second, 5 * time.Second, (*shape).processesOrAll},
	{kindReset, 1, time.Second, 4 * time.Second, (*shape).processesOrAll},
	{kindEvacuate, 3, 3 * time.Second, 9 * time.Second, (*shape).zoneNames},
	{kindDrain, 5, 3500 * time.Millisecond, 8 * time.Second, (*shape).agentNames},
	{kindCrash, 3, 200 * time.Millisecond, 3 * time.Second, (*shape).agentNames},
	{kindConfig, 5, 100 * time.Millisecond, 200 * time.Millisecond, func(*shape) []string { return []string{all} }},
	{kindOverload, 4, time.Second, 3 * time.Second, func(*shape) []string { return []string{all} }},
	{kindLaggard, 2, time.Second, 5 * time.Second, (*shape).agentNames},
	{kindHeavy, 2, time.Second, 4 * time.Second, func(*shape) []string { return []string{all} }},
}

// shape is the number of processes of a site.
type shape struct{ Balancers, Agents int }

// zones are the availability zones of each site.
var zones = []string{"a", "b", "c"}

func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d", prefix, i+1))
	}
	return out
}

func (s *shape) balancerNames() []string { return names("balancer", s.Balancers) }
func (s *shape) agentNames() []string    { return names("agent", s.Agents) }
func (s *shape) processes() []string     { return append(s.balancerNames(), s.agentNames()...) }
func (s *shape) zoneNames() []string     { return zones }

// pairs are an agent and a balancer each.
func (s *shape) pairs() []string {
	var out []string
	for _, a := range s.agentNames() {
		for _, b := range s.balancerNames() {
			out = append(out, a+pairSeparator+b)
		}
	}
	return out
}

const pairSeparator = ">"

func (s *shape) processesOrAll() []string { return append(s.processes(), all, all, all, all) }

const (
	// quietStart is the part of a run before the first fault, in which flows are opened.
	quietStart = time.Second
	// planSalt separates the draws of plans from others with the same seed.
	planSalt = 0x736f616b
)

// newPlan draws the faults of a run.
func newPlan(seed Seed, length time.Duration, s shape) []Fault {
	r := rand.New(rand.NewPCG(uint64(seed), planSalt))
	focus := []string{s.balancerNames()[r.IntN(s.Balancers)], s.agentNames()[r.IntN(s.Agents)]}
	var out []Fault
	for range 3 + r.IntN(3) {
		for at := quietStart + time.Duration(r.Int64N(int64(3*time.Second))); at < length-time.Second; {
			f := draw(r, at, length, &s, focus)
			if !slices.ContainsFunc(out, f.collides) {
				out = append(out, f)
			}
			at += time.Duration(float64(f.For)*(0.3+r.Float64())) + time.Duration(r.Int64N(int64(time.Second)))
		}
	}
	slices.SortFunc(out, func(a, b Fault) int {
		if a.At != b.At {
			return int(a.At - b.At)
		}
		return strings.Compare(string(a.Kind)+a.Target, string(b.Kind)+b.Target)
	})
	return out
}

// draw draws a fault that begins at the time and ends within the length of the run. Half of the
// faults concern the processes in focus, so that faults of several kinds overlap there.
func draw(r *rand.Rand, at, length time.Duration, s *shape, focus []string) Fault {
	sum := 0
	for _, d := range draws {
		sum += d.weight
	}
	n, i := r.IntN(sum), 0
	for ; n >= draws[i].weight; i++ {
		n -= draws[i].weight
	}
	d := draws[i]
	ts := d.targets(s)
	if r.IntN(2) == 0 {
		near := slices.DeleteFunc(slices.Clone(ts), func(t string) bool {
			return !slices.ContainsFunc(focus, func(x string) bool { return slices.Contains(strings.Split(t, pairSeparator), x) })
		})
		if len(near) > 0 {
			ts = near
		}
	}
	f := Fault{At: at, Kind: d.kind, Target: ts[r.IntN(len(ts))]}
	f.For = min(d.min+time.Duration(r.Int64N(int64(d.max-d.min))), length-at)
	f.At, f.For = f.At.Truncate(grain), f.For.Truncate(grain)
	return f
}

// exclusive are the kinds of which only one fault at a time makes sense, whatever its target:
// with two zones out, or two kinds of changed load, the upstreams can't bear the load.
var exclusive = []Kind{kindEvacuate, kindConfig, kindOverload, kindHeavy}

// lifeKinds end and restart an upstream.
var lifeKinds = []Kind{kindDrain, kindCrash}

// fileKinds read the settings file at their end. A reload breaks the file in between, with which
// no process can start.
var fileKinds = []Kind{kindReload, kindKill, kindTerm}

// collides reports whether the faults overlap and can't be told apart.
func (f Fault) collides(o Fault) bool {
	if f.At > o.At+o.For+time.Second || o.At > f.At+f.For+time.Second {
		return false
	}
	if slices.Contains(lifeKinds, f.Kind) && slices.Contains(lifeKinds, o.Kind) {
		return f.Target == o.Target
	}
	if slices.Contains(fileKinds, f.Kind) && slices.Contains(fileKinds, o.Kind) && f.Kind != o.Kind && (f.Kind == kindReload || o.Kind == kindReload) {
		return f.Target == o.Target
	}
	return f.Kind == o.Kind && (f.Target == o.Target || slices.Contains(exclusive, f.Kind))
}
