package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/idempotency"
	"pomeloway.example/pomeloway/upstream"
)

// Response headers that name the availability zone and the agent at which the flow
// ends.
const (
	HeaderZone  = "Pomeloway-Zone"
	HeaderAgent = "Pomeloway-Agent"
)

// handler serves the requests of callers and those that siblings pass on.
type handler struct {
	*dispatcher
	keyedRequests *keyedRequests
	zone          bundle.ZoneID
	// siblingRequests are canceled when the availability zone goes out.
	siblingRequests siblingRequests
}

// flowKey is the context key of the flow ID of a connection.
type flowKey struct{}

// ServeHTTP serves a caller's request.
func (f *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	flow, _ := r.Context().Value(flowKey{}).(upstream.FlowID)
	f.serve(w, r, flow, "")
}

// peerHandler returns the handler of requests that siblings pass on.
func (f *handler) peerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		passed := r.Header.Get(headerPassed)
		w.Header().Set(headerFree, strconv.Itoa(f.freeSlots()))
		if r.URL.Path == pathFreeSlots && r.Header.Get(headerService) == "" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		s := f.service.Load()
		// Agents may disagree on the bundle, and an address may have been reassigned to
		// another service. A request must not run on an upstream of another service.
		if s == nil || passed == "" || r.Header.Get(headerService) != strconv.Itoa(int(s.ID)) {
			(&refusal{http.StatusMisdirectedRequest, "service", "not an agent of this service", "", OutcomeNotRun, 0}).write(w)
			return
		}
		ctx, stop, ok := f.siblingRequests.register(r.Context())
		defer stop()
		if !ok {
			refuseZoneOut(passed).write(w)
			return
		}
		f.serve(w, r.WithContext(ctx), parseFlowID(r.Header), passed)
	})
}

// freeSlots returns the number of free slots that is reported to siblings.
func (f *handler) freeSlots() int {
	if f.isLeaving() {
		return 0
	}
	return f.gate.Load().Free()
}

// serve serves a request of a flow. passed is the value of headerPassed, or empty for a
// request of a caller.
func (f *handler) serve(w http.ResponseWriter, r *http.Request, flow upstream.FlowID, passed string) {
	s := f.service.Load()
	if s == nil {
		refuseFull("no bundle is in force yet").write(w)
		return
	}
	if !limitBody(w, r, s.Upstreams.Body) {
		refuseTooLarge(OutcomeNotRun).write(w)
		return
	}
	f.retries.earn()
	ctx, stop, ok := f.requestContext(r, s.HoldingFor(r.URL.Path))
	defer stop()
	if !ok {
		(&refusal{http.StatusBadRequest, "timeout", "the request's timeout is not a duration", r.Header.Get(upstream.HeaderTimeout), OutcomeNotRun, 0}).write(w)
		return
	}
	j := &job{
		r: r, body: newReplayBody(r.Body), flow: flow, passed: passed == passedWork,
		holding: s.HoldingFor(r.URL.Path), tried: newTried(f.siblings.self),
	}
	var a *response
	var err error
	switch key := r.Header.Get(idempotency.Header); {
	case r.URL.Path == PathKey && r.Method == http.MethodPost && passed == "":
		f.keyedRequests.issueKey(w, r)
		return
	case key != "":
		a, err = f.keyedRequests.place(ctx, j, key, passed == passedHome)
	default:
		a, err = f.place(ctx, j)
	}
	f.writeResponse(ctx, w, j, a, err)
}

// limitBody limits the size of the request body. It returns false if the body is known
// to be too long. A body of unknown length is cut off at the limit while it is read.
func limitBody(w http.ResponseWriter, r *http.Request, limit bundle.Size) bool {
	if limit == 0 {
		return true
	}
	if r.ContentLength > int64(limit) {
		return false
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(limit))
	return true
}

// writeResponse writes the response, or the refusal if err is set.
func (f *handler) writeResponse(ctx context.Context, w http.ResponseWriter, j *job, a *response, err error) {
	if err != nil {
		f.refuse(w, j, err)
		return
	}
	copyResponseHeader(w.Header(), a)
	w.Header().Set(HeaderZone, strconv.Itoa(int(f.zone)))
	w.Header().Set(HeaderAgent, string(f.siblings.self))
	w.WriteHeader(a.StatusCode)
	c := http.NewResponseController(w)
	c.Flush()
	err = upstream.Stream(w, c.Flush, a.Body)
	a.finish(err)
	if err != nil {
		// The response was cut off. Abort the stream, since a clean end would make the
		// response look complete.
		f.counts.Cut.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// copyResponseHeader copies a response's header without hop-by-hop and internal fields.
// An upstream must not be able to set the outcome "not-run" in the fleet's name.
func copyResponseHeader(to http.Header, a *response) {
	for k, v := range a.Header {
		if k != headerFree {
			to[k] = append([]string(nil), v...)
		}
	}
	for _, h := range append(hopByHopHeaders, upstream.HeaderRequest) {
		to.Del(h)
	}
	if !a.relayed {
		to.Del(HeaderOutcome)
	}
}

// refuse writes the refusal that err describes, and logs and counts it.
func (f *handler) refuse(w http.ResponseWriter, j *job, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = refuseUnknown(err.Error())
		if errors.Is(err, upstream.ErrNotRun) {
			r = refuseFull(err.Error())
		}
	}
	if f.disabledGuards.Disabled(guard.Outcome) {
		r = &refusal{r.status, r.kind, r.title, r.detail, OutcomeNotRun, r.retryAfter}
	}
	id := events.RequestRefused
	if r.outcome == OutcomeUnknown {
		id = events.RequestUnknown
		f.counts.Unknown.Add(1)
	} else {
		f.counts.Refused.Add(1)
	}
	f.log.Add(id, slog.String("method", j.r.Method), slog.String("path", j.r.URL.Path), slog.Int("status", r.status), slog.String("error", r.Error()))
	r.write(w)
}

// requestContext returns the context in which the request must be answered. Its timeout
// is the caller's, limited by the bundle's; a feed has only the caller's. It returns
// false if the caller's timeout is invalid.
func (f *handler) requestContext(r *http.Request, h bundle.Holding) (context.Context, context.CancelFunc, bool) {
	limit := f.timeouts.Load().Request
	text := r.Header.Get(upstream.HeaderTimeout)
	if text == "" {
		if h == bundle.HoldingConnection {
			ctx, stop := context.WithCancel(r.Context())
			return ctx, stop, true
		}
		ctx, stop := context.WithTimeout(r.Context(), limit)
		return ctx, stop, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return r.Context(), func() {}, false
	}
	if h != bundle.HoldingConnection {
		d = min(d, limit)
	}
	ctx, stop := context.WithTimeout(r.Context(), d)
	return ctx, stop, true
}

// setTimeoutHeader sets the time that is left until the deadline of ctx in the header
// of a request to another agent.
func setTimeoutHeader(ctx context.Context, r *http.Request) {
	if t, ok := ctx.Deadline(); ok {
		r.Header.Set(upstream.HeaderTimeout, time.Until(t).Round(time.Millisecond).String())
	}
}
