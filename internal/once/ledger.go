package once

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

const (
	// maxEntries bounds the keys of one ledger; beyond it new keys are refused.
	maxEntries = 1 << 16
	// expiryInterval is the time between two removals of expired records.
	expiryInterval = 5 * time.Second
)

// LedgerOptions are the dependencies and limits of a Ledger.
type LedgerOptions struct {
	Shards   *Shards
	Forwards *Forwards
	Bus      peer.Bus
	Viewer   membership.Viewer
	// Clock is used for deadlines and expiry; nil means the real clock.
	Clock clockwork.Clock
	// ResendWindow is how long a request is recorded after its end; 0 means
	// DefaultResendWindow. It must be the same at all instances.
	ResendWindow time.Duration
	// MaxAnswerBytes bounds the stored answers; 0 means
	// answer.DefaultStoreMaxBytes.
	MaxAnswerBytes int64
}

// Ledger is the key owner's record of keyed requests: which were dispatched,
// where, and how they ended. It deduplicates them: each key is dispatched at
// most once within the resend window.
type Ledger struct {
	options    LedgerOptions
	answers    *answer.Store
	crashes    *crashLog
	count      atomic.Int64
	partitions [ShardCount]ledgerPartition

	// mu guards pendingCollections.
	mu                 sync.Mutex
	pendingCollections []*recordCollection
	wake               chan struct{}
}

// ledgerPartition holds the entries of one shard.
type ledgerPartition struct {
	// mu guards the fields below.
	mu      sync.Mutex
	entries map[Key]*ledgerEntry
	// term counts how often the shard was taken. Tickets of an earlier term are
	// void, unless granted, since another key owner may have dispatched their
	// keys in between.
	term uint64
	// collection is the collection of records for the present term; nil if
	// nothing has to be collected.
	collection *recordCollection
}

// entryStage is the progress of a key.
type entryStage uint8

const (
	// entryQueued means that the request has not been dispatched.
	entryQueued entryStage = iota
	// entryDispatched means that bytes may have been sent.
	entryDispatched
	// entryEnded means that the answer has ended.
	entryEnded
	// entryInherited means that an earlier key owner may have dispatched the
	// request.
	entryInherited
)

// ledgerEntry is the record of one key, guarded by its partition's lock.
type ledgerEntry struct {
	hash  RequestHash
	stage entryStage
	// grantExpiry is until when a queued request may be dispatched here after
	// its shard was handed over: the next key owner has a record of it and will
	// not dispatch it. Zero if the shard was not handed over.
	grantExpiry time.Time
	answer      *answer.Answer // nil for inherited entries
	location    Location
	// expiry is the latest end of a dispatched request, and for an ended or
	// inherited one when it may be removed.
	expiry time.Time
}

// NewLedger returns a Ledger that has registered its call handlers with the bus
// and itself as the listener of the shards. Start Run, and Shards.Run,
// afterwards.
func NewLedger(options LedgerOptions) *Ledger {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.ResendWindow == 0 {
		options.ResendWindow = DefaultResendWindow
	}
	l := &Ledger{
		options: options,
		answers: answer.NewStore(answer.StoreOptions{
			Clock: options.Clock, MaxBytes: options.MaxAnswerBytes, Retention: options.ResendWindow,
		}),
		crashes: newCrashLog(options.Clock, options.ResendWindow, options.Viewer),
		wake:    make(chan struct{}, 1),
	}
	for i := range l.partitions {
		l.partitions[i].entries = make(map[Key]*ledgerEntry)
	}
	options.Shards.listener = l
	options.Bus.Handle(fetchRecordsMethod, l.handleFetchRecords)
	options.Bus.Handle(replicateMethod, l.handleReplicate)
	options.Bus.Handle(handoverMethod, l.handleHandover)
	return l
}

// Run collects records after takeovers and removes expired ones until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { l.runCollections(ctx) })
	group.Go(func() { l.runExpiry(ctx) })
	group.Wait()
}

// DecisionKind is what to do with a keyed request.
type DecisionKind uint8

// The kinds of decision, which determine the fields of Decision that are set.
const (
	// DecideRun: queue the request and dispatch it with Ticket.
	DecideRun DecisionKind = 1
	// DecideJoin: follow Answer.
	DecideJoin DecisionKind = 2
	// DecideResume: an earlier attempt may have run. Follow the handle in
	// Location at the instance named there if it is live, or resume at
	// the target, if one is named. If neither works, respond with Refusal.
	DecideResume DecisionKind = 3
	// DecideWait: not known yet. Retry after Refusal.RetryAfter, or respond
	// with Refusal.
	DecideWait DecisionKind = 4
	// DecideForward: forward the request to KeyOwner.
	DecideForward DecisionKind = 5
	// DecideRefuse: respond with Refusal.
	DecideRefuse DecisionKind = 6
)

// Decision is the result of Begin.
type Decision struct {
	Kind     DecisionKind
	Ticket   *Ticket
	Answer   *answer.Answer
	Location Location
	KeyOwner membership.Member
	Refusal  *fault.Refusal
}

