package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/idempotency"
	"pomeloway.example/pomeloway/upstream"
)

// Headers of requests between agents.
const (
	headerPassed  = "Pomeloway-Passed"
	headerFlow    = "Pomeloway-Flow"
	headerService = "Pomeloway-Service"
)

// Values of headerPassed: passedWork for a job offered to a sibling, passedHome for a
// request sent to its key's home.
const (
	passedWork = "work"
	passedHome = "home"
)

// passToSibling offers the job to one more sibling. If the outcome there is unknown and
// the job's method only reads, it offers the job to another one.
func (d *dispatcher) passToSibling(ctx context.Context, j *job) (*response, error) {
	if j.passCount >= maxPasses {
		return nil, refuseFull("no sibling has a free slot")
	}
	m, ok := d.siblings.pick(j.tried)
	if !ok {
		return nil, refuseFull("there is no other upstream to try")
	}
	j.passCount++
	j.tried[m.ID] = true
	if j.large() && !d.hasFreeSlot(ctx, m) {
		return nil, refuseFull("no sibling has a free slot")
	}
	d.counts.Passed.Add(1)
	d.logRequest(events.RequestPassed, j, string(m.ID))
	a, err := d.callPeer(ctx, j, m.Peer.String(), passedWork, "")
	if a != nil {
		d.siblings.recordFreeSlots(m.ID, a.Header)
	}
	got, err := d.readPeerResponse(a, err)
	if got != nil || isNotRun(err) || !j.safe() || ctx.Err() != nil || !d.retries.spend() {
		return got, err
	}
	if again, _ := d.passToSibling(ctx, j); again != nil {
		return again, nil
	}
	return nil, err
}

// large reports whether the body may be too long to be sent a second time.
func (j *job) large() bool { return j.r.ContentLength < 0 || j.r.ContentLength > maxReplayBytes }

// pathFreeSlots is the path at which an agent reports its number of free slots, in
// headerFree.
const pathFreeSlots = "/room"

// freeSlotsTimeout limits the query for free slots. A free slot is not worth a longer
// wait.
const freeSlotsTimeout = time.Second

// hasFreeSlot asks a sibling whether it has a free slot.
//
// A sibling that refuses an upload has already read part of it, and the upload can't be
// offered to any other agent: uploads would be refused while slots are free. So a long
// body is sent only to a sibling that reports a free slot.
func (d *dispatcher) hasFreeSlot(ctx context.Context, m fleet.Member) bool {
	ctx, stop := context.WithTimeout(ctx, freeSlotsTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+m.Peer.String()+pathFreeSlots, nil)
	if err != nil {
		return false
	}
	r.Header.Set(headerPassed, passedWork)
	a, err := d.peers.RoundTrip(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	d.siblings.recordFreeSlots(m.ID, a.Header)
	n, err := strconv.Atoi(a.Header.Get(headerFree))
	return err == nil && n > 0
}

// callPeer sends the job to another agent and returns its response.
func (d *dispatcher) callPeer(ctx context.Context, j *job, peer, passed, key string) (*http.Response, error) {
	body, ok := j.body.reader()
	if !ok {
		return nil, refuseFull("too much of the request was read to send it again")
	}
	r := newForwardedRequest(ctx, j.r, body)
	r.URL.Scheme, r.URL.Host = "https", peer
	r.Header.Set(headerPassed, passed)
	r.Header.Set(headerFlow, strconv.FormatUint(uint64(j.flow), 16))
	r.Header.Set(headerService, strconv.Itoa(int(d.service.Load().ID)))
	r.Header.Del(idempotency.Header)
	if key != "" {
		r.Header.Set(idempotency.Header, key)
	}
	setTimeoutHeader(ctx, r)
	a, err := d.peers.RoundTrip(r)
	if err == nil {
		return a, nil
	}
	if neverSent(err) {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotRun, err)
	}
	return nil, err
}

// neverSent reports whether a failed call to a peer proves that the peer did not
// process the request: no connection was established, or the peer rejected the request.
func neverSent(err error) bool {
	var op *net.OpError
	var idle *quic.IdleTimeoutError
	var handshake *quic.HandshakeTimeoutError
	var h *http3.Error
	switch {
	case errors.As(err, &handshake):
		return true
	case errors.As(err, &op):
		return op.Op == "dial"
	case errors.As(err, &idle):
		return false
	case errors.As(err, &h):
		return h.ErrorCode == http3.ErrCodeRequestRejected
	}
	return false
}

// readPeerResponse returns the response of a peer's upstream, or the peer's refusal as
// an error.
func (d *dispatcher) readPeerResponse(a *http.Response, err error) (*response, error) {
	switch {
	case isNotRun(err):
		return nil, err
	case err != nil:
		return nil, refuseUnknown("the agent that had it: " + err.Error())
	}
	switch Outcome(a.Header.Get(HeaderOutcome)) {
	case OutcomeNotRun:
		a.Body.Close()
		return nil, &refusal{a.StatusCode, "full", "no upstream has a free slot", "a sibling refused", OutcomeNotRun, fullRetryDelay}
	case OutcomeUnknown:
		a.Body.Close()
		return nil, refuseUnknown("the sibling that had it does not know")
	}
	d.running.Add(1)
	return &response{Response: a, finish: func(error) {
		d.running.Add(-1)
		a.Body.Close()
	}}, nil
}

// newTried returns a set of tried members that contains the given one.
func newTried(id fleet.MemberID) map[fleet.MemberID]bool {
	return map[fleet.MemberID]bool{id: true}
}
