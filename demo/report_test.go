package demo

import (
	"slices"
	"testing"
	"time"
)

// Guards against an average over a zone's whole move, which hides a single second
// without answers. The report must list each second, and must leave out requests
// that ended before or after the move.
func TestReportListsEachSecondOfZoneMove(t *testing.T) {
	from := time.Now()
	r := newRecorder()
	end := func(after time.Duration, answered bool) {
		r.samples = append(r.samples, sample{at: from.Add(after), took: 10 * time.Millisecond, answered: answered})
	}
	end(-time.Millisecond, false)
	end(0, true)
	end(500*time.Millisecond, true)
	end(time.Second, false)
	end(1500*time.Millisecond, true)
	end(2900*time.Millisecond, true)
	end(3*time.Second, false)
	got := r.finish(from, from.Add(3*time.Second))
	want := []Second{{0, 2, 1, 0.01}, {1, 2, 0.5, 0.01}, {2, 1, 1, 0.01}}
	if !slices.Equal(got.MoveSeconds, want) || got.MoveAnsweredShare != 0.8 {
		t.Errorf("seconds of the move %+v, answered share %v", got.MoveSeconds, got.MoveAnsweredShare)
	}
}
