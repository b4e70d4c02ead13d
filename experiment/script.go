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
	at    time.Duration
	verb  string
	apply func(*simulation)
}

// verbs are the faults that a script may contain. Each function parses the arguments of
// its verb and returns the function that applies the fault. AT is the time since the start
// of the day, FOR the duration of the fault.
//
//	AT power FOR        all VMs lose power; upstreams lose their flows
//	AT kill FOR         all balancer and agent processes are down; upstreams keep running
//	AT restart N FOR    N balancers are down
//	AT lost ZONE FOR    an availability zone loses power; its upstreams lose their flows
//	AT lose N           N upstream VMs are lost permanently
//	AT crash N          N upstreams crash; their agents keep running
//	AT drain N          N upstreams start to drain
//	AT cut N FOR        N balancers can reach only callers and each other
//	AT out ZONE         an availability zone is taken out of service
//	AT in ZONE          an availability zone is put back into service
//	AT burst N FOR      N additional callers send requests
//	AT loss SHARE FOR   this share (0 to 1) of all datagrams is lost, also of those to
//	                    and from callers
//	AT reroute          the router sends nearly all flows through other balancers
//	AT freeze N FOR     N balancers are paused
//	AT store WAIT FOR   the store takes WAIT to answer processes that start
var verbs = map[string]func(*args) func(*simulation){
	"power": func(a *args) func(*simulation) { d := a.duration(); return func(w *simulation) { w.powerLoss(d) } },
	"kill":  func(a *args) func(*simulation) { d := a.duration(); return func(w *simulation) { w.killAll(d) } },
	"restart": func(a *args) func(*simulation) {
		n, d := a.count(), a.duration()
		return func(w *simulation) { w.restartBalancers(n, d) }
	},
	"lost": func(a *args) func(*simulation) {
		z, d, n := a.zone(), a.duration(), a.zones
		return func(w *simulation) { w.loseZone(z, n, d) }
	},
	"lose": func(a *args) func(*simulation) {
		n := a.count()
		return func(w *simulation) { w.forEachLiveAgent(n, (*agentVM).lose) }
	},
	"crash": func(a *args) func(*simulation) {
		n := a.count()
		return func(w *simulation) { w.forEachLiveAgent(n, (*agentVM).crash) }
	},
	"drain": func(a *args) func(*simulation) {
		n := a.count()
		return func(w *simulation) { w.forEachLiveAgent(n, (*agentVM).drain) }
	},
	"cut": func(a *args) func(*simulation) {
		n, d := a.count(), a.duration()
		return func(w *simulation) { w.partition(n, d) }
	},
	"out": func(a *args) func(*simulation) { z := a.zone(); return func(w *simulation) { w.setZoneOut(z, true) } },
	"in":  func(a *args) func(*simulation) { z := a.zone(); return func(w *simulation) { w.setZoneOut(z, false) } },
	"burst": func(a *args) func(*simulation) {
		n, d := a.count(), a.duration()
		return func(w *simulation) { w.burst(n, d) }
	},
	"loss": func(a *args) func(*simulation) {
		x, d := a.share(), a.duration()
		return func(w *simulation) { w.loseDatagrams(x, d) }
	},
	"reroute": func(*args) func(*simulation) { return func(w *simulation) { w.routeSalt++ } },
	"freeze": func(a *args) func(*simulation) {
		n, d := a.count(), a.duration()
		return func(w *simulation) { w.freeze(n, d) }
	},
	"store": func(a *args) func(*simulation) {
		x, d := a.duration(), a.duration()
		return func(w *simulation) { w.slowStore(x, d) }
	},
}

// parseScript parses a script. It reports all errors together, each with its line number.
func parseScript(r io.Reader, zones int) ([]fault, error) {
	var out []fault
	var problems settings.Errors
	s := bufio.NewScanner(r)
	for n := 1; s.Scan(); n++ {
		text, _, _ := strings.Cut(s.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		a := &args{words: words, zones: zones}
		f := fault{at: a.duration(), verb: a.word()}
		if parse, ok := verbs[f.verb]; ok {
			f.apply = parse(a)
		} else {
			a.reject("is not a known fault", f.verb)
		}
		a.expectEnd()
		for _, t := range a.problems {
			problems = append(problems, fmt.Sprintf("script, line %d: %s", n, t))
		}
		out = append(out, f)
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return out, problems.ErrOrNil()
}

// args parses the words of a line one after another and collects the errors.
type args struct {
	words    []string
	zones    int
	problems []string
}

func (a *args) reject(what, word string) {
	a.problems = append(a.problems, fmt.Sprintf("%q %s", word, what))
}

func (a *args) next() string {
	if len(a.words) == 0 {
		a.problems = append(a.problems, "an argument is missing at the end")
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

// expectEnd reports an error if words are left.
func (a *args) expectEnd() {
	if len(a.words) > 0 {
		a.reject("is an unexpected argument", a.words[0])
	}
}

func (a *args) word() string { return a.next() }

func (a *args) duration() time.Duration {
	t := a.next()
	d, err := time.ParseDuration(t)
	if t != "" && (err != nil || d < 0) {
		a.reject("is not a duration such as 1.5s", t)
	}
	return d
}

func (a *args) count() int {
	t := a.next()
	n, err := strconv.Atoi(t)
	if t != "" && (err != nil || n < 1) {
		a.reject("is not a whole number above 0", t)
	}
	return n
}

func (a *args) share() float64 {
	t := a.next()
	x, err := strconv.ParseFloat(t, 64)
	if t != "" && (err != nil || !(x >= 0 && x <= 1)) {
		a.reject("is not a share from 0 to 1", t)
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
		a.reject("is not an availability zone of this site", t)
	}
	return t
}

// zoneName returns the name of the n-th availability zone of a site, from zone-0.
func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

// setZoneOut takes an availability zone out of service or puts it back. All balancers
// learn of it at once.
func (w *simulation) setZoneOut(zone string, out bool) {
	k := datagram.ZoneKeyOf(zone)
	w.zonesOut = slices.DeleteFunc(slices.Clone(w.zonesOut), func(x datagram.ZoneKey) bool { return x == k })
	if out {
		w.zonesOut = append(w.zonesOut, k)
	}
	w.zonesRevision = uint64(w.now)
	for _, v := range w.balancersByAddress() {
		v.b.SetZonesOut(w.zonesOut, w.zonesRevision, w.now-v.startedAt)
	}
}
