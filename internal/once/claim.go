package once

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// The stages of a claim within its process. A claim moves from pending to
// granted to sent, and from any of these to one of the final stages ended and
// abandoned.
const (
	stagePending   int32 = 0
	stageGranted   int32 = 1
	stageSent      int32 = 2
	stageEnded     int32 = 3
	stageAbandoned int32 = 4
)

// Claim is an attempt's right, or pending request for the right, to dispatch.
// Its holder calls Dispatch before sending, and then one of Complete and Fail.
type Claim struct {
	claims   *Claims
	key      Key
	deadline time.Time
	stage    atomic.Int32
	// row is the row that this attempt writes.
	row claimRow
	// version is the version of the row that granted the claim; 0 before.
	version platform.Version
	// maybeWritten is set once a write may have taken effect.
	maybeWritten bool
	// lateWritePossible is set once the response to a write was lost; the write
	// may still take effect later.
	lateWritePossible bool
}

// acquire tries to obtain the claim until ctx ends.
func (c *Claim) acquire(ctx context.Context) (ClaimResult, error) {
	expect := platform.Version(0)
	for ctx.Err() == nil {
		row, err := c.write(ctx, expect)
		if err != nil {
			c.claims.waitRetry(ctx)
			continue
		}
		evaluated := c.evaluate(ctx, row)
		if evaluated.result.Kind != 0 || evaluated.err != nil {
			return evaluated.result, evaluated.err
		}
		expect = row.Version
	}
	return ClaimResult{}, claimTimeoutRefusal()
}

// write tries to write the claim's row and returns the row as it is afterwards.
func (c *Claim) write(ctx context.Context, expect platform.Version) (platform.Row, error) {
	rowWrite := platform.Write{Key: claimKey(c.key), ExpectedVersion: expect, Value: c.row.encode()}
	err := c.claims.batcher.commit(ctx, rowWrite)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.maybeWritten = true
		return platform.Row{Key: rowWrite.Key, Version: expect + 1, Value: rowWrite.Value}, nil
	case errors.As(err, &conflict):
		return conflict.Rows[0], nil
	case errors.Is(err, platform.ErrUnavailable):
		return platform.Row{}, err
	default:
		// The response was lost: the row shows whose claim took effect. If
		// there is no row, the same write is tried again after a pause.
		c.maybeWritten, c.lateWritePossible = true, true
		return c.claims.options.Platform.Get(ctx, rowWrite.Key)
	}
}

// evaluation is what an existing row means for an attempt. The zero value means
// that the attempt may replace the row.
type evaluation struct {
	result ClaimResult
	err    error
}

// evaluate determines the consequence of the row that was found.
func (c *Claim) evaluate(ctx context.Context, row platform.Row) evaluation {
	if row.Version == 0 {
		return evaluation{}
	}
	found, err := decodeClaimRow(row)
	if err != nil {
		return evaluation{err: unknownRefusal("the record of this key cannot be read")}
	}
	if found.ClaimID == c.row.ClaimID {
		return c.grant(row.Version)
	}
	if found.Hash != c.row.Hash {
		return evaluation{err: mismatchRefusal()}
	}
	switch found.State {
	case claimNotRun:
		return evaluation{}
	case claimCompleted:
		return c.claims.loadStored(ctx, found)
	case claimRanInPart:
		return evaluation{err: ranInPartRefusal()}
	case claimHeld:
		return c.evaluateHeld(ctx, row, found)
	default:
		return evaluation{err: unknownRefusal("the earlier attempt with this key ended without a known outcome")}
	}
}

func (c *Claim) grant(version platform.Version) evaluation {
	c.version = version
	if !c.stage.CompareAndSwap(stagePending, stageGranted) {
		return evaluation{err: claimTimeoutRefusal()}
	}
	c.claims.registerGranted(c)
	return evaluation{result: ClaimResult{Kind: ClaimGranted, Claim: c}}
}

// evaluateHeld determines the consequence of a claim that another attempt
// holds.
func (c *Claim) evaluateHeld(ctx context.Context, row platform.Row, found *claimRow) evaluation {
	member, status := c.claims.holderStatus(ctx, found)
	switch status {
	case statusRunning:
		return evaluation{result: ClaimResult{Kind: ClaimJoin, Instance: member, Handle: found.Handle}}
	case statusAbandoned:
		return evaluation{}
	}
	// The holder may have recorded the outcome since the row was read.
	current, err := c.claims.options.Platform.Get(ctx, row.Key)
	if err == nil && current.Version != row.Version {
		return c.evaluate(ctx, current)
	}
	return evaluation{err: unknownRefusal("the instance that took this key's earlier attempt cannot say what became of it")}
}

