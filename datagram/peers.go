package datagram

import (
	"maps"
	"math"
	"slices"
	"time"
)

// peerView is a balancer's knowledge of another balancer.
type peerView struct {
	life               Life
	lifeSince          time.Duration // when its run became known
	zone               ZoneKey       // 0: not known
	discovered         time.Duration // when it became known
	lastSeen, lastSent time.Duration // last status received from it and sent to it; 0: never
	detached           bool          // it reports that the store does not answer it
	known              int           // how many balancers it knows
	unanswered         bool          // it left the last question about a flow unanswered, and has sent nothing since
	mismatch           homesMismatch
}

func (p *peerView) lastActivity() time.Duration { return max(p.discovered, p.lastSeen) }

// Peers returns the known balancers that have sent a status.
func (b *Balancer) Peers() []IP {
	var ips []IP
	for ip, p := range b.peers {
		if p.lastSeen != 0 {
			ips = append(ips, ip)
		}
	}
	return ips
}

// updateHomes recomputes the balancers that are homes.
func (b *Balancer) updateHomes(now time.Duration) {
	b.homes = newHomeSet(b.balancersSeenWithin(homeTimeout(len(b.peers)+1), now), b.zoneOf)
}

// setZone sets a balancer's availability zone.
func (b *Balancer) setZone(p *peerView, z ZoneKey) {
	if p.zone != z {
		p.zone, b.known = z, homeSet{}
	}
}

// zoneOf returns a balancer's availability zone, or 0 if it is not known.
func (b *Balancer) zoneOf(ip IP) ZoneKey {
	if ip == b.Self {
		return b.Zone
	}
	if p := b.peers[ip]; p != nil {
		return p.zone
	}
	return 0
}

// aliveBalancers returns this balancer and those whose statuses arrive.
func (b *Balancer) aliveBalancers(now time.Duration) []IP {
	return b.balancersSeenWithin(b.peerTimeout(), now)
}

// balancersSeenWithin returns this balancer and those whose last status arrived within the
// given time.
func (b *Balancer) balancersSeenWithin(after, now time.Duration) []IP {
	ips := []IP{b.Self}
	for ip, p := range b.peers {
		if p.lastSeen != 0 && now-p.lastSeen < after {
			ips = append(ips, ip)
		}
	}
	return ips
}

