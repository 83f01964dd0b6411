package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// faultyTable fails at random: it is unavailable, loses responses, or delays
// writes.
type faultyTable struct {
	platform.TableService
	random  *rand.Rand
	delayed [][]platform.Write
}

func (f *faultyTable) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	if f.random.IntN(6) == 0 {
		return platform.Row{}, platform.ErrUnavailable
	}
	return f.TableService.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, writes []platform.Write) error {
	switch f.random.IntN(8) {
	case 0:
		return platform.ErrUnavailable
	case 1:
		f.delayed = append(f.delayed, writes)
		return platform.ErrOutcomeUnknown
	case 2:
		// The response is lost, and with it whether there was a conflict.
		_ = f.TableService.Commit(ctx, writes)
		return platform.ErrOutcomeUnknown
	}
	return f.TableService.Commit(ctx, writes)
}

// deliverDelayed lets a delayed write arrive. It conflicts if the row has
// changed.
func (f *faultyTable) deliverDelayed() {
	if len(f.delayed) == 0 {
		return
	}
	k := f.random.IntN(len(f.delayed))
	_ = f.TableService.Commit(context.Background(), f.delayed[k])
	f.delayed = append(f.delayed[:k], f.delayed[k+1:]...)
}

// TestNoTwoHoldersMayActAtOnce performs random steps with three managers on a
// faulty table. At no time may two of them act, and the fencing tokens of those
// that act never decrease.
func TestNoTwoHoldersMayActAtOnce(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkExclusive(t, seed) })
	}
}

func checkExclusive(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	clock := clockwork.NewFakeClock()
	table := &faultyTable{TableService: platform.NewMemory(), random: random}
	var managers []*Manager
	for i := range 3 {
		managers = append(managers, NewManager(Options{Table: table, Holder: fmt.Sprint(i), Clock: clock}))
	}
	leases := make([]*Lease, len(managers))
	var highestToken uint64
	for range 400 {
		i := random.IntN(len(managers))
		switch {
		case random.IntN(4) == 0:
			clock.Advance(time.Duration(random.Int64N(int64(4 * time.Second))))
		case random.IntN(6) == 0:
			table.deliverDelayed()
		default:
			leases[i] = performRandomStep(managers[i], leases[i], random)
		}
		highestToken = assertExclusive(t, leases, highestToken)
	}
	assert.Check(t, highestToken > 1, "no successor has acquired the lease")
}

// performRandomStep acquires, renews or, rarely, releases the lease.
func performRandomStep(m *Manager, l *Lease, random *rand.Rand) *Lease {
	ctx := context.Background()
	switch {
	case l == nil || l.Check() != nil:
		acquired, err := m.Acquire(ctx, "task")
		if err == nil {
			return acquired
		}
	case random.IntN(20) == 0:
		// The response may be lost; the holder stops in any case.
		_ = l.Release(ctx)
	default:
		_ = l.Renew(ctx)
	}
	return l
}

func assertExclusive(t *testing.T, leases []*Lease, highestToken uint64) uint64 {
	t.Helper()
	unexpired := 0
	for _, l := range leases {
		if l == nil || l.Check() != nil {
			continue
		}
		unexpired++
		assert.Assert(t, l.FencingToken() >= highestToken, "fencing token %d after %d", l.FencingToken(), highestToken)
		highestToken = l.FencingToken()
	}
	assert.Assert(t, unexpired <= 1, "%d holders may act at once", unexpired)
	return highestToken
}
