package datagram

import (
	"time"

	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/placement"
)

// Placement of openings. By count ("power of two choices"), an opening goes to the less loaded of
// the two agents that its flow's hash ranks highest, among the agents of the best class that
// are not busy, with a preference for the balancer's own availability zone. The cost is one
// pass over the agents of the service. The least loaded of all agents is not used, because
// every balancer would choose it at the same time.
//
// If the speeds of a service's upstreams differ and one of its routes has a target latency, the
// opening goes to the agent among the highest ranked at which its answer is expected first; see
// package placement. Every trickleInterval-th opening is placed by count nevertheless, so that
// slow upstreams keep reporting their speed and a recovery is seen.

// Placement is the algorithm by which a balancer chooses among equally suitable agents.
type Placement uint8

// Placement algorithms.
const (
	// PlaceByTime places by expected time where the speeds of upstreams differ, and otherwise by
	// count.
	PlaceByTime Placement = iota
	// PlaceByTwoChoices takes the less loaded of the two agents that the hash ranks
	// highest.
	PlaceByTwoChoices
	// PlaceByHash takes the agent that the hash ranks highest. It exists for comparison.
	PlaceByHash
	// PlaceByTimeOnly and PlaceByWeightedCount are like PlaceByTime, but without the risk to be
	// late, or with the count weighted by speed instead of the expected time. They exist for
	// comparison.
	PlaceByTimeOnly
	PlaceByWeightedCount
)

// way returns how agents of unequal speed are chosen; false if speeds don't count.
func (p Placement) way() (placement.Way, bool) {
	switch p {
	case PlaceByTime:
		return placement.ByTimeAndRisk, true
	case PlaceByTimeOnly:
		return placement.ByTime, true
	case PlaceByWeightedCount:
		return placement.ByWeightedCount, true
	}
	return 0, false
}

const (
	// rankedCount is the number of the highest ranked agents that are compared.
	rankedCount = 4
	// trickleInterval is n if every n-th opening is placed by count. An upstream with 20 openings
	// per second then gets an opening each 1.6 s at least.
	trickleInterval = 32
	// trickleSalt makes the trickle independent of the ranking.
	trickleSalt = 0x747269636b6c65
	// speedInterval is the time between two computations of a service's mean speed, which take
	// a pass over its agents.
	speedInterval = 100 * time.Millisecond
)

// serviceSpeed is the mean speed of a service's upstreams.
type serviceSpeed struct {
	mean       placement.Speed
	alike      bool // no upstream differs from another one
	computedAt time.Duration
}

// setTimed sets the services that have a route with a target latency.
func (x *agents) setTimed(c *Configuration) {
	timed := map[ServiceKey]*serviceSpeed{}
	for _, r := range c.Routes {
		for _, s := range r.Shares {
			if r.TargetLatency > 0 && s.Weight > 0 {
				if timed[s.Service] = x.speeds[s.Service]; timed[s.Service] == nil {
					timed[s.Service] = &serviceSpeed{alike: true, computedAt: -speedInterval}
				}
			}
		}
	}
	x.speeds = timed
}

// speed returns the mean speed of the service's upstreams, or nil if openings are to be placed by
// count.
func (x *agents) speed(s ServiceKey, now time.Duration) *serviceSpeed {
	v := x.speeds[s]
	if _, byTime := x.placement.way(); v == nil || !byTime {
		return nil
	}
	if now-v.computedAt >= speedInterval {
		x.computeSpeed(s, v, now)
	}
	if v.alike {
		return nil
	}
	return v
}

// computeSpeed computes the mean by slots of the speeds that are known.
func (x *agents) computeSpeed(s ServiceKey, v *serviceSpeed, now time.Duration) {
	var mean, tail, slots float64
	for _, a := range x.byService[s] {
		if c := a.candidate(0, x.zone, now); c.Known() {
			n := float64(max(c.Slots, 1))
			mean, tail, slots = mean+n*float64(c.ServiceTime), tail+n*float64(c.TailTime), slots+n
		}
	}
	*v = serviceSpeed{alike: true, computedAt: now}
	if slots == 0 {
		return
	}
	v.mean = placement.Speed{ServiceTime: time.Duration(mean / slots), TailTime: time.Duration(tail / slots)}
	var r placement.Range
	for _, a := range x.byService[s] {
		c := a.candidate(0, x.zone, now)
		r.Add(c.Speed(v.mean))
		x.noteSpeed(a, &c, v.mean, now)
	}
	v.alike = r.Alike()
}

