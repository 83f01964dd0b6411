package placement

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// runsPerMessage bounds the requests of one renewal, so that it fits in one
// packet.
const runsPerMessage = 70

// execution is one request of this instance that runs on a target.
type execution struct {
	client  *Client
	id      uint32
	target  targetID
	request *schedule.Request
	// local counts it in the client's own scheduler; nil where the target was
	// not known there.
	local *schedule.Grant

	// mu guards the fields below.
	mu sync.Mutex
	// coordinator is who is told; "" while there is none.
	coordinator string
	first, done bool
}

// start keeps account of a request that starts.
func (c *Client) start(id uint32, r *schedule.Request, grant schedule.Grant, local *schedule.Grant) *schedule.Grant {
	e := &execution{
		client: c, id: id, target: idOf(grant.Target.Key()), request: r, local: local, coordinator: grant.Coordinator,
	}
	c.mu.Lock()
	c.running[id] = e
	c.mu.Unlock()
	return schedule.NewGrant(grant, e)
}

// ResponseStarted implements schedule.Execution.
func (e *execution) ResponseStarted(after time.Duration) {
	if e.local != nil {
		e.local.ResponseStarted(after)
	}
	e.mu.Lock()
	e.first = true
	e.mu.Unlock()
	if e.request.PromptTokens > 0 {
		e.tell(&progress{ID: e.id, FirstMicros: max(1, after.Microseconds())})
	}
}

// TokensReceived implements schedule.Execution.
func (e *execution) TokensReceived(tokens int, took time.Duration) {
	if e.local != nil {
		e.local.TokensReceived(tokens, took)
	}
	e.tell(&progress{ID: e.id, Tokens: tokens, PaceMicros: took.Microseconds()})
}

// Done implements schedule.Execution.
func (e *execution) Done(o schedule.Outcome) {
	e.mu.Lock()
	ended := e.done
	e.done = true
	e.mu.Unlock()
	if ended {
		return
	}
	if e.local != nil {
		e.local.Done(o)
	}
	e.client.mu.Lock()
	delete(e.client.running, e.id)
	e.client.mu.Unlock()
	e.tell(&progress{
		ID: e.id, Tokens: o.Tokens, PaceMicros: o.TokenSpan.Microseconds(), Done: true, Result: o.Result,
		WholeMicros: o.TotalTime.Microseconds(),
	})
}

func (e *execution) tell(p *progress) {
	e.mu.Lock()
	coordinator := e.coordinator
	e.mu.Unlock()
	if coordinator != "" {
		e.client.tell(coordinator, kindProgress, p)
	}
}

// state returns what a renewal says.
func (e *execution) state() runState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := runState{ID: e.id, Target: e.target}
	if !e.first {
		s.Reading = e.request.PromptTokens
	}
	return s
}

// follow makes another instance the one that is told.
func (e *execution) follow(coordinator string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coordinator = coordinator
}

// renew tells each coordinator all that runs on its targets.
func (c *Client) renew() {
	groups := c.groups.Load()
	now := c.clock.Now()
	c.mu.Lock()
	runs := make(map[string][]*execution)
	for _, e := range c.running {
		of, known := groups.groupOf[e.target]
		if !known {
			continue
		}
		if address := c.coordinatorOf(of, now); address != "" {
			runs[address] = append(runs[address], e)
		}
	}
	c.mu.Unlock()
	for address, executions := range runs {
		c.renewAt(address, executions, false)
	}
}

// renewAt tells a coordinator what runs on its targets; partial tells that it is
// not all.
func (c *Client) renewAt(address string, executions []*execution, partial bool) {
	partial = partial || len(executions) > runsPerMessage
	for len(executions) > 0 {
		part := executions[:min(runsPerMessage, len(executions))]
		executions = executions[len(part):]
		r := &renewal{Partial: partial}
		for _, e := range part {
			e.follow(address)
			r.Runs = append(r.Runs, e.state())
		}
		c.tell(address, kindRenewal, r)
	}
}

// run renews until the context ends.
func (c *Client) run(ctx context.Context) {
	ticker := c.clock.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.renew()
			c.alone.StartQueued()
		}
	}
}
