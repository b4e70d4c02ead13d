package demo

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/guard"
)

// oneWayConn is a caller's socket that sends nothing more once it has received something.
type oneWayConn struct {
	net.PacketConn
	received atomic.Bool
}

func (c *oneWayConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	if err == nil {
		c.received.Store(true)
	}
	return n, from, err
}

func (c *oneWayConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.received.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// Guards against callers that are not told when their flow's availability zone goes out
// during the handshake. Balancers that know of it drop what the caller sends, so the agent
// never sees the end of the handshake; the caller has completed it and waits for its first
// answer until its idle timeout.
func TestCallerIsToldThatZoneWentOutDuringHandshake(t *testing.T) {
	s, rec := startSite(t, "agency", guard.Off{})
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	tr := &quic.Transport{Conn: &oneWayConn{PacketConn: c}}
	defer tr.Close()
	done := make(chan error, 1)
	start := time.Now()
	go func() {
		_, err := openShared(t.Context(), s, rec, 0, tr)
		done <- err
	}()
	var zone bundle.ZoneID
	if poll(t.Context(), func() bool {
		for _, u := range s.RunningUpstreams() {
			if len(u.agent.FlowAddresses()) > 0 {
				zone = u.zone
			}
		}
		return zone != 0
	}) != nil {
		t.Fatal("no agent has the flow")
	}
	s.markZoneOut(zone)
	if _, err := s.Bundles.SetZone(t.Context(), s.Deployment.Zones[zone-1], bundle.ZoneStateOut, "test", s.signingKey); err != nil {
		t.Fatal(err)
	}
	err = <-done
	r := rec.finish(time.Time{}, time.Time{})
	t.Logf("after %v: %v", time.Since(start), err)
	if d := time.Since(start); err == nil || d > 6*time.Second || r.BrokenFlows > 0 || r.FlowsGivenUpWithZone != 1 {
		t.Errorf("after %v the caller got %v; %d flows broke, %d were given up with their zone: %+v", d, err, r.BrokenFlows, r.FlowsGivenUpWithZone, r.BrokenFlowDetails)
	}
}
