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

// The stages of a claim in its process. A claim moves from pending to granted,
// to sent and to ended, or from any of the first three to abandoned, which it
// never leaves.
const (
	stagePending   int32 = 0
	stageGranted   int32 = 1
	stageSent      int32 = 2
	stageEnded     int32 = 3
	stageAbandoned int32 = 4
)

// Claim is one attempt's right, or request for the right, to dispatch. Its
// holder calls Dispatch before sending, and then one of Complete and Fail.
type Claim struct {
	claims   *Claims
	key      Key
	deadline time.Time
	stage    atomic.Int32
	// row is the row as this attempt writes it.
	row claimRow
	// version is the version of the row that granted the claim; 0 before.
	version platform.Version
	// written is set once a write may have taken effect.
	written bool
	// unsettled is set once a write had a lost answer; it may still take effect
	// later.
	unsettled bool
}

// acquire asks for the claim until ctx ends.
func (c *Claim) acquire(ctx context.Context) (ClaimResult, error) {
	expect := platform.Version(0)
	for ctx.Err() == nil {
		row, err := c.write(ctx, expect)
		if err != nil {
			c.claims.pause(ctx)
			continue
		}
		verdict := c.evaluate(ctx, row)
		if verdict.result.Kind != 0 || verdict.err != nil {
			return verdict.result, verdict.err
		}
		expect = row.Version
	}
	return ClaimResult{}, refuseClaimTimeout()
}

// write tries to make the claim and returns the row as it then stands.
func (c *Claim) write(ctx context.Context, expect platform.Version) (platform.Row, error) {
	write := platform.Write{Key: claimKey(c.key), ExpectedVersion: expect, Value: c.row.encode()}
	err := c.claims.batch.commit(ctx, write)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.written = true
		return platform.Row{Key: write.Key, Version: expect + 1, Value: write.Value}, nil
	case errors.As(err, &conflict):
		return conflict.Rows[0], nil
	case errors.Is(err, platform.ErrUnavailable):
		return platform.Row{}, err
	default:
		// A lost answer: the row shows whose claim took effect. When there is
		// no row the same write is tried again, after a pause.
		c.written, c.unsettled = true, true
		return c.claims.options.Platform.Get(ctx, write.Key)
	}
}

// verdict is what a row means for an attempt. The zero verdict means that the
// attempt may replace the row.
type verdict struct {
	result ClaimResult
	err    error
}

// evaluate reads a row that the attempt met.
func (c *Claim) evaluate(ctx context.Context, row platform.Row) verdict {
	if row.Version == 0 {
		return verdict{}
	}
	found, err := decodeClaimRow(row)
	if err != nil {
		return verdict{err: refuseUnknown("the record of this key cannot be read")}
	}
	if found.Claim == c.row.Claim {
		return c.grant(row.Version)
	}
	if found.Hash != c.row.Hash {
		return verdict{err: refuseMismatch()}
	}
	switch found.State {
	case claimNotRun:
		return verdict{}
	case claimDone:
		return c.claims.loadStored(ctx, found)
	case claimRanInPart:
		return verdict{err: refuseRanInPart()}
	case claimHeld:
		return c.evaluateHeld(ctx, row, found)
	default:
		return verdict{err: refuseUnknown("the earlier attempt with this key ended without a known outcome")}
	}
}

func (c *Claim) grant(version platform.Version) verdict {
	c.version = version
	if !c.stage.CompareAndSwap(stagePending, stageGranted) {
		return verdict{err: refuseClaimTimeout()}
	}
	c.claims.granted(c)
	return verdict{result: ClaimResult{Kind: ClaimGranted, Claim: c}}
}

// evaluateHeld reads a claim that another attempt holds.
func (c *Claim) evaluateHeld(ctx context.Context, row platform.Row, found *claimRow) verdict {
	member, status := c.claims.holderStatus(ctx, found)
	switch status {
	case statusRunning:
		return verdict{result: ClaimResult{Kind: ClaimJoin, Instance: member, Handle: found.Handle}}
	case statusAbandoned:
		return verdict{}
	}
	// The holder may have recorded the outcome since the row was read.
	now, err := c.claims.options.Platform.Get(ctx, row.Key)
	if err == nil && now.Version != row.Version {
		return c.evaluate(ctx, now)
	}
	return verdict{err: refuseUnknown("the instance that took this key's earlier attempt cannot say what became of it")}
}

