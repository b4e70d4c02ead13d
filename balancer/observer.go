// This file watches over the lives of the members that rendezvous hashing gives
// to this balancer: it sends each a heartbeat every half second and forms an
// opinion from the answers. Three observers a member make the cost of a balancer
// independent of the fleet's size: three times the members over the balancers.
// Opinions spread with the view of the fleet. Given up: a verdict within a
// second; openings to a member that just died are repeated by the caller.

package balancer

import (
	"context"
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/peer"

	"log/slog"
	"sync/atomic"
)

const (
	// heartbeatEvery is half the second in which a return path must move.
	heartbeatEvery = 500 * time.Millisecond
	// silentAfter is four heartbeats: random loss of one in ten doubts a live
	// member once in ten thousand heartbeats, and wrongly doubting costs little.
	silentAfter = 4 * heartbeatEvery
	// pausedAfter is a gap between heartbeats that shows this process itself
	// stood still.
	pausedAfter = 3 * heartbeatEvery
	ackRing     = 4096
)

type ack struct {
	from netip.AddrPort
	life uint64
	load uint16
}

type subject struct {
	member  fleet.Member
	heard   time.Time
	doubted bool
	// told is when the opinion was last made known.
	told time.Time
}

type observer struct {
	node *peer.Node
	link *link.Socket
	view *atomic.Pointer[View]
	log  *events.Log
	acks chan ack

	subjects map[netip.AddrPort]*subject
	last     time.Time
}

func (o *observer) run(ctx context.Context) error {
	o.subjects = map[netip.AddrPort]*subject{}
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	changed := fleet.Immediately()
	for {
		select {
		case <-changed:
			changed = o.node.State.Changed()
			o.assign(time.Now())
		case a := <-o.acks:
			o.heard(a, time.Now())
		case <-t.C:
			o.tick(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// assign finds the members that this balancer observes.
func (o *observer) assign(now time.Time) {
	ms, _ := o.node.State.Snapshot()
	doubts := o.node.State.Doubted()
	self := o.node.Self().ID
	old := o.subjects
	o.subjects = map[netip.AddrPort]*subject{}
	for i := range ms {
		m := &ms[i]
		if m.ID == self || m.Phase == fleet.PhaseLeft || !observes(self, m, ms, doubts) {
			continue
		}
		s := old[m.Link]
		if s == nil || s.member.Incarnation != m.Incarnation {
			s = &subject{heard: now}
		}
		s.member = *m
		o.subjects[m.Link] = s
	}
	o.withdraw(old, now)
}

// withdraw takes back the doubts of members that others observe from now on:
// nobody would ever clear them.
func (o *observer) withdraw(old map[netip.AddrPort]*subject, now time.Time) {
	for a, s := range old {
		if s.doubted && o.subjects[a] == nil {
			o.form(s, false, now)
		}
	}
}

func observes(self fleet.MemberID, m *fleet.Member, ms []fleet.Member, doubts map[fleet.MemberID]bool) bool {
	for _, b := range fleet.Observers(m.ID, ms, doubts, m.Zone) {
		if b.ID == self {
			return true
		}
	}
	return false
}

func (o *observer) heard(a ack, now time.Time) {
	s := o.subjects[a.from]
	if s == nil || uint64(s.member.Incarnation) != a.life {
		return
	}
	s.heard = now
	if s.doubted {
		o.form(s, false, now)
	}
}

func (o *observer) tick(now time.Time) {
	// After a pause of this process every member seems silent at once. It shows
	// as a gap between ticks; the answers' clocks then start anew.
	paused := !o.last.IsZero() && now.Sub(o.last) > pausedAfter
	o.last = now
	v := o.view.Load()
	m := link.Message{Kind: link.KindHeartbeat, Zone: o.node.Self().Zone, Number: uint64(o.node.Self().Incarnation), Sent: uint32(now.Unix())}
	var b [link.HeaderSize]byte
	v.links[0].Put(b[:], &m)
	for a, s := range o.subjects {
		if paused {
			s.heard = now
		}
		silent := now.Sub(s.heard) > silentAfter
		if silent && (!s.doubted || now.Sub(s.told) > fleet.DoubtEvery) {
			o.form(s, true, now)
		}
		o.link.WriteToUDPAddrPort(b[:], a)
	}
}

// form makes an opinion known.
func (o *observer) form(s *subject, doubted bool, now time.Time) {
	if s.doubted != doubted {
		o.logOpinion(s, doubted, now)
	}
	s.doubted, s.told = doubted, now
	o.node.State.Merge(fleet.Change{Opinions: []fleet.Opinion{{
		Observer: o.node.Self().ID, Subject: s.member.ID, Life: s.member.Incarnation,
		Doubted: doubted, Stamp: uint64(now.UnixMicro()),
	}}})
}

func (o *observer) logOpinion(s *subject, doubted bool, now time.Time) {
	id := events.MemberCleared
	if doubted {
		id = events.MemberDoubted
	}
	o.log.Add(id, slog.String("member", string(s.member.ID)), slog.Duration("silent", now.Sub(s.heard)))
}
