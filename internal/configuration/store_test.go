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

func TestAcceptedConfigurationIsReplicatedToOtherFailureDomains(t *testing.T) {
	f := newTestCluster(t, 7)
	f.mustApply(0, 0, "first")
	remote := 0
	for i, a := range f.replicas {
		if i%3 != 0 && a.Current().Version == 1 {
			remote++
		}
	}
	assert.Check(t, remote >= requiredReplicas, "%d", remote)
	assert.Equal(t, f.replicas[0].Current().Routes[0].Name, "first")
	assert.Check(t, f.replicas[0].Current().Hash != "")
}

func TestOfRacingOperatorsOneWins(t *testing.T) {
	f := newTestCluster(t, 4)
	var accepted, conflicts atomic.Int64
	var wg conc.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			_, err := NewStore(f.replicas[i]).Apply(context.Background(), 0, testTables(testMember(i).Name))
			var conflict *ConflictError
			switch {
			case err == nil:
				accepted.Add(1)
			case errors.As(err, &conflict) && errors.Is(err, ErrConflict):
				conflicts.Add(1)
				assert.Check(t, conflict.Current == 1)
			default:
				assert.Check(t, err)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, accepted.Load(), int64(1))
	assert.Equal(t, conflicts.Load(), int64(3))
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	f := newTestCluster(t, 3)
	f.setTableFault(failOnce("commit", platform.ErrOutcomeUnknown))
	f.mustApply(0, 0, "first")
	writes, _ := f.memory.Counts()
	assert.Equal(t, writes, 2, "head and body once")
}

// failOnce makes the first such operation fail.
func failOnce(operation string, err error) func(string) error {
	failed := false
	return func(current string) error {
		if current != operation || failed {
			return nil
		}
		failed = true
		return err
	}
}

// requestLosingTable loses commits before they take effect, and then runs between.
type requestLosingTable struct {
	platform.TableService
	afterLoss   func()
	requestLost bool
}

func (l *requestLosingTable) Commit(ctx context.Context, writes []platform.Write) error {
	if l.requestLost {
		return l.TableService.Commit(ctx, writes)
	}
	l.requestLost = true
	l.afterLoss()
	return platform.ErrOutcomeUnknown
}

func TestLostWriteIsRepeated(t *testing.T) {
	f := newTestCluster(t, 3)
	f.replicas[0].table = &requestLosingTable{TableService: f.memory, afterLoss: func() {}}
	f.mustApply(0, 0, "first")
}

func TestLostWriteThatAnotherOvertookIsAConflict(t *testing.T) {
	f := newTestCluster(t, 3)
	f.replicas[0].table = &requestLosingTable{TableService: f.memory, afterLoss: func() { f.mustApply(1, 0, "other") }}
	_, err := NewStore(f.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrConflict), "%v", err)
	assert.Equal(t, f.replicas[1].Current().Routes[0].Name, "other")
}

// responseLosingTable loses the answer of a commit and lets others apply before it
// is read back.
type responseLosingTable struct {
	platform.TableService
	beforeReadBack func()
	responseLost   bool
}

func (o *responseLosingTable) Commit(ctx context.Context, writes []platform.Write) error {
	err := o.TableService.Commit(ctx, writes)
	if o.responseLost {
		return err
	}
	o.responseLost = true
	o.beforeReadBack()
	return platform.ErrOutcomeUnknown
}

func TestLostAnswerIsSettledAlthoughOthersAppliedSince(t *testing.T) {
	for _, laterApplies := range []uint64{1, 3, historyLength} {
		f := newTestCluster(t, 3)
		f.replicas[0].table = &responseLosingTable{TableService: f.memory, beforeReadBack: func() {
			for i := range laterApplies {
				f.mustApply(1, i+1, "other")
			}
		}}
		version, err := NewStore(f.replicas[0]).Apply(context.Background(), 0, testTables("first"))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(1))
		assert.Equal(t, f.replicas[0].Current().Version >= 1, true)
	}
}

func TestApplyWhileTheTableIsDownChangesNothing(t *testing.T) {
	f := newTestCluster(t, 3)
	f.failTable()
	_, err := NewStore(f.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)

	f.setTableFault(failOnce("commit", platform.ErrUnavailable))
	_, err = NewStore(f.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)
	f.mustApply(0, 0, "second")
}

func TestTableThatStaysDownAfterALostAnswerLeavesTheOutcomeOpen(t *testing.T) {
	f := newTestCluster(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	committed := false
	f.setTableFault(func(operation string) error {
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
	_, err := NewStore(f.replicas[0]).Apply(ctx, 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)

	f.setTableFault(nil)
	f.mustApply(0, 0, "first")
	assert.Equal(t, f.replicas[0].Current().Version, uint64(1), "the same apply again confirms")
}

func TestWrittenButUnconfirmedApplyIsUnknownUntilConfirmed(t *testing.T) {
	f := newTestCluster(t, 5)
	f.isolate(0)
	version, err := NewStore(f.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	assert.Equal(t, version, uint64(1))
	f.reconnect()
	f.mustApply(0, 0, "first")
}

func TestOneReplicaIsTooFew(t *testing.T) {
	f := newTestCluster(t, 4)
	f.isolate(2, 3)
	_, err := NewStore(f.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	assert.Equal(t, f.replicas[1].Current().Version, uint64(1))
}

func TestLocalPeersCountOnlyIfRemoteDomainsAreTooFew(t *testing.T) {
	f := newTestCluster(t, 1)
	f.mustApply(0, 0, "alone")

	self := testMember(0)
	peers := instances(1, 3, 6)
	confirmations := newConfirmationCount(self, peers)
	confirmations.add(testMember(3).PeerAddress)
	confirmations.add(testMember(6).PeerAddress)
	assert.Check(t, !confirmations.complete(), "the peer in another domain is missing")
	confirmations.add(testMember(1).PeerAddress)
	assert.Check(t, confirmations.complete())
}

func TestInstanceWithoutMajorityAcceptsNothing(t *testing.T) {
	f := newTestCluster(t, 5)
	f.memberships[0].setReach(2, 5)
	_, err := f.applyWithAdvancingClock(context.Background())
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)
	assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%v", err)
	writes, _ := f.memory.Counts()
	assert.Equal(t, writes, 0)
}

func TestApplyWaitsUntilJoined(t *testing.T) {
	f := newTestCluster(t, 3)
	f.memberships[0].reach = membership.Reach{Live: 1, Known: 1}
	f.wg.Go(func() {
		if f.clock.BlockUntilContext(context.Background(), 1) == nil {
			f.memberships[0].setReach(3, 3)
			f.clock.Advance(majorityPollInterval)
		}
	})
	f.mustApply(0, 0, "first")
}

func TestHashCoversContentOnly(t *testing.T) {
	a, b := testTables("x"), testTables("x")
	b.Version, b.Hash = 7, "other"
	assert.Equal(t, contentHash(&a), contentHash(&b))
	b.Pools = append(b.Pools, tables.Pool{Name: "more"})
	assert.Check(t, contentHash(&a) != contentHash(&b))
}
