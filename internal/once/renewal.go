package once

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// leaseAttempt is one try to write the lease row, alone or with shards.
type leaseAttempt struct {
	started time.Time
	row     leaseRow
	taken   []takenShard
}

// renew extends the lease.
func (s *Shards) renew(ctx context.Context) error {
	_, err := s.commit(ctx, nil, nil)
	return err
}

// commit writes the lease row and the given shard rows in one transaction, and
// holds the shards afterwards. A conflict is no error: nothing is done then,
// and the next step reads the rows again. A lost answer is settled by reading
// the lease row back, now or after a later conflict.
func (s *Shards) commit(
	ctx context.Context, writes []platform.Write, taken []takenShard,
) (done bool, err error) {
	g := s.grip.Load()
	attempt := s.newAttempt(taken)
	s.mayBeWritten(attempt)
	lease := platform.Write{Key: leaseKey(g.lease), ExpectedVersion: g.version, Value: encodeRow(&attempt.row)}
	err = s.transact(ctx, append([]platform.Write{lease}, writes...))
	clear(s.rows)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		s.succeed(attempt, g.version+1)
		return true, nil
	case errors.As(err, &conflict):
		s.notWritten(g)
		if conflict.Indexes[0] == 0 {
			s.settle(conflict.Rows[0])
		}
		return false, nil
	case errors.Is(err, platform.ErrUnavailable):
		s.notWritten(g)
		return false, err
	default:
		s.unknown[attempt.row.Attempt] = attempt
		return s.readBack(ctx, lease.Key)
	}
}

func (s *Shards) newAttempt(taken []takenShard) leaseAttempt {
	view := s.options.Viewer.View()
	return leaseAttempt{
		started: s.options.Clock.Now(),
		taken:   taken,
		row: leaseRow{
			Attempt: s.sequence.Add(1), Witnesses: chooseWitnesses(view), Solo: len(peers(view)) == 0,
			TTLMillis: leaseTTL(len(view.Members)).Milliseconds(),
		},
	}
}

// mayBeWritten allows for the attempt's row from before it is sent.
func (s *Shards) mayBeWritten(attempt leaseAttempt) {
	s.update(func(g *grip) {
		g.witnesses = unite(g.witnesses, attempt.row.Witnesses)
		g.solo = g.solo && attempt.row.Solo
	})
}

// notWritten takes mayBeWritten back.
func (s *Shards) notWritten(before *grip) {
	s.update(func(g *grip) { g.witnesses, g.solo = before.witnesses, before.solo })
}

// readBack settles an attempt whose answer was lost.
func (s *Shards) readBack(ctx context.Context, key platform.Key) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, RenewEvery)
	defer cancel()
	row, err := s.options.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return false, platform.ErrOutcomeUnknown
	}
	if err != nil {
		return false, err
	}
	return s.settle(row), nil
}

// settle tells from the lease row which of this instance's writes took effect,
// or that the lease was lost. It returns whether the last one known did.
func (s *Shards) settle(found platform.Row) bool {
	var row leaseRow
	if found.Version == 0 || msgpack.Unmarshal(found.Value, &row) != nil || row.EndedMillis != 0 {
		s.lose()
		return false
	}
	if attempt, known := s.unknown[row.Attempt]; known {
		s.succeed(attempt, found.Version)
		return true
	}
	s.update(func(g *grip) { g.version = found.Version })
	return false
}

// succeed holds what a successful attempt has written.
func (s *Shards) succeed(attempt leaseAttempt, version platform.Version) {
	clear(s.unknown)
	if len(attempt.taken) > 0 && s.listener != nil {
		s.listener.acquired(describe(attempt.taken))
	}
	s.update(func(g *grip) {
		g.version = version
		g.renewed, g.ttl = attempt.started, attempt.row.ttl()
		g.until = attempt.started.Add(g.ttl - LeaseMargin)
		g.witnesses, g.solo = attempt.row.Witnesses, attempt.row.Solo
		g.rows = withTaken(g.rows, attempt.taken)
	})
}

func withTaken(held map[Shard]platform.Version, taken []takenShard) map[Shard]platform.Version {
	rows := make(map[Shard]platform.Version, len(held)+len(taken))
	for shard, version := range held {
		rows[shard] = version
	}
	for _, t := range taken {
		rows[t.Shard] = t.version + 1
	}
	return rows
}

// lose drops all shards and begins a new lease.
func (s *Shards) lose() {
	clear(s.unknown)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grip.Store(s.newGrip())
}

func (s *Shards) transact(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, RenewEvery)
	defer cancel()
	return s.options.Table.Commit(ctx, writes)
}

// unite returns the witnesses of both lists.
func unite(a, b []witness) []witness {
	all := slices.Clone(a)
	for _, w := range b {
		if !slices.Contains(a, w) {
			all = append(all, w)
		}
	}
	return all
}
