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

// operationFault is the fault injected into one operation of a faultyTable.
type operationFault string

const (
	// faultUnavailable fails the operation with platform.ErrUnavailable.
	faultUnavailable operationFault = "unavailable"
	// faultResponseLost executes the operation and loses the response.
	faultResponseLost operationFault = "response lost"
	// faultRequestLost loses the operation.
	faultRequestLost operationFault = "request lost"
	// faultDelayed executes a commit only just before the next one.
	faultDelayed operationFault = "delayed"
	// faultConcurrentApply lets another operator apply first.
	faultConcurrentApply operationFault = "concurrent apply"
	// faultOutage fails this and all later operations.
	faultOutage operationFault = "outage"
)

// faultyTable injects faults into operations by their number.
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
		// The operator cancels the apply.
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
		// A write that arrives too late conflicts.
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

// recordingTable records the first route's name of each configuration written.
type recordingTable struct {
	platform.TableService
	written []string
}

func (r *recordingTable) Commit(ctx context.Context, writes []platform.Write) error {
	if err := r.TableService.Commit(ctx, writes); err != nil {
		return err
	}
	var b bodyRow
	if err := json.Unmarshal(writes[1].Value, &b); err != nil {
		return err
	}
	r.written = append(r.written, b.Tables.Routes[0].Name)
	return nil
}

// TestEveryFaultAtEveryStepOfAnApply injects each pair of faults into the first
// operations of an apply and checks that the reported outcome matches what was
// written.
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
	cluster := newTestCluster(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	recorded := &recordingTable{TableService: cluster.memory}
	table := &faultyTable{TableService: recorded, faults: faults, cancel: cancel}
	concurrentApplies := 0
	table.applyConcurrently = func() {
		concurrentApplies++
		h, _, err := readHead(context.Background(), cluster.memory)
		assert.NilError(t, err)
		cluster.mustApply(1, h.Version, fmt.Sprintf("other %d", concurrentApplies))
	}
	cluster.replicas[0].table, cluster.replicas[1].table = table, recorded
	version, err := cluster.applyWithAdvancingClock(ctx)

	if table.delayed != nil {
		// A delayed commit arrives in the end, or conflicts.
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

// applyWithAdvancingClock applies "mine" on the first instance, based on the
// empty configuration.
func (c *testCluster) applyWithAdvancingClock(ctx context.Context) (uint64, error) {
	done, stop := context.WithCancel(context.Background())
	var clockDriver conc.WaitGroup
	clockDriver.Go(func() {
		for c.clock.BlockUntilContext(done, 1) == nil {
			c.clock.Advance(time.Second)
		}
	})
	version, err := NewStore(c.replicas[0]).Apply(ctx, 0, testTables("mine"))
	stop()
	clockDriver.Wait()
	return version, err
}