// noteSpeed notes and logs that an upstream begins or ends to be slow.
func (x *agents) noteSpeed(a *agentView, c *placement.Candidate, mean placement.Speed, now time.Duration) {
	if !c.Known() {
		return
	}
	if a.speedNoted == 0 {
		a.speedNoted = c.ServiceTime
	}
	slow := c.IsSlow(mean)
	if slow == a.slow || !slow && c.IsNearlySlow(mean) || a.speedNotedAt != 0 && now-a.speedNotedAt < speedLogInterval {
		return
	}
	x.log.speedChanged(a.ip, a.speedNoted, c.ServiceTime, 0, mean.ServiceTime)
	a.slow, a.speedNoted, a.speedNotedAt = slow, c.ServiceTime, now
}

// choose returns the agent for an opening of a route with the given target latency, and its
// class: of the best class, the one that the algorithm prefers among those that the hash ranks
// highest, with a preference for the own availability zone.
//
// Agents in tried, and agents that would decline an opening of the priority, are left out.
// busy is true if an agent of the latter kind is neither doubted nor excluded.
func (x *agents) choose(hash uint64, s ServiceKey, tried []IP, p Priority, target, now time.Duration) (
	_ *agentView, _ class, busy bool,
) {
	v, n := x.speed(s, now), 2
	if v != nil {
		n = rankedCount
	}
	var all, sameZone ranking
	best := classExcluded
	for _, a := range x.byService[s] {
		c := a.class(now, x.zonesOut)
		if a.wouldDecline(p, now) {
			busy = busy || c < classDoubted
			continue
		}
		if c > best || c == classExcluded || contains(tried, a.ip) {
			continue
		}
		if c < best {
			best, all, sameZone = c, ranking{}, ranking{}
		}
		r := ranked{a, max(1, fleet.Mix(hash, a.key))}
		if r.score > all[n-1].score {
			all.add(r, n)
		}
		if a.status.Zone == x.zone && r.score > sameZone[n-1].score {
			sameZone.add(r, n)
		}
	}
	if busy && best >= classDoubted {
		// A slot becomes free before a dead agent is detected.
		return nil, best, true
	}
	if x.placement == PlaceByHash {
		return all[0].agent, best, busy
	}
	if v != nil {
		if fleet.Mix(hash, trickleSalt)%trickleInterval == 0 {
			x.counts.Trickle++
		} else if a := x.soonest(&all, &sameZone, v.mean, best, target, now); a != nil {
			return a, best, busy
		}
	}
	a, near := all.lessLoaded(), sameZone.lessLoaded()
	if near != nil && near.isPreferred(a) {
		return near, best, busy
	}
	return a, best, busy
}

// soonest returns the agent at which an opening's answer is expected first; nil if the speeds of
// the highest ranked agents are alike.
func (x *agents) soonest(all, sameZone *ranking, mean placement.Speed, c class, target, now time.Duration) *agentView {
	var agents [2 * rankedCount]*agentView
	var cs [2 * rankedCount]placement.Candidate
	n := 0
	for _, r := range [2]*ranking{all, sameZone} {
		for _, x0 := range r {
			if a := x0.agent; a != nil && (r == all || !all.has(a)) {
				agents[n], cs[n] = a, a.candidate(c, x.zone, now)
				n++
			}
		}
	}
	w, _ := x.placement.way()
	choice := w.Choose(cs[:n], mean, target)
	if choice.Index < 0 {
		return nil
	}
	x.counts.PlacedByTime++
	x.expected.record(ObserveExpected, choice.Expected)
	return agents[choice.Index]
}

// ranking holds the agents that a hash ranks highest, in order.
type ranking [rankedCount]ranked

// add adds an agent that is among the first n.
func (p *ranking) add(r ranked, n int) {
	i := n - 1
	for ; i > 0 && r.score > p[i-1].score; i-- {
		p[i] = p[i-1]
	}
	p[i] = r
}

func (p *ranking) has(a *agentView) bool {
	for i := range p {
		if p[i].agent == a {
			return true
		}
	}
	return false
}

// lessLoaded returns the less loaded of the first two.
func (p *ranking) lessLoaded() *agentView {
	if p[1].agent != nil && p[1].agent.load() < p[0].agent.load() {
		return p[1].agent
	}
	return p[0].agent
}

type ranked struct {
	agent *agentView
	score uint64 // 0 only if agent is nil
}

func contains(ips []IP, ip IP) bool {
	for _, x := range ips {
		if x == ip {
			return true
		}
	}
	return false
}
