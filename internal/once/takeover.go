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
	// scanThreshold is the number of rows beyond which one scan is cheaper
	// than single reads.
	scanThreshold = 16
	// maxTaken bounds the shards taken in one transaction.
	maxTaken = 256
)

// watchedLease is a lease of another instance as seen by a would-be successor.
type watchedLease struct {
	version platform.Version
	row     leaseRow
	// since is when this version was first seen.
	since time.Time
	// cededAt is when a witness has ceded it; zero before.
	cededAt time.Time
}

// takenShard is a shard that a transaction takes.
type takenShard struct {
	Acquired
	// version is that of the shard's row before.
	version platform.Version
}

func describe(taken []takenShard) []Acquired {
	acquired := make([]Acquired, len(taken))
	for i, t := range taken {
		acquired[i] = t.Acquired
	}
	return acquired
}

// take looks at the shards that belong here and are not held, and takes those
// that are free.
func (s *Shards) take(ctx context.Context) error {
	wanted := s.wanted()
	if len(wanted) == 0 {
		return nil
	}
	if err := s.readShards(ctx, wanted); err != nil {
		return err
	}
	t := &takeover{shards: s, writes: make(map[string]platform.Write)}
	for _, shard := range wanted {
		if err := t.consider(ctx, shard, s.rows[shard]); err != nil {
			return err
		}
		if len(t.taken) == maxTaken {
			break
		}
	}
	return t.commit(ctx)
}

// wanted returns the shards that belong to this instance and are not held.
func (s *Shards) wanted() []Shard {
	placed, g := s.placed.Load(), s.grip.Load()
	self := placed.view.Self
	if self.Leaving {
		return nil
	}
	var wanted []Shard
	for shard := Shard(0); shard < ShardCount; shard++ {
		if _, held := g.rows[shard]; held {
			continue
		}
		if placed.owners[shard].Name == self.Name {
			wanted = append(wanted, shard)
		}
	}
	return wanted
}

// readShards fills the cache for the shards; absent rows have version 0.
func (s *Shards) readShards(ctx context.Context, wanted []Shard) error {
	var missing []Shard
	for _, shard := range wanted {
		if _, cached := s.rows[shard]; !cached {
			missing = append(missing, shard)
		}
	}
	if len(missing) > scanThreshold {
		return s.scanShards(ctx, missing)
	}
	for _, shard := range missing {
		row, err := s.options.Table.Get(ctx, shardKey(shard))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		s.rows[shard] = row
	}
	return nil
}

func (s *Shards) scanShards(ctx context.Context, missing []Shard) error {
	all, err := s.options.Table.Scan(ctx, shardTable, "", ShardCount)
	if err != nil {
		return err
	}
	byID := make(map[string]platform.Row, len(all))
	for _, row := range all {
		byID[row.ID] = row
	}
	for _, shard := range missing {
		s.rows[shard] = byID[shardKey(shard).ID]
	}
	return nil
}

// takeover gathers the writes of one transaction that takes shards.
type takeover struct {
	shards *Shards
	taken  []takenShard
	// writes mark leases as ended, by lease id.
	writes map[string]platform.Write
	// free caches what was found on leases in this step.
	free map[string]leaseVerdict
}

// leaseVerdict is what a successor knows of a lease in one step.
type leaseVerdict struct {
	ended bool
	solo  bool
}

// consider adds a shard if it is free.
func (t *takeover) consider(ctx context.Context, shard Shard, row platform.Row) error {
	taken := takenShard{Acquired: Acquired{Shard: shard}, version: row.Version}
	if row.Version == 0 {
		taken.Inherited = true // there was no holder before
		t.taken = append(t.taken, taken)
		return nil
	}
	var found shardRow
	if err := msgpack.Unmarshal(row.Value, &found); err != nil {
		return errors.Wrapf(err, "shard row %s", row.ID)
	}
	taken.Previous = found.Holder
	if found.Lease == "" {
		taken.Inherited = found.Heir == identity(t.shards.options.Viewer.View().Self)
		t.taken = append(t.taken, taken)
		return nil
	}
	if found.Lease == t.shards.grip.Load().lease {
		// An earlier write of this instance had a lost answer, or the shard
		// could not be freed.
		taken.Acquired = found.Origin
		t.taken = append(t.taken, taken)
		delete(t.shards.unfreed, shard)
		return nil
	}
	verdict, err := t.leaseEnded(ctx, found.Lease)
	if err != nil || !verdict.ended {
		t.shards.heldBy(shard, found.Holder)
		return err
	}
	taken.Alone = verdict.solo
	t.taken = append(t.taken, taken)
	return nil
}

