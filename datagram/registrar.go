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
	refreshInterval = 4 * time.Minute
	// homesUpdateDelay combines balancers that start together into one change of the home
	// set.
	homesUpdateDelay = 20 * time.Millisecond
	// homesSendDelay, plus homesSendDelayPerAgent for each agent, combines several changes
	// of the home set before the last one is sent to all balancers. Each change restarts
	// the delay, but the sending is put off for at most maxPostponements delays in total.
	// Added balancers are sent the set at once. All are sent it homesSendCount times,
	// because datagrams can be lost.
	homesSendDelay = 500 * time.Millisecond
	// unlistedHomesSendDelay replaces homesSendDelay for sets that are too large to be listed.
	// Until the last set is sent, balancers know nothing of it.
	unlistedHomesSendDelay = 100 * time.Millisecond
	homesSendDelayPerAgent = 200 * time.Microsecond
	maxPostponements       = 2
	homesSendCount         = 2
	// maxHomesListed limits the size of home sets that are listed in statuses while they
	// change.
	maxHomesListed = 64
	// previousHomesLifetime is how long flows are also registered at the homes of an
	// earlier set. Balancers may assume that the earlier set is still in use, until all
	// have received a later one.
	previousHomesLifetime = 4 * time.Second
	// maxPreviousHomes is the largest number of earlier sets that can arise in that time.
	maxPreviousHomes = int(previousHomesLifetime / homesUpdateDelay)
)

// previousHomeSet is a home set that was in use until recently.
type previousHomeSet struct {
	homeSet
	expires time.Duration
}

// needsRegistration reports whether the flow must be in the directories of its homes.
func (a *Agent) needsRegistration(f *flowState) bool {
	return f.phase >= flowAccepted && !f.closing.complete() && a.isCurrentRun(f.born)
}

// isCurrentRun reports whether a flow that was opened in the given run of the upstream may
// belong to its current run. born is Announcement.Born of the given run; 0 means unknown.
func (a *Agent) isCurrentRun(born int64) bool { return born == 0 || born == a.upstream.born }

// register registers the flow at its homes.
func (a *Agent) register(k Flow, f *flowState, now time.Duration) {
	f.registered, f.registeredNumber = now, f.ackNumber
	for _, ip := range a.homesOf(k) {
		a.sendEntries(ip, f.ackNumber, []Flow{k})
	}
}

// updateNumber registers the flow again if the number that its homes know is too old for them
// to reset it.
func (a *Agent) updateNumber(k Flow, f *flowState, now time.Duration) {
	d := int32(f.ackNumber - f.registeredNumber)
	if (d >= maxNumberLag || d <= -maxNumberLag) && f.registered != 0 && a.needsRegistration(f) {
		a.register(k, f, now)
	}
}

// homesOf returns all balancers that other processes may take for homes of the flow.
func (a *Agent) homesOf(k Flow) []IP {
	var ips []IP
	add := func(r registration) {
		for _, ip := range r {
			if ip != 0 && !slices.Contains(ips, ip) {
				ips = append(ips, ip)
			}
		}
	}
	add(a.homes.registration(k))
	for i := range a.previousHomes {
		add(a.previousHomes[i].registration(k))
	}
	return ips
}

// sendEntries registers flows at a home. number is the number of the flow if there is one flow,
// or 0. Earlier builds ignore it.
func (a *Agent) sendEntries(ip IP, number uint32, ks []Flow) {
	v := a.balancers[ip]
	if v == nil {
		return
	}
	for part := range slices.Chunk(ks, maxEntries) {
		m := a.scratch[:HeaderLen]
		// A fixed-size struct can't fail.
		m, _ = binary.Append(m, binary.BigEndian, &entriesHeader{a.Life, v.epoch, v.entries})
		for _, k := range part {
			m = appendFlow(m, k)
		}
		v.entries += uint32(len(part))
		h := Message{Kind: KindEntries, Service: a.Service, Opening: number}
		h.Put(m, a.Keys[0])
		a.Out.ToProcess(ip, m)
	}
}

// resendEntries starts a new epoch for a home and registers again all flows that have this
// home. Epochs are not used again for a home that was dropped and has returned, which may remember the
// earlier ones.
func (a *Agent) resendEntries(ip IP) {
	v := a.balancers[ip]
	if v == nil {
		return
	}
	a.epoch++
	v.epoch, v.entries = a.epoch, 0
	var ks []Flow
	for k, f := range a.flows.all() {
		if a.needsRegistration(f) && slices.Contains(a.homesOf(k), ip) {
			ks = append(ks, k)
		}
	}
	a.sendEntries(ip, 0, ks)
}

// updateHomes recomputes the home set and registers flows at the balancers that have become
// their homes.
func (a *Agent) updateHomes(now time.Duration) {
	a.homesUpdateAt = 0
	var ips []IP
	after := homeTimeout(len(a.balancers))
	for ip, v := range a.balancers {
		if v.life != 0 && now-v.lastSeen < after {
			ips = append(ips, ip)
		}
	}
	old := a.homes
	if a.homes = newHomeSet(ips, a.zoneOf); a.homes.equal(&old) {
		return
	}
	a.previousHomes = append(a.previousHomes[max(0, len(a.previousHomes)+1-maxPreviousHomes):],
		previousHomeSet{old, now + previousHomesLifetime})
	a.scheduleHomesStatus(now)
	moved := map[IP][]Flow{}
	for k, f := range a.flows.all() {
		if !a.needsRegistration(f) {
			continue
		}
		before := old.registration(k)
		for _, ip := range a.homes.registration(k) {
			if ip != 0 && before.index(ip) < 0 {
				moved[ip] = append(moved[ip], k)
			}
		}
	}
	for _, ip := range a.homes.ips {
		a.sendEntries(ip, 0, moved[ip])
		if !slices.Contains(old.ips, ip) {
			a.sendInitialStatus(ip, now)
		}
	}
}

// zoneOf returns a balancer's availability zone, or 0 if it is not known.
func (a *Agent) zoneOf(ip IP) ZoneKey {
	if v := a.balancers[ip]; v != nil {
		return v.zone
	}
	return 0
}

// scheduleHomesStatus schedules the statuses that send a new home set to all balancers.
func (a *Agent) scheduleHomesStatus(now time.Duration) {
	delay := homesSendDelay
	if len(a.homes.ips) > maxHomesListed {
		delay = unlistedHomesSendDelay
	}
	delay += time.Duration(a.agentCount) * homesSendDelayPerAgent
	if a.homesSendAt == 0 {
		a.homesSendDeadline = now + maxPostponements*delay
	}
	a.homesSendAt, a.homesSendsLeft = min(now+delay, a.homesSendDeadline), homesSendCount
}

// expirePreviousHomes drops the earlier sets that no balancer assumes to be in use any
// more.
func (a *Agent) expirePreviousHomes(now time.Duration) {
	a.previousHomes = slices.DeleteFunc(a.previousHomes, func(f previousHomeSet) bool { return now > f.expires })
}

// refreshEntries registers flows again whose last registration is long ago.
func (a *Agent) refreshEntries(now time.Duration) {
	for k, f := range a.flows.all() {
		if now-f.registered >= refreshInterval && a.needsRegistration(f) {
			a.register(k, f, now)
		}
	}
}
