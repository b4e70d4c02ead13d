package datagram

import (
	"encoding/binary"
	"log/slog"
	"math"
	"time"

	"pomeloway.example/pomeloway/admission"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fairshare"
	"pomeloway.example/pomeloway/fleet"
)

// Admission of openings to a service that gets more work than its upstreams can do in time. Agents
// report a level, and an opening whose rank is not below the service's level is not admitted; see
// package admission.
//
// An opening that is not admitted is still sent to an agent that has a place, so a level that is
// too low costs nobody a request while there are places. If all agents are busy, it waits for
// unadmittedWait and is then refused. One that is admitted waits until its caller gives up.
// Callers whose openings are refused come back at once and are soon done. If all of them waited
// instead, they would come back for as long as their requests last, through balancers that can't
// tell them from new callers, and would take the places of these after the overload has ended.

// Admission selects what happens to openings at overload.
type Admission uint8

// Ways of admission. Those from AdmitIfIdle on exist for comparison.
const (
	// AdmitByLevel goes by the service's level if the service has routes of several priorities.
	AdmitByLevel Admission = iota
	// AdmitAll lets every opening wait until its caller gives up.
	AdmitAll
	// AdmitIfIdle refuses openings that are not urgent at once when all agents are busy.
	AdmitIfIdle
	// AdmitByPriority is AdmitAtOnce with the same rank for all openings that are not urgent.
	AdmitByPriority
	// AdmitAtOnce refuses openings that are not admitted unless an agent has a free slot.
	AdmitAtOnce
	// AdmitWaiting lets openings that are not admitted wait for free slots.
	AdmitWaiting
)

const (
	// unadmittedWait is how long an opening that is not admitted waits for a place. Callers try
	// three times, so that this covers the time in which the upstreams' queues become short
	// after an overload. With 80 ms and more, those who come back compete with new callers.
	unadmittedWait = 50 * time.Millisecond
	// levelInterval is how long a computed level is used. A level moves by a few percent in it.
	levelInterval = 10 * time.Millisecond
	// levelLogInterval bounds the log lines about a service's level.
	levelLogInterval = time.Second
	// controlInterval bounds how often the agent's controller is updated, so that it costs
	// nothing per packet.
	controlInterval = 5 * time.Millisecond
	// urgentMemory is the time after an urgent opening in which an agent takes its service to
	// have urgent routes. It exceeds the pauses between urgent requests of a service in use.
	urgentMemory = 30 * time.Second
	// ordinaryMemory is the same for requests that are not urgent. While there are any, urgent
	// openings are all admitted.
	ordinaryMemory = time.Second
)

// serviceAdmission is a service's level as a balancer knows it.
type serviceAdmission struct {
	mean      admission.Mean
	level     admission.Level
	updatedAt time.Duration // 0: never
	logged    admission.Level
	loggedAt  time.Duration
	// sharers share the capacity among accounts, for openings that are urgent and for others.
	sharers [2]fairshare.Sharer
}

// sharer returns the sharer for openings that are urgent, or for the others.
func (x *serviceAdmission) sharer(urgent bool) *fairshare.Sharer {
	if urgent {
		return &x.sharers[0]
	}
	return &x.sharers[1]
}

// levelOf returns the service's level.
func (b *Balancer) levelOf(s ServiceKey, now time.Duration) *serviceAdmission {
	x := b.admissions[s]
	if x == nil {
		x = &serviceAdmission{logged: admission.LevelAll}
		b.admissions[s] = x
	}
	if x.updatedAt != 0 && now-x.updatedAt < levelInterval {
		return x
	}
	x.updatedAt, x.mean = now, admission.Mean{}
	for _, a := range b.agents.byService[s] {
		switch {
		case a.class(now, b.zonesOut) >= classDoubted:
		case a.report.Present:
			x.mean.Add(admission.Level(a.report.Level), int(a.status.Slots), now-a.reportedAt)
		default:
			x.mean.AddUnknown(int(a.status.Slots))
		}
	}
	x.level = x.mean.Level()
	if x.level != x.logged && (x.loggedAt == 0 || now-x.loggedAt >= levelLogInterval) {
		x.logged, x.loggedAt = x.level, now
		b.Log.levelChanged(b.config.Services[s].Name, x)
	}
	return x
}

// admit decides whether a new opening is admitted.
func (b *Balancer) admit(o *opening, now time.Duration) {
	if b.Admission == AdmitAll || !b.config.Services[o.service].Prioritized {
		return
	}
	x := b.levelOf(o.service, now)
	switch b.Admission {
	case AdmitIfIdle:
		o.unadmitted = !o.urgent
	case AdmitByPriority:
		const middle = 191 // of the ranks of openings that are not urgent
		o.unadmitted = !o.urgent && !x.level.Admits(middle)
	default:
		o.unadmitted = !x.level.Admits(b.rankOf(o, now))
	}
	o.leftover = o.unadmitted && b.Admission != AdmitByLevel
	if b.Admission == AdmitByLevel && x.level < admission.LevelAll {
		b.limitAccount(o, x, now)
	}
	if o.unadmitted {
		b.Count.NotAdmitted++
		b.Log.logDecision(decision{
			event: events.OpeningNotAdmitted, flow: o.flow, reason: ReasonOverloaded, hop: uint8(x.level),
			version: b.ConfigurationVersion(), age: x.mean.Age,
		}, now)
	}
}

