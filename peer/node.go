// This file keeps a process's view of the fleet up to date. In each availability
// zone some balancers act as relays, one per forty processes, chosen by
// rendezvous hashing. Relays watch the platform and follow the relays of the
// other zones; every other process follows one of its own zone's relays.
//
// The platform therefore serves only a few watches per zone, and during an
// outage of the platform changes still spread from peer to peer. A process that
// knows no relay reads the platform itself, with jitter and within its rate limit.
// The cost is one more hop for each change, some tens of milliseconds.

package peer

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/platform"
)

const (
	// minRelays is the minimum number of relays per availability zone, and
	// followersPerRelay the number of processes that one relay should serve: it
	// sends each change of the bundle to all of them over its own network link.
	minRelays         = 2
	followersPerRelay = 40
	// watchWait is how long one long poll waits for a change.
	watchWait = 20 * time.Second
	// initialRetryDelay and maxRetryDelay bound the jittered backoff after a
	// failed call.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 10 * time.Second
	// renewInterval is how often a member rewrites its unchanged record. Records
	// that are not renewed can thus be distinguished from those of live members.
	renewInterval = 10 * time.Minute
	// collectInterval is how often expired state is removed from the view.
	collectInterval = time.Minute
	// reapAfter is how long a member must be doubted (considered failed by its
	// observers) before a relay removes its object from the platform.
	reapAfter = 2 * time.Minute
	// currentBundle is the platform object that holds the bundle in force.
	currentBundle = "current"
)

// Node synchronizes one process's view of the fleet with the platform and peers,
// and publishes the process's own member record.
type Node struct {
	State    *fleet.State
	Client   *Client
	Platform *platform.Client
	Log      *events.Log
	// Seeds are followed after all known relays, and alone while none is known.
	Seeds []netip.AddrPort
	// Lag returns a delay to apply to each received change. Tests set it to make
	// the processes' views diverge. Nil means no delay.
	Lag func() time.Duration

	mu              sync.Mutex
	cachedSources   sources
	self            fleet.Member
	writtenRevision platform.Revision
	platformDown    bool
	publishNow      chan struct{}
}

// NewNode returns a node that publishes self as its member record.
func NewNode(s *fleet.State, c *Client, p *platform.Client, l *events.Log, self fleet.Member) *Node {
	n := &Node{State: s, Client: c, Platform: p, Log: l, self: self, publishNow: make(chan struct{}, 1)}
	s.Merge(fleet.Change{Members: []fleet.Member{self}})
	return n
}

// Self returns the node's own member record.
func (n *Node) Self() fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// SetPhase changes the phase in the node's own record and publishes the record.
func (n *Node) SetPhase(p fleet.Phase) {
	n.mu.Lock()
	n.self.Phase = p
	n.self.Revision++
	m := n.self
	n.mu.Unlock()
	n.State.Merge(fleet.Change{Members: []fleet.Member{m}})
	n.triggerPublish()
}

// leaveTimeout bounds the calls that a process makes when it shuts down.
const leaveTimeout = 2 * time.Second

// Leave announces that this incarnation of the member has ended and deletes its
// object from the platform. If that fails, a relay deletes the object later.
func (n *Node) Leave() {
	n.SetPhase(fleet.PhaseLeft)
	ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	n.announceSelf(ctx)
	n.mu.Lock()
	at := n.writtenRevision
	n.mu.Unlock()
	n.Platform.Delete(ctx, platform.KindMember, string(n.Self().ID), at)
}

func (n *Node) triggerPublish() {
	select {
	case n.publishNow <- struct{}{}:
	default:
	}
}

var watchedKinds = []platform.Kind{platform.KindBundle, platform.KindMember}

// Run keeps the view up to date until the context ends.
func (n *Node) Run(ctx context.Context) error {
	var w sync.WaitGroup
	for _, f := range []func(context.Context){n.follow, n.publish, n.collect} {
		w.Go(func() { f(ctx) })
	}
	for _, k := range watchedKinds {
		w.Go(func() { n.watch(ctx, k) })
	}
	w.Wait()
	return nil
}

// pause sleeps for the next backoff; it returns false when the context ends.
func pause(ctx context.Context, b *backoff.ExponentialBackOff) bool {
	return clock.Sleep(ctx, b.NextBackOff())
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialRetryDelay, maxRetryDelay
	b.Reset()
	return b
}

var relayKey = fleet.HashOf([]byte("relay"))

// relaysByZone returns the relays of each availability zone.
func (n *Node) relaysByZone() map[bundle.ZoneID][]fleet.Member {
	ms, _ := n.State.Snapshot()
	doubts := n.State.Doubted()
	out := map[bundle.ZoneID][]fleet.Member{}
	size := map[bundle.ZoneID]int{}
	for _, m := range ms {
		if m.Phase != fleet.PhaseReady || doubts[m.ID] {
			continue
		}
		size[m.Zone]++
		if m.Role == fleet.RoleBalancer {
			out[m.Zone] = append(out[m.Zone], m)
		}
	}
	for z := range out {
		out[z] = fleet.Rank(relayKey, out[z], max(minRelays, size[z]/followersPerRelay))
	}
	return out
}

