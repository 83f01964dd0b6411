// Package query implements the commands that read the status of an instance:
// Config, Moves, Targets and Instances.
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
)

// flags holds the flags of all status commands.
type flags struct {
	adminclient.Flags
	JSON bool `help:"Print JSON instead of a table." name:"json"`
}

// fetch gets one status response and prints it as JSON or as a table.
func fetch[T any](ctx context.Context, f *flags, out io.Writer, path string, printTable func(*tabwriter.Writer, T)) error {
	client, err := f.Client()
	if err != nil {
		return err
	}
	var result T
	if err := client.Get(ctx, path, &result); err != nil {
		return err
	}
	if f.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	const columnGap = 2
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	printTable(table, result)
	return table.Flush()
}

// printRow prints one row of a table.
func printRow(table *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, cell)
	}
	_, _ = fmt.Fprintln(table)
}
