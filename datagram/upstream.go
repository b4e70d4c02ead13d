package datagram

import "time"

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID       string
	Service  ServiceKey
	Draining bool
	// Cold is how much longer the upstream is in cold start.
	Cold  time.Duration
	Slots int
	// Born is the start of the upstream's life in Unix milliseconds by its VM's
	// clock; it tells lives apart.
	Born int64
	// Age is how long ago that was by the VM's clock; 0 if it is not known.
	Age time.Duration
	// Sequence grows with each announcement of one life.
	Sequence int64
}

// upstream is what an agent knows of its upstream.
type upstream struct {
	state    UpstreamState
	id       string
	born     int64
	sequence int64
	slots    int
	coldTill time.Duration
	// announced is when it was heard of last.
	announced time.Duration
	// gave is when an opening was given that no sign of life followed; 0: none.
	gave time.Duration
	// sign is when a packet of it was seen last, and mute says that a caller repeated
	// itself since.
	sign time.Duration
	mute bool
	// answers: a packet of it was seen, announced or not.
	answers bool
	// listens: something accepted a connection at its address.
	listens bool
	// complete: the agent knows every flow of this life.
	complete bool
	bucket   bucket
}

// silentUpstreamAfter is how long an opening waits for any packet of the
// upstream before it is held for silent, many times a handshake.
const silentUpstreamAfter = 50 * time.Millisecond

// accept takes in an announcement; fresh is false for one that is late or
// repeated, and reborn true for one of another life.
//
// A delayed heartbeat would undo the one that followed it: a draining upstream
// would get flows again. It shows as a sequence not above the last of the same
// life, or as an older life.
func (u *upstream) accept(a *Announcement, now time.Duration) (fresh, reborn bool) {
	switch {
	case a.Born < u.born, a.Born == u.born && a.Sequence <= u.sequence && u.state != UpstreamUnknown:
		return false, false
	}
	reborn = u.born != 0 && a.Born > u.born
	if reborn {
		*u = upstream{}
	}
	// Flows come through the agent alone, and none before an announcement.
	u.complete = u.complete || reborn || a.Sequence == 1 || a.bornUnder(now)
	u.announced = now
	u.id, u.born, u.sequence, u.slots = a.ID, a.Born, a.Sequence, a.Slots
	switch {
	case u.state == UpstreamDraining, u.state == UpstreamGone:
		// What drains in one life does not come back.
	case a.Draining:
		u.state = UpstreamDraining
	default:
		u.state = UpstreamReady
	}
	if a.Cold > 0 {
		u.coldTill = now + a.Cold
	}
	return true, reborn
}

// bornUnder reports whether the upstream started when no earlier run of the agent,
// which has been up for so long, could have given it flows.
//
// After a loss of power upstreams are often up before their agents, which then miss their
// first announcement. Such an agent knows all flows all the same, and has to say so, or
// lookups of lost flows would wait for it.
func (a *Announcement) bornUnder(up time.Duration) bool {
	return a.Age > 0 && a.Age < up+restartLeast
}

// restartLeast is less than a killed process takes to be started again. The VM's clock may
// have jumped back since the upstream started, which makes its age small or negative; one
// that is just so much too small can only mislead within seconds of both a jump and a
// restart of upstream and agent.
const restartLeast = 200 * time.Millisecond

// silent reports whether the upstream has left an opening unanswered.
func (u *upstream) silent(now time.Duration) bool {
	return u.gave != 0 && now-u.gave > silentUpstreamAfter
}

// bucket admits openings at a rate, over any second at most half as many again.
type bucket struct {
	tokens float64
	at     time.Duration
	filled bool
}

// fill gives the bucket half a second's share.
func (b *bucket) fill(rate float64) { b.tokens, b.filled = rate/2, true }

// take reports whether the opening may go at the rate in a second.
//
// A cold upstream that gets more than it bears falls over. The bound is on any
// second, so the burst is held to half a second's share.
func (b *bucket) take(rate float64, now time.Duration) bool {
	burst := max(1, rate/2)
	if !b.filled {
		b.tokens, b.filled = 1, true
	} else {
		b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
