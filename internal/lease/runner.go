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
	// loadPoll is the time between looks at a version being loaded.
	loadPoll = 500 * time.Millisecond
	// KeepInterval is the time between the looks of Runner.Keep.
	KeepInterval = OrderTimeout
)

// attemptPolicy spaces attempts at a target that does not answer.
var attemptPolicy = backoff.Policy{Base: 100 * time.Millisecond, Max: 2 * time.Second}

// Runner brings targets into wanted states under a lease.
type Runner struct {
	clock clockwork.Clock
	rand  *rand.Rand
}

// NewRunner returns a runner; nil arguments mean the real clock and a seed of
// the runtime's. It is used by one goroutine at a time.
func NewRunner(clock clockwork.Clock, random *rand.Rand) *Runner {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Runner{clock: clock, rand: random}
}

// Ensure brings a target into the wanted state, and returns once the target has
// told that it is. It gives up with ErrLapsed, ErrFenced or when ctx ends; an
// order given before may then still have its effect.
func (r *Runner) Ensure(ctx context.Context, l *Lease, target Target, want Want) (State, error) {
	if err := backoff.Sleep(ctx, r.clock, r.clock.Until(l.ActAfter())); err != nil {
		return State{}, fault.At(fault.StepLoad, "", err)
	}
	order := Order{ID: uuid.NewString(), Fence: l.Fence(), Kind: want.Kind, Version: want.Version, Role: want.Role}
	waits := backoff.New(attemptPolicy, r.rand)
	for {
		state, done, err := r.step(ctx, l, target, want, order)
		if done || err != nil {
			return state, fault.At(fault.StepLoad, "", err)
		}
		pause := waits.Next()
		if want.underWay(state) {
			waits.Reset()
			pause = loadPoll
		}
		if err := backoff.Sleep(ctx, r.clock, pause); err != nil {
			return state, fault.At(fault.StepLoad, "", err)
		}
	}
}

// step reads the state back and gives the order if the state asks for it. The
// order keeps its id, so that one whose answer was lost has no second effect.
// An error is final; a target that does not answer is no error.
func (r *Runner) step(ctx context.Context, l *Lease, target Target, want Want, order Order) (State, bool, error) {
	if err := l.Check(); err != nil {
		return State{}, false, err
	}
	state, err := r.state(ctx, target)
	if err != nil || want.underWay(state) {
		return state, false, nil
	}
	if want.met(state) {
		return state, true, nil
	}
	// The read may have taken long.
	if err := l.Check(); err != nil {
		return state, false, err
	}
	state, err = r.order(ctx, target, order)
	if errors.Is(err, ErrFenced) {
		return state, false, err
	}
	if err != nil {
		return State{}, false, nil
	}
	// The answer to a drain is all that can be known of it.
	return state, want.Kind == KindDrain || want.met(state), nil
}

func (r *Runner) state(ctx context.Context, target Target) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return target.State(ctx)
}

func (r *Runner) order(ctx context.Context, target Target, order Order) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return target.Order(ctx, order)
}

// Keep brings a target into the wanted state and looks at it again every
// KeepInterval, until ctx or the lease ends. A predecessor that was paused
// just before it sent may reach the target at any later time; where the target
// does not refuse that for its old fencing number, the next look repairs it.
// A drain is given once, since it cannot be seen.
func (r *Runner) Keep(ctx context.Context, l *Lease, target Target, want Want) error {
	for {
		if _, err := r.Ensure(ctx, l, target, want); err != nil {
			return err
		}
		if want.Kind == KindDrain {
			return nil
		}
		if err := backoff.Sleep(ctx, r.clock, KeepInterval); err != nil {
			return fault.At(fault.StepLoad, "", err)
		}
	}
}
