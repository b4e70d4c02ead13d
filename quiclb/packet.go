package quiclb

// Offsets, masks and limits of the header fields that RFC 8999 defines for every version
// of QUIC, and the RFC 9000 packet types by which a caller opens a flow.
const (
	longForm        = 0x80
	typeMask        = 0x30
	typeInitial     = 0x00
	typeZeroRTT     = 0x10
	shortIDOffset   = 1
	longIDLenOffset = 5
	longIDOffset    = longIDLenOffset + 1
	maxIDLen        = 20
	minOpeningIDLen = 8
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
	if len(p) < longIDOffset {
		return ClassInvalid, nil
	}
	if p[0]&longForm == 0 {
		if len(p) < shortIDOffset+TokenSize {
			return ClassInvalid, nil
		}
		return ClassEstablished, p[shortIDOffset : shortIDOffset+TokenSize]
	}
	n := int(p[longIDLenOffset])
	if n > maxIDLen || len(p) < longIDOffset+n {
		return ClassInvalid, nil
	}
	id := p[longIDOffset : longIDOffset+n]
	if t := p[0] & typeMask; t == typeInitial || t == typeZeroRTT {
		if n < minOpeningIDLen {
			return ClassInvalid, nil
		}
		return ClassOpening, id
	}
	return ClassEstablished, id
}

// IsShort reports whether the datagram has a short header. Only packets of flows whose
// handshake is complete have one.
func IsShort(p []byte) bool { return len(p) > 0 && p[0]&longForm == 0 }
