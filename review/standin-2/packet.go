package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagRST     = 1
	flagACK     = 2
	flagFIN     = 4
	flagSYN     = 8
	flagBounced = 16
)

const headLen = 31

// packet is a packet of the platform's format.
type packet struct {
	seq, ack uint32
	flags    byte
	src, dst netip.AddrPort
	sum      uint32
	data     []byte
}

// encode returns the packet with its sum. The sum stands in for the keyed one: only the ends
// compute it, and it is never 0.
func (p packet) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	binary.BigEndian.PutUint32(b, p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	b[12] = p.flags
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[13:], dst[:])
	copy(b[17:], src[:])
	binary.BigEndian.PutUint16(b[21:], p.src.Port())
	binary.BigEndian.PutUint16(b[23:], p.dst.Port())
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[25:], sumOf(b))
	return b
}

// sumOf returns the sum over all fields but echo, pad, the bounced flag and the sum itself.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	h.Write(b[:8])
	h.Write([]byte{b[12] &^ flagBounced})
	h.Write(b[13:25])
	h.Write(b[29:])
	return h.Sum32() | 1
}

// decode decodes a packet. It returns false if the bytes are no packet, or if the packet is not as
// its sender wrote it; a reset of the system's own has the sum 0.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headLen || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headLen {
		return p, false
	}
	p = packet{
		seq: binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]), flags: b[12],
		dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[13:17])), binary.BigEndian.Uint16(b[23:])),
		src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[17:21])), binary.BigEndian.Uint16(b[21:])),
		sum: binary.BigEndian.Uint32(b[25:]), data: b[headLen:],
	}
	return p, p.sum == sumOf(b) || p.isSystemReset()
}

// isSystemReset reports whether the packet is a reset that no backend sent.
func (p packet) isSystemReset() bool { return p.flags == flagRST && p.sum == 0 && len(p.data) == 0 }
