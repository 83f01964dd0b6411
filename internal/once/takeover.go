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
	// scanThreshold is the number of rows above which one scan is cheaper than
	// single reads.
	scanThreshold = 16
	// maxShardsPerTakeover bounds the shards taken in one transaction.
	maxShardsPerTakeover = 256
)

// watchedLease is a lease of another instance, as observed by a possible
// successor.
type watchedLease struct {
	version platform.Version
	row     leaseRow
	// observedAt is when this version was first read.
	observedAt time.Time
	// revokedAt is when a witness revoked the lease for this instance; zero
	// before.
	revokedAt time.Time
}

// takenShard is a shard to be taken by a transaction.
type takenShard struct {
	Acquisition
	// version is the version of the shard's row before the transaction.
	version platform.Version
}

func acquisitionsOf(taken []takenShard) []Acquisition {
	acquired := make([]Acquisition, len(taken))
	for i, t := range taken {
		acquired[i] = t.Acquisition
	}
	return acquired
}

// takeShards takes those of the wanted shards that are free.
func (s *Shards) takeShards(ctx context.Context) error {
	wanted := s.wantedShards()
	if len(wanted) == 0 {
		return nil
	}
	if err := s.readShards(ctx, wanted); err != nil {
		return err
	}
	t := &takeover{shards: s, leaseWrites: make(map[string]platform.Write)}
	for _, shard := range wanted {
		if err := t.addIfFree(ctx, shard, s.rowCache[shard]); err != nil {
			return err
		}
		if len(t.taken) == maxShardsPerTakeover {
			break
		}
	}
	return t.commit(ctx)
}

// wantedShards returns the shards that are assigned to this instance and not
// held.
func (s *Shards) wantedShards() []Shard {
	placement, state := s.placement.Load(), s.state.Load()
	self := placement.view.Self
	if self.Leaving {
		return nil
	}
	var wanted []Shard
	for shard := Shard(0); shard < ShardCount; shard++ {
		if _, held := state.shardVersions[shard]; held {
			continue
		}
		if placement.owners[shard].Name == self.Name {
			wanted = append(wanted, shard)
		}
	}
	return wanted
}

// readShards fills rowCache for the shards; absent rows have version 0.
func (s *Shards) readShards(ctx context.Context, wanted []Shard) error {
	var uncached []Shard
	for _, shard := range wanted {
		if _, cached := s.rowCache[shard]; !cached {
			uncached = append(uncached, shard)
		}
	}
	if len(uncached) > scanThreshold {
		return s.scanShards(ctx, uncached)
	}
	for _, shard := range uncached {
		row, err := s.options.Table.Get(ctx, shardKey(shard))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		s.rowCache[shard] = row
	}
	return nil
}

func (s *Shards) scanShards(ctx context.Context, uncached []Shard) error {
	all, err := s.options.Table.Scan(ctx, shardTable, "", ShardCount)
	if err != nil {
		return err
	}
	byID := make(map[string]platform.Row, len(all))
	for _, row := range all {
		byID[row.ID] = row
	}
	for _, shard := range uncached {
		s.rowCache[shard] = byID[shardKey(shard).ID]
	}
	return nil
}

// takeover collects the writes of one transaction that takes shards.
type takeover struct {
	shards *Shards
	taken  []takenShard
	// leaseWrites mark leases as ended, by lease ID.
	leaseWrites map[string]platform.Write
	// leaseStatuses caches the results of checkLease within one step.
	leaseStatuses map[string]leaseStatus
}

// leaseStatus is the result of checking another instance's lease.
type leaseStatus struct {
	ended        bool
	soleInstance bool
}

// addIfFree adds the shard to the transaction if it is free.
func (t *takeover) addIfFree(ctx context.Context, shard Shard, row platform.Row) error {
	taken := takenShard{Acquisition: Acquisition{Shard: shard}, version: row.Version}
	if row.Version == 0 {
		taken.RecordsComplete = true // there was no holder before
		t.taken = append(t.taken, taken)
		return nil
	}
	var found shardRow
	if err := msgpack.Unmarshal(row.Value, &found); err != nil {
		return errors.Wrapf(err, "decode shard row %s", row.ID)
	}
	taken.PreviousHolder = found.Holder
	if found.LeaseID == "" {
		taken.RecordsComplete = found.Successor == identity(t.shards.options.Viewer.View().Self)
		t.taken = append(t.taken, taken)
		return nil
	}
	if found.LeaseID == t.shards.state.Load().leaseID {
		// The response to an earlier write of this instance was lost, or the
		// shard was dropped and its row could not be released.
		taken.Acquisition = found.Origin
		t.taken = append(t.taken, taken)
		delete(t.shards.pendingReleases, shard)
		return nil
	}
	status, err := t.checkLease(ctx, found.LeaseID)
	if err != nil || !status.ended {
		t.shards.recordHolder(shard, found.Holder)
		return err
	}
	taken.Unreplicated = status.soleInstance
	t.taken = append(t.taken, taken)
	return nil
}

