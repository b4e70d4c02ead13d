package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// A scenario is a plan with the site that it was drawn for. Its text is what --plan prints.
// Scenarios that failed once are kept as cases in soak/cases, with their plans, as a seed
// gives another plan when the draws change.

// scenario is what one run plays.
type scenario struct {
	Seed   Seed
	Shape  shape
	Cause  string // why the scenario once failed
	Faults []Fault
}

func newScenario(seed Seed, length time.Duration, s shape) *scenario {
	return &scenario{Seed: seed, Shape: s, Faults: newPlan(seed, length, s)}
}

const (
	causePrefix  = "# cause: "
	headerFormat = "seed %d, %d balancers, %d agents"
)

// String returns the text of the scenario.
func (c *scenario) String() string {
	var b strings.Builder
	if c.Cause != "" {
		fmt.Fprintln(&b, causePrefix+c.Cause)
	}
	fmt.Fprintf(&b, headerFormat+"\n", c.Seed, c.Shape.Balancers, c.Shape.Agents)
	for _, f := range c.Faults {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	return b.String()
}

// readScenario reads the text of a scenario from a file.
func readScenario(path string) (*scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c := &scenario{}
	s := bufio.NewScanner(f)
	for n := 1; s.Scan(); n++ {
		if err := c.parseLine(s.Text()); err != nil {
			return nil, eris.Wrapf(err, "%s:%d", path, n)
		}
	}
	if c.Shape.Balancers == 0 {
		return nil, eris.Errorf("%s: has no line %q", path, headerFormat)
	}
	return c, s.Err()
}

func (c *scenario) parseLine(l string) error {
	if x, ok := strings.CutPrefix(l, causePrefix); ok {
		c.Cause = x
		return nil
	}
	if strings.HasPrefix(l, "#") || strings.TrimSpace(l) == "" {
		return nil
	}
	if strings.HasPrefix(l, "seed") {
		_, err := fmt.Sscanf(l, headerFormat, &c.Seed, &c.Shape.Balancers, &c.Shape.Agents)
		return eris.Wrapf(err, "must be %q", headerFormat)
	}
	var begin, end float64
	var f Fault
	if _, err := fmt.Sscanf(strings.TrimSpace(l), "%fs to %fs %s %s", &begin, &end, &f.Kind, &f.Target); err != nil {
		return eris.Wrap(err, "must be BEGINs to ENDs KIND TARGET")
	}
	seconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)).Round(grain) }
	f.At, f.For = seconds(begin), seconds(end)-seconds(begin)
	for _, d := range draws {
		if d.kind != f.Kind {
			continue
		}
		if !slices.Contains(d.targets(&c.Shape), f.Target) {
			return eris.Errorf("%s has no target %q", f.Kind, f.Target)
		}
		c.Faults = append(c.Faults, f)
		return nil
	}
	return eris.Errorf("kind %q is unknown", f.Kind)
}
