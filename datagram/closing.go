package datagram

import "time"

// closing is what an agent knows about the end of a flow. Each end closes the flow with a FIN of its
// own and may go on receiving: a caller that has closed its end still reads the answer.
//
// The flow has ended when both ends have sent a FIN, or one of them a reset. It is complete when, in
// addition, each end has acknowledged the other's FIN and so has everything before it. A FIN that
// overtakes data, or is lost behind the agent, is not acknowledged.
type closing struct {
	caller, upstream               fin
	resetByCaller, resetByUpstream bool
	// lastPacket is when the last packet of a flow that has ended was seen.
	lastPacket time.Duration
}

// fin is the FIN of one end of a flow.
type fin struct {
	sent, acknowledged bool
	// end is the number with which the other end acknowledges it.
	end uint32
}

// closedFlowRetention is how long a flow is remembered after its last packet if it has ended. It is
// longer than either end repeats a FIN.
const closedFlowRetention = 10 * time.Second

// note updates the FIN from a packet of its sender.
func (f *fin) note(p Packet) {
	if p.Fin {
		f.sent, f.end = true, p.Seq+uint32(p.Length)+1
	}
}

// noteAck updates the FIN from a packet of the other end. Nothing follows a FIN, so only its
// own number acknowledges it.
func (f *fin) noteAck(p Packet) {
	f.acknowledged = f.acknowledged || f.sent && p.Ack && !p.Open && p.AckNumber == f.end
}

// noteCaller updates the state from a packet of the caller. One that goes on after a reset has not
// sent it on this flow: the reset is a late packet of an earlier flow from its port.
func (c *closing) noteCaller(p Packet, now time.Duration) {
	c.resetByCaller = p.Reset
	c.caller.note(p)
	c.upstream.noteAck(p)
	c.noteEnd(now)
}

// noteUpstream updates the state from a packet of the upstream.
func (c *closing) noteUpstream(p Packet, now time.Duration) {
	c.resetByUpstream = c.resetByUpstream || p.Reset
	c.upstream.note(p)
	c.caller.noteAck(p)
	c.noteEnd(now)
}

func (c *closing) noteEnd(now time.Duration) {
	if c.ended() {
		c.lastPacket = now
	}
}

// ended reports whether both ends have sent a FIN, or one of them a reset.
func (c *closing) ended() bool { return c.reset() || c.caller.sent && c.upstream.sent }

func (c *closing) reset() bool { return c.resetByCaller || c.resetByUpstream }

// complete reports whether no end waits for anything from the other.
func (c *closing) complete() bool {
	return c.reset() || c.caller.acknowledged && c.upstream.acknowledged
}

// expired reports whether the flow has ended and neither end repeats a packet any more.
func (c *closing) expired(now time.Duration) bool {
	return c.ended() && now-c.lastPacket > closedFlowRetention
}
