package main

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

const (
	drainBound         = 3 * time.Second // from the acknowledged announcement on
	evacuationBound    = 5 * time.Second // from the acknowledged evacuation on
	configurationBound = 3 * time.Second // from the acknowledged configuration on
	silentBound        = 4 * time.Second // for the answer to a request on an open flow, which is repeated
	astrayPackets      = 3               // that reach other upstreams only, over astrayTime
	astrayTime         = 2 * time.Second
	// A cold upstream may get its rate times coldShare and coldExtra openings in a second.
	coldShare = 1.5
	coldExtra = 5
)

// span is the time of a fault.
type span struct {
	fault      Fault
	begin, end time.Time // end is zero while it lasts
}

// checks collects what went wrong. The lock of the site guards it.
type checks struct {
	seed     Seed
	start    time.Time
	dir      string
	log      *slog.Logger
	spans    []*span
	stalls   []stall
	breaches []string
	seen     map[string]bool
	spared   map[Check]int // how often a check would have failed without its excuses
}

// stall is how long processes had to wait for a processor until a time.
type stall struct {
	at  time.Time
	sum time.Duration
}

// begin notes that a fault begins. The result notes its end.
func (k *checks) begin(f Fault) *span {
	s := &span{fault: f, begin: time.Now()}
	k.spans = append(k.spans, s)
	return s
}

// active lists the faults that last, or have ended within the aftermath.
func (k *checks) active(at time.Time) string {
	var out []string
	for _, s := range k.spans {
		if s.end.IsZero() || at.Sub(s.end) < aftermath {
			out = append(out, strings.TrimSpace(s.fault.String()))
		}
	}
	return strings.Join(out, "; ")
}

// breach records a failed check. Only the first of each kind and subject is recorded.
func (k *checks) breach(c Check, subject, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if key := string(c) + subject; !k.seen[key] {
		k.seen[key] = true
		now := time.Now()
		k.breaches = append(k.breaches, fmt.Sprintf("seed %d, %.2fs, %s: flow %s: %s [faults: %s] logs: %s",
			k.seed, now.Sub(k.start).Seconds(), c, subject, text, k.active(now), k.dir))
		k.log.Error("check failed", "check", c, "subject", subject, "text", text)
	}
}

// stalled returns how long between the times processes waited for a processor.
func (k *checks) stalled(from, to time.Time) time.Duration {
	sum := func(t time.Time, after int) time.Duration {
		i, _ := slices.BinarySearchFunc(k.stalls, t, func(s stall, t time.Time) int { return s.at.Compare(t) })
		if i = min(i+after, len(k.stalls)) - 1; i < 0 {
			return 0
		}
		return k.stalls[i].sum
	}
	return sum(to, 1) - sum(from, 0)
}

// excused returns the times that the excuse takes. Faults that overlap count as one.
func (k *checks) excused(e *excuse, parties []*process) []span {
	var out []span
	for _, s := range k.spans { // in the order in which they began
		if !e.covers(s.fault, parties) {
			continue
		}
		end := s.end
		if end.IsZero() {
			end = time.Now().Add(time.Hour)
		}
		if n := len(out); n > 0 && !s.begin.After(out[n-1].end) {
			if end.After(out[n-1].end) {
				out[n-1].end = end
			}
			continue
		}
		out = append(out, span{begin: s.begin, end: end})
	}
	for i := range out {
		x := &out[i]
		if x.begin = x.begin.Add(e.after); x.begin.After(x.end) {
			x.end = x.begin // too short to excuse anything
			continue
		}
		x.end = x.end.Add(e.until)
	}
	return out
}

