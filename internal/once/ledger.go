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
	// maxEntries bounds the keys of one ledger; beyond it new ones are refused.
	maxEntries = 1 << 16
	// ageEvery is the pause between rounds of ageing.
	ageEvery = 5 * time.Second
)

// LedgerOptions join a Ledger to the rest of an instance.
type LedgerOptions struct {
	Shards   *Shards
	Forwards *Forwards
	Bus      peer.Bus
	Viewer   membership.Viewer
	// Clock is used for deadlines and ageing; nil means the real clock.
	Clock clockwork.Clock
	// Window is how long an ended request is remembered; 0 means
	// DefaultResendWindow. It is the same at all instances.
	Window time.Duration
	// AnswerBytes bounds the answers kept; 0 means answer.DefaultStoreBytes.
	AnswerBytes int64
}

// Ledger is the key owner's record of keyed requests: which were dispatched,
// where, and how they ended.
type Ledger struct {
	options LedgerOptions
	answers *answer.Store
	crashes *crashLog
	count   atomic.Int64
	parts   [ShardCount]ledgerPart

	// mu guards settlements.
	mu          sync.Mutex
	settlements []*settlement
	wake        chan struct{}
}

// ledgerPart is one shard's part of the ledger.
type ledgerPart struct {
	// mu guards the fields below.
	mu      sync.Mutex
	entries map[Key]*ledgerEntry
	// term counts how often the shard was taken. Tickets of an earlier term are
	// void, since another key owner may have run their keys in between.
	term uint64
	// settlement is set while, and after, records are collected for the shard.
	settlement *settlement
}

// entryStage tells how far a key has come.
type entryStage uint8

const (
	// entryQueued means that the key's ticket has not been dispatched.
	entryQueued entryStage = iota
	// entryDispatched means that bytes may have left.
	entryDispatched
	// entryEnded means that the answer has ended.
	entryEnded
	// entryForeign means that an earlier key owner may have dispatched it.
	entryForeign
)

// ledgerEntry is the record of one key; the part's lock guards it.
type ledgerEntry struct {
	hash  BodyHash
	stage entryStage
	// granted is until when a queued key may be dispatched here although its
	// shard was passed on: the next key owner has a record of it and will not run
	// it. Zero for keys whose shard was not passed on.
	granted    time.Time
	answer     *answer.Answer // nil for foreign ones
	dispatched Dispatched
	// until is when it ends at the latest if it is dispatched, and when it may
	// be forgotten if it has ended or is foreign.
	until time.Time
}

// NewLedger registers its call handlers with the bus and listens to the shards;
// start Run, and Shards.Run, after it.
func NewLedger(options LedgerOptions) *Ledger {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Window == 0 {
		options.Window = DefaultResendWindow
	}
	l := &Ledger{
		options: options,
		answers: answer.NewStore(answer.StoreOptions{
			Clock: options.Clock, Bytes: options.AnswerBytes, Keep: options.Window,
		}),
		crashes: newCrashLog(options.Clock, options.Window, options.Viewer),
		wake:    make(chan struct{}, 1),
	}
	for i := range l.parts {
		l.parts[i].entries = make(map[Key]*ledgerEntry)
	}
	options.Shards.listener = l
	options.Bus.Handle(registerMethod, l.handleRegister)
	options.Bus.Handle(copyMethod, l.handleCopy)
	options.Bus.Handle(handoverMethod, l.handleHandover)
	return l
}

// Run collects records after takeovers and forgets old ones until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { l.settleAll(ctx) })
	group.Go(func() { l.ageAll(ctx) })
	group.Wait()
}

// DecisionKind tells what to do with a keyed request.
type DecisionKind uint8

// The kinds of decision.
const (
	// DecideRun: queue and dispatch the request with the ticket.
	DecideRun DecisionKind = 1
	// DecideJoin: follow Answer.
	DecideJoin DecisionKind = 2
	// DecideResume: an earlier key owner has it; follow its handle at the instance
	// named in Dispatched if that lives, or resume it at the target, if that is
	// named. If neither works answer with Refusal.
	DecideResume DecisionKind = 3
	// DecideWait: not known yet; ask again after Refusal.RetryAfter, or answer
	// with Refusal.
	DecideWait DecisionKind = 4
	// DecideForward: KeyOwner holds the shard.
	DecideForward DecisionKind = 5
	// DecideRefuse: answer with Refusal.
	DecideRefuse DecisionKind = 6
)

// Decision is what the ledger says to a keyed request.
type Decision struct {
	Kind       DecisionKind
	Ticket     *Ticket
	Answer     *answer.Answer
	Dispatched Dispatched
	KeyOwner   membership.Member
	Refusal    *fault.Refusal
}

