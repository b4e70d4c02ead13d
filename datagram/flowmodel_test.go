package datagram

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelFlow is one flow as its two ends see it. It is open from when the upstream has the end of the
// handshake until both ends have sent a FIN, or one of them a reset.
type modelFlow struct {
	callerISN, upstreamISN uint32
	callerSent             uint32 // bytes that the caller has sent, with its FIN
	upstreamSent           uint32 // bytes that the upstream has sent, with its FIN
	open                   bool
	callerFin, upstreamFin bool
	over                   bool // by a reset, or its upstream has ended
	openedAt               time.Duration
}

func (f *modelFlow) ended() bool { return f.over || f.callerFin && f.upstreamFin }

// flowModel drives a flowSite with an upstream that holds flows as the users' pages say.
type flowModel struct {
	*flowSite
	t     *rapid.T
	flows map[uint16]*modelFlow // by port of the caller; the latest
	sent  [][]byte              // packets of callers that may arrive again, late
	isn   uint32
	// received is set when a packet of the flow on the port reaches the upstream.
	received map[uint16]bool
	// misrouted has the packets of a flow that have reached other upstreams since the last one that
	// reached its own.
	misrouted map[uint16]misroutes
	replies   []modelReply
	lifetime  FlowLifetime
}

type misroutes struct {
	n     int
	since time.Duration
}

// modelReply is a packet of the upstream beside an agent.
type modelReply struct {
	agent  IP
	packet []byte
}

// misrouteWindow is the time in which three packets of an open flow may not reach other upstreams
// if none reaches its own.
const misrouteWindow = 2 * time.Second

// handleUpstream takes a packet that the agent forwards to the upstream. The replies are delivered by
// deliver, as the agent is not reentrant.
func (m *flowModel) handleUpstream(agent IP, b []byte) {
	p, _ := closingFormat{}.Parse(b)
	port := p.Flow.Caller.Port
	f := m.flows[port]
	bounce := func() {
		c := append(make([]byte, HeaderLen), b...)
		c[HeaderLen] |= testBounced
		m.replies = append(m.replies, modelReply{agent, c})
	}
	reply := func(flags byte, seq, ack uint32) {
		m.replies = append(m.replies, modelReply{agent, closingPacket(port, flags, seq, ack, 0)})
	}
	if agent != testAgent {
		m.noteMisroute(port, f, p)
		bounce()
		return
	}
	delete(m.misrouted, port)
	switch {
	case p.Open && f != nil && !f.over && p.Seq == f.callerISN:
		reply(testOpen|testAck, f.upstreamISN, p.Seq+1)
	case f == nil || f.over || p.Open:
		bounce()
	case p.Seq-f.callerISN > 1<<20 || !f.open && p.AckNumber != f.upstreamISN+1:
		// A packet of an earlier flow, which the upstream ignores.
	case p.Reset:
		f.over = true // by its caller, in order
	default:
		if !f.open {
			f.open, f.openedAt = true, m.now
		}
		m.received[port] = true
		if p.Fin {
			f.callerFin = true
		}
		if p.Length > 0 || p.Fin {
			ack := p.Seq + uint32(p.Length)
			if p.Fin {
				ack++
			}
			reply(testAck, f.upstreamISN+1+f.upstreamSent, ack)
		}
	}
}

// noteMisroute judges a packet that reaches an upstream which does not hold the flow.
func (m *flowModel) noteMisroute(port uint16, f *modelFlow, p Packet) {
	if f == nil || !live(f) || p.Open || m.now-f.openedAt > time.Duration(m.lifetime) {
		return
	}
	x, known := m.misrouted[port]
	if !known {
		x.since = m.now
	}
	x.n++
	if m.misrouted[port] = x; x.n >= 3 && m.now-x.since >= misrouteWindow {
		m.t.Fatalf("%d packets of open flow %d reached other upstreams for %v and none its own, %+v", x.n, port, m.now-x.since, *f)
	}
}

func (m *flowModel) deliver() {
	for len(m.replies) > 0 {
		r := m.replies[0]
		m.replies = m.replies[1:]
		if a := m.draining[r.agent]; a != nil {
			a.HandleUpstream(r.packet, m.now-m.startedAt[r.agent])
		} else {
			m.a.HandleUpstream(r.packet, m.uptime())
		}
	}
}

// resetWindow is how far the number of a reset may be from the caller's last acknowledgement. The
// caller ignores others once its flow is open.
const resetWindow = 76_800

