// Package agent implements the program that runs beside each upstream. It terminates
// callers' flows, and it alone decides which flows and requests its upstream gets.
//
// Terms: a caller is a client, a flow is one of its QUIC connections, and an opening is
// the first datagrams of a flow, which carry its handshake. A feed is a long-lived
// streaming response. Siblings are the other agents of the same service. The home of an
// idempotency key is the agent that issued it. An availability zone is out while
// operators have taken it out of service.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/idempotency"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/process"
	"pomeloway.example/pomeloway/quiclb"
	"pomeloway.example/pomeloway/upstream"
)

// Agent terminates the flows of one upstream and dispatches their requests.
type Agent struct {
	*process.Process
	opts     Options
	conn     *conn
	disp     *dispatcher
	handler  *handler
	flows    *flowTable
	tokenKey atomic.Pointer[quiclb.Key]
	tr       *quic.Transport
	h3       *http3.Server

	// zoneOut is set while the agent's availability zone is out.
	zoneOut atomic.Bool
	// stopping is set once the agent itself was asked to stop. From then on it does not
	// become ready again when its upstream stops draining.
	stopping atomic.Bool
	version  bundle.Version
	kill     chan struct{}
	killOnce sync.Once
	ticks    int
	// loggedCrossed and loggedDropped are the counts at the last AnswerDropped event.
	loggedCrossed, loggedDropped uint64
}

// New creates an agent and opens its sockets.
func New(o Options, l *slog.Logger, off guard.Off) (*Agent, error) {
	t, err := o.callerTLS()
	if err != nil {
		return nil, err
	}
	s, err := link.Listen(o.Link)
	if err != nil {
		return nil, eris.Wrap(err, "--link")
	}
	o.Link = s.Addr()
	a := &Agent{opts: o, flows: newFlowTable(), kill: make(chan struct{})}
	a.disp = &dispatcher{
		gate: &upstream.Gate{}, client: upstream.NewClientWithTransport(o.Upstream, o.transport()),
		siblings:       &siblings{service: o.Service, self: fleet.NewID(fleet.RoleAgent, o.Link)},
		disabledGuards: off, counts: &RequestCounts{},
	}
	a.handler = &handler{dispatcher: a.disp, zone: o.Zone}
	if a.Process, err = process.New(o.Options, fleet.RoleAgent, o.Service, l, a.handler.peerHandler()); err != nil {
		s.Close()
		return nil, err
	}
	self := a.Node.Self()
	a.disp.log, a.disp.peers, a.disp.incarnation = a.Log, a.Peers, self.Incarnation
	d := bundle.Timeouts{}.OrDefault()
	a.disp.timeouts.Store(&d)
	a.handler.keyedRequests = &keyedRequests{d: a.disp, home: self.Peer, incarnation: self.Incarnation, state: a.State, zone: strconv.Itoa(int(o.Zone))}
	a.conn = newConn(s, o.Service, o.Zone, self.Incarnation, a.admitFlow, a.flows.len, a.Log)
	a.conn.paths.onChange = func(live []netip.AddrPort) {
		a.Log.Add(events.ReturnPathMoved, slog.Any("balancers", live))
	}
	a.setKeys(a.Keys())
	a.setUpFlowServer(t, self)
	a.SetProgramState(func() any { return a.Counts() })
	return a, nil
}

// setUpFlowServer creates the QUIC transport and the HTTP/3 server for callers' flows.
func (a *Agent) setUpFlowServer(t *tls.Config, self fleet.Member) {
	reset := quic.StatelessResetKey(a.Keys()[0].Derive(keyring.UseReset, 32))
	a.tr = &quic.Transport{
		Conn: a.conn, StatelessResetKey: &reset,
		ConnectionIDGenerator: &quiclb.Generator{Key: a.tokenKey.Load, Route: quiclb.Route{
			Service: a.opts.Service, Zone: a.opts.Zone, Agent: self.Link,
			Incarnation: quiclb.Incarnation(self.Incarnation),
		}},
	}
	a.h3 = &http3.Server{Handler: a.handler, TLSConfig: http3.ConfigureTLSConfig(t), ConnContext: a.registerFlow, MaxHeaderBytes: maxHeaderBytes}
}

