// This file judges whether an upstream's client could know that the upstream had turned
// cold without warning: it must have got a shed answer, or several in a row that were
// much slower than those before. Slowness is taken as the client sees it, since on a
// busy machine much of it isn't the upstream's. Of turns of an upstream that was cold
// already only a shed answer tells.

package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// enoughSlow is how many slow answers in a row tell.
	enoughSlow = 3
	// slowFactor over the mean of the answers before makes an answer slow.
	slowFactor = 4
	// enoughUsual is how many answers make a mean to compare with.
	enoughUsual = 16
	// reaction is the client's time to act on an answer that it has got.
	reaction = 100 * time.Millisecond
)

// HeaderSent carries the moment at which a client sent a request, in Unix nanoseconds.
const HeaderSent = "Standin-Sent"

// sentAt returns when the client sent the request, or now if it doesn't say.
func sentAt(r *http.Request) time.Time {
	n, err := strconv.ParseInt(r.Header.Get(HeaderSent), 10, 64)
	if err != nil {
		return time.Now()
	}
	return time.Unix(0, n)
}

// Heard is an answer that an upstream's client has got.
type Heard struct {
	// Sent is when the request left, Took the time to the answer's first byte.
	Sent time.Time
	Took time.Duration
	// Short says that the request was short, so that the time says something.
	Short bool
	// Shed says that the upstream did not run the request.
	Shed bool
}

// warning is what a client has heard of an upstream's turn to the cold.
type warning struct {
	// since is when the upstream turned cold or became warm.
	since time.Time
	// deaf says that slow answers tell nothing: those before were slow already.
	deaf  bool
	given time.Time
	slow  int
	// usual is the ring of the last answers of the warm upstream.
	usual [enoughUsual]time.Duration
	count int
}

// announce notes that the client knows from the start.
func (w *warning) announce() { w.given = time.Now() }

func (w *warning) turnCold(wasCold bool) {
	w.since, w.deaf, w.given, w.slow = time.Now(), wasCold, time.Time{}, 0
}

func (w *warning) warm() { w.since = time.Now() }

// heard learns from an answer of the upstream, which is cold or warm.
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

func (w *warning) isSlow(d time.Duration) bool {
	var sum time.Duration
	for _, u := range w.usual {
		sum += u
	}
	return w.count >= enoughUsual && d >= slowFactor*sum/enoughUsual
}

// ago returns how long ago the warning was given, for notes.
func (w *warning) ago() string {
	if w.given.IsZero() {
		return "not warned"
	}
	return fmt.Sprintf("warned %v ago", time.Since(w.given).Round(time.Millisecond))
}

// warned reports whether a request was sent by a client that knew.
func (w *warning) warned(sent time.Time) bool {
	return !w.given.IsZero() && sent.Sub(w.given) > reaction
}