// limitAccount gives an opening of an account that asks for more than its fair share only the free
// slots, but for as many of its openings as are its share. The choice is by the flow, so that an
// account that opens many flows is neither served in full nor not at all.
func (b *Balancer) limitAccount(o *opening, x *serviceAdmission, now time.Duration) {
	a := fairshare.Account(b.accountOf(o.flow.Caller.IP))
	s := x.sharer(o.urgent)
	s.Note(a, now)
	y := s.Of(a, now)
	if !y.Limited || float64(fleet.Mix(o.flow.hash(), limitSalt)>>11) < y.Probability*(1<<53) {
		return
	}
	o.unadmitted, o.leftover = true, true
	b.Count.Limited++
	b.Log.logDecision(decision{
		event: events.AccountLimited, flow: o.flow, reason: ReasonOverloaded, hop: uint8(y.Probability * 100),
		version: b.ConfigurationVersion(), age: x.mean.Age,
	}, now)
}

// limitSalt makes the choice among an account's openings independent of the choice of the agent.
const limitSalt = 0x6c696d6974

// noteServed notes that an upstream accepted the opening.
func (b *Balancer) noteServed(o *opening, now time.Duration) {
	if x := b.admissions[o.service]; x != nil && x.level < admission.LevelAll {
		x.sharer(o.urgent).Served(now)
	}
}

// rankOf returns the opening's rank.
func (b *Balancer) rankOf(o *opening, now time.Duration) admission.Rank {
	p := admission.Ordinary
	if o.urgent {
		p = admission.Urgent
	}
	wall := now
	if b.Clock != nil {
		wall = b.Clock()
	}
	return admission.RankOf(p, b.accountOf(o.flow.Caller.IP), wall)
}

// accountOf returns the account of callers at the address: the address, or its prefix of the
// configured length.
func (b *Balancer) accountOf(ip IP) admission.Account {
	if b.AccountPrefix != 0 {
		ip &= math.MaxUint32 << (32 - min(b.AccountPrefix, 32))
	}
	var k [4]byte
	binary.BigEndian.PutUint32(k[:], uint32(ip))
	return admission.Account(fleet.HashOf(k[:]))
}

// yields reports whether the opening gets only the capacity that others leave over.
func (o *opening) yields(now time.Duration) bool { return o.leftover || o.isLate(now) }

// refusesUnadmitted reports whether an opening for which all agents are busy is refused now.
func (b *Balancer) refusesUnadmitted(o *opening, now time.Duration) bool {
	switch b.Admission {
	case AdmitByLevel:
		return o.unadmitted && now-o.started >= unadmittedWait
	case AdmitWaiting:
		return false
	}
	return o.unadmitted
}

// noteArrival notes the arrival of an opening, or of a request that is not urgent.
func (a *Agent) noteArrival(urgent bool, now time.Duration) {
	if urgent {
		a.urgentAt = now
		return
	}
	a.ordinaryAt = now
}

// updateLevel tells the controller the load of the upstream.
func (a *Agent) updateLevel(now time.Duration) {
	if now-a.levelUpdatedAt < controlInterval {
		return
	}
	a.levelUpdatedAt = now
	var target Budget
	for _, b := range a.targets {
		if target == 0 || b < target {
			target = b
		}
	}
	a.controller.Update(admission.Load{
		Slots: a.upstream.slotCount(), Requests: a.requestCount(now), Waiting: len(a.held) + len(a.kept),
		UrgentOnly: now-a.ordinaryAt > ordinaryMemory, ServiceTime: a.requests.serviceTime(), Target: target.duration(),
	}, now)
}

// level returns the level that the agent reports. It is for services with urgent routes, which
// the agent recognizes by their openings.
func (a *Agent) level(now time.Duration) admission.Level {
	if a.Admission == AdmitAll || a.urgentAt == 0 || now-a.urgentAt > urgentMemory {
		return admission.LevelAll
	}
	return a.controller.Level()
}

// overloadedLevel is the level below which an upstream is overloaded and not only met by a burst of
// the flows that it has: nearly all openings that are not urgent are refused.
const overloadedLevel admission.Level = 144

// isOverloaded reports whether the upstream is overloaded. Requests on open flows then wait at the
// agent from the same load on as openings do, so that the upstream's queue is
// short when the overload ends.
func (a *Agent) isOverloaded(now time.Duration) bool { return a.level(now) < overloadedLevel }

// levelChanged logs a service's level, how many agents have reported theirs, and the age of the
// oldest of these reports.
func (l *Log) levelChanged(service string, x *serviceAdmission) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.LevelChanged, slog.String("service", service), slog.Int("level", int(x.level)),
		slog.Int("agents", x.mean.Heard), slog.Duration("age", x.mean.Age))
}
