package datagram

import "time"

const (
	// defaultEvacuation applies where the settings have no evacuation time.
	defaultEvacuation = 5 * time.Second
	// cutStart and cutEnd delimit, as shares of the evacuation time, the period in which
	// the flows of an evacuated availability zone are cut, each at its own time. Openings
	// are refused at once. Until its flow is cut, a caller can finish what it has begun.
	// The remaining flows lose one request each, and spreading the cuts avoids losing all
	// of these at the same moment. The rest of the evacuation time covers the delay until
	// the agent learns of the evacuation.
	cutStart = 0.6
	cutEnd   = 0.96
)

// setZonesOut applies the evacuated availability zones unless a later revision is known. A
// balancer that is cut off from the store can therefore not restore the older state that it
// last read.
func (a *Agent) setZonesOut(zs []ZoneKey, revision uint64, now time.Duration) {
	if revision <= a.revision {
		return
	}
	a.revision = revision
	out := false
	for _, z := range zs {
		out = out || z == a.Zone
	}
	if out == a.zoneOut {
		return
	}
	if a.zoneOut = out; out {
		a.zoneOutSince = now
	} else {
		a.zoneReturnedAt = now
	}
	a.Log.zoneChanged(out, revision)
}

// isEvacuated reports whether no more packets of the flow may be forwarded to the upstream
// because its availability zone was evacuated some time ago.
func (a *Agent) isEvacuated(f Flow, now time.Duration) bool {
	return a.zoneOut && now-a.zoneOutSince > a.evacuationDelay(f)
}

// evacuationDelay returns how long the flow may continue after its availability zone was
// evacuated.
func (a *Agent) evacuationDelay(f Flow) time.Duration {
	bound := a.Evacuation
	if bound == 0 {
		bound = defaultEvacuation
	}
	part := float64(f.hash()>>32) / (1 << 32)
	return time.Duration((cutStart + (cutEnd-cutStart)*part) * float64(bound))
}
