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
	// fetchRecordsMethod requests an instance's records of shards.
	fetchRecordsMethod = "once.register"
	// replicateMethod requests that an instance store replicas of records.
	replicateMethod = "once.copy"
	// handoverMethod transfers a key owner's records to the next one.
	handoverMethod = "once.handover"
	// CollectTimeout bounds the collection of records after a takeover.
	CollectTimeout = 5 * time.Second
	// collectRetryInterval is the pause between calls to an instance that does
	// not respond.
	collectRetryInterval = 200 * time.Millisecond
	// callTimeout bounds one call that transfers records.
	callTimeout = time.Second
	// maxRecordsPerCall bounds the records that HandOverForwards sends in one
	// call.
	maxRecordsPerCall = 1000
	// maxConcurrentCollects bounds the collections that run at once, and the
	// concurrent calls of each.
	maxConcurrentCollects = 16
)

// fetchRecordsParams are the parameters of fetchRecordsMethod.
type fetchRecordsParams struct {
	Shards []Shard `json:"shards"`
}

// fetchRecordsResult contains the records, and the instances that crashed within
// the resend window.
type fetchRecordsResult struct {
	Records []Record `json:"records,omitempty"`
	Crashes []crash  `json:"crashes,omitempty"`
}

// recordsParams are the parameters of replicateMethod and handoverMethod.
type recordsParams struct {
	Records []Record `json:"records"`
}

// recordsResult reports whether the records were stored.
type recordsResult struct {
	Stored bool `json:"kept"`
}

// recordCollection is the collection of records for shards that were taken
// together from one holder. A nil pointer means that nothing has to be
// collected.
type recordCollection struct {
	shards         []Shard
	previousHolder membership.Member
	unreplicated   bool
	// result is nil until the collection has ended.
	result atomic.Pointer[collectionResult]
}

// collectionResult is the result of a collection.
type collectionResult struct {
	// unknownUntil is until when a key without a record may have run under an
	// earlier key owner, because an instance that had the record may have
	// crashed.
	unknownUntil time.Time
}

// unrecordedRefusal returns the refusal for a key without a record, or nil.
func (c *recordCollection) unrecordedRefusal(now time.Time) *fault.Refusal {
	if c == nil {
		return nil
	}
	result := c.result.Load()
	if result == nil {
		return &fault.Refusal{
			Execution: fault.ExecutionUnknown, Step: fault.StepForward, Status: http.StatusServiceUnavailable,
			RetryAfter: collectRetryInterval,
			Reason:     "the owner of this key has changed and is collecting records of earlier attempts",
		}
	}
	if now.Before(result.unknownUntil) {
		return &fault.Refusal{
			Execution: fault.ExecutionUnknown, Step: fault.StepForward, Status: http.StatusConflict,
			Reason: "an earlier attempt with this key may have run; those who knew have died",
		}
	}
	return nil
}

// shardsAcquired implements shardListener: it blocks keys without a record
// until the records of their shards have been collected.
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

// beginTerm starts a new term of a shard and removes the keys that were queued
// in an earlier one, unless granted.
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

// runCollections performs the pending collections until ctx ends.
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

// unknownUntil returns until when a key without a record may have run.
func (l *Ledger) unknownUntil(collection *recordCollection, incomplete bool) time.Time {
	if collection.unreplicated || incomplete {
		return l.options.Clock.Now().Add(l.options.ResendWindow)
	}
	return l.crashes.unknownUntil(collection.previousHolder)
}

// collectFrom requests the records of one instance until it responds. It
// returns false if records may be missing: the instance did not respond in
// time, or has disappeared without a graceful shutdown. The previous holder
// need not respond, since another instance has a record of each request that it
// dispatched, unless the records are marked as unreplicated.
func (l *Ledger) collectFrom(ctx context.Context, member membership.Member, collection *recordCollection) bool {
	for ctx.Err() == nil {
		if !inView(l.options.Viewer.View(), member.Name, member.ProcessID()) {
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
	var result fetchRecordsResult
	params := fetchRecordsParams{Shards: collection.shards}
	if l.options.Bus.Call(ctx, member.PeerAddress, fetchRecordsMethod, params, &result) != nil {
		return false
	}
	l.mergeRecords(result.Records)
	l.crashes.addReported(result.Crashes)
	return true
}

// mergeRecords adds records of requests that earlier key owners may have
// dispatched. A record replaces an entry that is only queued here.
func (l *Ledger) mergeRecords(records []Record) {
	self := identity(l.options.Viewer.View().Self)
	for _, r := range records {
		if r.SoleKeyOwner == self {
			continue // only this ledger can have dispatched it
		}
		partition := &l.partitions[r.Key.Shard()]
		partition.mu.Lock()
		l.mergeRecord(partition, r)
		partition.mu.Unlock()
	}
}

// mergeRecord adds one record; partition.mu is held.
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

// handleFetchRecords returns to a new key owner the records of its shards that this
// instance has as a forwarder and as an earlier key owner.
func (l *Ledger) handleFetchRecords(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params fetchRecordsParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepPeer, "", err)
	}
	records := l.options.Forwards.collect(inShards(params.Shards))
	records = append(records, l.exportRecords(params.Shards)...)
	return fetchRecordsResult{Records: records, Crashes: l.crashes.recent()}, nil
}

// exportRecords returns records of the ledger's requests in the shards that
// were dispatched or still may be after a handover.
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
				records = append(records, entry.toRecord(key, now, l.options.ResendWindow))
			}
		}
		partition.mu.Unlock()
	}
	return records
}

// toRecord returns the entry as a Record for other instances; the partition's
// lock is held.
func (e *ledgerEntry) toRecord(key Key, now time.Time, window time.Duration) Record {
	retention := e.expiry.Sub(now)
	if e.stage == entryDispatched {
		retention += window
	}
	return Record{
		Key: key, Hash: e.hash, Location: e.location,
		RetentionMillis: max(retention, window).Milliseconds(),
	}
}

// inShards returns a predicate that holds for the keys of the shards.
func inShards(shards []Shard) func(Key) bool {
	wanted := make(map[Shard]bool, len(shards))
	for _, shard := range shards {
		wanted[shard] = true
	}
	return func(key Key) bool { return wanted[key.Shard()] }
}
