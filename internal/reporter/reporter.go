// Package reporter polls the load reports and cache events of engines and
// passes them on to admission.
//
// A poll of a target (Poller) consists of two requests, GET /load and GET
// /cache/events?since=N, each on its own connection; see
// docs/design/engine-protocol.md. Polls start at least minPollInterval (125
// ms) apart, so an instance makes at most 16 requests a second, whatever the
// number of targets. A random part of up to a quarter of the interval is
// added, so that instances do not synchronize; the mean rate is 14.2 requests
// a second. The target that is most overdue is polled first, and none is
// polled again within minTargetInterval (250 ms). With 2 targets each is
// polled about every 0.28 s, with 12 about every 1.7 s, with 100 every 14 s.
// An engine receives the requests of all instances: with 50 instances and 100
// engines 50 * 14.2 / 100 = 7.1 a second.
//
// A poll ends after pollTimeout (1 s). No more than 8 start in a second, so
// at most 9 run at once and the pool of 16 workers is never full: a target
// that does not respond does not delay the others. A target that fails is
// polled with growing, jittered delays of up to 30 s.
//
// The sequence number for the next request is kept for each target until the
// target is removed. Missing sequence numbers become a routing.CacheGap with
// the number of lost events. A target that refused connections, or whose
// numbering restarted, may have lost its cache: that is a gap of unknown
// size.
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
	// MaxRequestsPerSecond limits the requests of one instance to all
	// targets.
	MaxRequestsPerSecond = 16
	// requestsPerPoll is the number of requests of a poll.
	requestsPerPoll = 2
	// minPollInterval is the shortest time between the starts of two polls.
	minPollInterval = requestsPerPoll * time.Second / MaxRequestsPerSecond
	// pollJitter is the share of minPollInterval that is added at random at
	// most.
	pollJitter = 0.25
	// minTargetInterval is the shortest time between two polls of a target.
	minTargetInterval = 250 * time.Millisecond
	// pollTimeout limits the duration of a poll.
	pollTimeout = time.Second
	// maxConcurrentPolls limits the polls that run at once.
	maxConcurrentPolls = 16
)

// failureBackoff sets the delays between polls of a target that fails.
var failureBackoff = backoff.Policy{Base: 500 * time.Millisecond, Max: 30 * time.Second}

// Options configures a Poller.
type Options struct {
	// Targets returns the engine targets of all pools.
	Targets func() []tables.Target
	// OnLoadReport is called with the load report of a target.
	OnLoadReport func(name string, report admission.LoadReport)
	// OnCacheEvents is called with the cache events of a target, in order.
	OnCacheEvents func(name string, events []routing.CacheEvent)
	// Clock is the source of time; nil means the system clock.
	Clock clockwork.Clock
	// Rand is the source of the jitter; nil means one with a fixed seed.
	Rand *rand.Rand
	// Logger logs when a target starts or stops failing; nil means no log.
	Logger *zap.Logger
}

// Poller polls targets at a limited rate.
type Poller struct {
	options Options
	clock   clockwork.Clock
	// rng is used only by the goroutine of Run.
	rng *rand.Rand
	log *zap.Logger

	// mu guards targets and, in each of them, isPolling and nextPollAt.
	mu      sync.Mutex
	targets map[string]*polledTarget
}

// polledTarget is the state of one target.
type polledTarget struct {
	info tables.Target
	// isPolling is set while a poll runs, and nextPollAt is the earliest time
	// of the next. Both are guarded by Poller.mu.
	isPolling  bool
	nextPollAt time.Time
	// The fields below are used only by the poll that runs.
	retryDelays *backoff.Backoff
	isFailing   bool
	age         ageEstimator
	cursor      eventCursor
}

// New returns a poller; Run starts it.
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
		options: o, clock: o.Clock, rng: o.Rand, log: o.Logger,
		targets: make(map[string]*polledTarget),
	}
}

// Run polls targets until the context is cancelled, and then waits for the
// running polls.
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

// pollInterval returns the time until the next poll starts.
func (p *Poller) pollInterval() time.Duration {
	return minPollInterval + time.Duration(pollJitter*p.rng.Float64()*float64(minPollInterval))
}

// nextDue returns the target that is most overdue and marks it as polling;
// nil if none is due.
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

// syncTargets adds new targets and removes those that are no longer
// configured or have another address; p.mu is held.
func (p *Poller) syncTargets(configured []tables.Target, now time.Time) {
	present := make(map[string]bool, len(configured))
	for _, info := range configured {
		present[info.Name] = true
		if t := p.targets[info.Name]; t != nil && t.info.Address == info.Address {
			continue
		}
		jitter := rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
		p.targets[info.Name] = &polledTarget{info: info, nextPollAt: now, retryDelays: backoff.New(failureBackoff, jitter)}
	}
	for name := range p.targets {
		if !present[name] {
			delete(p.targets, name)
		}
	}
}

// poll polls one target and schedules its next poll.
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

// recordResult updates the failure state of a target after a poll and returns
// the delay until the next.
func (p *Poller) recordResult(t *polledTarget, err error) time.Duration {
	if err == nil {
		if t.isFailing {
			p.log.Info("target responds to polls again", zap.String("target", t.info.Name))
		}
		t.isFailing = false
		t.retryDelays.Reset()
		return minTargetInterval
	}
	if !t.isFailing {
		p.log.Warn("cannot poll target for load and cache events; retrying with backoff", zap.String("target", t.info.Name), zap.Error(err))
	}
	t.isFailing = true
	return t.retryDelays.Next()
}
