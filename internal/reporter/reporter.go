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
	// requestsPerPoll is how many reads a visit makes.
	requestsPerPoll = 2
	// minPollInterval is the shortest time between the beginnings of two visits.
	minPollInterval = requestsPerPoll * time.Second / MaxRequestsPerSecond
	// pollJitter is the share of visitPeriod drawn at random on top.
	pollJitter = 0.25
	// minTargetInterval is the shortest time between two visits to a target.
	minTargetInterval = 250 * time.Millisecond
	// pollTimeout bounds a visit.
	pollTimeout = time.Second
	// maxConcurrentPolls bounds the visits that run at once.
	maxConcurrentPolls = 16
)

// failureBackoff spaces out visits to a target that fails.
var failureBackoff = backoff.Policy{Base: 500 * time.Millisecond, Max: 30 * time.Second}

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
	targets map[string]*polledTarget
}

// polledTarget is what is remembered of one polledTarget.
type polledTarget struct {
	info tables.Target
	// isPolling and due are guarded by Reporter.mu: whether a visit runs, and when
	// the next may begin.
	isPolling  bool
	nextPollAt time.Time
	// The fields below belong to the visit that runs.
	retryDelays *backoff.Backoff
	isFailing   bool
	age         ageEstimator
	cursor      eventCursor
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
		targets: make(map[string]*polledTarget),
	}
}

// Run visits targets until the context ends, and then waits for the visits.
func (p *Poller) Run(ctx context.Context) {
	polls := pool.New().WithMaxGoroutines(maxConcurrentPolls)
	defer polls.Wait()
	for {
		if backoff.Sleep(ctx, p.clock, p.pollInterval()) != nil {
			return
		}
		if t := p.nextDue(p.clock.Now()); t != nil {
			polls.Go(func() { p.poll(ctx, t) })
		}
	}
}

// pollInterval returns the time between the beginnings of two visits.
func (p *Poller) pollInterval() time.Duration {
	return minPollInterval + time.Duration(pollJitter*p.rand.Float64()*float64(minPollInterval))
}

// nextDue returns the target that is longest overdue and marks it busy, or nil.
func (p *Poller) nextDue(now time.Time) *polledTarget {
	configured := p.options.Targets()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncTargets(configured, now)
	var mostOverdue *polledTarget
	for _, info := range configured {
		t := p.targets[info.Name]
		if t.isPolling || t.nextPollAt.After(now) {
			continue
		}
		if mostOverdue == nil || t.nextPollAt.Before(mostOverdue.nextPollAt) {
			mostOverdue = t
		}
	}
	if mostOverdue != nil {
		mostOverdue.isPolling = true
	}
	return mostOverdue
}

// syncTargets forgets targets that are gone or moved and adds new ones; r.mu is held.
func (p *Poller) syncTargets(configured []tables.Target, now time.Time) {
	present := make(map[string]bool, len(configured))
	for _, info := range configured {
		present[info.Name] = true
		if t := p.targets[info.Name]; t != nil && t.info.Address == info.Address {
			continue
		}
		jitter := rand.New(rand.NewPCG(p.rand.Uint64(), p.rand.Uint64()))
		p.targets[info.Name] = &polledTarget{info: info, nextPollAt: now, retryDelays: backoff.New(failureBackoff, jitter)}
	}
	for name := range p.targets {
		if !present[name] {
			delete(p.targets, name)
		}
	}
}

// poll reads one target and sets its next turn.
func (p *Poller) poll(ctx context.Context, t *polledTarget) {
	pollCtx, cancel := context.WithCancel(ctx)
	timer := p.clock.AfterFunc(pollTimeout, cancel)
	err := p.fetchReports(pollCtx, t)
	timer.Stop()
	cancel()
	if ctx.Err() != nil {
		return
	}
	delay := p.recordResult(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.isPolling = false
	t.nextPollAt = p.clock.Now().Add(delay)
}

// recordResult returns how long the target is left alone after a visit.
func (p *Poller) recordResult(t *polledTarget, err error) time.Duration {
	if err == nil {
		if t.isFailing {
			p.log.Info("target reports again", zap.String("target", t.info.Name))
		}
		t.isFailing = false
		t.retryDelays.Reset()
		return minTargetInterval
	}
	if !t.isFailing {
		p.log.Warn("target gives no reports", zap.String("target", t.info.Name), zap.Error(err))
	}
	t.isFailing = true
	return t.retryDelays.Next()
}
