package balancer

import (
	"net/netip"
	"sync/atomic"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/link"
)

// returner reads the link socket. It sends agents' datagrams to callers,
// acknowledges heartbeats, and passes heartbeat acknowledgements to the observer.
type returner struct {
	link        *link.Socket
	view        *atomic.Pointer[View]
	ports       *atomic.Pointer[portMap]
	incarnation uint64
	acks        chan<- ack
	count       *Counters

	// out holds a send queue for each port. touched lists the ports whose queues
	// the current batch added to.
	out     map[*port]*link.Queue
	touched []*port
	reply   [link.HeaderSize]byte
}

// portMap holds the open ports by service.
type portMap map[bundle.ServiceID]*port

// run handles messages until the link socket is closed.
func (r *returner) run() error {
	b := link.NewBatch(batchSize)
	r.out = map[*port]*link.Queue{}
	for {
		n, err := b.Read(r.link.Batched)
		if err != nil {
			return err
		}
		v, ports := r.view.Load(), *r.ports.Load()
		for i := range n {
			r.handleMessage(v, ports, b.Payload(i), b.From(i))
		}
		r.flush()
		if len(r.out) > 2*len(ports) {
			clear(r.out) // drops the queues of ports that were closed
		}
	}
}

// flush sends the queued datagrams of the current batch.
func (r *returner) flush() {
	for _, p := range r.touched {
		r.count.Lost.Add(uint64(r.out[p].Flush(p.sockets[0].Batched)))
	}
	r.touched = r.touched[:0]
}

// handleMessage authenticates and handles one message from the link socket.
func (r *returner) handleMessage(v *View, ports portMap, p []byte, from netip.AddrPort) {
	var m link.Message
	payload, ok := v.linkKeys.Get(p, &m)
	if !ok {
		r.count.Refused.Add(1)
		return
	}
	switch m.Kind {
	case link.KindReturn:
		r.deliver(ports[m.Service], payload, m.Caller)
	case link.KindHeartbeat:
		m.Kind, m.Number = link.KindHeartbeatAck, r.incarnation
		v.linkKeys[0].Put(r.reply[:], &m)
		r.link.WriteToUDPAddrPort(r.reply[:], from)
	case link.KindHeartbeatAck:
		select {
		case r.acks <- ack{from: from, incarnation: m.Number, load: m.Load}:
		default: // dropped; the next heartbeat brings another acknowledgement
		}
	}
}

// deliver queues the payload on the port for the caller.
func (r *returner) deliver(p *port, payload []byte, to netip.AddrPort) {
	if p == nil || !to.Addr().Is4() || len(payload) == 0 {
		r.count.Dropped.Add(1)
		return
	}
	q := r.out[p]
	if q == nil {
		q = link.NewQueue(batchSize)
		r.out[p] = q
	}
	if q.Len() == 0 {
		r.touched = append(r.touched, p)
	}
	q.Enqueue(payload, to)
	r.count.Returned.Add(1)
}
