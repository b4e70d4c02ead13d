package datagram

import (
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Member is an agent or a balancer as recorded where the fleet keeps its members.
type Member struct {
	IP      IP
	Agent   bool
	Service ServiceKey
	Zone    ZoneKey
}

const (
	// silentStatuses, silentLeast and silentDelay are how long an agent may be
	// silent: two of its statuses and their way, so that one lost datagram is no
	// doubt, and not less than three of a small site's.
	silentStatuses = 2
	silentLeast    = 3 * StatusEvery
	silentDelay    = 100 * time.Millisecond
	// forgottenAfter is when an agent that nobody hears and no record names is
	// forgotten: longer than a restart, and than flows can wait for it.
	forgottenAfter = 30 * time.Second
	// doubtAfter is how many openings in a row an agent leaves unanswered before
	// others are tried first; a lost datagram is one.
	doubtAfter = 1
)

// agentView is what a balancer knows of an agent.
type agentView struct {
	ip       IP
	key      uint64
	status   AgentStatus
	recorded bool
	noted    time.Duration // when it was known first
	heard    time.Duration // 0: never
	started  time.Duration
	missed   int // openings left unanswered since it was heard
	// told is when a balancer near the agent said that it is silent; 0: not.
	told       time.Duration
	toldStatus time.Duration // when this balancer told the agent its own status
	work       int           // flows and requests there, by its latest word
	asked      int           // openings that it has not answered yet
	// declined is when it said that it is busy, by how pressing the opening was.
	declined [pressingEnd]time.Duration
	former   [4]Life
}

// class orders agents for openings; a lower one is tried first.
type class uint8

const (
	classReady class = iota
	classCold
	classUnknown
	classDoubted
	// classNever agents would refuse, so they aren't asked.
	classNever
)

func (a *agentView) class(now time.Duration, out map[ZoneKey]bool) class {
	s := &a.status
	switch {
	case out[s.Zone], s.Leaving, s.State == UpstreamDraining, s.State == UpstreamGone, s.State == UpstreamAbsent:
		return classNever
	case a.missed >= doubtAfter, a.told != 0, s.State == UpstreamSilent:
		return classDoubted
	case a.heard == 0:
		// Recorded, and not heard yet: a balancer that has just started would
		// otherwise send everything to the first agent that it hears.
		return classReady
	case a.silent(now):
		return classDoubted
	case s.State == UpstreamUnknown:
		return classUnknown
	case s.Cold.Duration() > now-a.heard:
		return classCold
	}
	return classReady
}

// load is the flows and requests at the agent's upstream, by its size. A request
// counts as much as a flow: with a weight of four, which a request's share of a
// slot would ask for, one upstream of seven got 1.31 of the mean of 300 feeds.
func (a *agentView) load() float64 {
	return float64(a.work+a.asked) / float64(max(a.status.Slots, 1))
}

// busyFor is how long an agent that declined an opening is not asked again with the
// same limit or a lower one. An upstream of five slots ends a request each 6 to 16 ms.
//
// When all callers returned, each opening that waited asked every agent each 40 ms:
// 11,000 askings a second for 600 places, more than balancers with a twelfth of a core
// can send, and those that could have been in time waited with the rest.
const busyFor = 20 * time.Millisecond

// carefulFor is how long after that it is asked by one opening at a time: those that
// wait do so in step, and would all ask before the first is declined.
const carefulFor = 200 * time.Millisecond

// busy reports whether the agent would decline an opening with the hop, as far as is
// known.
func (a *agentView) busy(hop uint8, now time.Duration) bool {
	since := now - a.declined[hop]
	return a.declined[hop] != 0 && (since < busyFor || since < carefulFor && a.asked > 0)
}

// decline notes that the agent declined an opening with the hop, with so many requests
// there: it would decline all that are held to a limit that these reach.
func (a *agentView) decline(hop uint8, requests int, now time.Duration) {
	for h := range a.declined {
		if uint8(h) == hop || limitOf(uint8(h))*float64(max(a.status.Slots, 1)) <= float64(requests) {
			a.declined[h] = now
		}
	}
}

// answered takes in the load that comes with an answer to an opening, as statuses
// are up to 250 ms old when many callers open at once.
func (a *agentView) answered(load uint16) {
	a.work, a.asked = int(load), max(0, a.asked-1)
}

// Placement is how a balancer chooses among agents that it could ask as well.
type Placement uint8

// Placements.
const (
	// PlaceIdler takes the less loaded of the two that the hash ranks first.
	PlaceIdler Placement = iota
	// PlaceByHash takes the first, for comparisons.
	PlaceByHash
)

// agents is a balancer's view of the agents.
type agents struct {
	placement Placement
	zone      ZoneKey
	out       map[ZoneKey]bool // the balancer's own
	byIP      map[IP]*agentView
	byService map[ServiceKey][]*agentView
}

func newAgents() agents {
	return agents{byIP: map[IP]*agentView{}, byService: map[ServiceKey][]*agentView{}}
}

// hear takes in a status; born says whether it is of a life that was not known,
// which knows nobody yet, and changed whether what it says is new.
func (x *agents) hear(ip IP, s AgentStatus, now time.Duration) (born, changed bool) {
	a := x.byIP[ip]
	if a != nil && !a.newer(&s, now) {
		return false, false
	}
	moved := a == nil || a.status.Service != s.Service
	if a == nil {
		a = x.add(ip, now)
	}
	born = a.status.Life != s.Life
	changed = moved || born || a.status.State != s.State || a.status.Leaving != s.Leaving
	if born {
		a.former = [4]Life{a.status.Life, a.former[0], a.former[1], a.former[2]}
		a.started = now - s.Uptime.Duration()
	}
	a.status, a.heard, a.missed, a.told = s, now, 0, 0
	a.work = int(s.Flows) + int(s.UnderWay)
	if moved {
		x.index()
	}
	return born, changed
}

func (x *agents) add(ip IP, now time.Duration) *agentView {
	a := &agentView{ip: ip, key: fleet.Mix(uint64(ip), 0), noted: now}
	x.byIP[ip] = a
	return a
}

// newer reports whether the status is later than what is known.
//
// A datagram of a former life that comes late would set a restarted agent back
// to what it was, such as ready while it now drains. It shows as a life that was
// followed by another, or an older sequence; clocks play no part, as they jump.
func (a *agentView) newer(s *AgentStatus, now time.Duration) bool {
	if s.Life == a.status.Life {
		return s.Sequence > a.status.Sequence
	}
	for _, l := range a.former {
		if l != 0 && l == s.Life {
			return false
		}
	}
	return a.heard == 0 || now-s.Uptime.Duration() > a.started
}

// record takes in the members as recorded. An agent that was heard goes by its
// own word.
func (x *agents) record(ms []Member, now time.Duration) {
	for _, a := range x.byIP {
		a.recorded = false
	}
	for _, m := range ms {
		if !m.Agent {
			continue
		}
		a := x.byIP[m.IP]
		if a == nil {
			a = x.add(m.IP, now)
		}
		if a.recorded = true; a.heard == 0 {
			a.status = AgentStatus{Service: m.Service, Zone: m.Zone}
		}
	}
	x.forget(now)
	x.index()
}

func (x *agents) forget(now time.Duration) {
	for ip, a := range x.byIP {
		if !a.recorded && now-a.heard > forgottenAfter {
			delete(x.byIP, ip)
		}
	}
}

func (x *agents) index() {
	clear(x.byService)
	for _, a := range x.byIP {
		x.byService[a.status.Service] = append(x.byService[a.status.Service], a)
	}
}

// choose returns the agent for an opening: of the best class, the less loaded of
// the two that the hash ranks first, and rather one of the own availability zone.
//
// An agent that would decline an opening with the hop is left out; busy says whether
// there was one.
func (x *agents) choose(hash uint64, s ServiceKey, tried []IP, hop uint8, now time.Duration) (_ *agentView, _ class, busy bool) {
	var all, near pair
	best := classNever
	for _, a := range x.byService[s] {
		c := a.class(now, x.out)
		if a.busy(hop, now) {
			busy = busy || c < classDoubted
			continue
		}
		if c > best || c == classNever || contains(tried, a.ip) {
			continue
		}
		if c < best {
			best, all, near = c, pair{}, pair{}
		}
		r := ranked{a, fleet.Mix(hash, a.key)}
		all.add(r)
		if a.status.Zone == x.zone {
			near.add(r)
		}
	}
	if busy && best >= classDoubted {
		// Room comes free in some milliseconds; one that is dead would take 60.
		return nil, best, true
	}
	if x.placement == PlaceByHash {
		return all.first.agent, best, busy
	}
	a, n := all.idler(), near.idler()
	if n != nil && n.nearEnough(a) {
		return n, best, busy
	}
	return a, best, busy
}

// nearEnough reports whether the agent, of the own availability zone, is taken
// rather than o: it has a free slot, and is not much fuller.
//
// Bytes between zones are paid for, and each crossing takes 1 to 1.5 ms twice.
// But zones' callers are not as many as their upstreams can serve, so flows stay
// at home only as long as that costs no waiting.
func (a *agentView) nearEnough(o *agentView) bool {
	return int(a.status.UnderWay)+a.asked < int(max(a.status.Slots, 1)) && a.load() <= nearLoad*o.load()+1/float64(max(a.status.Slots, 1))
}

// nearLoad is how much fuller an upstream of the own zone may be; busiest over
// mean is to stay under 1.2.
const nearLoad = 1.1

// pair is the two agents that a hash ranks first.
type pair struct{ first, second ranked }

func (p *pair) add(r ranked) {
	switch {
	case p.first.agent == nil || r.score > p.first.score:
		p.first, p.second = r, p.first
	case p.second.agent == nil || r.score > p.second.score:
		p.second = r
	}
}

// idler returns the less loaded of the two.
func (p *pair) idler() *agentView {
	if p.second.agent != nil && p.second.agent.load() < p.first.agent.load() {
		return p.second.agent
	}
	return p.first.agent
}

type ranked struct {
	agent *agentView
	score uint64
}

func contains(ips []IP, ip IP) bool {
	for _, x := range ips {
		if x == ip {
			return true
		}
	}
	return false
}

// first returns where a walk for an established flow begins.
func (x *agents) first(hash uint64, ss []ServiceKey, now time.Duration) *agentView {
	return x.below(hash, ss, 0, now)
}

// next returns the agent that the walk asks after the last one, or nil when it
// comes back to where it started. The order is that of the hash over whatever
// members this process knows, so balancers with other views carry on the walk.
func (x *agents) next(hash uint64, ss []ServiceKey, last, start IP, now time.Duration) *agentView {
	l, s := x.rankOf(hash, last), x.rankOf(hash, start)
	a := x.below(hash, ss, l, now)
	if a == nil {
		a = x.first(hash, ss, now)
	}
	if a == nil || a.ip == start || a.ip == last || wrapped(l, x.rank(hash, a), s) {
		return nil
	}
	return a
}

// rank is the agent's place in a walk, the highest first: by hash, those in zones
// that are out before the others.
//
// An agent in a zone that is out drops what it holds. Were it asked after others, a
// flow that it holds would meanwhile be put before foreign upstreams by agents that
// were just started, and never reach its own.
func (x *agents) rank(hash uint64, a *agentView) uint64 {
	r := fleet.Mix(hash, a.key) >> 1
	if x.out[a.status.Zone] {
		r |= 1 << 63
	}
	return r
}

func (x *agents) rankOf(hash uint64, ip IP) uint64 {
	if a := x.byIP[ip]; a != nil {
		return x.rank(hash, a)
	}
	return score(hash, ip) >> 1
}

// wrapped reports whether going down from last to next passes start, for a
// start that this process doesn't know.
func wrapped(last, next, start uint64) bool {
	if next < last {
		return start < last && start > next
	}
	return start < last || start > next
}

// below returns the reachable agent with the highest score under the last one's,
// or of all if that is 0.
func (x *agents) below(hash uint64, ss []ServiceKey, last uint64, now time.Duration) *agentView {
	var best ranked
	for _, s := range ss {
		for _, a := range x.byService[s] {
			r := ranked{a, x.rank(hash, a)}
			if a.reachable(now) && (last == 0 || r.score < last) && (best.agent == nil || r.score > best.score) {
				best = r
			}
		}
	}
	return best.agent
}

// reachable reports whether a packet that the agent does not hold would come back.
//
// A walk that leads through a dead agent ends there, and all retransmissions with
// it, while the flow lives on further down; so silent agents are asked last.
func (a *agentView) reachable(now time.Duration) bool {
	return a.heard != 0 && a.told == 0 && !a.silent(now)
}

// silent reports whether the agent's statuses are overdue.
func (a *agentView) silent(now time.Duration) bool {
	return now-a.heard > max(silentStatuses*a.status.Every.Duration(), silentLeast)+silentDelay
}

// near reports whether the agent tells this balancer often.
func (a *agentView) near() bool {
	return a.heard != 0 && a.status.Every.Duration() <= LargeEvery
}

// lastSign is when there was last a sign of the agent's life, or word of its end.
func (a *agentView) lastSign() time.Duration { return max(a.heard, a.told) }

// goneAfter is when a silent agent is held for gone with its flows: five times the
// 0.5 s in which a killed process is started again. Callers' deadlines are 1 to 4 s,
// and until then each of them waits for an answer that may never come.
const goneAfter = 2500 * time.Millisecond

// unheardAfter is the same for an agent that is recorded and was not heard since
// this balancer started: three times the 0.6 s in which a process is started
// again. A VM that died long ago may still have its record.
const unheardAfter = 2 * time.Second

// mayLive reports whether a silent agent may still hold flows.
//
// Those whose upstream had deregistered, or had not been heard for as long as one
// that lives needs, hold none. Their VMs are taken away soon after, and callers of
// quite other upstreams, lost with them in a loss of power, waited for 5 s.
func (a *agentView) mayLive(now time.Duration) bool {
	s := &a.status
	switch {
	case s.State == UpstreamGone, s.State == UpstreamAbsent, s.State == UpstreamUnknown && s.Uptime.Duration() > announcedWithin:
		return false
	case a.heard == 0 && a.told == 0:
		return now < a.noted+unheardAfter
	case a.near():
		return now-a.heard < goneAfter // told is then this balancer's own doubt
	}
	return now-a.lastSign() < goneAfter
}

// unasked calls f for the agents of the services that a walk that ends now may
// have passed over, and reports whether a flow may live that the walk did not
// find after so many agents denied it.
//
// An agent that is first heard while a walk is past its place is not asked, and
// is no longer silent when the walk ends; its flow was reset while it lived, by
// balancers that had just started. It shows in fewer denials than agents.
func (x *agents) unasked(ss []ServiceKey, denials int, now time.Duration, f func(*agentView)) (mayLive bool) {
	known := 0
	for _, s := range ss {
		for _, a := range x.byService[s] {
			if a.reachable(now) {
				known++
				continue
			}
			mayLive = mayLive || a.mayLive(now)
			f(a)
		}
	}
	return mayLive || denials < known
}