// heldBy notes a shard's holder. One that lives is about to free the shard, so
// its row is read again; for a dead one the lease alone is watched.
func (s *Shards) heldBy(shard Shard, holder membership.Member) {
	s.hint(shard, holder)
	if present(s.options.Viewer.View(), holder.Name, holder.Process()) {
		delete(s.rows, shard)
	}
}

func (s *Shards) hint(shard Shard, holder membership.Member) { s.hints[shard].Store(&holder) }

// leaseEnded tells whether a lease has ended, and adds the write that ends it.
func (t *takeover) leaseEnded(ctx context.Context, lease string) (leaseVerdict, error) {
	if verdict, known := t.free[lease]; known {
		return verdict, nil
	}
	verdict, err := t.inspect(ctx, lease)
	if err != nil {
		return leaseVerdict{}, err
	}
	if t.free == nil {
		t.free = make(map[string]leaseVerdict)
	}
	t.free[lease] = verdict
	return verdict, nil
}

func (t *takeover) inspect(ctx context.Context, lease string) (leaseVerdict, error) {
	s := t.shards
	row, err := s.options.Table.Get(ctx, leaseKey(lease))
	if errors.Is(err, platform.ErrNotFound) {
		// Given back by its holder, or ended so long ago that it was swept.
		delete(s.watched, lease)
		return leaseVerdict{ended: true}, nil
	}
	if err != nil {
		return leaseVerdict{}, err
	}
	watched, err := s.watch(lease, row)
	if err != nil {
		return leaseVerdict{}, err
	}
	if watched.row.EndedMillis != 0 {
		return leaseVerdict{ended: true, solo: watched.row.Solo}, nil
	}
	if !s.waitedOut(ctx, lease, watched) {
		return leaseVerdict{}, nil
	}
	ended := leaseRow{Solo: watched.row.Solo, EndedMillis: s.options.Clock.Now().UnixMilli()}
	t.writes[lease] = platform.Write{Key: row.Key, ExpectedVersion: row.Version, Value: encodeRow(&ended)}
	return leaseVerdict{ended: true, solo: watched.row.Solo}, nil
}

// watch notes the version of a lease.
func (s *Shards) watch(lease string, row platform.Row) (*watchedLease, error) {
	watched := s.watched[lease]
	if watched != nil && watched.version == row.Version {
		return watched, nil
	}
	watched = &watchedLease{version: row.Version, since: s.options.Clock.Now()}
	if err := msgpack.Unmarshal(row.Value, &watched.row); err != nil {
		return nil, errors.Wrapf(err, "lease row %s", row.ID)
	}
	s.watched[lease] = watched
	return watched, nil
}

// waitedOut tells whether the holder of a lease has certainly stopped.
func (s *Shards) waitedOut(ctx context.Context, lease string, w *watchedLease) bool {
	age := s.options.Clock.Since(w.since)
	switch {
	case age < w.row.ttl():
		return false
	case len(w.row.Witnesses) == 0 || age >= OutageLimit:
		return true
	case w.cededAt.IsZero() && !s.askToCede(ctx, lease, w):
		return false
	default:
		return s.options.Clock.Since(w.cededAt) >= VouchTTL
	}
}

// commit takes the gathered shards.
func (t *takeover) commit(ctx context.Context) error {
	if len(t.taken) == 0 {
		return nil
	}
	s := t.shards
	var writes []platform.Write
	for _, lease := range sortedKeys(t.writes) {
		writes = append(writes, t.writes[lease])
	}
	row := shardRow{Lease: s.grip.Load().lease, Holder: s.options.Viewer.View().Self}
	for _, taken := range t.taken {
		row.Origin = taken.Acquired
		writes = append(writes, platform.Write{
			Key: shardKey(taken.Shard), ExpectedVersion: taken.version, Value: encodeRow(&row),
		})
	}
	done, err := s.commit(ctx, writes, t.taken)
	if done {
		for lease := range t.writes {
			delete(s.watched, lease)
		}
	}
	return err
}

func sortedKeys(writes map[string]platform.Write) []string {
	keys := make([]string, 0, len(writes))
	for key := range writes {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
