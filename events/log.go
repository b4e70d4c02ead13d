package events

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"pomeloway.example/pomeloway/bundle"
)

// Log writes events to a slog.Logger. A nil Log and the zero value discard them.
type Log struct {
	l     *slog.Logger
	queue chan Decision
	lost  atomic.Uint64
}

// queueSize is the maximum number of queued decisions, about half a second of
// openings on a large balancer. If the queue is full, new decisions are dropped
// and counted.
const queueSize = 16_384

// NewLog returns a Log that writes to l.
func NewLog(l *slog.Logger) *Log {
	return &Log{l: l, queue: make(chan Decision, queueSize)}
}

// Add logs an event at once, with the message and level of its catalogue entry.
func (l *Log) Add(id ID, attrs ...slog.Attr) {
	if l == nil || l.l == nil {
		return
	}
	e := byID[id]
	if !l.l.Enabled(context.Background(), e.Level) {
		return
	}
	a := append([]slog.Attr{slog.Int("event", int(id))}, attrs...)
	l.l.LogAttrs(context.Background(), e.Level, e.Name, a...)
}

// Reason explains the outcome of a routing decision.
type Reason string

// Reasons of flow decisions.
const (
	ReasonFirst        Reason = "firstChoice"
	ReasonNext         Reason = "nextChoice"
	ReasonOwned        Reason = "alreadyOwned"
	ReasonFull         Reason = "full"
	ReasonLeaving      Reason = "leaving"
	ReasonCold         Reason = "cold"
	ReasonBusier       Reason = "busierThanNext"
	ReasonZoneOut      Reason = "zoneOut"
	ReasonWrongService Reason = "wrongService"
	ReasonNotQUIC      Reason = "notQUIC"
	ReasonUnknownToken Reason = "unknownToken"
	ReasonTooLong      Reason = "tooLong"
	ReasonNoCandidate  Reason = "noCandidate"
)

// Decision is a routing decision of the hot path to be logged. It is a plain value,
// so that logging one allocates nothing.
type Decision struct {
	ID      ID
	Reason  Reason
	Service bundle.ServiceID
	Zone    bundle.ZoneID
	Caller  netip.AddrPort
	Target  netip.AddrPort
	Flow    uint64

	// Address and the fields below are set only for datagram services.
	Address netip.AddrPort
	Hop     int
	Class   int
	Version uint64
	Age     time.Duration
	Left    time.Duration // until the answer was due; negative afterwards
	Request string
}

// AddDecision queues a decision for Run to log. It never blocks: if the queue is full,
// the decision is dropped and counted.
func (l *Log) AddDecision(d Decision) {
	if l == nil || l.l == nil {
		return
	}
	select {
	case l.queue <- d:
	default:
		l.lost.Add(1)
	}
}

// Lost returns how many decisions were dropped because the queue was full.
func (l *Log) Lost() uint64 {
	if l == nil {
		return 0
	}
	return l.lost.Load()
}

// lossInterval is the interval at which dropped decisions are reported.
const lossInterval = 10 * time.Second

// Run logs queued decisions until the context ends, then those still in the queue.
func (l *Log) Run(ctx context.Context) error {
	t := time.NewTicker(lossInterval)
	defer t.Stop()
	var reported uint64
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		case <-t.C:
			if n := l.Lost(); n > reported {
				l.Add(DecisionsLost, slog.Uint64("lost", n-reported))
				reported = n
			}
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		default:
			return
		}
	}
}

func (l *Log) write(d Decision) {
	if d.Address.IsValid() {
		l.writeDatagram(d)
		return
	}
	l.Add(d.ID,
		slog.String("reason", string(d.Reason)),
		slog.Int("service", int(d.Service)),
		slog.Int("zone", int(d.Zone)),
		slog.String("caller", d.Caller.String()),
		slog.String("target", d.Target.String()),
		slog.Uint64("flow", d.Flow))
}

func (l *Log) writeDatagram(d Decision) {
	as := make([]slog.Attr, 0, 10)
	as = append(as, slog.String("caller", d.Caller.String()), slog.String("address", d.Address.String()))
	if d.Reason != "" {
		as = append(as, slog.String("reason", string(d.Reason)))
	}
	if d.Target.Addr().IsValid() {
		as = append(as, slog.String("peer", d.Target.Addr().String()))
	}
	if d.Request != "" {
		as = append(as, slog.String("request", d.Request))
	}
	as = append(as, slog.Int("count", d.Hop), slog.Uint64("version", d.Version))
	if d.Class != 0 {
		as = append(as, slog.Int("class", d.Class))
	}
	if d.Age != 0 {
		as = append(as, slog.Float64("ageMs", float64(d.Age.Microseconds())/1000))
	}
	if d.Left != 0 {
		as = append(as, slog.Float64("leftMs", float64(d.Left.Microseconds())/1000))
	}
	l.Add(d.ID, as...)
}
