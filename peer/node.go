// This file keeps a process's view of the fleet up to date. Some balancers of
// each zone, one for forty processes, chosen by rendezvous hashing, watch the platform and follow the
// relays of the other zones; everybody else follows one of their zone's relays.
// So the platform carries a few watches a zone, whatever the fleet's size, and
// an outage of it stops nothing: views pass from peer to peer. A process that
// reaches no relay reads the platform itself, with jitter and within its budget.
// Given up: a change takes one more hop, some tens of milliseconds.

package peer

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/platform"
)

const (
	// relaysLeast is how many balancers of a zone watch the platform at least,
	// and followersMost how many processes each is to serve: a change of the
	// bundle goes to all of them from its line.
	relaysLeast   = 2
	followersMost = 40
	// watchWait is how long one long poll waits.
	watchWait = 20 * time.Second
	// retryFirst and retryMost bound the jittered wait after a failed call.
	retryFirst = 200 * time.Millisecond
	retryMost  = 10 * time.Second
	// renewEvery is how often a member writes its record anew, so that records
	// nobody renews can be told from live ones.
	renewEvery = 10 * time.Minute
	// emptyWait is how long a process leaves an empty store alone.
	emptyWait     = 2 * time.Second
	collectEvery  = time.Minute
	reapAfter     = 2 * time.Minute
	currentBundle = "current"
)

// Node keeps the view of one process.
type Node struct {
	State    *fleet.State
	Client   *Client
	Platform *platform.Client
	Log      *events.Log
	// Seeds are peers to ask while no member is known.
	Seeds []netip.AddrPort
	// Lag holds back what is heard of others; trials set it, so that views
	// arrive unevenly. Nil means none.
	Lag func() time.Duration

	mu       sync.Mutex
	known    sources
	self     fleet.Member
	written  platform.Revision
	down     bool
	announce chan struct{}
}

// NewNode returns a node that announces self.
func NewNode(s *fleet.State, c *Client, p *platform.Client, l *events.Log, self fleet.Member) *Node {
	n := &Node{State: s, Client: c, Platform: p, Log: l, self: self, announce: make(chan struct{}, 1)}
	s.Merge(fleet.Change{Members: []fleet.Member{self}})
	return n
}

// Self returns the node's own record.
func (n *Node) Self() fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// SetPhase changes the node's own record and announces it.
func (n *Node) SetPhase(p fleet.Phase) {
	n.mu.Lock()
	n.self.Phase = p
	n.self.Revision++
	m := n.self
	n.mu.Unlock()
	n.State.Merge(fleet.Change{Members: []fleet.Member{m}})
	n.wake()
}

// leaveTimeout bounds the last words of a process.
const leaveTimeout = 2 * time.Second

// Leave says that this life of the member has ended and removes its object.
// What fails is left to the relays, which remove the objects of the dead.
func (n *Node) Leave() {
	n.SetPhase(fleet.PhaseLeft)
	ctx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	n.tell(ctx)
	n.mu.Lock()
	at := n.written
	n.mu.Unlock()
	n.Platform.Delete(ctx, platform.KindMember, string(n.Self().ID), at)
}

func (n *Node) wake() {
	select {
	case n.announce <- struct{}{}:
	default:
	}
}

// Run keeps the view up to date until the context ends.
func (n *Node) Run(ctx context.Context) error {
	var w sync.WaitGroup
	for _, f := range []func(context.Context){n.follow, n.publish, n.collect, n.watch} {
		w.Go(func() { f(ctx) })
	}
	w.Wait()
	return nil
}

// pause waits for the jittered backoff; it returns false when the context ends.
func pause(ctx context.Context, b *backoff.ExponentialBackOff) bool {
	return sleep(ctx, b.NextBackOff())
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryFirst, retryMost
	b.Reset()
	return b
}

var relayKey = fleet.HashOf([]byte("relay"))

// relaysByZone returns the balancers that watch the platform for each zone.
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
		out[z] = fleet.Rank(relayKey, out[z], max(relaysLeast, size[z]/followersMost))
	}
	return out
}

// sources is whom a node follows, as worked out from one state of the view.
type sources struct {
	relay      bool
	peers      []netip.AddrPort
	generation uint64
	at         time.Time
}

// sourcesLife is how long sources are good without a change of the view: doubts
// come to count with time.
const sourcesLife = 5 * time.Second

// sources returns whether this node is a relay, and the peers to follow. Going
// through the whole view at each question would cost each process a share of a
// core that grows with the fleet.
func (n *Node) sources() (relay bool, peers []netip.AddrPort) {
	g := n.State.Generation()
	n.mu.Lock()
	k := n.known
	n.mu.Unlock()
	if k.at.IsZero() || k.generation != g || time.Since(k.at) > sourcesLife {
		k = sources{generation: g, at: time.Now()}
		k.relay, k.peers = n.findSources()
		n.mu.Lock()
		n.known = k
		n.mu.Unlock()
	}
	return k.relay, k.peers
}

