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
	testHash = HashBody("POST", "/subscriptions/cancel", []byte("7"))
)

// answered is what one attempt got.
type answered struct {
	result ClaimResult
	err    error
}

func (n *node) ask(key Key, hash BodyHash, patience time.Duration) answered {
	deadline := time.Now().Add(patience)
	result, err := n.claims.Claim(n.world.t.Context(), key, hash, "handle-"+n.member.Name, deadline)
	return answered{result, err}
}

func refusedAs(t *testing.T, err error, run fault.ExecutionState) {
	t.Helper()
	refusal, ok := fault.AsRefusal(err)
	assert.Assert(t, ok, "no refusal: %v", err)
	assert.Equal(t, refusal.Execution, run, refusal.Reason)
}

func storedAnswer(text string) *answer.Stored {
	return &answer.Stored{Head: answer.Head{Status: 200}, Chunks: [][]byte{[]byte(text)}}
}

func TestClaimIsGrantedOnce(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		a := w.nodes[0]

		first := a.ask(testKey, testHash, time.Second)
		assert.NilError(t, first.err)
		assert.Equal(t, first.result.Kind, ClaimGranted)
		assert.NilError(t, first.result.Claim.Dispatch())

		for _, n := range w.nodes {
			joined := n.ask(testKey, testHash, time.Second)
			assert.NilError(t, joined.err)
			assert.Equal(t, joined.result.Kind, ClaimJoin)
			assert.Equal(t, joined.result.Instance.Name, "a")
			assert.Equal(t, joined.result.Handle, "handle-a")
			other := n.ask(testKey, HashBody("POST", "/x", nil), time.Second)
			refusedAs(t, other.err, fault.NotRun)
		}

		assert.NilError(t, first.result.Claim.Complete(t.Context(), storedAnswer("done")))
		for _, n := range w.nodes {
			stored := n.ask(testKey, testHash, time.Second)
			assert.NilError(t, stored.err)
			assert.Equal(t, stored.result.Kind, ClaimStored)
			assert.Equal(t, string(stored.result.Stored.Chunks[0]), "done")
		}
	})
}

func TestLargeAnswersGoToTheObjectStore(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		granted := w.nodes[0].ask(testKey, testHash, time.Second)
		assert.NilError(t, granted.result.Claim.Dispatch())
		text := string(make([]byte, 2*DefaultInlineBytes))

		assert.NilError(t, granted.result.Claim.Complete(t.Context(), storedAnswer(text)))

		row, err := w.table.Get(t.Context(), claimKey(testKey))
		assert.NilError(t, err)
		assert.Assert(t, len(row.Value) < 1000)
		stored := w.nodes[1].ask(testKey, testHash, time.Second)
		assert.Equal(t, string(stored.result.Stored.Chunks[0]), text)
	})
}

func TestHolderDiedMeansUnknown(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		granted := w.nodes[0].ask(testKey, testHash, time.Second)
		assert.NilError(t, granted.err)
		w.die(w.nodes[0])
		for _, n := range w.nodes[1:] {
			refusedAs(t, n.ask(testKey, testHash, time.Second).err, fault.ExecutionUnknown)
		}
	})
}

func TestPausedHolderDoesNotSendLate(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		granted := w.nodes[0].ask(testKey, testHash, time.Second)
		time.Sleep(time.Second) // the pause between the grant and the sending

		refusedAs(t, granted.result.Claim.Dispatch(), fault.NotRun)

		again := w.nodes[1].ask(testKey, testHash, time.Second)
		assert.NilError(t, again.err)
		assert.Equal(t, again.result.Kind, ClaimGranted)
		refusedAs(t, granted.result.Claim.Dispatch(), fault.NotRun)
	})
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.setFault(func(operation string) error {
			if operation == "commit" {
				return platform.ErrOutcomeUnknown
			}
			return nil
		})
		granted := w.nodes[0].ask(testKey, testHash, 5*time.Second)
		assert.NilError(t, granted.err)
		assert.Equal(t, granted.result.Kind, ClaimGranted)
		joined := w.nodes[1].ask(testKey, testHash, 5*time.Second)
		assert.Equal(t, joined.result.Kind, ClaimJoin)
	})
}

func TestTableDownRefusesNotRunAtTheDeadline(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.setFault(down)
		refused := w.nodes[0].ask(testKey, testHash, time.Second)
		refusedAs(t, refused.err, fault.NotRun)
		w.setFault(nil)
		granted := w.nodes[1].ask(testKey, testHash, time.Second)
		assert.Equal(t, granted.result.Kind, ClaimGranted)
	})
}

func TestClaimWrittenButUnreadableIsGivenBack(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.setFault(func(operation string) error {
			if operation == "commit" {
				return platform.ErrOutcomeUnknown
			}
			return platform.ErrUnavailable
		})
		refused := w.nodes[0].ask(testKey, testHash, claimRetry/2)
		w.setFault(nil)
		refusedAs(t, refused.err, fault.NotRun)
		granted := w.nodes[1].ask(testKey, testHash, time.Minute)
		assert.NilError(t, granted.err)
		assert.Equal(t, granted.result.Kind, ClaimGranted)
	})
}
