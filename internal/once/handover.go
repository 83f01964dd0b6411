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
	// sweepEvery is the pause between sweeps of ended leases, and their age.
	sweepEvery = time.Hour
	// sweepLimit bounds the rows read by one sweep.
	sweepLimit = 1000
)

// misplaced returns the held shards that belong to another instance, by it.
func (s *Shards) misplaced() map[membership.Member][]Shard {
	owners, g := s.placed.Load(), s.grip.Load()
	placed := make(map[membership.Member][]Shard)
	for shard := range g.rows {
		owner := owners.owners[shard]
		if owner.Name != owners.view.Self.Name {
			placed[owner] = append(placed[owner], shard)
		}
	}
	return placed
}

// passOn stops holding shards, gives their records to the members they belong
// to, and then frees their rows for them.
func (s *Shards) passOn(ctx context.Context, placed map[membership.Member][]Shard, leaving bool) {
	for owner, shards := range placed {
		s.passTo(ctx, owner, shards, leaving)
	}
}

func (s *Shards) passTo(ctx context.Context, owner membership.Member, shards []Shard, leaving bool) {
	versions := s.drop(shards)
	row := shardRow{Holder: s.options.Viewer.View().Self}
	if s.listener == nil || s.listener.passOn(ctx, owner, shards, leaving) {
		row.Heir = identity(owner)
	}
	for _, shard := range shards {
		s.hint(shard, owner)
		s.unfreed[shard] = platform.Write{
			Key: shardKey(shard), ExpectedVersion: versions[shard], Value: encodeRow(&row),
		}
	}
}

// drop stops holding shards and returns their rows' versions.
func (s *Shards) drop(shards []Shard) map[Shard]platform.Version {
	versions := s.grip.Load().rows
	s.update(func(g *grip) {
		rows := make(map[Shard]platform.Version, len(g.rows))
		for shard, version := range g.rows {
			rows[shard] = version
		}
		for _, shard := range shards {
			delete(rows, shard)
		}
		g.rows = rows
	})
	return versions
}

// free marks the rows of dropped shards as released. What fails stays for the
// next step; a row that has changed needs no more.
func (s *Shards) free(ctx context.Context) error {
	if len(s.unfreed) == 0 {
		return nil
	}
	var shards []Shard
	for shard := range s.unfreed {
		shards = append(shards, shard)
	}
	slices.Sort(shards)
	writes := make([]platform.Write, len(shards))
	for i, shard := range shards {
		writes[i] = s.unfreed[shard]
	}
	err := s.transact(ctx, writes)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		clear(s.unfreed)
	case errors.As(err, &conflict):
		for _, index := range conflict.Indexes {
			delete(s.unfreed, shards[index])
		}
		return s.free(ctx)
	}
	return err
}

// Release passes all shards on and gives the lease back, before a shutdown.
// Shards are not held any more when it returns, whatever the error.
func (s *Shards) Release(ctx context.Context) error {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	s.released = true
	g := s.grip.Load()
	s.passOn(ctx, s.heirs(g), true)
	s.lose()
	if err := s.free(ctx); err != nil || g.version == 0 {
		return err
	}
	return s.giveBack(ctx, g)
}

// giveBack ends the lease. The row of one held alone stays for a while, to tell
// a successor that the records are gone.
func (s *Shards) giveBack(ctx context.Context, g *grip) error {
	write := platform.Write{Key: leaseKey(g.lease), ExpectedVersion: g.version, Delete: true}
	if len(peers(s.options.Viewer.View())) == 0 {
		ended := leaseRow{Solo: true, EndedMillis: s.options.Clock.Now().UnixMilli()}
		write.Delete, write.Value = false, encodeRow(&ended)
	}
	return s.transact(ctx, []platform.Write{write})
}

// sweep deletes the rows of leases that ended long ago. One instance does it.
func (s *Shards) sweep(ctx context.Context) error {
	view, now := s.options.Viewer.View(), s.options.Clock.Now()
	if now.Sub(s.swept) < sweepEvery {
		return nil
	}
	s.swept = now
	if membership.Owner(view, "sweep/"+leaseTable).Name != view.Self.Name {
		return nil
	}
	rows, err := s.options.Table.Scan(ctx, leaseTable, "", sweepLimit)
	if err != nil {
		return err
	}
	var writes []platform.Write
	for _, row := range rows {
		var lease leaseRow
		if msgpack.Unmarshal(row.Value, &lease) != nil || lease.EndedMillis == 0 {
			continue
		}
		if now.Sub(time.UnixMilli(lease.EndedMillis)) > sweepEvery {
			writes = append(writes, platform.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
		}
	}
	if len(writes) == 0 {
		return nil
	}
	return s.transact(ctx, writes)
}

// heirs returns who is to get each held shard when this instance leaves.
func (s *Shards) heirs(g *grip) map[membership.Member][]Shard {
	view := *s.options.Viewer.View()
	view.Members = others(&view)
	placed := make(map[membership.Member][]Shard)
	if len(view.Members) == 0 {
		return placed
	}
	for shard := range g.rows {
		heir := membership.Owner(&view, shard.duty())
		placed[heir] = append(placed[heir], shard)
	}
	return placed
}

// peers returns the other members that are not leaving.
func peers(view *membership.View) []membership.Member {
	var staying []membership.Member
	for _, m := range others(view) {
		if !m.Leaving {
			staying = append(staying, m)
		}
	}
	return staying
}

// others returns the members other than this instance.
func others(view *membership.View) []membership.Member {
	var rest []membership.Member
	for _, m := range view.Members {
		if m.Name != view.Self.Name {
			rest = append(rest, m)
		}
	}
	return rest
}
