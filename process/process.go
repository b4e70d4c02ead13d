// Package process implements what balancers and agents have in common: settings,
// the view of the fleet, the server for peers, metrics and the HTTP endpoints for
// operators.
package process

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/metrics"
	"pomeloway.example/pomeloway/peer"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/settings"
)

// Options are the command-line settings that balancers and agents share.
type Options struct {
	Zone     bundle.ZoneID    `help:"Number of the availability zone of this VM." required:"" env:"POMELOWAY_ZONE" group:"Place"`
	Link     netip.AddrPort   `help:"Address for datagrams between balancers and agents." required:"" env:"POMELOWAY_LINK" placeholder:"IP:PORT" group:"Addresses"`
	Peer     netip.AddrPort   `help:"Address for requests from the fleet's other processes." required:"" env:"POMELOWAY_PEER" placeholder:"IP:PORT" group:"Addresses"`
	Operator netip.AddrPort   `help:"Address of the HTTP endpoints for operators: /metrics, /readyz, /state, /version." required:"" env:"POMELOWAY_OPERATOR" placeholder:"IP:PORT" group:"Addresses"`
	Platform string           `help:"URL of the platform's object API." required:"" env:"POMELOWAY_PLATFORM" placeholder:"URL" group:"Platform"`
	Token    string           `help:"Bearer token for the platform." env:"POMELOWAY_TOKEN" group:"Platform"`
	Seeds    []netip.AddrPort `help:"Peer addresses of processes to read the fleet's state from if the platform is down at startup." env:"POMELOWAY_SEEDS" placeholder:"IP:PORT" group:"Platform"`
	Keys     []string         `help:"Fleet keys as id:secret, as printed by pomeloway key new." required:"" env:"POMELOWAY_KEYS" group:"Keys"`
	Trust    []string         `help:"Public keys of the operators whose signatures on bundles are accepted." required:"" env:"POMELOWAY_TRUST" group:"Keys"`
}

// Validate returns an error that lists all invalid settings, each with its flag.
func (o *Options) Validate() error {
	var f settings.Errors
	f.Require(o.Zone != 0, "--zone", "must be 1 to 255")
	f.RequireAddress("--link", o.Link)
	f.RequireAddress("--peer", o.Peer)
	f.RequireAddress("--operator", o.Operator)
	f.Require(len(o.Platform) > 8 && (o.Platform[:7] == "http://" || o.Platform[:8] == "https://"), "--platform", "must be an http or https URL")
	f.Require(len(o.Keys) > 0, "--keys", "is missing; create a key with `pomeloway key new`")
	f.Require(len(o.Trust) > 0, "--trust", "is missing; create a key pair with `pomeloway key operator`")
	_, err := keyring.Parse(o.Keys)
	f.AddError("--keys", err)
	_, err = bundle.NewVerifier(o.Trust)
	f.AddError("--trust", err)
	return f.ErrOrNil()
}

// Process holds the components that every program runs.
type Process struct {
	State *fleet.State
	Node  *peer.Node
	Peers *peer.Client
	Log   *events.Log
	Scope tally.Scope

	opts     Options
	ring     keyring.Ring
	identity *peer.Identity
	server   *peer.Server
	operator net.Listener
	metrics  *metrics.Metrics
	ready    atomic.Bool

	mu           sync.Mutex
	programState func() any
}

// New opens the listeners of a process and connects its components; AddTo runs them.
// next serves the peers' requests that package peer does not handle.
func New(o Options, role fleet.Role, service bundle.ServiceID, l *slog.Logger, next http.Handler) (*Process, error) {
	ring, err := keyring.Parse(o.Keys)
	if err != nil {
		return nil, err
	}
	v, err := bundle.NewVerifier(o.Trust)
	if err != nil {
		return nil, err
	}
	p := &Process{opts: o, ring: ring, Log: events.NewLog(l), State: fleet.NewState(v)}
	if p.identity, err = peer.NewIdentity(ring); err != nil {
		return nil, err
	}
	if p.server, err = peer.NewServer(o.Peer, p.identity, p.State, next); err != nil {
		return nil, eris.Wrap(err, "--peer")
	}
	if p.operator, err = net.Listen("tcp", o.Operator.String()); err != nil {
		p.server.Close()
		return nil, eris.Wrap(err, "--operator")
	}
	p.Peers = peer.NewClient(p.identity)
	p.Node = peer.NewNode(p.State, p.Peers, platform.NewClient(o.Platform, o.Token), p.Log, fleet.Member{
		ID: fleet.NewID(role, o.Link), Role: role, Zone: o.Zone, Service: service,
		Link: o.Link, Peer: p.server.Addr(), Operator: p.operator.Addr().String(),
		Incarnation: fleet.NewIncarnation(), Phase: fleet.PhaseReady,
	})
	p.Node.Seeds = o.Seeds
	p.metrics = metrics.New()
	p.Scope = p.metrics.Scope
	return p, nil
}

