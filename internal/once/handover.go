package once

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// leaseSweepInterval is the time between sweeps of ended leases, and how
	// long the row of an ended lease is kept at least.
	leaseSweepInterval = time.Hour
	// leaseSweepLimit bounds the rows read by one sweep.
	leaseSweepLimit = 1000
)

// misplacedShards returns the held shards that are assigned to other instances,
// by instance.
func (s *Shards) misplacedShards() map[membership.Member][]Shard {
	placement, state := s.placement.Load(), s.state.Load()
	byOwner := make(map[membership.Member][]Shard)
	for shard := range state.shardVersions {
		owner := placement.owners[shard]
		if owner.Name != placement.view.Self.Name {
			byOwner[owner] = append(byOwner[owner], shard)
		}
	}
	return byOwner
}

// handOverShards drops shards, sends their records to the members that they are
// assigned to, and queues the writes that release their rows.
func (s *Shards) handOverShards(ctx context.Context, byOwner map[membership.Member][]Shard, leaving bool) {
	for owner, shards := range byOwner {
		s.handOverTo(ctx, owner, shards, leaving)
	}
}

func (s *Shards) handOverTo(ctx context.Context, owner membership.Member, shards []Shard, leaving bool) {
	versions := s.dropShards(shards)
	row := shardRow{Holder: s.options.Viewer.View().Self}
	if s.listener == nil || s.listener.handOverRecords(ctx, owner, shards, leaving) {
		row.Successor = identity(owner)
	}
	for _, shard := range shards {
		s.setKeyOwnerHint(shard, owner)
		s.pendingReleases[shard] = platform.Write{
			Key: shardKey(shard), ExpectedVersion: versions[shard], Value: encodeRow(&row),
		}
	}
}

// dropShards stops holding the shards. It returns the row versions of all
// shards held before.
func (s *Shards) dropShards(shards []Shard) map[Shard]platform.Version {
	versions := s.state.Load().shardVersions
	s.updateState(func(state *leaseState) {
		remaining := make(map[Shard]platform.Version, len(state.shardVersions))
		for shard, version := range state.shardVersions {
			remaining[shard] = version
		}
		for _, shard := range shards {
			delete(remaining, shard)
		}
		state.shardVersions = remaining
	})
	return versions
}

// releaseRows marks the rows of dropped shards as released. Failed writes are
// retried in the next step; a row that has changed in the meantime needs no
// release.
func (s *Shards) releaseRows(ctx context.Context) error {
	if len(s.pendingReleases) == 0 {
		return nil
	}
	var shards []Shard
	for shard := range s.pendingReleases {
		shards = append(shards, shard)
	}
	slices.Sort(shards)
	writes := make([]platform.Write, len(shards))
	for i, shard := range shards {
		writes[i] = s.pendingReleases[shard]
	}
	err := s.transact(ctx, writes)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		clear(s.pendingReleases)
	case errors.As(err, &conflict):
		for _, index := range conflict.Indexes {
			delete(s.pendingReleases, shards[index])
		}
		return s.releaseRows(ctx)
	}
	return err
}

// Release hands all shards over and ends the lease, before a shutdown. When it
// returns, no shards are held, even if it returns an error.
func (s *Shards) Release(ctx context.Context) error {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	s.released = true
	state := s.state.Load()
	s.handOverShards(ctx, s.successors(state), true)
	s.resetLease()
	if err := s.releaseRows(ctx); err != nil || state.version == 0 {
		return err
	}
	return s.releaseLease(ctx, state)
}

// releaseLease ends the lease by deleting its row. If there is no other
// instance that stays, the row is marked as ended instead and kept until it is
// swept, to show a successor that the records are lost.
func (s *Shards) releaseLease(ctx context.Context, state *leaseState) error {
	write := platform.Write{Key: leaseKey(state.leaseID), ExpectedVersion: state.version, Delete: true}
	if len(stayingMembers(s.options.Viewer.View())) == 0 {
		ended := leaseRow{SoleInstance: true, EndedMillis: s.options.Clock.Now().UnixMilli()}
		write.Delete, write.Value = false, encodeRow(&ended)
	}
	return s.transact(ctx, []platform.Write{write})
}

// sweepLeases deletes the rows of leases that ended long ago. One instance,
// chosen by rendezvous hashing, does so.
func (s *Shards) sweepLeases(ctx context.Context) error {
	view, now := s.options.Viewer.View(), s.options.Clock.Now()
	if now.Sub(s.lastSweep) < leaseSweepInterval {
		return nil
	}
	s.lastSweep = now
	if membership.Owner(view, "sweep/"+leaseTable).Name != view.Self.Name {
		return nil
	}
	rows, err := s.options.Table.Scan(ctx, leaseTable, "", leaseSweepLimit)
	if err != nil {
		return err
	}
	var writes []platform.Write
	for _, row := range rows {
		var lease leaseRow
		if msgpack.Unmarshal(row.Value, &lease) != nil || lease.EndedMillis == 0 {
			continue
		}
		if now.Sub(time.UnixMilli(lease.EndedMillis)) > leaseSweepInterval {
			writes = append(writes, platform.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
		}
	}
	if len(writes) == 0 {
		return nil
	}
	return s.transact(ctx, writes)
}

// successors returns the shards held, by the instance that is to take them when
// this one leaves.
func (s *Shards) successors(state *leaseState) map[membership.Member][]Shard {
	view := *s.options.Viewer.View()
	view.Members = otherMembers(&view)
	bySuccessor := make(map[membership.Member][]Shard)
	if len(view.Members) == 0 {
		return bySuccessor
	}
	for shard := range state.shardVersions {
		successor := membership.Owner(&view, shard.rendezvousKey())
		bySuccessor[successor] = append(bySuccessor[successor], shard)
	}
	return bySuccessor
}

// stayingMembers returns the other members that are not leaving.
func stayingMembers(view *membership.View) []membership.Member {
	var staying []membership.Member
	for _, m := range otherMembers(view) {
		if !m.Leaving {
			staying = append(staying, m)
		}
	}
	return staying
}

// otherMembers returns all members except this instance.
func otherMembers(view *membership.View) []membership.Member {
	var rest []membership.Member
	for _, m := range view.Members {
		if m.Name != view.Self.Name {
			rest = append(rest, m)
		}
	}
	return rest
}
