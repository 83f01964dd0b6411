package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// WriteJSON writes each figure as a JSON object on a line of its own.
func WriteJSON(w io.Writer, figures []Figure) error {
	encoder := json.NewEncoder(w)
	for _, figure := range figures {
		if err := encoder.Encode(figure); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes the figures as an aligned text table.
func WriteTable(w io.Writer, figures []Figure) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "MEASURE\tSEED\tFIGURE\tVALUE\tUNIT\tBASELINE")
	for _, f := range figures {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n",
			f.Measure, f.Seed, f.Name, formatValue(f.Value), f.Unit, formatBaseline(f.Baseline))
	}
	return table.Flush()
}

func formatBaseline(value *float64) string {
	if value == nil {
		return "-"
	}
	return formatValue(*value)
}

func formatValue(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
