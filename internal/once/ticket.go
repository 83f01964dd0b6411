package once

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// maxReplicationAttempts bounds the instances to which one record is sent until
// one of them stores it.
const maxReplicationAttempts = 3

// maxRunTime is how long a request without a deadline is expected to run at
// most.
const maxRunTime = time.Hour

// Ticket is the right to queue one keyed request at its key owner. Its holder
// calls Dispatch just before sending, writes Answer and ends it, and then calls
// Finish.
type Ticket struct {
	ledger *Ledger
	key    Key
	entry  *ledgerEntry
	term   uint64
	// needsReplica is set until another instance has a record of the request.
	needsReplica bool
}

// Answer returns the answer to write; requests that join follow it.
func (t *Ticket) Answer() *answer.Answer { return t.entry.answer }

// SetQueuedLocation stores where the request can be followed before it has a
// target. Call it right after Begin.
func (t *Ticket) SetQueuedLocation(location Location) {
	partition := &t.ledger.partitions[t.key.Shard()]
	partition.mu.Lock()
	defer partition.mu.Unlock()
	if t.entry.stage == entryQueued {
		t.entry.location = location
	}
}

// Dispatch must be called just before the first byte is sent, and again before
// another target is tried. It ensures that another instance has a record of the
// request, that this instance is still the key owner or has a valid grant, and
// that ctx has not ended. The returned error is a not_run refusal: the request
// must not be sent, and the ticket is void. The deadline of ctx must be that of
// the request.
func (t *Ticket) Dispatch(ctx context.Context, location Location) error {
	if t.needsReplica && !t.replicate(ctx, location) {
		return t.refuse("no other instance could take note of the request")
	}
	t.needsReplica = false
	partition := &t.ledger.partitions[t.key.Shard()]
	partition.mu.Lock()
	reason := t.undispatchableReason(ctx, partition)
	if reason == "" {
		t.entry.stage, t.entry.location = entryDispatched, location
		t.entry.expiry = t.ledger.runDeadline(ctx)
	}
	partition.mu.Unlock()
	if reason != "" {
		return t.refuse(reason)
	}
	return nil
}

// runDeadline returns the deadline of the request's context, or the expected
// latest end if it has none.
func (l *Ledger) runDeadline(ctx context.Context) time.Time {
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		return deadline
	}
	return l.options.Clock.Now().Add(maxRunTime)
}

// undispatchableReason returns why the request must not be sent, or "";
// partition.mu is held.
func (t *Ticket) undispatchableReason(ctx context.Context, partition *ledgerPartition) string {
	clock := t.ledger.options.Clock
	grantValid := t.entry.grantValid(clock.Now())
	deadline, hasDeadline := ctx.Deadline()
	switch {
	case partition.entries[t.key] != t.entry || (partition.term != t.term && !grantValid):
		return "another instance has been the owner of the key since"
	case ctx.Err() != nil || hasDeadline && !clock.Now().Before(deadline):
		return "the deadline passed before the request was sent"
	case !grantValid && !t.ledger.options.Shards.Holds(t.key.Shard()):
		return "this instance is no longer the owner of the key"
	default:
		return ""
	}
}

// replicate stores a record of the request at another instance.
func (t *Ticket) replicate(ctx context.Context, location Location) bool {
	l := t.ledger
	view := l.options.Viewer.View()
	if len(stayingMembers(view)) == 0 {
		return l.options.Shards.isSoleInstance()
	}
	retention := l.runDeadline(ctx).Add(l.options.ResendWindow).Sub(l.options.Clock.Now())
	record := Record{Key: t.key, Hash: t.entry.hash, Location: location, RetentionMillis: retention.Milliseconds()}
	attempts := 0
	for _, member := range membership.RankMembers(view, "copy/"+t.key.ID()) {
		if member.Name == view.Self.Name || member.Leaving {
			continue
		}
		if attempts++; attempts > maxReplicationAttempts {
			return false
		}
		if l.replicateTo(ctx, member, []Record{record}) {
			return true
		}
	}
	return false
}

// refuse ends the answer with a not_run refusal and removes the key.
func (t *Ticket) refuse(reason string) error {
	refusal := notRunRefusal(reason)
	t.MarkNotRun(refusal)
	return refusal
}

// MarkNotRun abandons the request when it is certain that no byte reached a
// target. Requests that have joined receive the refusal; the key can be used
// again.
func (t *Ticket) MarkNotRun(refusal *fault.Refusal) {
	partition := &t.ledger.partitions[t.key.Shard()]
	partition.mu.Lock()
	t.ledger.remove(partition, t.key, t.entry)
	partition.mu.Unlock()
	t.entry.answer.Refuse(refusal)
}

// Finish must be called after the answer has ended. An answer that is still
// open is marked as cut.
func (t *Ticket) Finish() {
	t.entry.answer.End(answer.Truncated)
	partition := &t.ledger.partitions[t.key.Shard()]
	partition.mu.Lock()
	defer partition.mu.Unlock()
	t.entry.stage = entryEnded
	t.entry.expiry = t.ledger.options.Clock.Now().Add(t.ledger.options.ResendWindow)
}
