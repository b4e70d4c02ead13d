package experiment

import (
	"cmp"
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// rewriteReport returns the message with the report that f returns instead of its own. A message
// without a report is not changed. f returns the zero value for none, as earlier builds send.
func (w *simulation) rewriteReport(m []byte, f func(datagram.LoadReport) datagram.LoadReport) []byte {
	var h datagram.Message
	if _, ok := h.Get(m, w.keys); !ok {
		return m
	}
	switch h.Kind {
	case datagram.KindAgent:
		h.Report = f(h.Report)
	case datagram.KindOpened, datagram.KindRefused:
		// The report is in the last six bytes; its level is the last but one.
		m = append([]byte(nil), m...)
		n := len(m) - 6
		r := f(datagram.LoadReport{Present: m[n+5] == 1, Level: datagram.Level(m[n+4])})
		if m[n+4] = byte(r.Level); !r.Present {
			m = m[:n]
		}
	default:
		return m
	}
	h.Put(m, w.keys[0])
	return m
}

// forEachReport rewrites the reports of the agents that the filter selects.
func (w *simulation) forEachReport(selects func(datagram.IP) bool, f func(datagram.LoadReport) datagram.LoadReport) {
	w.rewrite = func(from datagram.IP, m []byte) []byte {
		if w.agents[from] == nil || !selects(from) {
			return m
		}
		return w.rewriteReport(m, f)
	}
}

func noReport(datagram.LoadReport) datagram.LoadReport { return datagram.LoadReport{} }

func withLevel(l datagram.Level) func(datagram.LoadReport) datagram.LoadReport {
	return func(r datagram.LoadReport) datagram.LoadReport {
		r.Level = l
		return r
	}
}

func everyAgent(datagram.IP) bool { return true }

// admissionFailures are failures in the middle of an overload, and the least share of the feeds in
// time in the two seconds after it. Without admission it is 0.78 in the worst of 20 seeds.
var admissionFailures = map[string]struct {
	fail      func(w *simulation)
	wantAfter float64
	load      float64 // 0 means 4
}{
	"none": {func(*simulation) {}, 0.97, 0},
	"balancers start": {func(w *simulation) {
		for i, v := range w.balancersByAddress() {
			if i%2 == 0 {
				v.stop()
				v.start()
			}
		}
	}, 0.97, 0},
	"all reports are lost": {func(w *simulation) { w.forEachReport(everyAgent, noReport) }, 0.7, 0},
	"half of the agents are old": {func(w *simulation) {
		w.forEachReport(func(ip datagram.IP) bool { return ip%2 == 0 }, noReport)
	}, 0.7, 0},
	"an agent admits nothing": {func(w *simulation) {
		w.forEachReport(func(ip datagram.IP) bool { return ip == w.agentsByAddress()[0].ip }, withLevel(0))
	}, 0.97, 0},
	"an agent admits everything": {func(w *simulation) {
		w.forEachReport(func(ip datagram.IP) bool { return ip == w.agentsByAddress()[0].ip }, withLevel(datagram.LevelAll))
	}, 0.7, 0},
	"half of the balancers are old": {func(w *simulation) {
		for i, v := range w.balancersByAddress() {
			if i%2 == 0 {
				v.b.Admission = datagram.AdmitAll
			}
		}
	}, 0.7, 0},
	"clocks jump": {func(w *simulation) {
		for i, v := range w.balancersByAddress() {
			v.clockError = time.Duration(i-3) * 7 * time.Hour
		}
	}, 0.97, 2.5},
}

// Guards against failures that make admission refuse urgent openings, or that let an overload last
// longer than without admission.
func TestFailuresDuringOverload(t *testing.T) {
	s := loadedSites["short queue"]
	for name, x := range admissionFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range longSeedCount(t) {
				w, _, c := s.startWith(t, seed, datagram.AdmitByLevel)
				w.after(1500*time.Millisecond, func() { x.fail(w) })
				f1, c1 := w.play(cmp.Or(x.load, 4), 4*time.Second)
				f2, c2 := w.play(1, 2*time.Second)
				f3, c3 := w.play(1, 2*time.Second)
				w.play(1, c.timeout)
				w.checkBreaches(t)
				t.Logf("seed %d: in time: feeds %.3f, after %.3f, later %.3f; urgent %.3f, after %.3f, later %.3f",
					seed, f1.share(), f2.share(), f3.share(), c1.share(), c2.share(), c3.share())
				if c1.share() < 0.97 || c2.share() < 0.97 || c3.share() < 0.99 {
					t.Errorf("seed %d: %.3f of the urgent requests in time, after the overload %.3f, later %.3f", seed, c1.share(), c2.share(), c3.share())
				}
				if f2.share() < x.wantAfter || f3.share() < 0.99 {
					t.Errorf("seed %d: %.3f of the feeds in time after the overload, want %.2f; later %.3f", seed, f2.share(), x.wantAfter, f3.share())
				}
			}
		})
	}
}

// Guards against agents that lie about their level, or reports that are an hour old, and cost
// callers a request at a load that the upstreams can bear.
func TestFalseLevelsRefuseNobodyWhileThereArePlaces(t *testing.T) {
	s := loadedSites["short queue"]
	for name, level := range map[string]datagram.Level{"a third admits nothing": 0, "all admit what is urgent": 127} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _, c := s.startWith(t, 0, datagram.AdmitByLevel)
			w.forEachReport(func(ip datagram.IP) bool { return level > 0 || ip%3 == 0 }, withLevel(level))
			f1, c1 := w.play(1.5, 4*time.Second)
			w.play(1, c.timeout)
			w.checkBreaches(t)
			notAdmitted := uint64(0)
			for _, v := range w.balancers {
				notAdmitted += v.b.Count.NotAdmitted
			}
			if notAdmitted == 0 {
				t.Error("every opening was admitted, so nothing is tested")
			}
			if f1.share() < 0.995 || c1.share() < 0.995 {
				t.Errorf("%.3f of the feeds %+v and %.3f of the confirmations in time", f1.share(), *f1, c1.share())
			}
		})
	}
}
