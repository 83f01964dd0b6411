package simulate

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
)

// Command simulates load patterns and prints the outcomes of the requests.
type Command struct {
	Pattern []string `help:"The patterns to simulate; default: all." sep:","`
	Seed    uint64   `help:"Seed for arrivals and sizes." default:"1"`
	Load    float64  `help:"Factor on all arrival rates." default:"1"`
	Plot    string   `help:"Directory for plots of the worth by second of arrival (SVG)." type:"existingdir"`
}

// Run simulates each pattern twice: with the scheduler of package schedule
// and, as a baseline, with a forwarder that dispatches at once to the least
// loaded engine.
func (c *Command) Run(_ context.Context, out io.Writer) error {
	patterns, err := c.selectPatterns()
	if err != nil {
		return exit.WithCode(exit.BadInput, err)
	}
	for _, pattern := range patterns {
		env := DefaultEnvironment()
		for i := range env.Classes {
			env.Classes[i].ArrivalsPerSecond *= c.Load
		}
		scheduled, baseline := Run(env, pattern, c.Seed, false), Run(env, pattern, c.Seed, true)
		if _, err := fmt.Fprintf(out, "%s, seed %d; a plain forwarder earns %.3f\n",
			pattern.Name, c.Seed, baseline.ValueFraction()); err != nil {
			return err
		}
		if err := scheduled.Write(out); err != nil {
			return err
		}
		if err := c.writePlotFile(pattern, scheduled, baseline); err != nil {
			return exit.WithCode(exit.Failed, err)
		}
	}
	return nil
}

func (c *Command) selectPatterns() ([]Pattern, error) {
	if len(c.Pattern) == 0 {
		return Patterns(), nil
	}
	var chosen []Pattern
	names := make([]string, 0, len(Patterns()))
	for _, name := range c.Pattern {
		for _, pattern := range Patterns() {
			if pattern.Name == name {
				chosen = append(chosen, pattern)
			}
		}
	}
	for _, pattern := range Patterns() {
		names = append(names, pattern.Name)
	}
	if len(chosen) != len(c.Pattern) {
		return nil, errors.Newf("unknown pattern in %q; the patterns are %s", c.Pattern, strings.Join(names, ", "))
	}
	return chosen, nil
}

func (c *Command) writePlotFile(pattern Pattern, scheduled, baseline *Report) (err error) {
	if c.Plot == "" {
		return nil
	}
	file, err := os.Create(c.Plot + "/" + pattern.Name + ".svg")
	if err != nil {
		return errors.Wrap(err, "create plot file")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	writePlot(file, fmt.Sprintf("%s, seed %d: part of the worth earned, by the second of arrival", pattern.Name, c.Seed), []curve{
		{"decisions", "seagreen", scheduled.ValueFractionBySecond()}, {"forwarder", "firebrick", baseline.ValueFractionBySecond()},
	})
	return nil
}