// Begin decides how to handle a keyed request that arrived at this instance,
// whether or not this is its key owner. Forwarder is the instance that forwarded
// it and tracks it in its Forwards, or "" if the request came directly from the
// caller.
func (l *Ledger) Begin(key Key, hash RequestHash, forwarder string) Decision {
	shard := key.Shard()
	partition := &l.partitions[shard]
	partition.mu.Lock()
	defer partition.mu.Unlock()
	holds := l.options.Shards.Holds(shard)
	if entry := partition.entries[key]; entry != nil && (holds || entry.handledHere(l.options.Clock.Now())) {
		return entry.decide(hash)
	}
	if !holds {
		return l.decideNotHeld(key)
	}
	if refusal := partition.collection.unrecordedRefusal(l.options.Clock.Now()); refusal != nil {
		kind := DecideRefuse
		if refusal.RetryAfter > 0 {
			kind = DecideWait
		}
		return Decision{Kind: kind, Refusal: refusal}
	}
	if l.count.Load() >= maxEntries {
		return Decision{Kind: DecideRefuse, Refusal: notRunRefusal("too many keyed requests are remembered here")}
	}
	return l.admit(partition, key, hash, forwarder)
}

// decideNotHeld returns the decision for a shard that this instance does not
// hold.
func (l *Ledger) decideNotHeld(key Key) Decision {
	if keyOwner, ok := l.options.Shards.KeyOwnerOf(key); ok {
		return Decision{Kind: DecideForward, KeyOwner: keyOwner}
	}
	return Decision{Kind: DecideWait, Refusal: noKeyOwnerRefusal()}
}

// admit adds the entry of a new key; partition.mu is held.
func (l *Ledger) admit(partition *ledgerPartition, key Key, hash RequestHash, forwarder string) Decision {
	entry := &ledgerEntry{hash: hash, answer: l.answers.New(0)}
	partition.entries[key] = entry
	l.count.Add(1)
	l.answers.Put(key.ID(), entry.answer)
	self := l.options.Viewer.View().Self.Name
	ticket := &Ticket{
		ledger: l, key: key, entry: entry, term: partition.term, needsReplica: forwarder == "" || forwarder == self,
	}
	return Decision{Kind: DecideRun, Ticket: ticket}
}

// handledHere reports whether this instance has dispatched the request or may
// still do so, whichever instance holds the shard; the partition's lock is
// held.
func (e *ledgerEntry) handledHere(now time.Time) bool {
	return e.stage == entryDispatched || e.stage == entryEnded || e.grantValid(now)
}

// grantValid reports whether the request is queued with a grant that has not
// expired; the partition's lock is held.
func (e *ledgerEntry) grantValid(now time.Time) bool {
	return e.stage == entryQueued && now.Before(e.grantExpiry)
}

// decide returns the decision for a key with an entry; the partition's lock is
// held.
func (e *ledgerEntry) decide(hash RequestHash) Decision {
	if e.hash != hash {
		return Decision{Kind: DecideRefuse, Refusal: mismatchRefusal()}
	}
	if e.stage != entryInherited && (e.stage != entryEnded || e.answer.Replayable()) {
		return Decision{Kind: DecideJoin, Answer: e.answer}
	}
	refusal := unknownRefusal("the request may have run; its answer is no longer kept here")
	if e.location.Target == "" && e.location.Handle == "" {
		return Decision{Kind: DecideRefuse, Location: e.location, Refusal: refusal}
	}
	return Decision{Kind: DecideResume, Location: e.location, Refusal: refusal}
}

// remove deletes an entry and the key's stored answer, unless the key has
// another entry by now; the partition's lock is held.
func (l *Ledger) remove(partition *ledgerPartition, key Key, entry *ledgerEntry) {
	if partition.entries[key] != entry {
		return
	}
	delete(partition.entries, key)
	l.count.Add(-1)
	l.answers.Remove(key.ID())
}

// runExpiry removes expired records every expiryInterval until ctx ends.
func (l *Ledger) runExpiry(ctx context.Context) {
	ticker := l.options.Clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			l.RemoveExpired()
		}
	}
}

// RemoveExpired removes the expired records and answers of the Ledger and its
// Forwards. Run calls it.
func (l *Ledger) RemoveExpired() {
	l.answers.RemoveExpired()
	l.options.Forwards.RemoveExpired()
	now := l.options.Clock.Now()
	for i := range l.partitions {
		l.removeExpiredIn(&l.partitions[i], now)
	}
}

func (l *Ledger) removeExpiredIn(partition *ledgerPartition, now time.Time) {
	partition.mu.Lock()
	defer partition.mu.Unlock()
	for key, entry := range partition.entries {
		endedOrInherited := entry.stage == entryEnded || entry.stage == entryInherited
		if endedOrInherited && now.After(entry.expiry) {
			l.remove(partition, key, entry)
		}
	}
}

// Count returns the number of keys with an entry.
func (l *Ledger) Count() int { return int(l.count.Load()) }

// noKeyOwnerRefusal is the refusal while no instance holds the key's shard.
func noKeyOwnerRefusal() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepForward, Status: http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Reason:     "no instance holds this key now; this attempt was not sent; resend with the same key",
	}
}
