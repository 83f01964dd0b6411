package lease

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// testManagers is two managers that share one table.
type testManagers struct {
	clock  *clockwork.FakeClock
	memory *platform.Memory
	a, b   *Manager
	// nextCommitError, if set, is returned by the next commit.
	nextCommitError error
	unavailable     bool
}

func newTestManagers() *testManagers {
	managers := &testManagers{clock: clockwork.NewFakeClock(), memory: platform.NewMemory()}
	managers.memory.InjectFault = func(_ context.Context, operation string) error {
		if managers.unavailable {
			return platform.ErrUnavailable
		}
		if operation != "commit" {
			return nil
		}
		err := managers.nextCommitError
		managers.nextCommitError = nil
		return err
	}
	managers.a = NewManager(Options{Table: managers.memory, Holder: "a", Clock: managers.clock})
	managers.b = NewManager(Options{Table: managers.memory, Holder: "b", Clock: managers.clock})
	return managers
}

func mustAcquire(t *testing.T, m *Manager) *Lease {
	t.Helper()
	l, err := m.Acquire(context.Background(), "task")
	assert.NilError(t, err)
	return l
}

// failOver lets manager b observe the row for a term and acquire the lease.
func (m *testManagers) failOver(t *testing.T) *Lease {
	t.Helper()
	_, err := m.b.Acquire(context.Background(), "task")
	assert.Check(t, errors.Is(err, ErrHeld), "%v", err)
	m.clock.Advance(Term)
	return mustAcquire(t, m.b)
}

func TestFailoverIncreasesFencingToken(t *testing.T) {
	managers := newTestManagers()
	first := mustAcquire(t, managers.a)
	assert.Equal(t, first.FencingToken(), uint64(1))
	second := managers.failOver(t)
	assert.Equal(t, second.FencingToken(), uint64(2))
	assert.Check(t, errors.Is(first.Check(), ErrExpired))
	assert.Check(t, errors.Is(first.Renew(context.Background()), ErrExpired))
	assert.Equal(t, second.ActAfter().Sub(managers.clock.Now()), OrderTimeout)
}

func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	for range 10 {
		_, err := managers.b.Acquire(context.Background(), "task")
		var held *HeldError
		assert.Check(t, errors.As(err, &held) && held.Holder == "a", "%v", err)
		managers.clock.Advance(RenewInterval)
		assert.NilError(t, l.Renew(context.Background()))
	}
	assert.NilError(t, l.Check())
	assert.Equal(t, l.FencingToken(), uint64(1))
}

func TestLeaseExpiresForHolderBeforeSuccessorCanAcquireIt(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	_, err := managers.b.Acquire(context.Background(), "task")
	assert.Check(t, errors.Is(err, ErrHeld))
	managers.clock.Advance(Term - safetyMargin)
	assert.Check(t, errors.Is(l.Check(), ErrExpired))
	_, err = managers.b.Acquire(context.Background(), "task")
	assert.Check(t, errors.Is(err, ErrHeld))
}

func TestReleasedLeaseCanBeAcquiredAtOnce(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	assert.NilError(t, l.Release(context.Background()))
	assert.Check(t, errors.Is(l.Check(), ErrExpired))
	next := mustAcquire(t, managers.b)
	assert.Equal(t, next.FencingToken(), uint64(2))
	assert.Check(t, next.ActAfter().IsZero())
}

func TestLostResponsesOfLeaseWritesAreResolved(t *testing.T) {
	managers := newTestManagers()
	managers.nextCommitError = platform.ErrOutcomeUnknown
	l := mustAcquire(t, managers.a)
	managers.clock.Advance(RenewInterval)
	managers.nextCommitError = platform.ErrOutcomeUnknown
	assert.NilError(t, l.Renew(context.Background()))
	managers.clock.Advance(Term - safetyMargin - time.Millisecond)
	assert.NilError(t, l.Check())
	assert.NilError(t, l.Renew(context.Background()))
}

func TestLeaseRunsOutWhileTheTableIsDown(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	managers.unavailable = true
	assert.Check(t, errors.Is(l.Renew(context.Background()), ErrUnavailable))
	assert.NilError(t, l.Check(), "a failed renewal does not end the term")
	managers.clock.Advance(Term)
	assert.Check(t, errors.Is(l.Check(), ErrExpired))
	_, err := managers.b.Acquire(context.Background(), "task")
	assert.Check(t, errors.Is(err, ErrUnavailable))
}

// delayingTable reports an unknown outcome for one commit and executes it only
// before the next one.
type delayingTable struct {
	platform.TableService
	delayed   []platform.Write
	delayNext bool
}

func (l *delayingTable) Commit(ctx context.Context, writes []platform.Write) error {
	if l.delayNext {
		l.delayNext, l.delayed = false, writes
		return platform.ErrOutcomeUnknown
	}
	if l.delayed != nil {
		delayed := l.delayed
		l.delayed = nil
		if err := l.TableService.Commit(ctx, delayed); err != nil {
			return err
		}
	}
	return l.TableService.Commit(ctx, writes)
}

func TestDelayedRenewalDoesNotLoseTheLease(t *testing.T) {
	managers := newTestManagers()
	table := &delayingTable{TableService: managers.memory}
	managers.a.table = table
	l := mustAcquire(t, managers.a)
	table.delayNext = true
	assert.Check(t, errors.Is(l.Renew(context.Background()), platform.ErrOutcomeUnknown))
	err := l.Renew(context.Background())
	assert.Check(t, errors.Is(err, platform.ErrOutcomeUnknown), "%v", err)
	assert.NilError(t, l.Check())
	assert.NilError(t, l.Renew(context.Background()))
}

func TestAcquisitionWithUnknownOutcomeIsNotHeld(t *testing.T) {
	managers := newTestManagers()
	table := &delayingTable{TableService: managers.memory, delayNext: true}
	managers.a.table = table
	_, err := managers.a.Acquire(context.Background(), "task")
	assert.Check(t, errors.Is(err, platform.ErrOutcomeUnknown), "%v", err)
	assert.NilError(t, managers.memory.Commit(context.Background(), table.delayed))
	_, err = managers.b.Acquire(context.Background(), "task")
	assert.Check(t, errors.Is(err, ErrHeld))
	managers.clock.Advance(Term)
	assert.Equal(t, mustAcquire(t, managers.b).FencingToken(), uint64(2))
}
