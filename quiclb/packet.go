package quiclb

// Offsets, masks and limits of the header fields that RFC 8999 defines for every version
// of QUIC, and the RFC 9000 packet types by which a caller opens a flow.
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

// Class is the class of a datagram, as a balancer determines it from the first bytes.
type Class uint8

// Classes of datagrams.
const (
	// ClassInvalid is not a valid QUIC datagram for this fleet.
	ClassInvalid Class = iota
	// ClassOpening is an Initial or 0-RTT packet, which may open a flow.
	ClassOpening
	// ClassEstablished belongs to an existing flow if its connection ID is a valid token.
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

// IsShort reports whether the datagram has a short header. Only packets of flows whose
// handshake is complete have one.
func IsShort(p []byte) bool { return len(p) > 0 && p[0]&longForm == 0 }
