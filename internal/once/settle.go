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
	// SettleTime bounds the collection of records after a takeover.
	SettleTime = 5 * time.Second
	// settleRetry is the pause between tries of one instance.
	settleRetry = 200 * time.Millisecond
	// callTimeout bounds one call of this package.
	callTimeout = time.Second
	// maxCopies bounds the records passed in one call.
	maxCopies = 1000
	// settleCalls bounds the calls of one settlement under way at once.
	settleCalls = 16
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

// copyResult tells whether the records are kept.
type copyResult struct {
	Kept bool `json:"kept"`
}

// settlement is the collection of records for shards taken together from one
// holder. The zero pointer means that nothing has to be collected.
type settlement struct {
	shards   []Shard
	previous membership.Member
	alone    bool
	// outcome is nil until the collection has ended.
	outcome atomic.Pointer[settled]
}

// settled is how a collection ended.
type settled struct {
	// doubtUntil is until when unseen keys may have run under an earlier
	// key owner, without anyone alive who knows.
	doubtUntil time.Time
}

// refuseUnseen returns the refusal for a key without a record, or nil.
func (s *settlement) refuseUnseen(now time.Time) *fault.Refusal {
	if s == nil {
		return nil
	}
	done := s.outcome.Load()
	if done == nil {
		return &fault.Refusal{
			Execution: fault.ExecutionUnknown, Step: fault.StepForward, Status: http.StatusServiceUnavailable,
			RetryAfter: settleRetry,
			Reason:     "the owner of this key has changed and is collecting records of earlier attempts",
		}
	}
	if now.Before(done.doubtUntil) {
		return &fault.Refusal{
			Execution: fault.ExecutionUnknown, Step: fault.StepForward, Status: http.StatusConflict,
			Reason: "an earlier attempt with this key may have run; those who knew have died",
		}
	}
	return nil
}

// acquired implements shardListener: it bars the shards' unseen keys until the
// records have been collected.
func (l *Ledger) acquired(all []Acquired) {
	byHolder := make(map[membership.Member]*settlement)
	for _, a := range all {
		part := &l.parts[a.Shard]
		var s *settlement
		if !a.Inherited {
			if s = byHolder[a.Previous]; s == nil {
				s = &settlement{previous: a.Previous}
				byHolder[a.Previous] = s
			}
			s.shards = append(s.shards, a.Shard)
			s.alone = s.alone || a.Alone
		}
		l.beginTerm(part, s)
	}
	l.mu.Lock()
	for _, s := range byHolder {
		l.settlements = append(l.settlements, s)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// beginTerm drops the keys that were queued in an earlier term.
func (l *Ledger) beginTerm(part *ledgerPart, s *settlement) {
	part.mu.Lock()
	defer part.mu.Unlock()
	part.settlement = s
	part.term++
	for key, entry := range part.entries {
		if entry.stage == entryQueued && !entry.mayRun(l.options.Clock.Now()) {
			l.remove(part, key, entry)
		}
	}
}

// settleAll carries out settlements until ctx ends.
func (l *Ledger) settleAll(ctx context.Context) {
	work := pool.New().WithMaxGoroutines(settleCalls)
	defer work.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.mu.Lock()
		settlements := l.settlements
		l.settlements = nil
		l.mu.Unlock()
		for _, s := range settlements {
			work.Go(func() { l.settle(ctx, s) })
		}
	}
}

// settle collects the records of all live instances.
func (l *Ledger) settle(ctx context.Context, s *settlement) {
	ctx, cancel := l.withTimeout(ctx, SettleTime)
	defer cancel()
	view := l.options.Viewer.View()
	calls := pool.New().WithMaxGoroutines(settleCalls)
	var unheard atomic.Int32
	for _, member := range others(view) {
		calls.Go(func() {
			if !l.collectFrom(ctx, member, s) {
				unheard.Add(1)
			}
		})
	}
	calls.Wait()
	l.merge(l.options.Forwards.collect(within(s.shards)))
	s.outcome.Store(&settled{doubtUntil: l.doubtUntil(s, unheard.Load() > 0)})
}

// doubtUntil tells until when a key without a record may have run.
func (l *Ledger) doubtUntil(s *settlement, unheard bool) time.Time {
	if s.alone || unheard {
		return l.options.Clock.Now().Add(l.options.Window)
	}
	return l.crashes.doubtUntil(s.previous)
}

// collectFrom asks one instance until it answers. It returns false when the
// instance has not answered in time, or has gone, which the crash log shows.
func (l *Ledger) collectFrom(ctx context.Context, member membership.Member, s *settlement) bool {
	for ctx.Err() == nil {
		if !present(l.options.Viewer.View(), member.Name, member.Process()) {
			return identity(member) == identity(s.previous) || l.crashes.left(member)
		}
		if l.collectOnce(ctx, member, s) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-l.options.Clock.After(settleRetry):
		}
	}
	return identity(member) == identity(s.previous)
}

