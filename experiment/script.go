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

// fault is one line of a script: what happens to a site, and when.
type fault struct {
	at   time.Duration
	verb string
	do   func(*world)
}

// verbs are what a script may say. Each takes its arguments and returns what is done.
//
//	AT power FOR        every VM loses power for so long; upstreams hold nothing then
//	AT kill FOR         every process ends for so long; upstreams live on
//	AT restart N FOR    N balancers end and are back after so long
//	AT lose N           N upstreams' VMs are lost for good
//	AT crash N          N upstreams end, their agents live
//	AT drain N          N upstreams begin to leave
//	AT cut N FOR        N balancers reach callers and each other only, for so long
//	AT out ZONE         an availability zone is taken out
//	AT in ZONE          it is taken back
//	AT burst N FOR      N more callers, for so long
//	AT loss SHARE FOR   so many datagrams between VMs are lost, for so long
//	AT reroute          routers send nearly all flows through other balancers
//	AT freeze N FOR     N balancers stand still for so long
//	AT store WAIT FOR   the store takes so long to answer balancers that start, for so long
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

// parseScript reads a script. All findings are reported together, each with its line.
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
			a.wrong("is no fault", f.verb)
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

// args takes the words of a line one after another and collects findings.
type args struct {
	words []string
	zones int
	found []string
}

func (a *args) wrong(what, word string) { a.found = append(a.found, fmt.Sprintf("%q %s", word, what)) }

func (a *args) next() string {
	if len(a.words) == 0 {
		a.found = append(a.found, "something is missing at the end")
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

func (a *args) end() {
	if len(a.words) > 0 {
		a.wrong("is too much", a.words[0])
	}
}

func (a *args) word() string { return a.next() }

func (a *args) duration() time.Duration {
	t := a.next()
	d, err := time.ParseDuration(t)
	if t != "" && (err != nil || d < 0) {
		a.wrong("is no duration such as 1.5s", t)
	}
	return d
}

func (a *args) count() int {
	t := a.next()
	n, err := strconv.Atoi(t)
	if t != "" && (err != nil || n < 1) {
		a.wrong("is no number above 0", t)
	}
	return n
}

func (a *args) share() float64 {
	t := a.next()
	x, err := strconv.ParseFloat(t, 64)
	if t != "" && (err != nil || !(x >= 0 && x <= 1)) {
		a.wrong("is no share of 0 to 1", t)
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
		a.wrong("is no availability zone of this site", t)
	}
	return t
}

// zoneName is how the availability zones of a site are called: zone-0 and so on.
func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

// zoneOut takes an availability zone out or back in, which balancers hear at once.
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
