package link

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// socketBufferSize is the size of a socket's read and write buffers. It absorbs a pause of
// some milliseconds at full rate.
const socketBufferSize = 4 << 20

// Socket is a UDP socket, with a second interface for batched reads and writes.
type Socket struct {
	*net.UDPConn
	Batched *ipv4.PacketConn
}

// Listen opens a UDP socket on the address.
func Listen(a netip.AddrPort) (*Socket, error) { return listen(a, nil) }

// ListenShared opens one of several UDP sockets on the same address. The kernel distributes
// callers among the sockets and delivers all datagrams of a caller to the same one.
func ListenShared(a netip.AddrPort) (*Socket, error) {
	return listen(a, func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); e != nil {
			return e
		}
		return err
	})
}

func listen(a netip.AddrPort, control func(string, string, syscall.RawConn) error) (*Socket, error) {
	l := net.ListenConfig{Control: control}
	p, err := l.ListenPacket(context.Background(), "udp4", a.String())
	if err != nil {
		return nil, err
	}
	c := p.(*net.UDPConn)
	// The kernel may limit the buffers to a smaller size, which is acceptable.
	c.SetReadBuffer(socketBufferSize)
	c.SetWriteBuffer(socketBufferSize)
	return &Socket{UDPConn: c, Batched: ipv4.NewPacketConn(c)}, nil
}

// Addr returns the local address.
func (s *Socket) Addr() netip.AddrPort {
	return s.LocalAddr().(*net.UDPAddr).AddrPort()
}
