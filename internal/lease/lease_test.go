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

// fixture is two managers with one table.
type fixture struct {
	clock  *clockwork.FakeClock
	memory *platform.Memory
	a, b   *Manager
	// fail, when set, is what the next commit returns.
	fail error
	down bool
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), memory: platform.NewMemory()}
	f.memory.InjectFault = func(_ context.Context, operation string) error {
		if f.down {
			return platform.ErrUnavailable
		}
		if operation != "commit" {
			return nil
		}
		err := f.fail
		f.fail = nil
		return err
	}
	f.a = NewManager(Options{Table: f.memory, Holder: "a", Clock: f.clock})
	f.b = NewManager(Options{Table: f.memory, Holder: "b", Clock: f.clock})
	return f
}

func mustAcquire(t *testing.T, m *Manager) *Lease {
	t.Helper()
	l, err := m.Acquire(context.Background(), "duty")
	assert.NilError(t, err)
	return l
}

// takeOver lets b watch the row for a term and take it.
func (f *fixture) takeOver(t *testing.T) *Lease {
	t.Helper()
	_, err := f.b.Acquire(context.Background(), "duty")
	assert.Check(t, errors.Is(err, ErrHeld), "%v", err)
	f.clock.Advance(Term)
	return mustAcquire(t, f.b)
}

func TestOneHolderAtATimeWithRisingFence(t *testing.T) {
	f := newFixture()
	first := mustAcquire(t, f.a)
	assert.Equal(t, first.Fence(), uint64(1))
	second := f.takeOver(t)
	assert.Equal(t, second.Fence(), uint64(2))
	assert.Check(t, errors.Is(first.Check(), ErrLapsed))
	assert.Check(t, errors.Is(first.Renew(context.Background()), ErrLapsed))
	assert.Equal(t, second.ActAfter().Sub(f.clock.Now()), OrderTimeout)
}

func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	for range 10 {
		_, err := f.b.Acquire(context.Background(), "duty")
		var held *HeldError
		assert.Check(t, errors.As(err, &held) && held.Holder == "a", "%v", err)
		f.clock.Advance(RenewEvery)
		assert.NilError(t, l.Renew(context.Background()))
	}
	assert.NilError(t, l.Check())
	assert.Equal(t, l.Fence(), uint64(1))
}

func TestPausedHolderFindsItsLeaseLapsedBeforeASuccessorCanHaveIt(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	_, err := f.b.Acquire(context.Background(), "duty")
	assert.Check(t, errors.Is(err, ErrHeld))
	f.clock.Advance(Term - margin)
	assert.Check(t, errors.Is(l.Check(), ErrLapsed))
	_, err = f.b.Acquire(context.Background(), "duty")
	assert.Check(t, errors.Is(err, ErrHeld))
}

func TestReleasedLeaseIsFreeAtOnce(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	assert.NilError(t, l.Release(context.Background()))
	assert.Check(t, errors.Is(l.Check(), ErrLapsed))
	next := mustAcquire(t, f.b)
	assert.Equal(t, next.Fence(), uint64(2))
	assert.Check(t, next.ActAfter().IsZero())
}

func TestLostAnswersOfLeaseWrites(t *testing.T) {
	f := newFixture()
	f.fail = platform.ErrOutcomeUnknown
	l := mustAcquire(t, f.a)
	f.clock.Advance(RenewEvery)
	f.fail = platform.ErrOutcomeUnknown
	assert.NilError(t, l.Renew(context.Background()))
	f.clock.Advance(Term - margin - time.Millisecond)
	assert.NilError(t, l.Check())
	assert.NilError(t, l.Renew(context.Background()))
}

func TestLeaseRunsOutWhileTheTableIsDown(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	f.down = true
	assert.Check(t, errors.Is(l.Renew(context.Background()), ErrUnavailable))
	assert.NilError(t, l.Check(), "the term runs on")
	f.clock.Advance(Term)
	assert.Check(t, errors.Is(l.Check(), ErrLapsed))
	_, err := f.b.Acquire(context.Background(), "duty")
	assert.Check(t, errors.Is(err, ErrUnavailable))
}

// lateTable makes one commit seem lost and lets it arrive only with the next.
type lateTable struct {
	platform.TableService
	late []platform.Write
	arm  bool
}

func (l *lateTable) Commit(ctx context.Context, writes []platform.Write) error {
	if l.arm {
		l.arm, l.late = false, writes
		return platform.ErrOutcomeUnknown
	}
	if l.late != nil {
		late := l.late
		l.late = nil
		if err := l.TableService.Commit(ctx, late); err != nil {
			return err
		}
	}
	return l.TableService.Commit(ctx, writes)
}

func TestRenewalThatArrivesLateDoesNotLoseTheLease(t *testing.T) {
	f := newFixture()
	late := &lateTable{TableService: f.memory}
	f.a.table = late
	l := mustAcquire(t, f.a)
	late.arm = true
	assert.Check(t, errors.Is(l.Renew(context.Background()), platform.ErrOutcomeUnknown))
	err := l.Renew(context.Background())
	assert.Check(t, errors.Is(err, platform.ErrOutcomeUnknown), "%v", err)
	assert.NilError(t, l.Check())
	assert.NilError(t, l.Renew(context.Background()))
}

func TestLostAcquisitionIsNotHeld(t *testing.T) {
	f := newFixture()
	late := &lateTable{TableService: f.memory, arm: true}
	f.a.table = late
	_, err := f.a.Acquire(context.Background(), "duty")
	assert.Check(t, errors.Is(err, platform.ErrOutcomeUnknown), "%v", err)
	assert.NilError(t, f.memory.Commit(context.Background(), late.late))
	_, err = f.b.Acquire(context.Background(), "duty")
	assert.Check(t, errors.Is(err, ErrHeld))
	f.clock.Advance(Term)
	assert.Equal(t, mustAcquire(t, f.b).Fence(), uint64(2))
}
