package once

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

const (
	// registerMethod collects an instance's records of shards.
	registerMethod = "once.register"
	// copyMethod asks an instance to keep copies of records.
	copyMethod = "once.copy"
	// handoverMethod passes a key owner's records to the next.
	handoverMethod = "once.handover"
	// CollectTimeout bounds the collection of records after a takeover.
	CollectTimeout = 5 * time.Second
	// collectRetryInterval is the pause between tries of one instance.
	collectRetryInterval = 200 * time.Millisecond
	// callTimeout bounds one call of this package.
	callTimeout = time.Second
	// maxRecordsPerCall bounds the records passed in one call.
	maxRecordsPerCall = 1000
	// maxConcurrentCollects bounds the calls of one settlement under way at once.
	maxConcurrentCollects = 16
)

// registerParams asks for the records of shards.
type registerParams struct {
	Shards []Shard `json:"shards"`
}

// registerResult gives them, and which instances have crashed lately.
type registerResult struct {
	Records []Record `json:"records,omitempty"`
	Crashes []crash  `json:"crashes,omitempty"`
}

// recordsParams carries records.
type recordsParams struct {
	Records []Record `json:"records"`
}

// recordsResult tells whether the records are kept.
type recordsResult struct {
	Kept bool `json:"kept"`
}

// recordCollection is the collection of records for shards taken together from one
// holder. The zero pointer means that nothing has to be collected.
type recordCollection struct {
	shards         []Shard
	previousHolder membership.Member
	unreplicated   bool
	// result is nil until the collection has ended.
	result atomic.Pointer[collectionResult]
}

// collectionResult is how a collection ended.
type collectionResult struct {
	// unknownUntil is until when unseen keys may have run under an earlier
	// key owner, without anyone alive who knows.
	unknownUntil time.Time
}

// refuseUnrecorded returns the refusal for a key without a record, or nil.
func (c *recordCollection) refuseUnrecorded(now time.Time) *fault.Refusal {
	if c == nil {
		return nil
	}
	result := c.result.Load()
	if result == nil {
		return &fault.Refusal{
			Run: fault.Unknown, Step: fault.StepForward, Status: http.StatusServiceUnavailable,
			RetryAfter: collectRetryInterval,
			Reason:     "the owner of this key has changed and is collecting records of earlier attempts",
		}
	}
	if now.Before(result.unknownUntil) {
		return &fault.Refusal{
			Run: fault.Unknown, Step: fault.StepForward, Status: http.StatusConflict,
			Reason: "an earlier attempt with this key may have run; those who knew have died",
		}
	}
	return nil
}

// shardsAcquired implements shardListener: it bars the shards' unseen keys until the
// records have been collected.
func (l *Ledger) shardsAcquired(acquisitions []Acquisition) {
	byHolder := make(map[membership.Member]*recordCollection)
	for _, a := range acquisitions {
		partition := &l.partitions[a.Shard]
		var collection *recordCollection
		if !a.RecordsComplete {
			if collection = byHolder[a.PreviousHolder]; collection == nil {
				collection = &recordCollection{previousHolder: a.PreviousHolder}
				byHolder[a.PreviousHolder] = collection
			}
			collection.shards = append(collection.shards, a.Shard)
			collection.unreplicated = collection.unreplicated || a.Unreplicated
		}
		l.beginTerm(partition, collection)
	}
	l.mu.Lock()
	for _, collection := range byHolder {
		l.pendingCollections = append(l.pendingCollections, collection)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// beginTerm drops the keys that were queued in an earlier term.
func (l *Ledger) beginTerm(partition *ledgerPartition, collection *recordCollection) {
	partition.mu.Lock()
	defer partition.mu.Unlock()
	partition.collection = collection
	partition.term++
	for key, entry := range partition.entries {
		if entry.stage == entryQueued && !entry.grantValid(l.options.Clock.Now()) {
			l.remove(partition, key, entry)
		}
	}
}

// runCollections carries out settlements until ctx ends.
func (l *Ledger) runCollections(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(maxConcurrentCollects)
	defer workers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.mu.Lock()
		collections := l.pendingCollections
		l.pendingCollections = nil
		l.mu.Unlock()
		for _, collection := range collections {
			workers.Go(func() { l.collectRecords(ctx, collection) })
		}
	}
}

// collectRecords collects the records of all live instances.
func (l *Ledger) collectRecords(ctx context.Context, collection *recordCollection) {
	ctx, cancel := l.withTimeout(ctx, CollectTimeout)
	defer cancel()
	view := l.options.Viewer.View()
	calls := pool.New().WithMaxGoroutines(maxConcurrentCollects)
	var failures atomic.Int32
	for _, member := range otherMembers(view) {
		calls.Go(func() {
			if !l.collectFrom(ctx, member, collection) {
				failures.Add(1)
			}
		})
	}
	calls.Wait()
	l.mergeRecords(l.options.Forwards.collect(inShards(collection.shards)))
	collection.result.Store(&collectionResult{unknownUntil: l.unknownUntil(collection, failures.Load() > 0)})
}

// unknownUntil tells until when a key without a record may have run.
func (l *Ledger) unknownUntil(collection *recordCollection, incomplete bool) time.Time {
	if collection.unreplicated || incomplete {
		return l.options.Clock.Now().Add(l.options.ResendWindow)
	}
	return l.crashes.unknownUntil(collection.previousHolder)
}

// collectFrom asks one instance until it answers. It returns false when the
// instance has not answered in time, or has gone, which the crash log shows.
func (l *Ledger) collectFrom(ctx context.Context, member membership.Member, collection *recordCollection) bool {
	for ctx.Err() == nil {
		if !inView(l.options.Viewer.View(), member.Name, member.Process()) {
			return identity(member) == identity(collection.previousHolder) || l.crashes.leftGracefully(member)
		}
		if l.collectOnce(ctx, member, collection) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-l.options.Clock.After(collectRetryInterval):
		}
	}
	return identity(member) == identity(collection.previousHolder)
}

