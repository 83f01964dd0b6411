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
	cluster := newTestCluster(t, 7)
	cluster.mustApply(0, 0, "first")
	remote := 0
	for i, a := range cluster.replicas {
		if i%3 != 0 && a.Current().Version == 1 {
			remote++
		}
	}
	assert.Check(t, remote >= requiredReplicas, "%d replicas in other failure domains", remote)
	assert.Equal(t, cluster.replicas[0].Current().Routes[0].Name, "first")
	assert.Check(t, cluster.replicas[0].Current().Hash != "")
}

func TestOfRacingOperatorsOneWins(t *testing.T) {
	cluster := newTestCluster(t, 4)
	var accepted, conflicts atomic.Int64
	var wg conc.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			_, err := NewStore(cluster.replicas[i]).Apply(context.Background(), 0, testTables(testMember(i).Name))
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
	cluster := newTestCluster(t, 3)
	cluster.setTableFault(failOnce("commit", platform.ErrOutcomeUnknown))
	cluster.mustApply(0, 0, "first")
	writes, _ := cluster.memory.Counts()
	assert.Equal(t, writes, 2, "head and body rows are written once each")
}

// failOnce returns a fault that makes the first such operation fail.
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

// requestLosingTable loses the first commit before it takes effect, and then
// calls afterLoss.
type requestLosingTable struct {
	platform.TableService
	afterLoss   func()
	requestLost bool
}

func (r *requestLosingTable) Commit(ctx context.Context, writes []platform.Write) error {
	if r.requestLost {
		return r.TableService.Commit(ctx, writes)
	}
	r.requestLost = true
	r.afterLoss()
	return platform.ErrOutcomeUnknown
}

func TestLostWriteIsRepeated(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.replicas[0].table = &requestLosingTable{TableService: cluster.memory, afterLoss: func() {}}
	cluster.mustApply(0, 0, "first")
}

func TestLostWriteThatAnotherOvertookIsAConflict(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.replicas[0].table = &requestLosingTable{TableService: cluster.memory, afterLoss: func() { cluster.mustApply(1, 0, "other") }}
	_, err := NewStore(cluster.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrConflict), "%v", err)
	assert.Equal(t, cluster.replicas[1].Current().Routes[0].Name, "other")
}

// responseLosingTable loses the response of the first commit and calls
// beforeReadBack before the outcome can be read back.
type responseLosingTable struct {
	platform.TableService
	beforeReadBack func()
	responseLost   bool
}

func (r *responseLosingTable) Commit(ctx context.Context, writes []platform.Write) error {
	err := r.TableService.Commit(ctx, writes)
	if r.responseLost {
		return err
	}
	r.responseLost = true
	r.beforeReadBack()
	return platform.ErrOutcomeUnknown
}

func TestLostAnswerIsSettledAlthoughOthersAppliedSince(t *testing.T) {
	for _, laterApplies := range []uint64{1, 3, historyLength} {
		cluster := newTestCluster(t, 3)
		cluster.replicas[0].table = &responseLosingTable{TableService: cluster.memory, beforeReadBack: func() {
			for i := range laterApplies {
				cluster.mustApply(1, i+1, "other")
			}
		}}
		version, err := NewStore(cluster.replicas[0]).Apply(context.Background(), 0, testTables("first"))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(1))
		assert.Equal(t, cluster.replicas[0].Current().Version >= 1, true)
	}
}

func TestApplyWhileTheTableIsDownChangesNothing(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.failTable()
	_, err := NewStore(cluster.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)

	cluster.setTableFault(failOnce("commit", platform.ErrUnavailable))
	_, err = NewStore(cluster.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)
	cluster.mustApply(0, 0, "second")
}

func TestTableThatStaysDownAfterALostAnswerLeavesTheOutcomeOpen(t *testing.T) {
	cluster := newTestCluster(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	committed := false
	cluster.setTableFault(func(operation string) error {
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
	_, err := NewStore(cluster.replicas[0]).Apply(ctx, 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)

	cluster.setTableFault(nil)
	cluster.mustApply(0, 0, "first")
	assert.Equal(t, cluster.replicas[0].Current().Version, uint64(1), "a repeated apply confirms the first")
}

func TestWrittenButUnconfirmedApplyIsUnknownUntilConfirmed(t *testing.T) {
	cluster := newTestCluster(t, 5)
	cluster.isolate(0)
	version, err := NewStore(cluster.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	assert.Equal(t, version, uint64(1))
	cluster.reconnect()
	cluster.mustApply(0, 0, "first")
}

func TestOneReplicaIsTooFew(t *testing.T) {
	cluster := newTestCluster(t, 4)
	cluster.isolate(2, 3)
	_, err := NewStore(cluster.replicas[0]).Apply(context.Background(), 0, testTables("first"))
	assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	assert.Equal(t, cluster.replicas[1].Current().Version, uint64(1))
}

func TestLocalPeersCountOnlyIfRemoteDomainsAreTooFew(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.mustApply(0, 0, "alone")

	self := testMember(0)
	peers := instances(1, 3, 6)
	confirmations := newConfirmationCount(self, peers)
	confirmations.add(testMember(3).PeerAddress)
	confirmations.add(testMember(6).PeerAddress)
	assert.Check(t, !confirmations.complete(), "the confirmation from another failure domain is missing")
	confirmations.add(testMember(1).PeerAddress)
	assert.Check(t, confirmations.complete())
}

func TestInstanceWithoutMajorityAcceptsNothing(t *testing.T) {
	cluster := newTestCluster(t, 5)
	cluster.memberships[0].setReach(2, 5)
	_, err := cluster.applyWithAdvancingClock(context.Background())
	assert.Check(t, errors.Is(err, ErrUnavailable), "%v", err)
	assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%v", err)
	writes, _ := cluster.memory.Counts()
	assert.Equal(t, writes, 0)
}

func TestApplyWaitsUntilJoined(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.memberships[0].reach = membership.Reach{Live: 1, Known: 1}
	cluster.wg.Go(func() {
		if cluster.clock.BlockUntilContext(context.Background(), 1) == nil {
			cluster.memberships[0].setReach(3, 3)
			cluster.clock.Advance(majorityPollInterval)
		}
	})
	cluster.mustApply(0, 0, "first")
}

func TestHashCoversContentOnly(t *testing.T) {
	a, b := testTables("x"), testTables("x")
	b.Version, b.Hash = 7, "other"
	assert.Equal(t, contentHash(&a), contentHash(&b))
	b.Pools = append(b.Pools, tables.Pool{Name: "more"})
	assert.Check(t, contentHash(&a) != contentHash(&b))
}
