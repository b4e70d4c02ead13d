package datagram

import "time"

// FlowLifetime is the longest lifetime of a flow, which is a setting of the deployment: an older
// flow may be discarded. 0 means defaultFlowLifetime.
type FlowLifetime time.Duration

const (
	// defaultFlowLifetime applies where the settings have no lifetime.
	defaultFlowLifetime = FlowLifetime(time.Minute)
	// flowLifetimeMargin allows for the time that the end of a flow takes.
	flowLifetimeMargin = 5 * time.Second
)

// limit returns the age from which no flow exists any more.
func (l FlowLifetime) limit() time.Duration {
	if l <= 0 {
		l = defaultFlowLifetime
	}
	return time.Duration(l) + flowLifetimeMargin
}

// expireFlows drops the flows that were not used for the lifetime of a flow, or fewer if there are
// too many.
//
// Flows are kept for their lifetime however short the idle timeout is: it may be raised while they
// are idle.
func (a *Agent) expireFlows(now time.Duration) {
	dropped, lastUse := a.flows.rotate(a.FlowLifetime.limit(), now)
	if len(dropped) == 0 {
		return
	}
	known := a.knowsAllFlows(now)
	for _, f := range dropped {
		if !f.closing.ended() && a.isCurrentRun(f.born) {
			a.Count.Forgotten++
			a.droppedUse = lastUse
		}
	}
	if known && !a.knowsAllFlows(now) {
		a.broadcastStatus(now) // homes must not take their directories for complete
	}
}

// knowsAllFlows reports whether the agent knows every flow of its upstream, so that it can
// deny an unknown flow without forwarding a packet of it. Flows that were last in use before a
// lifetime of flows ago don't exist any more.
func (a *Agent) knowsAllFlows(now time.Duration) bool {
	limit := a.FlowLifetime.limit()
	if a.runRecordPending(now) || a.droppedUse != 0 && now-a.droppedUse < limit {
		return false
	}
	return a.upstream.evidence != evidenceNone || now > limit
}
