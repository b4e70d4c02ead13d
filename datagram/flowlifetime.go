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
