// This file dispatches requests. A request runs on the agent's own upstream if a slot
// is free there, otherwise on a sibling's that has one. If there is none, the request
// waits here and is offered to one more sibling meanwhile. A sibling runs or refuses
// such a request at once; it never queues it and never passes it on, so there are no
// loops and at most two passes. A request is sent again only if a refusal proves that
// it did not run, or if its method only reads. Limitation: waiting requests have no
// global order; each agent has its own queue.

package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/upstream"
)

const (
	// maxPasses limits the number of siblings that a request is offered to.
	maxPasses = 2
	// secondPassDelay is how long a request waits before it is offered to a second
	// sibling.
	secondPassDelay = 200 * time.Millisecond
	// maxTimedBody is the longest request body with which the time to the response is a
	// measure of the upstream. With longer ones it mostly measures the upload.
	maxTimedBody = 64 << 10
)

// errShed is returned if the upstream sheds a request: its response says that it did
// not run it.
var errShed = fmt.Errorf("%w: shed", upstream.ErrNotRun)

// job is a request on its way to an upstream.
type job struct {
	r    *http.Request
	body *replayBody
	flow upstream.FlowID
	// passed is set if a sibling sent the request. It is then run or refused at once.
	passed    bool
	holding   bundle.Holding
	tried     map[fleet.MemberID]bool
	passCount int
}

