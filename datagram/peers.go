package datagram

import (
	"maps"
	"math"
	"slices"
	"time"
)

// peerView is what a balancer knows of another.
type peerView struct {
	life        Life
	noted       time.Duration // when it was known first
	heard, told time.Duration // 0: never
	detached    bool          // the store does not answer it
	differs     difference
}

func (p *peerView) lastSign() time.Duration { return max(p.noted, p.heard) }

// Peers returns the balancers that were heard lately.
func (b *Balancer) Peers() []IP {
	var ips []IP
	for ip, p := range b.peers {
		if p.heard != 0 {
			ips = append(ips, ip)
		}
	}
	return ips
}

// Among reports whether this is one of the n balancers that rendezvous chooses of those
// that are heard, for duties that few are enough for. Those that the store answers are
// chosen first, as all these duties are for it.
func (b *Balancer) Among(n int, now time.Duration) bool {
	var attached, detached []IP
	for _, ip := range b.heard(now) {
		if p := b.peers[ip]; p != nil && p.detached || p == nil && b.Detached {
			detached = append(detached, ip)
		} else {
			attached = append(attached, ip)
		}
	}
	chosen := nearest(dutyKey, attached, n)
	chosen = append(chosen, nearest(dutyKey, detached, n-len(chosen))...)
	return contains(chosen, b.Self)
}

// dutyKey is any number that all balancers share.
const dutyKey = 0x64757479

// updateHomes works out which balancers are homes.
func (b *Balancer) updateHomes(now time.Duration) {
	b.homes = newHomeSet(b.heardWithin(homeSilentAfter(len(b.peers)+1), now))
}

// heard returns this balancer and those that it has heard lately.
func (b *Balancer) heard(now time.Duration) []IP { return b.heardWithin(b.peerSilentAfter(), now) }

// heardWithin returns this balancer and those that it has heard within the time.
func (b *Balancer) heardWithin(after, now time.Duration) []IP {
	ips := []IP{b.Self}
	for ip, p := range b.peers {
		if p.heard != 0 && now-p.heard < after {
			ips = append(ips, ip)
		}
	}
	return ips
}

