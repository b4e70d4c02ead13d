package link

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// socketBuffer rides out a pause of some milliseconds at full rate.
const socketBuffer = 4 << 20

// Socket is a UDP socket with its batched form.
type Socket struct {
	*net.UDPConn
	Batched *ipv4.PacketConn
}

// Listen opens a socket on the address.
func Listen(a netip.AddrPort) (*Socket, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	// Smaller buffers than asked for are no fault: the kernel's limit holds.
	c.SetReadBuffer(socketBuffer)
	c.SetWriteBuffer(socketBuffer)
	return &Socket{UDPConn: c, Batched: ipv4.NewPacketConn(c)}, nil
}

// Addr returns the local address.
func (s *Socket) Addr() netip.AddrPort {
	return s.LocalAddr().(*net.UDPAddr).AddrPort()
}
