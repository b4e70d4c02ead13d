package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against the return of bugs that days with drawn faults have found. The first line
// of each script gives the site, the seed and the cause.
func TestRecordedDaysHaveNoBreaches(t *testing.T) {
	files, err := filepath.Glob("testdata/days/*.script")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			o := Options{Zones: 3, Length: 20 * time.Second}
			head := "# balancers %d agents %d callers %d seed %d:"
			if _, err := fmt.Sscanf(string(text), head, &o.Balancers, &o.Agents, &o.Callers, &o.Seed); err != nil {
				t.Fatalf("the first line is not %q: %v", head, err)
			}
			fs, err := parseScript(strings.NewReader(string(text)), o.Zones)
			if err != nil {
				t.Fatal(err)
			}
			for seed := range uint64(3) {
				d, err := o.simulate(PolicyIdler, o.Seed+seed, fs)
				if err != nil {
					t.Fatal(err)
				}
				for _, b := range d.Breaches {
					t.Errorf("seed %d: %s", o.Seed+seed, b)
				}
			}
		})
	}
}
