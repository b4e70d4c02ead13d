// Package experiment is a discrete-event simulation of a datagram service in memory.
// Balancers and agents run their production decision logic; upstreams, callers and the
// router are simulated. One simulated run is called a day. The same seed always gives the
// same day. The results show, for each second, how a change affects callers before it is
// tried on a network.
package experiment

import (
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/settings"
)

// Options are the settings of an experiment.
type Options struct {
	Balancers int           `help:"Number of balancers." default:"10" group:"Site"`
	Small     int           `help:"Number of the balancers that run on small VMs." group:"Site"`
	Cores     float64       `help:"Share of a core that a small VM has; 0 for no limit." default:"0.0625" group:"Site"`
	Link      float64       `help:"Bandwidth of a small VM's link in Mbit/s, each way; 0 for no limit." default:"10" group:"Site"`
	Agents    int           `help:"Number of upstreams, each with its agent." default:"20" group:"Site"`
	Zones     int           `help:"Number of availability zones that the upstreams are distributed over." default:"3" group:"Site"`
	Callers   int           `help:"Number of callers, each with about one request per second; 0 for 40 per upstream." group:"Site"`
	Script    string        `help:"File with the faults of the day, one per line; see docs/DEVELOPERS.md." type:"existingfile" placeholder:"FILE" group:"Day"`
	Draw      int           `help:"Number of random faults for each day, drawn from its seed, instead of a script." placeholder:"N" group:"Day"`
	Length    time.Duration `help:"Length of a day, which is one simulated run." default:"30s" group:"Day"`
	Seed      uint64        `help:"Seed of the first day." default:"1" group:"Day"`
	Days      int           `help:"Number of days for each policy, each with the next seed." default:"1" group:"Day"`
	Policy    []Policy      `help:"How upstreams are chosen for openings (idler, hash, ungated); days are simulated for each." default:"idler" group:"Day"`
	Report    string        `help:"File for the report as JSON; - for standard output." placeholder:"FILE" group:"Output"`
	Plot      string        `help:"File for a plot of the answers in each second, as SVG." placeholder:"FILE" group:"Output"`
}

// Policy is how balancers choose the upstream of a new flow.
type Policy string

// Policies.
const (
	// PolicyIdler is the policy used in production: a balancer chooses the less loaded of
	// two agents, or by expected time where speeds differ, and agents decline openings when
	// busy.
	PolicyIdler Policy = "idler"
	// PolicyHash chooses the agent that the hash ranks first; agents never decline for load.
	PolicyHash Policy = "hash"
	// PolicyUngated is PolicyIdler with agents that never decline for load.
	PolicyUngated Policy = "ungated"
)

// neverBusy is a limit for requests per slot that turns off declining for load.
const neverBusy = -1

// placement returns how balancers choose agents, and the limit of requests per slot from
// which an agent is busy; 0 selects the production limit.
func (p Policy) placement() (datagram.Placement, float64) {
	switch p {
	case PolicyHash:
		return datagram.PlaceByHash, neverBusy
	case PolicyUngated:
		return datagram.PlaceByTwoChoices, neverBusy
	}
	return datagram.PlaceByTime, 0
}

const (
	// maxVMs exceeds the largest site planned for.
	maxVMs = 4000
	// callersPerUpstream loads an upstream's five slots to about a quarter of their capacity.
	callersPerUpstream = 40
	// maxCallers limits the memory of a day to about 2 GB.
	maxCallers = 200_000
	// maxLength is ten times the longest lifetime of a flow.
	maxLength = 10 * time.Minute
)

// Validate returns all errors in the settings, each with its flag.
func (o *Options) Validate() error {
	var f settings.Errors
	f.Require(o.Balancers > 0 && o.Balancers <= maxVMs, "--balancers", "must be 1 to 4000")
	f.Require(o.Small >= 0 && o.Small <= o.Balancers, "--small", "must be 0 to the number of balancers")
	f.Require(o.Cores >= 0, "--cores", "must be 0 or more")
	f.Require(o.Link >= 0, "--link", "must be 0 or more")
	f.Require(o.Agents > 0 && o.Agents <= maxVMs, "--agents", "must be 1 to 4000")
	f.Require(o.Zones > 0 && o.Zones <= o.Agents, "--zones", "must be 1 to the number of agents")
	f.Require(o.Callers >= 0 && o.Callers <= maxCallers, "--callers", "must be 0 to 200000")
	f.Require(o.Draw >= 0, "--draw", "must be 0 or more")
	f.Require(o.Draw == 0 || o.Script == "", "--draw", "can't be used together with --script")
	f.Require(o.Length >= time.Second && o.Length <= maxLength, "--length", "must be 1s to 10m")
	f.Require(o.Days > 0, "--days", "must be 1 or more")
	for _, p := range o.Policy {
		f.Require(p == PolicyIdler || p == PolicyHash || p == PolicyUngated, "--policy", "must be idler, hash or ungated, not "+string(p))
	}
	return f.ErrOrNil()
}

// smallVMSize returns the size of a small VM.
func (o *Options) smallVMSize() size {
	s := size{bandwidth: o.Link * bytesPerMegabit}
	if o.Cores > 0 {
		s.messageTime = time.Duration(float64(fullCoreMessageTime) / o.Cores)
	}
	return s
}

// bytesPerMegabit converts Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// callerCount returns the number of callers, with the default applied.
func (o *Options) callerCount() int {
	if o.Callers == 0 {
		return o.Agents * callersPerUpstream
	}
	return o.Callers
}
