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
	// X is the size that was varied and Y the value measured at it.
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a straight line fitted to points.
type Fit struct {
	// Base is the value at size 0 and Slope the increase per unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// R2 is the coefficient of determination.
	R2 float64 `json:"r2"`
}

// At returns the value of the line at a size.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// Slope is a series of measured points and the line fitted to them.
type Slope struct {
	// Name identifies the slope, such as "fleet.cpu.by_targets".
	Name string `json:"name"`
	// Unit is the unit of the values; Per is the size that was varied.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Command, with each of Seeds, produced the points on Date at Commit.
	Command string `json:"command"`
	Commit  string `json:"commit"`
	Seeds   []int  `json:"seeds"`
	Date    string `json:"date"`
	// Trial marks points that were copied from another record.
	Trial bool `json:"trial,omitempty"`
	// Points holds the measurements; a single point is a constant.
	Points []Point `json:"points"`
	// Fit is the line recorded in slopes.json; see Refit.
	Fit Fit `json:"fit"`
}

// Refit fits the line to the points by least squares. If all points have the
// same size, the result is their mean as a constant.
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
		// All values are equal, and the line passes through them.
		rSquared = 1
	}
	return Fit{Base: base, Slope: slope, R2: rSquared}
}

// Slopes holds recorded slopes by name.
type Slopes map[string]*Slope

// RecordedSlopes returns the slopes of slopes.json, in their order and by
// name.
func RecordedSlopes() ([]*Slope, Slopes, error) {
	var ordered []*Slope
	if err := json.Unmarshal(slopesJSON, &ordered); err != nil {
		return nil, nil, errors.Wrap(err, "decode slopes.json")
	}
	byName := make(Slopes, len(ordered))
	for _, s := range ordered {
		if byName[s.Name] != nil {
			return nil, nil, errors.Newf("slopes.json: slope %s is listed twice", s.Name)
		}
		if len(s.Points) == 0 {
			return nil, nil, errors.Newf("slopes.json: slope %s has no points", s.Name)
		}
		byName[s.Name] = s
	}
	return ordered, byName, nil
}
