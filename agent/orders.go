package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/idempotency"
)

// PathKey is the path at which a caller gets an idempotency key, by POST.
const PathKey = "/.well-known/pomeloway/idempotency-key"

// IssuedKey is the body of the response to PathKey.
type IssuedKey struct {
	Key     string    `json:"key"`
	Expires time.Time `json:"expires"`
}

// keyedRequests runs each request with an idempotency key at most once.
type keyedRequests struct {
	d           *dispatcher
	sealer      atomic.Pointer[idempotency.Sealer]
	journal     idempotency.Journal
	home        netip.AddrPort
	incarnation fleet.Incarnation
	state       *fleet.State
	// zone is the number of the agent's availability zone, for the header HeaderZone.
	zone string
}

// issueKey issues an idempotency key whose home is this agent.
func (o *keyedRequests) issueKey(w http.ResponseWriter, r *http.Request) {
	if o.d.leaving.Load() {
		refuseFull("this agent leaves; open a new flow for a key").write(w)
		return
	}
	t := time.Now().Add(o.d.timeouts.Load().OrderKey)
	o.journal.RecordIssued(t)
	k := idempotency.Key{Home: o.home, Life: o.incarnation, Service: o.d.service.Load().ID, Expires: t, Nonce: idempotency.NewNonce()}
	w.Header().Set(HeaderZone, o.zone)
	w.Header().Set(HeaderAgent, string(o.d.siblings.self))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	json.NewEncoder(w).Encode(IssuedKey{Key: o.sealer.Load().Seal(k), Expires: t})
}

// place runs the job here if this agent is the key's home, otherwise it sends the job
// there.
func (o *keyedRequests) place(ctx context.Context, j *job, text string, fromSibling bool) (*response, error) {
	k, err := o.sealer.Load().Open(text, o.d.service.Load().ID, time.Now())
	switch {
	case errors.Is(err, idempotency.ErrExpired):
		return nil, refuseKey(http.StatusGone, "key-expired", "get a new one only if the earlier request surely did not run")
	case errors.Is(err, idempotency.ErrWrongService):
		return nil, refuseKey(http.StatusForbidden, "key-service", err.Error())
	case err != nil:
		return nil, refuseKey(http.StatusBadRequest, "key-invalid", "POST "+PathKey+" gives one")
	}
	if k.Home == o.home && (k.Life == o.incarnation || o.d.disabledGuards.Disabled(guard.Life)) {
		return o.atHome(ctx, j, k)
	}
	if o.d.disabledGuards.Disabled(guard.Home) {
		return o.d.place(ctx, j)
	}
	if fromSibling || !mayBeAlive(o.state, k.Home.String(), k.Life) {
		// The home has stopped, and a process restarted at its address has none of its
		// journal. If the request ran here, an earlier attempt may have run it already:
		// it would run twice.
		return nil, refuseUnknown("the agent that issued the key is gone")
	}
	return o.sendToHome(ctx, j, k, text)
}

// sendToHome sends the job to its key's home.
func (o *keyedRequests) sendToHome(ctx context.Context, j *job, k idempotency.Key, text string) (*response, error) {
	o.d.counts.ToHome.Add(1)
	o.d.logRequest(events.RequestToHome, j, k.Home.String())
	a, err := o.d.callPeer(ctx, j, k.Home.String(), passedHome, text)
	if isNotRun(err) {
		// This attempt did not run the request, but an earlier one may have reached the
		// home.
		return nil, refuseUnknown("the agent that issued the key can't be reached")
	}
	if err != nil {
		return nil, refuseUnknown("the agent that issued the key: " + err.Error())
	}
	return o.d.relayResponse(a), nil
}

// relayResponse returns a home's response unchanged, refusals included.
func (d *dispatcher) relayResponse(a *http.Response) *response {
	d.running.Add(1)
	return &response{Response: a, relayed: true, finish: func(error) {
		d.running.Add(-1)
		a.Body.Close()
	}}
}

