package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// Bounds of carrying out orders.
const (
	// loadPollInterval is the time between looks at a version being loaded.
	loadPollInterval = 500 * time.Millisecond
	// MaintainInterval is the time between the looks of Runner.Keep.
	MaintainInterval = OrderTimeout
)

// retryPolicy spaces attempts at a target that does not answer.
var retryPolicy = backoff.Policy{Base: 100 * time.Millisecond, Max: 2 * time.Second}

// Reconciler brings targets into wanted states under a lease.
type Reconciler struct {
	clock clockwork.Clock
	rand  *rand.Rand
}

// NewReconciler returns a runner; nil arguments mean the real clock and a seed of
// the runtime's. It is used by one goroutine at a time.
func NewReconciler(clock clockwork.Clock, random *rand.Rand) *Reconciler {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Reconciler{clock: clock, rand: random}
}

// Ensure brings a target into the wanted state, and returns once the target has
// told that it is. It gives up with ErrLapsed, ErrFenced or when ctx ends; an
// order given before may then still have its effect.
func (r *Reconciler) Ensure(ctx context.Context, l *Lease, target Target, desired DesiredState) (TargetState, error) {
	if err := backoff.Wait(ctx, r.clock, r.clock.Until(l.ActAfter())); err != nil {
		return TargetState{}, fault.At(fault.StepLoad, "", err)
	}
	order := Order{ID: uuid.NewString(), FencingToken: l.FencingToken(), Kind: desired.Kind, Version: desired.Version, Role: desired.Role}
	waits := backoff.New(retryPolicy, r.rand)
	for {
		state, done, err := r.attempt(ctx, l, target, desired, order)
		if done || err != nil {
			return state, fault.At(fault.StepLoad, "", err)
		}
		pause := waits.Next()
		if desired.inProgress(state) {
			waits.Reset()
			pause = loadPollInterval
		}
		if err := backoff.Wait(ctx, r.clock, pause); err != nil {
			return state, fault.At(fault.StepLoad, "", err)
		}
	}
}

// attempt reads the state back and gives the order if the state asks for it. The
// order keeps its id, so that one whose answer was lost has no second effect.
// An error is final; a target that does not answer is no error.
func (r *Reconciler) attempt(ctx context.Context, l *Lease, target Target, desired DesiredState, order Order) (TargetState, bool, error) {
	if err := l.Check(); err != nil {
		return TargetState{}, false, err
	}
	state, err := r.readState(ctx, target)
	if err != nil || desired.inProgress(state) {
		return state, false, nil
	}
	if desired.satisfiedBy(state) {
		return state, true, nil
	}
	// The read may have taken long.
	if err := l.Check(); err != nil {
		return state, false, err
	}
	state, err = r.sendOrder(ctx, target, order)
	if errors.Is(err, ErrFenced) {
		return state, false, err
	}
	if err != nil {
		return TargetState{}, false, nil
	}
	// The answer to a drain is all that can be known of it.
	return state, desired.Kind == KindDrain || desired.satisfiedBy(state), nil
}

func (r *Reconciler) readState(ctx context.Context, target Target) (TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return target.ReadState(ctx)
}

func (r *Reconciler) sendOrder(ctx context.Context, target Target, order Order) (TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return target.SendOrder(ctx, order)
}

// Maintain brings a target into the wanted state and looks at it again every
// KeepInterval, until ctx or the lease ends. A predecessor that was paused
// just before it sent may reach the target at any later time; where the target
// does not refuse that for its old fencing number, the next look repairs it.
// A drain is given once, since it cannot be seen.
func (r *Reconciler) Maintain(ctx context.Context, l *Lease, target Target, desired DesiredState) error {
	for {
		if _, err := r.Ensure(ctx, l, target, desired); err != nil {
			return err
		}
		if desired.Kind == KindDrain {
			return nil
		}
		if err := backoff.Wait(ctx, r.clock, MaintainInterval); err != nil {
			return fault.At(fault.StepLoad, "", err)
		}
	}
}
