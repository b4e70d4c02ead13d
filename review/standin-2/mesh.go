package main

import (
	"hash/fnv"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
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
			go io.Copy(d, c)
			io.Copy(c, d)
		}()
	}
}

func (m *mesh) close() {
	for _, c := range m.closers {
		c.Close()
	}
}
