package query

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/report"
)

// Moves shows the moves of all pools.
type Moves struct{ flags }

// Run prints one line for each move.
func (m *Moves) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &m.flags, out, "/admin/v1/moves", printMoves)
}

func printMoves(table *tabwriter.Writer, moves report.Moves) {
	printRow(table, "POOL", "STATE", "PHASE", "OLD", "NEW", "STAGE", "SHARE", "TIME LEFT", "ON TRACK", "REASON")
	const percent = 100
	for _, m := range moves.Moves {
		stage := fmt.Sprintf("%d/%d", m.Stage, m.Stages)
		share := fmt.Sprintf("%.1f%%", m.Share*percent)
		printRow(table, m.Pool, m.State, m.Phase, m.OldVersion, m.NewVersion, stage, share,
			time.Duration(m.TimeLeft), m.OnTrack, m.Reason)
	}
}
