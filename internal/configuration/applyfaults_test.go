package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// operationFault is what befalls one operation of a faultyTable.
type operationFault string

const (
	// faultUnavailable refuses the operation.
	faultUnavailable operationFault = "down"
	// faultResponseLost carries the operation out and loses the answer.
	faultResponseLost operationFault = "answer lost"
	// faultRequestLost loses the operation.
	faultRequestLost operationFault = "lost"
	// faultDelayed carries a commit out only just before the next one.
	faultDelayed operationFault = "late"
	// faultConcurrentApply lets another operator apply first.
	faultConcurrentApply operationFault = "overtaken"
	// faultOutage refuses this and all later operations.
	faultOutage operationFault = "stays down"
)

// faultyTable puts faults at numbered operations.
type faultyTable struct {
	platform.TableService
	faults            map[int]operationFault
	applyConcurrently func()
	cancel            func()
	operations        int
	unavailable       bool
	delayed           []platform.Write
}

// nextOperation counts the operation and returns its fault and error.
func (f *faultyTable) nextOperation() (operationFault, error) {
	f.operations++
	fault := f.faults[f.operations]
	if fault == faultOutage {
		f.unavailable = true
	}
	if f.unavailable && f.operations > len(f.faults)+3 {
		// The operator gives up.
		f.cancel()
	}
	if f.unavailable || fault == faultUnavailable {
		return fault, platform.ErrUnavailable
	}
	if fault == faultConcurrentApply {
		f.applyConcurrently()
	}
	return fault, nil
}

func (f *faultyTable) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	fault, err := f.nextOperation()
	if err != nil || fault == faultRequestLost || fault == faultResponseLost || fault == faultDelayed {
		return platform.Row{}, platform.ErrUnavailable
	}
	return f.TableService.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, writes []platform.Write) error {
	fault, err := f.nextOperation()
	if err != nil {
		return err
	}
	if f.delayed != nil {
		// A conflict is the fate of a write that comes too late.
		_ = f.TableService.Commit(ctx, f.delayed)
		f.delayed = nil
	}
	switch fault {
	case faultRequestLost:
		return platform.ErrOutcomeUnknown
	case faultDelayed:
		f.delayed = writes
		return platform.ErrOutcomeUnknown
	}
	err = f.TableService.Commit(ctx, writes)
	if fault == faultResponseLost {
		return platform.ErrOutcomeUnknown
	}
	return err
}

// recordingTable remembers the routes of each configuration written.
type recordingTable struct {
	platform.TableService
	written []string
}

func (l *recordingTable) Commit(ctx context.Context, writes []platform.Write) error {
	if err := l.TableService.Commit(ctx, writes); err != nil {
		return err
	}
	var b bodyRow
	if err := json.Unmarshal(writes[1].Value, &b); err != nil {
		return err
	}
	l.written = append(l.written, b.Tables.Routes[0].Name)
	return nil
}

// TestEveryFaultAtEveryStepOfAnApply puts each pair of faults at the first
// operations of an apply and checks that its answer is true.
func TestEveryFaultAtEveryStepOfAnApply(t *testing.T) {
	const steps = 4
	faults := []operationFault{faultUnavailable, faultResponseLost, faultRequestLost, faultDelayed, faultConcurrentApply, faultOutage}
	for first := 1; first <= steps; first++ {
		for second := first + 1; second <= steps; second++ {
			for _, a := range faults {
				for _, b := range faults {
					name := fmt.Sprintf("%d %s, %d %s", first, a, second, b)
					t.Run(name, func(t *testing.T) {
						checkApplyWithFaults(t, map[int]operationFault{first: a, second: b})
					})
				}
			}
		}
	}
}

func checkApplyWithFaults(t *testing.T, faults map[int]operationFault) {
	f := newTestCluster(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	recorded := &recordingTable{TableService: f.memory}
	table := &faultyTable{TableService: recorded, faults: faults, cancel: cancel}
	concurrentApplies := 0
	table.applyConcurrently = func() {
		concurrentApplies++
		h, _, err := readHead(context.Background(), f.memory)
		assert.NilError(t, err)
		f.mustApply(1, h.Version, fmt.Sprintf("other %d", concurrentApplies))
	}
	f.replicas[0].table, f.replicas[1].table = table, recorded
	version, err := f.applyWithAdvancingClock(ctx)

	if table.delayed != nil {
		// What is still under way arrives in the end, or conflicts.
		_ = recorded.Commit(context.Background(), table.delayed)
	}
	written := slices.Contains(recorded.written, "mine")
	switch {
	case err == nil:
		assert.Check(t, written && version == 1)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable):
		assert.Check(t, !written, "%v", err)
	default:
		assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	}
}

// applyWithAdvancingClock applies "mine" at the first instance to the empty
// configuration.
func (f *testCluster) applyWithAdvancingClock(ctx context.Context) (uint64, error) {
	done, stop := context.WithCancel(context.Background())
	var clockDriver conc.WaitGroup
	clockDriver.Go(func() {
		for f.clock.BlockUntilContext(done, 1) == nil {
			f.clock.Advance(time.Second)
		}
	})
	version, err := NewStore(f.replicas[0]).Apply(ctx, 0, testTables("mine"))
	stop()
	clockDriver.Wait()
	return version, err
}
