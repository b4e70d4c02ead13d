// Package bundle is the configuration that operators sign and roll out: its
// types, its YAML form, its checks and its signed, versioned envelope.
package bundle

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/c2h5oh/datasize"
)

// ServiceID identifies a service on the wire; zero is never valid.
type ServiceID uint16

// ZoneID identifies an availability zone on the wire; zero is never valid.
type ZoneID uint8

// KeyID identifies one fleet key; zero is never valid.
type KeyID uint8

// Name is what operators call a service or an availability zone.
type Name string

// Bundle is one whole configuration of the fleet.
type Bundle struct {
	Services   []Service `yaml:"services"`
	Zones      []Zone    `yaml:"zones"`
	Keys       []Key     `yaml:"keys"`
	CurrentKey KeyID     `yaml:"currentKey"`
	Timeouts   Timeouts  `yaml:"timeouts,omitempty"`
}

// Service returns the service with the given id, or nil.
func (b *Bundle) Service(i ServiceID) *Service {
	for n := range b.Services {
		if b.Services[n].ID == i {
			return &b.Services[n]
		}
	}
	return nil
}

// ZoneOut reports whether operators have taken the availability zone out.
// A zone that the bundle does not name counts as out.
func (b *Bundle) ZoneOut(i ZoneID) bool {
	for _, z := range b.Zones {
		if z.ID == i {
			return z.State == ZoneStateOut
		}
	}
	return true
}

// Service is one service: where callers reach it and what its upstreams bear.
type Service struct {
	ID        ServiceID      `yaml:"id"`
	Name      Name           `yaml:"name"`
	Address   netip.AddrPort `yaml:"address"`
	Protocol  Protocol       `yaml:"protocol"`
	Upstreams Limits         `yaml:"upstreams"`
	Routes    []Route        `yaml:"routes,omitempty"`
}

// Holds returns what a request for the path takes from its upstream.
// The longest matching prefix decides; without one it is a slot.
func (s *Service) Holds(path string) Holding {
	best, h := -1, HoldingSlot
	for _, r := range s.Routes {
		if len(r.Prefix) > best && len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix {
			best, h = len(r.Prefix), r.Holds
		}
	}
	return h
}

// Limits says how much work each upstream of a service takes.
type Limits struct {
	Slots       int       `yaml:"slots"`
	Connections int       `yaml:"connections"`
	Queue       int       `yaml:"queue,omitempty"`
	ColdStart   ColdStart `yaml:"coldStart"`
	// Body is the longest body of a request, such as 64MB; zero means any.
	Body Size `yaml:"body,omitempty"`
	// ShedStatus is the HTTP status by which an upstream says that it has not
	// run a request; zero means that no status says so.
	ShedStatus int `yaml:"shedStatus,omitempty"`
	// AnswersCarryID says that upstreams repeat the request's id in the answer.
	AnswersCarryID bool `yaml:"answersCarryID,omitempty"`
}

// Size is a length in bytes, written such as 64MB; MB is 1024 kB.
type Size uint64

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(b []byte) error {
	var v datasize.ByteSize
	if err := v.UnmarshalText(b); err != nil {
		return fmt.Errorf("%q is not a size such as 64MB", b)
	}
	*s = Size(v)
	return nil
}

// defaultQueueShare is the queue's length for each slot when none is given.
const defaultQueueShare = 4

// QueueLength returns how many requests may wait for an upstream's slots.
func (l *Limits) QueueLength() int {
	if l.Queue > 0 {
		return l.Queue
	}
	return l.Slots * defaultQueueShare
}

// ColdStart says what an upstream in cold start bears.
type ColdStart struct {
	// Slots is the work in flight that a cold upstream bears.
	Slots int `yaml:"slots"`
	// Answers is the count of good answers that double the allowance.
	Answers int `yaml:"answers"`
}

// Route says what the requests below a path prefix hold.
type Route struct {
	Prefix string  `yaml:"prefix"`
	Holds  Holding `yaml:"holds"`
}

// Zone is an availability zone and the state that operators gave it.
type Zone struct {
	ID    ZoneID    `yaml:"id"`
	Name  Name      `yaml:"name"`
	State ZoneState `yaml:"state"`
}

// Key names a fleet key by the public fingerprint of its secret.
type Key struct {
	ID          KeyID  `yaml:"id"`
	Fingerprint string `yaml:"fingerprint"`
}

// Timeouts bounds waiting; a zero field means its default.
type Timeouts struct {
	Request    time.Duration `yaml:"request,omitempty"`
	Queue      time.Duration `yaml:"queue,omitempty"`
	KeepAlive  time.Duration `yaml:"keepAlive,omitempty"`
	Idle       time.Duration `yaml:"idle,omitempty"`
	OrderKey   time.Duration `yaml:"orderKey,omitempty"`
	ZoneOutRun time.Duration `yaml:"zoneOutRun,omitempty"`
}

// Defaults of Timeouts. Idle is four keep-alives, so that a path which went
// silent is found within the ten seconds that operators were promised.
const (
	defaultRequest    = 10 * time.Minute
	defaultQueue      = 2 * time.Second
	defaultKeepAlive  = 2 * time.Second
	defaultIdle       = 8 * time.Second
	defaultOrderKey   = 2 * time.Minute
	defaultZoneOutRun = time.Second
)

// OrDefault returns t with each zero field replaced by its default.
func (t Timeouts) OrDefault() Timeouts {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Request, defaultRequest)
	set(&t.Queue, defaultQueue)
	set(&t.KeepAlive, defaultKeepAlive)
	set(&t.Idle, defaultIdle)
	set(&t.OrderKey, defaultOrderKey)
	set(&t.ZoneOutRun, defaultZoneOutRun)
	return t
}

// Protocol is what callers speak to a service.
type Protocol string

// ProtocolH3 is HTTP/3 over QUIC.
const ProtocolH3 Protocol = "h3"

// UnmarshalText checks the protocol while it is decoded.
func (p *Protocol) UnmarshalText(b []byte) error {
	return oneOf(p, b, ProtocolH3)
}

// ZoneState is in or out.
type ZoneState string

// States of an availability zone.
const (
	ZoneStateIn  ZoneState = "in"
	ZoneStateOut ZoneState = "out"
)

// UnmarshalText checks the state while it is decoded.
func (z *ZoneState) UnmarshalText(b []byte) error {
	return oneOf(z, b, ZoneStateIn, ZoneStateOut)
}

// Holding is what a request takes from its upstream while it runs.
type Holding string

// A slot is held by work; a connection is held by a feed that mostly waits.
const (
	HoldingSlot       Holding = "slot"
	HoldingConnection Holding = "connection"
)

// UnmarshalText checks the holding while it is decoded.
func (h *Holding) UnmarshalText(b []byte) error {
	return oneOf(h, b, HoldingSlot, HoldingConnection)
}

func oneOf[T ~string](t *T, b []byte, all ...T) error {
	for _, a := range all {
		if string(b) == string(a) {
			*t = a
			return nil
		}
	}
	return fmt.Errorf("%q is none of %v", b, all)
}