func (l *Ledger) collectOnce(ctx context.Context, member membership.Member, collection *recordCollection) bool {
	ctx, cancel := l.withTimeout(ctx, callTimeout)
	defer cancel()
	var result registerResult
	params := registerParams{Shards: collection.shards}
	if l.options.Bus.Call(ctx, member.PeerAddress, registerMethod, params, &result) != nil {
		return false
	}
	l.mergeRecords(result.Records)
	l.crashes.addReported(result.Crashes)
	return true
}

// mergeRecords adds records of requests that earlier key owners may have dispatched. They
// void what is only queued here.
func (l *Ledger) mergeRecords(records []Record) {
	self := identity(l.options.Viewer.View().Self)
	for _, r := range records {
		if r.SoleKeyOwner == self {
			continue // nobody but this ledger can know of a dispatch
		}
		partition := &l.partitions[r.Key.Shard()]
		partition.mu.Lock()
		l.mergeRecord(partition, r)
		partition.mu.Unlock()
	}
}

// mergeRecord adds one record; part.mu is held.
func (l *Ledger) mergeRecord(partition *ledgerPartition, r Record) {
	entry := partition.entries[r.Key]
	switch {
	case entry == nil:
		l.count.Add(1)
	case entry.stage == entryQueued && !entry.grantValid(l.options.Clock.Now()):
		l.answers.Remove(r.Key.ID())
	case entry.stage == entryInherited && entry.location.Target == "":
		entry.location = r.Location
		return
	default:
		return
	}
	partition.entries[r.Key] = &ledgerEntry{
		hash: r.Hash, stage: entryInherited, location: r.Location,
		expiry: l.options.Clock.Now().Add(time.Duration(r.RetentionMillis) * time.Millisecond),
	}
}

// handleRegister gives a new key owner what this instance knows of its shards, as
// a forwarder and as an earlier key owner.
func (l *Ledger) handleRegister(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params registerParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepPeer, "", err)
	}
	records := l.options.Forwards.collect(inShards(params.Shards))
	records = append(records, l.exportRecords(params.Shards)...)
	return registerResult{Records: records, Crashes: l.crashes.recent()}, nil
}

// exportRecords returns the ledger's records of shards that may have been dispatched.
func (l *Ledger) exportRecords(shards []Shard) []Record {
	now := l.options.Clock.Now()
	var records []Record
	for _, shard := range shards {
		if shard >= ShardCount {
			continue
		}
		partition := &l.partitions[shard]
		partition.mu.Lock()
		for key, entry := range partition.entries {
			if entry.stage != entryQueued || entry.grantValid(now) {
				records = append(records, entry.record(key, now, l.options.ResendWindow))
			}
		}
		partition.mu.Unlock()
	}
	return records
}

// record returns what others are to know of an entry; the part's lock is held.
func (e *ledgerEntry) record(key Key, now time.Time, window time.Duration) Record {
	retention := e.expiry.Sub(now)
	if e.stage == entryDispatched {
		retention += window
	}
	return Record{
		Key: key, Hash: e.hash, Location: e.location,
		RetentionMillis: max(retention, window).Milliseconds(),
	}
}

// inShards returns a condition that holds for keys of the shards.
func inShards(shards []Shard) func(Key) bool {
	wanted := make(map[Shard]bool, len(shards))
	for _, shard := range shards {
		wanted[shard] = true
	}
	return func(key Key) bool { return wanted[key.Shard()] }
}
