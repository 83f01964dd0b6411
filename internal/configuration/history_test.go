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

// call is an operation of the history: an apply, or a read of the row.
type call struct {
	apply bool
	base  uint64
	name  string
}

// outcome is its answer.
type outcome struct {
	version uint64
	name    string
	// conflicted and unknown are answers of an apply.
	conflicted bool
	unknown    bool
}

// register is the state of the model: the accepted version and its content.
type register struct {
	version uint64
	name    string
}

// model says what a sequential store would answer. An apply whose outcome is
// unknown may have taken effect or not.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		r, in, out := state.(register), input.(call), output.(outcome)
		if !in.apply {
			return onlyIf(out == outcome{version: r.version, name: r.name}, r)
		}
		next := register{version: in.base + 1, name: in.name}
		switch {
		case out.unknown && r.version == in.base:
			return []any{r, next}
		case out.unknown:
			return []any{r}
		case out.conflicted:
			return onlyIf(r.version != in.base, r)
		default:
			return onlyIf(r.version == in.base, next)
		}
	},
}).ToModel()

func onlyIf(ok bool, r register) []any {
	if !ok {
		return nil
	}
	return []any{r}
}

// recorder collects the history.
type recorder struct {
	// mu guards operations.
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (r *recorder) do(client int, in call, run func() (outcome, bool)) {
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
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	f := newFleet(t, 4)
	faults := rand.New(rand.NewPCG(seed, 1))
	f.setFault(func(operation string) error {
		switch draw := faults.IntN(10); {
		case operation == "commit" && draw < 3:
			return platform.ErrOutcomeUnknown
		case draw < 1:
			return platform.ErrUnavailable
		}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var clock, clients conc.WaitGroup
	clock.Go(func() {
		// Time passes, so that reading back goes on.
		for ctx.Err() == nil {
			f.clock.Advance(10 * time.Millisecond)
			f.keepContact()
		}
	})
	var history recorder
	for i := range f.all {
		clients.Go(func() { runClient(f, &history, i) })
	}
	clients.Wait()
	cancel()
	clock.Wait()
	result := porcupine.CheckOperationsTimeout(model, history.operations, 30*time.Second)
	assert.Equal(t, result, porcupine.Ok)
}

func (f *fleet) keepContact() {
	for _, m := range f.members {
		m.inContact(len(f.members), len(f.members))
	}
}

// runClient applies and reads in turn at one instance.
func runClient(f *fleet, history *recorder, i int) {
	store := NewStore(f.all[i])
	for round := range 6 {
		var base uint64
		history.do(i, call{}, func() (outcome, bool) {
			h, _, err := readHead(context.Background(), f.memory)
			if err != nil {
				return outcome{}, false
			}
			base = h.Version
			t, err := readBody(context.Background(), f.memory)
			if err != nil || t.Version != h.Version {
				return outcome{version: h.Version}, h.Version == 0
			}
			return outcome{version: t.Version, name: t.Routes[0].Name}, true
		})
		name := fmt.Sprintf("%d/%d", i, round)
		history.do(i, call{apply: true, base: base, name: name}, func() (outcome, bool) {
			_, err := store.Apply(context.Background(), base, sample(name))
			if errors.Is(err, ErrUnavailable) {
				return outcome{}, false
			}
			return outcome{
				conflicted: errors.Is(err, ErrConflict), unknown: errors.Is(err, ErrOutcomeUnknown),
			}, true
		})
	}
}

func TestModelRefusesTwoWinnersOfOneBase(t *testing.T) {
	both := []porcupine.Operation{
		{ClientId: 0, Input: call{apply: true, name: "a"}, Output: outcome{}, Call: 1, Return: 10},
		{ClientId: 1, Input: call{apply: true, name: "b"}, Output: outcome{}, Call: 2, Return: 9},
	}
	assert.Check(t, !porcupine.CheckOperations(model, both))
	assert.Check(t, porcupine.CheckOperations(model, both[:1]))
}
