package datagram

import (
	"log/slog"
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/events"
)

// decision is one line about a flow, with what decided it.
type decision struct {
	event   events.ID
	flow    Flow
	agent   IP
	reason  Reason
	hop     uint8
	class   class
	version Version
	// age is that of the input that decided: a status, or the attempt before.
	age     time.Duration
	request string
}

// Log writes decisions of one process. Its zero value writes nothing.
type Log struct {
	Log *events.Log
	// Most bounds the lines of flows a second; the others are counted.
	Most int

	second time.Duration
	lines  int
	// Left is how many lines were left out.
	Left uint64
}

// decide writes a decision unless the second's share is used up.
func (l *Log) decide(d decision, now time.Duration) {
	if l == nil || l.Log == nil {
		return
	}
	if now-l.second >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines++; l.lines > l.Most {
		l.Left++
		return
	}
	l.Log.Decide(events.Decision{
		ID: d.event, Reason: events.Reason(d.reason.String()), Caller: d.flow.Caller.AddrPort(), Address: d.flow.Address.AddrPort(),
		Target: target(d.agent), Hop: int(d.hop), Class: int(d.class), Version: uint64(d.version), Age: d.age, Request: d.request,
	})
}

func target(ip IP) (a netip.AddrPort) {
	if ip == 0 {
		return a
	}
	return netip.AddrPortFrom(ip.Addr(), 0)
}

// agentChanged logs what a balancer believes of an agent, with the doubt if any, how old
// its last status is and how often it said that it sends one.
func (l *Log) agentChanged(a *agentView, doubt string, now time.Duration) {
	if l == nil || l.Log == nil {
		return
	}
	s := &a.status
	l.Log.Add(events.AgentChanged, slog.String("doubt", doubt), slog.String("agent", a.ip.String()), slog.String("state", s.State.String()),
		slog.Bool("leaving", s.Leaving), slog.Duration("cold", s.Cold.Duration()), slog.Uint64("life", uint64(s.Life)),
		slog.Duration("age", now-a.heard), slog.Duration("every", s.Every.Duration()))
}

// nearChanged logs to how many balancers an agent sends its status often, of how many, in
// a fleet of so many agents.
func (l *Log) nearChanged(near, balancers, agents int) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.NearChanged, slog.Int("near", near), slog.Int("balancers", balancers), slog.Int("agents", agents))
}

// entriesMissing logs that an agent is asked for its flows again.
func (l *Log) entriesMissing(ip IP, life Life) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.EntriesMissing, slog.String("agent", ip.String()), slog.Uint64("life", uint64(life)))
}

var upstreamStateNames = [upstreamStateEnd]string{"unknown", "ready", "draining", "gone", "silent", "absent"}

// String returns the state as it stands in the log.
func (s UpstreamState) String() string {
	if s >= upstreamStateEnd {
		return "invalid"
	}
	return upstreamStateNames[s]
}

func (l *Log) upstreamChanged(u *upstream, reborn bool) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.UpstreamChanged, slog.String("upstream", u.id), slog.String("state", u.state.String()),
		slog.Bool("reborn", reborn), slog.Int64("born", u.born), slog.Int64("sequence", u.sequence))
}

func (l *Log) zoneChanged(out bool, revision uint64) {
	if l == nil || l.Log == nil {
		return
	}
	id := events.ZoneIn
	if out {
		id = events.ZoneOut
	}
	l.Log.Add(id, slog.Uint64("revision", revision))
}
