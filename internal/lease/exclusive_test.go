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

// unreliableTable fails at random: down, answers lost, and writes that arrive
// late.
type unreliableTable struct {
	platform.TableService
	random *rand.Rand
	late   [][]platform.Write
}

func (u *unreliableTable) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	if u.random.IntN(6) == 0 {
		return platform.Row{}, platform.ErrUnavailable
	}
	return u.TableService.Get(ctx, key)
}

func (u *unreliableTable) Commit(ctx context.Context, writes []platform.Write) error {
	switch u.random.IntN(8) {
	case 0:
		return platform.ErrUnavailable
	case 1:
		u.late = append(u.late, writes)
		return platform.ErrOutcomeUnknown
	case 2:
		// The answer is lost, and with it whether there was a conflict.
		_ = u.TableService.Commit(ctx, writes)
		return platform.ErrOutcomeUnknown
	}
	return u.TableService.Commit(ctx, writes)
}

// deliver lets a late write arrive; it conflicts if the row has moved.
func (u *unreliableTable) deliver() {
	if len(u.late) == 0 {
		return
	}
	k := u.random.IntN(len(u.late))
	_ = u.TableService.Commit(context.Background(), u.late[k])
	u.late = append(u.late[:k], u.late[k+1:]...)
}

// TestNoTwoHoldersMayActAtOnce takes random steps with three managers on an
// unreliable table. At no time may two of them act, and the fencing numbers of
// those that act never fall.
func TestNoTwoHoldersMayActAtOnce(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkExclusive(t, seed) })
	}
}

func checkExclusive(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	clock := clockwork.NewFakeClock()
	table := &unreliableTable{TableService: platform.NewMemory(), random: random}
	var managers []*Manager
	for i := range 3 {
		managers = append(managers, NewManager(Options{Table: table, Holder: fmt.Sprint(i), Clock: clock}))
	}
	leases := make([]*Lease, len(managers))
	var highest uint64
	for range 400 {
		i := random.IntN(len(managers))
		switch {
		case random.IntN(4) == 0:
			clock.Advance(time.Duration(random.Int64N(int64(4 * time.Second))))
		case random.IntN(6) == 0:
			table.deliver()
		default:
			leases[i] = stepLease(managers[i], leases[i], random)
		}
		highest = assertExclusive(t, leases, highest)
	}
	assert.Check(t, highest > 1, "the lease has passed on")
}

// stepLease acquires, renews or, rarely, releases.
func stepLease(m *Manager, l *Lease, random *rand.Rand) *Lease {
	ctx := context.Background()
	switch {
	case l == nil || l.Check() != nil:
		acquired, err := m.Acquire(ctx, "duty")
		if err == nil {
			return acquired
		}
	case random.IntN(20) == 0:
		// An answer may be lost; the holder stops in any case.
		_ = l.Release(ctx)
	default:
		_ = l.Renew(ctx)
	}
	return l
}

func assertExclusive(t *testing.T, leases []*Lease, highest uint64) uint64 {
	t.Helper()
	acting := 0
	for _, l := range leases {
		if l == nil || l.Check() != nil {
			continue
		}
		acting++
		assert.Assert(t, l.FencingToken() >= highest, "fence %d after %d", l.FencingToken(), highest)
		highest = l.FencingToken()
	}
	assert.Assert(t, acting <= 1, "%d holders may act", acting)
	return highest
}
