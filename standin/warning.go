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
	// enoughSlow is how many slow responses in a row warn the client.
	enoughSlow = 3
	// slowFactor times the mean response time of the warm upstream is slow.
	slowFactor = 4
	// enoughUsual is how many responses of the warm upstream the mean needs.
	enoughUsual = 16
	// reaction is the time that a client may take to act on a response.
	reaction = 100 * time.Millisecond
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

// Heard describes a response that the client of an upstream has received.
type Heard struct {
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

// warning tracks whether the responses of an upstream have warned its client that the
// upstream turned cold.
type warning struct {
	// since is when the upstream turned cold or became warm.
	since time.Time
	// deaf reports whether slow responses are ignored because the upstream was
	// already cold when it turned cold.
	deaf bool
	// given is when the client was warned, or zero.
	given time.Time
	// slow counts slow responses in a row.
	slow int
	// usual is a ring buffer of the latest response times of the warm upstream.
	usual [enoughUsual]time.Duration
	// count counts all responses of the warm upstream.
	count int
}

// announce records that the client knows from the start that the upstream is cold.
func (w *warning) announce() { w.given = time.Now() }

// turnCold records that the upstream has turned cold, unannounced.
func (w *warning) turnCold(wasCold bool) {
	w.since, w.deaf, w.given, w.slow = time.Now(), wasCold, time.Time{}, 0
}

// warm records that the upstream has become warm.
func (w *warning) warm() { w.since = time.Now() }

// heard records a response that the client received while the upstream was cold or
// warm. It ignores requests sent before the upstream last turned cold or warm, and long
// requests that were not shed.
func (w *warning) heard(h Heard, cold bool) {
	switch {
	case h.Sent.Before(w.since), !h.Short && !h.Shed:
		return
	case !cold:
		w.usual[w.count%enoughUsual] = h.Took
		w.count++
		return
	case h.Shed:
		w.slow = enoughSlow
	case !w.deaf && w.isSlow(h.Took):
		w.slow++
	default:
		w.slow = 0
	}
	if w.slow >= enoughSlow && w.given.IsZero() {
		w.given = time.Now()
	}
}

// isSlow reports whether a response time is slow compared with the warm upstream.
func (w *warning) isSlow(d time.Duration) bool {
	var sum time.Duration
	for _, u := range w.usual {
		sum += u
	}
	return w.count >= enoughUsual && d >= slowFactor*sum/enoughUsual
}

// ago describes how long ago the client was warned, for messages.
func (w *warning) ago() string {
	if w.given.IsZero() {
		return "not warned"
	}
	return fmt.Sprintf("warned %v ago", time.Since(w.given).Round(time.Millisecond))
}

// warned reports whether the client had been warned, and had had time to react, when
// it sent a request at the given time.
func (w *warning) warned(sent time.Time) bool {
	return !w.given.IsZero() && sent.Sub(w.given) > reaction
}
