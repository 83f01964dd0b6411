package configuration

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

func TestAcceptedConfigurationIsHeldInOtherFailureDomains(t *testing.T) {
	f := newFleet(t, 7)
	f.mustApply(0, 0, "first")
	foreign := 0
	for i, a := range f.all {
		if i%3 != 0 && a.Current().Version == 1 {
			foreign++
		}
	}
	assert.Check(t, foreign >= requiredHolders, "%d", foreign)
	assert.Equal(t, f.all[0].Current().Routes[0].Name, "first")
	assert.Check(t, f.all[0].Current().Hash != "")
}

func TestOfRacingOperatorsOneWins(t *testing.T) {
	f := newFleet(t, 4)
	var won, lost atomic.Int64
	var wg conc.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			_, err := NewStore(f.all[i]).Apply(context.Background(), 0, sample(instance(i).Name))
			var clash *ConflictError
			switch {
			case err == nil:
				won.Add(1)
			case errors.As(err, &clash) && errors.Is(err, ErrConflict):
				lost.Add(1)
				assert.Check(t, clash.Current == 1)
			default:
				assert.Check(t, err)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, won.Load(), int64(1))
	assert.Equal(t, lost.Load(), int64(3))
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	f := newFleet(t, 3)
	f.setFault(once("commit", platform.ErrOutcomeUnknown))
	f.mustApply(0, 0, "first")
	writes, _ := f.memory.Counts()
	assert.Equal(t, writes, 2, "head and body once")
}

// once makes the first such operation fail.
func once(operation string, err error) func(string) error {
	failed := false
	return func(o string) error {
		if o != operation || failed {
			return nil
		}
		failed = true
		return err
	}
}

// lossyTable loses commits before they take effect, and then runs between.
type lossyTable struct {
	platform.TableService
	between func()
	lost    bool
}

func (l *lossyTable) Commit(ctx context.Context, writes []platform.Write) error {
	if l.lost {
		return l.TableService.Commit(ctx, writes)
	}
	l.lost = true
	l.between()
	return platform.ErrOutcomeUnknown
}

func TestLostWriteIsRepeated(t *testing.T) {
	f := newFleet(t, 3)
	f.all[0].table = &lossyTable{TableService: f.memory, between: func() {}}
	f.mustApply(0, 0, "first")
}

func TestLostWriteThatAnotherOvertookIsAConflict(t *testing.T) {
	f := newFleet(t, 3)
	f.all[0].table = &lossyTable{TableService: f.memory, between: func() { f.mustApply(1, 0, "other") }}
	_, err := NewStore(f.all[0]).Apply(context.Background(), 0, sample("first"))
	assert.Check(t, errors.Is(err, ErrConflict), "%v", err)
	assert.Equal(t, f.all[1].Current().Routes[0].Name, "other")
}

// overtakenTable loses the answer of a commit and lets others apply before it
// is read back.
type overtakenTable struct {
	platform.TableService
	after func()
	done  bool
}

func (o *overtakenTable) Commit(ctx context.Context, writes []platform.Write) error {
	err := o.TableService.Commit(ctx, writes)
	if o.done {
		return err
	}
	o.done = true
	o.after()
	return platform.ErrOutcomeUnknown
}

func TestLostAnswerIsSettledAlthoughOthersAppliedSince(t *testing.T) {
	for _, since := range []uint64{1, 3, historyLength} {
		f := newFleet(t, 3)
		f.all[0].table = &overtakenTable{TableService: f.memory, after: func() {
			for i := range since {
				f.mustApply(1, i+1, "other")
			}
		}}
		version, err := NewStore(f.all[0]).Apply(context.Background(), 0, sample("first"))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(1))
		assert.Equal(t, f.all[0].Current().Version >= 1, true)
	}
}

func TestApplyWhileTheTableIsDownChangesNothing(t *testing.T) {
	f := newFleet(t, 3)
	f.tableDown()
	_, err := NewStore(f.all[0]).Apply(context.Background(), 0, sample("first"))
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)

	f.setFault(once("commit", platform.ErrUnavailable))
	_, err = NewStore(f.all[0]).Apply(context.Background(), 0, sample("first"))
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)
	f.mustApply(0, 0, "second")
}

func TestTableThatStaysDownAfterALostAnswerLeavesTheOutcomeOpen(t *testing.T) {
	f := newFleet(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	committed := false
	f.setFault(func(operation string) error {
		switch {
		case operation == "commit":
			committed = true
			return platform.ErrOutcomeUnknown
		case committed:
			cancel()
			return platform.ErrUnavailable
		}
		return nil
	})
	_, err := NewStore(f.all[0]).Apply(ctx, 0, sample("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)

	f.setFault(nil)
	f.mustApply(0, 0, "first")
	assert.Equal(t, f.all[0].Current().Version, uint64(1), "the same apply again confirms")
}

func TestWrittenButUnconfirmedIsUnknownUntilConfirmed(t *testing.T) {
	f := newFleet(t, 5)
	f.silence(0)
	version, err := NewStore(f.all[0]).Apply(context.Background(), 0, sample("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	assert.Equal(t, version, uint64(1))
	f.heal()
	f.mustApply(0, 0, "first")
}

func TestOneHolderIsTooFew(t *testing.T) {
	f := newFleet(t, 4)
	f.silence(2, 3)
	_, err := NewStore(f.all[0]).Apply(context.Background(), 0, sample("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	assert.Equal(t, f.all[1].Current().Version, uint64(1))
}

func TestPeersOfTheOwnDomainCountOnlyWhereOthersLack(t *testing.T) {
	f := newFleet(t, 1)
	f.mustApply(0, 0, "alone")

	self := instance(0)
	others := shuffledInstances(1, 3, 6)
	count := newHolderCount(self, others)
	count.add(instance(3).PeerAddress)
	count.add(instance(6).PeerAddress)
	assert.Check(t, !count.enough(), "the peer in another domain is missing")
	count.add(instance(1).PeerAddress)
	assert.Check(t, count.enough())
}

func TestInstanceWithoutMajorityAcceptsNothing(t *testing.T) {
	f := newFleet(t, 5)
	f.members[0].inContact(2, 5)
	_, err := f.applyWhileTimePasses(context.Background())
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)
	assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%v", err)
	writes, _ := f.memory.Counts()
	assert.Equal(t, writes, 0)
}

func TestInstanceThatHasNotJoinedYetWaits(t *testing.T) {
	f := newFleet(t, 3)
	f.members[0].reach = membership.Reach{Live: 1, Known: 1}
	f.wg.Go(func() {
		if f.clock.BlockUntilContext(context.Background(), 1) == nil {
			f.members[0].inContact(3, 3)
			f.clock.Advance(contactPoll)
		}
	})
	f.mustApply(0, 0, "first")
}

func TestHashCoversContentOnly(t *testing.T) {
	a, b := sample("x"), sample("x")
	b.Version, b.Hash = 7, "other"
	assert.Equal(t, contentHash(&a), contentHash(&b))
	b.Pools = append(b.Pools, tables.Pool{Name: "more"})
	assert.Check(t, contentHash(&a) != contentHash(&b))
}
