package once

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// Defaults of ClaimOptions.
const (
	// DefaultClaimRetention is how long claims and stored answers are kept.
	DefaultClaimRetention = 48 * time.Hour
	// DefaultMaxInlineBytes bounds the encoded answers stored in the claim's
	// row.
	DefaultMaxInlineBytes = 8 << 10
)

const (
	// claimRetryInterval is the pause between attempts while the platform is
	// unavailable.
	claimRetryInterval = 100 * time.Millisecond
	// statusTimeout bounds a status request to a holder.
	statusTimeout = 2 * time.Second
	// claimStatusMethod requests the status of a claim from its holder.
	claimStatusMethod = "once.claim"
)

// ClaimOptions are the dependencies and limits of Claims.
type ClaimOptions struct {
	Platform platform.Platform
	Bus      peer.Bus
	Viewer   membership.Viewer
	// Clock is used for deadlines and expiry; nil means the real clock.
	Clock clockwork.Clock
	// Retention is how long rows are kept; 0 means DefaultClaimRetention.
	Retention time.Duration
	// MaxInlineBytes is the size above which an answer is stored in the object
	// store; 0 means DefaultMaxInlineBytes.
	MaxInlineBytes int
}

// Claims grants the right to dispatch non-idempotent requests, at most once for
// each key.
type Claims struct {
	options  ClaimOptions
	batcher  *batcher
	sequence atomic.Uint64
	outcomes *outcomeQueue

	// mu guards the maps. It is held for single map operations only.
	mu sync.Mutex
	// byID holds the claims of this process whose outcome is not recorded yet.
	byID map[string]*Claim
	// byKey holds the claims in byID that were granted.
	byKey map[Key]*Claim
}

// NewClaims returns Claims whose call handler is registered with the bus. Start
// Run afterwards.
func NewClaims(options ClaimOptions) *Claims {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Retention == 0 {
		options.Retention = DefaultClaimRetention
	}
	if options.MaxInlineBytes == 0 {
		options.MaxInlineBytes = DefaultMaxInlineBytes
	}
	c := &Claims{
		options: options,
		batcher: newBatcher(options.Platform, options.Clock),
		byID:    make(map[string]*Claim),
		byKey:   make(map[Key]*Claim),
	}
	c.outcomes = newOutcomeQueue(c)
	options.Bus.Handle(claimStatusMethod, c.handleClaimStatus)
	return c
}

// Run performs the shared transactions, records outcomes that could not be
// written immediately, and deletes expired rows. It returns when ctx ends.
func (c *Claims) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { c.batcher.run(ctx) })
	group.Go(func() { c.outcomes.run(ctx) })
	group.Go(func() { newClaimSweeper(c.options).run(ctx) })
	group.Wait()
}

// ClaimKind is the kind of a ClaimResult.
type ClaimKind uint8

// The kinds of result.
const (
	// ClaimGranted gives the caller the right to dispatch.
	ClaimGranted ClaimKind = 1
	// ClaimJoin names the instance that runs the request.
	ClaimJoin ClaimKind = 2
	// ClaimStored returns the complete answer of an earlier attempt.
	ClaimStored ClaimKind = 3
)

// ClaimResult is the result of requesting a claim.
type ClaimResult struct {
	Kind ClaimKind
	// Claim is set for ClaimGranted.
	Claim *Claim
	// Instance and Handle identify, for ClaimJoin, where the answer can be
	// followed.
	Instance membership.Member
	Handle   string
	// Stored is set for ClaimStored.
	Stored *answer.Snapshot
}

// Claim requests the right to dispatch the request with the key, until the
// deadline. Handle is the request's handle, which is returned to requests that
// join. The error is always a *fault.Refusal.
func (c *Claims) Claim(
	ctx context.Context, key Key, hash RequestHash, handle string, deadline time.Time,
) (ClaimResult, error) {
	if result, err := c.joinLocal(key, hash); result.Kind != 0 || err != nil {
		return result, err
	}
	claim := c.newClaim(key, hash, handle, deadline)
	ctx, cancel := clockwork.WithDeadline(ctx, c.options.Clock, deadline)
	defer cancel()
	result, err := claim.acquire(ctx)
	if result.Kind != ClaimGranted {
		claim.abandon()
	}
	return result, err
}

// joinLocal joins a request that this instance already runs.
func (c *Claims) joinLocal(key Key, hash RequestHash) (ClaimResult, error) {
	c.mu.Lock()
	running := c.byKey[key]
	c.mu.Unlock()
	if running == nil || running.stage.Load() == stageAbandoned {
		return ClaimResult{}, nil
	}
	if running.row.Hash != hash {
		return ClaimResult{}, mismatchRefusal()
	}
	return ClaimResult{Kind: ClaimJoin, Instance: c.self(), Handle: running.row.Handle}, nil
}

func (c *Claims) self() membership.Member { return c.options.Viewer.View().Self }

func (c *Claims) newClaim(key Key, hash RequestHash, handle string, deadline time.Time) *Claim {
	self := c.self()
	id := fmt.Sprintf("%s/%x/%x", self.Name, self.ProcessID(), c.sequence.Add(1))
	claim := &Claim{
		claims: c, key: key, deadline: deadline,
		row: claimRow{
			ClaimID: id, Hash: hash, HolderName: self.Name, Process: self.ProcessID(),
			Handle: handle, State: claimHeld, CreatedMillis: c.options.Clock.Now().UnixMilli(),
		},
	}
	c.mu.Lock()
	c.byID[id] = claim
	c.mu.Unlock()
	return claim
}

// registerGranted makes the claim the one that local retries join.
func (c *Claims) registerGranted(claim *Claim) {
	c.mu.Lock()
	c.byKey[claim.key] = claim
	c.mu.Unlock()
}

// unregister removes a claim whose outcome is recorded, need not be recorded,
// or was dropped.
func (c *Claims) unregister(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, claim.row.ClaimID)
	if c.byKey[claim.key] == claim {
		delete(c.byKey, claim.key)
	}
}

// claimStatusParams are the parameters of claimStatusMethod.
type claimStatusParams struct {
	ClaimID string `json:"claim"`
}

// claimStatus is the status of a claim that its holder reports.
type claimStatus string

const (
	// statusRunning means that the request is about to be sent or running, or
	// that its outcome is not recorded yet.
	statusRunning claimStatus = "running"
	// statusAbandoned means that the request was not sent and never will be by
	// this claim.
	statusAbandoned claimStatus = "abandoned"
	// statusNoRecord means that the holder has no record of the claim: the
	// outcome is stored, or lost.
	statusNoRecord claimStatus = "forgotten"
)

type claimStatusResult struct {
	Status claimStatus `json:"status"`
}

func (c *Claims) handleClaimStatus(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params claimStatusParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepClaim, "", err)
	}
	return claimStatusResult{c.status(params.ClaimID)}, nil
}

func (c *Claims) status(id string) claimStatus {
	c.mu.Lock()
	claim := c.byID[id]
	c.mu.Unlock()
	switch {
	case claim == nil:
		return statusNoRecord
	case claim.stage.Load() == stageAbandoned:
		return statusAbandoned
	default:
		return statusRunning
	}
}
