package node

import (
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/platform"
)

// fixedOutput is a balancer's output that sends all messages to one address, which takes
// the place of an agent.
type fixedOutput struct {
	c  *net.UDPConn
	to netip.AddrPort
}

func (s *fixedOutput) ToProcess(_ datagram.IP, m []byte) { s.c.WriteToUDPAddrPort(m, s.to) }
func (s *fixedOutput) ToCaller(datagram.IP, []byte)      {}

// BenchmarkRelay measures how long a balancer takes for a packet of an open flow, from the
// read to the write, and compares it with a plain relay in the same run. Both make the same
// two system calls. The reported ratio is that of their packets per second.
func BenchmarkRelay(b *testing.B) {
	open := func() *net.UDPConn {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { c.Close() })
		return c
	}
	caller, relay, sink := open(), open(), open()
	at := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
	r, err := keyring.Parse([]string{testKey})
	if err != nil {
		b.Fatal(err)
	}
	x := &datagram.Balancer{Format: platform.PacketFormat{}, Out: &fixedOutput{relay, at(sink)}, Keys: link.NewKeys(r)}
	x.Start()
	service := datagram.ServiceKeyOf("letters")
	address := datagram.EndpointOf(netip.MustParseAddrPort("198.18.0.1:443"))
	x.SetConfiguration(&datagram.Configuration{Version: 1, Routes: map[datagram.Endpoint]datagram.Route{address: {Shares: []datagram.Share{{Service: service, Weight: 1}}}}})
	// A message from an agent that holds the flow, so that the balancer records the flow's agent.
	packet := append(testPacket("127.0.0.31:40001", "198.18.0.1:443", 2, 1, 2), make([]byte, 600)...)
	packet[29], packet[30] = 600>>8, 600&0xff
	mine := make([]byte, datagram.HeaderLen, datagram.HeaderLen+12)
	mine = append(mine, packet[17:21]...)
	mine = append(mine, packet[21:23]...)
	mine = append(mine, packet[13:17]...)
	mine = append(mine, packet[23:25]...)
	h := datagram.Message{Kind: datagram.KindHeld}
	h.Put(mine, x.Keys[0])
	x.HandleMessage(7, mine, 0)

	buf := make([]byte, bufferLen)
	bare := func() {
		n, _, _ := relay.ReadFromUDPAddrPort(buf[datagram.HeaderLen:])
		relay.WriteToUDPAddrPort(buf[datagram.HeaderLen:datagram.HeaderLen+n], at(sink))
	}
	ours := func() {
		n, _, _ := relay.ReadFromUDPAddrPort(buf[datagram.HeaderLen:])
		x.HandleCaller(buf[:datagram.HeaderLen+n], time.Second)
	}
	var spent [2]time.Duration
	received := make([]byte, bufferLen)
	for seq := uint32(2); b.Loop(); seq++ {
		binary.BigEndian.PutUint32(packet, seq) // a repeated packet would cause a lookup
		for i, f := range []func(){bare, ours} {
			caller.WriteToUDPAddrPort(packet, at(relay))
			t := time.Now()
			f()
			spent[i] += time.Since(t)
			sink.ReadFromUDPAddrPort(received)
		}
	}
	b.ReportMetric(float64(spent[0].Nanoseconds())/float64(b.N), "bare-ns/packet")
	b.ReportMetric(float64(spent[1].Nanoseconds())/float64(b.N), "ns/packet")
	b.ReportMetric(float64(spent[0])/float64(spent[1]), "ratio")
	if x.Count.Packets == 0 || x.Count.Lookups > 0 {
		b.Errorf("the balancer did not record the flow's agent: %+v", x.Count)
	}
}
