package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// A day with drawn faults has random faults at random times; faults may repeat and overlap.
// A day with breaches is simulated again with fewer faults, until removing any of the
// remaining faults would avoid the breaches.

// drawSalt makes the random sequence of the faults independent of the one that the
// simulation uses for the same seed.
const drawSalt = 0x64726177

// faultFreeStart and faultFreeEnd are the parts of a day without drawn faults, in which
// the site reaches or returns to normal operation.
const (
	lead = time.Second
	tail = 4 * time.Second
)

// drawScript returns the lines of a script with n random faults.
func (o *Options) draw(seed uint64, n int) []string {
	r := rand.New(rand.NewPCG(seed, drawSalt))
	var out []string
	for range n {
		at := lead + time.Duration(r.Int64N(int64(max(time.Millisecond, o.Length-lead-tail))))
		out = append(out, o.drawFault(r, at.Round(time.Millisecond))...)
	}
	return out
}

// drawFault returns the script lines of one random fault that starts at the given time.
func (o *Options) drawFault(r *rand.Rand, at time.Duration) []string {
	lasts := time.Duration(200+r.IntN(2800)) * time.Millisecond
	agents, balancers := 1+r.IntN(max(1, o.Agents/4)), 1+r.IntN(max(1, o.Balancers/2))
	switch verb := []string{"power", "kill", "restart", "lose", "crash", "drain", "cut", "out", "burst", "loss", "reroute", "freeze", "store"}[r.IntN(13)]; verb {
	case "power", "kill":
		return []string{fmt.Sprintf("%v %s %v", at, verb, lasts)}
	case "restart", "cut", "freeze":
		return []string{fmt.Sprintf("%v %s %d %v", at, verb, balancers, lasts)}
	case "burst":
		return []string{fmt.Sprintf("%v burst %d %v", at, 1+r.IntN(o.callers()), lasts)}
	case "loss":
		return []string{fmt.Sprintf("%v loss %.3f %v", at, 0.05*r.Float64(), lasts)}
	case "reroute":
		return []string{fmt.Sprintf("%v reroute", at)}
	case "store":
		return []string{fmt.Sprintf("%v store %v %v", at, lasts/10, lasts)}
	case "out":
		z := zoneName(r.IntN(o.Zones))
		return []string{fmt.Sprintf("%v out %s", at, z), fmt.Sprintf("%v in %s", at+lasts+3*time.Second, z)}
	default:
		return []string{fmt.Sprintf("%v %s %d", at, verb, agents)}
	}
}

// simulateDrawn simulates a day with drawn faults. If the day has breaches, it returns
// the day with the smallest set of faults found that still causes a breach.
func (o *Options) playDrawn(p Policy, seed uint64) (Day, error) {
	lines := o.draw(seed, o.Draw)
	d, err := o.playLines(p, seed, lines)
	if err != nil || len(d.Breaches) == 0 {
		return d, err
	}
	fewest(lines, func(fewer []string) bool {
		x, e := o.playLines(p, seed, fewer)
		if err = errors.Join(err, e); e != nil || len(x.Breaches) == 0 {
			return false
		}
		d = x
		return true
	})
	return d, err
}

// minimize removes lines, one after another, as long as breaks returns true for the
// remaining lines.
func fewest(lines []string, breaks func([]string) bool) []string {
	for i := 0; i < len(lines); {
		fewer := slices.Delete(slices.Clone(lines), i, i+1)
		if breaks(fewer) {
			lines = fewer
		} else {
			i++
		}
	}
	return lines
}

// simulateLines simulates a day with the faults of the script lines.
func (o *Options) playLines(p Policy, seed uint64, lines []string) (Day, error) {
	fs, err := parseScript(strings.NewReader(strings.Join(lines, "\n")), o.Zones)
	if err != nil {
		return Day{}, err
	}
	d, err := o.play(p, seed, fs)
	d.Script = lines
	return d, err
}