// able returns how much of the time the parties could have kept the promise: without the
// faults that excuse them and the time in which processes waited for a processor.
func (k *checks) able(c Check, from, to time.Time, parties ...*process) time.Duration {
	var covered []span
	for i := range excuses {
		if e := &excuses[i]; e.check == c {
			covered = append(covered, k.excused(e, parties)...)
		}
	}
	slices.SortFunc(covered, func(a, b span) int { return a.begin.Compare(b.begin) })
	free, at := time.Duration(0), from
	for _, x := range covered {
		if x.begin.After(to) {
			break
		}
		if x.begin.After(at) {
			free += x.begin.Sub(at)
		}
		if x.end.After(at) {
			at = x.end
		}
	}
	if to.After(at) {
		free += to.Sub(at)
	}
	if c == checkReset {
		return free // no wait for a processor excuses a reset
	}
	return max(0, free-k.stalled(from, to))
}

// late reports whether the parties were able to keep the promise for longer than the bound. It
// counts the times that only excuses make the difference.
func (k *checks) late(c Check, from, to time.Time, bound time.Duration, parties ...*process) bool {
	if to.Sub(from) <= bound {
		return false
	}
	if k.able(c, from, to, parties...) > bound {
		return true
	}
	k.spared[c]++
	return false
}

// parties returns the processes through which the flow's opening went.
func (f *flow) parties(u *upstream) []*process {
	out := []*process{u.vm}
	for _, r := range f.via {
		out = append(out, r.p)
	}
	return out
}

// checkArrival checks a packet that has reached an upstream.
func (s *site) checkArrival(u *upstream, p datagram.Packet, at time.Time, known bool) {
	f := s.flows[p.Flow]
	if f == nil {
		s.checks.breach(checkService, p.Flow.Caller.String(), "%s got a packet of a flow that no caller has", u.vm.name)
		return
	}
	if p.Flow.Address != switchAddress && serviceIn(versionOf(p.Flow.Address, s.operator.version), p.Flow.Address) != u.vm.service {
		s.checks.breach(checkService, p.Flow.Caller.String(), "a packet to %v reached %s of service %s", p.Flow.Address, u.vm.name, u.vm.service)
	}
	if !p.Open || known {
		return
	}
	s.checkVersion(f, u, at)
	name := f.key.Caller.String()
	if !u.drainAckedAt.IsZero() && at.Sub(u.drainAckedAt) > drainBound {
		s.checks.breach(checkDrained, name, "an opening reached %s %.2fs after it was acknowledged that it drains", u.vm.name, at.Sub(u.drainAckedAt).Seconds())
	}
	if out, ok := s.zonesOut[u.vm.zone]; ok && s.checks.late(checkEvacuated, out, at, evacuationBound, f.parties(u)...) {
		s.checks.breach(checkEvacuated, name, "an opening through %s reached %s %.2fs after the evacuation of its zone", f.via[0].p.name, u.vm.name, at.Sub(out).Seconds())
	}
	s.checkCold(u, at, name)
}

// checkCold checks an opening at an upstream that may be cold. A cold start counts from the
// first acknowledged heartbeat on, as before it the agent can't know of the start.
func (s *site) checkCold(u *upstream, at time.Time, name string) {
	if u.readyAckedAt.IsZero() || at.Before(u.readyAckedAt) || at.After(u.coldUntil) {
		return
	}
	u.coldTaken = append(u.coldTaken, at)
	n := 0
	for _, t := range u.coldTaken {
		if at.Sub(t) < time.Second {
			n++
		}
	}
	if float64(n) > coldRate*coldShare+coldExtra {
		s.checks.breach(checkCold, name, "%s got %d openings in a second of its cold start", u.vm.name, n)
	}
}

// versionOf returns the latest version that has a route of the address; the given one if the
// address is in every version.
func versionOf(a datagram.Endpoint, latest int) int {
	for v := latest; v > 0; v-- {
		if serviceIn(v, a) != "" {
			return v
		}
	}
	return latest
}

