package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const (
	slots       = 5
	serviceTime = 20 * time.Millisecond
)

// flowKey identifies a flow by its two ends.
type flowKey struct{ caller, address netip.AddrPort }

// served is a flow at a backend.
type served struct {
	seq    uint32 // of the SYN+ACK
	next   uint32 // sequence number of the next answer
	open   bool
	last   uint32 // sequence number of the last request
	answer []byte // to it; nil while it runs
}

// backend is a server beside an agent. It follows the platform's pages: it accepts each SYN, bounces
// packets of flows that it does not hold, and announces itself at regular intervals.
type backend struct {
	s         *site
	n         *node
	conn      *net.UDPConn
	health    *http.Server
	born      time.Time
	sequence  int
	coldUntil time.Time
	toldCold  time.Time // when it sent the first heartbeat that says that it is cold
	flows     map[flowKey]*served
	arrivals  []arrival
	ran       int
	// acknowledged counts the heartbeats that were.
	acknowledged int
	beats        chan struct{} // closed when the backend ends
}

// arrival is an opening packet that the backend took while it was cold.
type arrival struct {
	at   time.Time
	flow flowKey
}

// newBackend starts the backend of a side machine, whose time of day is ahead by the given time.
func (s *site) newBackend(n *node, ahead time.Duration) (*backend, error) {
	b := &backend{s: s, n: n, born: time.Now().Add(ahead), flows: map[flowKey]*served{}, beats: make(chan struct{})}
	at := s.at(n.ip, portApp)
	var err error
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		b.conn.Close()
		return nil, err
	}
	b.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go b.health.Serve(l)
	go b.read()
	go b.announce()
	s.ends = append(s.ends, b)
	return b, nil
}

// announce sends a heartbeat about every heartbeat interval.
func (b *backend) announce() {
	for {
		var body []byte
		b.s.locked(func() {
			b.sequence++
			if b.toldCold.IsZero() && time.Now().Before(b.coldUntil) {
				b.toldCold = time.Now()
			}
			body, _ = json.Marshal(map[string]any{
				"service": b.n.service, "address": b.s.at(b.n.ip, portApp).String(), "zone": b.n.zone, "version": "v1", "slots": slots,
				"state": "ready", "cold-remaining-ms": max(0, time.Until(b.coldUntil).Milliseconds()), "sequence": b.sequence,
				"born": b.born.UnixMilli(),
			})
		})
		pause := heartbeat
		a, err := b.s.client.Post("http://"+b.s.at(b.n.ip, portControl).String()+"/pomeloway/instances/i-"+b.n.name+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil || a.StatusCode != http.StatusOK {
			pause = 100 * time.Millisecond // the agent has not started yet
		} else {
			b.s.locked(func() { b.acknowledged++ })
		}
		if err == nil {
			a.Body.Close()
		}
		select {
		case <-time.After(pause):
		case <-b.beats:
			return
		}
	}
}

func (b *backend) read() {
	x := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(x)
		if err != nil {
			return
		}
		b.s.locked(func() { b.handle(bytes.Clone(x[:n]), time.Now()) })
	}
}

func (b *backend) send(x []byte) { b.conn.WriteToUDPAddrPort(x, b.s.at(b.n.ip, portOutbound)) }

// handle handles a packet of a client.
func (b *backend) handle(x []byte, now time.Time) {
	p, ok := decode(x)
	if !ok {
		b.s.note("UNASKED: %s got bytes that no client wrote", b.n.name)
		return
	}
	k := flowKey{p.src, p.dst}
	f := b.flows[k]
	if p.flags&flagSYN == 0 {
		b.s.reached[k] = append(b.s.reached[k], reach{now, f != nil && (f.open || p.ack == f.seq+1)})
	}
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &served{seq: rand.Uint32()}
			f.next = f.seq + 1
			b.flows[k] = f
			if now.Before(b.coldUntil) {
				b.arrivals = append(b.arrivals, arrival{now, k})
			}
		}
		b.send(packet{seq: f.seq, ack: p.seq + 1, flags: flagSYN | flagACK, src: p.dst, dst: p.src}.encode())
	case f == nil || !f.open && p.ack != f.seq+1:
		x[12] |= flagBounced
		b.send(x)
	case p.flags&flagRST != 0:
		delete(b.flows, k)
	case p.flags&flagFIN != 0:
		f.open = false
		b.send(packet{seq: f.next, ack: p.seq + 1, flags: flagFIN | flagACK, src: p.dst, dst: p.src}.encode())
	default:
		f.open = true
		b.request(p, k, f)
	}
}

// request runs a request, or repeats its answer.
func (b *backend) request(p packet, k flowKey, f *served) {
	switch {
	case len(p.data) == 0:
		return
	case p.seq == f.last:
		if f.answer != nil {
			b.send(f.answer)
		}
		return
	}
	f.last, f.answer = p.seq, nil
	b.ran++
	id, _, _ := strings.Cut(string(p.data[bytes.Index(p.data, []byte("X-Request-Id: "))+14:]), "\r\n")
	time.AfterFunc(serviceTime, func() {
		b.s.locked(func() {
			body := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: i-%s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", b.n.name, id)
			f.answer = packet{seq: f.next, ack: p.seq + uint32(len(p.data)), flags: flagACK, src: k.address, dst: k.caller, data: []byte(body)}.encode()
			f.next += uint32(len(body))
			b.send(f.answer)
		})
	})
}

func (b *backend) close() {
	close(b.beats)
	b.conn.Close()
	b.health.Close()
}
