package move

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// TestNoNewVersionBeforeFirstTick checks that a pool that is to move serves its
// old version before the first tick, when there is no traffic split yet.
func TestNoNewVersionBeforeFirstTick(t *testing.T) {
	targets := []tables.Target{{Name: "a", Version: "v1"}, {Name: "b", Version: "v2"}}
	deadline := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		pool tables.Pool
		want string
	}{
		"no move":       {tables.Pool{Name: "p", Version: "v1", Targets: targets}, "v1"},
		"move":          {tables.Pool{Name: "p", Version: "v2", Deadline: deadline, Targets: targets}, "v1"},
		"first version": {tables.Pool{Name: "p", Version: "v2", Deadline: deadline, Targets: targets[1:]}, "v2"},
		"unknown pool":  {tables.Pool{Name: "other"}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := New(Options{
				Viewer: membership.NewStaticViewer(membership.Member{Name: "self"}),
				Bus:    peer.NewNetwork().Bus("127.0.0.1:1"), Rumors: membership.NewLocalRumors(),
				Table: platform.NewMemory(), Config: func() *tables.Tables { return &tables.Tables{Pools: []tables.Pool{c.pool}} },
				UsableTargets: func(string) []tables.Target { return c.pool.Targets },
				Clock:         clockwork.NewFakeClock(), Rand: rand.New(rand.NewPCG(1, 1)), Logger: zap.NewNop(),
			})
			assert.Equal(t, m.Pick("p", "route", 0, true, 0.0), c.want)
			m.Refresh()
			assert.Equal(t, m.Pick("p", "route", 0, true, 0.0), c.want)
		})
	}
}
