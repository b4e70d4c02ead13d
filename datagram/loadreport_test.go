package datagram

import (
	"testing"
	"time"
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
