package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/quic-go/quic-go/qlogwriter"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/standin"
)

// Timeouts of callers. The idle timeout and the keep-alive period make callers
// detect a path that drops all datagrams as fast as the agents do.
const (
	callerIdleTimeout = 8 * time.Second
	callerKeepAlive   = 2 * time.Second
	openTimeout       = 6 * time.Second
	requestTimeout    = 20 * time.Second
)

// flow is one caller's QUIC connection to a service.
type flow struct {
	s       *Site
	rec     *recorder
	service int
	conn    *quic.Conn
	h3      *http3.ClientConn
	tr      *quic.Transport
	// socket is the UDP socket of this flow; nil if the flow shares a transport.
	socket *net.UDPConn
	zone   atomic.Int32
	// upstreamZone is the zone of the upstream that sent the last answer. It differs
	// from zone if the agent forwarded the request to another agent.
	upstreamZone atomic.Int32
	agentID      atomic.Pointer[string]
	// number counts the flows in the order in which they were dialed, opened is when, and
	// id is the first connection ID.
	number  int
	opened  time.Time
	id      string
	counted bool
	// closers holds functions that close the ports which the flow has migrated to.
	closers []func()
}

// openFlow opens a flow from a new port.
func openFlow(ctx context.Context, s *Site, rec *recorder, service int) (*flow, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return (&flow{s: s, rec: rec, service: service, socket: c, tr: &quic.Transport{Conn: c}}).open(ctx)
}

// openShared opens a flow on a transport that other flows use too, so that they
// share one source address and port.
func openShared(ctx context.Context, s *Site, rec *recorder, service int, tr *quic.Transport) (*flow, error) {
	return (&flow{s: s, rec: rec, service: service, tr: tr}).open(ctx)
}

// open dials the service and makes a first request.
func (f *flow) open(ctx context.Context) (*flow, error) {
	ctx, stop := context.WithTimeout(ctx, openTimeout)
	defer stop()
	var err error
	f.number, f.opened = f.rec.nextFlowNumber(), time.Now()
	f.conn, err = f.tr.Dial(ctx, net.UDPAddrFromAddrPort(f.s.ServiceAddress(f.service)), f.s.callerTLS, &quic.Config{
		MaxIdleTimeout: callerIdleTimeout, KeepAlivePeriod: callerKeepAlive, HandshakeIdleTimeout: openTimeout,
		Tracer: func(_ context.Context, _ bool, id quic.ConnectionID) qlogwriter.Trace {
			f.id = id.String()
			return nil
		},
	})
	if err != nil {
		f.close()
		return nil, err
	}
	f.h3 = (&http3.Transport{}).NewClientConn(f.conn)
	f.rec.update(func(r *Report) { r.FlowsOpened++ })
	// The first answer names the agent and the zone of the flow. They are needed
	// to distinguish a flow that is closed with its zone from one that broke.
	if _, err := f.do(context.WithoutCancel(ctx), http.MethodPost, agent.PathKey, nil, ""); err != nil {
		f.countFailure(f.classify(context.Background(), err), err, "first request")
		f.close()
		return nil, err
	}
	return f, nil
}

// migrate moves the flow to a new port, as a caller does when its path has become
// silent.
func (f *flow) migrate(ctx context.Context) error {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	t := &quic.Transport{Conn: c}
	f.closers = append(f.closers, func() { t.Close(); c.Close() })
	p, err := f.conn.AddPath(t)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, openTimeout)
	defer stop()
	if err := p.Probe(ctx); err != nil {
		return err
	}
	return p.Switch()
}

// close closes the connection and all ports of the flow.
func (f *flow) close() {
	if f.conn != nil {
		f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
	if p := f.agentID.Load(); p != nil {
		f.rec.addFlows(f.name(), *p, -1)
	}
	if f.socket != nil {
		f.tr.Close()
		f.socket.Close()
	}
	for _, c := range f.closers {
		c()
	}
}

// name returns the name of the service.
func (f *flow) name() string { return string(f.s.Deployment.Services[f.service].Name) }

// result is the answer to a request.
type result struct {
	status     int
	outcome    agent.Outcome
	body       []byte
	header     http.Header
	retryAfter time.Duration
}

// do sends a request and reads the whole answer.
func (f *flow) do(ctx context.Context, method, path string, body []byte, key string) (*result, error) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	a, err := f.send(ctx, method, path, body, key)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	s, _ := strconv.Atoi(a.Header.Get("Retry-After"))
	return &result{a.StatusCode, agent.Outcome(a.Header.Get(agent.HeaderOutcome)), b, a.Header, time.Duration(s) * time.Second}, nil
}

