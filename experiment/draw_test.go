package experiment

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against drawn days that can't be played, or differ with the same seed.
func TestDrawnFaultsMakeAScript(t *testing.T) {
	o := testOptions()
	for seed := range uint64(200) {
		lines := o.draw(seed, 6)
		if !reflect.DeepEqual(lines, o.draw(seed, 6)) {
			t.Fatalf("seed %d draws two days", seed)
		}
		fs, err := parseScript(strings.NewReader(strings.Join(lines, "\n")), o.Zones)
		if err != nil || len(fs) < 6 {
			t.Fatalf("seed %d: %v in %q", seed, err, lines)
		}
		for _, f := range fs {
			if f.verb != "in" && (f.at < lead || f.at > o.Length-tail) {
				t.Errorf("seed %d: %s at %v", seed, f.verb, f.at)
			}
		}
	}
}

// Guards against a broken day that is told with faults which it does not need.
func TestFewestFaultsAreLeft(t *testing.T) {
	got := fewest([]string{"a", "b", "c", "d", "e"}, func(x []string) bool {
		return slices.Contains(x, "b") && slices.Contains(x, "e")
	})
	if !slices.Equal(got, []string{"b", "e"}) {
		t.Errorf("left %q", got)
	}
}

// Guards against a day whose faults come twice or at once and end its play.
func TestDrawnDayIsPlayed(t *testing.T) {
	o := testOptions()
	o.Draw, o.Length = 12, 10*time.Second
	d, err := o.playDrawn(PolicyIdler, 1)
	if err != nil || d.Total.Begun == 0 || len(d.Script) == 0 {
		t.Errorf("%v, %d requests, faults %q", err, d.Total.Begun, d.Script)
	}
}