const maxHeaderBytes = 64 << 10

// registerFlow adds a new flow to the flow table and stores its ID in the connection's
// context.
func (a *Agent) registerFlow(ctx context.Context, c *quic.Conn) context.Context {
	id := a.flows.add(c, func() {
		a.Log.Add(events.FlowClosed, slog.String("caller", c.RemoteAddr().String()), slog.Any("cause", context.Cause(c.Context())))
	})
	return context.WithValue(ctx, flowKey{}, id)
}

// quicConfig returns the QUIC settings of callers' flows. Both sides send keep-alives
// more often than middleboxes drop idle mappings, and detect a dead path within
// seconds.
func (a *Agent) quicConfig() *quic.Config {
	return &quic.Config{
		GetConfigForClient: func(i *quic.ClientInfo) (*quic.Config, error) { return a.configFor(i) },
	}
}

var errRefused = errors.New("no agent has capacity for the flow")

// configFor returns the QUIC settings of a new flow, or errRefused if the opening of
// its caller is to be refused.
func (a *Agent) configFor(i *quic.ClientInfo) (*quic.Config, error) {
	if u, ok := addrPort(i.RemoteAddr); ok && a.conn.refused.has(u, time.Now()) {
		return nil, errRefused
	}
	t := a.disp.timeouts.Load()
	return &quic.Config{
		MaxIdleTimeout: t.Idle, KeepAlivePeriod: t.KeepAlive,
		HandshakeIdleTimeout: handshakeTimeout, MaxIncomingStreams: maxStreamsPerFlow,
		InitialPacketSize: link.MaxPayload,
	}, nil
}

const (
	handshakeTimeout  = 5 * time.Second
	maxStreamsPerFlow = 256
)

// Run serves until stopped ends, then drains the agent and returns.
func (a *Agent) Run(stopped context.Context) error {
	var g run.Group
	a.AddTo(&g)
	ctx, stop := context.WithCancel(context.Background())
	l, err := a.tr.ListenEarly(a.h3.TLSConfig, a.quicConfig())
	if err != nil {
		stop()
		return eris.Wrap(err, "flows")
	}
	g.Add(func() error { return a.leave(ctx, stopped) }, func(error) { stop() })
	g.Add(func() error { return a.followFleet(ctx) }, func(error) { stop() })
	g.Add(func() error { return a.watchHealth(ctx) }, func(error) { stop() })
	g.Add(func() error { return a.acceptFlows(ctx, l) }, func(error) { a.h3.Close(); l.Close(); a.tr.Close(); a.conn.Close() })
	a.Log.Add(events.Started, slog.String("program", "agent"), slog.String("link", a.opts.Link.String()))
	err = g.Run()
	a.disp.client.Close()
	a.Log.Add(events.Stopped, slog.String("program", "agent"))
	return err
}

