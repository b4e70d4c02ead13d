package balancer

import (
	"net/netip"
	"testing"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/process"
)

// newPortBalancer returns a balancer that has no process around it and opens ports only.
func newPortBalancer(t *testing.T) *Balancer {
	b := &Balancer{Process: &process.Process{Log: events.NewLog(nil)}, opts: Options{Forwarders: 1}}
	b.view.Store(&View{})
	b.ports.Store(&portMap{})
	t.Cleanup(func() {
		for _, p := range *b.ports.Load() {
			p.close()
		}
		b.wait.Wait()
	})
	return b
}

// serviceAt returns a bundle with one service at the address.
func serviceAt(a netip.AddrPort) *bundle.Bundle {
	return &bundle.Bundle{Services: []bundle.Service{{ID: 1, Name: "letters", Address: a}}}
}

// Guards against callers that lose a service at its old address, because its new address
// can't be listened on. The new address is opened as soon as that is possible.
func TestServiceKeepsItsPortUntilTheNextOneIsOpen(t *testing.T) {
	b := newPortBalancer(t)
	free, taken := socket(t), socket(t)
	old, next := free.Addr(), taken.Addr()
	free.Close()
	b.updatePorts(serviceAt(old))
	b.updatePorts(serviceAt(next))
	if p := (*b.ports.Load())[1]; p == nil || p.local != old {
		t.Fatalf("the service's port is %+v, want the old one at %v", p, old)
	}
	if !b.portsMissing {
		t.Error("the new address is not tried again")
	}
	taken.Close()
	b.updatePorts(serviceAt(next))
	if p := (*b.ports.Load())[1]; p == nil || p.local != next {
		t.Errorf("the service's port is %+v, want the new one at %v", p, next)
	}
	if b.portsMissing {
		t.Error("an open address is tried again")
	}
}

// Guards against memory and work that grow with each port that is closed and opened again,
// and against totals that lose what closed ports have counted.
func TestCountersOfClosedPortsAreSummedUp(t *testing.T) {
	b := newPortBalancer(t)
	for range 20 {
		s := socket(t)
		a := s.Addr()
		s.Close()
		b.updatePorts(serviceAt(a))
		b.mu.Lock()
		b.counters[len(b.counters)-1].Forwarded.Add(1)
		b.mu.Unlock()
	}
	b.updatePorts(&bundle.Bundle{})
	b.wait.Wait()
	if n := b.Counts().Forwarded; n != 20 {
		t.Errorf("%d datagrams counted, want 20", n)
	}
	if n := len(b.counters); n > 1 {
		t.Errorf("%d counters are kept, want the sum of the closed ports only", n)
	}
}
