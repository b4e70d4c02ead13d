package main

import (
	"fmt"
	"syscall"
	"time"

	"pomeloway.example/pomeloway/standin"
)

const (
	// clockStep is how far ahead the time of day of a machine is when its backend starts. It jumps
	// back before the machine's agent restarts.
	clockStep  = 2400 * time.Millisecond
	clockFlows = 40
	// idlePause is how long the flows are idle after the last restart. It is longer than the
	// stability window and shorter than the idle timeout.
	idlePause = 6 * time.Second
)

// playClock starts a backend while the time of day of its machine is ahead, and restarts the agents
// in turn afterwards, as planned. Each flow then has one more request.
func playClock(s *site) error {
	address := s.at(s.ip(200), portCallers)
	s.routes = []standin.Route{{Address: address, Service: "letters", Priority: 1, TargetLatency: 300 * time.Millisecond}}
	zones := []string{"zone-a", "zone-b"}
	for _, z := range zones {
		s.add("balancer", z, 0, "")
	}
	var agents []*node
	for _, z := range zones {
		agents = append(agents, s.add("agent", z, 0, "letters"))
	}
	if err := s.configure(0); err != nil {
		return err
	}
	if _, err := s.newBackend(agents[1], 0); err != nil {
		return err
	}
	if err := s.startAll(); err != nil {
		return err
	}
	c, err := s.addCaller(101, zones[0])
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)

	ahead := time.Duration(0)
	if s.trouble {
		ahead = clockStep
	}
	b, err := s.newBackend(agents[0], ahead)
	if err != nil {
		return err
	}
	s.note("planned work: the backend of %s starts", agents[0].name)
	time.Sleep(300 * time.Millisecond)
	var flows []*flow
	s.locked(func() {
		for range clockFlows {
			flows = append(flows, c.open(address, (*flow).ask))
		}
	})
	time.Sleep(700 * time.Millisecond)
	if s.trouble {
		s.note("disruption: the time of day of %s, which was %v ahead when its backend started, has jumped back", agents[0].name, clockStep)
	}
	usable := 0
	s.locked(func() {
		for _, f := range flows {
			if f.open && f.answered == 1 {
				usable++
			}
		}
	})
	s.note("%d of %d flows are open and have got an answer, %d at the new backend", usable, len(flows), b.ran)
	if usable < clockFlows/2 || b.ran == 0 {
		return fmt.Errorf("only %d flows could be opened, %d at the new backend", usable, b.ran)
	}
	for _, n := range agents {
		s.note("planned work: %s gets SIGTERM and starts again", n.name)
		s.stop(n, syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		if err := s.start(n); err != nil {
			return err
		}
		time.Sleep(900 * time.Millisecond)
	}
	time.Sleep(idlePause)
	s.note("each flow has another request")
	s.locked(func() {
		for _, f := range flows {
			if f.open && !f.over && !f.waiting {
				f.ask()
			}
		}
	})
	time.Sleep(3 * time.Second)
	return s.judgeResets(flows)
}
