// Package capacity measures how the state, traffic and processor time of a fleet
// grow with its size, and fits lines from which larger sizes are extrapolated.
package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a line fitted to points.
type Slope struct {
	Name   string  `json:"name"`
	Per    string  `json:"per"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Base and Each are the line's coefficients: Value = Base + Each * Size.
	Base float64 `json:"base"`
	Each float64 `json:"each"`
	// Residual is the largest deviation of a point from the line, relative to
	// the largest absolute value.
	Residual float64 `json:"residual"`
}

// NewSlope fits a line to the points by least squares.
func NewSlope(name, per, unit string, ps []Point) Slope {
	s := Slope{Name: name, Per: per, Unit: unit, Points: ps}
	var x, y []float64
	top := 0.0
	for _, p := range ps {
		x, y = append(x, p.Size), append(y, p.Value)
		top = max(top, math.Abs(p.Value))
	}
	s.Base, s.Each = stat.LinearRegression(x, y, nil, false)
	for _, p := range ps {
		s.Residual = max(s.Residual, math.Abs(s.At(p.Size)-p.Value)/max(top, math.SmallestNonzeroFloat64))
	}
	return s
}

// At returns the line's value at the size.
func (s Slope) At(size float64) float64 { return s.Base + s.Each*size }

// String returns the points and the line as a row of a table.
func (s Slope) String() string {
	row := fmt.Sprintf("%-34s", s.Name)
	for _, p := range s.Points {
		row += fmt.Sprintf(" %6.0f:%-10.4g", p.Size, p.Value)
	}
	return row + fmt.Sprintf(" = %.4g + %.4g per %s [%s], residual %.1f%%", s.Base, s.Each, s.Per, s.Unit, 100*s.Residual)
}
