package demo

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"
	"time"

	"pomeloway.example/pomeloway/guard"
)

// Guards against a report that counts a broken flow without saying which it was, which
// processes carried it, when its datagrams stopped and which faults the script had
// applied meanwhile. The log must have the same.
func TestReportNamesEachBrokenFlow(t *testing.T) {
	s, rec := startSite(t, "agency", guard.Off{})
	var log bytes.Buffer
	s.log = slog.New(slog.NewJSONHandler(&log, nil))
	rec.beginStep("before", time.Now())()
	f, err := openFlow(t.Context(), s, rec, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	end := rec.beginStep("a fault", time.Now())
	f.countFailure(failureBroken, errors.New("no answer"), "feed")
	end()
	rec.beginStep("after", time.Now())()
	r := rec.finish(time.Time{}, time.Time{})
	if len(r.BrokenFlowDetails) != 1 || r.BrokenFlows != 1 {
		t.Fatalf("%d broken flows are counted, %d described", r.BrokenFlows, len(r.BrokenFlowDetails))
	}
	b := r.BrokenFlowDetails[0]
	if b.Number != 1 || b.ID == "" || b.Caller == "" || b.Service != "letters" || b.During != "feed" || b.Error != "no answer" {
		t.Errorf("the flow is described as %+v", b)
	}
	if b.LastSentTo == "" || b.LastReceivedFrom == "" || b.Agent == "" || len(b.HeldBy) != 1 || b.HeldBy[0] != b.Agent {
		t.Errorf("its processes are described as %+v", b)
	}
	if !(0 < b.OpenedAt && b.OpenedAt <= b.LastSentAt && b.OpenedAt <= b.LastReceivedAt && max(b.LastSentAt, b.LastReceivedAt) <= b.BrokeAt) {
		t.Errorf("its times are %+v", b)
	}
	if len(b.Steps) != 1 || b.Steps[0].Text != "a fault" || b.Steps[0].From < b.OpenedAt || b.Steps[0].To != 0 {
		t.Errorf("the steps during its life are %+v", b.Steps)
	}
	var line struct {
		Msg  string     `json:"msg"`
		Flow BrokenFlow `json:"flow"`
	}
	if err := json.Unmarshal(log.Bytes(), &line); err != nil || line.Msg != "flow broke" || line.Flow.ID != b.ID {
		t.Errorf("the log has %q (%v)", log.String(), err)
	}
}
