// This file decides whether the client of an upstream could know that the upstream had
// turned cold unannounced. It could if it received a shed response, or several responses
// in a row that were much slower than those of the warm upstream. Response times are
// measured at the client because on a busy machine much of the delay is not the
// upstream's. If the upstream turned cold while it was already cold, its responses had
// been slow before, so only a shed response counts.

package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// minSlowAnswers is how many slow responses in a row warn the client.
	minSlowAnswers = 3
	// slowFactor is the multiple of the warm upstream's mean response time from which
	// a response is slow.
	slowFactor = 4
	// warmSamples is how many responses of the warm upstream the mean needs.
	warmSamples = 16
	// reactionTime is the time that a client may take to act on a response.
	reactionTime = 100 * time.Millisecond
)

// HeaderSent is the header with the time at which a client sent a request, in Unix
// nanoseconds.
const HeaderSent = "Standin-Sent"

// sentAt returns when the client sent the request, or the current time if the request
// has no valid HeaderSent.
func sentAt(r *http.Request) time.Time {
	n, err := strconv.ParseInt(r.Header.Get(HeaderSent), 10, 64)
	if err != nil {
		return time.Now()
	}
	return time.Unix(0, n)
}

// Response describes a response that the client of an upstream has received.
type Response struct {
	// Sent is when the request was sent, Took the time to the first byte of the
	// response.
	Sent time.Time
	Took time.Duration
	// Short reports whether the request was short. Only then does Took show whether
	// the upstream is slow.
	Short bool
	// Shed reports whether the upstream shed the request instead of running it.
	Shed bool
}

// warningTracker tracks whether the responses of an upstream have warned its client
// that the upstream turned cold.
type warningTracker struct {
	// since is when the upstream turned cold or became warm.
	since time.Time
	// ignoreSlow reports whether slow responses are ignored because the upstream was
	// already cold when it turned cold.
	ignoreSlow bool
	// warnedAt is when the client was warned, or zero.
	warnedAt time.Time
	// slowInRow counts consecutive slow responses.
	slowInRow int
	// warmTimes is a ring buffer of the latest response times of the warm upstream.
	warmTimes [warmSamples]time.Duration
	// warmCount counts all responses of the warm upstream.
	warmCount int
}

// warnNow records that the client knows from the start that the upstream is cold.
func (w *warningTracker) warnNow() { w.warnedAt = time.Now() }

// turnCold records that the upstream has turned cold, unannounced.
func (w *warningTracker) turnCold(wasCold bool) {
	w.since, w.ignoreSlow, w.warnedAt, w.slowInRow = time.Now(), wasCold, time.Time{}, 0
}

// turnWarm records that the upstream has become warm.
func (w *warningTracker) turnWarm() { w.since = time.Now() }

// record processes a response that the client received while the upstream was cold or
// warm. It ignores requests sent before the upstream last turned cold or warm, and long
// requests that were not shed.
func (w *warningTracker) record(h Response, cold bool) {
	switch {
	case h.Sent.Before(w.since), !h.Short && !h.Shed:
		return
	case !cold:
		w.warmTimes[w.warmCount%warmSamples] = h.Took
		w.warmCount++
		return
	case h.Shed:
		w.slowInRow = minSlowAnswers
	case !w.ignoreSlow && w.isSlow(h.Took):
		w.slowInRow++
	default:
		w.slowInRow = 0
	}
	if w.slowInRow >= minSlowAnswers && w.warnedAt.IsZero() {
		w.warnedAt = time.Now()
	}
}

// isSlow reports whether a response time is slow compared with the warm upstream.
func (w *warningTracker) isSlow(d time.Duration) bool {
	var sum time.Duration
	for _, u := range w.warmTimes {
		sum += u
	}
	return w.warmCount >= warmSamples && d >= slowFactor*sum/warmSamples
}

// describe says whether and how long ago the client was warned, for messages.
func (w *warningTracker) describe() string {
	if w.warnedAt.IsZero() {
		return "not warned"
	}
	return fmt.Sprintf("warned %v ago", time.Since(w.warnedAt).Round(time.Millisecond))
}

// warnedBefore reports whether the client had been warned, and had had time to react,
// when it sent a request at the given time.
func (w *warningTracker) warnedBefore(sent time.Time) bool {
	return !w.warnedAt.IsZero() && sent.Sub(w.warnedAt) > reactionTime
}
