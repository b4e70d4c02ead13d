package datagram

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pomeloway.example/pomeloway/link"
)

// discardOutput counts and discards what is sent.
type discardOutput struct{ n int }

func (q *discardOutput) ToProcess(IP, []byte) { q.n++ }
func (q *discardOutput) ToCaller(IP, []byte)  { q.n++ }
func (q *discardOutput) ToUpstream([]byte)    { q.n++ }

// benchTime is when the packets of benchmarks arrive. At that time no agent is silent.
const benchTime = 1500 * time.Millisecond

func benchBalancer(tb testing.TB, ks link.Keys) (*Balancer, []byte) {
	b := &Balancer{Format: plainFormat{}, Out: &discardOutput{}, Keys: ks}
	b.Start()
	b.SetConfiguration(&Configuration{Version: 1, Routes: map[Endpoint]Route{{2, 443}: {Shares: []Share{{7, 1}}}}})
	for ip := range IP(10) {
		b.agents.applyStatus(ip+1, AgentStatus{
			Life: Life(ip + 1), Sequence: 1, Service: 7, State: UpstreamReady, Slots: 5,
		}, time.Second)
	}
	m := append(plainPacket(plainData, 9), make([]byte, 1000)...)
	p, _ := plainFormat{}.Parse(m[HeaderLen:])
	b.flows.set(p.Flow, flowLocation{agent: 3})
	return b, m
}

func benchAgent(ks link.Keys) (*Agent, []byte) {
	a := &Agent{Service: 7, Format: plainFormat{}, Out: &discardOutput{}, Keys: ks}
	a.Start()
	a.HandleAnnouncement(&Announcement{Service: 7, Born: 5, Sequence: 1, Slots: 5}, time.Second)
	m := append(plainPacket(plainData, 9), make([]byte, 1000)...)
	p, _ := plainFormat{}.Parse(m[HeaderLen:])
	a.flows.set(p.Flow, &flowState{phase: flowOpen, born: 5})
	h := Message{Kind: KindPacket}
	h.Put(m, ks[0])
	return a, m
}

// Guards against memory allocations in the processing of a packet.
func TestPacketProcessingDoesNotAllocate(t *testing.T) {
	ks := testKeys(t)
	b, m := benchBalancer(t, ks)
	a, in := benchAgent(ks)
	out := append(plainPacket(plainData, 9), 0)
	for name, f := range map[string]func(){
		"balancer":      func() { b.HandleCaller(m, benchTime) },
		"agent inward":  func() { a.HandleMessage(1, in, 2*time.Second) },
		"agent outward": func() { a.HandleUpstream(out, 2*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			if n := testing.AllocsPerRun(1000, f); n > 0 {
				t.Errorf("%v allocations per packet, want 0", n)
			}
		})
	}
}

func BenchmarkPacket(b *testing.B) {
	ks := testKeys(b)
	x, m := benchBalancer(b, ks)
	a, in := benchAgent(ks)
	for name, f := range map[string]func(){
		"balancer": func() { x.HandleCaller(m, benchTime) },
		"agent":    func() { a.HandleMessage(1, in, 2*time.Second) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
}

// BenchmarkFlowMemory reports the memory per stored flow, at four table sizes.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{10_000, 20_000, 40_000, 80_000} {
		flow := func(i int) Flow { return Flow{Caller: Endpoint{IP(i >> 8), uint16(i)}, Address: Endpoint{2, 443}} }
		b.Run(fmt.Sprintf("balancer/%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapOf(n, func() any {
					t := newTable[flowLocation](maxLocations)
					for i := range n {
						t.set(flow(i), flowLocation{agent: 1})
					}
					return &t
				}), "B/flow")
			}
		})
		b.Run(fmt.Sprintf("home/%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapOf(n, func() any {
					t := newTable[entry](maxDirectoryFlows)
					for i := range n {
						t.set(flow(i), entry{holders: holders{1}})
					}
					return &t
				}), "B/flow")
			}
		})
		b.Run(fmt.Sprintf("agent/%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapOf(n, func() any {
					t := newTable[*flowState](maxFlows)
					for i := range n {
						t.set(flow(i), &flowState{phase: flowOpen})
					}
					return &t
				}), "B/flow")
			}
		})
	}
}

// BenchmarkLocate measures the answer of a home to a lookup, in a fleet of 400 balancers:
// with the pass over all agents that computes the directory's coverage (at most once per
// coverageInterval), and without it.
func BenchmarkLocate(b *testing.B) {
	for _, n := range []int{10, 250, 2400} {
		x, _ := benchBalancer(b, testKeys(b))
		x.membersRead = true
		var ips []IP
		for ip := range IP(400) {
			ips = append(ips, 1000+ip)
		}
		x.homes = newHomeSet(append(ips, x.Self), nil)
		for ip := range IP(n) {
			x.agents.applyStatus(ip+1, AgentStatus{
				Life: Life(ip + 1), Sequence: 2, Service: 7, State: UpstreamReady, KnowsAll: true, Homes: x.homes.digest,
			}, time.Second)
		}
		p := appendFlow(nil, testFlow(9))
		for name, recompute := range map[string]bool{"computing coverage": true, "coverage cached": false} {
			b.Run(fmt.Sprintf("%d agents, %s", n, name), func(b *testing.B) {
				for b.Loop() {
					if recompute {
						x.directory.coverage.computedAt = 0
					}
					x.handleLocate(2, p, benchTime)
				}
				if !x.directory.coverage.complete {
					b.Error("the directory does not cover all agents")
				}
			})
		}
	}
}

// heapOf returns the heap memory retained by the result of f, divided by n.
func heapOf(n int, f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(x)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}