// findSources finds the peers to follow, best first: those of the node's own
// zone before the others.
func (n *Node) findSources() (relay bool, peers []netip.AddrPort) {
	s := n.Self()
	var own, other []fleet.Member
	for z, ms := range n.relaysByZone() {
		for _, m := range ms {
			switch {
			case m.ID == s.ID:
				relay = true
			case z == s.Zone:
				own = append(own, m)
			default:
				other = append(other, m)
			}
		}
	}
	k := fleet.HashOf([]byte(s.ID))
	for _, m := range append(fleet.Rank(k, own, len(own)), fleet.Rank(k, other, len(other))...) {
		peers = append(peers, m.Peer)
	}
	return relay, append(peers, n.Seeds...)
}

// follow reads from one peer after another, staying with one that answers.
func (n *Node) follow(ctx context.Context) {
	b := newBackoff()
	at := map[netip.AddrPort]Position{}
	next := 0
	for ctx.Err() == nil {
		relay, src := n.sources()
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
				next++ // a relay goes round the others
			}
			continue
		}
		next++
		if !pause(ctx, b) {
			return
		}
	}
}

// relayWait keeps a relay's round through the other zones short.
const relayWait = time.Second

func (n *Node) followOnce(ctx context.Context, a netip.AddrPort, at map[netip.AddrPort]Position, wait time.Duration) bool {
	c, err := n.Client.Follow(ctx, a, at[a], n.have(), wait)
	if err != nil {
		if ctx.Err() == nil {
			n.Log.Add(events.PeerDown, slog.String("peer", a.String()), slog.String("error", err.Error()))
		}
		return false
	}
	if n.Lag != nil && !sleep(ctx, n.Lag()) {
		return false
	}
	n.take(c, "peer "+a.String())
	at[a] = Position{Epoch: c.Epoch, Revision: c.Revision}
	return true
}

func (n *Node) have() bundle.Version {
	if a := n.State.Accepted(); a != nil {
		return a.Version
	}
	return 0
}

// take merges a change and logs what came of it.
func (n *Node) take(c fleet.Change, from string) {
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
		n.heard(&c.Members[i])
	}
}

func (n *Node) logMembers(id events.ID, ms []fleet.Member) {
	for _, m := range ms {
		n.Log.Add(id, slog.String("member", string(m.ID)), slog.Int("zone", int(m.Zone)), slog.String("phase", string(m.Phase)))
	}
}

// heard notices that the fleet holds another life of this very member.
func (n *Node) heard(m *fleet.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process declared gone by mistake, while it was paused or cut off, sees
	// its own life marked as left; a new revision takes the verdict back.
	if m.ID == n.self.ID && m.Incarnation == n.self.Incarnation && m.Newer(&n.self) {
		n.self.Revision = m.Revision + 1
		n.wake()
	}
}

// watch reads the platform: all the time as a relay, else while no peer is
// known or no bundle was heard of.
func (n *Node) watch(ctx context.Context) {
	b := newBackoff()
	var at platform.Revision
	for ctx.Err() == nil {
		if !n.needsPlatform() {
			if !sleep(ctx, time.Second+rand.N(time.Second)) {
				return
			}
			continue
		}
		l, err := n.Platform.List(ctx, at, watchWait, platform.KindBundle, platform.KindMember)
		n.platformHeard(ctx, err)
		if err != nil {
			if !pause(ctx, b) {
				return
			}
			continue
		}
		b.Reset()
		if l.Revision < at {
			at = 0 // the store was restored from an older copy: read it all
			continue
		}
		if n.Lag != nil && !sleep(ctx, n.Lag()) {
			return
		}
		at = l.Revision
		n.takeObjects(l.Objects)
		// A store that nobody has written to answers a watch at once.
		if at == 0 && !sleep(ctx, emptyWait) {
			return
		}
	}
}

func (n *Node) needsPlatform() bool {
	relay, src := n.sources()
	return relay || len(src) == 0 || n.State.Accepted() == nil
}

func (n *Node) platformHeard(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	was := n.down
	n.down = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !was:
		n.Log.Add(events.PlatformDown, slog.String("error", err.Error()))
	case err == nil && was:
		n.Log.Add(events.PlatformUp)
	}
}

// PlatformDown reports whether the last call to the platform failed.
func (n *Node) PlatformDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

