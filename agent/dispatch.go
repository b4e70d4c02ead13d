// This file places requests. A request runs at the own upstream if a slot is
// free, else at a sibling that has one, else it waits here, and tries one more
// sibling while it waits. What reaches a sibling this way is run or refused at
// once, never queued twice or passed again, so there are no loops and at most
// two passes. Only a refusal that proves that nothing ran lets a request be sent
// again. Given up: a global order of waiting requests; each agent has its own.

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
	// maxPasses bounds the siblings that one request is offered to.
	maxPasses = 2
	// secondPassDelay is how long a request waits before it tries the second sibling.
	secondPassDelay = 200 * time.Millisecond
	// maxTimedBody is the longest request whose time to answer says something
	// about the upstream.
	maxTimedBody = 64 << 10
)

// errShed is an upstream's answer that says that it did not run the request.
var errShed = fmt.Errorf("%w: shed", upstream.ErrNotRun)

// job is one request on its way to an upstream.
type job struct {
	r    *http.Request
	body *replayBody
	flow upstream.FlowID
	// passed says that a sibling sent it: it is run or refused at once.
	passed    bool
	holding   bundle.Holding
	tried     map[fleet.MemberID]bool
	passCount int
}

// safe reports whether the request may be sent again although it may have run:
// its method only reads (RFC 9110, 9.2.1). PUT and DELETE are left out, though
// idempotent by the letter, since back ends are seen that count them.
func (j *job) safe() bool {
	switch j.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// response is an upstream's response that still has to be read.
type response struct {
	*http.Response
	// relayed says that the answer is a home's, with its outcome header.
	relayed bool
	// finish must be called when the body was read, with the error that cut it.
	finish func(error)
}

// dispatcher places requests for one service.
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

// RequestCounts are what became of requests.
type RequestCounts struct {
	Placed, Passed, Refused, Unknown, Replayed, ToHome, Cut atomic.Uint64
}

// place returns the answer to the job or the refusal.
func (d *dispatcher) place(ctx context.Context, j *job) (*response, error) {
	if d.disabledGuards.Has(guard.Slots) {
		d.gate.AcquireAnyway()
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

// isLeaving reports whether the upstream may get no new work.
func (d *dispatcher) isLeaving() bool { return d.leaving.Load() }

// waitForSlot queues for a slot and tries another sibling on the way.
func (d *dispatcher) waitForSlot(ctx context.Context, j *job) (*response, error) {
	queue := d.timeouts.Load().Queue
	err := d.gate.Acquire(ctx, j.flow, min(secondPassDelay, queue))
	if errors.Is(err, upstream.ErrWait) {
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

// passOrRefuse passes the job on; if no sibling takes it, it is refused as given.
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

// runLocally sends the job to the own upstream; a slot is held.
func (d *dispatcher) runLocally(ctx context.Context, j *job) (*response, error) {
	body, ok := j.body.reader()
	if !ok {
		d.gate.Release(upstream.Sign{})
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
	if j.r.ContentLength >= 0 && j.r.ContentLength <= maxTimedBody && d.gate.Answered(start, time.Since(start)) {
		d.logCold()
	}
	return d.handleResponse(ctx, j, a, upstream.Sign{Kind: upstream.SignGood, Began: start}), nil
}

// newRequestID returns an id that no other run of a request has. Two agents count the
// same numbers, and may have begun in the same microsecond; were their ids the
// same, an answer that strays from one to the other would pass for its own.
func (d *dispatcher) newRequestID() upstream.RequestID {
	self := fleet.HashOf([]byte(d.siblings.self))
	return upstream.RequestID(fmt.Sprintf("%x-%x-%d", self, uint64(d.incarnation), d.seq.Add(1)))
}

// handleFailure gives the slot back after the upstream gave no answer.
func (d *dispatcher) handleFailure(ctx context.Context, j *job, began time.Time, err error) (*response, error) {
	sign := upstream.Sign{Kind: upstream.SignBad, Began: began}
	var long *http.MaxBytesError
	tooLarge := errors.As(err, &long)
	if (ctx.Err() != nil || tooLarge) && !errors.Is(err, errShed) {
		sign.Kind = upstream.SignNone // the caller's doing
	}
	var u *upstream.UnfinishedError
	if errors.As(err, &u) {
		d.releaseAfter(u.End, sign)
	} else {
		d.release(sign)
	}
	d.running.Add(-1)
	if tooLarge {
		return nil, refuseTooLarge(OutcomeUnknown)
	}
	refused := refuseFull(err.Error())
	if !errors.Is(err, upstream.ErrNotRun) && !d.disabledGuards.Has(guard.Retry) {
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

// handleResponse wires the end of the answer to the slot.
func (d *dispatcher) handleResponse(ctx context.Context, j *job, a *http.Response, sign upstream.Sign) *response {
	if a.StatusCode >= http.StatusBadGateway && a.StatusCode <= http.StatusGatewayTimeout {
		sign.Kind = upstream.SignBad
	}
	feed := j.holding == bundle.HoldingConnection
	if feed {
		d.release(sign) // a feed has started and now mostly waits
	}
	body := a.Body // an order's answer is read into another one
	return &response{Response: a, finish: func(err error) {
		d.running.Add(-1)
		body.Close()
		if feed {
			return
		}
		if err == nil {
			d.release(sign)
			return
		}
		sign.Kind = upstream.SignBad
		if ctx.Err() != nil {
			sign.Kind = upstream.SignNone
		}
		d.releaseAfter(upstream.EndOf(body), sign)
	}}
}

// releaseAfter gives the slot of a request that was broken off back when its upstream
// has stopped working on it, at once if it has.
func (d *dispatcher) releaseAfter(end upstream.End, s upstream.Sign) {
	if end == nil {
		d.release(s)
		return
	}
	end(func() { d.release(s) })
}

func (d *dispatcher) release(s upstream.Sign) {
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

// hopByHopHeaders are of one connection and go no further (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// internalHeaders are of the fleet; a caller can't set them.
var internalHeaders = []string{HeaderOutcome, headerFree, headerPassed, headerFlow, headerService, upstream.HeaderRequest}

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

// retryBudget bounds the requests that are sent again to a share of the fresh
// ones. Without it, an upstream that refuses everything under overload would
// make each request cost two, and the load would rise as the service fails.
type retryBudget struct {
	tokens atomic.Int64
}

const (
	retryCost      = 10 // each fresh request earns one, so a tenth may be retried
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
