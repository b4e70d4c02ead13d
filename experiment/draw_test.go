package experiment

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against drawn faults that are not a valid script, start too early or too late, or
// differ with the same seed.
func TestDrawnFaultsMakeAScript(t *testing.T) {
	o := testOptions()
	for seed := range uint64(200) {
		lines := o.drawScript(seed, 6)
		if !reflect.DeepEqual(lines, o.drawScript(seed, 6)) {
			t.Fatalf("seed %d: two draws differ", seed)
		}
		fs, err := parseScript(strings.NewReader(strings.Join(lines, "\n")), o.Zones)
		if err != nil || len(fs) < 6 {
			t.Fatalf("seed %d: %v; script %q", seed, err, lines)
		}
		for _, f := range fs {
			if f.verb != "in" && (f.at < faultFreeStart || f.at > o.Length-faultFreeEnd) {
				t.Errorf("seed %d: fault %s at %v is in the fault-free part of the day", seed, f.verb, f.at)
			}
		}
	}
}

// Guards against reports of a breach that include faults that are not needed to cause it.
func TestMinimizeRemovesNeedlessFaults(t *testing.T) {
	got := minimize([]string{"a", "b", "c", "d", "e"}, func(x []string) bool {
		return slices.Contains(x, "b") && slices.Contains(x, "e")
	})
	if !slices.Equal(got, []string{"b", "e"}) {
		t.Errorf("got %q, want [b e]", got)
	}
}

// Guards against a simulation that fails when drawn faults repeat or overlap.
func TestSimulateDrawn(t *testing.T) {
	o := testOptions()
	o.Draw, o.Length = 12, 10*time.Second
	d, err := o.simulateDrawn(PolicyIdler, 1)
	if err != nil || d.Total.Begun == 0 || len(d.Script) == 0 {
		t.Errorf("error %v, %d requests, faults %q", err, d.Total.Begun, d.Script)
	}
}
