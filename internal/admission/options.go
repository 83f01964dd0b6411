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

// VersionSelector selects the versions of a pool's targets on which requests may run.
type VersionSelector interface {
	// Pick returns the version for a request; "" means any usable one. U is
	// uniform in [0, 1) and constant for the request while it is queued.
	Pick(pool, route string, tier tables.Tier, idempotent bool, u float64) string
	// Usable reports whether targets of the version may receive requests.
	Usable(pool, version string) bool
}

// Options configures a Controller.
type Options struct {
	Viewer membership.Viewer
	// Bus exchanges credits with other instances; nil for a single instance.
	Bus peer.Bus
	// Pools returns the names of all pools. If nil, a pool is created by its
	// first request.
	Pools func() []string
	// Targets returns the usable targets of a pool, without leaving ones.
	Targets func(pool string) []tables.Target
	// VersionSelector selects versions; nil means that all are usable.
	VersionSelector VersionSelector
	// Policy chooses among targets; nil means routing.DefaultPolicy().
	Policy routing.Policy
	// Clock is the time source; nil means the system clock.
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

// LoadReport is a target's report of its own load. It is out of date on arrival.
type LoadReport struct {
	Running, Queued int
	KVUsed, KVTotal int
	// MeasuredAt is when the load was measured, by this instance's clock.
	MeasuredAt time.Time
}
