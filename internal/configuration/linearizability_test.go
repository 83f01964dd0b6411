package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// operation is the input of an operation in the history: an apply, or a read of
// the rows.
type operation struct {
	apply bool
	base  uint64
	name  string
}

// operationResult is the output of an operation.
type operationResult struct {
	version uint64
	name    string
	// conflict and unknown are outcomes of an apply.
	conflict bool
	unknown  bool
}

// modelState is the accepted version and its content.
type modelState struct {
	version uint64
	name    string
}

// storeModel is the sequential specification of the store. An apply with an
// unknown outcome may have taken effect or not.
var storeModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) []any {
		r, in, out := state.(modelState), input.(operation), output.(operationResult)
		if !in.apply {
			return stateIf(out == operationResult{version: r.version, name: r.name}, r)
		}
		next := modelState{version: in.base + 1, name: in.name}
		switch {
		case out.unknown && r.version == in.base:
			return []any{r, next}
		case out.unknown:
			return []any{r}
		case out.conflict:
			return stateIf(r.version != in.base, r)
		default:
			return stateIf(r.version == in.base, next)
		}
	},
}).ToModel()

func stateIf(allowed bool, state modelState) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// historyRecorder collects the history.
type historyRecorder struct {
	// mu guards operations.
	mu         sync.Mutex
	operations []porcupine.Operation
}

// record runs an operation and adds it to the history, unless run returns
// false.
func (r *historyRecorder) record(client int, in operation, run func() (operationResult, bool)) {
	started := time.Now().UnixNano()
	out, ok := run()
	ended := time.Now().UnixNano()
	if !ok {
		return
	}
	if out.unknown {
		// The apply may still take effect at any later time.
		ended = int64(^uint64(0) >> 1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: started, Return: ended,
	})
}

func TestHistoryOfConcurrentAppliesAndReadsIsLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkLinearizable(t, seed) })
	}
}

func checkLinearizable(t *testing.T, seed uint64) {
	cluster := newTestCluster(t, 4)
	faults := rand.New(rand.NewPCG(seed, 1))
	cluster.setTableFault(func(operation string) error {
		switch draw := faults.IntN(10); {
		case operation == "commit" && draw < 3:
			return platform.ErrOutcomeUnknown
		case draw < 1:
			return platform.ErrUnavailable
		}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var clockDriver, clients conc.WaitGroup
	clockDriver.Go(func() {
		// Advances the clock, so that reading back is retried.
		for ctx.Err() == nil {
			cluster.clock.Advance(10 * time.Millisecond)
			cluster.restoreReach()
		}
	})
	var history historyRecorder
	for i := range cluster.replicas {
		clients.Go(func() { runClient(cluster, &history, i) })
	}
	clients.Wait()
	cancel()
	clockDriver.Wait()
	result := porcupine.CheckOperationsTimeout(storeModel, history.operations, 30*time.Second)
	assert.Equal(t, result, porcupine.Ok)
}

// restoreReach makes all instances see all others live.
func (c *testCluster) restoreReach() {
	for _, m := range c.memberships {
		m.setReach(len(c.memberships), len(c.memberships))
	}
}

// runClient alternates reads and applies on one instance.
func runClient(cluster *testCluster, history *historyRecorder, i int) {
	store := NewStore(cluster.replicas[i])
	for round := range 6 {
		var base uint64
		history.record(i, operation{}, func() (operationResult, bool) {
			h, _, err := readHead(context.Background(), cluster.memory)
			if err != nil {
				return operationResult{}, false
			}
			base = h.Version
			t, err := readBody(context.Background(), cluster.memory)
			if err != nil || t.Version != h.Version {
				return operationResult{version: h.Version}, h.Version == 0
			}
			return operationResult{version: t.Version, name: t.Routes[0].Name}, true
		})
		name := fmt.Sprintf("%d/%d", i, round)
		history.record(i, operation{apply: true, base: base, name: name}, func() (operationResult, bool) {
			_, err := store.Apply(context.Background(), base, testTables(name))
			if errors.Is(err, ErrUnavailable) {
				return operationResult{}, false
			}
			return operationResult{
				conflict: errors.Is(err, ErrConflict), unknown: errors.Is(err, ErrOutcomeUnknown),
			}, true
		})
	}
}

func TestModelRejectsTwoAppliesOnOneBase(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: operation{apply: true, name: "a"}, Output: operationResult{}, Call: 1, Return: 10},
		{ClientId: 1, Input: operation{apply: true, name: "b"}, Output: operationResult{}, Call: 2, Return: 9},
	}
	assert.Check(t, !porcupine.CheckOperations(storeModel, history))
	assert.Check(t, porcupine.CheckOperations(storeModel, history[:1]))
}
