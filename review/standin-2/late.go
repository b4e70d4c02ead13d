package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"pomeloway.example/pomeloway/standin"
)

// playLate delivers a heartbeat of an earlier run of a backend just after the restart of its agent, as
// planned. It is not a case of its own; see REPORT-2.md.
func playLate(s *site) error {
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
	for _, n := range agents {
		if _, err := s.newBackend(n, 0); err != nil {
			return err
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
	oldBorn := time.Now().Add(-60 * time.Second).UnixMilli()
	var flows []*flow
	s.locked(func() {
		for range clockFlows {
			flows = append(flows, c.open(address, (*flow).ask))
		}
	})
	time.Sleep(time.Second)
	for _, n := range agents {
		s.stop(n, syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		if err := s.start(n); err != nil {
			return err
		}
		if s.trouble && n == agents[0] {
			body := []byte(fmt.Sprintf(`{"service":"letters","address":%q,"zone":"zone-a","version":"v1","slots":5,"state":"ready","cold-remaining-ms":0,"sequence":50,"born":%d}`, s.at(n.ip, portApp).String(), oldBorn))
			for range 100 {
				a, err := s.client.Post("http://"+s.at(n.ip, portControl).String()+"/pomeloway/instances/i-old/heartbeat", "application/json", bytes.NewReader(body))
				if err == nil {
					a.Body.Close()
					s.note("disruption: a late heartbeat of an earlier run is answered with status %d", a.StatusCode)
					if a.StatusCode == http.StatusOK {
						break
					}
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		time.Sleep(900 * time.Millisecond)
	}
	time.Sleep(idlePause)
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
