package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// countRecords reads a list of members.
func countRecords(r io.Reader) (int, []string) {
	var l platform.List
	json.NewDecoder(r).Decode(&l)
	var names []string
	for _, o := range l.Items {
		names = append(names, o.Meta.Name)
	}
	return len(l.Items), names
}

const (
	coldPerSecond = 20
	coldStart     = 2 * time.Second
	// coldBefore is how long before a zone is taken back its backends become cold.
	coldBefore   = 150 * time.Millisecond
	evacuation   = 8 * time.Second
	coldFlowRate = 150 // new flows a second in all zones
)

// playCold evacuates a zone and takes it back. Its backends become cold shortly before that.
func playCold(s *site) error {
	address := s.at(s.ip(200), portCallers)
	s.routes = []standin.Route{{Address: address, Service: "letters", Priority: 1, TargetLatency: 300 * time.Millisecond}}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for _, z := range zones {
		s.add("balancer", z, 0, "")
	}
	var cold []*backend
	for _, z := range zones {
		s.add("agent", z, 0, "letters")
	}
	if err := s.configure(coldPerSecond); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if n.role != "agent" {
			continue
		}
		b, err := s.newBackend(n, 0)
		if err != nil {
			return err
		}
		if n.zone == zones[0] {
			cold = append(cold, b)
		}
		time.Sleep(250 * time.Millisecond) // their heartbeats have different phases
	}
	if err := s.startAll(); err != nil {
		return err
	}
	for i, z := range zones {
		if _, err := s.addCaller(101+i, z); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	opened := 0
	go func() {
		t := time.NewTicker(time.Second / coldFlowRate)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.C:
			case <-stop:
				return
			}
			s.locked(func() {
				opened++
				s.callers[i%len(s.callers)].open(address, func(f *flow) {
					f.ask()
					s.after(time.Second, func() { f.end() })
				})
			})
		}
	}()
	time.Sleep(4 * time.Second)
	for i := range 3 {
		if err := s.put(http.MethodPost, "evacuations", zones[0], struct{}{}); err != nil {
			return err
		}
		s.note("%s is evacuated", zones[0])
		time.Sleep(evacuation)
		s.locked(func() {
			for _, b := range cold {
				b.arrivals, b.toldCold = nil, time.Time{}
				if s.trouble {
					b.coldUntil = time.Now().Add(coldBefore + coldStart)
					s.note("disruption: the backend of %s becomes cold; its heartbeats say so from the next one on", b.n.name)
				}
			}
		})
		time.Sleep(coldBefore)
		back := time.Now()
		if err := s.put(http.MethodDelete, "evacuations", zones[0], nil); err != nil {
			return err
		}
		s.note("%s is taken back (round %d)", zones[0], i+1)
		time.Sleep(coldStart + time.Second)
		if err := s.judgeCold(cold, back); err != nil {
			return err
		}
	}
	s.locked(func() { s.note("%d flows were opened", opened) })
	return nil
}

// end closes a flow whose request was answered.
func (f *flow) end() {
	if !f.over {
		f.over = true
		f.send(packet{seq: f.seq + 1, ack: f.ack, flags: flagACK | flagFIN})
	}
}

// judgeCold checks FAILBACK: no cold backend gets more opening packets in any second, sent and arrived
// within it, than cold-per-s x cold-burst-factor + cold-slack.
func (s *site) judgeCold(cold []*backend, back time.Time) error {
	limit := coldPerSecond*coldBurstFactor + coldSlack
	worst := 0
	s.locked(func() {
		for _, b := range cold {
			for i := range b.arrivals {
				n := 0
				from := b.arrivals[i].at.Add(-time.Second)
				for _, a := range b.arrivals[:i+1] {
					c := s.callers[slices.IndexFunc(s.callers, func(c *caller) bool { return c.ip == a.flow.caller.Addr() })]
					if f := c.flows[a.flow.caller.Port()]; a.at.After(from) && f.opened.After(from) {
						n++
					}
				}
				worst = max(worst, n)
			}
			if n := len(b.arrivals); n > 0 {
				s.note("backend of %s: the first flow came %.3f s after the zone was taken back, the last %.3f s, and its first heartbeat that says cold %.3f s",
					b.n.name, b.arrivals[0].at.Sub(back).Seconds(), b.arrivals[n-1].at.Sub(back).Seconds(), b.toldCold.Sub(back).Seconds())
			}
			s.note("backend of %s: %d flows taken while cold, %d in the worst second; the limit is %.1f", b.n.name, len(b.arrivals), worst, limit)
		}
	})
	if float64(worst) > limit {
		return fmt.Errorf("%w: FAILBACK, %d requests in one second, limit %.1f", errBroken, worst, limit)
	}
	return nil
}
