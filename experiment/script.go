package experiment

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/settings"
)

// fault is one line of a script: an event that affects the site, and its time.
type fault struct {
	at   time.Duration
	verb string
	do   func(*world)
}

// verbs are the faults that a script may contain. Each function parses the arguments of
// its verb and returns the function that applies the fault. AT is the time since the start
// of the day, FOR the duration of the fault.
//
//	AT power FOR        all VMs lose power; upstreams lose their flows
//	AT kill FOR         all balancer and agent processes are down; upstreams keep running
//	AT restart N FOR    N balancers are down
//	AT lose N           N upstream VMs are lost permanently
//	AT crash N          N upstreams crash; their agents keep running
//	AT drain N          N upstreams start to drain
//	AT cut N FOR        N balancers can reach only callers and each other
//	AT out ZONE         an availability zone is taken out of service
//	AT in ZONE          an availability zone is put back into service
//	AT burst N FOR      N additional callers send requests
//	AT loss SHARE FOR   this share (0 to 1) of the datagrams between VMs is lost
//	AT reroute          the router sends nearly all flows through other balancers
//	AT freeze N FOR     N balancers are paused
//	AT store WAIT FOR   the store answers processes that start only after WAIT
var verbs = map[string]func(*args) func(*world){
	"power": func(a *args) func(*world) { d := a.duration(); return func(w *world) { w.powerLoss(d) } },
	"kill":  func(a *args) func(*world) { d := a.duration(); return func(w *world) { w.killAll(d) } },
	"restart": func(a *args) func(*world) {
		n, d := a.count(), a.duration()
		return func(w *world) { w.restart(n, d) }
	},
	"lose":  func(a *args) func(*world) { n := a.count(); return func(w *world) { w.each(n, (*agentVM).lose) } },
	"crash": func(a *args) func(*world) { n := a.count(); return func(w *world) { w.each(n, (*agentVM).crash) } },
	"drain": func(a *args) func(*world) { n := a.count(); return func(w *world) { w.each(n, (*agentVM).drain) } },
	"cut": func(a *args) func(*world) {
		n, d := a.count(), a.duration()
		return func(w *world) { w.cutOff(n, d) }
	},
	"out": func(a *args) func(*world) { z := a.zone(); return func(w *world) { w.zoneOut(z, true) } },
	"in":  func(a *args) func(*world) { z := a.zone(); return func(w *world) { w.zoneOut(z, false) } },
	"burst": func(a *args) func(*world) {
		n, d := a.count(), a.duration()
		return func(w *world) { w.burst(n, d) }
	},
	"loss": func(a *args) func(*world) {
		x, d := a.share(), a.duration()
		return func(w *world) { w.lossy(x, d) }
	},
	"reroute": func(*args) func(*world) { return func(w *world) { w.routing++ } },
	"freeze": func(a *args) func(*world) {
		n, d := a.count(), a.duration()
		return func(w *world) { w.freeze(n, d) }
	},
	"store": func(a *args) func(*world) {
		x, d := a.duration(), a.duration()
		return func(w *world) { w.slowStore(x, d) }
	},
}

// parseScript parses a script. It reports all errors together, each with its line number.
func parseScript(r io.Reader, zones int) ([]fault, error) {
	var out []fault
	var found settings.Faults
	s := bufio.NewScanner(r)
	for n := 1; s.Scan(); n++ {
		text, _, _ := strings.Cut(s.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		a := &args{words: words, zones: zones}
		f := fault{at: a.duration(), verb: a.word()}
		if make, ok := verbs[f.verb]; ok {
			f.do = make(a)
		} else {
			a.wrong("is not a known fault", f.verb)
		}
		a.end()
		for _, t := range a.found {
			found = append(found, fmt.Sprintf("script, line %d: %s", n, t))
		}
		out = append(out, f)
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return out, found.All()
}

// args parses the words of a line one after another and collects the errors.
type args struct {
	words []string
	zones int
	found []string
}

func (a *args) wrong(what, word string) { a.found = append(a.found, fmt.Sprintf("%q %s", word, what)) }

func (a *args) next() string {
	if len(a.words) == 0 {
		a.found = append(a.found, "an argument is missing at the end")
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

// expectEnd reports an error if words are left.
func (a *args) end() {
	if len(a.words) > 0 {
		a.wrong("is an unexpected argument", a.words[0])
	}
}

func (a *args) word() string { return a.next() }

func (a *args) duration() time.Duration {
	t := a.next()
	d, err := time.ParseDuration(t)
	if t != "" && (err != nil || d < 0) {
		a.wrong("is not a duration such as 1.5s", t)
	}
	return d
}

func (a *args) count() int {
	t := a.next()
	n, err := strconv.Atoi(t)
	if t != "" && (err != nil || n < 1) {
		a.wrong("is not a whole number above 0", t)
	}
	return n
}

func (a *args) share() float64 {
	t := a.next()
	x, err := strconv.ParseFloat(t, 64)
	if t != "" && (err != nil || !(x >= 0 && x <= 1)) {
		a.wrong("is not a share from 0 to 1", t)
	}
	return x
}

func (a *args) zone() string {
	t := a.next()
	for n := range a.zones {
		if t == zoneName(n) {
			return t
		}
	}
	if t != "" {
		a.wrong("is not an availability zone of this site", t)
	}
	return t
}

// zoneName returns the name of the n-th availability zone of a site, from zone-0.
func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

// setZoneOut takes an availability zone out of service or puts it back. All balancers
// learn of it at once.
func (w *world) zoneOut(zone string, out bool) {
	k := datagram.ZoneKeyOf(zone)
	w.out = slices.DeleteFunc(slices.Clone(w.out), func(x datagram.ZoneKey) bool { return x == k })
	if out {
		w.out = append(w.out, k)
	}
	w.revision = uint64(w.now)
	for _, v := range w.balancersInOrder() {
		v.b.SetZonesOut(w.out, w.revision, w.now-v.since)
	}
}
