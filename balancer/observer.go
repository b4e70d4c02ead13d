// This file implements failure detection. Rendezvous hashing assigns each member
// of the fleet to three observing balancers. An observer sends the member a
// heartbeat every 500 ms and derives an opinion from the acknowledgements: the
// member is doubted (considered failed) or not. Opinions are distributed with the
// fleet state.
//
// With three observers per member, a balancer observes three times the members
// divided by the balancers, so its load does not depend on the size of the fleet.
// The trade-off is that detection takes more than a second: until then, callers
// have to repeat openings that were sent to a failed member.

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
	// heartbeatInterval is half of the one second within which the return path of
	// a flow must move to another balancer.
	heartbeatInterval = 500 * time.Millisecond
	// ackTimeout is four heartbeat intervals. At 10% random loss, a live member
	// is then doubted once in 10,000 heartbeats. That is acceptable: a doubted
	// member keeps its flows and only becomes the last choice for openings.
	ackTimeout = 4 * heartbeatInterval
	// pauseThreshold is the gap between two ticks above which this process itself
	// is assumed to have been paused.
	pauseThreshold = 3 * heartbeatInterval
	// ackQueueSize is the capacity of the channel from the returner to the
	// observer. Acknowledgements beyond it are dropped.
	ackQueueSize = 4096
)

// ack is a heartbeat acknowledgement that the returner received.
type ack struct {
	from        netip.AddrPort
	incarnation uint64
	load        uint16
}

// subject is a member that this balancer observes.
type subject struct {
	member fleet.Member
	// lastAck is when the last acknowledgement arrived. Initially, and after a
	// pause of this process, it is the current time.
	lastAck time.Time
	doubted bool
	// publishedAt is when the opinion was last merged into the fleet state.
	publishedAt time.Time
}

// observer sends heartbeats to its subjects and publishes opinions on them.
type observer struct {
	node *peer.Node
	link *link.Socket
	view *atomic.Pointer[View]
	log  *events.Log
	acks chan ack

	subjects map[netip.AddrPort]*subject
	lastTick time.Time
}

func (o *observer) run(ctx context.Context) error {
	o.subjects = map[netip.AddrPort]*subject{}
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	changed := fleet.ClosedChannel()
	for {
		select {
		case <-changed:
			changed = o.node.State.Changed()
			o.updateSubjects(time.Now())
		case a := <-o.acks:
			o.handleAck(a, time.Now())
		case <-t.C:
			o.tick(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// updateSubjects determines which members this balancer observes.
func (o *observer) updateSubjects(now time.Time) {
	ms, _ := o.node.State.Snapshot()
	doubts := o.node.State.Doubted()
	self := o.node.Self().ID
	old := o.subjects
	o.subjects = map[netip.AddrPort]*subject{}
	for i := range ms {
		m := &ms[i]
		if m.ID == self || m.Phase == fleet.PhaseLeft || !isObserver(self, m, ms, doubts) {
			continue
		}
		s := old[m.Link]
		if s == nil || s.member.Incarnation != m.Incarnation {
			s = &subject{lastAck: now}
		}
		s.member = *m
		o.subjects[m.Link] = s
	}
	o.withdrawDoubts(old, now)
}

// withdrawDoubts clears this balancer's doubts about members that it no longer
// observes. No other observer can clear them.
func (o *observer) withdrawDoubts(old map[netip.AddrPort]*subject, now time.Time) {
	for a, s := range old {
		if s.doubted && o.subjects[a] == nil {
			o.publishOpinion(s, false, now)
		}
	}
}

// isObserver reports whether the balancer self is an observer of the member m.
func isObserver(self fleet.MemberID, m *fleet.Member, ms []fleet.Member, doubts map[fleet.MemberID]bool) bool {
	for _, b := range fleet.Observers(m.ID, ms, doubts, m.Zone) {
		if b.ID == self {
			return true
		}
	}
	return false
}

// handleAck records an acknowledgement and clears a doubt. It ignores one of an
// earlier incarnation of the member.
func (o *observer) handleAck(a ack, now time.Time) {
	s := o.subjects[a.from]
	if s == nil || uint64(s.member.Incarnation) != a.incarnation {
		return
	}
	s.lastAck = now
	if s.doubted {
		o.publishOpinion(s, false, now)
	}
}

// tick sends a heartbeat to each subject and doubts those whose last
// acknowledgement is older than ackTimeout.
func (o *observer) tick(now time.Time) {
	// After a pause of this process, such as a VM migration, every member appears
	// silent. A gap between ticks shows the pause, and ackTimeout is then restarted
	// for each member.
	paused := !o.lastTick.IsZero() && now.Sub(o.lastTick) > pauseThreshold
	o.lastTick = now
	v := o.view.Load()
	m := link.Message{Kind: link.KindHeartbeat, Zone: o.node.Self().Zone, Number: uint64(o.node.Self().Incarnation), Sent: uint32(now.Unix())}
	var b [link.HeaderSize]byte
	v.linkKeys[0].Put(b[:], &m)
	for a, s := range o.subjects {
		if paused {
			s.lastAck = now
		}
		silent := now.Sub(s.lastAck) > ackTimeout
		if silent && (!s.doubted || now.Sub(s.publishedAt) > fleet.DoubtInterval) {
			o.publishOpinion(s, true, now)
		}
		o.link.WriteToUDPAddrPort(b[:], a)
	}
}

// publishOpinion merges the opinion into the fleet state and logs it if it changed.
func (o *observer) publishOpinion(s *subject, doubted bool, now time.Time) {
	if s.doubted != doubted {
		o.logOpinion(s, doubted, now)
	}
	s.doubted, s.publishedAt = doubted, now
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
	o.log.Add(id, slog.String("member", string(s.member.ID)), slog.Duration("silent", now.Sub(s.lastAck)))
}
