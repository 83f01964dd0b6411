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

// leaseAttempt is one attempt to write the lease row, alone or together with
// shard rows.
type leaseAttempt struct {
	startedAt   time.Time
	row         leaseRow
	takenShards []takenShard
}

// renew extends the lease without taking shards.
func (s *Shards) renew(ctx context.Context) error {
	_, err := s.commitLease(ctx, nil, nil)
	return err
}

// commitLease writes the lease row and the given shard rows in one transaction;
// if that succeeds, the shards are held. A conflict is not an error: nothing
// was written, and the next step reads the rows again. If the response is lost,
// the lease row is read back, now or after a later conflict, to find out
// whether the write took effect.
func (s *Shards) commitLease(
	ctx context.Context, writes []platform.Write, taken []takenShard,
) (done bool, err error) {
	state := s.state.Load()
	attempt := s.newAttempt(taken)
	s.includeAttempt(attempt)
	leaseWrite := platform.Write{Key: leaseKey(state.leaseID), ExpectedVersion: state.version, Value: encodeRow(&attempt.row)}
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
		startedAt:   s.options.Clock.Now(),
		takenShards: taken,
		row: leaseRow{
			Attempt: s.sequence.Add(1), Witnesses: chooseWitnesses(view), SoleInstance: len(stayingMembers(view)) == 0,
			TTLMillis: leaseTTL(len(view.Members)).Milliseconds(),
		},
	}
}

// includeAttempt extends the state before a write to what holds if the write
// takes effect.
func (s *Shards) includeAttempt(attempt leaseAttempt) {
	s.updateState(func(state *leaseState) {
		state.witnesses = unionWitnesses(state.witnesses, attempt.row.Witnesses)
		state.soleInstance = state.soleInstance && attempt.row.SoleInstance
	})
}

// excludeAttempt reverts includeAttempt after a write that certainly had no
// effect.
func (s *Shards) excludeAttempt(before *leaseState) {
	s.updateState(func(state *leaseState) { state.witnesses, state.soleInstance = before.witnesses, before.soleInstance })
}

// readBack reads the lease row to resolve an attempt whose response was lost.
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

// resolveAttempts determines from the lease row which write of this instance
// took effect last, or that the lease was lost. It returns true if that write
// was unresolved.
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

// applyAttempt updates the state to what a successful attempt has written. The
// listener is notified before Holds reports the new shards.
func (s *Shards) applyAttempt(attempt leaseAttempt, version platform.Version) {
	clear(s.unresolvedAttempts)
	if len(attempt.takenShards) > 0 && s.listener != nil {
		s.listener.shardsAcquired(acquisitionsOf(attempt.takenShards))
	}
	s.updateState(func(state *leaseState) {
		state.version = version
		state.renewedAt, state.ttl = attempt.startedAt, attempt.row.ttl()
		state.validUntil = attempt.startedAt.Add(state.ttl - LeaseSafetyMargin)
		state.witnesses, state.soleInstance = attempt.row.Witnesses, attempt.row.SoleInstance
		state.shardVersions = withTakenShards(state.shardVersions, attempt.takenShards)
	})
}

func withTakenShards(held map[Shard]platform.Version, taken []takenShard) map[Shard]platform.Version {
	versions := make(map[Shard]platform.Version, len(held)+len(taken))
	for shard, version := range held {
		versions[shard] = version
	}
	for _, t := range taken {
		versions[t.Shard] = t.version + 1
	}
	return versions
}

// resetLease drops all shards and starts a new lease.
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

func unionWitnesses(a, b []witness) []witness {
	all := slices.Clone(a)
	for _, w := range b {
		if !slices.Contains(a, w) {
			all = append(all, w)
		}
	}
	return all
}
