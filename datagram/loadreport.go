package datagram

import (
	"math"
	"time"
)

// DurationCode is a duration on the wire on a logarithmic scale, in steps of 4.4% from 250 µs to
// about 15 s. 0 means that the duration is not known.
type DurationCode uint8

const (
	shortestDuration = 250 * time.Microsecond
	codesPerDoubling = 16
)

// DurationCodeOf returns the code nearest to d, which is limited to the range of the scale. It
// returns 0 if d is not positive.
func DurationCodeOf(d time.Duration) DurationCode {
	if d <= 0 {
		return 0
	}
	n := math.Round(codesPerDoubling * math.Log2(float64(d)/float64(shortestDuration)))
	return DurationCode(max(1, min(n+1, math.MaxUint8)))
}

// Duration returns the duration, or 0 if it is not known.
func (c DurationCode) Duration() time.Duration { return codeDurations[c] }

// codeDurations avoids an exponentiation for each agent that is considered for an opening.
var codeDurations = func() (out [math.MaxUint8 + 1]time.Duration) {
	for c := 1; c < len(out); c++ {
		out[c] = time.Duration(float64(shortestDuration) * math.Exp2(float64(c-1)/codesPerDoubling))
	}
	return out
}()

// Utilization is the share of slot time in use, in units of 1/fullUtilization. Above
// fullUtilization there is more work than slots.
type Utilization uint8

const (
	fullUtilization = 200
	// UtilizationUnknown means that the utilization is not known.
	UtilizationUnknown Utilization = math.MaxUint8
)

// UtilizationOf converts a share of slot time.
func UtilizationOf(share float64) Utilization {
	return Utilization(max(0, min(math.Round(share*fullUtilization), float64(UtilizationUnknown-1))))
}

// Share returns the utilization as a share of slot time, and false if it is not known.
func (u Utilization) Share() (float64, bool) {
	return float64(u) / fullUtilization, u != UtilizationUnknown
}

// Level is the admission level of a service: the share of its openings that is admitted, with the
// least urgent refused first.
type Level uint8

// LevelAll admits every opening.
const LevelAll Level = math.MaxUint8

// LoadReport is an agent's report on the load and speed of its upstream. It travels with the
// agent's statuses and with its answers to openings. The zero value says nothing: messages of
// earlier builds carry no report.
type LoadReport struct {
	Present bool
	// ServiceTime is the mean time that a request takes in a slot, TailTime the time that nine in
	// ten requests do not exceed.
	ServiceTime, TailTime DurationCode
	Utilization           Utilization
	// Requests is the number of requests in progress or expected shortly.
	Requests uint8
	Level    Level
}

// loadReportLen is the length of an encoded report.
const loadReportLen = 6

// encode returns the report in the order of its bytes on the wire.
func (r LoadReport) encode() (b [loadReportLen]byte) {
	if !r.Present {
		return b
	}
	return [loadReportLen]byte{byte(r.ServiceTime), byte(r.TailTime), byte(r.Utilization), r.Requests, byte(r.Level), 1}
}

// decodeLoadReport decodes a report. It is the zero value if b is too short or carries none.
func decodeLoadReport(b []byte) LoadReport {
	if len(b) < loadReportLen || b[5] != 1 {
		return LoadReport{}
	}
	return LoadReport{
		Present: true, ServiceTime: DurationCode(b[0]), TailTime: DurationCode(b[1]), Utilization: Utilization(b[2]),
		Requests: b[3], Level: Level(b[4]),
	}
}

// putHeader writes the report into the bytes of a status's header that have no other use. Earlier
// builds ignore them.
func (r LoadReport) putHeader(h []byte) {
	b := r.encode()
	h[3], h[4] = b[0], b[1]
	copy(h[6:10], b[2:])
}

// loadReportInHeader returns the report in a status's header.
func loadReportInHeader(h []byte) LoadReport {
	return decodeLoadReport([]byte{h[3], h[4], h[6], h[7], h[8], h[9]})
}

// loadReport returns the report on the agent's upstream.
func (a *Agent) loadReport(now time.Duration) LoadReport {
	e, u := a.requests.times.Overall(now), UtilizationUnknown
	if share, known := a.requests.times.Utilization(now); known {
		u = UtilizationOf(share)
	}
	return LoadReport{
		Present: true, ServiceTime: DurationCodeOf(e.Mean), TailTime: DurationCodeOf(e.Tail), Utilization: u,
		Requests: uint8(min(a.requestCount(now), math.MaxUint8)), Level: Level(a.level(now)),
	}
}

// speedLogInterval bounds the lines on changes of an upstream's speed.
const speedLogInterval = 5 * time.Second

// noteServiceTime adds a request's service time to the estimate of its route, and logs a change of
// the upstream's speed.
func (a *Agent) noteServiceTime(route Endpoint, took, now time.Duration) {
	if took == 0 {
		return
	}
	a.requests.times.AddTo(route, took, now)
	if a.speedLogged.Known() && now-a.speedLoggedAt < speedLogInterval {
		return
	}
	e := a.requests.times.Overall(now)
	switch {
	case !e.Known():
	case !a.speedLogged.Known():
		a.speedLogged, a.speedLoggedAt = e, now
	case e.DiffersFrom(a.speedLogged):
		a.Count.SpeedChanges++
		a.Log.speedChanged(0, a.speedLogged.Mean, e.Mean, e.Samples, 0)
		a.speedLogged, a.speedLoggedAt = e, now
	}
}

// updateReport stores a report unless the message has none.
func (a *agentView) updateReport(r LoadReport, now time.Duration) {
	if r.Present {
		a.report, a.reportedAt = r, now
	}
}
