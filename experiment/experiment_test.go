package experiment

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const testScript = `
# overlapping faults
2s power 700ms
5s lose 1
6s out zone-1      # and back
6s burst 50 1s
8s in zone-1
8s kill 500ms
9s crash 1
9500ms drain 1
10s cut 1 1s
10s loss 0.01 1s
`

func testOptions() Options {
	return Options{Balancers: 4, Agents: 7, Zones: 3, Callers: 100, Length: 12 * time.Second, Seed: 3, Days: 1}
}

// Guards against days that differ with the same seed in a larger fleet, where each agent
// sends frequent statuses to some of the balancers only.
func TestDayOfALargerSiteIsTheSameWithTheSameSeed(t *testing.T) {
	o := testOptions()
	o.Balancers, o.Agents, o.Callers = 10, 20, 300
	o.Small, o.Cores, o.Link = 3, 0.0625, 10
	fs, err := parseScript(strings.NewReader("1s power 1s\n3s lose 2\n4s kill 500ms"), o.Zones)
	if err != nil {
		t.Fatal(err)
	}
	var totals [3]Second
	for i := range totals {
		d, err := o.simulate(PolicyIdler, 1, fs)
		if err != nil {
			t.Fatal(err)
		}
		totals[i] = d.Total
	}
	if totals[1] != totals[0] || totals[2] != totals[0] {
		t.Errorf("totals differ with the same seed: %+v", totals)
	}
}

// Guards against days that differ with the same seed.
func TestDayIsTheSameWithTheSameSeed(t *testing.T) {
	o := testOptions()
	fs, err := parseScript(strings.NewReader(testScript), o.Zones)
	if err != nil {
		t.Fatal(err)
	}
	first, err := o.simulate(PolicyIdler, 3, fs)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		again, err := o.simulate(PolicyIdler, 3, fs)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(first, again) {
			t.Fatalf("two days with the same seed differ:\n%+v\n%+v", first.Total, again.Total)
		}
	}
	if len(first.Breaches) > 0 {
		t.Errorf("breaches: %v", first.Breaches)
	}
	if x := first.Total; x.Begun < 1000 || x.InAim+x.Late+x.Failed > x.Begun || first.Resets == 0 {
		t.Errorf("implausible totals: %+v, %d resets", x, first.Resets)
	}
	if len(first.Seconds) != 12 || first.ControlMost < first.ControlMean || first.ControlMean == 0 {
		t.Errorf("%d seconds, want 12; control traffic: maximum %d B/s, mean %d B/s", len(first.Seconds), first.ControlMost, first.ControlMean)
	}
}

// Guards against errors in a script that are not reported, or without their line numbers.
func TestScriptErrors(t *testing.T) {
	for name, x := range map[string]struct{ text, want string }{
		"unknown fault":       {"1s powr 1s", `line 1: "powr" is not a known fault`},
		"invalid time":        {"\nsoon kill 1s", `line 2: "soon" is not a duration`},
		"count of 0":          {"1s lose 0", `line 1: "0" is not a whole number above 0`},
		"share above 1":       {"1s loss 2 1s", `line 1: "2" is not a share`},
		"share is NaN":        {"1s loss NaN 1s", `line 1: "NaN" is not a share`},
		"unknown zone":        {"1s out zone-7", `line 1: "zone-7" is not an availability zone`},
		"missing argument":    {"1s cut 1", "line 1: an argument is missing"},
		"unexpected argument": {"1s drain 1 1", `line 1: "1" is an unexpected argument`},
		"missing fault":       {"1s", "line 1: an argument is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseScript(strings.NewReader(x.text), 3)
			if err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got error %v, want %s", err, x.want)
			}
		})
	}
}

// Guards against errors in the options that are not reported with their flags.
func TestValidateNamesInvalidFlags(t *testing.T) {
	o := Options{Policy: []Policy{"odd"}, Small: 1, Cores: -1, Link: -1, Draw: -1}
	err := o.Validate()
	for _, f := range []string{"--balancers", "--small", "--cores", "--link", "--agents", "--zones", "--draw", "--length", "--days", "--policy"} {
		if err == nil || !strings.Contains(err.Error(), f) {
			t.Errorf("error %v does not name the flag %s", err, f)
		}
	}
	o = testOptions()
	if err := o.Validate(); err != nil {
		t.Error(err)
	}
}

// Guards against a valid script with a fault that does nothing, and against panics of the
// parser.
func FuzzScript(f *testing.F) {
	f.Add(testScript)
	f.Fuzz(func(t *testing.T, text string) {
		fs, err := parseScript(strings.NewReader(text), 3)
		for _, x := range fs {
			if err == nil && x.apply == nil {
				t.Errorf("fault %+v does nothing", x)
			}
		}
	})
}
