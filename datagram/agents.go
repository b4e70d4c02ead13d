package datagram

import (
	"maps"
	"slices"
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Member is the record of an agent or a balancer in the fleet's store.
type Member struct {
	IP      IP
	Agent   bool
	Service ServiceKey
	Zone    ZoneKey
	// Revision is that of the record. Marked: a watcher does not hear the member.
	Revision uint64
	Marked   bool
}

// agents is a balancer's view of the agents.
type agents struct {
	placement Placement
	zone      ZoneKey
	zonesOut  map[ZoneKey]bool // shared with the balancer
	byIP      map[IP]*agentView
	byService map[ServiceKey][]*agentView
	speeds    map[ServiceKey]*serviceSpeed // of the services with a target latency
	expected  observer                     // receives expected times; may be nil
	counts    *BalancerCounts
	log       *Log
	recordsAt time.Duration // when the records were last read
}

func newAgents() agents {
	return agents{byIP: map[IP]*agentView{}, byService: map[ServiceKey][]*agentView{}, speeds: map[ServiceKey]*serviceSpeed{}, counts: &BalancerCounts{}}
}

// applyStatus stores a status unless it is outdated. restarted is true if the agent has
// started a new run, in which it does not know this balancer yet; changed is true if the
// content differs from that of the previous status.
func (x *agents) applyStatus(ip IP, s AgentStatus, now time.Duration) (restarted, changed bool) {
	a := x.byIP[ip]
	if a != nil && !a.isNewer(&s, now) {
		return false, false
	}
	moved := a == nil || a.status.Service != s.Service
	if a == nil {
		a = x.add(ip, now)
	}
	restarted = a.status.Life != s.Life
	changed = moved || restarted || a.status.State != s.State || a.status.Leaving != s.Leaving
	if restarted {
		a.previousLives = [4]Life{a.status.Life, a.previousLives[0], a.previousLives[1], a.previousLives[2]}
		a.started = now - s.Uptime.Duration()
	}
	a.status, a.lastSeen, a.missedOpenings, a.suspicion = s, now, 0, suspicion{}
	a.reportedLoad = int(s.Flows) + int(s.UnderWay)
	if moved {
		x.rebuildIndex()
	}
	return restarted, changed
}

// isSuspected reports whether the agent is known and suspected.
func (x *agents) isSuspected(ip IP) bool {
	a := x.byIP[ip]
	return a != nil && a.suspicion.since != 0
}

func (x *agents) add(ip IP, now time.Duration) *agentView {
	a := &agentView{ip: ip, key: fleet.Mix(uint64(ip), 0), discovered: now}
	x.byIP[ip] = a
	return a
}

// applyRecords stores the recorded members. For an agent that has sent a status, the status
// takes precedence.
func (x *agents) applyRecords(ms []Member, now time.Duration) {
	x.recordsAt = now
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
		if a.recorded = true; a.lastSeen == 0 {
			a.status = AgentStatus{Service: m.Service, Zone: m.Zone}
		}
	}
	x.rebuildIndex()
}

// expire drops the agents that have sent nothing for too long and have no record. A record
// counts for expiryTime after it was read, because only watchers of the store read the records
// regularly. An agent that returns later announces itself.
func (x *agents) expire(l FlowLifetime, now time.Duration) {
	dropped := false
	for ip, a := range x.byIP {
		recorded := a.recorded && now-max(x.recordsAt, a.discovered) <= expiryTime
		if !recorded && a.isExpired(l, now) {
			delete(x.byIP, ip)
			dropped = true
		}
	}
	if dropped {
		x.rebuildIndex()
	}
}

func (x *agents) rebuildIndex() {
	clear(x.byService)
	for _, ip := range slices.Sorted(maps.Keys(x.byIP)) {
		a := x.byIP[ip]
		x.byService[a.status.Service] = append(x.byService[a.status.Service], a)
	}
}
