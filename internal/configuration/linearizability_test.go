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

// operation is an operation of the history: an apply, or a read of the row.
type operation struct {
	apply bool
	base  uint64
	name  string
}

// operationResult is its answer.
type operationResult struct {
	version uint64
	name    string
	// conflict and unknown are answers of an apply.
	conflict bool
	unknown  bool
}

// modelState is the state of the model: the accepted version and its content.
type modelState struct {
	version uint64
	name    string
}

// storeModel says what a sequential store would answer. An apply whose outcome is
// unknown may have taken effect or not.
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

func (r *historyRecorder) record(client int, in operation, run func() (operationResult, bool)) {
	started := time.Now().UnixNano()
	out, ok := run()
	ended := time.Now().UnixNano()
	if !ok {
		return
	}
	if out.unknown {
		// It may still take effect at any later time.
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
	f := newTestCluster(t, 4)
	faults := rand.New(rand.NewPCG(seed, 1))
	f.setTableFault(func(operation string) error {
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
		// Time passes, so that reading back goes on.
		for ctx.Err() == nil {
			f.clock.Advance(10 * time.Millisecond)
			f.restoreReach()
		}
	})
	var history historyRecorder
	for i := range f.replicas {
		clients.Go(func() { runClient(f, &history, i) })
	}
	clients.Wait()
	cancel()
	clockDriver.Wait()
	result := porcupine.CheckOperationsTimeout(storeModel, history.operations, 30*time.Second)
	assert.Equal(t, result, porcupine.Ok)
}

func (f *testCluster) restoreReach() {
	for _, m := range f.memberships {
		m.setReach(len(f.memberships), len(f.memberships))
	}
}

// runClient applies and reads in turn at one instance.
func runClient(f *testCluster, history *historyRecorder, i int) {
	store := NewStore(f.replicas[i])
	for round := range 6 {
		var base uint64
		history.record(i, operation{}, func() (operationResult, bool) {
			h, _, err := readHead(context.Background(), f.memory)
			if err != nil {
				return operationResult{}, false
			}
			base = h.Version
			t, err := readBody(context.Background(), f.memory)
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
