package agent

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request that got no response from the upstream may have run.
type Outcome string

// Outcomes. A request with a response from the upstream has none.
const (
	// OutcomeNotRun: the request did not run and may be sent again.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// HeaderOutcome carries the outcome of a refused request.
const HeaderOutcome = "Pomeloway-Outcome"

// Problem is the body of a refusal, as defined in RFC 9457.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// refusal is an error that is sent to the caller as a Problem.
type refusal struct {
	status     int
	kind       string
	title      string
	detail     string
	outcome    Outcome
	retryAfter time.Duration
}

// Error returns the title and the detail.
func (r *refusal) Error() string { return r.title + ": " + r.detail }

// fullRetryDelay is how long a caller should wait after a refusal for lack of a slot:
// about the time until a slot becomes free.
const fullRetryDelay = time.Second

func refuseFull(detail string) *refusal {
	return &refusal{http.StatusServiceUnavailable, "full", "no upstream has a free slot", detail, OutcomeNotRun, fullRetryDelay}
}

func refuseUnknown(detail string) *refusal {
	return &refusal{http.StatusBadGateway, "unknown", "it is not known whether the request ran", detail, OutcomeUnknown, 0}
}

func refuseTimeout(detail string, o Outcome) *refusal {
	return &refusal{http.StatusGatewayTimeout, "timeout", "the request's time is over", detail, o, 0}
}

func refuseKey(status int, kind, detail string) *refusal {
	return &refusal{status, kind, "the idempotency key is not accepted", detail, OutcomeNotRun, 0}
}

// refuseTooLarge refuses a body over the service's limit. The outcome is unknown if
// part of the body may have reached the upstream.
func refuseTooLarge(o Outcome) *refusal {
	return &refusal{http.StatusRequestEntityTooLarge, "too-large", "the request's body is longer than the service takes", "", o, 0}
}

// refuseTooLong refuses to replay a response that was too long to record. The request
// ran, so the outcome must not be "not-run".
func refuseTooLong() *refusal {
	return &refusal{http.StatusConflict, "answer-too-long", "the request ran once; its answer was too long to keep", "", OutcomeUnknown, 0}
}

// write writes the refusal as application/problem+json.
func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(r.outcome))
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	w.WriteHeader(r.status)
	json.NewEncoder(w).Encode(Problem{
		Type: "urn:pomeloway:problem:" + r.kind, Title: r.title, Status: r.status, Detail: r.detail, Outcome: r.outcome,
	})
}