func (b *Balancer) handleAgentStatus(from IP, h Message, p []byte, now time.Duration) {
	var s AgentStatus
	ips, bitmap, ok := s.decodeWithHomes(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	suspected := b.agents.isSuspected(from)
	restarted, changed := b.agents.applyStatus(from, s, now)
	switch a := b.agents.byIP[from]; {
	case suspected && a.suspicion.since == 0:
		b.Log.agentChanged(a, "lifted", now)
	case changed:
		b.Log.agentChanged(a, "", now)
	}
	if a := b.agents.byIP[from]; restarted && (s.Epoch == 0 || a.statusSent == 0) {
		b.sendStatusTo(from, now) // it has not received a status of this balancer
	}
	if a := b.agents.byIP[from]; a != nil && a.status.Life == s.Life && a.status.Sequence == s.Sequence {
		a.updateReport(h.Report, now)
		a.usesReserveHomes, a.runRecordPending = h.Flags.has(FlagReserveHomes), h.Flags.has(FlagRunRecordPending)
		if len(ips) > 0 {
			// Balancers that start together may read the member records before each other's are
			// written. Their agents know all of them.
			b.discoverPeers(ips, now)
			a.homes = newHomeSet(ips, b.zoneOf)
		}
		if len(bitmap) > 0 && !a.knowsHomes(&b.homes) {
			b.readHomes(a, bitmap)
		}
		b.checkEntries(from, &a.status, now)
		b.lost.noteStatus(from, &a.status, b.directory.trackers[from].isComplete(&a.status), now)
		if len(a.homes.ips) > maxHomesListed && a.knowsHomes(&b.homes) {
			a.mismatch = homesMismatch{}
		} else {
			b.resolveMismatch(from, s.Homes, &a.mismatch, now)
		}
	}
}

// readHomes reads the home set that an agent sends as a bitmap. Most agents have the set that was
// read last.
func (b *Balancer) readHomes(a *agentView, bitmap []byte) {
	if b.lastHomesRead.hasDigest(a.status.Homes) {
		a.homes = b.lastHomesRead
		return
	}
	ips, ok := decodeBitmap(bitmap, b.knownBalancers())
	if !ok {
		b.Count.UnreadHomes++
		return
	}
	if s := newHomeSet(ips, b.zoneOf); s.hasDigest(a.status.Homes) {
		a.homes, b.lastHomesRead = s, s
	}
}

func (b *Balancer) handleBalancerStatus(from IP, zone ZoneKey, m []byte, now time.Duration) {
	var s BalancerStatus
	if !s.decode(m) {
		b.Count.BadMessages++
		return
	}
	b.discoverPeer(from, now)
	p := b.peers[from]
	p.detached, p.known = s.Detached, int(s.Known)
	b.setZone(p, zone)
	b.noteWatcher(&s, now)
	if p.lastSeen = now; p.life != s.Life {
		p.life, p.lifeSince = s.Life, now
		b.sendStatusTo(from, now) // it has just started and knows few processes
		b.sendFormerRoutes(from, now)
		b.updateHomes(now)
	}
	b.discoverPeers(s.Balancers, now)
	b.resolveMismatch(from, s.Homes, &p.mismatch, now)
	b.SetZonesOut(s.Zones, s.Revision, now)
	if s.Version > b.ConfigurationVersion() && b.OnNewerConfiguration != nil {
		b.OnNewerConfiguration(from, s.Version)
	}
}

// homesMismatch records since when another process uses a home set that differs from this
// balancer's, and when and how often it was sent a status for that reason.
type homesMismatch struct {
	since, lastSent time.Duration
	sent            int
}

// mismatchDelay gives processes that start together the time to learn of each other on
// their own. Statuses that are sent because of a mismatch are at least mismatchInterval
// apart, and mismatchIntervalPerAgent more for each agent, which limits them in a large
// fleet. The interval doubles with each one, up to maxMismatchDoublings times.
const (
	mismatchDelay            = time.Second
	mismatchInterval         = 250 * time.Millisecond
	mismatchIntervalPerAgent = time.Millisecond
	maxMismatchDoublings     = 5
)

// resolveMismatch sends a process the known balancers if its home set has differed from
// this balancer's for longer than mismatchDelay, because an earlier status to it was
// probably lost.
func (b *Balancer) resolveMismatch(to IP, homes uint64, d *homesMismatch, now time.Duration) {
	if homes == b.homes.digest {
		*d = homesMismatch{}
		return
	}
	if d.since == 0 {
		d.since = now
	}
	interval := mismatchInterval + time.Duration(len(b.agents.byIP))*mismatchIntervalPerAgent
	interval <<= max(0, min(d.sent-1, maxMismatchDoublings))
	if now-d.since >= mismatchDelay && (d.lastSent == 0 || now-d.lastSent >= interval) {
		d.lastSent = now
		d.sent++
		b.sendStatusWith(to, maxBalancers, now)
	}
}

// resolveMismatches does the same for agents whose home sets this balancer does not know, without
// another status of them: far agents send one after a time that grows with the fleet. An agent
// answers with its set.
func (b *Balancer) resolveMismatches(now time.Duration) {
	left := b.repairsPerTick()
	for ip, a := range b.agents.byIP {
		switch {
		case left == 0:
			return
		case a.mismatch.since == 0 || !a.reachable(now):
		case a.knowsHomes(&b.homes):
			if len(a.homes.ips) > maxHomesListed {
				a.mismatch = homesMismatch{}
			}
		default:
			sent := a.mismatch.sent
			b.resolveMismatch(ip, a.status.Homes, &a.mismatch, now)
			left -= a.mismatch.sent - sent
		}
	}
}

// discoverPeer adds a balancer and reports whether it was unknown.
func (b *Balancer) discoverPeer(ip IP, now time.Duration) bool {
	if _, known := b.peers[ip]; known || ip == b.Self || ip == 0 {
		return false
	}
	b.peers[ip] = &peerView{discovered: now}
	delete(b.droppedPeers, ip)
	return true
}

// discoverPeers adds the balancers that are not known and sends them this balancer's status.
func (b *Balancer) discoverPeers(ips []IP, now time.Duration) {
	for _, ip := range ips {
		if b.discoverPeer(ip, now) {
			b.sendStatusTo(ip, now)
		}
	}
}

func (b *Balancer) expirePeers(now time.Duration) {
	after := max(expiryTime, maxMissedStatuses*farInterval(len(b.peers)))
	for ip, p := range b.peers {
		if now-p.lastActivity() > after {
			b.keepDroppedPeer(ip, p)
			delete(b.peers, ip)
		}
	}
}

// SendStatusToPeers sends the balancer's status to all other balancers at once, for example
// because it has a new configuration that they can fetch.
func (b *Balancer) SendStatusToPeers(now time.Duration) {
	m := b.statusMessage(peersPerStatus, now)
	for ip, p := range b.peers {
		p.lastSent = now
		b.Out.ToProcess(ip, m)
	}
}

// sendStatusToNew sends the status to every process that has not been sent one, and again
// to those that have sent none themselves, because they may have started after it was sent.
func (b *Balancer) sendStatusToNew(now time.Duration) {
	due := func(lastSeen, discovered, lastSent time.Duration) bool {
		return lastSent == 0 || lastSeen == 0 && now-discovered < newMemberPeriod && now-lastSent >= StatusInterval
	}
	var to []IP
	for ip, a := range b.agents.byIP {
		if due(a.lastSeen, a.discovered, a.statusSent) {
			to = append(to, ip)
		}
	}
	for ip, p := range b.peers {
		if due(p.lastSeen, p.discovered, p.lastSent) {
			to = append(to, ip)
		}
	}
	slices.Sort(to) // the lists rotate from one status to the next, so a repeated simulation needs the same order
	for _, ip := range to {
		b.sendStatusTo(ip, now)
	}
}

// newMemberPeriod is how long sendStatusToNew keeps sending to a process that has sent no
// status. It is longer than VMs take to return one after another.
const newMemberPeriod = 3 * time.Second

// broadcastStatus sends the balancer's status to all known processes after a change.
func (b *Balancer) broadcastStatus(now time.Duration) { b.sendDueStatuses(now, 0, 0) }

// sendPeriodicStatus sends the status to the near processes and to the far ones that are
// due.
func (b *Balancer) sendPeriodicStatus(now time.Duration) {
	b.sendDueStatuses(now, nearInterval(len(b.agents.byIP), len(b.peers)+1), farInterval(len(b.peers)+1))
}

// sendDueStatuses sends the status to each process whose last status is older than
// nearAfter or farAfter, depending on whether the process is near.
func (b *Balancer) sendDueStatuses(now, nearAfter, farAfter time.Duration) {
	b.lastStatus = now
	m := b.statusMessage(peersPerStatus, now)
	for ip, a := range b.agents.byIP {
		after := farAfter
		if a.near() {
			after = nearAfter
		}
		if now-a.statusSent >= after {
			a.statusSent = now
			b.Out.ToProcess(ip, m)
		}
	}
	nearby := b.nearPeers()
	for ip, p := range b.peers {
		due := b.isFarStatusDue(ip, p.lastSent, farAfter, now)
		if contains(nearby, ip) {
			due = now-p.lastSent >= nearAfter
		}
		if due {
			p.lastSent = now
			b.Out.ToProcess(ip, m)
		}
	}
}

// nearPeers returns the balancers to which this balancer sends its status often.
func (b *Balancer) nearPeers() []IP {
	return nearMembers(uint64(b.Self), slices.Collect(maps.Keys(b.peers)), nearPeerCount(len(b.peers)), b.Zone, b.zoneOf)
}

// isFarStatusDue reports whether a status to a far balancer is due. The statuses to each one
// have their own phase: if those of balancers that started together, or that all broadcast a
// change, stayed in step, a balancer that is near to none would receive nothing in between.
func (b *Balancer) isFarStatusDue(to IP, lastSent, interval, now time.Duration) bool {
	if interval == 0 {
		return true
	}
	phase := time.Duration(score(uint64(b.Self), to) % uint64(interval))
	return (now+phase)/interval > (lastSent+phase)/interval
}

// peersPerStatus is the number of balancers that a status lists, in rotation.
const peersPerStatus = 4

// sendStatusTo sends the status to one process. It lists as many balancers as fit if the
// process is known to know less than half of them. If all VMs start together, each process
// receives a status of every balancer, and full lists in all of them would fill the links.
func (b *Balancer) sendStatusTo(ip IP, now time.Duration) {
	n := peersPerStatus
	if known, ok := b.knownBy(ip); ok && 2*known < len(b.peers)+1 {
		n = maxBalancers
	}
	b.sendStatusWith(ip, n, now)
}

// knownBy returns how many balancers a process knows, if it has sent a status.
func (b *Balancer) knownBy(ip IP) (known int, ok bool) {
	if a := b.agents.byIP[ip]; a != nil {
		return int(a.status.Balancers), a.lastSeen != 0
	}
	if p := b.peers[ip]; p != nil {
		return p.known, p.lastSeen != 0
	}
	return 0, false
}

// sendStatusWith sends the status, which lists up to n balancers, to one process.
func (b *Balancer) sendStatusWith(ip IP, n int, now time.Duration) {
	if a := b.agents.byIP[ip]; a != nil {
		a.statusSent = now
	}
	if p := b.peers[ip]; p != nil {
		p.lastSent = now
	}
	b.Out.ToProcess(ip, b.statusMessage(n, now))
}

func (b *Balancer) statusMessage(maxPeers int, now time.Duration) []byte {
	s := BalancerStatus{
		Life: b.Life, Version: b.ConfigurationVersion(), Revision: b.revision, Leaving: b.leaving, Detached: b.detached,
		Agents: uint16(min(len(b.agents.byIP), math.MaxUint16)), Homes: b.homes.digest,
		Known: uint16(min(len(b.peers)+1, math.MaxUint16)),
	}
	s.Watcher, s.WatcherAge = b.latestWatcher(now)
	for z := range b.zonesOut {
		s.Zones = append(s.Zones, z)
	}
	s.Balancers = b.nextPeers(maxPeers)
	m := s.append(b.scratch[:HeaderLen])
	h := Message{Kind: KindBalancer, Zone: b.Zone}
	h.Put(m, b.Keys[0])
	return m
}

// nextPeers returns up to n of the balancers that were heard, in rotation over successive calls. If
// others were listed, two balancers would remind each other of a dead one for ever.
func (b *Balancer) nextPeers(n int) []IP {
	ips := b.Peers()
	slices.Sort(ips)
	if len(ips) <= n {
		return ips
	}
	at := b.peerCursor % len(ips)
	b.peerCursor += n
	ips = append(ips[at:], ips[:at]...)
	return ips[:n]
}
