package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes an SVG file with the slope's points and line into the directory.
func (s Slope) Plot(dir string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text, p.Y.Label.Text = s.Per+"s", s.Unit
	var xy plotter.XYs
	for _, x := range s.Points {
		xy = append(xy, plotter.XY{X: x.Size, Y: x.Value})
	}
	dots, err := plotter.NewScatter(xy)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(s.At)
	p.Add(plotter.NewGrid(), dots, line)
	p.X.Min, p.Y.Min = 0, 0
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := strings.NewReplacer(" ", "-", ",", "", "'", "").Replace(s.Name)
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, fmt.Sprintf("%s.svg", name)))
}
