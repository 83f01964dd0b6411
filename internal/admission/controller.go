package admission

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/estimate"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// maxStepInterval is the longest time between two steps.
	maxStepInterval = 25 * time.Millisecond
	// minStepInterval is the shortest time between two steps.
	minStepInterval = 4 * time.Millisecond
	// maxLengthAverages bounds the number of output length averages held.
	maxLengthAverages = 16384
	// maxInboxDatagrams bounds the datagrams queued for the next step. Further
	// ones are dropped; the protocol tolerates datagram loss.
	maxInboxDatagrams = 4096
)

// Controller admits requests to targets and divides the capacity of the targets
// that it coordinates among the entries.
type Controller struct {
	options     Options
	clock       clockwork.Clock
	log         *zap.Logger
	seed        uint64
	lengths     *estimate.LengthEstimator
	scratchPool sync.Pool
	jobCount    atomic.Uint64
	routingTurn atomic.Uint64
	draining    atomic.Bool
	counters    counters
	wakeup      chan struct{}

	// pools points to a map that is copied on write; poolsMu serializes writers.
	pools   atomic.Pointer[map[string]*pool]
	poolsMu sync.Mutex

	// inboxMu guards inbox.
	inboxMu sync.Mutex
	inbox   []*credit.Datagram

	// stepMu serializes steps and guards the fields below.
	stepMu   sync.Mutex
	ledgers  map[string]*credit.Ledger
	rankings rankings
}

// New returns a controller. It registers its datagram handler with the bus, which
// must not have been started yet.
func New(o Options) *Controller {
	o = o.withDefaults()
	c := &Controller{
		options: o, clock: o.Clock, log: o.Logger, seed: o.Rand.Uint64(),
		lengths: estimate.NewLengthEstimator(maxLengthAverages),
		wakeup:  make(chan struct{}, 1),
		ledgers: make(map[string]*credit.Ledger),
	}
	c.scratchPool.New = func() any { return &scratch{} }
	c.pools.Store(&map[string]*pool{})
	if o.Bus != nil {
		o.Bus.HandleDatagram(peer.KindCredit, c.handleDatagram)
	}
	return c
}

// Admit blocks until the request may run and returns its grant. The error is a
// *fault.Refusal, ErrDraining, or wraps the context's error.
func (c *Controller) Admit(ctx context.Context, r *Request) (*Grant, error) {
	g, j, err := c.submit(r)
	if g != nil || err != nil {
		return g, err
	}
	select {
	case result := <-j.result:
		return result.grant, result.err
	case <-ctx.Done():
		j.pool.cancelWait(j, c.clock.Now())
		return nil, fault.At(fault.StepWait, "", ctx.Err())
	}
}

// submit starts the request immediately or queues it. If it is queued, exactly
// one result is sent on the returned job's result channel.
func (c *Controller) submit(r *Request) (*Grant, *job, error) {
	if c.draining.Load() && !r.WaitThroughDrain {
		return nil, nil, ErrDraining
	}
	now := c.clock.Now()
	p := c.pool(r.Pool, now)
	if err := p.chargeRetryBudget(r); err != nil {
		return nil, nil, err
	}
	j := c.newJob(p, r, now)
	if p.waiting.Load() == 0 && !j.waitExpired(now) {
		if g := p.tryStart(j, now, nil); g != nil {
			c.counters.recordAdmitted(j.tier, 0)
			return g, nil, nil
		}
	}
	if err := p.enqueue(j, now); err != nil {
		return nil, nil, err
	}
	c.wake()
	return nil, j, nil
}

// chargeRetryBudget earns retry budget for a first attempt and spends it for a
// retry, which is refused when the budget is exhausted.
func (p *pool) chargeRetryBudget(r *Request) error {
	if len(r.ExcludedTargets) == 0 {
		p.retryBudget.RecordRequest()
		return nil
	}
	if p.retryBudget.TakeRetry() {
		return nil
	}
	p.controller.counters.retriesRefused.Add(1)
	return &fault.Refusal{
		Execution: fault.NotRun, Step: fault.StepWait, Status: http.StatusServiceUnavailable,
		RetryAfter: minRetryAfter, Reason: "the pool's retry budget is spent",
	}
}

// Drain fails all queued and all later requests with ErrDraining, except those
// with WaitThroughDrain, and returns how many were queued. Running requests
// continue.
func (c *Controller) Drain() int {
	c.draining.Store(true)
	returned := 0
	for _, p := range *c.pools.Load() {
		returned += p.drain()
	}
	return returned
}

// ReportLoad stores a target's load report. Reports of unknown targets are ignored.
func (c *Controller) ReportLoad(name string, report LoadReport) {
	if t := c.target(name); t != nil {
		t.load.Store(&report)
	}
}

// ReportCacheEvents applies a target's cache events. Events of unknown targets are
// ignored.
func (c *Controller) ReportCacheEvents(name string, events []routing.CacheEvent) {
	if t := c.target(name); t != nil {
		t.prefixIndex.ApplyEvents(events)
	}
}

// Run performs the background steps until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := c.clock.NewTicker(maxStepInterval)
	defer ticker.Stop()
	for {
		c.step()
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(minStepInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-c.wakeup:
		}
	}
}

// wake makes Run perform its next step without waiting for the ticker.
func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// pool returns the pool's state, creating it on first use.
func (c *Controller) pool(name string, now time.Time) *pool {
	if p := (*c.pools.Load())[name]; p != nil {
		return p
	}
	c.poolsMu.Lock()
	defer c.poolsMu.Unlock()
	old := *c.pools.Load()
	if p := old[name]; p != nil {
		return p
	}
	p := newPool(c, name)
	p.refresh(now)
	next := maps.Clone(old)
	next[name] = p
	c.pools.Store(&next)
	return p
}

func (c *Controller) target(name string) *target {
	for _, p := range *c.pools.Load() {
		for _, t := range *p.targets.Load() {
			if t.info.Load().Name == name {
				return t
			}
		}
	}
	return nil
}
