package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"pomeloway.example/pomeloway/standin"
)

const (
	// regionCut is how long the regions can't reach each other. The pages allow an hour.
	regionCut = 72 * time.Second
	// calm is more than the stability window after the cut.
	calm        = 6 * time.Second
	regionFlows = 40
)

// playRegions cuts two regions apart, lets them meet again, and opens flows in the second region
// once all is calm. Then its only front is stopped and started again as planned. Meanwhile the
// routers send its clients' packets to the fronts of the first region.
func playRegions(s *site) error {
	address := s.at(s.ip(200), portCallers)
	s.routes = []standin.Route{{Address: address, Service: "letters", Priority: 1, TargetLatency: 300 * time.Millisecond}}
	s.add("balancer", "east-a", 0, "")
	front := s.add("balancer", "west-a", 1, "")
	for r, z := range []string{"east-a", "west-a"} {
		for range 2 {
			s.add("agent", z, r, "letters")
		}
	}
	if err := s.configure(0); err != nil {
		return err
	}
	if err := s.connect(); err != nil {
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
	c, err := s.addCaller(101, "west-a")
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.note("disruption: the regions can't reach each other for %v; both reach the platform's store", regionCut)
		s.mesh.cut.Store(true)
		time.Sleep(regionCut)
		s.mesh.cut.Store(false)
		s.note("the regions reach each other again; %d datagrams were dropped", s.mesh.dropped.Load())
	}
	time.Sleep(calm)
	s.noteRecords()

	var flows []*flow
	s.locked(func() {
		for range regionFlows {
			flows = append(flows, c.open(address, (*flow).ask))
		}
	})
	time.Sleep(2 * time.Second)
	usable := 0
	s.locked(func() {
		for _, f := range flows {
			if f.open && f.answered == 1 {
				usable++
			}
		}
	})
	s.note("%d of %d flows are open and have got an answer", usable, len(flows))
	if usable < regionFlows/2 {
		return fmt.Errorf("only %d flows could be opened", usable)
	}

	s.note("planned work: %s gets SIGTERM and starts again", front.name)
	go func() {
		s.stop(front, syscall.SIGTERM)
		s.note("%s has ended", front.name)
		time.Sleep(500 * time.Millisecond)
		if err := s.start(front); err != nil {
			s.note("%s did not start: %v", front.name, err)
		}
	}()
	for range 14 { // each flow has a request every half second
		time.Sleep(500 * time.Millisecond)
		s.locked(func() {
			for _, f := range flows {
				if f.open && !f.over && !f.waiting {
					f.ask()
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	return s.judgeResets(flows)
}

// noteRecords notes which members the store has.
func (s *site) noteRecords() {
	a, err := s.client.Get("http://" + s.at(s.ip(2), portStore).String() + "/pomeloway/objects/process")
	if err != nil {
		return
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return
	}
	n, names := countRecords(a.Body)
	s.note("the store has %d records of members for %d nodes: %v", n, len(s.nodes), names)
}

// judgeResets checks FLOW (a): no client gets a reset that the flow's backend did not send, while
// that backend lives and holds the flow.
func (s *site) judgeResets(flows []*flow) error {
	broken, answered := 0, 0
	s.locked(func() {
		for _, f := range flows {
			answered += f.answered
			if f.resetAt.IsZero() || !f.open {
				continue
			}
			for _, b := range s.ends {
				if x := b.flows[f.key]; x != nil && x.open {
					broken++
					s.note("FLOW: flow %s, open at the living backend of %s for %v, was reset at %.3f, %.1f s after its last answer",
						f.key.caller, b.n.name, f.resetAt.Sub(f.opened).Round(time.Millisecond), f.resetAt.Sub(s.started).Seconds(), f.resetAt.Sub(f.lastAnswer).Seconds())
				}
			}
		}
	})
	for _, b := range s.ends {
		s.note("backend of %s: %d requests run", b.n.name, b.ran)
	}
	s.note("%d requests were answered; %d of %d flows were reset by the system while their backends held them", answered, broken, len(flows))
	if broken > 0 {
		return fmt.Errorf("%w: FLOW, %d flows", errBroken, broken)
	}
	return nil
}
