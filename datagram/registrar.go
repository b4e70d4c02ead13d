package datagram

import (
	"encoding/binary"
	"slices"
	"time"
)

// Registration of flows. An agent registers each flow at the flow's homes as soon as its
// upstream has accepted it. The caller's next packet takes longer to reach its balancer and
// a home, so the entry arrives first. When the set of balancers changes, the flows that get
// a different home are registered there.

const (
	// refreshInterval is the time after which an agent registers a flow again, because
	// homes drop entries that are not repeated.
	refreshEvery = 4 * time.Minute
	// homesUpdateDelay combines balancers that start together into one change of the home
	// set.
	homesGather = 20 * time.Millisecond
	// homesSendDelay, plus homesSendDelayPerAgent for each agent, combines several changes
	// of the home set before the last one is sent to all balancers. Each change restarts
	// the delay, but the sending is put off for at most maxPostponements delays in total.
	// Added balancers are sent the set at once. All are sent it homesSendCount times,
	// because datagrams can be lost.
	homesDelay     = 500 * time.Millisecond
	homesDelayEach = 200 * time.Microsecond
	homesDelays    = 2
	homesTells     = 2
	// maxHomesListed limits the size of home sets that are listed in statuses while they
	// change.
	homesListed = 64
	// previousHomesLifetime is how long flows are also registered at the homes of an
	// earlier set. Balancers may assume that the earlier set is still in use, until all
	// have received a later one.
	formerFor = 4 * time.Second
	// maxPreviousHomes is the largest number of earlier sets that can arise in that time.
	formerMost = int(formerFor / homesGather)
)

// previousHomeSet is a home set that was in use until recently.
type formerHomes struct {
	homeSet
	till time.Duration
}

// needsRegistration reports whether the flow must be in the directories of its homes.
func (a *Agent) held(f *flowState) bool {
	return f.phase >= flowAccepted && !f.finished && a.isPresent(f.born)
}

// isCurrentLife reports whether a flow that was opened in the given life of the upstream
// (0: unknown) may belong to the current life.
func (a *Agent) isPresent(born int64) bool { return born == 0 || born == a.upstream.born }

// register registers the flow at its homes.
func (a *Agent) register(k Flow, f *flowState, now time.Duration) {
	f.registered = now
	for _, ip := range a.homesOf(k) {
		a.enter(ip, []Flow{k})
	}
}

// homesOf returns all balancers that other processes may take for homes of the flow.
func (a *Agent) homesOf(k Flow) []IP {
	var ips []IP
	add := func(h homes) {
		for _, ip := range h {
			if ip != 0 && !slices.Contains(ips, ip) {
				ips = append(ips, ip)
			}
		}
	}
	add(a.homes.of(k))
	for i := range a.former {
		add(a.former[i].of(k))
	}
	return ips
}

// sendEntries registers flows at a home.
func (a *Agent) enter(ip IP, ks []Flow) {
	v := a.balancers[ip]
	if v == nil {
		return
	}
	for part := range slices.Chunk(ks, entriesMost) {
		m := a.scratch[:HeaderLen]
		m, _ = binary.Append(m, binary.BigEndian, &entriesHead{a.Life, v.epoch, v.entries}) // a fixed-size struct can't fail
		for _, k := range part {
			m = appendFlow(m, k)
		}
		v.entries += uint32(len(part))
		h := Message{Kind: KindEntries, Service: a.Service}
		h.Put(m, a.Keys[0])
		a.Out.ToProcess(ip, m)
	}
}

// resendEntries starts a new epoch for a home and registers again all flows that have this
// home.
func (a *Agent) enterAgain(ip IP) {
	v := a.balancers[ip]
	if v == nil {
		return
	}
	v.epoch, v.entries = v.epoch+1, 0
	var ks []Flow
	for k, f := range a.flows.all() {
		if a.held(f) && slices.Contains(a.homesOf(k), ip) {
			ks = append(ks, k)
		}
	}
	a.enter(ip, ks)
}

// updateHomes recomputes the home set and registers flows at the balancers that have become
// their homes.
func (a *Agent) updateHomes(now time.Duration) {
	a.homesDue = 0
	var ips []IP
	after := homeSilentAfter(len(a.balancers))
	for ip, v := range a.balancers {
		if v.life != 0 && now-v.heard < after {
			ips = append(ips, ip)
		}
	}
	old := a.homes
	if a.homes = newHomeSet(ips); a.homes.equal(&old) {
		return
	}
	a.former = append(a.former[max(0, len(a.former)+1-formerMost):], formerHomes{old, now + formerFor})
	a.tellHomes(now)
	moved := map[IP][]Flow{}
	for k, f := range a.flows.all() {
		if !a.held(f) {
			continue
		}
		before := old.of(k)
		for _, ip := range a.homes.of(k) {
			if ip != 0 && !before.has(ip) {
				moved[ip] = append(moved[ip], k)
			}
		}
	}
	for _, ip := range a.homes.ips {
		a.enter(ip, moved[ip])
		if !slices.Contains(old.ips, ip) {
			a.greet(ip, now)
		}
	}
}

// scheduleHomesStatus schedules the statuses that send a new home set to all balancers.
func (a *Agent) tellHomes(now time.Duration) {
	delay := homesDelay + time.Duration(a.agents)*homesDelayEach
	if a.homesTell == 0 {
		a.homesLast = now + homesDelays*delay
	}
	a.homesTell, a.homesTells = min(now+delay, a.homesLast), homesTells
}

// expirePreviousHomes drops the earlier sets that no balancer assumes to be in use any
// more.
func (a *Agent) forgetFormer(now time.Duration) {
	a.former = slices.DeleteFunc(a.former, func(f formerHomes) bool { return now > f.till })
}

// refreshEntries registers flows again whose last registration is long ago.
func (a *Agent) refresh(now time.Duration) {
	for k, f := range a.flows.all() {
		if now-f.registered >= refreshEvery && a.held(f) {
			a.register(k, f, now)
		}
	}
}
