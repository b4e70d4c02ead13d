package datagram

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pomeloway.example/pomeloway/events"
	"pomeloway.example/pomeloway/servicetime"
)

// Guards against durations that are distorted on the wire by more than a step of the scale.
func TestDurationCodeIsCloseToTheDuration(t *testing.T) {
	for d := 300 * time.Microsecond; d < 15*time.Second; d = d * 11 / 10 {
		got := DurationCodeOf(d).Duration()
		if diff := float64(got-d) / float64(d); diff > 0.025 || diff < -0.025 {
			t.Errorf("%v is %v on the wire", d, got)
		}
	}
	for name, x := range map[string]struct{ in, want time.Duration }{
		"unknown":   {0, 0},
		"negative":  {-time.Second, 0},
		"too short": {time.Nanosecond, shortestDuration},
	} {
		if got := DurationCodeOf(x.in).Duration(); got != x.want {
			t.Errorf("%s: %v, want %v", name, got, x.want)
		}
	}
	if got := DurationCodeOf(time.Hour).Duration(); got < 14*time.Second || got > 16*time.Second {
		t.Errorf("an hour is %v on the wire, want the longest duration", got)
	}
}

var testReport = LoadReport{Present: true, ServiceTime: 3, TailTime: 255, Utilization: 201, Requests: 7, Level: 9}

// Guards against reports that are damaged in a status's header, or that damage the status.
func TestLoadReportTravelsWithStatus(t *testing.T) {
	ks := testKeys(t)
	for name, r := range map[string]LoadReport{"report": testReport, "none": {}} {
		t.Run(name, func(t *testing.T) {
			b := make([]byte, HeaderLen+agentStatusLen)
			m := Message{Kind: KindAgent, Service: 5, Report: r}
			m.Put(b, ks[0])
			var got Message
			if _, ok := got.Get(b, ks); !ok || got != m {
				t.Errorf("decoded as %+v, want %+v", got, m)
			}
		})
	}
}

// Guards against answers of this build that the build before it can't read, and the reverse.
func TestLoadReportFollowsFlowOfAnswers(t *testing.T) {
	f := Flow{Caller: Endpoint{1, 2}, Address: Endpoint{3, 4}}
	b := make([]byte, flowLen)
	f.put(b)
	if r := decodeLoadReport(b[flowLen:]); r.Present {
		t.Errorf("an answer of the earlier build has the report %+v", r)
	}
	e := testReport.encode()
	b = append(b, e[:]...)
	if got, ok := decodeFlow(b); !ok || got != f {
		t.Errorf("the earlier build reads the flow %v", got)
	}
	if r := decodeLoadReport(b[flowLen:]); r != testReport {
		t.Errorf("decoded as %+v", r)
	}
}

// speedLines returns a log and a function that returns how many lines of event 2207 it has.
func speedLines() (*Log, func() int) {
	var b bytes.Buffer
	l := &Log{Log: events.NewLog(slog.New(slog.NewJSONHandler(&b, nil))), MaxLines: 1000}
	return l, func() int { return strings.Count(b.String(), fmt.Sprintf(`"event":%d`, events.SpeedChanged)) }
}

// Guards against a change of speed that the agent does not report or log, and against a line for
// each request.
func TestAgentReportsAndLogsItsUpstreamsSpeed(t *testing.T) {
	now := 10 * time.Second
	a, _ := busyAgent(t, 1, now)
	a.requests.times = servicetime.Estimator[Endpoint]{}
	log, lines := speedLines()
	a.Log = log
	if r := a.loadReport(now); r.ServiceTime != 0 || r.TailTime != 0 || r.Utilization != UtilizationUnknown || r.Requests != 1 {
		t.Errorf("without requests: %+v", r)
	}
	for i, d := range []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 30 * time.Millisecond} {
		for range 100 {
			now += d
			a.requests.times.Count(1, 2, now)
			a.requests.times.Add(d, now)
			a.noteServiceTime(Endpoint{2, 443}, d, now)
		}
		r := a.loadReport(now)
		if r.ServiceTime != DurationCodeOf(d) || r.TailTime != DurationCodeOf(d) {
			t.Errorf("%v and %v, want %v", r.ServiceTime.Duration(), r.TailTime.Duration(), d)
		}
		if u, known := r.Utilization.Share(); !known || u < 0.4 || u > 0.6 {
			t.Errorf("utilization %v, %v", u, known)
		}
		if n := lines(); n > i {
			t.Errorf("%d lines after %d changes", n, i)
		}
	}
	if lines() == 0 || a.Count.SpeedChanges != uint64(lines()) {
		t.Errorf("%d lines, %d changes counted", lines(), a.Count.SpeedChanges)
	}
}

// Guards against slow upstreams that balancers don't name in their logs, and against lines that
// are repeated.
func TestBalancerLogsSlowUpstreams(t *testing.T) {
	now := time.Second
	b := placingBalancer(t, 12, true, now, slowFrom(9))
	log, lines := speedLines()
	b.agents.log = log
	for range 20 {
		now += speedInterval
		b.agents.choose(1, 7, nil, PriorityFirst, time.Second, now)
	}
	if n := lines(); n != 4 {
		t.Errorf("%d lines about 4 slow upstreams", n)
	}
}
