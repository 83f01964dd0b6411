// Package query holds the commands that only read.
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
)

// flags are the flags of every query.
type flags struct {
	adminclient.Flags
	JSON bool `help:"Print JSON for programs." name:"json"`
}

// fetch reads one report and prints it as JSON or as a table for people.
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

// printRow prints the cells of one line.
func printRow(table *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, cell)
	}
	_, _ = fmt.Fprintln(table)
}
