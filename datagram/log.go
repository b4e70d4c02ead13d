package datagram

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// decision is one log line about a flow, with the inputs of the decision.
type decision struct {
	event   events.ID
	flow    Flow
	agent   IP
	reason  Reason
	hop     uint8
	class   class
	version Version
	// age is the age of the decisive input: a status, or the previous attempt.
	age     time.Duration
	request string
}

// Log writes the decisions of one process to the event log. Its zero value writes nothing.
type Log struct {
	Log *events.Log
	// MaxLines limits the lines about flows per second; further ones are only counted.
	MaxLines int

	second time.Duration
	lines  int
	// LeftOut is the number of lines that exceeded the limit.
	LeftOut uint64
}

// logDecision logs a decision unless the limit for this second is reached.
func (l *Log) logDecision(d decision, now time.Duration) {
	if l == nil || l.Log == nil {
		return
	}
	if now-l.second >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines++; l.lines > l.MaxLines {
		l.LeftOut++
		return
	}
	l.Log.AddDecision(events.Decision{
		ID: d.event, Reason: events.Reason(d.reason.String()),
		Caller: d.flow.Caller.AddrPort(), Address: d.flow.Address.AddrPort(), Target: target(d.agent),
		Hop: int(d.hop), Class: int(d.class), Version: uint64(d.version), Age: d.age, Request: d.request,
	})
}

func target(ip IP) (a netip.AddrPort) {
	if ip == 0 {
		return a
	}
	return netip.AddrPortFrom(ip.Addr(), 0)
}

// agentChanged logs an agent's state as a balancer knows it, with the cause of the doubt if
// there is one, the age of the agent's last status and the interval that it announced.
func (l *Log) agentChanged(a *agentView, doubt string, now time.Duration) {
	if l == nil || l.Log == nil {
		return
	}
	s := &a.status
	l.Log.Add(events.AgentChanged, slog.String("doubt", doubt), slog.String("agent", a.ip.String()),
		slog.String("state", s.State.String()), slog.Bool("leaving", s.Leaving),
		slog.Duration("cold", s.ColdRemaining.Duration()), slog.Uint64("life", uint64(s.Life)),
		slog.Duration("age", now-a.lastSeen), slog.Duration("every", s.Interval.Duration()))
}

// maxLostReports bounds the lines of one report on lost flows. The loss of an availability zone
// concerns hundreds of agents.
const maxLostReports = 20

// lostFlowsReset logs how many flows of each agent were reset and how old the proof is, for up
// to maxLostReports agents, and the sum over the others.
func (l *Log) lostFlowsReset(rs map[IP]*lostReport, now time.Duration) {
	if l == nil || l.Log == nil {
		return
	}
	rest, flows := 0, 0
	for i, ip := range slices.Sorted(maps.Keys(rs)) {
		r := rs[ip]
		if i >= maxLostReports {
			rest, flows = rest+1, flows+r.flows
			continue
		}
		l.Log.Add(events.LostFlowsReset, slog.String("agent", ip.String()), slog.Int("flows", r.flows), slog.Duration("age", now-r.provedAt))
	}
	if rest > 0 {
		l.Log.Add(events.LostFlowsReset, slog.Int("agents", rest), slog.Int("flows", flows))
	}
}

// nearChanged logs the number of near balancers of an agent, of all balancers, and of
// agents in the fleet.
func (l *Log) nearChanged(near, balancers, agents int) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.NearBalancersChanged, slog.Int("near", near), slog.Int("balancers", balancers), slog.Int("agents", agents))
}

// watchingChanged logs that this balancer begins or stops to watch the store, with its rank
// among the balancers and the last that it heard of another watcher.
func (l *Log) watchingChanged(watching bool, rank int, seen watcherSighting, now time.Duration) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.StoreWatchChanged, slog.Bool("watching", watching), slog.Int("rank", rank),
		slog.String("watcher", seen.ip.String()), slog.Duration("age", now-seen.at))
}

// directoryIncomplete logs why a home can't tell whether flows are gone, and how many balancers
// there are in its home set and among those that it knows.
func (l *Log) directoryIncomplete(c *coverage, homes, known int) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.DirectoryIncomplete, slog.String("gap", coverageGapNames[c.gap]), slog.String("agent", c.gapAgent.String()),
		slog.Int("homes", homes), slog.Int("balancers", known))
}

// entriesMissing logs that an agent is asked to send its flows again.
func (l *Log) entriesMissing(ip IP, life Life) {
	if l == nil || l.Log == nil {
		return
	}
	l.Log.Add(events.EntriesMissing, slog.String("agent", ip.String()), slog.Uint64("life", uint64(life)))
}

var upstreamStateNames = [upstreamStateEnd]string{"unknown", "ready", "draining", "gone", "silent", "absent"}

// String returns the state as it appears in the log.
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
		slog.Bool("reborn", reborn), slog.Int64("born", u.born), slog.Int64("sequence", u.sequence),
		slog.String("evidence", u.evidence.String()))
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

// speedChanged logs that an upstream has become faster or slower. The agent of the upstream logs
// it with the number of samples, a balancer with the agent and the mean of the service.
func (l *Log) speedChanged(agent IP, old, now time.Duration, samples int, mean time.Duration) {
	if l == nil || l.Log == nil {
		return
	}
	at := []slog.Attr{slog.Duration("old", old), slog.Duration("new", now)}
	if samples > 0 {
		at = append(at, slog.Int("samples", samples))
	}
	if agent != 0 {
		at = append(at, slog.String("agent", agent.String()), slog.Duration("mean", mean))
	}
	l.Log.Add(events.SpeedChanged, at...)
}
