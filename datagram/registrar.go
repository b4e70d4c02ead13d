package datagram

import (
	"encoding/binary"
	"slices"
	"time"
)

// An agent tells the homes of each flow that it holds it, as soon as its upstream has
// accepted: the caller's next packet takes longer to its balancer and to a home. When
// the set of balancers changes, the flows that get another home are told there.

const (
	// refreshEvery is how often an agent tells of a flow again, as homes forget what
	// nobody repeats.
	refreshEvery = 4 * time.Minute
	// homesDelay, and homesDelayEach for each agent, gather changes of the set of
	// balancers, of which there are many when all return, before all are told of the
	// last; homesDelays bounds how often that is put off.
	homesDelay     = 100 * time.Millisecond
	homesDelayEach = 200 * time.Microsecond
	homesDelays    = 4
	// homesListed bounds the sets that are listed in statuses while they change.
	homesListed = 64
	// formerFor is how long flows are also told to the homes of an earlier set, as
	// balancers may believe that it is in use. It is over the way of a status.
	formerFor = 2 * time.Second
	// formerMost bounds the earlier sets.
	formerMost = 8
)

// formerHomes is a set that was in use until shortly.
type formerHomes struct {
	homeSet
	till time.Duration
}

// held reports whether the flow is one that homes are told of.
func (a *Agent) held(f *flowState) bool {
	return f.phase >= flowAccepted && !f.finished && (f.born == 0 || f.born == a.upstream.born)
}

// register tells the flow's homes that it is here.
func (a *Agent) register(k Flow, f *flowState, now time.Duration) {
	f.registered = now
	told := a.homes.of(k)
	for _, ip := range told {
		a.enter(ip, []Flow{k})
	}
	extra := told[:]
	for i := range a.former {
		for _, ip := range a.former[i].of(k) {
			if !slices.Contains(extra, ip) {
				extra = append(extra, ip)
				a.enter(ip, []Flow{k})
			}
		}
	}
}

// enter tells a home of flows that are here.
func (a *Agent) enter(ip IP, ks []Flow) {
	v := a.balancers[ip]
	if v == nil {
		return
	}
	for part := range slices.Chunk(ks, entriesMost) {
		m := a.scratch[:HeaderLen]
		m, _ = binary.Append(m, binary.BigEndian, &entriesHead{a.Life, v.epoch, v.entries}) // a fixed-size struct can't fail
		for _, k := range part {
			at := len(m)
			m = append(m, make([]byte, flowLen)...)
			k.put(m[at:])
		}
		v.entries += uint32(len(part))
		h := Message{Kind: KindEntries, Service: a.Service}
		h.Put(m, a.Keys[0])
		a.Out.ToProcess(ip, m)
	}
}

// enterAgain tells a home of all flows that it is home of, from the beginning.
func (a *Agent) enterAgain(ip IP) {
	v := a.balancers[ip]
	if v == nil {
		return
	}
	v.epoch, v.entries = v.epoch+1, 0
	var ks []Flow
	for k, f := range a.flows.all() {
		if a.held(f) && a.homes.of(k).has(ip) {
			ks = append(ks, k)
		}
	}
	a.enter(ip, ks)
}

// updateHomes works out which balancers are homes, and tells those that became one of a
// flow by it, but for the one that is told everything.
func (a *Agent) updateHomes(except IP, now time.Duration) {
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
	delay := homesDelay + time.Duration(a.agents)*homesDelayEach
	if a.homesTell == 0 {
		a.homesLast = now + homesDelays*delay
	}
	a.homesTell = min(now+delay, a.homesLast)
	moved := map[IP][]Flow{}
	for k, f := range a.flows.all() {
		if !a.held(f) {
			continue
		}
		before := old.of(k)
		for _, ip := range a.homes.of(k) {
			if ip != 0 && ip != except && !before.has(ip) {
				moved[ip] = append(moved[ip], k)
			}
		}
	}
	for ip, ks := range moved {
		a.enter(ip, ks)
	}
}

// forgetFormer drops the sets that nobody believes to be in use any more.
func (a *Agent) forgetFormer(now time.Duration) {
	a.former = slices.DeleteFunc(a.former, func(f formerHomes) bool { return now > f.till })
}

// refresh tells homes again of flows that they were told of long ago.
func (a *Agent) refresh(now time.Duration) {
	for k, f := range a.flows.all() {
		if now-f.registered >= refreshEvery && a.held(f) {
			a.register(k, f, now)
		}
	}
}
