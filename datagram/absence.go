package datagram

import (
	"math"
	"time"
)

// Detection of crashed upstreams. A crashing upstream sends nothing, and its agent keeps
// running. An agent that suspects a crash therefore tries to connect to the upstream's
// address. A refused connection proves the crash, because a paused or overloaded process
// does not refuse connections. The agent then resets every flow at once, so that no caller
// waits for an answer. This costs one connection per suspicion. The upstream's health
// endpoint is not used, because a call to it takes a slot and its answer is misleading.

const (
	// muteTimeout is how long an upstream must have sent nothing for a caller's
	// retransmission to raise a suspicion. It is shorter than the time after which callers
	// retransmit.
	muteTimeout = 100 * time.Millisecond
	// probeInterval is the time between probes while the upstream does not answer packets.
	probeInterval = 250 * time.Millisecond
)

// mayHaveCrashed reports whether the upstream may have ended without deregistering.
func (a *Agent) mayHaveCrashed(now time.Duration) bool {
	u := &a.upstream
	switch u.state {
	case UpstreamUnknown:
		return !u.hasSent && !u.listens
	case UpstreamAbsent:
		return false
	}
	return u.deregistered || u.callerRetransmitted || u.isSilent(now) || a.announcementsMissing(now)
}

// announcementsMissing reports whether the upstream has announced itself before, but not
// recently.
func (a *Agent) announcementsMissing(now time.Duration) bool {
	u := &a.upstream
	return u.state != UpstreamUnknown && now-u.announcedAt > a.Heartbeat.timeout()
}

// currentProbeInterval returns the time between two probes.
func (a *Agent) currentProbeInterval(now time.Duration) time.Duration {
	u := &a.upstream
	if !u.callerRetransmitted && !u.isSilent(now) && a.announcementsMissing(now) {
		return a.Heartbeat.probeInterval()
	}
	return probeInterval
}

// probe starts a connection attempt to the upstream's address if a crash is suspected.
func (a *Agent) probe(now time.Duration) {
	if a.Probe == nil || a.probing || a.lastProbe != 0 && now-a.lastProbe < a.currentProbeInterval(now) || !a.mayHaveCrashed(now) {
		return
	}
	a.probing, a.lastProbe = true, now
	a.Probe()
}

// nextProbe returns when the upstream's silence becomes a reason to probe.
func (a *Agent) nextProbe() time.Duration {
	u := &a.upstream
	switch {
	case a.Probe == nil || a.probing || u.state == UpstreamAbsent:
		return math.MaxInt64
	case u.callerRetransmitted:
		return a.lastProbe + probeInterval
	case u.unansweredSince != 0:
		return max(u.unansweredSince+upstreamSilenceTimeout+time.Millisecond, a.lastProbe+probeInterval)
	}
	return math.MaxInt64
}

// ProbeResult is the result of a connection attempt to the upstream's address.
type ProbeResult uint8

// Results of a probe.
const (
	// ProbeUnanswered: no answer, which proves nothing.
	ProbeUnanswered ProbeResult = iota
	// ProbeRefused: nothing listens at the address.
	ProbeRefused
	// ProbeAccepted: something listens at the address, as far as its VM's kernel can tell.
	ProbeAccepted
)

// HandleProbeResult processes the result of a probe.
func (a *Agent) HandleProbeResult(p ProbeResult, now time.Duration) {
	a.probing = false
	u := &a.upstream
	u.listens = p == ProbeAccepted
	if p != ProbeRefused || u.state == UpstreamAbsent || u.hasSent && u.lastPacket >= a.lastProbe ||
		u.state != UpstreamUnknown && u.announcedAt >= a.lastProbe {
		// A packet or an announcement that arrived after the probe began takes precedence:
		// the connection was refused just before the upstream started to listen.
		return
	}
	a.endFlows(now, now)
	// The agent knows every flow of an upstream that starts at this address later.
	u.state, u.evidence, u.unansweredSince = UpstreamAbsent, evidenceRefused, 0
	a.Log.upstreamChanged(u, false)
	a.broadcastStatus(now)
}

// endFlows resets the flows that were opened up to the given time, because their upstream
// has ended or restarted.
func (a *Agent) endFlows(before, now time.Duration) {
	if a.droppedUse <= before {
		a.droppedUse = 0 // the dropped flows have ended too
	}
	for k, f := range a.flows.all() {
		if f.since > before {
			f.born = a.upstream.born // if the upstream does not hold it, it bounces its packets
			continue
		}
		if f.phase == flowOpen && !f.closing.ended() && f.ackNumber != 0 {
			a.resetFlow(k, f, f.ackNumber, now)
		}
		a.flows.remove(k)
	}
	a.recount(now)
}
