package once

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// maxCopyTries bounds the instances asked to keep a copy of one record.
const maxCopyTries = 3

// longestRun is how long a request without a deadline may run.
const longestRun = time.Hour

// Ticket is the right to queue one keyed request at its key owner. Its holder
// calls Dispatch just before sending, writes Answer, ends that, and then calls
// Finish.
type Ticket struct {
	ledger *Ledger
	key    Key
	entry  *ledgerEntry
	term   uint64
	// needsCopy is set while no other instance knows of the request.
	needsCopy bool
}

// Answer is the record to write; all who join follow it.
func (t *Ticket) Answer() *answer.Answer { return t.entry.answer }

// Queued tells under which handle the request can be followed at this instance
// before it has a target. Call it right after Begin.
func (t *Ticket) Queued(at Dispatched) {
	part := &t.ledger.parts[t.key.Shard()]
	part.mu.Lock()
	defer part.mu.Unlock()
	if t.entry.stage == entryQueued {
		t.entry.dispatched = at
	}
}

// Dispatch must be called just before the first byte is sent, and again before
// another target is tried. It makes sure that another instance knows of the
// request, that this one is still the key owner, and that ctx has not ended. An
// error is a not_run refusal: the request must not be sent, and the ticket is
// void. The deadline of ctx is the request's: it must not run longer.
func (t *Ticket) Dispatch(ctx context.Context, at Dispatched) error {
	if t.needsCopy && !t.copy(ctx, at) {
		return t.refuse("no other instance could take note of the request")
	}
	t.needsCopy = false
	part := &t.ledger.parts[t.key.Shard()]
	part.mu.Lock()
	reason := t.obstacle(ctx, part)
	if reason == "" {
		t.entry.stage, t.entry.dispatched = entryDispatched, at
		t.entry.until = t.ledger.latestEnd(ctx)
	}
	part.mu.Unlock()
	if reason != "" {
		return t.refuse(reason)
	}
	return nil
}

// latestEnd returns the deadline of a request's context.
func (l *Ledger) latestEnd(ctx context.Context) time.Time {
	if deadline, bounded := ctx.Deadline(); bounded {
		return deadline
	}
	return l.options.Clock.Now().Add(longestRun)
}

// obstacle returns why the request must not be sent, or ""; part.mu is held.
func (t *Ticket) obstacle(ctx context.Context, part *ledgerPart) string {
	clock := t.ledger.options.Clock
	granted := t.entry.mayRun(clock.Now())
	deadline, bounded := ctx.Deadline()
	switch {
	case part.entries[t.key] != t.entry || (part.term != t.term && !granted):
		return "another instance has been the owner of the key since"
	case ctx.Err() != nil || bounded && !clock.Now().Before(deadline):
		return "the deadline passed before the request was sent"
	case !granted && !t.ledger.options.Shards.Holds(t.key.Shard()):
		return "this instance is no longer the owner of the key"
	default:
		return ""
	}
}

// copy leaves a record of the request at another instance.
func (t *Ticket) copy(ctx context.Context, at Dispatched) bool {
	l := t.ledger
	view := l.options.Viewer.View()
	if len(peers(view)) == 0 {
		return l.options.Shards.solo()
	}
	keep := l.latestEnd(ctx).Add(l.options.Window).Sub(l.options.Clock.Now())
	record := Record{Key: t.key, Hash: t.entry.hash, Dispatched: at, KeepMillis: keep.Milliseconds()}
	tries := 0
	for _, member := range membership.RankMembers(view, "copy/"+t.key.ID()) {
		if member.Name == view.Self.Name || member.Leaving {
			continue
		}
		if tries++; tries > maxCopyTries {
			return false
		}
		if l.copyTo(ctx, member, []Record{record}) {
			return true
		}
	}
	return false
}

// refuse ends the answer with a not_run refusal and frees the key.
func (t *Ticket) refuse(reason string) error {
	refusal := refuseNotRun(reason)
	t.NotRun(refusal)
	return refusal
}

// NotRun gives the request up, when it is proved that no byte reached a target.
// Those who joined get the refusal; the key can be used again.
func (t *Ticket) NotRun(refusal *fault.Refusal) {
	part := &t.ledger.parts[t.key.Shard()]
	part.mu.Lock()
	t.ledger.remove(part, t.key, t.entry)
	part.mu.Unlock()
	t.entry.answer.Refuse(refusal)
}

// Finish must be called after the answer has ended. An answer that is still
// open is cut.
func (t *Ticket) Finish() {
	t.entry.answer.End(answer.Cut)
	part := &t.ledger.parts[t.key.Shard()]
	part.mu.Lock()
	defer part.mu.Unlock()
	t.entry.stage = entryEnded
	t.entry.until = t.ledger.options.Clock.Now().Add(t.ledger.options.Window)
}
