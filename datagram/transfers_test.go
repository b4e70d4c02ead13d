package datagram

import (
	"testing"
	"time"
)

// uploadBalancer returns a balancer with a link that bears two uploads at the same time, and
// that has learned that the route to port 443 carries uploads. Its agents do not answer.
func uploadBalancer(t *testing.T, now time.Duration) (*Balancer, *recorder) {
	b, s := testBalancer(t, 3, now-100*time.Millisecond)
	b.transfers = newTransfers(15)
	if b.transfers.max != 2 {
		t.Fatalf("%d uploads at the same time, want 2", b.transfers.max)
	}
	for port := range uint16(50) {
		f := Flow{Endpoint{1, 100 + port}, Endpoint{2, 443}}
		b.transfers.note(Packet{Flow: f, Length: 1200, Full: true}, 0, now)
		b.transfers.note(Packet{Flow: f, Length: 10}, 1, now)
	}
	b.config.Routes[Endpoint{2, 443}] = Route{Shares: []Share{{7, 1}}, TargetLatency: 800 * time.Millisecond}
	return b, s
}

func uploadPacket(port uint16, full bool) Packet {
	return Packet{Flow: Flow{Endpoint{1, port}, Endpoint{2, 443}}, Length: 100, Full: full}
}

// Guards against uploads that fill a small link, where the packets of all callers then wait.
func TestUploadsWaitForTheLink(t *testing.T) {
	now := 10 * time.Second
	b, s := uploadBalancer(t, now)
	for port := range uint16(4) {
		b.HandleCaller(plainPacket(plainOpening, 1+port), now)
	}
	if len(s.to) != 2 || len(b.transfers.waiting) != 2 {
		t.Fatalf("%d openings sent and %d waiting, want 2 of each", len(s.to), len(b.transfers.waiting))
	}
	first, third := b.openings.get(1).flow, b.openings.get(3)
	b.transfers.note(Packet{Flow: first, Length: 1200, Full: true}, 0, now)
	b.transfers.note(Packet{Flow: first, Seq: 1200, Length: 10}, 1, now)
	b.admitUploads(now)
	if third.waitsForLink || len(b.transfers.waiting) != 1 {
		t.Fatalf("%d openings waiting after an upload has ended, want 1", len(b.transfers.waiting))
	}
	b.transfers.note(Packet{Flow: first, Seq: 600, Length: 1200, Full: true}, 1200, now)
	if len(b.transfers.active) != 2 {
		t.Errorf("%d uploads active after a retransmission, want 2", len(b.transfers.active))
	}
	now += handshakeTimeout - time.Millisecond
	b.admitUploads(now)
	if len(b.transfers.waiting) != 1 {
		t.Fatal("an upload was admitted while two others may begin")
	}
	b.admitUploads(now + 2*time.Millisecond)
	if len(b.transfers.waiting) != 0 {
		t.Errorf("%d openings waiting after an upload has not begun in time", len(b.transfers.waiting))
	}
}

// Guards against requests that wait for the link although they are small, or although the
// link is large or unknown.
func TestOnlyUploadsWaitForTheLink(t *testing.T) {
	now := 10 * time.Second
	for name, prepare := range map[string]func(*Balancer){
		"small requests": func(b *Balancer) {
			for port := range uint16(50) {
				b.transfers.note(uploadPacket(200+port, false), 0, now)
			}
		},
		"large link":   func(b *Balancer) { b.transfers.max = 50 },
		"unknown link": func(b *Balancer) { b.transfers = newTransfers(0) },
	} {
		t.Run(name, func(t *testing.T) {
			b, s := uploadBalancer(t, now)
			prepare(b)
			for port := range uint16(20) {
				b.HandleCaller(plainPacket(plainOpening, 1+port), now)
			}
			if len(s.to) != 20 {
				t.Errorf("%d of 20 openings sent", len(s.to))
			}
		})
	}
}

// Guards against uploads that wait for a link in vain while other balancers have a free one.
func TestUploadsAreRefusedIfTheLinkStaysFull(t *testing.T) {
	const patience = 800 * time.Millisecond / linkPatienceDivisor
	now := 10 * time.Second
	b, s := uploadBalancer(t, now)
	for port := range uint16(b.transfers.max) {
		b.transfers.active[uploadPacket(900+port, true).Flow] = now + time.Second
	}
	b.HandleCaller(plainPacket(plainOpening, 1), now)
	b.Tick(now + patience - time.Millisecond)
	if s.caller != 0 {
		t.Fatal("refused too early")
	}
	b.Tick(now + patience)
	if s.caller != 1 || len(s.to) != 0 {
		t.Errorf("%d refused, sent to %v", s.caller, s.to)
	}
}