// handleReset judges a reset that the caller gets from a balancer or the agent.
func (m *flowModel) handleReset(port uint16, number uint32) {
	f := m.flows[port]
	if f == nil {
		return
	}
	if d := int32(number - (f.upstreamISN + 1 + f.upstreamSent)); f.open && (d > resetWindow || d < -resetWindow) {
		return
	}
	if age := m.now - f.openedAt; f.open && !f.ended() && age <= time.Duration(m.lifetime) {
		m.t.Fatalf("flow %d was reset: it is open at its upstream and %v old, %+v", port, age, *f)
	}
	f.over = true
}

// pause advances the clock. What the agent sends to the upstream is answered at each step.
func (m *flowModel) pause(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.run(10 * time.Millisecond)
		m.deliver()
	}
}

// packet sends a packet of the caller, and keeps it as one that may arrive again.
func (m *flowModel) packet(port uint16, flags byte, seq, ack uint32, length int) {
	b := closingPacket(port, flags, seq, ack, length)
	if m.sent = append(m.sent, slices.Clone(b)); len(m.sent) > 30 {
		m.sent = m.sent[1:]
	}
	m.arrive(b)
}

// arrive delivers a packet of a caller by either balancer.
func (m *flowModel) arrive(b []byte) {
	ips := []IP{101, 102}
	x := m.balancers[rapid.SampledFrom(ips).Draw(m.t, "balancer")]
	x.HandleCaller(b, m.now)
	m.deliver()
}

// modelPorts is the number of ports that callers use again and again.
const modelPorts = 2

// port draws a port whose latest flow satisfies the condition.
func (m *flowModel) port(ok func(*modelFlow) bool) (uint16, *modelFlow) {
	var ports []uint16
	for p := range uint16(modelPorts) {
		if f := m.flows[p]; f != nil && ok(f) {
			ports = append(ports, p)
		}
	}
	if len(ports) == 0 {
		m.t.Skip("no such flow")
	}
	p := rapid.SampledFrom(ports).Draw(m.t, "port")
	return p, m.flows[p]
}

func live(f *modelFlow) bool { return f.open && !f.ended() }

// openFlow opens the next flow from a port whose earlier flow has ended or does not exist.
func (m *flowModel) openFlow() {
	port := rapid.Uint16Range(0, modelPorts-1).Draw(m.t, "port")
	if f := m.flows[port]; f != nil && !f.ended() {
		m.t.Skip("the port is in use")
	}
	m.isn += 10_000_000
	f := &modelFlow{callerISN: m.isn, upstreamISN: m.isn + 5_000_000}
	m.flows[port] = f
	m.packet(port, testOpen, f.callerISN, 0, 0)
	m.pause(50 * time.Millisecond)
	m.packet(port, testAck, f.callerISN+1, f.upstreamISN+1, 100)
	f.callerSent = 100
	m.pause(100 * time.Millisecond)
	if !f.open {
		f.over = true // the opening was refused, or lost with an agent
	}
}

// request sends a request on an open flow. With checkArrival set, it has to reach the upstream in the
// time for which a flow may be misrouted.
func (m *flowModel) request(checkArrival bool) {
	port, f := m.port(func(f *modelFlow) bool { return live(f) && !f.callerFin })
	if m.now-f.openedAt > time.Duration(m.lifetime) {
		m.t.Skip("the flow is too old")
	}
	delete(m.received, port)
	seq := f.callerISN + 1 + f.callerSent
	f.callerSent += 100
	for _, again := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond} {
		if m.packet(port, testAck, seq, f.upstreamISN+1+f.upstreamSent, 100); !checkArrival {
			return
		}
		m.pause(again)
		if m.received[port] {
			return
		}
	}
	m.t.Fatalf("a request on open flow %d did not reach its upstream, %+v", port, *f)
}