// checkVersion checks which versions of the configuration an opening at an upstream shows.
func (s *site) checkVersion(f *flow, u *upstream, at time.Time) {
	a := f.key.Address
	v := s.operator.version
	for ; v > 0 && serviceIn(v, a) != u.vm.service; v-- {
	}
	name := f.key.Caller.String()
	if v == 0 {
		s.checks.breach(checkService, name, "no version routes %v to service %s of %s", a, u.vm.service, u.vm.name)
		return
	}
	if next := s.acceptedAt[v+1]; !next.IsZero() && s.checks.late(checkConfiguration, next, f.openedAt, configurationBound, f.parties(u)...) {
		s.checks.breach(checkConfiguration, name, "%s routed %v by version %d, %.2fs after version %d was acknowledged", f.via[0].p.name, a, v, f.openedAt.Sub(next).Seconds(), v+1)
	}
	if a != versionAddress(v) || slices.ContainsFunc(f.via, func(r processRun) bool { return r != f.via[0] }) || f.via[0].p.lifeNow() != f.via[0].life {
		return // it does not show which run of which balancer had the version
	}
	r := f.via[0]
	if l, ok := s.latest[r]; !ok || v > l.version {
		s.latest[r] = evidence{v, at}
	} else if v < l.version && f.openedAt.After(l.at) {
		s.checks.breach(checkOrder, name, "%s routed by version %d, %.2fs after it had used version %d", r.p.name, v, f.openedAt.Sub(l.at).Seconds(), l.version)
	}
}

// evidence is the latest version that a run of a balancer has shown, and when.
type evidence struct {
	version int
	at      time.Time
}

// checkReset checks a reset that a caller got.
func (s *site) checkReset(f *flow, from *process) {
	now := time.Now()
	if f.open && f.ownerLives() && s.checks.late(checkReset, now.Add(-time.Millisecond), now, 0, f.owner.vm) {
		s.checks.breach(checkReset, f.key.Caller.String(), "reset by %s although %s holds it", from.name, f.owner.vm.name)
	}
}

// checkRefused checks a refusal of an opening at the address of the latest version, unless
// something excuses it now.
func (s *site) checkRefused(f *flow) {
	v, now := s.operator.version, time.Now()
	if f.key.Address == versionAddress(v) && s.checks.able(checkInForce, f.openedAt.Add(-time.Millisecond), now) > 0 && s.checks.late(checkInForce, s.acceptedAt[v], f.openedAt, configurationBound) {
		s.checks.breach(checkInForce, f.key.Caller.String(), "%s refused %v, %.2fs after version %d was acknowledged", f.via[0].p.name, f.key.Address, f.openedAt.Sub(s.acceptedAt[v]).Seconds(), v)
	}
}

// arrived notes that a packet of a flow reached the upstream that holds it.
func (s *site) arrived(k datagram.Flow, u *upstream) {
	if f := s.flows[k]; f != nil {
		f.owner, f.ownerLife, f.astray = u, u.life, 0
	}
}

// misrouted checks a packet that reached an upstream that does not hold its flow.
func (s *site) misrouted(k datagram.Flow, u *upstream, at time.Time) {
	f := s.flows[k]
	if f == nil || f.closed || f.owner == u || !f.ownerLives() {
		return
	}
	if f.astray++; f.astray == 1 {
		f.astrayAt = at
	}
	if f.astray >= astrayPackets && s.checks.late(checkAstray, f.astrayAt, at, astrayTime, f.parties(f.owner)...) {
		s.checks.breach(checkAstray, k.Caller.String(), "%d packets reached %s and others, but not %s, which holds it", f.astray, u.vm.name, f.owner.vm.name)
	}
}

// checkLost checks a feed that got no answer on its open flow for long.
func (s *site) checkLost(r *request) {
	f := r.flow
	if f.open && f.ownerLives() && s.checks.late(checkSilent, r.started, time.Now(), silentBound) {
		s.checks.breach(checkSilent, f.key.Caller.String(), "request %s on an open flow at %s got no answer for %v", r.id, f.owner.vm.name, time.Since(r.started))
	}
}

// ran notes that a request runs.
func (s *site) ran(id string, k datagram.Flow, u *upstream) {
	if s.runs[id]++; s.runs[id] > 1 && strings.HasPrefix(id, string(classUrgent)) {
		s.checks.breach(checkOnce, k.Caller.String(), "request %s ran %d times, now at %s", id, s.runs[id], u.vm.name)
	}
}