// Begin decides on a keyed request that has come to this instance as its
// key owner. Forwarder is the instance that passed it on and has noted it in its
// Forwards, or "" when this instance took it from the caller itself.
func (l *Ledger) Begin(key Key, hash BodyHash, forwarder string) Decision {
	shard := key.Shard()
	part := &l.parts[shard]
	part.mu.Lock()
	defer part.mu.Unlock()
	holds := l.options.Shards.Holds(shard)
	if entry := part.entries[key]; entry != nil && (holds || entry.runsHere(l.options.Clock.Now())) {
		return entry.decide(hash)
	}
	if !holds {
		return l.elsewhere(key)
	}
	if refusal := part.settlement.refuseUnseen(l.options.Clock.Now()); refusal != nil {
		kind := DecideRefuse
		if refusal.RetryAfter > 0 {
			kind = DecideWait
		}
		return Decision{Kind: kind, Refusal: refusal}
	}
	if l.count.Load() >= maxEntries {
		return Decision{Kind: DecideRefuse, Refusal: refuseNotRun("too many keyed requests are remembered here")}
	}
	return l.admit(part, key, hash, forwarder)
}

// elsewhere answers when this instance does not hold the shard.
func (l *Ledger) elsewhere(key Key) Decision {
	if keyOwner, ok := l.options.Shards.KeyOwnerOf(key); ok {
		return Decision{Kind: DecideForward, KeyOwner: keyOwner}
	}
	return Decision{Kind: DecideWait, Refusal: refuseNoKeyOwner()}
}

// admit makes the entry of a new key; part.mu is held.
func (l *Ledger) admit(part *ledgerPart, key Key, hash BodyHash, forwarder string) Decision {
	entry := &ledgerEntry{hash: hash, answer: l.answers.New(0)}
	part.entries[key] = entry
	l.count.Add(1)
	l.answers.Put(key.ID(), entry.answer)
	self := l.options.Viewer.View().Self.Name
	ticket := &Ticket{
		ledger: l, key: key, entry: entry, term: part.term, needsCopy: forwarder == "" || forwarder == self,
	}
	return Decision{Kind: DecideRun, Ticket: ticket}
}

// runsHere tells whether this instance has dispatched a key or may, whoever
// holds its shard; the part's lock is held.
func (e *ledgerEntry) runsHere(now time.Time) bool {
	return e.stage == entryDispatched || e.stage == entryEnded || e.mayRun(now)
}

// mayRun tells whether a key is granted still; the part's lock is held.
func (e *ledgerEntry) mayRun(now time.Time) bool {
	return e.stage == entryQueued && now.Before(e.granted)
}

// decide answers for a key that is known; the part's lock is held.
func (e *ledgerEntry) decide(hash BodyHash) Decision {
	if e.hash != hash {
		return Decision{Kind: DecideRefuse, Refusal: refuseMismatch()}
	}
	if e.stage != entryForeign && (e.stage != entryEnded || e.answer.Replayable()) {
		return Decision{Kind: DecideJoin, Answer: e.answer}
	}
	refusal := refuseUnknown("the request may have run; its answer is no longer kept here")
	if e.dispatched.Target == "" && e.dispatched.Handle == "" {
		return Decision{Kind: DecideRefuse, Dispatched: e.dispatched, Refusal: refusal}
	}
	return Decision{Kind: DecideResume, Dispatched: e.dispatched, Refusal: refusal}
}

// remove forgets a key that was not run; the part's lock is held.
func (l *Ledger) remove(part *ledgerPart, key Key, entry *ledgerEntry) {
	if part.entries[key] != entry {
		return
	}
	delete(part.entries, key)
	l.count.Add(-1)
	l.answers.Remove(key.ID())
}

// ageAll forgets old records every ageEvery.
func (l *Ledger) ageAll(ctx context.Context) {
	ticker := l.options.Clock.NewTicker(ageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			l.Age()
		}
	}
}

// Age forgets the records past their time. Run calls it.
func (l *Ledger) Age() {
	l.answers.Age()
	l.options.Forwards.Age()
	now := l.options.Clock.Now()
	for i := range l.parts {
		l.agePart(&l.parts[i], now)
	}
}

func (l *Ledger) agePart(part *ledgerPart, now time.Time) {
	part.mu.Lock()
	defer part.mu.Unlock()
	for key, entry := range part.entries {
		over := entry.stage == entryEnded || entry.stage == entryForeign
		if over && now.After(entry.until) {
			l.remove(part, key, entry)
		}
	}
}

// Count returns the number of keys on record.
func (l *Ledger) Count() int { return int(l.count.Load()) }

// refuseNoKeyOwner refuses while nobody holds the key's shard.
func refuseNoKeyOwner() *fault.Refusal {
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepForward, Status: http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Reason:     "no instance holds this key now; this attempt was not sent; resend with the same key",
	}
}
