package query

import (
	"context"
	"encoding/json"
	"io"
	"text/tabwriter"

	"github.com/hibiscuspost/hibiscuspost/internal/report"
)

// Moves shows the moves of all pools.
type Moves struct{ flags }

// Run prints one line for each move.
func (q *Moves) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &q.flags, out, "/admin/v1/moves", printMoves)
}

func printMoves(table *tabwriter.Writer, moves report.Moves[json.RawMessage]) {
	for _, move := range moves.Moves {
		row(table, string(move))
	}
}