// KeysFor returns those of the process's secrets that the bundle lists.
func (p *Process) KeysFor(a *bundle.Accepted) (keyring.Ring, error) { return p.ring.Select(a.Bundle) }

// Keys returns all secrets that the process was configured with.
func (p *Process) Keys() keyring.Ring { return p.ring }

// SetPeerKeys replaces the keys that authenticate connections between peers.
func (p *Process) SetPeerKeys(r keyring.Ring) error { return p.identity.SetKeys(r) }

// SetReady sets whether this process should receive callers' datagrams, as
// reported by /readyz.
func (p *Process) SetReady(v bool) { p.ready.Store(v) }

// SetProgramState sets the function that returns the program's part of /state and of the
// metrics.
func (p *Process) SetProgramState(f func() any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.programState = f
}

// AddTo adds the process's background tasks and servers to the group.
func (p *Process) AddTo(g *run.Group) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return p.Log.Run(ctx) }, func(error) { stop() })
	ctx2, stop2 := context.WithCancel(context.Background())
	g.Add(func() error { return p.Node.Run(ctx2) }, func(error) { stop2() })
	g.Add(p.server.Run, func(error) { p.server.Close(); p.Peers.Close() })
	ctx3, stop3 := context.WithCancel(context.Background())
	g.Add(func() error { return p.publishMetrics(ctx3) }, func(error) { stop3() })
	s := &http.Server{Handler: p.handler(), ReadHeaderTimeout: metrics.Interval}
	g.Add(func() error { return ignoreClosed(s.Serve(p.operator)) }, func(error) { s.Close(); p.metrics.Close() })
}

// publishMetrics copies the program's counters to the metrics every
// metrics.Interval, so that the hot path never updates a shared metric.
func (p *Process) publishMetrics(ctx context.Context) error {
	t := time.NewTicker(metrics.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.setGauges()
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Process) setGauges() {
	v := p.Version()
	p.Scope.Gauge("bundle_version").Update(float64(v.Version))
	p.Scope.Gauge("ready").Update(metrics.BoolValue(v.Ready))
	p.Scope.Gauge("platform_down").Update(metrics.BoolValue(v.PlatformDown))
	p.Scope.Gauge("decisions_lost").Update(float64(p.Log.Lost()))
	p.mu.Lock()
	f := p.programState
	p.mu.Unlock()
	if f != nil {
		metrics.SetGauges(p.Scope.SubScope(string(p.Node.Self().Role)), f())
	}
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (p *Process) handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", p.metrics.Handler())
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	m.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Status()) })
	m.HandleFunc("GET /version", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Version()) })
	return m
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// Version is the JSON body of /version, which `pomeloway status` requests.
type Version struct {
	ID           fleet.MemberID `json:"id"`
	Ready        bool           `json:"ready"`
	Version      bundle.Version `json:"version"`
	Digest       bundle.Digest  `json:"digest,omitempty"`
	PlatformDown bool           `json:"platformDown"`
}

// Version returns the bundle in force in this process, and whether it is ready.
func (p *Process) Version() Version {
	v := Version{ID: p.Node.Self().ID, Ready: p.ready.Load(), PlatformDown: p.Node.PlatformDown()}
	if a := p.State.Accepted(); a != nil {
		v.Version, v.Digest = a.Version, a.Digest
	}
	return v
}

// Status is the JSON body of /state. It contains no secrets.
type Status struct {
	Self          fleet.Member    `json:"self"`
	Ready         bool            `json:"ready"`
	BundleVersion bundle.Version  `json:"bundleVersion"`
	BundleDigest  bundle.Digest   `json:"bundleDigest,omitempty"`
	PlatformDown  bool            `json:"platformDown"`
	DecisionsLost uint64          `json:"decisionsLost"`
	Members       []fleet.Member  `json:"members"`
	Opinions      []fleet.Opinion `json:"opinions"`
	Program       any             `json:"program,omitempty"`
}

// Status returns the current status of the process.
func (p *Process) Status() Status {
	v := p.Version()
	s := Status{
		Self: p.Node.Self(), Ready: v.Ready, BundleVersion: v.Version, BundleDigest: v.Digest,
		PlatformDown: v.PlatformDown, DecisionsLost: p.Log.Lost(),
	}
	s.Members, s.Opinions = p.State.Snapshot()
	p.mu.Lock()
	f := p.programState
	p.mu.Unlock()
	if f != nil {
		s.Program = f()
	}
	return s
}

// FollowResponses returns the number of responses sent to the peers that follow this
// process.
func (p *Process) FollowResponses() uint64 { return p.server.FollowResponses.Load() }