// safe reports whether the request may be sent again although it may have run, because
// its method only reads (RFC 9110, section 9.2.1). PUT and DELETE are excluded: they
// are defined as idempotent, but some back ends count them.
func (j *job) safe() bool {
	switch j.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// response is an upstream's response whose body is still to be read.
type response struct {
	*http.Response
	// relayed is set if the response comes from the home of an idempotency key. Its
	// outcome header is then kept.
	relayed bool
	// finish must be called once the body was read, with the error that interrupted the
	// reading, if any.
	finish func(error)
}

// dispatcher selects the upstream that runs a request, for the requests of one service.
type dispatcher struct {
	gate           *upstream.Gate
	client         *upstream.Client
	siblings       *siblings
	peers          http.RoundTripper
	log            *events.Log
	service        atomic.Pointer[bundle.Service]
	timeouts       atomic.Pointer[bundle.Timeouts]
	leaving        atomic.Bool
	incarnation    fleet.Incarnation
	seq            atomic.Uint64
	running        atomic.Int64
	retries        retryBudget
	disabledGuards guard.Off
	counts         *RequestCounts
}

// RequestCounts counts requests by what happened to them.
type RequestCounts struct {
	Placed, Passed, Refused, Unknown, Replayed, ToHome, Cut atomic.Uint64
}

// place runs the job on an upstream and returns the response, or the refusal as an
// error.
func (d *dispatcher) place(ctx context.Context, j *job) (*response, error) {
	if d.disabledGuards.Disabled(guard.Slots) {
		d.gate.ForceAcquire()
		return d.runLocally(ctx, j)
	}
	if !d.isLeaving() && d.gate.TryAcquire() == nil {
		return d.runLocally(ctx, j)
	}
	if j.passed {
		return nil, refuseFull("this upstream has no free slot")
	}
	if a, err := d.passToSibling(ctx, j); a != nil || !isNotRun(err) {
		return a, err
	}
	if d.isLeaving() {
		return d.passOrRefuse(ctx, j, refuseFull("this upstream leaves and no other has a free slot"))
	}
	return d.waitForSlot(ctx, j)
}

// isLeaving reports whether the upstream must not get new work.
func (d *dispatcher) isLeaving() bool { return d.leaving.Load() }

// waitForSlot queues the job for a slot and offers it to another sibling meanwhile.
func (d *dispatcher) waitForSlot(ctx context.Context, j *job) (*response, error) {
	queue := d.timeouts.Load().Queue
	err := d.gate.Acquire(ctx, j.flow, min(secondPassDelay, queue))
	if errors.Is(err, upstream.ErrWaitTimeout) {
		if a, err := d.passToSibling(ctx, j); a != nil || !isNotRun(err) {
			return a, err
		}
		err = d.gate.Acquire(ctx, j.flow, queue)
	}
	switch {
	case err == nil:
		return d.runLocally(ctx, j)
	case ctx.Err() != nil:
		return nil, refuseTimeout("it ended before a slot was free", OutcomeNotRun)
	}
	return nil, refuseFull(err.Error())
}

// passOrRefuse passes the job to a sibling. If no sibling takes it, it returns the
// given refusal.
func (d *dispatcher) passOrRefuse(ctx context.Context, j *job, refused *refusal) (*response, error) {
	if a, err := d.passToSibling(ctx, j); a != nil || !isNotRun(err) {
		return a, err
	}
	return nil, refused
}

// isNotRun reports whether the error proves that the request did not run.
func isNotRun(err error) bool {
	var r *refusal
	if errors.As(err, &r) {
		return r.outcome == OutcomeNotRun
	}
	return errors.Is(err, upstream.ErrNotRun)
}

// runLocally sends the job to the agent's own upstream. A slot must have been acquired.
func (d *dispatcher) runLocally(ctx context.Context, j *job) (*response, error) {
	body, ok := j.body.reader()
	if !ok {
		d.gate.Release(upstream.Feedback{})
		return nil, refuseFull("too much of the request was read to send it again")
	}
	id := d.newRequestID()
	r := newForwardedRequest(ctx, j.r, body)
	d.counts.Placed.Add(1)
	d.running.Add(1)
	d.logRequest(events.RequestPlaced, j, string(id))
	start := time.Now()
	a, err := d.client.Do(r, id)
	if err != nil {
		return d.handleFailure(ctx, j, start, err)
	}
	if s := d.service.Load().Upstreams.ShedStatus; s != 0 && a.StatusCode == s {
		a.Body.Close()
		return d.handleFailure(ctx, j, start, fmt.Errorf("%w with status %d", errShed, s))
	}
	if j.r.ContentLength >= 0 && j.r.ContentLength <= maxTimedBody && d.gate.RecordLatency(start, time.Since(start)) {
		d.logCold()
	}
	return d.handleResponse(ctx, j, a, upstream.Feedback{Kind: upstream.FeedbackGood, Began: start}), nil
}

// newRequestID returns an ID that no other attempt to run a request has. It contains a
// hash of the agent's ID, since two agents may have started in the same microsecond and
// use the same sequence numbers. If their IDs were the same, a response that reached
// the wrong agent would be accepted as its own.
func (d *dispatcher) newRequestID() upstream.RequestID {
	self := fleet.HashOf([]byte(d.siblings.self))
	return upstream.RequestID(fmt.Sprintf("%x-%x-%d", self, uint64(d.incarnation), d.seq.Add(1)))
}

// handleFailure releases the slot after the upstream failed to respond, and passes the
// job to a sibling if it may be sent again.
func (d *dispatcher) handleFailure(ctx context.Context, j *job, began time.Time, err error) (*response, error) {
	feedback := upstream.Feedback{Kind: upstream.FeedbackBad, Began: began}
	var long *http.MaxBytesError
	tooLarge := errors.As(err, &long)
	if (ctx.Err() != nil || tooLarge) && !errors.Is(err, errShed) {
		feedback.Kind = upstream.FeedbackNone // caused by the caller
	}
	var u *upstream.UnfinishedError
	if errors.As(err, &u) {
		d.releaseAfter(u.OnStop, feedback)
	} else {
		d.release(feedback)
	}
	d.running.Add(-1)
	if tooLarge {
		return nil, refuseTooLarge(OutcomeUnknown)
	}
	refused := refuseFull(err.Error())
	if !errors.Is(err, upstream.ErrNotRun) && !d.disabledGuards.Disabled(guard.Retry) {
		refused = refuseUnknown(err.Error())
		if ctx.Err() != nil {
			return nil, refuseTimeout("the upstream had not answered", OutcomeUnknown)
		}
		if !j.safe() {
			return nil, refused
		}
	}
	if j.passed || !d.retries.spend() {
		return nil, refused
	}
	return d.passOrRefuse(ctx, j, refused)
}

// handleResponse returns the response with a finish function that releases the slot. A
// feed's slot is released at once.
func (d *dispatcher) handleResponse(ctx context.Context, j *job, a *http.Response, feedback upstream.Feedback) *response {
	if a.StatusCode >= http.StatusBadGateway && a.StatusCode <= http.StatusGatewayTimeout {
		feedback.Kind = upstream.FeedbackBad
	}
	feed := j.holding == bundle.HoldingConnection
	if feed {
		d.release(feedback) // a feed that has started is mostly idle
	}
	body := a.Body // record may replace a.Body
	return &response{Response: a, finish: func(err error) {
		d.running.Add(-1)
		body.Close()
		if feed {
			return
		}
		if err == nil {
			d.release(feedback)
			return
		}
		feedback.Kind = upstream.FeedbackBad
		if ctx.Err() != nil {
			feedback.Kind = upstream.FeedbackNone
		}
		d.releaseAfter(upstream.OnStopOf(body), feedback)
	}}
}

// releaseAfter releases the slot of an aborted request once its upstream has stopped
// working on it. A nil end means that it has stopped already.
func (d *dispatcher) releaseAfter(end upstream.OnStop, s upstream.Feedback) {
	if end == nil {
		d.release(s)
		return
	}
	end(func() { d.release(s) })
}

func (d *dispatcher) release(s upstream.Feedback) {
	cold, warm := d.gate.Release(s)
	if cold {
		d.logCold()
	}
	if warm {
		d.log.Add(events.UpstreamWarm, slog.Int("slots", d.gate.Load().Slots))
	}
}

func (d *dispatcher) logCold() {
	d.log.Add(events.UpstreamCold, slog.Int("slots", d.gate.Load().Slots))
}

func (d *dispatcher) logRequest(id events.ID, j *job, target string) {
	d.log.Add(id, slog.String("method", j.r.Method), slog.String("path", j.r.URL.Path),
		slog.String("target", target), slog.Bool("passed", j.passed))
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// internalHeaders are used within the fleet. They are removed from callers' requests.
var internalHeaders = []string{HeaderOutcome, headerFree, headerPassed, headerFlow, headerService, upstream.HeaderRequest}

// newForwardedRequest returns a copy of the request, without hop-by-hop and internal
// headers, to send to an upstream or another agent.
func newForwardedRequest(ctx context.Context, r *http.Request, body interface {
	Read([]byte) (int, error)
	Close() error
}) *http.Request {
	o := r.Clone(ctx)
	o.RequestURI, o.Body, o.Close = "", body, false
	if r.ContentLength == 0 {
		o.Body = http.NoBody
	}
	for _, h := range append(hopByHopHeaders, internalHeaders...) {
		o.Header.Del(h)
	}
	return o
}

// retryBudget limits retries to a fraction of the new requests. Without it, an
// overloaded upstream that refuses everything would double the cost of each request,
// and the load would rise as the service fails.
type retryBudget struct {
	tokens atomic.Int64
}

const (
	retryCost      = 10 // each new request earns one token, so one in ten may be retried
	maxRetryTokens = 100 * retryCost
)

func (b *retryBudget) earn() {
	if b.tokens.Load() < maxRetryTokens {
		b.tokens.Add(1)
	}
}

func (b *retryBudget) spend() bool {
	if b.tokens.Add(-retryCost) < 0 {
		b.tokens.Add(retryCost)
		return false
	}
	return true
}

func parseFlowID(h http.Header) upstream.FlowID {
	n, _ := strconv.ParseUint(h.Get(headerFlow), 16, 64)
	return upstream.FlowID(n)
}
