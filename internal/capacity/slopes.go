package capacity

import (
	_ "embed"
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
)

//go:embed slopes.json
var slopesJSON []byte

// Point is one measured value.
type Point struct {
	// X is the size that was varied and Y what was measured there.
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a straight line through points.
type Fit struct {
	// Base is the value at 0 and Slope the rise for each unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// R2 is the part of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// At returns the line's value at a size.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// Slope is a series of measured points and the line through them.
type Slope struct {
	// Name is "what.by".
	Name string `json:"name"`
	// Unit is that of the values; Per is the size that was varied.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Command and Seeds gave the points on Date, with the code of the commit.
	Command string `json:"command"`
	Commit  string `json:"commit"`
	Seeds   []int  `json:"seeds"`
	Date    string `json:"date"`
	// Trial marks points that were taken over from another record.
	Trial bool `json:"trial,omitempty"`
	// Points are what was measured; one point is a constant.
	Points []Point `json:"points"`
	// Fit is the recorded line.
	Fit Fit `json:"fit"`
}

// Refit fits the line to the points again by least squares. Points that all
// have one size give their mean as a constant.
func (s *Slope) Refit() Fit {
	var xs, ys []float64
	xVaries := false
	for _, p := range s.Points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
		xVaries = xVaries || p.X != s.Points[0].X
	}
	if !xVaries {
		return Fit{Base: stat.Mean(ys, nil), R2: 1}
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	rSquared := stat.RSquared(xs, ys, nil, base, slope)
	if math.IsNaN(rSquared) {
		// All values are one, and the line goes through them.
		rSquared = 1
	}
	return Fit{Base: base, Slope: slope, R2: rSquared}
}

// Slopes are recorded slopes by name.
type Slopes map[string]*Slope

// RecordedSlopes returns the recorded slopes in their order and by name.
func RecordedSlopes() ([]*Slope, Slopes, error) {
	var ordered []*Slope
	if err := json.Unmarshal(slopesJSON, &ordered); err != nil {
		return nil, nil, errors.Wrap(err, "slopes.json")
	}
	byName := make(Slopes, len(ordered))
	for _, s := range ordered {
		if byName[s.Name] != nil {
			return nil, nil, errors.Newf("slopes.json: %s stands twice", s.Name)
		}
		if len(s.Points) == 0 {
			return nil, nil, errors.Newf("slopes.json: %s has no points", s.Name)
		}
		byName[s.Name] = s
	}
	return ordered, byName, nil
}
