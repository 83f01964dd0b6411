// Package measure contains the benchmarks and fault-injection experiments of the
// command "measure". They run the real system over loopback, with stand-ins for
// the platform and the targets.
//
// A Measure draws its load, request sizes, fault times and kinds of faults from a
// seed, sends the load through a fleet of instances on a testbed, and compares
// what clients received with the stand-ins' logs, which are the ground truth. It
// returns Figures. Most measures run the same load with a naive baseline too, for
// comparison: the load balancer of package baseline, or in measure "moves" the
// naiveSelector.
//
// Each measure is in files measure_NAME*.go: its load and fault injection in
// measure_NAME.go, and where they are long, its scenarios, testbed and the
// computation of its figures in files of their own. Package load is the load
// generator.
package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultDuration is the default duration of a measure's load; with it, a measure
// ends within 50 s.
const DefaultDuration = 12 * time.Second

// Options configure a run of a measure.
type Options struct {
	// Seed determines the load, request sizes, fault times and kinds of faults.
	Seed uint64
	// Duration is how long load is sent; zero means DefaultDuration, or
	// defaultMoveRealTime for measure "moves".
	Duration time.Duration
}

func (o Options) duration() time.Duration {
	if o.Duration <= 0 {
		return DefaultDuration
	}
	return o.Duration
}

// Figure is one measured value.
type Figure struct {
	Measure string  `json:"measure"`
	Seed    uint64  `json:"seed"`
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Baseline is the value measured with the naive baseline; nil without one.
	Baseline *float64 `json:"baseline"`
}

// Units of figures.
const (
	unitRatio        = "ratio"
	unitCount        = "count"
	unitSeconds      = "s"
	unitMilliseconds = "ms"
)

// Measure is one benchmark or experiment.
type Measure struct {
	// Name selects the measure on the command line.
	Name string
	// Summary describes the measure in one line.
	Summary string
	// Run runs the measure and returns its figures, without Measure and Seed.
	Run func(ctx context.Context, options Options) ([]Figure, error)
}

// ErrUnknownMeasure is returned for a name that is not the name of a measure.
var ErrUnknownMeasure = errors.New("measure: unknown measure")

// Find returns the measure with the given name, or ErrUnknownMeasure.
func Find(name string) (Measure, error) {
	for _, m := range All() {
		if m.Name == name {
			return m, nil
		}
	}
	return Measure{}, errors.Wrapf(ErrUnknownMeasure, "%q", name)
}

// Execute runs one measure and sets Measure and Seed of its figures.
func Execute(ctx context.Context, m Measure, options Options) ([]Figure, error) {
	figures, err := m.Run(ctx, options)
	if err != nil {
		return nil, errors.Wrapf(err, "measure %s, seed %d", m.Name, options.Seed)
	}
	for i := range figures {
		figures[i].Measure = m.Name
		figures[i].Seed = options.Seed
	}
	return figures, nil
}

// All returns the measures, the most important first.
func All() []Measure {
	return []Measure{pressureMeasure(), onceMeasure(), drainMeasure(), movesMeasure(), configMeasure(), prefixMeasure(), controlMeasure()}
}
