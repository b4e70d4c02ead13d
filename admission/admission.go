// Package admission decides which openings of a service are admitted when its upstreams get more
// work than they can do in time.
//
// Each agent derives a level from the load of its upstream (Controller). A balancer takes the mean
// of the levels that its agents have reported (Mean), and admits an opening if its rank is below
// that (RankOf). A rank depends on the opening's priority, the caller's account and the time, and
// on nothing that a balancer has seen. Every balancer therefore decides alike, and a caller that
// tries again through another one has the same rank as before.
//
// Ranks rotate, so that the accounts that are refused change. An account's rank moves by the
// golden ratio of the scale with each of its periods, which spreads any series of ranks evenly: an
// account is refused for a few periods in a row at most. Each account begins its periods at a time
// of its own. Two balancers whose clocks differ by a part of a period therefore disagree on that
// part of the accounts only, and a clock that is wrong altogether admits the right share of them.
package admission

import (
	"math"
	"time"
)

// Level is the share of a service's openings that is admitted. Levels up to levelUrgent admit a
// share of the urgent openings and no others; levels above it admit all urgent openings and a
// share of the others.
type Level uint8

const (
	// LevelAll admits every opening.
	LevelAll Level = 255
	// levelUrgent admits all urgent openings and no others.
	levelUrgent Level = 127
)

// Admits reports whether an opening of the rank is admitted.
func (l Level) Admits(r Rank) bool { return uint8(r) < uint8(l) }

// Rank is an opening's place in the order of admission, from 0 to 254. Urgent openings have the
// ranks below levelUrgent.
type Rank uint8

// Account identifies the callers that share one fate: a hash of their address.
type Account uint64

// Priority is the class of a route.
type Priority uint8

// Priorities.
const (
	Urgent Priority = iota
	Ordinary
)

// period is the time for which an account keeps its rank. It is twice the longest time that the
// callers of today's deployments wait for a request, so most requests end with the rank that they
// began with.
const period = 8 * time.Second

// step is the golden ratio of the 32-bit scale.
const step = 0x9e3779b9

// RankOf returns the rank of an opening of the account. wall is the time since a moment that all
// balancers agree on, such as the Unix epoch.
func RankOf(p Priority, a Account, wall time.Duration) Rank {
	offset := time.Duration(float64(a>>32) / (1 << 32) * float64(period))
	n := uint32((wall + offset) / period)
	place := uint64(uint32(a) + n*step)
	if p == Urgent {
		return Rank(place * uint64(levelUrgent) >> 32)
	}
	return Rank(levelUrgent) + Rank(place*uint64(LevelAll-levelUrgent)>>32)
}

// Load is what an agent knows about the load of its upstream.
type Load struct {
	// Slots is the number of requests that the upstream processes in parallel, Requests the
	// number that it has or will have shortly, Waiting the number that the agent holds back.
	Slots, Requests, Waiting int
	// UrgentOnly: the upstream had no other requests than urgent ones lately. Otherwise urgent
	// openings are not refused.
	UrgentOnly bool
	// ServiceTime is the mean time of a request in a slot, Target the shortest target latency;
	// 0 if not known.
	ServiceTime, Target time.Duration
}

// Controller derives an agent's level. The zero value admits everything.
//
// It integrates how far the requests per slot exceed what they may be. The integral settles at the
// level at which the upstream's slots are busy and its queue is short. It has to exceed slack
// before anything is refused, so that the bursts of a load that the upstream can bear have no
// effect. An upstream with a full queue admits only what is urgent after about a second, and
// everything within a second when half the slots are free.
type Controller struct {
	excess    float64
	updatedAt time.Duration
	started   bool
}

const (
	// slack is the excess that has no effect, in seconds of one request per slot too many. With
	// 0.3, bursts at three quarters of what the upstreams bear made single requests late, and
	// callers that came back after an outage were refused at half of it.
	slack = 0.6
	// maxQueue bounds the requests per slot that count.
	maxQueue = 3
	// busyQueue is the number of requests per slot that keeps the slots busy. Agents decline
	// openings from 2 on, so with 1.9 an overload by openings alone is not recognized.
	busyQueue = 1.5
	// maxUpdateInterval bounds the time for which one observation counts, for example after a
	// pause of the process or a jump of its clock.
	maxUpdateInterval = 100 * time.Millisecond
)

// Update adds an observation, which counts for the time since the last one.
func (c *Controller) Update(l Load, now time.Duration) {
	d := min(now-c.updatedAt, maxUpdateInterval)
	first := !c.started
	c.updatedAt, c.started = now, true
	if first || d <= 0 {
		return
	}
	queue := min(float64(l.Requests+l.Waiting)/float64(max(l.Slots, 1)), maxQueue)
	most := slack + 1 - float64(levelUrgent)/float64(LevelAll)
	if l.UrgentOnly {
		most = slack + 1
	}
	c.excess = max(0, min(c.excess+(queue-l.queueLimit())*d.Seconds(), most))
}

// queueLimit returns the number of requests per slot above which the upstream is overloaded: as
// many as keep the slots busy, or less if a request would then be late.
func (l Load) queueLimit() float64 {
	if l.ServiceTime <= 0 || l.Target <= 0 {
		return busyQueue
	}
	return max(1, min(busyQueue, float64(l.Target)/float64(l.ServiceTime)-0.5))
}

// Level returns the level.
func (c *Controller) Level() Level {
	return Level(math.Round((1 - max(0, c.excess-slack)) * float64(LevelAll)))
}

// Mean is the mean of the levels of a service's agents, weighted by their slots. The zero value,
// and one without fresh reports, admits everything.
type Mean struct {
	sum, slots int
	// Heard is the number of agents with a fresh report, Age the age of the oldest of these
	// reports.
	Heard int
	Age   time.Duration
}

// maxReportAge is the age from which a report says nothing any more. A loaded agent reports with
// every answer to an opening.
const maxReportAge = 2 * time.Second

// Add adds an agent with a report of the given age.
func (m *Mean) Add(l Level, slots int, age time.Duration) {
	if age < 0 || age > maxReportAge {
		m.AddUnknown(slots)
		return
	}
	m.add(l, slots)
	m.Heard++
	m.Age = max(m.Age, age)
}

// AddUnknown adds an agent that has reported nothing.
func (m *Mean) AddUnknown(slots int) { m.add(LevelAll, slots) }

func (m *Mean) add(l Level, slots int) {
	n := max(slots, 1)
	m.slots += n
	m.sum += n * int(l)
}

// leastShed is the mean level from which on everything is admitted. If a few upstreams are full, the
// others have places.
const leastShed Level = 192

// Level returns the service's level.
func (m *Mean) Level() Level {
	if m.slots == 0 {
		return LevelAll
	}
	l := Level((m.sum + m.slots/2) / m.slots)
	if l >= leastShed {
		return LevelAll
	}
	return l
}
