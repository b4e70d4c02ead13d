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
	faultFreeStart = time.Second
	faultFreeEnd   = 4 * time.Second
)

// drawScript returns the lines of a script with n random faults.
func (o *Options) drawScript(seed uint64, n int) []string {
	r := rand.New(rand.NewPCG(seed, drawSalt))
	var out []string
	for range n {
		at := faultFreeStart + time.Duration(r.Int64N(int64(max(time.Millisecond, o.Length-faultFreeStart-faultFreeEnd))))
		out = append(out, o.drawFault(r, at.Round(time.Millisecond))...)
	}
	return out
}

// drawFault returns the script lines of one random fault that starts at the given time.
func (o *Options) drawFault(r *rand.Rand, at time.Duration) []string {
	duration := time.Duration(200+r.IntN(2800)) * time.Millisecond
	agents, balancers := 1+r.IntN(max(1, o.Agents/4)), 1+r.IntN(max(1, o.Balancers/2))
	switch verb := []string{"power", "kill", "restart", "lose", "crash", "drain", "cut", "out", "burst", "loss", "reroute", "freeze", "store"}[r.IntN(13)]; verb {
	case "power", "kill":
		return []string{fmt.Sprintf("%v %s %v", at, verb, duration)}
	case "restart", "cut", "freeze":
		return []string{fmt.Sprintf("%v %s %d %v", at, verb, balancers, duration)}
	case "burst":
		return []string{fmt.Sprintf("%v burst %d %v", at, 1+r.IntN(o.callerCount()), duration)}
	case "loss":
		return []string{fmt.Sprintf("%v loss %.3f %v", at, 0.05*r.Float64(), duration)}
	case "reroute":
		return []string{fmt.Sprintf("%v reroute", at)}
	case "store":
		return []string{fmt.Sprintf("%v store %v %v", at, duration/10, duration)}
	case "out":
		z := zoneName(r.IntN(o.Zones))
		return []string{fmt.Sprintf("%v out %s", at, z), fmt.Sprintf("%v in %s", at+duration+3*time.Second, z)}
	default:
		return []string{fmt.Sprintf("%v %s %d", at, verb, agents)}
	}
}

// simulateDrawn simulates a day with drawn faults. If the day has breaches, it returns
// the day with the smallest set of faults found that still causes a breach.
func (o *Options) simulateDrawn(p Policy, seed uint64) (Day, error) {
	lines := o.drawScript(seed, o.Draw)
	d, err := o.simulateLines(p, seed, lines)
	if err != nil || len(d.Breaches) == 0 {
		return d, err
	}
	minimize(lines, func(fewer []string) bool {
		x, e := o.simulateLines(p, seed, fewer)
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
func minimize(lines []string, breaks func([]string) bool) []string {
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
func (o *Options) simulateLines(p Policy, seed uint64, lines []string) (Day, error) {
	fs, err := parseScript(strings.NewReader(strings.Join(lines, "\n")), o.Zones)
	if err != nil {
		return Day{}, err
	}
	d, err := o.simulate(p, seed, fs)
	d.Script = lines
	return d, err
}
