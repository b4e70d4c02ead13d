package main

import (
	"encoding/binary"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/platform"
)

// Flags of the platform's packet header.
const (
	flagReset   = 1
	flagAck     = 2
	flagFin     = 4
	flagOpen    = 8
	flagBounced = 16
)

const (
	echoOffset, echoLen = 8, 4
	flagsOffset         = 12
	headerLen           = 31
)

// encode encodes a packet from one end of a flow to the other.
func encode(src, dst datagram.Endpoint, flags byte, seq, ack uint32, data string) []byte {
	b := make([]byte, headerLen+len(data))
	binary.BigEndian.PutUint32(b, seq)
	binary.BigEndian.PutUint32(b[4:], ack)
	b[flagsOffset] = flags
	binary.BigEndian.PutUint32(b[13:], uint32(dst.IP))
	binary.BigEndian.PutUint32(b[17:], uint32(src.IP))
	binary.BigEndian.PutUint16(b[21:], src.Port)
	binary.BigEndian.PutUint16(b[23:], dst.Port)
	binary.BigEndian.PutUint16(b[29:], uint16(len(data)))
	copy(b[headerLen:], data)
	return b
}

// requestID returns the id of the request that begins in the packet.
func requestID(b []byte) string { return platform.PacketFormat{}.RequestID(b) }
