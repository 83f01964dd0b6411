// Package reporter reads the load reports and cache events of engines and
// hands them to admission.
//
// A visit to a target is two reads, GET /load and GET /cache/events?since=N,
// each on a connection of its own; see docs/design/engine-protocol.md. Visits
// begin at least visitPeriod (125 ms) apart, so an instance makes at most 16
// reads a second whatever the number of targets. A quarter of the period is
// drawn at random on top, so that instances do not fall into step; the mean is
// 14.2 reads a second. The target whose turn is longest overdue comes first,
// and none has its turn before restPeriod (250 ms) has passed. With 2 targets
// each is visited about every 0.28 s, with 12 about every 1.7 s, with 100 every
// 14 s. An engine gets the reads of all instances: with 50 instances and 100
// engines 50 * 14.2 / 100 = 7.1 a second.
//
// A visit ends after visitTimeout (1 s). No more than 8 begin in a second, so
// at most 9 run at once and the pool of 16 workers never is full: a target
// that hangs holds up no other. A target that fails waits for longer and
// longer, up to 30 s.
//
// The number to ask from is remembered for each target and forgotten with it.
// A jump in the numbers becomes a routing.CacheGap with the count of the lost
// events. A target that refused connections, or whose numbers started again,
// may have lost its cache: that is a gap of unknown size.
package reporter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	// MaxRequestsPerSecond bounds the reads of one instance, over all targets.
	MaxRequestsPerSecond = 16
	// readsPerVisit is how many reads a visit makes.
	readsPerVisit = 2
	// visitPeriod is the shortest time between the beginnings of two visits.
	visitPeriod = readsPerVisit * time.Second / MaxRequestsPerSecond
	// visitJitter is the share of visitPeriod drawn at random on top.
	visitJitter = 0.25
	// restPeriod is the shortest time between two visits to a target.
	restPeriod = 250 * time.Millisecond
	// visitTimeout bounds a visit.
	visitTimeout = time.Second
	// workers bounds the visits that run at once.
	workers = 16
)

// failurePolicy spaces out visits to a target that fails.
var failurePolicy = backoff.Policy{Base: 500 * time.Millisecond, Max: 30 * time.Second}

// Options configure a Reporter.
type Options struct {
	// Targets returns the engine targets of all pools.
	Targets func() []tables.Target
	// OnLoadReport takes a target's load.
	OnLoadReport func(name string, report admission.LoadReport)
	// OnCacheEvents takes a target's cache events, in order.
	OnCacheEvents func(name string, events []routing.CacheEvent)
	// Clock is the source of time; nil means the real one.
	Clock clockwork.Clock
	// Rand seeds the jitter; nil means a fixed seed.
	Rand *rand.Rand
	// Logger gets changes of state; nil means none.
	Logger *zap.Logger
}

// Poller visits targets.
type Poller struct {
	options Options
	clock   clockwork.Clock
	// rand is used by Run's goroutine alone.
	rand *rand.Rand
	log  *zap.Logger

	// mu guards targets and the schedule of each.
	mu      sync.Mutex
	targets map[string]*target
}

// target is what is remembered of one target.
type target struct {
	info tables.Target
	// busy and due are guarded by Reporter.mu: whether a visit runs, and when
	// the next may begin.
	busy bool
	due  time.Time
	// The fields below belong to the visit that runs.
	failures *backoff.Backoff
	failing  bool
	age      ageEstimate
	cursor   cursor
}

// New returns a reporter that works while Run does.
func New(o Options) *Poller {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, 1))
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Poller{
		options: o, clock: o.Clock, rand: o.Rand, log: o.Logger,
		targets: make(map[string]*target),
	}
}

// Run visits targets until the context ends, and then waits for the visits.
func (r *Poller) Run(ctx context.Context) {
	visits := pool.New().WithMaxGoroutines(workers)
	defer visits.Wait()
	for {
		if backoff.Sleep(ctx, r.clock, r.pause()) != nil {
			return
		}
		if t := r.next(r.clock.Now()); t != nil {
			visits.Go(func() { r.visit(ctx, t) })
		}
	}
}

// pause returns the time between the beginnings of two visits.
func (r *Poller) pause() time.Duration {
	return visitPeriod + time.Duration(visitJitter*r.rand.Float64()*float64(visitPeriod))
}

// next returns the target that is longest overdue and marks it busy, or nil.
func (r *Poller) next(now time.Time) *target {
	listed := r.options.Targets()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt(listed, now)
	var first *target
	for _, info := range listed {
		t := r.targets[info.Name]
		if t.busy || t.due.After(now) {
			continue
		}
		if first == nil || t.due.Before(first.due) {
			first = t
		}
	}
	if first != nil {
		first.busy = true
	}
	return first
}

// adopt forgets targets that are gone or moved and adds new ones; r.mu is held.
func (r *Poller) adopt(listed []tables.Target, now time.Time) {
	present := make(map[string]bool, len(listed))
	for _, info := range listed {
		present[info.Name] = true
		if t := r.targets[info.Name]; t != nil && t.info.Address == info.Address {
			continue
		}
		source := rand.New(rand.NewPCG(r.rand.Uint64(), r.rand.Uint64()))
		r.targets[info.Name] = &target{info: info, due: now, failures: backoff.New(failurePolicy, source)}
	}
	for name := range r.targets {
		if !present[name] {
			delete(r.targets, name)
		}
	}
}

// visit reads one target and sets its next turn.
func (r *Poller) visit(ctx context.Context, t *target) {
	bounded, cancel := context.WithCancel(ctx)
	timer := r.clock.AfterFunc(visitTimeout, cancel)
	err := r.read(bounded, t)
	timer.Stop()
	cancel()
	if ctx.Err() != nil {
		return
	}
	rest := r.rest(t, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	t.busy = false
	t.due = r.clock.Now().Add(rest)
}

// rest returns how long the target is left alone after a visit.
func (r *Poller) rest(t *target, err error) time.Duration {
	if err == nil {
		if t.failing {
			r.log.Info("target reports again", zap.String("target", t.info.Name))
		}
		t.failing = false
		t.failures.Reset()
		return restPeriod
	}
	if !t.failing {
		r.log.Warn("target gives no reports", zap.String("target", t.info.Name), zap.Error(err))
	}
	t.failing = true
	return t.failures.Next()
}
