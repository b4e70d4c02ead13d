package link

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Queue collects datagrams that are written with one system call. It is not safe for
// concurrent use.
type Queue struct {
	write []ipv4.Message
	addrs []net.UDPAddr
	n     int
}

// NewQueue returns a queue with capacity for n datagrams.
func NewQueue(n int) *Queue {
	q := &Queue{write: make([]ipv4.Message, n), addrs: make([]net.UDPAddr, n)}
	for i := range n {
		q.write[i].Buffers = make([][]byte, 1)
		q.addrs[i].IP = make(net.IP, net.IPv4len)
		q.write[i].Addr = &q.addrs[i]
	}
	return q
}

// Len returns the number of queued datagrams.
func (q *Queue) Len() int { return q.n }

// Enqueue queues p, which must not change until Flush returns.
func (q *Queue) Enqueue(p []byte, to netip.AddrPort) {
	q.write[q.n].Buffers[0] = p
	a := &q.addrs[q.n]
	ip := to.Addr().As4()
	copy(a.IP, ip[:])
	a.Port = int(to.Port())
	q.n++
}

// Flush writes the queued datagrams and returns how many were lost. A datagram that the
// kernel refuses is skipped, so that it doesn't block the others.
func (q *Queue) Flush(c *ipv4.PacketConn) (lost int) {
	w := q.write[:q.n]
	q.n = 0
	for len(w) > 0 {
		n, err := c.WriteBatch(w, 0)
		if err != nil && n <= 0 {
			lost++
			n = 1
		}
		w = w[n:]
	}
	return lost
}

// Batch is a set of datagrams that are read with one system call and written with another.
// HeaderSize bytes before each payload are free, so that a header is added without copying
// the payload. A batch is not safe for concurrent use.
type Batch struct {
	Queue
	read []ipv4.Message
	bufs [][]byte
}

// bufferSize fits a header and the longest UDP payload of an Ethernet frame.
const bufferSize = HeaderSize + maxUDPPayload

// NewBatch returns a batch of n datagrams.
func NewBatch(n int) *Batch {
	b := &Batch{Queue: *NewQueue(n), read: make([]ipv4.Message, n), bufs: make([][]byte, n)}
	all := make([]byte, n*bufferSize)
	for i := range n {
		b.bufs[i] = all[i*bufferSize : (i+1)*bufferSize : (i+1)*bufferSize]
		b.read[i].Buffers = [][]byte{b.bufs[i][HeaderSize:]}
	}
	return b
}

// Read waits for at least one datagram, reads as many as are available and fit into the
// batch, and returns their number.
func (b *Batch) Read(c *ipv4.PacketConn) (int, error) {
	return c.ReadBatch(b.read, 0)
}

// Payload returns the payload of the i-th datagram that was read.
func (b *Batch) Payload(i int) []byte {
	return b.bufs[i][HeaderSize : HeaderSize+b.read[i].N]
}

// From returns the source address of the i-th datagram that was read.
func (b *Batch) From(i int) netip.AddrPort {
	a, ok := b.read[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	p := a.AddrPort()
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

// Header returns the free bytes before the i-th datagram.
func (b *Batch) Header(i int) []byte { return b.bufs[i][:HeaderSize] }

// EnqueueWithHeader queues the i-th datagram together with the header before it.
func (b *Batch) EnqueueWithHeader(i int, to netip.AddrPort) {
	b.Enqueue(b.bufs[i][:HeaderSize+b.read[i].N], to)
}
