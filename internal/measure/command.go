package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
)

// allMeasuresName selects all measures.
const allMeasuresName = "all"

// Command is the "measure" command.
type Command struct {
	Name    string `arg:"" optional:"" default:"all" help:"A measure, or all."`
	Seed    uint64 `default:"1" help:"Determines load, sizes, fault times and kinds."`
	Seconds int    `help:"How long load is sent; default 12." placeholder:"N"`
	JSON    bool   `name:"json" help:"Print one JSON object a line."`
	List    bool   `help:"Print the names of the measures."`
}

// Run runs the selected measures and prints their figures, or lists the measures.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	if c.List {
		return listMeasures(out)
	}
	selected := All()
	if c.Name != allMeasuresName {
		m, err := Find(c.Name)
		if err != nil {
			return exit.WithCode(exit.BadInput, err)
		}
		selected = []Measure{m}
	}
	options := Options{Seed: c.Seed, Duration: time.Duration(c.Seconds) * time.Second}
	var allFigures []Figure
	for _, m := range selected {
		figures, err := Execute(ctx, m, options)
		if err != nil {
			return err
		}
		allFigures = append(allFigures, figures...)
		if !c.JSON {
			continue
		}
		if err := WriteJSON(out, figures); err != nil {
			return err
		}
	}
	if c.JSON {
		return nil
	}
	return WriteTable(out, allFigures)
}

func listMeasures(out io.Writer) error {
	for _, m := range All() {
		if _, err := fmt.Fprintf(out, "%-10s %s\n", m.Name, m.Summary); err != nil {
			return err
		}
	}
	return nil
}
