package datagram

import "time"

// HeartbeatInterval is the time between two announcements of a running upstream, which is a
// setting of the deployment. The time after which an agent draws conclusions from missing
// announcements follows from it. 0 means defaultHeartbeatInterval.
type HeartbeatInterval time.Duration

const (
	// defaultHeartbeatInterval applies where the settings have no interval.
	defaultHeartbeatInterval = HeartbeatInterval(770 * time.Millisecond)
	// maxMissedHeartbeats is the number of intervals without an announcement after which the
	// upstream is suspected. One announcement may be lost.
	maxMissedHeartbeats = 2
	// probesPerHeartbeat is the number of probes in an interval while announcements are
	// missing and nothing else suggests a crash.
	probesPerHeartbeat = 3
	// announcementAttempt is how long an upstream waits for the acknowledgement of an
	// announcement before it repeats it.
	announcementAttempt = time.Second
	// announcementMargin exceeds the time that an announcement takes to arrive.
	announcementMargin = 200 * time.Millisecond
)

// duration returns the interval.
func (h HeartbeatInterval) duration() time.Duration {
	if h <= 0 {
		h = defaultHeartbeatInterval
	}
	return time.Duration(h)
}

// timeout returns the time since the last announcement after which the upstream may have
// crashed.
func (h HeartbeatInterval) timeout() time.Duration { return maxMissedHeartbeats * h.duration() }

// probeInterval returns the time between two probes for which missing announcements are the
// only reason.
func (h HeartbeatInterval) probeInterval() time.Duration {
	return max(probeInterval, h.duration()/probesPerHeartbeat)
}

// longestStart returns the longest time between the start of an upstream and its first announcement.
func (h HeartbeatInterval) longestStart() time.Duration {
	return max(h.duration(), announcementAttempt)
}

// startDelay returns how long an upstream of the given age may have taken flows before its
// first announcement arrives. It announces itself at once when it starts, but the attempt may
// fail and the next one may be an interval later. The bounds hold if the VM's clock has jumped,
// so that the age is wrong.
func (h HeartbeatInterval) startDelay(age time.Duration) time.Duration {
	return min(max(age+announcementMargin, announcementAttempt), h.longestStart())
}
