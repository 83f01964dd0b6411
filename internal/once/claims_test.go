package once

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

var (
	testKey  = Key{Account: "acme", Key: "k1"}
	testHash = HashRequest("POST", "/subscriptions/cancel", []byte("7"))
)

// claimAttempt is the result of one attempt.
type claimAttempt struct {
	result ClaimResult
	err    error
}

func (n *node) requestClaim(key Key, hash RequestHash, timeout time.Duration) claimAttempt {
	deadline := time.Now().Add(timeout)
	result, err := n.claims.Claim(n.cluster.t.Context(), key, hash, "handle-"+n.member.Name, deadline)
	return claimAttempt{result, err}
}

func assertRefusal(t *testing.T, err error, run fault.ExecutionState) {
	t.Helper()
	refusal, ok := fault.AsRefusal(err)
	assert.Assert(t, ok, "want a refusal, got %v", err)
	assert.Equal(t, refusal.Execution, run, refusal.Reason)
}

func storedAnswer(text string) *answer.Snapshot {
	return &answer.Snapshot{Head: answer.Head{Status: 200}, Chunks: [][]byte{[]byte(text)}}
}

func TestClaimIsGrantedOnce(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		a := cluster.nodes[0]

		first := a.requestClaim(testKey, testHash, time.Second)
		assert.NilError(t, first.err)
		assert.Equal(t, first.result.Kind, ClaimGranted)
		assert.NilError(t, first.result.Claim.Dispatch())

		for _, n := range cluster.nodes {
			joined := n.requestClaim(testKey, testHash, time.Second)
			assert.NilError(t, joined.err)
			assert.Equal(t, joined.result.Kind, ClaimJoin)
			assert.Equal(t, joined.result.Instance.Name, "a")
			assert.Equal(t, joined.result.Handle, "handle-a")
			other := n.requestClaim(testKey, HashRequest("POST", "/x", nil), time.Second)
			assertRefusal(t, other.err, fault.NotRun)
		}

		assert.NilError(t, first.result.Claim.Complete(t.Context(), storedAnswer("done")))
		for _, n := range cluster.nodes {
			stored := n.requestClaim(testKey, testHash, time.Second)
			assert.NilError(t, stored.err)
			assert.Equal(t, stored.result.Kind, ClaimStored)
			assert.Equal(t, string(stored.result.Stored.Chunks[0]), "done")
		}
	})
}

func TestLargeAnswerIsStoredInObjectStore(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		granted := cluster.nodes[0].requestClaim(testKey, testHash, time.Second)
		assert.NilError(t, granted.result.Claim.Dispatch())
		text := string(make([]byte, 2*DefaultMaxInlineBytes))

		assert.NilError(t, granted.result.Claim.Complete(t.Context(), storedAnswer(text)))

		row, err := cluster.table.Get(t.Context(), claimKey(testKey))
		assert.NilError(t, err)
		assert.Assert(t, len(row.Value) < 1000)
		stored := cluster.nodes[1].requestClaim(testKey, testHash, time.Second)
		assert.Equal(t, string(stored.result.Stored.Chunks[0]), text)
	})
}

func TestHolderDiedMeansUnknown(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		granted := cluster.nodes[0].requestClaim(testKey, testHash, time.Second)
		assert.NilError(t, granted.err)
		cluster.crashNode(cluster.nodes[0])
		for _, n := range cluster.nodes[1:] {
			assertRefusal(t, n.requestClaim(testKey, testHash, time.Second).err, fault.ExecutionUnknown)
		}
	})
}

func TestPausedHolderDoesNotSendLate(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		granted := cluster.nodes[0].requestClaim(testKey, testHash, time.Second)
		time.Sleep(time.Second) // a pause between the grant and Dispatch

		assertRefusal(t, granted.result.Claim.Dispatch(), fault.NotRun)

		again := cluster.nodes[1].requestClaim(testKey, testHash, time.Second)
		assert.NilError(t, again.err)
		assert.Equal(t, again.result.Kind, ClaimGranted)
		assertRefusal(t, granted.result.Claim.Dispatch(), fault.NotRun)
	})
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		cluster.setFault(func(operation string) error {
			if operation == "commit" {
				return platform.ErrOutcomeUnknown
			}
			return nil
		})
		granted := cluster.nodes[0].requestClaim(testKey, testHash, 5*time.Second)
		assert.NilError(t, granted.err)
		assert.Equal(t, granted.result.Kind, ClaimGranted)
		joined := cluster.nodes[1].requestClaim(testKey, testHash, 5*time.Second)
		assert.Equal(t, joined.result.Kind, ClaimJoin)
	})
}

func TestTableDownRefusesNotRunAtTheDeadline(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		cluster.setFault(tableDown)
		refused := cluster.nodes[0].requestClaim(testKey, testHash, time.Second)
		assertRefusal(t, refused.err, fault.NotRun)
		cluster.setFault(nil)
		granted := cluster.nodes[1].requestClaim(testKey, testHash, time.Second)
		assert.Equal(t, granted.result.Kind, ClaimGranted)
	})
}

func TestClaimWrittenButUnreadableIsGivenBack(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		cluster.setFault(func(operation string) error {
			if operation == "commit" {
				return platform.ErrOutcomeUnknown
			}
			return platform.ErrUnavailable
		})
		refused := cluster.nodes[0].requestClaim(testKey, testHash, claimRetryInterval/2)
		cluster.setFault(nil)
		assertRefusal(t, refused.err, fault.NotRun)
		granted := cluster.nodes[1].requestClaim(testKey, testHash, time.Minute)
		assert.NilError(t, granted.err)
		assert.Equal(t, granted.result.Kind, ClaimGranted)
	})
}
