package once

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// handOverRecords implements shardListener. Unless this instance is leaving,
// requests that are queued here stay here: the next key owner receives records
// of them, and this instance may dispatch them until their grant expires.
func (l *Ledger) handOverRecords(ctx context.Context, to membership.Member, shards []Shard, leaving bool) bool {
	grantExpiry := l.options.Clock.Now().Add(l.options.ResendWindow / 2)
	var queued []Record
	if !leaving {
		queued = l.queuedRecords(shards)
	}
	records := append(l.exportRecords(shards), queued...)
	if !l.sendHandover(ctx, to, records) {
		return false
	}
	for _, r := range queued {
		l.grantDispatch(r.Key, grantExpiry)
	}
	return true
}

// queuedRecords returns records of the requests that are queued here, with this
// instance as their location.
func (l *Ledger) queuedRecords(shards []Shard) []Record {
	now, self := l.options.Clock.Now(), l.options.Viewer.View().Self.Name
	var records []Record
	for _, shard := range shards {
		partition := &l.partitions[shard]
		partition.mu.Lock()
		for key, entry := range partition.entries {
			if entry.stage == entryQueued {
				record := entry.toRecord(key, now, l.options.ResendWindow+maxRunTime)
				record.Location.Instance = self
				records = append(records, record)
			}
		}
		partition.mu.Unlock()
	}
	return records
}

// grantDispatch allows a queued request to be dispatched after its shard was
// handed over. The grant ends before the period in which a successor of the
// next key owner refuses keys without a record, so that this instance does not
// dispatch too late after a pause; it counts from before the records were sent.
func (l *Ledger) grantDispatch(key Key, until time.Time) {
	partition := &l.partitions[key.Shard()]
	partition.mu.Lock()
	defer partition.mu.Unlock()
	if entry := partition.entries[key]; entry != nil && entry.stage == entryQueued {
		entry.grantExpiry = until
	}
}

func (l *Ledger) sendHandover(ctx context.Context, to membership.Member, records []Record) bool {
	ctx, cancel := l.withTimeout(ctx, callTimeout)
	defer cancel()
	var result recordsResult
	err := l.options.Bus.Call(ctx, to.PeerAddress, handoverMethod, recordsParams{records}, &result)
	return err == nil && result.Stored
}

func (l *Ledger) handleHandover(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params recordsParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepPeer, "", err)
	}
	l.mergeRecords(params.Records)
	return recordsResult{Stored: true}, nil
}

func (l *Ledger) handleReplicate(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params recordsParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepPeer, "", err)
	}
	return recordsResult{Stored: l.options.Forwards.storeReplicas(params.Records)}, nil
}

// replicateTo stores replicas of records at a member.
func (l *Ledger) replicateTo(ctx context.Context, to membership.Member, records []Record) bool {
	ctx, cancel := l.withTimeout(ctx, callTimeout)
	defer cancel()
	var result recordsResult
	err := l.options.Bus.Call(ctx, to.PeerAddress, replicateMethod, recordsParams{records}, &result)
	return err == nil && result.Stored
}

// HandOverForwards stores replicas of this instance's Forwards at other
// instances. Call it at the end of a shutdown, when no caller is served any
// more. It returns false if some records were not stored.
func (l *Ledger) HandOverForwards(ctx context.Context) bool {
	records := l.options.Forwards.collect(func(Key) bool { return true })
	for batch := range slices.Chunk(records, maxRecordsPerCall) {
		if !l.handOverBatch(ctx, batch) {
			return false
		}
	}
	return true
}

func (l *Ledger) handOverBatch(ctx context.Context, records []Record) bool {
	view := l.options.Viewer.View()
	for _, member := range membership.RankMembers(view, "copies/"+view.Self.Name) {
		if member.Name != view.Self.Name && l.replicateTo(ctx, member, records) {
			return true
		}
	}
	return false
}
