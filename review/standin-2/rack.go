package main

import (
	"fmt"
	"net/netip"
	"time"

	"pomeloway.example/pomeloway/standin"
)

const (
	rackCut      = 70 * time.Second
	recovery     = 12 * time.Second
	requestRate  = 20 // a second
	requestTime  = 5 * time.Second
	requestTries = 3
)

// playRack cuts the side machines off from all others, as the loss of a rack's switch does, and
// connects them again. Requests are sent before, and from the recovery time on after.
func playRack(s *site) error {
	address := s.at(s.ip(200), portCallers)
	s.routes = []standin.Route{{Address: address, Service: "letters", Priority: 1, TargetLatency: 300 * time.Millisecond}}
	s.racks = true
	for range 2 {
		s.add("balancer", "zone-a", 0, "")
	}
	for range 3 {
		s.add("agent", "zone-b", 1, "letters")
	}
	if err := s.configure(0); err != nil {
		return err
	}
	if err := s.connect(); err != nil {
		return err
	}
	if err := s.connectStore(); err != nil {
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
	c, err := s.addCaller(101, "zone-a")
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	before, sent := s.requests(c, address)
	s.note("before: %d of %d requests were served", before, sent)
	if 4*before < sent {
		return fmt.Errorf("only %d of %d requests were served before", before, sent)
	}
	if s.trouble {
		s.note("disruption: the side machines can't reach the fronts and the platform's store for %v", rackCut)
		s.mesh.cut.Store(true)
		time.Sleep(rackCut)
		s.mesh.cut.Store(false)
		s.note("all machines reach each other again; %d datagrams were dropped", s.mesh.dropped.Load())
	}
	time.Sleep(recovery + time.Second)
	s.noteRecords()
	served, sent := s.requests(c, address)
	for _, b := range s.ends {
		s.locked(func() {
			s.note("backend of %s: %d heartbeats acknowledged, %d requests run", b.n.name, b.acknowledged, b.ran)
		})
	}
	s.note("later than %v after the machines are back: %d of %d requests were served", recovery, served, sent)
	if 4*served < sent {
		return fmt.Errorf("%w: RECOVER, %d of %d requests served", errBroken, served, sent)
	}
	return nil
}

// requests sends requests with a flow each for a while. A client tries each request up to three
// times, as its flow did not open. It returns how many were answered, and how many there were.
func (s *site) requests(c *caller, address netip.AddrPort) (served, sent int) {
	answered := func(f *flow) bool { return f.answered > 0 }
	var flows [][]*flow
	for end := time.Now().Add(requestTime); time.Now().Before(end); time.Sleep(time.Second / requestRate) {
		s.locked(func() {
			i := len(flows)
			flows = append(flows, nil)
			var try func()
			try = func() {
				f := c.open(address, (*flow).ask)
				flows[i] = append(flows[i], f)
				s.after(1450*time.Millisecond, func() {
					if !f.open && len(flows[i]) < requestTries {
						try()
					}
				})
			}
			try()
		})
	}
	time.Sleep(5 * time.Second)
	s.locked(func() {
		for _, fs := range flows {
			sent++
			for _, f := range fs {
				if answered(f) {
					served++
					break
				}
			}
		}
	})
	return served, sent
}