// sources are the peers that a node follows, computed from one generation of the
// view.
type sources struct {
	relay      bool
	relays     int // how many of the peers are known relays; the others are seeds
	peers      []netip.AddrPort
	generation uint64
	computedAt time.Time
}

// maxSourcesAge is how long sources stay valid while the view does not change:
// whether a member counts as doubted also depends on the time.
const maxSourcesAge = 5 * time.Second

// sources returns whether this node is a relay, and the peers to follow. The
// result is cached: scanning the whole view on each call would cost every process
// a share of a core that grows with the fleet.
func (n *Node) sources() sources {
	g := n.State.Generation()
	n.mu.Lock()
	k := n.cachedSources
	n.mu.Unlock()
	if k.computedAt.IsZero() || k.generation != g || time.Since(k.computedAt) > maxSourcesAge {
		k = n.findSources()
		k.generation, k.computedAt = g, time.Now()
		n.mu.Lock()
		n.cachedSources = k
		n.mu.Unlock()
	}
	return k
}

// findSources computes the peers to follow in order of preference: the relays of
// the node's own availability zone, those of other zones, then the seeds.
func (n *Node) findSources() (k sources) {
	s := n.Self()
	var own, other []fleet.Member
	for z, ms := range n.relaysByZone() {
		for _, m := range ms {
			switch {
			case m.ID == s.ID:
				k.relay = true
			case z == s.Zone:
				own = append(own, m)
			default:
				other = append(other, m)
			}
		}
	}
	key := fleet.HashOf([]byte(s.ID))
	for _, m := range append(fleet.Rank(key, own, len(own)), fleet.Rank(key, other, len(other))...) {
		k.peers = append(k.peers, m.Peer)
	}
	k.relays = len(k.peers)
	k.peers = append(k.peers, n.Seeds...)
	return k
}

// follow reads changes from peers. It stays with a peer that responds and moves on
// to the next after a failure; a relay takes the peers in turn.
func (n *Node) follow(ctx context.Context) {
	b := newBackoff()
	at := map[netip.AddrPort]Position{}
	next := 0
	for ctx.Err() == nil {
		k := n.sources()
		relay, src := k.relay, k.peers
		if len(src) == 0 {
			if !pause(ctx, b) {
				return
			}
			continue
		}
		wait := watchWait
		if relay {
			wait = relayWait
		}
		if n.followOnce(ctx, src[next%len(src)], at, wait) {
			b.Reset()
			if relay {
				next++ // a relay reads from all other relays in turn
			}
			continue
		}
		next++
		if !pause(ctx, b) {
			return
		}
	}
}

// relayWait is short because a relay polls its peers one after the other.
const relayWait = time.Second

func (n *Node) followOnce(ctx context.Context, a netip.AddrPort, at map[netip.AddrPort]Position, wait time.Duration) bool {
	c, err := n.Client.Follow(ctx, a, at[a], n.State.Accepted(), wait)
	if err != nil {
		if ctx.Err() == nil {
			n.Log.Add(events.PeerDown, slog.String("peer", a.String()), slog.String("error", err.Error()))
		}
		return false
	}
	if n.Lag != nil && !clock.Sleep(ctx, n.Lag()) {
		return false
	}
	n.mergeChange(c, "peer "+a.String())
	at[a] = Position{Epoch: c.Epoch, Revision: c.Revision}
	return true
}

// mergeChange merges a change into the view and logs the result.
func (n *Node) mergeChange(c fleet.Change, from string) {
	m := n.State.Merge(c)
	if m.Err != nil {
		n.Log.Add(events.BundleRefused, slog.String("from", from), slog.String("error", m.Err.Error()))
	}
	if m.Bundle {
		a := n.State.Accepted()
		n.Log.Add(events.BundleInForce, slog.Uint64("version", uint64(a.Version)), slog.String("digest", string(a.Digest)), slog.String("from", from))
	}
	n.logMembers(events.MemberJoined, m.Joined)
	n.logMembers(events.MemberChanged, m.Changed)
	for i := range c.Members {
		n.reassertSelf(&c.Members[i])
	}
}

func (n *Node) logMembers(id events.ID, ms []fleet.Member) {
	for _, m := range ms {
		n.Log.Add(id, slog.String("member", string(m.ID)), slog.Int("zone", int(m.Zone)), slog.String("phase", string(m.Phase)))
	}
}

// reassertSelf republishes the node's own record with a higher revision if a
// newer record of the same incarnation was received.
func (n *Node) reassertSelf(m *fleet.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process that was removed by mistake, while it was paused or partitioned,
	// receives its own incarnation in phase left. A higher revision overrides that.
	if m.ID == n.self.ID && m.Incarnation == n.self.Incarnation && m.Newer(&n.self) {
		n.self.Revision = m.Revision + 1
		n.triggerPublish()
	}
}

// collect periodically removes expired state from the view. On a relay it also
// deletes the platform objects of failed members.
func (n *Node) collect(ctx context.Context) {
	doubtedSince := map[fleet.MemberID]time.Time{}
	for clock.Sleep(ctx, collectInterval) {
		n.State.RemoveExpired()
		if n.sources().relay {
			n.reap(ctx, doubtedSince)
		}
	}
}
