package once

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// passOn implements shardListener. Unless this instance leaves, what is queued
// here stays here: the next key owner gets a record of it, after which this
// instance may still dispatch it.
func (l *Ledger) passOn(ctx context.Context, to membership.Member, shards []Shard, leaving bool) bool {
	granted := l.options.Clock.Now().Add(l.options.Window / 2)
	var waiting []Record
	if !leaving {
		waiting = l.queued(shards)
	}
	records := append(l.export(shards), waiting...)
	if !l.handOver(ctx, to, records) {
		return false
	}
	for _, r := range waiting {
		l.grant(r.Key, granted)
	}
	return true
}

// queued returns records of the keys that wait here, marked as of this instance.
func (l *Ledger) queued(shards []Shard) []Record {
	now, self := l.options.Clock.Now(), l.options.Viewer.View().Self.Name
	var records []Record
	for _, shard := range shards {
		part := &l.parts[shard]
		part.mu.Lock()
		for key, entry := range part.entries {
			if entry.stage == entryQueued {
				record := entry.record(key, now, l.options.Window+longestRun)
				record.Dispatched.Instance = self
				records = append(records, record)
			}
		}
		part.mu.Unlock()
	}
	return records
}

// grant lets a queued key be dispatched although its shard was passed on. The
// grant is shorter than the window for which a successor of the next key owner
// holds keys in doubt, should this instance be paused with it, and counts from
// before the records left.
func (l *Ledger) grant(key Key, until time.Time) {
	part := &l.parts[key.Shard()]
	part.mu.Lock()
	defer part.mu.Unlock()
	if entry := part.entries[key]; entry != nil && entry.stage == entryQueued {
		entry.granted = until
	}
}

func (l *Ledger) handOver(ctx context.Context, to membership.Member, records []Record) bool {
	ctx, cancel := l.withTimeout(ctx, callTimeout)
	defer cancel()
	var result copyResult
	err := l.options.Bus.Call(ctx, to.PeerAddress, handoverMethod, recordsParams{records}, &result)
	return err == nil && result.Kept
}

func (l *Ledger) handleHandover(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params recordsParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepPeer, "", err)
	}
	l.merge(params.Records)
	return copyResult{Kept: true}, nil
}

func (l *Ledger) handleCopy(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params recordsParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepPeer, "", err)
	}
	return copyResult{Kept: l.options.Forwards.keep(params.Records)}, nil
}

// copyTo leaves copies of records at a member.
func (l *Ledger) copyTo(ctx context.Context, to membership.Member, records []Record) bool {
	ctx, cancel := l.withTimeout(ctx, callTimeout)
	defer cancel()
	var result copyResult
	err := l.options.Bus.Call(ctx, to.PeerAddress, copyMethod, recordsParams{records}, &result)
	return err == nil && result.Kept
}

// PassCopies leaves this instance's Forwards with others. Call it at the end of
// a shutdown, when no caller is served any more; false means that records were
// left that nobody took.
func (l *Ledger) PassCopies(ctx context.Context) bool {
	records := l.options.Forwards.collect(func(Key) bool { return true })
	for batch := range slices.Chunk(records, maxCopies) {
		if !l.passCopies(ctx, batch) {
			return false
		}
	}
	return true
}

func (l *Ledger) passCopies(ctx context.Context, records []Record) bool {
	view := l.options.Viewer.View()
	for _, member := range membership.RankMembers(view, "copies/"+view.Self.Name) {
		if member.Name != view.Self.Name && l.copyTo(ctx, member, records) {
			return true
		}
	}
	return false
}