func (l *Ledger) collectOnce(ctx context.Context, member membership.Member, s *settlement) bool {
	ctx, cancel := l.withTimeout(ctx, callTimeout)
	defer cancel()
	var result registerResult
	params := registerParams{Shards: s.shards}
	if l.options.Bus.Call(ctx, member.PeerAddress, registerMethod, params, &result) != nil {
		return false
	}
	l.merge(result.Records)
	l.crashes.learn(result.Crashes)
	return true
}

// merge adds records of requests that earlier key owners may have dispatched. They
// void what is only queued here.
func (l *Ledger) merge(records []Record) {
	self := identity(l.options.Viewer.View().Self)
	for _, r := range records {
		if r.KeyOwner == self {
			continue // nobody but this ledger can know of a dispatch
		}
		part := &l.parts[r.Key.Shard()]
		part.mu.Lock()
		l.mergeOne(part, r)
		part.mu.Unlock()
	}
}

// mergeOne adds one record; part.mu is held.
func (l *Ledger) mergeOne(part *ledgerPart, r Record) {
	entry := part.entries[r.Key]
	switch {
	case entry == nil:
		l.count.Add(1)
	case entry.stage == entryQueued && !entry.mayRun(l.options.Clock.Now()):
		l.answers.Remove(r.Key.ID())
	case entry.stage == entryForeign && entry.dispatched.Target == "":
		entry.dispatched = r.Dispatched
		return
	default:
		return
	}
	part.entries[r.Key] = &ledgerEntry{
		hash: r.Hash, stage: entryForeign, dispatched: r.Dispatched,
		until: l.options.Clock.Now().Add(time.Duration(r.KeepMillis) * time.Millisecond),
	}
}

// handleRegister gives a new key owner what this instance knows of its shards, as
// a forwarder and as an earlier key owner.
func (l *Ledger) handleRegister(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params registerParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepPeer, "", err)
	}
	records := l.options.Forwards.collect(within(params.Shards))
	records = append(records, l.export(params.Shards)...)
	return registerResult{Records: records, Crashes: l.crashes.recent()}, nil
}

// export returns the ledger's records of shards that may have been dispatched.
func (l *Ledger) export(shards []Shard) []Record {
	now := l.options.Clock.Now()
	var records []Record
	for _, shard := range shards {
		if shard >= ShardCount {
			continue
		}
		part := &l.parts[shard]
		part.mu.Lock()
		for key, entry := range part.entries {
			if entry.stage != entryQueued || entry.mayRun(now) {
				records = append(records, entry.record(key, now, l.options.Window))
			}
		}
		part.mu.Unlock()
	}
	return records
}

// record returns what others are to know of an entry; the part's lock is held.
func (e *ledgerEntry) record(key Key, now time.Time, window time.Duration) Record {
	keep := e.until.Sub(now)
	if e.stage == entryDispatched {
		keep += window
	}
	return Record{
		Key: key, Hash: e.hash, Dispatched: e.dispatched,
		KeepMillis: max(keep, window).Milliseconds(),
	}
}

// within returns a condition that holds for keys of the shards.
func within(shards []Shard) func(Key) bool {
	wanted := make(map[Shard]bool, len(shards))
	for _, shard := range shards {
		wanted[shard] = true
	}
	return func(key Key) bool { return wanted[key.Shard()] }
}