// holderStatus asks the process that holds a claim; one that is not in the
// view counts as having forgotten.
func (c *Claims) holderStatus(ctx context.Context, found *claimRow) (membership.Member, claimStatus) {
	view := c.options.Viewer.View()
	for _, member := range view.Members {
		if member.Name != found.Holder || member.Process() != found.Process {
			continue
		}
		if member.Name == view.Self.Name {
			return member, c.status(found.Claim)
		}
		return member, c.askHolder(ctx, member.PeerAddress, found.Claim)
	}
	return membership.Member{}, statusForgotten
}

// askHolder returns a holder's word; silence counts as forgotten.
func (c *Claims) askHolder(ctx context.Context, address, claim string) claimStatus {
	ctx, cancel := c.timeout(ctx, statusTimeout)
	defer cancel()
	var result statusResult
	if err := c.options.Bus.Call(ctx, address, claimMethod, statusParams{claim}, &result); err != nil {
		return statusForgotten
	}
	return result.Status
}

// loadStored reads the answer of a finished attempt.
func (c *Claims) loadStored(ctx context.Context, found *claimRow) verdict {
	raw := found.Answer
	for found.Object != "" {
		object, err := c.options.Platform.GetObject(ctx, found.Object)
		if err == nil {
			raw = object
			break
		}
		if errors.Is(err, platform.ErrNotFound) || ctx.Err() != nil {
			return verdict{err: refuseUnknown("the request ran; its stored answer cannot be read")}
		}
		c.pause(ctx)
	}
	var stored answer.Stored
	if err := msgpack.Unmarshal(raw, &stored); err != nil {
		return verdict{err: refuseUnknown("the request ran; its stored answer cannot be read")}
	}
	return verdict{result: ClaimResult{Kind: ClaimStored, Stored: &stored}}
}

// Dispatch must be called just before the first byte is sent, again before
// another target is tried. It fails with a not_run refusal when the deadline
// has passed, as after a pause; the request must not be sent then, and the
// claim is given back.
func (c *Claim) Dispatch() error {
	if c.claims.options.Clock.Now().Before(c.deadline) {
		if c.stage.CompareAndSwap(stageGranted, stageSent) || c.stage.Load() == stageSent {
			return nil
		}
		return refuseNotRun("the claim was given back")
	}
	c.abandon()
	return refuseNotRun("the deadline passed before the request was sent")
}

// Complete stores the whole answer for resends. It returns once the answer is
// recorded, or when ctx ends, after which Claims.Run goes on trying.
func (c *Claim) Complete(ctx context.Context, stored *answer.Stored) error {
	raw, err := msgpack.Marshal(stored)
	if err != nil {
		return errors.CombineErrors(fault.At(fault.StepAnswer, "", err), c.Fail(ctx, fault.ExecutionUnknown))
	}
	return c.end(ctx, stageEnded, claimDone, raw)
}

// Fail records that there is no complete answer. NotRun is allowed only when
// it is proved that no byte reached a target; the key can then be used again.
func (c *Claim) Fail(ctx context.Context, run fault.ExecutionState) error {
	switch run {
	case fault.NotRun:
		return c.end(ctx, stageAbandoned, claimNotRun, nil)
	case fault.RanInPart:
		return c.end(ctx, stageEnded, claimRanInPart, nil)
	default:
		return c.end(ctx, stageEnded, claimUnknown, nil)
	}
}

// end records the outcome; only the first call counts.
func (c *Claim) end(ctx context.Context, stage int32, state claimState, raw []byte) error {
	if !c.leave(stage) {
		return nil
	}
	return c.claims.outcomes.record(ctx, c.outcome(state, raw))
}

// leave moves to a last stage; false means that the claim is in one already.
func (c *Claim) leave(stage int32) bool {
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

// abandon makes sure that the attempt never sends. If its row may exist, the
// row is marked not run in the background.
func (c *Claim) abandon() {
	if !c.leave(stageAbandoned) {
		return
	}
	if !c.written {
		c.claims.forget(c)
		return
	}
	c.claims.outcomes.add(c.outcome(claimNotRun, nil))
	c.claims.outcomes.hurry()
}

func (c *Claim) outcome(state claimState, raw []byte) *outcome {
	row := c.row
	row.State = state
	return &outcome{claim: c, row: row, version: c.version, unsettled: c.unsettled, answer: raw}
}