// recordHolder stores a shard's holder as its owner hint. A live holder is about
// to release the shard, so the row is read again in the next step; for a dead
// holder it is enough to watch the lease.
func (s *Shards) recordHolder(shard Shard, holder membership.Member) {
	s.setKeyOwnerHint(shard, holder)
	if inView(s.options.Viewer.View(), holder.Name, holder.ProcessID()) {
		delete(s.rowCache, shard)
	}
}

func (s *Shards) setKeyOwnerHint(shard Shard, holder membership.Member) {
	s.keyOwnerHints[shard].Store(&holder)
}

// checkLease reports whether a lease has ended. If it has expired, the write
// that marks it as ended is added.
func (t *takeover) checkLease(ctx context.Context, leaseID string) (leaseStatus, error) {
	if status, known := t.leaseStatuses[leaseID]; known {
		return status, nil
	}
	status, err := t.inspectLease(ctx, leaseID)
	if err != nil {
		return leaseStatus{}, err
	}
	if t.leaseStatuses == nil {
		t.leaseStatuses = make(map[string]leaseStatus)
	}
	t.leaseStatuses[leaseID] = status
	return status, nil
}

func (t *takeover) inspectLease(ctx context.Context, leaseID string) (leaseStatus, error) {
	s := t.shards
	row, err := s.options.Table.Get(ctx, leaseKey(leaseID))
	if errors.Is(err, platform.ErrNotFound) {
		// Deleted by its holder, or ended so long ago that it was swept.
		delete(s.watchedLeases, leaseID)
		return leaseStatus{ended: true}, nil
	}
	if err != nil {
		return leaseStatus{}, err
	}
	watched, err := s.watchLease(leaseID, row)
	if err != nil {
		return leaseStatus{}, err
	}
	if watched.row.EndedMillis != 0 {
		return leaseStatus{ended: true, soleInstance: watched.row.SoleInstance}, nil
	}
	if !s.holderStopped(ctx, leaseID, watched) {
		return leaseStatus{}, nil
	}
	ended := leaseRow{SoleInstance: watched.row.SoleInstance, EndedMillis: s.options.Clock.Now().UnixMilli()}
	t.leaseWrites[leaseID] = platform.Write{Key: row.Key, ExpectedVersion: row.Version, Value: encodeRow(&ended)}
	return leaseStatus{ended: true, soleInstance: watched.row.SoleInstance}, nil
}

// watchLease records when the current version of a lease was first observed.
func (s *Shards) watchLease(leaseID string, row platform.Row) (*watchedLease, error) {
	watched := s.watchedLeases[leaseID]
	if watched != nil && watched.version == row.Version {
		return watched, nil
	}
	watched = &watchedLease{version: row.Version, observedAt: s.options.Clock.Now()}
	if err := msgpack.Unmarshal(row.Value, &watched.row); err != nil {
		return nil, errors.Wrapf(err, "decode lease row %s", row.ID)
	}
	s.watchedLeases[leaseID] = watched
	return watched, nil
}

// holderStopped reports whether the holder of a lease has certainly stopped.
func (s *Shards) holderStopped(ctx context.Context, leaseID string, watched *watchedLease) bool {
	age := s.options.Clock.Since(watched.observedAt)
	switch {
	case age < watched.row.ttl():
		return false
	case len(watched.row.Witnesses) == 0 || age >= MaxTableOutage:
		return true
	case watched.revokedAt.IsZero() && !s.revokeLease(ctx, leaseID, watched):
		return false
	default:
		return s.options.Clock.Since(watched.revokedAt) >= ConfirmTTL
	}
}

// commit takes the collected shards.
func (t *takeover) commit(ctx context.Context) error {
	if len(t.taken) == 0 {
		return nil
	}
	s := t.shards
	var writes []platform.Write
	for _, leaseID := range sortedKeys(t.leaseWrites) {
		writes = append(writes, t.leaseWrites[leaseID])
	}
	row := shardRow{LeaseID: s.state.Load().leaseID, Holder: s.options.Viewer.View().Self}
	for _, taken := range t.taken {
		row.Origin = taken.Acquisition
		writes = append(writes, platform.Write{
			Key: shardKey(taken.Shard), ExpectedVersion: taken.version, Value: encodeRow(&row),
		})
	}
	done, err := s.commitLease(ctx, writes, t.taken)
	if done {
		for leaseID := range t.leaseWrites {
			delete(s.watchedLeases, leaseID)
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
