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
	// homesGather gathers balancers that start together into one change of the set.
	homesGather = 20 * time.Millisecond
	// homesDelay, and homesDelayEach for each agent, gather changes of the set before
	// all are told of the last; homesDelays bounds how often that is put off. Those that
	// were added are told at once, and homesTells is how often all are, as datagrams
	// are lost.
	homesDelay     = 500 * time.Millisecond
	homesDelayEach = 200 * time.Microsecond
	homesDelays    = 2
	homesTells     = 2
	// homesListed bounds the sets that are listed in statuses while they change.
	homesListed = 64
	// formerFor is how long flows are also told to the homes of an earlier set, as
	// balancers may believe that it is in use: until all are surely told of a later one.
	formerFor = 4 * time.Second
	// formerMost bounds the earlier sets to as many as there can be in that time.
	formerMost = int(formerFor / homesGather)
)

// formerHomes is a set that was in use until shortly.
type formerHomes struct {
	homeSet
	till time.Duration
}

// held reports whether the flow is one that homes are told of.
func (a *Agent) held(f *flowState) bool {
	return f.phase >= flowAccepted && !f.finished && a.isPresent(f.born)
}

// isPresent reports whether a flow that was opened in that life of the upstream, zero if
// it is not known, may be of its present one.
func (a *Agent) isPresent(born int64) bool { return born == 0 || born == a.upstream.born }

// register tells the flow's homes that it is here.
func (a *Agent) register(k Flow, f *flowState, now time.Duration) {
	f.registered = now
	for _, ip := range a.homesOf(k) {
		a.enter(ip, []Flow{k})
	}
}

// homesOf returns all balancers that may be taken for homes of the flow.
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
			m = appendFlow(m, k)
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
		if a.held(f) && slices.Contains(a.homesOf(k), ip) {
			ks = append(ks, k)
		}
	}
	a.enter(ip, ks)
}

// updateHomes works out which balancers are homes, and tells those that became one of a
// flow by it.
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

// tellHomes has all balancers told of a new set in a while.
func (a *Agent) tellHomes(now time.Duration) {
	delay := homesDelay + time.Duration(a.agents)*homesDelayEach
	if a.homesTell == 0 {
		a.homesLast = now + homesDelays*delay
	}
	a.homesTell, a.homesTells = min(now+delay, a.homesLast), homesTells
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
