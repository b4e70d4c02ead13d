package link

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// socketBuffer rides out a pause of some milliseconds at full rate.
const socketBuffer = 4 << 20

// Socket is a UDP socket with its batched form.
type Socket struct {
	*net.UDPConn
	Batched *ipv4.PacketConn
}

// Listen opens a socket on the address.
func Listen(a netip.AddrPort) (*Socket, error) { return listen(a, nil) }

// ListenShared opens one of several sockets on the address; the kernel spreads
// callers over them, each caller to one.
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
	// Smaller buffers than asked for are no fault: the kernel's limit holds.
	c.SetReadBuffer(socketBuffer)
	c.SetWriteBuffer(socketBuffer)
	return &Socket{UDPConn: c, Batched: ipv4.NewPacketConn(c)}, nil
}

// Addr returns the local address.
func (s *Socket) Addr() netip.AddrPort {
	return s.LocalAddr().(*net.UDPAddr).AddrPort()
}
