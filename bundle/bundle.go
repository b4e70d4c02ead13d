// Package bundle defines the fleet configuration that operators sign and roll
// out: its types, YAML form, validation and signed, versioned envelope.
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

// Name is the name that operators gave to a service or an availability zone.
type Name string

// Bundle is a complete configuration of the fleet.
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

// ZoneOut reports whether operators have taken the availability zone out of
// service. A zone that the bundle does not list counts as out.
func (b *Bundle) ZoneOut(i ZoneID) bool {
	for _, z := range b.Zones {
		if z.ID == i {
			return z.State == ZoneStateOut
		}
	}
	return true
}

// Service describes a service: the address that callers connect to and the
// limits of its upstreams.
type Service struct {
	ID        ServiceID      `yaml:"id"`
	Name      Name           `yaml:"name"`
	Address   netip.AddrPort `yaml:"address"`
	Protocol  Protocol       `yaml:"protocol"`
	Upstreams Limits         `yaml:"upstreams"`
	Routes    []Route        `yaml:"routes,omitempty"`
}

// HoldingFor returns what a request for the path occupies on its upstream. The route
// with the longest matching prefix decides; without a match it is a slot.
func (s *Service) HoldingFor(path string) Holding {
	best, h := -1, HoldingSlot
	for _, r := range s.Routes {
		if len(r.Prefix) > best && len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix {
			best, h = len(r.Prefix), r.Holds
		}
	}
	return h
}

// Limits describes how much work each upstream of a service accepts.
type Limits struct {
	Slots       int       `yaml:"slots"`
	Connections int       `yaml:"connections"`
	Queue       int       `yaml:"queue,omitempty"`
	ColdStart   ColdStart `yaml:"coldStart"`
	// Body is the maximum length of a request body, such as 64MB; zero means
	// no limit.
	Body Size `yaml:"body,omitempty"`
	// ShedStatus is the HTTP status with which an upstream reports that it did
	// not run a request; zero means that upstreams have no such status.
	ShedStatus int `yaml:"shedStatus,omitempty"`
	// AnswersCarryID reports whether upstreams repeat the request's ID in the
	// response.
	AnswersCarryID bool `yaml:"answersCarryID,omitempty"`
}

// Size is a length in bytes. Its text form is like 64MB, where MB is 1024 kB.
type Size uint64

// UnmarshalText parses a size such as 64MB.
func (s *Size) UnmarshalText(b []byte) error {
	var v datasize.ByteSize
	if err := v.UnmarshalText(b); err != nil {
		return fmt.Errorf("%q is not a size such as 64MB", b)
	}
	*s = Size(v)
	return nil
}

// defaultQueuePerSlot is the queue length per slot if Limits.Queue is not set.
const defaultQueuePerSlot = 4

// QueueLength returns the maximum number of requests that wait for a slot of an
// upstream.
func (l *Limits) QueueLength() int {
	if l.Queue > 0 {
		return l.Queue
	}
	return l.Slots * defaultQueuePerSlot
}

// ColdStart limits the work that an upstream gets while it is cold.
type ColdStart struct {
	// Slots is the initial limit of concurrent requests of a cold upstream.
	Slots int `yaml:"slots"`
	// Answers is the number of successful responses after which the limit
	// doubles.
	Answers int `yaml:"answers"`
}

// Route sets what requests below a path prefix occupy on their upstream.
type Route struct {
	Prefix string  `yaml:"prefix"`
	Holds  Holding `yaml:"holds"`
}

// Zone is an availability zone and the state that operators set for it.
type Zone struct {
	ID    ZoneID    `yaml:"id"`
	Name  Name      `yaml:"name"`
	State ZoneState `yaml:"state"`
}

// Key identifies a fleet key by the public fingerprint of its secret.
type Key struct {
	ID          KeyID  `yaml:"id"`
	Fingerprint string `yaml:"fingerprint"`
}

// Timeouts configures time limits; a zero field means its default.
type Timeouts struct {
	Request    time.Duration `yaml:"request,omitempty"`
	Queue      time.Duration `yaml:"queue,omitempty"`
	KeepAlive  time.Duration `yaml:"keepAlive,omitempty"`
	Idle       time.Duration `yaml:"idle,omitempty"`
	OrderKey   time.Duration `yaml:"orderKey,omitempty"`
	ZoneOutRun time.Duration `yaml:"zoneOutRun,omitempty"`
}

// Defaults of Timeouts. Idle is four keep-alives, so that a path that has gone
// silent is detected within 10 s, the time that operators were promised.
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

// Protocol is the protocol between callers and a service.
type Protocol string

// ProtocolH3 is HTTP/3 over QUIC.
const ProtocolH3 Protocol = "h3"

// UnmarshalText parses a protocol and rejects unknown ones.
func (p *Protocol) UnmarshalText(b []byte) error {
	return oneOf(p, b, ProtocolH3)
}

// ZoneState says whether an availability zone is in or out of service.
type ZoneState string

// States of an availability zone.
const (
	ZoneStateIn  ZoneState = "in"
	ZoneStateOut ZoneState = "out"
)

// UnmarshalText parses a state and rejects unknown ones.
func (z *ZoneState) UnmarshalText(b []byte) error {
	return oneOf(z, b, ZoneStateIn, ZoneStateOut)
}

// Holding is what a request occupies on its upstream while it runs.
type Holding string

// A request that does work occupies a slot. A feed, which is idle most of the
// time, occupies only a connection.
const (
	HoldingSlot       Holding = "slot"
	HoldingConnection Holding = "connection"
)

// UnmarshalText parses a holding and rejects unknown ones.
func (h *Holding) UnmarshalText(b []byte) error {
	return oneOf(h, b, HoldingSlot, HoldingConnection)
}

// oneOf sets t to the value of all whose text is b.
func oneOf[T ~string](t *T, b []byte, all ...T) error {
	for _, a := range all {
		if string(b) == string(a) {
			*t = a
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %v", b, all)
}
