package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/events"
)

// Admission of uploads by the balancer's own link. Callers send without congestion control:
// a window of packets at once, and again after a timeout. Uploads that share a small link
// fill it, and then the packets of all callers are late or lost. A balancer therefore bounds
// the uploads that pass through it at the same time; few of them use a link fully. The others
// wait at the balancer for a part of their target latency. Then they are refused, as their
// callers come back through another balancer, whose link may be free.
//
// Which routes carry uploads is learned from the first data packet of their flows.

const (
	// callerWindow is what a caller sends before it waits for an acknowledgement, in bytes
	// with all headers.
	callerWindow = 16 * 1300
	// maxLinkQueue is how long the windows of the admitted uploads may occupy the link, which
	// delays the packets of all callers.
	maxLinkQueue = 30 * time.Millisecond
	// linkPatienceDivisor is the part of the target latency for which an upload waits for the
	// link. It is short, as another balancer may have a free one.
	linkPatienceDivisor = 8
	// handshakeTimeout is how long an admitted upload may take to begin, and transferTimeout
	// longer than a caller waits before it repeats a packet: an upload that waits for that
	// still loads the link.
	handshakeTimeout = 100 * time.Millisecond
	transferTimeout  = 250 * time.Millisecond
	// uploadSampleWeight is the weight of one flow in the estimate whether a route carries
	// uploads.
	uploadSampleWeight = 1.0 / 16
	// maxTransfers bounds the memory.
	maxTransfers = 1024
	bytesPerMbit = 1e6 / 8
)

// transfers are the uploads that pass through a balancer.
type transfers struct {
	max     int                    // how many may pass at the same time; 0: no limit
	active  map[Flow]time.Duration // until when each upload counts without another packet
	waiting []uint32               // openings that wait for the end of an upload, the oldest first
	// uploads is the share of a route's flows that begin with a full packet.
	uploads map[Endpoint]float64
}

// newTransfers returns the state of a balancer whose link has the bandwidth in Mbit/s; 0
// means that it is not known.
func newTransfers(bandwidth float64) transfers {
	x := transfers{active: map[Flow]time.Duration{}, uploads: map[Endpoint]float64{}}
	if bandwidth > 0 {
		x.max = max(1, int(bandwidth*bytesPerMbit*maxLinkQueue.Seconds()/callerWindow))
	}
	return x
}

// note notes a data packet of a flow whose previous one had the sequence number lastSeq, or
// that had none if it is 0.
func (x *transfers) note(p Packet, lastSeq uint32, now time.Duration) {
	if x.max == 0 {
		return
	}
	if lastSeq == 0 {
		sample := 0.0
		if p.Full {
			sample = 1
		}
		x.uploads[p.Flow.Address] += (sample - x.uploads[p.Flow.Address]) * uploadSampleWeight
	}
	_, active := x.active[p.Flow]
	switch {
	case !p.Full:
		delete(x.active, p.Flow)
	case active, (lastSeq == 0 || int32(p.Seq-lastSeq) > 0) && len(x.active) < maxTransfers:
		// Retransmissions after the last packet do not make the upload active again.
		x.active[p.Flow] = now + transferTimeout
	}
}

// admit reports whether a new flow may begin, and reserves its share of the link.
func (x *transfers) admit(f Flow, now time.Duration) bool {
	if x.max == 0 || x.uploads[f.Address] < 0.5 {
		return true
	}
	if len(x.active) >= x.max {
		x.expire(now)
	}
	if len(x.active) >= x.max || len(x.waiting) > 0 {
		return false
	}
	x.active[f] = now + handshakeTimeout
	return true
}

// expire forgets the uploads that have ended without their last packet.
func (x *transfers) expire(now time.Duration) {
	for f, until := range x.active {
		if now > until {
			delete(x.active, f)
		}
	}
}

// waitForLink makes the opening wait until an upload through this balancer has ended.
func (b *Balancer) waitForLink(o *opening, now time.Duration) {
	patience := openingTimeout
	if o.targetLatency > 0 {
		patience = min(patience, o.targetLatency/linkPatienceDivisor)
	}
	o.waitsForLink = true
	b.transfers.waiting = append(b.transfers.waiting, o.id)
	b.Log.logDecision(decision{
		event: events.UploadWaits, flow: o.flow, version: b.ConfigurationVersion(),
		hop: uint8(min(len(b.transfers.active), 255)),
	}, now)
	b.openings.setDeadline(o, now+patience)
}

// admitUploads continues openings that wait for the link, in the order of their arrival.
func (b *Balancer) admitUploads(now time.Duration) {
	x := &b.transfers
	if len(x.waiting) == 0 {
		return
	}
	x.expire(now)
	x.waiting = slices.DeleteFunc(x.waiting, func(id uint32) bool {
		o := b.openings.get(id)
		return o == nil || !o.waitsForLink
	})
	for len(x.waiting) > 0 && len(x.active) < x.max {
		o := b.openings.get(x.waiting[0])
		x.waiting = x.waiting[1:]
		x.active[o.flow] = now + handshakeTimeout
		o.waitsForLink, o.deadline = false, 0
		b.Observe.record(ObserveLinkWait, now-o.started)
		b.tryNextAgent(o, now)
	}
}
