package datagram

import (
	"math"
	"time"
)

// An upstream that crashes says nothing, and its agent lives on. So an agent with a
// suspicion tries the upstream's address: a refused connection is a proof, as a process
// that stands still or is overloaded refuses none. Then every caller is told at once that
// its flow is gone. Cost: a connection at each suspicion. The upstream's health endpoint
// is not used, as it takes a slot and misleads.

const (
	// overdueAfter is two of the upstream's heartbeats.
	overdueAfter = 1540 * time.Millisecond
	// muteAfter is how long an upstream sends nothing before a caller's repeated packet
	// is a suspicion; it is less than the time after which callers repeat themselves.
	muteAfter = 100 * time.Millisecond
	// probeEvery spaces the probes while the suspicion lasts.
	probeEvery = 250 * time.Millisecond
)

// suspicious reports whether the upstream may have ended without a word.
func (a *Agent) suspicious(now time.Duration) bool {
	u := &a.upstream
	switch u.state {
	case UpstreamUnknown:
		return !u.answers && !u.listens
	case UpstreamGone:
		return true
	case UpstreamAbsent:
		return false
	}
	return u.mute || u.silent(now) || now-u.announced > overdueAfter
}

// probe has the upstream's address tried if there is a suspicion.
func (a *Agent) probe(now time.Duration) {
	if a.Probe == nil || a.probing || a.probed != 0 && now-a.probed < probeEvery || !a.suspicious(now) {
		return
	}
	a.probing, a.probed = true, now
	a.Probe()
}

// probeDue returns when what the upstream leaves unanswered is a suspicion.
func (a *Agent) probeDue() time.Duration {
	u := &a.upstream
	switch {
	case a.Probe == nil || a.probing || u.state == UpstreamAbsent:
		return math.MaxInt64
	case u.mute:
		return a.probed + probeEvery
	case u.gave != 0:
		return max(u.gave+silentUpstreamAfter+time.Millisecond, a.probed+probeEvery)
	}
	return math.MaxInt64
}

// Probe is what came of trying the upstream's address.
type Probe uint8

// Outcomes of a probe.
const (
	// ProbeUnanswered proves nothing.
	ProbeUnanswered Probe = iota
	// ProbeRefused: nothing listens there.
	ProbeRefused
	// ProbeAccepted: an upstream is there, as far as its VM's kernel can tell.
	ProbeAccepted
)

// Probed takes in what came of a probe.
func (a *Agent) Probed(p Probe, now time.Duration) {
	a.probing = false
	u := &a.upstream
	u.listens = p == ProbeAccepted
	if p != ProbeRefused || u.state == UpstreamAbsent || u.state != UpstreamUnknown && u.announced >= a.probed {
		// What an upstream says after the probe began goes before it: it was refused
		// just before the upstream listened.
		return
	}
	a.endFlows(now, now)
	// What starts there later has no flow that this agent does not know.
	u.state, u.complete, u.gave = UpstreamAbsent, true, 0
	a.Log.upstreamChanged(u, false)
	a.tell(now)
}

// endFlows tells the callers of flows that were opened before then that they are gone:
// their upstream has ended, or started anew.
func (a *Agent) endFlows(before, now time.Duration) {
	for k, f := range a.flows.all() {
		if f.since > before {
			f.born = a.upstream.born // the upstream will say if it does not hold it
			continue
		}
		if f.phase == flowOpen && !f.finished && f.number != 0 {
			a.cut(k, f, f.number, now)
		}
		a.flows.remove(k)
	}
	a.recount(now)
}

// bornUnheard is how long an upstream may take flows before its announcement is
// taken in: its tries are a second apart at the most.
const bornUnheard = time.Second