// holderStatus requests the status of a claim from the process that holds it. A
// process that is not in the view counts as having no record of the claim.
func (c *Claims) holderStatus(ctx context.Context, found *claimRow) (membership.Member, claimStatus) {
	view := c.options.Viewer.View()
	for _, member := range view.Members {
		if member.Name != found.HolderName || member.ProcessID() != found.Process {
			continue
		}
		if member.Name == view.Self.Name {
			return member, c.status(found.ClaimID)
		}
		return member, c.requestStatus(ctx, member.PeerAddress, found.ClaimID)
	}
	return membership.Member{}, statusNoRecord
}

// requestStatus returns the status that a holder reports; a failed call counts
// as statusNoRecord.
func (c *Claims) requestStatus(ctx context.Context, address, claimID string) claimStatus {
	ctx, cancel := c.withTimeout(ctx, statusTimeout)
	defer cancel()
	var result claimStatusResult
	if err := c.options.Bus.Call(ctx, address, claimStatusMethod, claimStatusParams{claimID}, &result); err != nil {
		return statusNoRecord
	}
	return result.Status
}

// loadStored loads the stored answer of a completed attempt, and retries while
// the object store is unavailable.
func (c *Claims) loadStored(ctx context.Context, found *claimRow) evaluation {
	raw := found.Answer
	for found.ObjectName != "" {
		object, err := c.options.Platform.GetObject(ctx, found.ObjectName)
		if err == nil {
			raw = object
			break
		}
		if errors.Is(err, platform.ErrNotFound) || ctx.Err() != nil {
			return evaluation{err: unknownRefusal("the request ran; its stored answer cannot be read")}
		}
		c.waitRetry(ctx)
	}
	var stored answer.Snapshot
	if err := msgpack.Unmarshal(raw, &stored); err != nil {
		return evaluation{err: unknownRefusal("the request ran; its stored answer cannot be read")}
	}
	return evaluation{result: ClaimResult{Kind: ClaimStored, Stored: &stored}}
}

// Dispatch must be called just before the first byte is sent, and again before
// another target is tried. It fails with a not_run refusal if the deadline has
// passed, for example during a pause of the process. The request must not be
// sent then, and the claim is abandoned.
func (c *Claim) Dispatch() error {
	if c.claims.options.Clock.Now().Before(c.deadline) {
		if c.stage.CompareAndSwap(stageGranted, stageSent) || c.stage.Load() == stageSent {
			return nil
		}
		return notRunRefusal("the claim was given back")
	}
	c.abandon()
	return notRunRefusal("the deadline passed before the request was sent")
}

// Complete stores the complete answer for retries. It returns once the answer
// is recorded, or with an error if the write fails, after which Claims.Run
// retries it.
func (c *Claim) Complete(ctx context.Context, stored *answer.Snapshot) error {
	raw, err := msgpack.Marshal(stored)
	if err != nil {
		return errors.CombineErrors(fault.At(fault.StepAnswer, "", err), c.Fail(ctx, fault.ExecutionUnknown))
	}
	return c.recordOutcome(ctx, stageEnded, claimCompleted, raw)
}

// Fail records that there is no complete answer. NotRun is allowed only if it
// is certain that no byte reached a target; the key can then be used again.
func (c *Claim) Fail(ctx context.Context, state fault.ExecutionState) error {
	switch state {
	case fault.NotRun:
		return c.recordOutcome(ctx, stageAbandoned, claimNotRun, nil)
	case fault.RanInPart:
		return c.recordOutcome(ctx, stageEnded, claimRanInPart, nil)
	default:
		return c.recordOutcome(ctx, stageEnded, claimUnknown, nil)
	}
}

// recordOutcome records the outcome; only the first call has an effect.
func (c *Claim) recordOutcome(ctx context.Context, stage int32, state claimState, raw []byte) error {
	if !c.enterFinalStage(stage) {
		return nil
	}
	return c.claims.outcomes.record(ctx, c.newOutcome(state, raw))
}

// enterFinalStage moves the claim to a final stage. It returns false if the
// claim is in one already.
func (c *Claim) enterFinalStage(stage int32) bool {
	for {
		old := c.stage.Load()
		if old == stageEnded || old == stageAbandoned {
			return false
		}
		if c.stage.CompareAndSwap(old, stage) {
			return true
		}
	}
}

// abandon ensures that the attempt never sends the request. If its row may
// exist, the row is marked as not run in the background.
func (c *Claim) abandon() {
	if !c.enterFinalStage(stageAbandoned) {
		return
	}
	if !c.maybeWritten {
		c.claims.unregister(c)
		return
	}
	c.claims.outcomes.add(c.newOutcome(claimNotRun, nil))
	c.claims.outcomes.wakeUp()
}

func (c *Claim) newOutcome(state claimState, raw []byte) *outcome {
	row := c.row
	row.State = state
	return &outcome{claim: c, row: row, version: c.version, lateWritePossible: c.lateWritePossible, answer: raw}
}