// send sends a request and returns the answer with its body unread. It records
// the zones and the agent that the answer names.
func (f *flow) send(ctx context.Context, method, path string, body []byte, key string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+serverName+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Want-Service", f.name())
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	a, err := f.h3.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if z, err := strconv.Atoi(a.Header.Get(agent.HeaderZone)); err == nil {
		f.zone.Store(int32(z))
	}
	z := slices.Index(f.s.Deployment.Zones, bundle.Name(a.Header.Get("Upstream-Zone")))
	f.upstreamZone.Store(int32(z + 1))
	f.countAtAgent(a.Header.Get(agent.HeaderAgent))
	return a, nil
}

// countAtAgent counts the flow at its agent unless it is counted already.
func (f *flow) countAtAgent(agentID string) {
	if agentID != "" && !f.counted {
		f.counted = true
		f.agentID.Store(&agentID)
		f.rec.addFlows(f.name(), agentID, 1)
	}
}

// failure is the reason why a request failed.
type failure uint8

const (
	// failureBroken means that the flow broke during the request.
	failureBroken failure = iota
	// failureZoneOut means that the availability zone of the flow was taken out.
	failureZoneOut
	// failureUpstreamKilled means that the VM of the flow's upstream was killed.
	failureUpstreamKilled
	// failureRejected means that the agent rejected the request and asked for a new
	// flow.
	failureRejected
	// failureCanceled means that the context of the caller ended.
	failureCanceled
)

// classify returns the reason why a request failed.
func (f *flow) classify(ctx context.Context, err error) failure {
	var app *quic.ApplicationError
	var h *http3.Error
	switch {
	case ctx.Err() != nil:
		return failureCanceled
	case errors.As(err, &h) && h.ErrorCode == http3.ErrCodeRequestRejected:
		return failureRejected
	case errors.As(err, &app) && strings.Contains(app.ErrorMessage, "zone out"):
		return failureZoneOut
	case (wasReset(err) || wasClosedInHandshake(err)) && f.s.isAnyZoneOut():
		return failureZoneOut // probably opened in a zone that is out, before any answer named its zone
	case f.s.isZoneOut(bundle.ZoneID(f.zone.Load())), f.s.isZoneOut(bundle.ZoneID(f.upstreamZone.Load())):
		return failureZoneOut
	case strings.Contains(err.Error(), "graceful shutdown"):
		return failureRejected
	case errors.As(err, &h) && !h.Remote && h.ErrorCode == http3.ErrCodeNoError:
		return failureRejected
	}
	if p := f.agentID.Load(); p != nil && f.s.wasKilled(*p) {
		return failureUpstreamKilled
	}
	return failureBroken
}

// wasReset reports whether the flow was closed by a stateless reset.
func wasReset(err error) bool {
	var r *quic.StatelessResetError
	return errors.As(err, &r)
}

// wasClosedInHandshake reports whether the agent closed the flow before it had seen the end
// of the handshake. It can't give a reason then.
func wasClosedInHandshake(err error) bool {
	var t *quic.TransportError
	return errors.As(err, &t) && t.Remote && t.ErrorCode == quic.ApplicationErrorErrorCode
}

// countFailure counts a failed request in the report.
func (f *flow) countFailure(x failure, err error, what string) {
	switch x {
	case failureBroken:
		f.rec.addCause(fmt.Sprintf("%s: %v", what, err))
		f.describeBroken(err, what)
	case failureZoneOut:
		f.rec.update(func(r *Report) { r.FlowsGivenUpWithZone++ })
	case failureUpstreamKilled:
		f.rec.update(func(r *Report) { r.FlowsLostWithUpstream++ })
	}
}

// errFeedRefused is returned when the feed was refused before its first line; the
// caller may retry.
var errFeedRefused = errors.New("feed was refused")

// feed requests a feed and reads it to its last line.
func (f *flow) feed(ctx context.Context, callerName string, lines int, every time.Duration) error {
	a, err := f.send(ctx, http.MethodGet, fmt.Sprintf("/feed?caller=%s&lines=%d&every=%s", callerName, lines, every), nil, "")
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		f.rec.update(func(r *Report) { r.RequestsRefused++ })
		return errFeedRefused
	}
	d := json.NewDecoder(a.Body)
	for seq := 1; ; seq++ {
		var l standin.Line
		if err := d.Decode(&l); err != nil {
			return eris.Wrapf(err, "feed after %d of %d lines", seq-1, lines)
		}
		wrong := l.Seq != seq || l.Caller != callerName || l.Service != f.name()
		f.rec.update(func(r *Report) {
			r.FeedLines++
			if wrong {
				r.RequestsWrong++
			}
			if l.Last {
				r.FeedsWhole++
			}
		})
		if l.Last {
			return nil
		}
	}
}
