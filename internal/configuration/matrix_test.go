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

// tableFault is what befalls one operation of a faultyTable.
type tableFault string

const (
	// faultDown refuses the operation.
	faultDown tableFault = "down"
	// faultAnswerLost carries the operation out and loses the answer.
	faultAnswerLost tableFault = "answer lost"
	// faultLost loses the operation.
	faultLost tableFault = "lost"
	// faultLate carries a commit out only just before the next one.
	faultLate tableFault = "late"
	// faultOvertaken lets another operator apply first.
	faultOvertaken tableFault = "overtaken"
	// faultStaysDown refuses this and all later operations.
	faultStaysDown tableFault = "stays down"
)

// faultyTable puts faults at numbered operations.
type faultyTable struct {
	platform.TableService
	faults   map[int]tableFault
	overtake func()
	cancel   func()
	step     int
	down     bool
	late     []platform.Write
}

// begin counts the operation and returns its fault and error.
func (f *faultyTable) begin() (tableFault, error) {
	f.step++
	fault := f.faults[f.step]
	if fault == faultStaysDown {
		f.down = true
	}
	if f.down && f.step > len(f.faults)+3 {
		// The operator gives up.
		f.cancel()
	}
	if f.down || fault == faultDown {
		return fault, platform.ErrUnavailable
	}
	if fault == faultOvertaken {
		f.overtake()
	}
	return fault, nil
}

func (f *faultyTable) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	fault, err := f.begin()
	if err != nil || fault == faultLost || fault == faultAnswerLost || fault == faultLate {
		return platform.Row{}, platform.ErrUnavailable
	}
	return f.TableService.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, writes []platform.Write) error {
	fault, err := f.begin()
	if err != nil {
		return err
	}
	if f.late != nil {
		// A conflict is the fate of a write that comes too late.
		_ = f.TableService.Commit(ctx, f.late)
		f.late = nil
	}
	switch fault {
	case faultLost:
		return platform.ErrOutcomeUnknown
	case faultLate:
		f.late = writes
		return platform.ErrOutcomeUnknown
	}
	err = f.TableService.Commit(ctx, writes)
	if fault == faultAnswerLost {
		return platform.ErrOutcomeUnknown
	}
	return err
}

// ledger remembers the routes of each configuration written.
type ledger struct {
	platform.TableService
	written []string
}

func (l *ledger) Commit(ctx context.Context, writes []platform.Write) error {
	if err := l.TableService.Commit(ctx, writes); err != nil {
		return err
	}
	var b body
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
	faults := []tableFault{faultDown, faultAnswerLost, faultLost, faultLate, faultOvertaken, faultStaysDown}
	for first := 1; first <= steps; first++ {
		for second := first + 1; second <= steps; second++ {
			for _, a := range faults {
				for _, b := range faults {
					name := fmt.Sprintf("%d %s, %d %s", first, a, second, b)
					t.Run(name, func(t *testing.T) {
						checkApplyUnder(t, map[int]tableFault{first: a, second: b})
					})
				}
			}
		}
	}
}

func checkApplyUnder(t *testing.T, faults map[int]tableFault) {
	f := newFleet(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	truth := &ledger{TableService: f.memory}
	table := &faultyTable{TableService: truth, faults: faults, cancel: cancel}
	overtakers := 0
	table.overtake = func() {
		overtakers++
		h, _, err := readHead(context.Background(), f.memory)
		assert.NilError(t, err)
		f.mustApply(1, h.Version, fmt.Sprintf("other %d", overtakers))
	}
	f.all[0].table, f.all[1].table = table, truth
	version, err := f.applyWhileTimePasses(ctx)

	if table.late != nil {
		// What is still under way arrives in the end, or conflicts.
		_ = truth.Commit(context.Background(), table.late)
	}
	wrote := slices.Contains(truth.written, "mine")
	switch {
	case err == nil:
		assert.Check(t, wrote && version == 1)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable):
		assert.Check(t, !wrote, "%v", err)
	default:
		assert.Check(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
	}
}

// applyWhileTimePasses applies "mine" at the first instance to the empty
// configuration.
func (f *fleet) applyWhileTimePasses(ctx context.Context) (uint64, error) {
	done, stop := context.WithCancel(context.Background())
	var clock conc.WaitGroup
	clock.Go(func() {
		for f.clock.BlockUntilContext(done, 1) == nil {
			f.clock.Advance(time.Second)
		}
	})
	version, err := NewStore(f.all[0]).Apply(ctx, 0, sample("mine"))
	stop()
	clock.Wait()
	return version, err
}
