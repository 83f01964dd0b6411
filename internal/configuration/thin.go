// Package configuration keeps the accepted configuration: one row of the
// table service, which only ever moves to a higher version.
package configuration

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// row is the row that holds the configuration.
var row = platform.Key{Table: "configuration", ID: "current"}

// pollPeriod is how often the row is read.
const pollPeriod = time.Second

// Poller adopts the configuration by reading the table service.
type Poller struct {
	table   platform.TableService
	current atomic.Pointer[tables.Tables]
}

// NewPoller returns a poller that has adopted nothing.
func NewPoller(table platform.TableService) *Poller {
	p := &Poller{table: table}
	p.current.Store(&tables.Tables{})
	return p
}

// Current returns the configuration in force here.
func (p *Poller) Current() *tables.Tables { return p.current.Load() }

// Apply writes the tables as the version after base.
func (p *Poller) Apply(ctx context.Context, base uint64, t tables.Tables) (uint64, error) {
	t.Version = base + 1
	text, err := json.Marshal(t)
	if err != nil {
		return 0, err
	}
	err = p.table.Commit(ctx, []platform.Write{{Key: row, Expect: platform.Version(base), Value: text}})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0, &ConflictError{Present: uint64(conflict.Rows[0].Version)}
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return 0, errors.Mark(err, ErrOutcomeUnknown)
	}
	if err != nil {
		return 0, err
	}
	p.adopt(&t)
	return t.Version, nil
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) poll(ctx context.Context) {
	read, err := p.table.Get(ctx, row)
	if err != nil {
		return
	}
	var t tables.Tables
	if json.Unmarshal(read.Value, &t) == nil {
		p.adopt(&t)
	}
}

// adopt swaps a higher version in.
func (p *Poller) adopt(t *tables.Tables) {
	for {
		old := p.current.Load()
		if t.Version <= old.Version || p.current.CompareAndSwap(old, t) {
			return
		}
	}
}
