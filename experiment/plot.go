package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// writePlot plots the share of requests answered within the target latency in each second.
// Each policy has one line, over all its days.
func (r *Report) writePlot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d balancers, %d upstreams, %d callers", r.Balancers, r.Agents, r.Callers)
	p.X.Label.Text, p.Y.Label.Text = "second", "answered within the target latency"
	p.Y.Min, p.Y.Max = 0, 1
	p.Add(plotter.NewGrid())
	var lines []any
	for _, x := range r.policies() {
		lines = append(lines, string(x), r.shares(x))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

// policies returns the policies of the days, in the order of the days.
func (r *Report) policies() []Policy {
	var ps []Policy
	for _, d := range r.Days {
		if len(ps) == 0 || ps[len(ps)-1] != d.Policy {
			ps = append(ps, d.Policy)
		}
	}
	return ps
}

// shares returns the points of one policy's line.
func (r *Report) shares(p Policy) plotter.XYs {
	var sums []Second
	for _, d := range r.Days {
		if d.Policy != p {
			continue
		}
		for i, s := range d.Seconds {
			if i == len(sums) {
				sums = append(sums, Second{})
			}
			sums[i].Begun += s.Begun
			sums[i].InAim += s.InAim
		}
	}
	var xy plotter.XYs
	for i, s := range sums {
		xy = append(xy, plotter.XY{X: float64(i), Y: s.Share()})
	}
	return xy
}
