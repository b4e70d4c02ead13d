package datagram

import (
	"slices"
	"time"
)

// Announcement is the status that an upstream reports to its agent in each heartbeat.
type Announcement struct {
	ID       string
	Service  ServiceKey
	Draining bool
	// Cold is how much longer the upstream is in cold start.
	Cold  time.Duration
	Slots int
	// Born is the start time of this run of the upstream, in Unix milliseconds by its VM's
	// clock. It identifies the run.
	Born int64
	// Age is the time since Born by the VM's clock. It is negative if that has stepped back.
	Age time.Duration
	// Sequence increases with every announcement of a run.
	Sequence int64
}

// upstream is what an agent knows about its upstream.
type upstream struct {
	state     UpstreamState
	id        string
	born      int64
	sequence  int64
	slots     int
	coldUntil time.Duration
	// announcedAt is when the last announcement arrived.
	announcedAt time.Duration
	// unansweredSince is when the first opening was forwarded since the last packet from
	// the upstream. 0 means none.
	unansweredSince time.Duration
	// lastPacket is when the last packet from the upstream arrived. callerRepeated is set
	// if a caller has retransmitted data since then and got no answer.
	lastPacket          time.Duration
	callerRetransmitted bool
	// hasSent is set once any packet from the upstream has arrived, announced or not.
	hasSent bool
	// listens is set if something accepted a connection at its address.
	listens bool
	// evidence is why the agent knows every flow of this run of the upstream.
	evidence evidence
	// young is set if the run probably started with the agent or after it. By itself that proves
	// nothing.
	young bool
	// deregistered is set if a deregistration of this run has arrived.
	deregistered bool
	// announcedSince is when the first announcement of this run arrived.
	announcedSince time.Duration
	bucket         tokenBucket
	// previous are the runs before this one. Their late announcements are recognized.
	previous [4]int64
	// other is another run that announces itself, of which it is not known whether it is later.
	other otherRun
}

// otherRun is a run of the upstream that began, by its VM's clock, before the current one.
type otherRun struct {
	born, sequence int64
	since          time.Duration // when its first announcement arrived
}

// upstreamSilenceTimeout is how long an opening may wait for any packet of the upstream
// before the upstream is considered silent. It is many times a handshake.
const upstreamSilenceTimeout = 50 * time.Millisecond

// isEarlierRun reports whether the announcement is taken for a late one of an earlier run of the
// upstream.
//
// A run with an earlier start time may be a later one, as the VM's clock can step back between two
// runs. It is one if it goes on announcing itself for an interval while the current run is
// overdue: late announcements of an upstream that has ended arrive together.
func (u *upstream) isEarlierRun(a *Announcement, h HeartbeatInterval, now time.Duration) bool {
	switch {
	case u.born == 0, a.Born == u.born:
		return false
	case slices.Contains(u.previous[:], a.Born):
		return true
	case a.Born > u.born, u.state == UpstreamGone, u.state == UpstreamAbsent:
		return false
	case u.other.born != a.Born, u.other.since <= u.announcedAt:
		u.other = otherRun{a.Born, a.Sequence, now}
		return true
	case a.Sequence <= u.other.sequence:
		return true
	}
	u.other.sequence = a.Sequence
	return now-u.announcedAt <= h.timeout() || now-u.other.since < h.duration()
}

// runKnownSince returns when the first announcement of the run arrived, if this is an announcement of
// a run that is not the current one.
func (u *upstream) runKnownSince(a *Announcement, now time.Duration) time.Duration {
	if u.other.born == a.Born && u.other.since > u.announcedAt {
		return u.other.since
	}
	return now
}

// apply applies an announcement. It returns fresh as false if the announcement is late or
// repeated, and reborn as true if it is of a later run of the upstream.
//
// A delayed announcement must not undo the one that followed it: a draining upstream would
// get flows again. A delayed one has a sequence not above the last one of the same run, or
// belongs to an earlier run.
func (u *upstream) apply(a *Announcement, h HeartbeatInterval, now time.Duration) (fresh, reborn bool) {
	if u.isEarlierRun(a, h, now) || a.Born == u.born && a.Sequence <= u.sequence && u.state != UpstreamUnknown {
		return false, false
	}
	reborn = u.born != 0 && a.Born != u.born
	if reborn {
		p := u.previous
		*u = upstream{previous: [4]int64{u.born, p[0], p[1], p[2]}, evidence: u.evidenceOfNext(h)}
	}
	if u.born == 0 {
		u.announcedSince, u.young = now, a.startedDuring(now)
		if u.evidence == evidenceNone && a.Sequence == 1 && !a.startedBefore(now) && now >= h.longestStart() {
			u.evidence = evidenceFirstAnnouncement
		}
	}
	u.announcedAt = now
	u.id, u.born, u.sequence, u.slots = a.ID, a.Born, a.Sequence, a.Slots
	switch {
	case u.state == UpstreamDraining, u.state == UpstreamGone:
		// An upstream that drains or is gone stays so for the rest of its run.
	case a.Draining:
		u.state = UpstreamDraining
	default:
		u.state = UpstreamReady
	}
	if a.Cold > 0 {
		u.coldUntil = now + a.Cold
	}
	return true, reborn
}

// isSilent reports whether the upstream has left an opening unanswered.
func (u *upstream) isSilent(now time.Duration) bool {
	return u.unansweredSince != 0 && now-u.unansweredSince > upstreamSilenceTimeout
}

// tokenBucket is a rate limiter. In any second it admits at most one and a half times the
// rate.
type tokenBucket struct {
	tokens float64
	at     time.Duration
	filled bool
}

// fill fills the bucket with the tokens of half a second.
func (b *tokenBucket) fill(rate float64) { b.tokens, b.filled = rate/2, true }

// take reports whether one more opening is within the rate per second, and takes its token.
//
// A cold upstream fails if it gets more than it can handle. Its limit holds for any second,
// so the burst is at most the tokens of half a second.
func (b *tokenBucket) take(rate float64, now time.Duration) bool {
	if !b.has(rate, now) {
		return false
	}
	b.tokens--
	return true
}

// has reports whether take would succeed.
func (b *tokenBucket) has(rate float64, now time.Duration) bool {
	if !b.filled {
		b.tokens, b.filled = 1, true
	} else {
		b.tokens = min(max(1, rate/2), b.tokens+rate*(now-b.at).Seconds())
	}
	b.at = now
	return b.tokens >= 1
}
