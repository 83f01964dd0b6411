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

// Intervals of a reconciler.
const (
	// loadPollInterval is the time between reads of the state while a version
	// is being loaded.
	loadPollInterval = 500 * time.Millisecond
	// MaintainInterval is the time between the checks of Reconciler.Maintain.
	MaintainInterval = OrderTimeout
)

// retryPolicy is the backoff between attempts at a target that does not respond
// or has not reached the desired state.
var retryPolicy = backoff.Policy{Base: 100 * time.Millisecond, Max: 2 * time.Second}

// Reconciler brings targets into desired states under a lease.
type Reconciler struct {
	clock clockwork.Clock
	rand  *rand.Rand
}

// NewReconciler returns a reconciler. Nil arguments stand for the real clock
// and a randomly seeded source. A Reconciler is not safe for concurrent use.
func NewReconciler(clock clockwork.Clock, random *rand.Rand) *Reconciler {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Reconciler{clock: clock, rand: random}
}

// Ensure brings a target into the desired state, and returns once the target
// has reported it; for a drain, once the target has responded to the order. It
// fails with ErrExpired, ErrFenced or the error of ctx. An order that was sent
// before may then still take effect.
func (r *Reconciler) Ensure(ctx context.Context, l *Lease, target Target, desired DesiredState) (TargetState, error) {
	if err := backoff.Sleep(ctx, r.clock, r.clock.Until(l.ActAfter())); err != nil {
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
		if err := backoff.Sleep(ctx, r.clock, pause); err != nil {
			return state, fault.At(fault.StepLoad, "", err)
		}
	}
}

// attempt reads the state and sends the order if the target is not in the
// desired state. The order keeps its id, so that repeating one whose response
// was lost has no further effect. An error is final; a target that does not
// respond is not an error.
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
	// The lease may have expired during the read.
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
	// The response to a drain is the only evidence of its effect.
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

// Maintain brings a target into the desired state and checks it again every
// MaintainInterval, until ctx or the lease ends. A predecessor that was paused
// just before it sent an order may reach the target at any later time. If the
// target does not reject the order for its fencing token, the next check
// repairs the state. A drain is sent only until the target responds, since its
// effect cannot be observed.
func (r *Reconciler) Maintain(ctx context.Context, l *Lease, target Target, desired DesiredState) error {
	for {
		if _, err := r.Ensure(ctx, l, target, desired); err != nil {
			return err
		}
		if desired.Kind == KindDrain {
			return nil
		}
		if err := backoff.Sleep(ctx, r.clock, MaintainInterval); err != nil {
			return fault.At(fault.StepLoad, "", err)
		}
	}
}
