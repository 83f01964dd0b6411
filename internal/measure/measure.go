// Package measure measures the real system over loopback, with stand-ins in
// the place of the platform and the targets.
//
// A measure draws its load, sizes, fault times and kinds from a seed, sends
// the load through instances of the system, and compares what callers saw with
// the logs of the stand-ins, which are the ground truth. Where it helps, the
// same load also goes through package baseline, the naive policy.
package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultDuration is how long the load of a measure lasts unless asked
// otherwise; a measure ends within 50 s with it.
const DefaultDuration = 12 * time.Second

// Options are what a run of a measure may vary.
type Options struct {
	// Seed determines load, sizes, fault times and kinds.
	Seed uint64
	// Duration is how long load is sent; zero means DefaultDuration.
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
	// Baseline is the value with the naive policy; nil where there is none.
	Baseline *float64 `json:"baseline"`
}

// Units of figures.
const (
	unitRatio        = "ratio"
	unitCount        = "count"
	unitSeconds      = "s"
	unitMilliseconds = "ms"
)

// Measure is one experiment.
type Measure struct {
	// Name is the name on the command line.
	Name string
	// Summary is one line for people.
	Summary string
	// Run carries the experiment out.
	Run func(ctx context.Context, options Options) ([]Figure, error)
}

// ErrUnknownMeasure is returned for a name that no measure has.
var ErrUnknownMeasure = errors.New("measure: no such measure")

// Find returns the measure with a name.
func Find(name string) (Measure, error) {
	for _, m := range All() {
		if m.Name == name {
			return m, nil
		}
	}
	return Measure{}, errors.Wrapf(ErrUnknownMeasure, "%q", name)
}

// Execute runs one measure and labels its figures.
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

// All returns the measures in the order in which they matter.
func All() []Measure {
	return []Measure{pressureMeasure(), onceMeasure(), drainMeasure(), movesMeasure(), configMeasure(), prefixMeasure(), controlMeasure()}
}
