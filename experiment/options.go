// Package experiment plays days of a datagram service in memory: balancers and agents by
// their real decisions, upstreams, callers and a router as stand-ins, and a clock that
// jumps from event to event. A day is the same whenever it is played with the same seed.
// It answers what a change does to callers in each second, before it meets a network.
package experiment

import (
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/settings"
)

// Options are the settings of an experiment.
type Options struct {
	Balancers int           `help:"Balancers of the site." default:"10" group:"Site"`
	Small     int           `help:"Of them, how many are small VMs." group:"Site"`
	Cores     float64       `help:"Share of a core that a small VM has; 0 for no bound." default:"0.0625" group:"Site"`
	Link      float64       `help:"Bandwidth of a small VM's link in Mbit/s, each way; 0 for no bound." default:"10" group:"Site"`
	Agents    int           `help:"Upstreams, each with its agent." default:"20" group:"Site"`
	Zones     int           `help:"Availability zones that they are spread over." default:"3" group:"Site"`
	Callers   int           `help:"Callers with a request a second each; 0 for 40 an upstream." group:"Site"`
	Script    string        `help:"File with the day's faults, a line each; see docs/DEVELOPERS.md." type:"existingfile" placeholder:"FILE" group:"Day"`
	Draw      int           `help:"Faults drawn at random for each day by its seed, in place of a script." placeholder:"N" group:"Day"`
	Length    time.Duration `help:"How long the day is." default:"30s" group:"Day"`
	Seed      uint64        `help:"Seed of the first day." default:"1" group:"Day"`
	Days      int           `help:"Days for each policy, each with the next seed." default:"1" group:"Day"`
	Policy    []Policy      `help:"How openings are placed (idler, hash, ungated); days are played for each." default:"idler" group:"Day"`
	Report    string        `help:"File for the report as JSON; - for standard output." placeholder:"FILE" group:"Output"`
	Plot      string        `help:"File for a plot of each second, as SVG." placeholder:"FILE" group:"Output"`
}

// Policy is how openings are placed.
type Policy string

// Policies.
const (
	// PolicyIdler is the product's: the idler of two, and agents that decline when busy.
	PolicyIdler Policy = "idler"
	// PolicyHash takes the agent that the hash ranks first; agents decline nothing.
	PolicyHash Policy = "hash"
	// PolicyUngated is PolicyIdler with agents that decline nothing.
	PolicyUngated Policy = "ungated"
)

// never is a limit that no upstream reaches.
const never = -1

// placement returns how balancers choose and how many requests a slot make an agent
// busy; 0 is the product's own limit.
func (p Policy) placement() (datagram.Placement, float64) {
	switch p {
	case PolicyHash:
		return datagram.PlaceByHash, never
	case PolicyUngated:
		return datagram.PlaceIdler, never
	}
	return datagram.PlaceIdler, 0
}

const (
	// mostVMs bounds a site to the largest one planned for, with room to spare.
	mostVMs = 4000
	// callersEach is two fifths of what an upstream's five slots do in a second.
	callersEach = 40
	// mostCallers bounds a day's memory to some 2 GB.
	mostCallers = 200_000
	// mostLength bounds a day to what a flow may live, ten times.
	mostLength = 10 * time.Minute
)

// Validate returns all that is wrong with the settings, each with its flag.
func (o *Options) Validate() error {
	var f settings.Faults
	f.Want(o.Balancers > 0 && o.Balancers <= mostVMs, "--balancers", "must be 1 to 4000")
	f.Want(o.Small >= 0 && o.Small <= o.Balancers, "--small", "must be 0 to the number of balancers")
	f.Want(o.Cores >= 0, "--cores", "must be 0 or more")
	f.Want(o.Link >= 0, "--link", "must be 0 or more")
	f.Want(o.Agents > 0 && o.Agents <= mostVMs, "--agents", "must be 1 to 4000")
	f.Want(o.Zones > 0 && o.Zones <= o.Agents, "--zones", "must be 1 or more, and no more than agents")
	f.Want(o.Callers >= 0 && o.Callers <= mostCallers, "--callers", "must be 0 to 200000")
	f.Want(o.Draw >= 0, "--draw", "must be 0 or more")
	f.Want(o.Draw == 0 || o.Script == "", "--draw", "can't be used together with --script")
	f.Want(o.Length >= time.Second && o.Length <= mostLength, "--length", "must be 1s to 10m")
	f.Want(o.Days > 0, "--days", "must be 1 or more")
	for _, p := range o.Policy {
		f.Want(p == PolicyIdler || p == PolicyHash || p == PolicyUngated, "--policy", "must be of idler, hash, ungated, not "+string(p))
	}
	return f.All()
}

// small returns the size of a small VM.
func (o *Options) small() size {
	s := size{link: o.Link * bytesOfMegabit}
	if o.Cores > 0 {
		s.cost = time.Duration(float64(wholeCost) / o.Cores)
	}
	return s
}

// bytesOfMegabit is how many bytes a megabit has.
const bytesOfMegabit = 1e6 / 8

func (o *Options) callers() int {
	if o.Callers == 0 {
		return o.Agents * callersEach
	}
	return o.Callers
}