// useFixedSeed makes rapid draw the same in each run, unless a seed or a failure file is given.
func useFixedSeed(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against resets of flows that are open by the users' pages, and against packets of such flows
// that do not reach their upstreams, in any order of packets, restarts, pauses and late copies.
func TestFlowsLiveAsThePagesSay(t *testing.T) {
	ks := testKeys(t)
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		const lifetime = FlowLifetime(30 * time.Second)
		m := &flowModel{t: t, flows: map[uint16]*modelFlow{}, received: map[uint16]bool{}, misrouted: map[uint16]misroutes{}, lifetime: lifetime}
		m.flowSite = newFlowSiteWithKeys(ks, lifetime)
		m.onUpstream, m.onReset = m.handleUpstream, m.handleReset
		restart := func() { m.pause(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second) }
		t.Repeat(map[string]func(*rapid.T){
			"open":            func(t *rapid.T) { m.t = t; m.openFlow() },
			"request":         func(t *rapid.T) { m.t = t; m.request(false) },
			"request arrives": func(t *rapid.T) { m.t = t; m.pause(4 * time.Second); m.request(true) },
			"answer": func(t *rapid.T) {
				m.t = t
				port, f := m.port(func(f *modelFlow) bool { return live(f) && !f.upstreamFin })
				m.a.HandleUpstream(closingPacket(port, testAck, f.upstreamISN+1+f.upstreamSent, f.callerISN+1+f.callerSent, 100), m.uptime())
				f.upstreamSent += 100
				m.packet(port, testAck, f.callerISN+1+f.callerSent, f.upstreamISN+1+f.upstreamSent, 0)
			},
			"caller closes": func(t *rapid.T) {
				m.t = t
				port, f := m.port(func(f *modelFlow) bool { return live(f) && !f.callerFin })
				seq := f.callerISN + 1 + f.callerSent
				f.callerSent++
				m.packet(port, testAck|testFin, seq, f.upstreamISN+1+f.upstreamSent, 0)
				m.pause(time.Second)
				f.callerFin = true
			},
			"upstream closes": func(t *rapid.T) {
				m.t = t
				port, f := m.port(func(f *modelFlow) bool { return live(f) && !f.upstreamFin })
				f.upstreamFin = true
				m.a.HandleUpstream(closingPacket(port, testAck|testFin, f.upstreamISN+1+f.upstreamSent, f.callerISN+1+f.callerSent, 0), m.uptime())
				f.upstreamSent++
				m.packet(port, testAck, f.callerISN+1+f.callerSent, f.upstreamISN+1+f.upstreamSent, 0)
			},
			"caller goes away": func(t *rapid.T) {
				m.t = t
				_, f := m.port(live)
				f.over = true
			},
			"caller resets": func(t *rapid.T) {
				m.t = t
				port, f := m.port(live)
				m.packet(port, testReset|testAck, f.callerISN+1+f.callerSent, 0, 0)
				f.over = true
			},
			"closed, used again at once": func(t *rapid.T) {
				m.t = t
				port, f := m.port(func(f *modelFlow) bool { return live(f) && !f.callerFin && !f.upstreamFin })
				seq, ack := f.callerISN+1+f.callerSent, f.upstreamISN+1+f.upstreamSent
				m.packet(port, testAck|testFin, seq, ack, 0)
				f.upstreamFin = true
				m.a.HandleUpstream(closingPacket(port, testAck|testFin, ack, seq+1, 0), m.uptime())
				m.packet(port, testAck, seq+1, ack+1, 0)
				f.callerFin = true
				m.openFlow()
			},
			"caller acknowledges": func(t *rapid.T) {
				m.t = t
				port, f := m.port(live)
				m.packet(port, testAck, f.callerISN+1+f.callerSent, f.upstreamISN+1+f.upstreamSent, 0)
			},
			"late copy": func(t *rapid.T) {
				m.t = t
				if len(m.sent) == 0 {
					t.Skip("nothing was sent")
				}
				m.arrive(slices.Clone(rapid.SampledFrom(m.sent).Draw(t, "packet")))
			},
			"pause": func(t *rapid.T) {
				m.t = t
				m.pause(time.Duration(rapid.IntRange(100, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"balancer restarts": func(t *rapid.T) {
				m.t = t
				m.startBalancer(rapid.SampledFrom([]IP{101, 102}).Draw(t, "balancer"), lifetime)
				restart()
			},
			"both balancers restart": func(t *rapid.T) {
				m.t = t
				for _, ip := range []IP{101, 102} {
					m.startBalancer(ip, lifetime)
					m.pause(2 * time.Second)
				}
			},
			"another agent restarts": func(t *rapid.T) {
				m.t = t
				m.restartDraining(rapid.SampledFrom([]IP{11, 12, 13}).Draw(t, "agent"))
			},
			"agent restarts": func(t *rapid.T) {
				m.t = t
				m.restartAgent()
				restart()
			},
		})
	})
}
