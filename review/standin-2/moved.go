package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"pomeloway.example/pomeloway/standin"
)

const (
	misrouteWindow = 2 * time.Second
	misroutePacket = 3
	movedFlows     = 40
	configInForce  = 3500 * time.Millisecond // more than config-propagation-ms
	restartDelay   = 500 * time.Millisecond
)

// reach is the arrival of a packet of an established flow at a backend.
type reach struct {
	at  time.Time
	own bool // the backend holds the flow
}

// playMoved moves a route to another service while flows are open and idle, and then kills all
// processes of the system at once. Each flow then has one more request.
func playMoved(s *site) error {
	address := s.at(s.ip(200), portCallers)
	route := func(service string) {
		s.routes = []standin.Route{{Address: address, Service: service, Priority: 1, TargetLatency: 300 * time.Millisecond}}
	}
	zones := []string{"zone-a", "zone-b"}
	for _, z := range zones {
		s.add("balancer", z, 0, "")
	}
	for i := range 3 {
		s.add("agent", zones[i%2], 0, "letters")
	}
	for i := range 4 {
		s.add("agent", zones[i%2], 0, "parcels")
	}
	route("letters")
	if err := s.configure(0); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if n.role == "agent" {
			if _, err := s.newBackend(n, 0); err != nil {
				return err
			}
		}
	}
	if err := s.startAll(); err != nil {
		return err
	}
	c, err := s.addCaller(101, zones[0])
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var flows []*flow
	s.locked(func() {
		for range movedFlows {
			flows = append(flows, c.open(address, (*flow).ask))
		}
	})
	time.Sleep(time.Second)
	usable := 0
	s.locked(func() {
		for _, f := range flows {
			if f.open && f.answered == 1 {
				usable++
			}
		}
	})
	s.note("%d of %d flows are open and have got an answer", usable, len(flows))
	if usable < movedFlows/2 {
		return fmt.Errorf("only %d flows could be opened", usable)
	}
	route("parcels")
	if err := s.configure(0); err != nil {
		return err
	}
	s.note("planned work: version %d moves the route to another service", s.version)
	time.Sleep(configInForce)
	if s.trouble {
		s.note("disruption: all processes of the system are killed at once")
		var w sync.WaitGroup
		for _, n := range s.nodes {
			w.Go(func() { s.stop(n, syscall.SIGKILL) })
		}
		w.Wait()
		time.Sleep(restartDelay)
		for _, n := range s.nodes {
			if err := s.start(n); err != nil {
				return err
			}
		}
	}
	time.Sleep(calm)
	s.note("each flow has another request")
	s.locked(func() {
		for _, f := range flows {
			if f.open && !f.over && !f.waiting {
				f.ask()
			}
		}
	})
	time.Sleep(5 * time.Second)
	return s.judgeMisroutes(flows)
}

// judgeMisroutes checks FLOW (b): for no span of the misroute window do three or more of a flow's
// packets reach other backends and none its own, while that one lives and holds the flow.
func (s *site) judgeMisroutes(flows []*flow) error {
	broken, answered := 0, 0
	s.locked(func() {
		for _, f := range flows {
			answered += f.answered
			holder := ""
			for _, b := range s.ends {
				if x := b.flows[f.key]; x != nil && x.open {
					holder = b.n.name
				}
			}
			if holder == "" || f.request < 2 {
				continue
			}
			if n := worstSpan(s.reached[f.key]); n >= misroutePacket {
				broken++
				s.note("FLOW: flow %s, open at the living backend of %s: %d packets reached other backends and none its own in %v; its last request was answered: %v",
					f.key.caller, holder, n, misrouteWindow, !f.waiting)
			}
		}
	})
	for _, b := range s.ends {
		s.note("backend of %s, %s: %d requests run", b.n.name, b.n.service, b.ran)
	}
	s.note("%d requests were answered; %d of %d flows were misrouted", answered, broken, len(flows))
	if broken > 0 {
		return fmt.Errorf("%w: FLOW, %d flows", errBroken, broken)
	}
	return nil
}

// worstSpan returns the largest number of packets that reached other backends within the misroute
// window while none reached the flow's own.
func worstSpan(rs []reach) (worst int) {
	for i, first := range rs {
		if first.own {
			continue
		}
		end, n := first.at.Add(misrouteWindow), 0
		for _, r := range rs[i:] {
			if r.at.After(end) {
				break
			}
			if n++; r.own {
				n = 0
				break
			}
		}
		worst = max(worst, n)
	}
	return worst
}