func (b *Balancer) hearAgent(from IP, p []byte, now time.Duration) {
	var s AgentStatus
	ips, ok := s.decodeWithHomes(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	suspected := b.agents.suspects(from)
	born, changed := b.agents.hear(from, s, now)
	switch a := b.agents.byIP[from]; {
	case suspected && a.suspicion.since == 0:
		b.Log.agentChanged(a, "lifted", now)
	case changed:
		b.Log.agentChanged(a, "", now)
	}
	if a := b.agents.byIP[from]; born && (s.Epoch == 0 || a.toldStatus == 0) {
		b.tellOne(from, now) // it has not heard this balancer
	}
	if a := b.agents.byIP[from]; a != nil && a.status.Life == s.Life && a.status.Sequence == s.Sequence {
		if len(ips) > 0 {
			a.homes = newHomeSet(ips)
		}
		b.checkEntries(from, &a.status, now)
		b.introduce(from, s.Homes, &a.differs, now)
	}
}

func (b *Balancer) hearBalancer(from IP, m []byte, now time.Duration) {
	var s BalancerStatus
	if !s.decode(m) {
		b.Count.BadMessages++
		return
	}
	b.meet(from, now)
	p := b.peers[from]
	p.detached = s.Detached
	if p.heard = now; p.life != s.Life {
		p.life = s.Life
		b.tellOne(from, now) // it has just started and knows few
		b.updateHomes(now)
	}
	for _, ip := range s.Balancers {
		if b.meet(ip, now) {
			b.tellOne(ip, now)
		}
	}
	b.introduce(from, s.Homes, &p.differs, now)
	b.SetZonesOut(s.Zones, s.Revision, now)
	if s.Version > b.Configured() && b.Behind != nil {
		b.Behind(from, s.Version)
	}
}

// difference is since when a process chooses homes among other balancers.
type difference struct{ since, told time.Duration }

// introduceAfter lets processes that start together hear of each other by themselves,
// and introduceEach keeps what is told for want of balancers small in a large fleet.
const (
	introduceAfter = time.Second
	introduceEvery = 250 * time.Millisecond
	introduceEach  = time.Millisecond
)

// introduce tells a process of the balancers if it has known others than this one for
// long, as what it was told was lost.
func (b *Balancer) introduce(to IP, homes uint64, d *difference, now time.Duration) {
	if homes == b.homes.digest {
		*d = difference{}
		return
	}
	if d.since == 0 {
		d.since = now
	}
	every := introduceEvery + time.Duration(len(b.agents.byIP))*introduceEach
	if now-d.since >= introduceAfter && (d.told == 0 || now-d.told >= every) {
		d.told = now
		b.tellOne(to, now)
	}
}

// meet notes a balancer and reports whether it was not known.
func (b *Balancer) meet(ip IP, now time.Duration) bool {
	if _, known := b.peers[ip]; known || ip == b.Self || ip == 0 {
		return false
	}
	b.peers[ip] = &peerView{noted: now}
	return true
}

// Reap returns which of the recorded members are dead, as far as this balancer can
// tell, and are its to remove from the records: each dead member has one balancer
// that does so, chosen by rendezvous among those that are heard.
//
// Records of VMs that died would stay for good, and each holds up the resets of flows
// that are gone after a loss of power.
func (b *Balancer) Reap(ms []Member, now time.Duration) []IP {
	if now < reapAfter {
		return nil
	}
	alive := b.heard(now)
	var dead []IP
	for _, m := range ms {
		if b.dead(m, now) && nearest(uint64(m.IP), slices.Clone(alive), 1)[0] == b.Self {
			dead = append(dead, m.IP)
		}
	}
	return dead
}

func (b *Balancer) dead(m Member, now time.Duration) bool {
	if m.IP == b.Self {
		return false
	}
	if !m.Agent {
		p := b.peers[m.IP]
		return p != nil && now-p.lastSign() > reapAfter+silentStatuses*farEvery(len(b.peers))
	}
	a := b.agents.byIP[m.IP]
	return a != nil && !a.reachable(now) && now-max(a.noted, a.heard, a.suspicion.since) > reapAfter
}

// reapAfter is how long a member must be silent before its record goes: longer
// than a VM takes to come back. One that lives writes its record again when it
// starts.
const reapAfter = 10 * time.Second

func (b *Balancer) forgetPeers(now time.Duration) {
	after := max(forgottenAfter, silentStatuses*farEvery(len(b.peers)))
	for ip, p := range b.peers {
		if now-p.lastSign() > after {
			delete(b.peers, ip)
		}
	}
}

// Tell sends the balancer's status to the other balancers, as it has a configuration now.
func (b *Balancer) Tell(now time.Duration) {
	m := b.statusMessage(shownSome)
	for ip, p := range b.peers {
		p.told = now
		b.Out.ToProcess(ip, m)
	}
}

// tellNew sends it to those that were never told, and again to those that were and have
// not been heard: they may have started since.
func (b *Balancer) tellNew(now time.Duration) {
	due := func(heard, noted, told time.Duration) bool {
		return told == 0 || heard == 0 && now-noted < unheardTold && now-told >= StatusEvery
	}
	for ip, a := range b.agents.byIP {
		if due(a.heard, a.noted, a.toldStatus) {
			b.tellOne(ip, now)
		}
	}
	for ip, p := range b.peers {
		if due(p.heard, p.noted, p.told) {
			b.tellOne(ip, now)
		}
	}
}

// unheardTold is for how long those that are not heard are told again: longer than VMs
// take to return one after another.
const unheardTold = 3 * time.Second

// tell sends the balancer's status to all that it knows, as something changed.
func (b *Balancer) tell(now time.Duration) { b.tellThose(now, 0, 0) }

// tellDue sends it to those that are near, and to the others in their turn.
func (b *Balancer) tellDue(now time.Duration) {
	b.tellThose(now, nearEvery(len(b.agents.byIP), len(b.peers)+1), farEvery(len(b.peers)+1))
}

// tellThose sends it to those that are near or far and were told last so long ago.
func (b *Balancer) tellThose(now, near, far time.Duration) {
	b.status = now
	m := b.statusMessage(shownSome)
	for ip, a := range b.agents.byIP {
		every := far
		if a.near() {
			every = near
		}
		if now-a.toldStatus >= every {
			a.toldStatus = now
			b.Out.ToProcess(ip, m)
		}
	}
	close := nearest(uint64(b.Self), slices.Collect(maps.Keys(b.peers)), nearPeerCount(len(b.peers)))
	for ip, p := range b.peers {
		every := far
		if contains(close, ip) {
			every = near
		}
		if now-p.told >= every {
			p.told = now
			b.Out.ToProcess(ip, m)
		}
	}
}

// shownSome is how many balancers each status names, in turn; a newcomer is
// named as many as fit.
const shownSome = 4

// tellOne sends it to one process, with as many balancers as fit.
func (b *Balancer) tellOne(ip IP, now time.Duration) {
	if a := b.agents.byIP[ip]; a != nil {
		a.toldStatus = now
	}
	if p := b.peers[ip]; p != nil {
		p.told = now
	}
	b.Out.ToProcess(ip, b.statusMessage(balancersMost))
}

func (b *Balancer) statusMessage(most int) []byte {
	s := BalancerStatus{
		Life: b.Life, Version: b.Configured(), Revision: b.revision, Leaving: b.leaving, Detached: b.Detached,
		Agents: uint16(min(len(b.agents.byIP), math.MaxUint16)), Homes: b.homes.digest,
	}
	for z := range b.out {
		s.Zones = append(s.Zones, z)
	}
	s.Balancers = b.some(most)
	m := s.append(b.scratch[:HeaderLen])
	h := Message{Kind: KindBalancer}
	h.Put(m, b.Keys[0])
	return m
}

// some returns so many of the known balancers, others at each call.
func (b *Balancer) some(most int) []IP {
	ips := slices.Sorted(maps.Keys(b.peers))
	if len(ips) <= most {
		return ips
	}
	at := b.shown % len(ips)
	b.shown += most
	ips = append(ips[at:], ips[:at]...)
	return ips[:most]
}
