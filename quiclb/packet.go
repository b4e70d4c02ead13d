package quiclb

// Header fields that RFC 8999 fixes for every version of QUIC, and the packet
// types of RFC 9000 that an opening consists of.
const (
	longForm     = 0x80
	typeMask     = 0x30
	typeInitial  = 0x00
	typeZeroRTT  = 0x10
	shortIDAt    = 1
	longIDLenAt  = 5
	minLong      = longIDLenAt + 1
	maxIDLen     = 20
	minOpeningID = 8
)

// Class says what a balancer can know of a datagram from its first bytes.
type Class uint8

// Classes of datagrams.
const (
	// ClassInvalid is no QUIC datagram that this fleet could have been sent.
	ClassInvalid Class = iota
	// ClassOpening may open a flow: an Initial or 0-RTT packet.
	ClassOpening
	// ClassEstablished belongs to a flow, if its ID is a valid token.
	ClassEstablished
)

// Classify returns the class and the destination connection ID of a datagram.
func Classify(p []byte) (Class, []byte) {
	if len(p) < minLong {
		return ClassInvalid, nil
	}
	if p[0]&longForm == 0 {
		if len(p) < shortIDAt+Size {
			return ClassInvalid, nil
		}
		return ClassEstablished, p[shortIDAt : shortIDAt+Size]
	}
	n := int(p[longIDLenAt])
	if n > maxIDLen || len(p) < minLong+n {
		return ClassInvalid, nil
	}
	id := p[minLong : minLong+n]
	if t := p[0] & typeMask; t == typeInitial || t == typeZeroRTT {
		if n < minOpeningID {
			return ClassInvalid, nil
		}
		return ClassOpening, id
	}
	return ClassEstablished, id
}

// IsShort reports whether the datagram has the short form, which only packets of
// flows past their handshake have.
func IsShort(p []byte) bool { return len(p) > 0 && p[0]&longForm == 0 }
