package peer

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/platform"
)

// watch reads the objects of a kind from the platform. A relay does so all the
// time, other processes only while they know no peer or have no bundle.
func (n *Node) watch(ctx context.Context, k platform.Kind) {
	b := newBackoff()
	var at platform.Revision
	for ctx.Err() == nil {
		if !n.needsPlatform() {
			if !clock.Sleep(ctx, time.Second+rand.N(time.Second)) {
				return
			}
			continue
		}
		x, err := n.read(ctx, k, at)
		n.setPlatformResult(ctx, err)
		if errors.Is(err, platform.ErrGone) {
			at = 0
			continue
		}
		if err != nil {
			if !pause(ctx, b) {
				return
			}
			continue
		}
		b.Reset()
		if x.At < at {
			at = 0 // the store was restored from an older backup: list everything
			continue
		}
		if n.Lag != nil && !clock.Sleep(ctx, n.Lag()) {
			return
		}
		at = x.At
		n.mergeEvents(k, x.Events)
	}
}

// read returns the changes after the revision, or all objects for revision zero.
func (n *Node) read(ctx context.Context, k platform.Kind, at platform.Revision) (platform.Changes, error) {
	if at != 0 {
		return n.Platform.Watch(ctx, k, at, watchWait)
	}
	l, err := n.Platform.List(ctx, k)
	x := platform.Changes{At: l.At}
	for _, o := range l.Items {
		x.Events = append(x.Events, platform.Event{Object: o})
	}
	return x, err
}

// needsPlatform reports whether this node reads the platform itself. Seeds do not count as
// peers: they are addresses from the settings, at which nobody may run any more.
func (n *Node) needsPlatform() bool {
	k := n.sources()
	return k.relay || k.relays == 0 || n.State.Accepted() == nil
}

// setPlatformResult records whether the platform responded to a call. A refusal because of
// what the platform holds is a response.
func (n *Node) setPlatformResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	down := err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrGone)
	n.mu.Lock()
	was := n.platformDown
	n.platformDown = down
	n.mu.Unlock()
	switch {
	case down && !was:
		n.Log.Add(events.PlatformDown, slog.String("error", err.Error()))
	case !down && was:
		n.Log.Add(events.PlatformUp)
	}
}

// PlatformDown reports whether the last call to the platform failed.
func (n *Node) PlatformDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.platformDown
}

func (n *Node) mergeEvents(k platform.Kind, es []platform.Event) {
	var c fleet.Change
	for _, e := range es {
		o := e.Object
		switch k {
		case platform.KindBundle:
			if s, err := bundle.DecodeSigned(o.Spec); err == nil && !e.Removed && o.Meta.Name == currentBundle {
				c.Bundle = &s
			}
		case platform.KindMember:
			var m fleet.Member
			if err := json.Unmarshal(o.Spec, &m); err != nil {
				n.Log.Add(events.RecordRefused, slog.String("object", o.Meta.Name), slog.String("error", err.Error()))
				continue
			}
			if e.Removed {
				m.Phase = fleet.PhaseLeft
				m.Revision++
			}
			c.Members = append(c.Members, m)
		}
	}
	n.mergeChange(c, "platform")
}

// publish announces the node's own record and writes it to the platform, when it
// changes and about every renewInterval.
func (n *Node) publish(ctx context.Context) {
	b := newBackoff()
	for ctx.Err() == nil {
		n.announceSelf(ctx)
		err := n.write(ctx)
		n.setPlatformResult(ctx, err)
		if err != nil {
			if !pause(ctx, b) {
				return
			}
			continue
		}
		b.Reset()
		select {
		case <-n.publishNow:
		case <-time.After(renewInterval + rand.N(renewInterval/10)):
		case <-ctx.Done():
		}
	}
}

// maxAnnouncePeers is the maximum number of peers that a node announces its own
// record to, so that changes also spread while the platform is down.
const maxAnnouncePeers = 2

func (n *Node) announceSelf(ctx context.Context) {
	src := n.sources().peers
	for _, a := range src[:min(maxAnnouncePeers, len(src))] {
		if err := n.Client.Announce(ctx, a, fleet.Change{Members: []fleet.Member{n.Self()}}); err != nil && ctx.Err() == nil {
			n.Log.Add(events.PeerDown, slog.String("peer", a.String()), slog.String("error", err.Error()))
		}
	}
}

// write stores the node's record in the platform, on the condition that the
// object is unchanged since this incarnation last wrote or read it.
//
// Without the condition, a process that was paused until its object was removed,
// or until a new incarnation started at its address, could overwrite a live
// record with its outdated one. When the condition fails, the object is read and
// replaced only if it does not belong to a newer incarnation.
func (n *Node) write(ctx context.Context) error {
	n.mu.Lock()
	m, at := n.self, n.writtenRevision
	n.mu.Unlock()
	if m.Phase == fleet.PhaseLeft {
		return nil
	}
	o, err := n.put(ctx, m, at)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrOutcomeUnknown) {
		return n.resolve(ctx, m)
	}
	if err != nil {
		return err
	}
	n.setWrittenRevision(o.Meta.Revision)
	return nil
}

func (n *Node) put(ctx context.Context, m fleet.Member, at platform.Revision) (platform.Object, error) {
	if at == 0 {
		return n.Platform.Create(ctx, platform.KindMember, string(m.ID), m)
	}
	return n.Platform.Update(ctx, platform.KindMember, string(m.ID), m, at)
}

func (n *Node) setWrittenRevision(r platform.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writtenRevision = r
}

// resolve reads the object back after a conflict or a lost response, and returns
// errRetry if the record has to be written again.
func (n *Node) resolve(ctx context.Context, m fleet.Member) error {
	o, err := n.Platform.Get(ctx, platform.KindMember, string(m.ID))
	if errors.Is(err, platform.ErrNotFound) {
		n.setWrittenRevision(0)
		return errRetry
	}
	if err != nil {
		return err
	}
	var existing fleet.Member
	if err := json.Unmarshal(o.Spec, &existing); err == nil && existing.Incarnation > m.Incarnation {
		return nil // a newer incarnation at this address owns the object
	}
	n.setWrittenRevision(o.Meta.Revision)
	if existing == m {
		return nil
	}
	return errRetry
}

var errRetry = errors.New("platform object changed during the write; retrying")

// reap removes the objects of members that have been doubted for reapAfter;
// doubtedSince holds when each doubt was first seen. The delete is conditional,
// so it fails if the member has written its object in the meantime.
func (n *Node) reap(ctx context.Context, doubtedSince map[fleet.MemberID]time.Time) {
	doubts := n.State.Doubted()
	for id := range doubtedSince {
		if !doubts[id] {
			delete(doubtedSince, id)
		}
	}
	for id := range doubts {
		t, ok := doubtedSince[id]
		if !ok {
			doubtedSince[id] = time.Now()
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
	var existing fleet.Member
	if err != nil || !ok || json.Unmarshal(o.Spec, &existing) != nil || existing.Incarnation != m.Incarnation {
		return
	}
	if n.Platform.Delete(ctx, platform.KindMember, string(id), o.Meta.Revision) == nil {
		n.Log.Add(events.MemberRemoved, slog.String("member", string(id)))
	}
}
