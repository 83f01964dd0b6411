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
	// tick is the longest time between two steps.
	tick = 25 * time.Millisecond
	// minTick is the shortest time between two steps.
	minTick = 4 * time.Millisecond
	// lengthBound bounds the averages of output lengths.
	lengthBound = 16384
	// inboxBound bounds datagrams that wait for a step; more are dropped, as
	// a network would.
	inboxBound = 4096
)

// Controller admits requests to targets.
type Controller struct {
	options  Options
	clock    clockwork.Clock
	log      *zap.Logger
	seed     uint64
	lengths  *estimate.LengthEstimator
	scratch  sync.Pool
	arrivals atomic.Uint64
	turn     atomic.Uint64
	draining atomic.Bool
	counters counters
	wakeup   chan struct{}

	// pools is replaced, never changed; poolsMu serialises replacements.
	pools   atomic.Pointer[map[string]*pool]
	poolsMu sync.Mutex

	// inboxMu guards inbox.
	inboxMu sync.Mutex
	inbox   []*credit.Datagram

	// stepMu serialises steps and guards the fields below.
	stepMu   sync.Mutex
	ledgers  map[string]*credit.Ledger
	rankings rankings
}

// New returns a controller. It registers its datagram handler at the bus, which
// must not have been started.
func New(o Options) *Controller {
	o = o.withDefaults()
	c := &Controller{
		options: o, clock: o.Clock, log: o.Logger, seed: o.Rand.Uint64(),
		lengths: estimate.NewLengthEstimator(lengthBound),
		wakeup:  make(chan struct{}, 1),
		ledgers: make(map[string]*credit.Ledger),
	}
	c.scratch.New = func() any { return &scratch{} }
	c.pools.Store(&map[string]*pool{})
	if o.Bus != nil {
		o.Bus.HandleDatagram(peer.KindCredit, c.receive)
	}
	return c
}

// Admit waits until the request may run and returns the right to do so. The
// error is a *fault.Refusal, ErrDraining, or the context's.
func (c *Controller) Admit(ctx context.Context, r *Request) (*Grant, error) {
	g, t, err := c.submit(r)
	if g != nil || err != nil {
		return g, err
	}
	select {
	case result := <-t.result:
		return result.grant, result.err
	case <-ctx.Done():
		t.pool.abandon(t, c.clock.Now())
		return nil, fault.At(fault.StepWait, "", ctx.Err())
	}
}

// submit starts the request at once, or lets it wait: then the ticket's result
// channel gets its one result.
func (c *Controller) submit(r *Request) (*Grant, *ticket, error) {
	if c.draining.Load() && !r.Stays {
		return nil, nil, ErrDraining
	}
	now := c.clock.Now()
	p := c.pool(r.Pool, now)
	if err := p.payFor(r); err != nil {
		return nil, nil, err
	}
	t := c.newTicket(p, r, now)
	if p.waiting.Load() == 0 && !t.ended(now) {
		if g := p.place(t, now, nil); g != nil {
			c.counters.admitted(t.tier, 0)
			return g, nil, nil
		}
	}
	if err := p.enqueue(t, now); err != nil {
		return nil, nil, err
	}
	c.wake()
	return nil, t, nil
}

// payFor charges a retry to the pool's budget.
func (p *pool) payFor(r *Request) error {
	if len(r.Avoid) == 0 {
		p.budget.RecordRequest()
		return nil
	}
	if p.budget.TakeRetry() {
		return nil
	}
	p.controller.counters.retriesRefused.Add(1)
	return &fault.Refusal{
		Run: fault.NotRun, Step: fault.StepWait, Status: http.StatusServiceUnavailable,
		RetryAfter: minRetryAfter, Reason: "the pool's retry budget is spent",
	}
}

// Drain gives all waiting requests but those that stay back with ErrDraining,
// now and from now on, and returns how many waited. Running requests go on.
func (c *Controller) Drain() int {
	c.draining.Store(true)
	returned := 0
	for _, p := range *c.pools.Load() {
		returned += p.drain()
	}
	return returned
}

// ReportLoad takes a target's load report; unknown targets are ignored.
func (c *Controller) ReportLoad(name string, report LoadReport) {
	if t := c.target(name); t != nil {
		t.load.Store(&report)
	}
}

// ReportCache takes a target's cache events; unknown targets are ignored.
func (c *Controller) ReportCache(name string, events []routing.CacheEvent) {
	if t := c.target(name); t != nil {
		t.prefix.ApplyEvents(events)
	}
}

// Run does the background work until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := c.clock.NewTicker(tick)
	defer ticker.Stop()
	for {
		c.step()
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(minTick):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-c.wakeup:
		}
	}
}

// wake lets Run make a step soon.
func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// pool returns the pool's state, which is made on first use.
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
