package main

import (
	"hash/fnv"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

func hashOf(texts ...string) uint32 {
	h := fnv.New32a()
	for _, t := range texts {
		io.WriteString(h, t)
		h.Write([]byte{0})
	}
	return h.Sum32()
}

// mesh passes what the nodes of the two regions send each other. Each region has its own ports for
// messages between nodes, and its nodes reach those of the other region at the same ports, where
// the mesh listens. While it is cut, datagrams are dropped and connections are silent.
type mesh struct {
	cut     atomic.Bool
	dropped atomic.Int64
	closers []io.Closer
}

// connectStore gives the nodes of the second side of the mesh a way to the platform's store that is cut
// with the mesh.
func (s *site) connectStore() error {
	l, err := net.Listen("tcp4", s.at(s.ip(3), portStore).String())
	if err != nil {
		return err
	}
	s.mesh.closers = append(s.mesh.closers, l)
	go s.mesh.accept(l, s.at(s.ip(2), portStore))
	return nil
}

// connect joins the regions' nodes.
func (s *site) connect() error {
	sockets := map[netip.Addr]*net.UDPConn{} // at a node's address and the other region's port
	for _, n := range s.nodes {
		other := internal(1 - n.region)
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at(n.ip, other)))
		if err != nil {
			return err
		}
		l, err := net.Listen("tcp4", s.at(n.ip, other+1).String())
		if err != nil {
			c.Close()
			return err
		}
		sockets[n.ip] = c
		s.mesh.closers = append(s.mesh.closers, c, l)
		go s.mesh.accept(l, s.at(n.ip, internal(n.region)+1))
	}
	for _, n := range s.nodes {
		go s.mesh.pass(sockets[n.ip], s.at(n.ip, internal(n.region)), sockets)
	}
	return nil
}

// pass passes datagrams on to a node. They come from the address of their sender.
func (m *mesh) pass(in *net.UDPConn, to netip.AddrPort, sockets map[netip.Addr]*net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, from, err := in.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		out := sockets[from.Addr().Unmap()]
		if m.cut.Load() || out == nil {
			m.dropped.Add(1)
			continue
		}
		out.WriteToUDPAddrPort(b[:n], to)
	}
}

// accept passes connections on.
func (m *mesh) accept(l net.Listener, to netip.AddrPort) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if m.cut.Load() {
			defer c.Close() // silent until the mesh is closed
			continue
		}
		go func() {
			defer c.Close()
			d, err := net.Dial("tcp4", to.String())
			if err != nil {
				return
			}
			defer d.Close()
			go m.copy(d, c)
			m.copy(c, d)
		}()
	}
}

// copy copies until an end closes. While the mesh is cut, it holds back what it has read, as TCP
// repeats it.
func (m *mesh) copy(to, from net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		for m.cut.Load() {
			time.Sleep(50 * time.Millisecond)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (m *mesh) close() {
	for _, c := range m.closers {
		c.Close()
	}
}