// acceptFlows serves flows until the context ends. During a shutdown ServeListener
// returns at once while open flows continue, so acceptFlows then waits for the context.
func (a *Agent) acceptFlows(ctx context.Context, l http3.QUICListener) error {
	err := a.h3.ServeListener(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, quic.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// Kill stops the agent at once, without draining it, as a crash would.
func (a *Agent) Kill() { a.killOnce.Do(func() { close(a.kill) }) }

const (
	// reviewInterval is how often silent balancers are removed from the return paths.
	// It limits how late a return path moves to another balancer.
	reviewInterval = 250 * time.Millisecond
	// doubtInterval is how often the agent re-evaluates which members are doubted
	// (considered failed) while the fleet's view does not change. Doubts take effect
	// only after some time.
	doubtInterval = 5 * time.Second
)

// followFleet applies changes of the fleet's view and runs the periodic checks.
func (a *Agent) followFleet(ctx context.Context) error {
	t := time.NewTicker(reviewInterval)
	defer t.Stop()
	doubtTicker := time.NewTicker(doubtInterval)
	defer doubtTicker.Stop()
	changed := fleet.ClosedChannel()
	for {
		select {
		case <-changed:
			changed = a.State.Changed()
			a.applyView(ctx)
		case <-doubtTicker.C:
			a.applyView(ctx)
		case <-t.C:
			a.conn.paths.expire(time.Now())
			a.runHousekeeping()
		case <-ctx.Done():
			return nil
		}
	}
}

// reviewsPerCollection is the number of review intervals between two collections of
// expired journal entries.
const reviewsPerCollection = 240

// runHousekeeping logs newly dropped responses and, every reviewsPerCollection calls,
// collects expired journal entries.
func (a *Agent) runHousekeeping() {
	if c, d := a.disp.client.Crossed.Load(), a.disp.client.Dropped.Load(); c != a.loggedCrossed || d != a.loggedDropped {
		a.Log.Add(events.AnswerDropped, slog.Uint64("crossed", c-a.loggedCrossed), slog.Uint64("dropped", d-a.loggedDropped))
		a.loggedCrossed, a.loggedDropped = c, d
	}
	if a.ticks++; a.ticks%reviewsPerCollection == 0 {
		a.handler.keyedRequests.journal.RemoveExpired(time.Now())
	}
}

// applyView applies the fleet's view: the bundle, if it is a new version, and the members.
func (a *Agent) applyView(ctx context.Context) {
	x := a.State.Accepted()
	if x == nil {
		return
	}
	if x.Version != a.version {
		a.version = x.Version
		a.applyBundle(ctx, x)
	}
	ms, _ := a.State.Snapshot()
	a.conn.paths.updateMembers(ms, x.Bundle, time.Now())
	a.disp.siblings.set(ms, a.State.Doubted(), x.Bundle)
}

func (a *Agent) applyBundle(ctx context.Context, x *bundle.Accepted) {
	r, err := a.KeysFor(x)
	if err != nil {
		a.Log.Add(events.BundleRefused, slog.Uint64("version", uint64(x.Version)), slog.String("error", err.Error()))
	}
	if len(r) > 0 {
		a.setKeys(r)
		if err := a.SetPeerKeys(r); err != nil {
			a.Log.Add(events.BundleRefused, slog.Uint64("version", uint64(x.Version)), slog.String("error", err.Error()))
		}
	}
	t := x.Bundle.Timeouts.OrDefault()
	a.disp.timeouts.Store(&t)
	s := x.Bundle.Service(a.opts.Service)
	a.disp.service.Store(s)
	if s != nil {
		a.disp.gate.SetLimits(s.Upstreams)
		a.disp.client.CheckID.Store(s.Upstreams.AnswersCarryID && !a.disp.disabledGuards.Disabled(guard.Match))
	}
	a.SetReady(s != nil && !a.disp.leaving.Load())
	a.setZoneOut(ctx, x.Bundle.ZoneOut(a.opts.Zone), t.ZoneOutRun)
}

// setKeys installs a key ring for the link, the connection IDs and the idempotency
// keys.
func (a *Agent) setKeys(r keyring.Ring) {
	ks := link.NewKeys(r)
	a.conn.keys.Store(&ks)
	a.tokenKey.Store(quiclb.NewKey(r[0]))
	a.handler.keyedRequests.sealer.Store(idempotency.NewSealer(r))
}

// setZoneOut applies the state of the agent's availability zone. After the zone goes
// out, all flows are closed at the end of the grace period; their loss is accepted.
// Callers can then open flows in other zones at once. Without the close they would wait
// for the idle timeout.
func (a *Agent) setZoneOut(ctx context.Context, out bool, grace time.Duration) {
	if out == a.zoneOut.Load() || a.disp.disabledGuards.Disabled(guard.Zone) {
		return
	}
	a.zoneOut.Store(out)
	if !out {
		a.handler.siblingRequests.syncZone(&a.zoneOut)
		a.Log.Add(events.ZoneIn, slog.Int("zone", int(a.opts.Zone)))
		return
	}
	a.Log.Add(events.ZoneOut, slog.Int("zone", int(a.opts.Zone)))
	go func() {
		t := time.NewTimer(grace)
		defer t.Stop()
		select {
		case <-t.C:
			if a.zoneOut.Load() {
				a.handler.siblingRequests.syncZone(&a.zoneOut)
				a.flows.closeAll(codeZoneOut, "availability zone out")
			}
		case <-ctx.Done():
		}
	}()
}

// codeZoneOut closes the flows of an availability zone that is out. It is H3_NO_ERROR,
// so callers see an orderly close and open new flows.
const codeZoneOut = quic.ApplicationErrorCode(http3.ErrCodeNoError)

// admitFlow returns the reason why the agent can't accept another flow, or an empty
// reason if it can.
func (a *Agent) admitFlow() events.Reason {
	s := a.disp.service.Load()
	switch {
	case s == nil:
		return events.ReasonNoCandidate
	case a.disp.isLeaving():
		return events.ReasonLeaving
	case a.zoneOut.Load():
		return events.ReasonZoneOut
	case a.flows.len() >= s.Upstreams.Connections:
		return events.ReasonFull
	}
	return ""
}

// Counts is a snapshot of an agent's load and counters. The fields from Placed to Cut
// count requests: Placed were sent to the agent's own upstream, Passed to a sibling and
// ToHome to their key's home; Refused and Unknown were refused with the outcome
// "not-run" or "unknown"; Replayed got a recorded response; the responses of Cut were
// cut off. Crossed counts responses that arrived on another request's connection,
// Dropped those that no request was waiting for. Strange counts link messages without a
// valid tag and stale heartbeats, Foreign those for another service, as after an address was
// reused, and Unrouted outgoing datagrams for which no balancer was known.
type Counts struct {
	Flows    int           `json:"flows"`
	Load     upstream.Load `json:"load"`
	Running  int64         `json:"running"`
	Placed   uint64        `json:"placed"`
	Passed   uint64        `json:"passed"`
	Refused  uint64        `json:"refused"`
	Unknown  uint64        `json:"unknown"`
	Replayed uint64        `json:"replayed"`
	ToHome   uint64        `json:"toHome"`
	Cut      uint64        `json:"cut"`
	Crossed  uint64        `json:"crossed"`
	Dropped  uint64        `json:"dropped"`
	Journal  int           `json:"journal"`
	Leaving  bool          `json:"leaving"`
	ZoneOut  bool          `json:"zoneOut"`
	Strange  uint64        `json:"strange"`
	Foreign  uint64        `json:"foreign"`
	Unrouted uint64        `json:"unrouted"`
}

// FlowAddresses returns the addresses of the callers of the open flows, as the log has them.
func (a *Agent) FlowAddresses() []string { return a.flows.addresses() }

// Counts returns the current counts.
func (a *Agent) Counts() Counts {
	c := a.disp.counts
	return Counts{
		Flows: a.flows.len(), Load: a.disp.gate.Load(), Running: a.disp.running.Load(),
		Placed: c.Placed.Load(), Passed: c.Passed.Load(), Refused: c.Refused.Load(), Unknown: c.Unknown.Load(),
		Replayed: c.Replayed.Load(), ToHome: c.ToHome.Load(), Cut: c.Cut.Load(),
		Crossed: a.disp.client.Crossed.Load(), Dropped: a.disp.client.Dropped.Load(),
		Journal: a.handler.keyedRequests.journal.Len(), Leaving: a.disp.leaving.Load(), ZoneOut: a.zoneOut.Load(),
		Strange: a.conn.Invalid.Load(), Foreign: a.conn.Foreign.Load(), Unrouted: a.conn.Unrouted.Load(),
	}
}
