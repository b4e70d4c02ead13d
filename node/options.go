// Package node implements the balancer and agent programs of datagram services on the VMs
// of the users' platform. It provides the sockets, the access to the platform's store,
// the settings and the signal handling; package datagram makes the decisions.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/metrics"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/settings"
)

// Options are the command-line options of a datagram balancer or agent: the settings that
// are not in the platform's settings file.
type Options struct {
	Settings  string   `help:"Settings file that the platform provides for this VM." required:"" env:"POMELOWAY_BOOT" type:"path" placeholder:"FILE" group:"Place"`
	Keys      []string `help:"Fleet keys as id:secret, as printed by pomeloway key new." required:"" env:"POMELOWAY_KEYS" group:"Keys"`
	Metrics   uint16   `help:"Port of the HTTP endpoints for operators: /metrics, /state; 0 to serve none." default:"9464" env:"POMELOWAY_METRICS" group:"Addresses"`
	Placement string   `help:"How a balancer chooses the upstream of a new flow: auto (by expected time, for services that have a route with a target latency) or count (by the number of flows and requests)." default:"auto" env:"POMELOWAY_PLACEMENT" placeholder:"auto|count" group:"Load"`
	Lines     int      `help:"Maximum number of log lines per second about flows and requests; lines above this number are only counted." default:"200" env:"POMELOWAY_LOG_LINES" group:"Logs"`
	// Admission is auto or off; empty means auto.
	Admission string `help:"What happens when a service with routes of several priorities gets more work than its upstreams can do: auto refuses openings of the less urgent routes by the service's admission level, off lets all openings wait." default:"auto" env:"POMELOWAY_ADMISSION" group:"Overload"`
	// AccountPrefix is from 8 to 32; 0 means 32.
	AccountPrefix uint8 `help:"Length of the address prefix that the callers of one account share, 8 to 32. At overload, capacity is shared fairly among accounts." default:"32" env:"POMELOWAY_ACCOUNT_PREFIX" group:"Overload"`
}

// admission returns the setting for the balancer or agent.
func (o *Options) admission() datagram.Admission {
	if o.Admission == admissionOff {
		return datagram.AdmitAll
	}
	return datagram.AdmitByLevel
}

// Values of Options.Admission, and its environment variable.
const (
	admissionAuto     = "auto"
	admissionOff      = "off"
	admissionVariable = "POMELOWAY_ADMISSION"
	accountVariable   = "POMELOWAY_ACCOUNT_PREFIX"
)

// linesVariable is the environment variable of Options.Lines.
const linesVariable = "POMELOWAY_LOG_LINES"

// Values of Options.Placement. An empty one is placementAuto.
const (
	placementAuto  = "auto"
	placementCount = "count"
)

// Validate returns all invalid options as one error, each with its flag.
func (o *Options) Validate() error {
	var f settings.Errors
	f.RequireVariable(o.Settings != "", "--settings", platform.SettingsVariable, "is missing; give the path of the settings file that the platform provides")
	f.Require(len(o.Keys) > 0, "--keys", "is missing; create a key with `pomeloway key new`")
	_, err := keyring.Parse(o.Keys)
	f.AddError("--keys", err)
	f.RequireVariable(o.Lines >= 0, "--lines", linesVariable, "must be 0 or more")
	f.RequireVariable(o.Admission == "" || o.Admission == admissionAuto || o.Admission == admissionOff, "--admission", admissionVariable,
		fmt.Sprintf("must be auto or off, not %q", o.Admission))
	f.Require(slices.Contains([]string{"", placementAuto, placementCount}, o.Placement), "--placement",
		fmt.Sprintf("must be %s or %s, not %q", placementAuto, placementCount, o.Placement))
	f.RequireVariable(o.AccountPrefix == 0 || o.AccountPrefix >= 8 && o.AccountPrefix <= 32, "--account-prefix", accountVariable,
		fmt.Sprintf("must be from 8 to 32, not %d", o.AccountPrefix))
	return f.ErrOrNil()
}

// placement returns how balancers choose agents.
func (o *Options) placement() datagram.Placement {
	if o.Placement == placementCount {
		return datagram.PlaceByTwoChoices
	}
	return datagram.PlaceByTime
}

// base holds what the balancer and the agent have in common.
type base struct {
	options   Options
	role      platform.Role
	settings  *platform.Settings                // as loaded at the start
	live      atomic.Pointer[platform.Settings] // as loaded last
	keys      link.Keys
	viewKey   []byte // authenticates views
	log       *events.Log
	life      datagram.Life // random ID of this run
	metrics   *metrics.Metrics
	durations histograms
}

func newBase(o Options, r platform.Role, l *slog.Logger) (*base, error) {
	s, err := platform.LoadSettings(o.Settings, r)
	if err != nil {
		return nil, err
	}
	ring, err := keyring.Parse(o.Keys)
	if err != nil {
		return nil, err
	}
	if l != nil {
		l = l.With(slog.String("node", s.Node)) // the logs of many processes are read together
	}
	b := &base{options: o, role: r, settings: s, keys: link.NewKeys(ring), log: events.NewLog(l), life: datagram.Life(rand.Uint64())}
	b.live.Store(s)
	b.metrics = metrics.New()
	b.durations = newHistograms(b.metrics.Scope.SubScope(string(r)))
	b.viewKey = ring[0].Derive(keyring.UseView, keyring.SecretSize)
	return b, nil
}

// awaitStop waits until the program is asked to stop and logs it. It returns false if the
// program ends first.
func (b *base) awaitStop(stopped, ended context.Context) bool {
	select {
	case <-stopped.Done():
		b.log.Add(events.Draining)
		return true
	case <-ended.Done():
		return false
	}
}

// self returns the address of this process.
func (b *base) self() datagram.IP { return datagram.IPOf(b.settings.IP) }

// record returns the record of this process in the store.
func (b *base) record() platform.Process {
	return platform.Process{Address: b.settings.IP.String(), Role: b.role, Zone: b.settings.Zone, Service: b.settings.Service}
}

// recordName returns the name of this process's record in the store.
func (b *base) recordName() string { return fmt.Sprintf("%s-%s", b.role, b.settings.IP) }

// metricsAddress returns the address at which metrics are served, or the zero AddrPort if
// they are not served.
func (b *base) metricsAddress() netip.AddrPort {
	if b.options.Metrics == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(b.settings.IP, b.options.Metrics)
}
