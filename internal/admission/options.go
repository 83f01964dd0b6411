package admission

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Versions says which version of a pool's targets a request may run on.
type Versions interface {
	// Pick returns the version for a request; "" means any usable one. U is
	// uniform in [0, 1) and stays the same while the request waits.
	Pick(pool, route string, tier tables.Tier, idempotent bool, u float64) string
	// Usable reports whether targets of the version may take requests.
	Usable(pool, version string) bool
}

// Options configure a Controller.
type Options struct {
	Viewer membership.Viewer
	// Bus carries credits to and from other instances; nil for a single one.
	Bus peer.Bus
	// Pools returns the names of all pools. When nil, a pool is known from its
	// first request on.
	Pools func() []string
	// Targets returns the usable targets of a pool, without leaving ones.
	Targets func(pool string) []tables.Target
	// Versions chooses among versions; nil means that all are usable.
	Versions Versions
	// Policy routes; nil means routing.Default().
	Policy routing.Policy
	// Clock is the source of time; nil means the real one.
	Clock clockwork.Clock
	// Rand seeds the random choices; nil means a fixed seed.
	Rand *rand.Rand
	// Logger gets changes of state; nil means none.
	Logger *zap.Logger
}

func (o Options) withDefaults() Options {
	if o.Policy == nil {
		o.Policy = routing.DefaultPolicy()
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, 1))
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

// LoadReport is what a target said about its load; it is stale on arrival.
type LoadReport struct {
	Running, Queued int
	KVUsed, KVTotal int
	// At is when the report was true, by this instance's clock.
	At time.Time
}
