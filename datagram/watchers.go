package datagram

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Selection of the balancers that watch the platform's store. Each watch is a call, and each
// change wakes every watch, so if all balancers watched, the calls would grow with the fleet.
// Rendezvous hashing therefore selects a few watchers; they notify the others of a new
// configuration, which these fetch from them, and of evacuated availability zones.
//
// Every status tells which watcher the sender has last heard of, and how long ago that watcher
// was alive, so this spreads through the fleet with the periodic statuses. A balancer that
// has heard of no watcher for too long becomes one itself: all watchers may have failed, or
// may be cut off.

// storeWatchers is the number of watchers, so that two remain if one fails.
const storeWatchers = 3

const (
	// minWatcherUptime gives balancers that start together the time to learn of each other.
	// Until then each would select itself.
	minWatcherUptime = time.Second
	// volunteerDelay, multiplied by the rank of a balancer, is how much later it becomes a
	// watcher if none is heard of, so that a few do so first and the others hear of them.
	// maxVolunteerDelay keeps the total below the time in which changes have to be in force.
	volunteerDelay    = 100 * time.Millisecond
	maxVolunteerDelay = 2 * time.Second
)

// watcherSighting is the last that is known of another balancer that watches the store.
type watcherSighting struct {
	ip IP
	at time.Duration // when it was alive; 0: never
}

// WatchesStore reports whether this balancer has to watch the store: because it is selected,
// or because it hears of no other watcher.
func (b *Balancer) WatchesStore() bool { return b.watching }

// SetDetached records whether the store fails to answer this balancer. The other balancers
// are notified of a change if this one is a watcher, so that another one replaces it.
func (b *Balancer) SetDetached(detached bool, now time.Duration) {
	if b.detached == detached {
		return
	}
	b.detached = detached
	if b.watching {
		b.SendStatusToPeers(now)
	}
}

// updateWatching decides whether this balancer is a watcher.
func (b *Balancer) updateWatching(now time.Duration) {
	rank := slices.Index(b.rankedBalancers(now), b.Self)
	was := b.watching
	b.watching = now >= minWatcherUptime && (rank < storeWatchers ||
		now-b.watcherSeen.at > b.watcherTimeout()+min(time.Duration(rank)*volunteerDelay, maxVolunteerDelay))
	if b.watching != was {
		b.Log.watchingChanged(b.watching, rank, b.watcherSeen, now)
	}
}

// watcherTimeout is how long a balancer may hear of no watcher. Where not all balancers are
// near each other, the statuses need about as many steps as it takes to reach the whole fleet
// by nearPeers at a time.
func (b *Balancer) watcherTimeout() time.Duration {
	n := len(b.peers) + 1
	if nearPeerCount(n) == n {
		return b.peerTimeout()
	}
	steps := math.Ceil(math.Log(float64(n)) / math.Log(nearPeers))
	return time.Duration(steps+1)*LargeFleetInterval + deliveryMargin
}

// rankedBalancers returns the live balancers in the order in which they are selected as
// watchers: those that the store answers before the others, each by rendezvous hashing.
func (b *Balancer) rankedBalancers(now time.Duration) []IP {
	var attached, detached []IP
	for _, ip := range b.aliveBalancers(now) {
		if p := b.peers[ip]; p != nil && p.detached || p == nil && b.detached {
			detached = append(detached, ip)
		} else {
			attached = append(attached, ip)
		}
	}
	rank := func(ips []IP) []IP {
		slices.SortFunc(ips, func(a, b IP) int { return cmp.Compare(score(watcherKey, b), score(watcherKey, a)) })
		return ips
	}
	return append(rank(attached), rank(detached)...)
}

// selectedWatchers returns the balancers that are selected as watchers.
func (b *Balancer) selectedWatchers(now time.Duration) []IP {
	ips := b.rankedBalancers(now)
	return ips[:min(storeWatchers, len(ips))]
}

// watcherKey is an arbitrary number that is the same on all balancers.
const watcherKey = 0x64757479

// noteWatcher records what another balancer's status tells of a watcher.
func (b *Balancer) noteWatcher(s *BalancerStatus, now time.Duration) {
	at := now - s.WatcherAge.Duration()
	if s.Watcher != 0 && s.Watcher != b.Self && at > b.watcherSeen.at {
		b.watcherSeen = watcherSighting{s.Watcher, at}
	}
}

// latestWatcher returns the watcher that was alive last, as far as this balancer knows, and
// how long ago. It returns 0 if it knows of none.
func (b *Balancer) latestWatcher(now time.Duration) (IP, Millis) {
	switch {
	case b.watching:
		return b.Self, 0
	case b.watcherSeen.ip == 0:
		return 0, 0
	}
	return b.watcherSeen.ip, MillisOf(now - b.watcherSeen.at)
}
