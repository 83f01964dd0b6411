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
	_, err := s.commitLease(ctx, nil, nil)
	return err
}

// commitLease writes the lease row and the given shard rows in one transaction, and
// holds the shards afterwards. A conflict is no error: nothing is done then,
// and the next step reads the rows again. A lost answer is settled by reading
// the lease row back, now or after a later conflict.
func (s *Shards) commitLease(
	ctx context.Context, writes []platform.Write, taken []takenShard,
) (done bool, err error) {
	state := s.state.Load()
	attempt := s.newAttempt(taken)
	s.includeAttempt(attempt)
	leaseWrite := platform.Write{Key: leaseKey(state.leaseID), Expect: state.version, Value: encodeRow(&attempt.row)}
	err = s.transact(ctx, append([]platform.Write{leaseWrite}, writes...))
	clear(s.rowCache)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		s.applyAttempt(attempt, state.version+1)
		return true, nil
	case errors.As(err, &conflict):
		s.excludeAttempt(state)
		if conflict.Indexes[0] == 0 {
			s.resolveAttempts(conflict.Rows[0])
		}
		return false, nil
	case errors.Is(err, platform.ErrUnavailable):
		s.excludeAttempt(state)
		return false, err
	default:
		s.unresolvedAttempts[attempt.row.Attempt] = attempt
		return s.readBack(ctx, leaseWrite.Key)
	}
}

func (s *Shards) newAttempt(taken []takenShard) leaseAttempt {
	view := s.options.Viewer.View()
	return leaseAttempt{
		started: s.options.Clock.Now(),
		taken:   taken,
		row: leaseRow{
			Attempt: s.sequence.Add(1), Witnesses: chooseWitnesses(view), SoleInstance: len(stayingMembers(view)) == 0,
			TTLMillis: leaseTTL(len(view.Members)).Milliseconds(),
		},
	}
}

// includeAttempt allows for the attempt's row from before it is sent.
func (s *Shards) includeAttempt(attempt leaseAttempt) {
	s.updateState(func(state *leaseState) {
		state.witnesses = unionWitnesses(state.witnesses, attempt.row.Witnesses)
		state.soleInstance = state.soleInstance && attempt.row.SoleInstance
	})
}

// excludeAttempt takes mayBeWritten back.
func (s *Shards) excludeAttempt(before *leaseState) {
	s.updateState(func(state *leaseState) { state.witnesses, state.soleInstance = before.witnesses, before.soleInstance })
}

// readBack settles an attempt whose answer was lost.
func (s *Shards) readBack(ctx context.Context, key platform.Key) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, MaxRenewInterval)
	defer cancel()
	row, err := s.options.Table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return false, platform.ErrOutcomeUnknown
	}
	if err != nil {
		return false, err
	}
	return s.resolveAttempts(row), nil
}

// resolveAttempts tells from the lease row which of this instance's writes took effect,
// or that the lease was lost. It returns whether the last one known did.
func (s *Shards) resolveAttempts(found platform.Row) bool {
	var row leaseRow
	if found.Version == 0 || msgpack.Unmarshal(found.Value, &row) != nil || row.EndedMillis != 0 {
		s.resetLease()
		return false
	}
	if attempt, known := s.unresolvedAttempts[row.Attempt]; known {
		s.applyAttempt(attempt, found.Version)
		return true
	}
	s.updateState(func(state *leaseState) { state.version = found.Version })
	return false
}

// applyAttempt holds what a successful attempt has written.
func (s *Shards) applyAttempt(attempt leaseAttempt, version platform.Version) {
	clear(s.unresolvedAttempts)
	if len(attempt.taken) > 0 && s.listener != nil {
		s.listener.shardsAcquired(acquisitionsOf(attempt.taken))
	}
	s.updateState(func(state *leaseState) {
		state.version = version
		state.renewedAt, state.ttl = attempt.started, attempt.row.ttl()
		state.validUntil = attempt.started.Add(state.ttl - LeaseSafetyMargin)
		state.witnesses, state.soleInstance = attempt.row.Witnesses, attempt.row.SoleInstance
		state.shardVersions = withTakenShards(state.shardVersions, attempt.taken)
	})
}

func withTakenShards(held map[Shard]platform.Version, taken []takenShard) map[Shard]platform.Version {
	rows := make(map[Shard]platform.Version, len(held)+len(taken))
	for shard, version := range held {
		rows[shard] = version
	}
	for _, t := range taken {
		rows[t.Shard] = t.version + 1
	}
	return rows
}

// resetLease drops all shards and begins a new lease.
func (s *Shards) resetLease() {
	clear(s.unresolvedAttempts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Store(s.newLeaseState())
}

func (s *Shards) transact(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, MaxRenewInterval)
	defer cancel()
	return s.options.Table.Commit(ctx, writes)
}

// unionWitnesses returns the witnesses of both lists.
func unionWitnesses(a, b []witness) []witness {
	all := slices.Clone(a)
	for _, w := range b {
		if !slices.Contains(a, w) {
			all = append(all, w)
		}
	}
	return all
}