// detached returns a context that has the deadline of ctx, or the limit from now if ctx
// has none, but is not canceled with ctx.
func detached(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	t, ok := ctx.Deadline()
	if !ok {
		t = time.Now().Add(limit)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), t)
}

// atHome handles a job whose key's home is this agent.
func (o *keyedRequests) atHome(ctx context.Context, j *job, k idempotency.Key) (*response, error) {
	// The request runs to its end or its deadline even if the caller disconnects, since
	// the caller will retry with the same key.
	ctx, stop := detached(ctx, o.d.timeouts.Load().Request)
	u, fresh, err := o.journal.Begin(k, j.r.Method+" "+j.r.URL.RequestURI())
	var a *response
	switch {
	case errors.Is(err, idempotency.ErrKeyReused):
		err = refuseKey(http.StatusUnprocessableEntity, "key-reused", err.Error())
	case err != nil:
		err = refuseFull(err.Error())
	case fresh:
		a, err = o.runFirst(ctx, j, k, u)
	case o.d.disabledGuards.Disabled(guard.Journal):
		a, err = o.d.place(ctx, j)
	default:
		a, err = o.replay(ctx, j, u)
	}
	if err != nil {
		stop()
		return nil, err
	}
	finish := a.finish
	a.finish = func(err error) {
		finish(err)
		stop()
	}
	return a, nil
}

// runFirst runs the first request under a key and records the result.
func (o *keyedRequests) runFirst(ctx context.Context, j *job, k idempotency.Key, u *idempotency.Entry) (*response, error) {
	a, err := o.d.place(ctx, j)
	if err != nil {
		res := idempotency.ResultUnknown
		if isNotRun(err) {
			res = idempotency.ResultNotRun
		}
		o.journal.Finish(k, u, res, nil)
		return nil, err
	}
	rec, err := record(a)
	if err != nil {
		a.finish(err)
		o.journal.Finish(k, u, idempotency.ResultUnknown, nil)
		return nil, refuseUnknown("the upstream's answer was cut: " + err.Error())
	}
	o.journal.Finish(k, u, idempotency.ResultAnswered, rec)
	return a, nil
}

// record reads a short response to its end and returns the copy to keep. The response's
// body can still be read afterwards.
func record(a *response) (*idempotency.RecordedResponse, error) {
	b, err := io.ReadAll(io.LimitReader(a.Body, idempotency.MaxRecordedBody+1))
	if err != nil {
		return nil, err
	}
	rest := a.Body
	a.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(b), rest), rest}
	if len(b) > idempotency.MaxRecordedBody {
		return &idempotency.RecordedResponse{Status: a.StatusCode, TooLong: true}, nil
	}
	return &idempotency.RecordedResponse{Status: a.StatusCode, Header: a.Header.Clone(), Body: b}, nil
}

// HeaderReplayed marks a response that was recorded earlier.
const HeaderReplayed = "Idempotency-Replayed"

// replay answers a repeated use of a key with the result of the first.
func (o *keyedRequests) replay(ctx context.Context, j *job, u *idempotency.Entry) (*response, error) {
	res, rec, err := o.journal.Wait(ctx, u)
	switch {
	case err != nil:
		return nil, refuseTimeout("the first request under this key still runs", OutcomeUnknown)
	case res == idempotency.ResultUnknown:
		return nil, refuseUnknown("the first request under this key got no whole answer")
	case res == idempotency.ResultNotRun:
		return nil, refuseFull("the first request under this key was not run; send it again")
	case rec.TooLong:
		return nil, refuseTooLong()
	}
	o.d.counts.Replayed.Add(1)
	o.d.log.Add(events.RequestReplayed, slog.String("path", j.r.URL.Path), slog.Int("status", rec.Status))
	h := rec.Header.Clone()
	h.Set(HeaderReplayed, "true")
	r := &http.Response{StatusCode: rec.Status, Header: h, Body: io.NopCloser(bytes.NewReader(rec.Body))}
	return &response{Response: r, finish: func(error) {}}, nil
}
