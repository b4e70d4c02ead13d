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
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/standin"
)

// Timeouts of callers. The idle timeout and the keep-alive period make callers
// detect a silent path as fast as the agents do.
const (
	callerIdle      = 8 * time.Second
	callerKeepAlive = 2 * time.Second
	openTimeout     = 6 * time.Second
	requestTimeout  = 20 * time.Second
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
	// workZone is the zone of the upstream that sent the last answer. It differs
	// from zone if the agent forwarded the request to another agent.
	workZone atomic.Int32
	at       atomic.Pointer[string]
	counted  bool
	// moved holds functions that close the ports which the flow has migrated to.
	moved []func()
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
	f.conn, err = f.tr.Dial(ctx, net.UDPAddrFromAddrPort(f.s.ServiceAddress(f.service)), f.s.callers, &quic.Config{
		MaxIdleTimeout: callerIdle, KeepAlivePeriod: callerKeepAlive, HandshakeIdleTimeout: openTimeout,
	})
	if err != nil {
		f.close()
		return nil, err
	}
	f.h3 = (&http3.Transport{}).NewClientConn(f.conn)
	f.rec.do(func(r *Report) { r.FlowsOpened++ })
	// The first answer names the agent and the zone of the flow. They are needed
	// to distinguish a flow that is closed with its zone from one that broke.
	if _, err := f.do(context.WithoutCancel(ctx), http.MethodPost, agent.PathKey, nil, ""); err != nil {
		f.note(f.classify(context.Background(), err), err, "first request")
		f.close()
		return nil, err
	}
	return f, nil
}

// move migrates the flow to a new port, as a caller does when its path has become
// silent.
func (f *flow) move(ctx context.Context) error {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	t := &quic.Transport{Conn: c}
	f.moved = append(f.moved, func() { t.Close(); c.Close() })
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
	if p := f.at.Load(); p != nil {
		f.rec.flow(f.name(), *p, -1)
	}
	if f.socket != nil {
		f.tr.Close()
		f.socket.Close()
	}
	for _, c := range f.moved {
		c()
	}
}

// name returns the name of the service.
func (f *flow) name() string { return string(f.s.Deployment.Services[f.service].Name) }

// result is the answer to a request.
type result struct {
	status  int
	outcome agent.Outcome
	body    []byte
	header  http.Header
	retry   time.Duration
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
	r, err := http.NewRequestWithContext(ctx, method, "https://"+callerName+path, bytes.NewReader(body))
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
	f.workZone.Store(int32(z + 1))
	f.place(a.Header.Get(agent.HeaderAgent))
	return a, nil
}

// place counts the flow at its agent unless it is counted already.
func (f *flow) place(at string) {
	if at != "" && !f.counted {
		f.counted = true
		f.at.Store(&at)
		f.rec.flow(f.name(), at, 1)
	}
}

// fault is the reason why a request failed.
type fault uint8

const (
	// faultFlow means that the flow broke during the request.
	faultFlow fault = iota
	// faultZone means that the availability zone of the flow was taken out.
	faultZone
	// faultUpstream means that the VM of the flow's upstream was killed by the
	// script.
	faultUpstream
	// faultMoved means that the agent rejected the request and asked for a new
	// flow.
	faultMoved
	// faultTime means that the context of the caller ended.
	faultTime
)

// classify returns the reason why a request failed.
func (f *flow) classify(ctx context.Context, err error) fault {
	var app *quic.ApplicationError
	var h *http3.Error
	switch {
	case ctx.Err() != nil:
		return faultTime
	case errors.As(err, &h) && h.ErrorCode == http3.ErrCodeRequestRejected:
		return faultMoved
	case errors.As(err, &app) && strings.Contains(app.ErrorMessage, "zone out"):
		return faultZone
	case wasReset(err) && f.s.anyOut():
		return faultZone // opened there, but no answer named the zone yet
	case f.s.wasOut(bundle.ZoneID(f.zone.Load())), f.s.wasOut(bundle.ZoneID(f.workZone.Load())):
		return faultZone
	case strings.Contains(err.Error(), "graceful shutdown"):
		return faultMoved
	case errors.As(err, &h) && !h.Remote && h.ErrorCode == http3.ErrCodeNoError:
		return faultMoved
	}
	if p := f.at.Load(); p != nil && f.s.wasKilled(*p) {
		return faultUpstream
	}
	return faultFlow
}

// wasReset reports whether the flow was closed by a stateless reset.
func wasReset(err error) bool {
	var r *quic.StatelessResetError
	return errors.As(err, &r)
}

// note counts a failed request in the report.
func (f *flow) note(x fault, err error, what string) {
	switch x {
	case faultFlow:
		f.rec.cause(fmt.Sprintf("%s: %v", what, err))
		f.rec.do(func(r *Report) { r.BrokenFlows++ })
	case faultZone:
		f.rec.do(func(r *Report) { r.FlowsGivenUpWithZone++ })
	case faultUpstream:
		f.rec.do(func(r *Report) { r.FlowsLostWithUpstream++ })
	}
}

// errFeedRefused is returned when the feed was refused before its first line; the
// caller may retry.
var errFeedRefused = errors.New("feed was refused")

// feed requests a feed and reads it to its last line.
func (f *flow) feed(ctx context.Context, me string, lines int, every time.Duration) error {
	a, err := f.send(ctx, http.MethodGet, fmt.Sprintf("/feed?caller=%s&lines=%d&every=%s", me, lines, every), nil, "")
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		f.rec.do(func(r *Report) { r.RequestsRefused++ })
		return errFeedRefused
	}
	d := json.NewDecoder(a.Body)
	for seq := 1; ; seq++ {
		var l standin.Line
		if err := d.Decode(&l); err != nil {
			return eris.Wrapf(err, "feed after %d of %d lines", seq-1, lines)
		}
		wrong := l.Seq != seq || l.Caller != me || l.Service != f.name()
		f.rec.do(func(r *Report) {
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
