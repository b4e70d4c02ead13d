package datagram

import (
	"slices"
	"time"
)

// Removal of the records of dead members from the platform's store. Without it they would stay forever,
// and each of them delays the resets of flows that are gone after a power loss.
//
// That one watcher does not hear a member proves nothing: the two may be cut off from each other, and a
// process that starts meanwhile learns of the member from its record alone. So a watcher that does not
// hear a member marks its record first, a watcher that hears it takes the mark away, and the record is
// removed only if the mark stays for longer than every watcher takes to read it.

const (
	// MemberListInterval is how often watchers read the member records.
	MemberListInterval = 10 * time.Second
	// deadMemberTimeout is how long a member must be silent before its record is marked. It is
	// longer than a VM takes to return.
	deadMemberTimeout = 10 * time.Second
	// markedRecordTimeout is how long a record stays marked before it is removed. Each watcher reads it
	// twice in that time, even if what it reads is some seconds old.
	markedRecordTimeout = 3 * MemberListInterval
	// minMarkPause and maxMarkPause bound the time for which a record is not marked again after another
	// process has taken the mark away. It doubles each time, so a long cut causes few writes.
	minMarkPause = time.Minute
	maxMarkPause = time.Hour
	// maxRecordChanges bounds the changes that one reading of the records causes, in case half of a large
	// fleet is cut off.
	maxRecordChanges = 64
)

// RecordAction is what a watcher has to do with a member's record.
type RecordAction uint8

// Actions on records.
const (
	// RecordMark: mark it as that of a member that is not heard.
	RecordMark RecordAction = iota
	// RecordUnmark: take the mark away, as the member is heard.
	RecordUnmark
	RecordRemove
)

// RecordChange is a change to a member's record, under the condition that it still has the revision.
type RecordChange struct {
	IP       IP
	Action   RecordAction
	Revision uint64
}

// recordMark is what a watcher knows of the marks of one record.
type recordMark struct {
	revision uint64        // of the marked record; 0: it is not marked
	since    time.Duration // when this watcher first read or wrote the mark
	// refutedAt is when the mark was found to be gone, pause how long the record is not marked again.
	refutedAt, pause time.Duration
}

// RecordChanges returns the changes to the recorded members' records that this balancer has to make.
// Rendezvous hashing assigns each record to one of the watchers, as only these read the records
// regularly.
func (b *Balancer) RecordChanges(ms []Member, now time.Duration) (out []RecordChange) {
	watchers := b.selectedWatchers(now)
	if now < deadMemberTimeout || !contains(watchers, b.Self) {
		return nil
	}
	listed := map[IP]bool{}
	for _, m := range ms {
		listed[m.IP] = true
		if len(out) == maxRecordChanges {
			continue
		}
		responsible := highestRanked(uint64(m.IP), slices.Clone(watchers), 1)[0] == b.Self
		if a, due := b.recordAction(m, now); due && responsible {
			out = append(out, RecordChange{m.IP, a, m.Revision})
		}
	}
	for ip := range b.marks {
		if !listed[ip] {
			delete(b.marks, ip)
		}
	}
	b.reportMissingRecords(listed, watchers, now)
	return out
}

// reportMissingRecords asks the members that this balancer hears to write their records if they had none
// in two readings: a watcher that did not hear them has removed them. A member that has just started has
// none in the first one.
func (b *Balancer) reportMissingRecords(listed map[IP]bool, watchers []IP, now time.Duration) {
	missing := map[IP]bool{}
	left := maxRecordChanges
	for _, ip := range b.heardMembers(now) {
		if listed[ip] {
			continue
		}
		missing[ip] = true
		if left > 0 && b.unrecorded[ip] && highestRanked(uint64(ip), slices.Clone(watchers), 1)[0] == b.Self {
			b.send(b.scratch[:HeaderLen], Message{Kind: KindResend, Flags: FlagRecordMissing}, ip)
			left--
		}
	}
	b.unrecorded = missing
}

// heardMembers returns the members whose statuses arrive, without this balancer.
func (b *Balancer) heardMembers(now time.Duration) (ips []IP) {
	for ip, a := range b.agents.byIP {
		if a.reachable(now) {
			ips = append(ips, ip)
		}
	}
	return append(ips, b.aliveBalancers(now)[1:]...)
}

// recordAction returns what is due with the record of a member, and notes its mark.
func (b *Balancer) recordAction(m Member, now time.Duration) (a RecordAction, due bool) {
	if b.hears(m, now) {
		delete(b.marks, m.IP)
		return RecordUnmark, m.Marked
	}
	if !b.isDead(m, now) {
		return 0, false
	}
	if b.marks == nil {
		b.marks = map[IP]*recordMark{}
	}
	x := b.marks[m.IP]
	if x == nil {
		x = &recordMark{}
		b.marks[m.IP] = x
	}
	switch {
	case m.Revision < x.revision:
		return 0, false // the store's answer is older than the mark
	case m.Marked && x.revision != m.Revision:
		x.revision, x.since = m.Revision, now
		return 0, false
	case m.Marked:
		return RecordRemove, now-x.since >= markedRecordTimeout
	case x.revision != 0:
		x.revision, x.refutedAt, x.pause = 0, now, min(max(2*x.pause, minMarkPause), maxMarkPause)
	}
	return RecordMark, now-x.refutedAt >= x.pause && !b.lostPeers(now)
}

// NoteMarked notes that this balancer has marked a member's record, which has the revision since.
func (b *Balancer) NoteMarked(ip IP, revision uint64, now time.Duration) {
	if x := b.marks[ip]; x != nil {
		x.revision, x.since = revision, now
	}
}

// hears reports whether the member's statuses arrive. A balancer hears itself.
func (b *Balancer) hears(m Member, now time.Duration) bool {
	if m.IP == b.Self {
		return true
	}
	if m.Agent {
		a := b.agents.byIP[m.IP]
		return a != nil && a.reachable(now)
	}
	p := b.peers[m.IP]
	return p != nil && p.lastSeen != 0 && now-p.lastSeen < b.peerTimeout()
}

// isDead reports whether the member has been silent for so long that its record is marked.
func (b *Balancer) isDead(m Member, now time.Duration) bool {
	if m.IP == b.Self {
		return false
	}
	if !m.Agent {
		since, lost := b.droppedPeers[m.IP]
		if p := b.peers[m.IP]; p != nil {
			since, lost = p.lastActivity(), true
		}
		return lost && now-since > deadMemberTimeout+maxMissedStatuses*farInterval(len(b.peers))
	}
	a := b.agents.byIP[m.IP]
	return a != nil && !a.reachable(now) && now-max(a.discovered, a.lastSeen, a.suspicion.since) > deadMemberTimeout
}
