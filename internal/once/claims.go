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
	// DefaultClaimKeep is how long claims and stored answers are kept.
	DefaultClaimKeep = 48 * time.Hour
	// DefaultInlineBytes bounds the encoded answers kept within the row.
	DefaultInlineBytes = 8 << 10
)

const (
	// claimRetry is the pause between tries while the table service is down.
	claimRetry = 100 * time.Millisecond
	// statusTimeout bounds the question to a holder.
	statusTimeout = 2 * time.Second
	// claimMethod asks a holder how far its claim has come.
	claimMethod = "once.claim"
)

// ClaimOptions join Claims to the rest of an instance.
type ClaimOptions struct {
	Platform platform.Platform
	Bus      peer.Bus
	Viewer   membership.Viewer
	// Clock is used for deadlines and ageing; nil means the real clock.
	Clock clockwork.Clock
	// Keep is how long rows are kept; 0 means DefaultClaimKeep.
	Keep time.Duration
	// InlineBytes is the size beyond which an answer goes to the object store;
	// 0 means DefaultInlineBytes.
	InlineBytes int
}

// Claims gives out the rights to dispatch non-idempotent requests.
type Claims struct {
	options  ClaimOptions
	batch    *batcher
	sequence atomic.Uint64
	outcomes *outcomeQueue

	// mu guards the maps. It is held for single map operations only.
	mu sync.Mutex
	// byID holds this process's claims that are not yet recorded as ended.
	byID map[string]*Claim
	// byKey holds the one of them that was granted.
	byKey map[Key]*Claim
}

// NewClaims registers its call handler with the bus; start Run after it.
func NewClaims(options ClaimOptions) *Claims {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Keep == 0 {
		options.Keep = DefaultClaimKeep
	}
	if options.InlineBytes == 0 {
		options.InlineBytes = DefaultInlineBytes
	}
	c := &Claims{
		options: options,
		batch:   newBatcher(options.Platform, options.Clock),
		byID:    make(map[string]*Claim),
		byKey:   make(map[Key]*Claim),
	}
	c.outcomes = newOutcomeQueue(c)
	options.Bus.Handle(claimMethod, c.handleStatus)
	return c
}

// Run carries out the shared transactions, records outcomes that could not be
// written at once, and deletes old rows. It returns when ctx ends.
func (c *Claims) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { c.batch.run(ctx) })
	group.Go(func() { c.outcomes.run(ctx) })
	group.Go(func() { newJanitor(c.options).run(ctx) })
	group.Wait()
}

// ClaimKind tells what came of asking for a claim.
type ClaimKind uint8

// The kinds of result.
const (
	// ClaimGranted gives the caller the right to dispatch.
	ClaimGranted ClaimKind = 1
	// ClaimJoin names the instance that runs the request.
	ClaimJoin ClaimKind = 2
	// ClaimStored holds the complete answer of an earlier attempt.
	ClaimStored ClaimKind = 3
)

// ClaimResult is what came of asking for a claim.
type ClaimResult struct {
	Kind ClaimKind
	// Claim is set for ClaimGranted.
	Claim *Claim
	// Instance and Handle tell for ClaimJoin where the answer can be followed.
	Instance membership.Member
	Handle   string
	// Stored is set for ClaimStored.
	Stored *answer.Stored
}

// Claim asks for the right to dispatch the request with the key, until the
// deadline. Handle is the request's handle, given to those who join. The error
// is always a *fault.Refusal.
func (c *Claims) Claim(
	ctx context.Context, key Key, hash BodyHash, handle string, deadline time.Time,
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

// joinLocal joins a request to one that this instance runs already.
func (c *Claims) joinLocal(key Key, hash BodyHash) (ClaimResult, error) {
	c.mu.Lock()
	running := c.byKey[key]
	c.mu.Unlock()
	if running == nil || running.stage.Load() == stageAbandoned {
		return ClaimResult{}, nil
	}
	if running.row.Hash != hash {
		return ClaimResult{}, refuseMismatch()
	}
	return ClaimResult{Kind: ClaimJoin, Instance: c.self(), Handle: running.row.Handle}, nil
}

func (c *Claims) self() membership.Member { return c.options.Viewer.View().Self }

func (c *Claims) newClaim(key Key, hash BodyHash, handle string, deadline time.Time) *Claim {
	self := c.self()
	id := fmt.Sprintf("%s/%x/%x", self.Name, self.ProcessID(), c.sequence.Add(1))
	claim := &Claim{
		claims: c, key: key, deadline: deadline,
		row: claimRow{
			Claim: id, Hash: hash, Holder: self.Name, Process: self.ProcessID(),
			Handle: handle, State: claimHeld, CreatedMillis: c.options.Clock.Now().UnixMilli(),
		},
	}
	c.mu.Lock()
	c.byID[id] = claim
	c.mu.Unlock()
	return claim
}

// granted makes the claim the one that local resends join.
func (c *Claims) granted(claim *Claim) {
	c.mu.Lock()
	c.byKey[claim.key] = claim
	c.mu.Unlock()
}

// forget removes a claim whose outcome is on record or needs none.
func (c *Claims) forget(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, claim.row.Claim)
	if c.byKey[claim.key] == claim {
		delete(c.byKey, claim.key)
	}
}

// statusParams asks about one claim.
type statusParams struct {
	Claim string `json:"claim"`
}

// claimStatus is a holder's word on one of its claims.
type claimStatus string

const (
	// statusRunning means that the request runs, or is about to.
	statusRunning claimStatus = "running"
	// statusAbandoned means that it was not and never will be sent.
	statusAbandoned claimStatus = "abandoned"
	// statusForgotten means that the outcome is on record or lost.
	statusForgotten claimStatus = "forgotten"
)

type statusResult struct {
	Status claimStatus `json:"status"`
}

func (c *Claims) handleStatus(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	var params statusParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, fault.At(fault.StepClaim, "", err)
	}
	return statusResult{c.status(params.Claim)}, nil
}

func (c *Claims) status(id string) claimStatus {
	c.mu.Lock()
	claim := c.byID[id]
	c.mu.Unlock()
	switch {
	case claim == nil:
		return statusForgotten
	case claim.stage.Load() == stageAbandoned:
		return statusAbandoned
	default:
		return statusRunning
	}
}
