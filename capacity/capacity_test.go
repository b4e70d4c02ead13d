package capacity

import (
	"math"
	"os"
	"strings"
	"testing"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
)

func TestNewSlopeFitsLine(t *testing.T) {
	for name, x := range map[string]struct {
		points               []Point
		base, each, residual float64
	}{
		"straight line": {[]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}}, 3, 2, 0},
		"curve":         {[]Point{{1, 1}, {2, 4}, {3, 9}, {4, 16}}, -5, 5, 1.0 / 16},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSlope("x", "thing", "B", x.points)
			for what, d := range map[string]float64{"base": s.Base - x.base, "each": s.Each - x.each, "residual": s.Residual - x.residual} {
				if math.Abs(d) > 1e-9 {
					t.Errorf("%s is off by %v: %+v", what, d, s)
				}
			}
		})
	}
}

// The measurements are extrapolated to a fleet of full size. If the generated
// bundle or agent were not valid, their figures would mean nothing.
func TestGeneratedBundleIsValidAtFullSize(t *testing.T) {
	b, err := bundle.Decode(BundleText(ServiceAddresses, keyring.NewSecret(1)))
	if err != nil || len(b.Services) != ServiceAddresses || len(b.Zones) != Zones {
		t.Fatalf("bundle is not valid or has a wrong number of services or zones: %v", err)
	}
	m := AgentMember(Upstreams-1, ServiceAddresses)
	if err := m.Check(); err != nil {
		t.Error(err)
	}
}

func TestMeasuresAndPlotsSmallSizes(t *testing.T) {
	bs, err := MeasureBundles([]int{2, 4, 6, 8})
	if err != nil {
		t.Fatal(err)
	}
	vs, err := MeasureViews([]int{8, 16, 24, 32}, 4)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := writeResults(append(bs, vs...), Options{Plots: dir, JSON: dir + "/slopes.json"}); err != nil {
		t.Fatal(err)
	}
	for _, f := range []string{"bundle-on-the-wire.svg", "view-merged.svg", "slopes.json"} {
		if b, err := os.ReadFile(dir + "/" + f); err != nil || len(b) == 0 {
			t.Errorf("%s has %d bytes, error %v", f, len(b), err)
		}
	}
	if s := bs[0].String(); !strings.Contains(s, "per service [B]") {
		t.Errorf("table row %q lacks the unit", s)
	}
}