func (n *Node) takeObjects(os []platform.Object) {
	var c fleet.Change
	for _, o := range os {
		switch o.Kind {
		case platform.KindBundle:
			if s, err := bundle.DecodeSigned(o.Value); err == nil && !o.Deleted && o.Name == currentBundle {
				c.Bundle = &s
			}
		case platform.KindMember:
			var m fleet.Member
			if err := json.Unmarshal(o.Value, &m); err != nil {
				n.Log.Add(events.LinkRefused, slog.String("object", o.Name), slog.String("error", err.Error()))
				continue
			}
			if o.Deleted {
				m.Phase = fleet.PhaseLeft
				m.Revision++
			}
			c.Members = append(c.Members, m)
		}
	}
	n.take(c, "platform")
}

// publish writes the node's own record when it changes and every renewEvery.
func (n *Node) publish(ctx context.Context) {
	b := newBackoff()
	for ctx.Err() == nil {
		n.tell(ctx)
		if err := n.write(ctx); err != nil {
			n.platformHeard(ctx, err)
			if !pause(ctx, b) {
				return
			}
			continue
		}
		b.Reset()
		select {
		case <-n.announce:
		case <-time.After(renewEvery + rand.N(renewEvery/10)):
		case <-ctx.Done():
		}
	}
}

// tellMost is how many peers a node tells of its own change directly, so that
// it is known while the platform is down.
const tellMost = 2

func (n *Node) tell(ctx context.Context) {
	_, src := n.sources()
	for _, a := range src[:min(tellMost, len(src))] {
		if err := n.Client.Announce(ctx, a, fleet.Change{Members: []fleet.Member{n.Self()}}); err != nil && ctx.Err() == nil {
			n.Log.Add(events.PeerDown, slog.String("peer", a.String()), slog.String("error", err.Error()))
		}
	}
}

// write puts the record into the platform on the condition that the object is
// as this life last saw it.
//
// A holder that was paused past the removal of its object, or past the start of
// the next life at its address, would write a dead record over a live one; it
// shows as a failed condition, after which the object is read and only replaced
// if it is of an older life.
func (n *Node) write(ctx context.Context) error {
	n.mu.Lock()
	m, at := n.self, n.written
	n.mu.Unlock()
	if m.Phase == fleet.PhaseLeft {
		return nil
	}
	o, err := n.put(ctx, m, at)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) {
		return n.resolve(ctx, m)
	}
	if err != nil {
		return err
	}
	n.setWritten(o.Revision)
	return nil
}

func (n *Node) put(ctx context.Context, m fleet.Member, at platform.Revision) (platform.Object, error) {
	if at == 0 {
		return n.Platform.Create(ctx, platform.KindMember, string(m.ID), m)
	}
	return n.Platform.Update(ctx, platform.KindMember, string(m.ID), m, at)
}

func (n *Node) setWritten(r platform.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.written = r
}

// resolve reads back what the platform holds after a conflict or a lost answer.
func (n *Node) resolve(ctx context.Context, m fleet.Member) error {
	o, err := n.Platform.Get(ctx, platform.KindMember, string(m.ID))
	if errors.Is(err, platform.ErrNotFound) {
		n.setWritten(0)
		return errRetry
	}
	if err != nil {
		return err
	}
	var held fleet.Member
	if err := json.Unmarshal(o.Value, &held); err == nil && held.Incarnation > m.Incarnation {
		return nil // the next life at this address owns the object
	}
	n.setWritten(o.Revision)
	if held == m {
		return nil
	}
	return errRetry
}

var errRetry = errors.New("object changed while it was written; trying again")

// collect forgets what has ended and, as a relay, removes dead members' objects.
func (n *Node) collect(ctx context.Context) {
	since := map[fleet.MemberID]time.Time{}
	for sleep(ctx, collectEvery) {
		n.State.Collect()
		if relay, _ := n.sources(); relay {
			n.reap(ctx, since)
		}
	}
}

// reap removes the objects of members that stayed doubted. The conditional
// delete is the guard: a member that wrote in between has changed its object.
func (n *Node) reap(ctx context.Context, since map[fleet.MemberID]time.Time) {
	doubts := n.State.Doubted()
	for id := range since {
		if !doubts[id] {
			delete(since, id)
		}
	}
	for id := range doubts {
		t, ok := since[id]
		if !ok {
			since[id] = time.Now()
			continue
		}
		if time.Since(t) > reapAfter {
			n.remove(ctx, id)
		}
	}
}

func (n *Node) remove(ctx context.Context, id fleet.MemberID) {
	m, ok := n.State.Member(id)
	o, err := n.Platform.Get(ctx, platform.KindMember, string(id))
	var held fleet.Member
	if err != nil || !ok || json.Unmarshal(o.Value, &held) != nil || held.Incarnation != m.Incarnation {
		return
	}
	if n.Platform.Delete(ctx, platform.KindMember, string(id), o.Revision) == nil {
		n.Log.Add(events.MemberRemoved, slog.String("member", string(id)))
	}
}
