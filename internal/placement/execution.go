package placement

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// requestsPerRenewal limits the requests of one renewal message, so that it fits
// in one packet.
const requestsPerRenewal = 70

// execution is a request of this instance that runs on a target.
type execution struct {
	client  *Client
	id      uint32
	target  targetID
	key     catalog.TargetKey
	request *schedule.Request
	// startedAt is when the request was placed.
	startedAt time.Time
	// localGrant counts the request in the client's local scheduler; nil if that
	// did not know the target.
	localGrant *schedule.Grant

	// mu guards the fields below.
	mu sync.Mutex
	// coordinator is the address that progress is reported to; "" if there is
	// none.
	coordinator            string
	responseStarted, ended bool
}

// track registers a request that starts. If its group has another coordinator
// since the grant, the request is reported to that one at once: it was not among
// those reported when the coordinator changed, and its slot would be granted
// again until the next renewal.
func (c *Client) track(id uint32, r *schedule.Request, grant schedule.Grant, localGrant *schedule.Grant) *schedule.Grant {
	e := &execution{
		client: c, id: id, target: idOf(grant.Target.Key()), key: grant.Target.Key(), request: r, startedAt: c.clock.Now(), localGrant: localGrant, coordinator: grant.Coordinator,
	}
	c.mu.Lock()
	c.running[id] = e
	current := ""
	if group, known := c.groups.Load().groupOf[e.target]; known {
		current = c.coordinatorFor(group, c.clock.Now())
	}
	c.mu.Unlock()
	if current != grant.Coordinator && current != "" {
		c.sendRenewals(current, []*execution{e}, true)
	}
	return schedule.NewGrant(grant, e)
}

// ResponseStarted implements schedule.ExecutionObserver.
func (e *execution) ResponseStarted(after time.Duration) {
	if e.localGrant != nil {
		e.localGrant.ResponseStarted(after)
	}
	e.mu.Lock()
	e.responseStarted = true
	e.mu.Unlock()
	if e.request.PromptTokens > 0 {
		e.reportProgress(&progressReport{ID: e.id, TimeToFirstMicros: max(1, after.Microseconds())})
	}
}

// TokensReceived implements schedule.ExecutionObserver.
func (e *execution) TokensReceived(tokens int, took time.Duration) {
	if e.localGrant != nil {
		e.localGrant.TokensReceived(tokens, took)
	}
	e.reportProgress(&progressReport{ID: e.id, Tokens: tokens, TokenSpanMicros: took.Microseconds()})
}

// Silent implements schedule.ExecutionObserver.
func (e *execution) Silent() {
	if e.localGrant != nil {
		e.localGrant.Silent()
	}
	e.reportProgress(&progressReport{ID: e.id, Result: schedule.Failed})
}

// TermsStated implements schedule.ExecutionObserver.
func (e *execution) TermsStated(terms schedule.Terms) {
	c := e.client
	before, changed := c.local.RecordTerms(e.key, schedule.HeardTerms{Terms: terms, At: c.clock.Now()}, e.startedAt)
	if changed {
		c.counters.TermsChanged.Add(1)
		c.logger.Info("terms of a target changed", zap.String("target", e.key.String()), zap.Stringer("before", before), zap.Stringer("now", terms))
	}
}

// Done implements schedule.ExecutionObserver.
func (e *execution) Done(o schedule.Outcome) {
	e.mu.Lock()
	alreadyEnded := e.ended
	e.ended = true
	e.mu.Unlock()
	if alreadyEnded {
		return
	}
	if e.localGrant != nil {
		e.localGrant.Done(o)
	}
	e.client.mu.Lock()
	delete(e.client.running, e.id)
	e.client.mu.Unlock()
	e.reportProgress(&progressReport{
		ID: e.id, Tokens: o.Tokens, TokenSpanMicros: o.TokenSpan.Microseconds(), Done: true, Result: o.Result,
		TotalMicros: o.TotalTime.Microseconds(),
	})
}

func (e *execution) reportProgress(p *progressReport) {
	e.mu.Lock()
	coordinator := e.coordinator
	e.mu.Unlock()
	if coordinator != "" {
		e.client.sendMessage(coordinator, kindProgress, p)
	}
}

// state returns the request's entry in a renewal.
func (e *execution) state() runningRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := runningRequest{ID: e.id, Target: e.target}
	if !e.responseStarted {
		state.PrefillTokens = e.request.PromptTokens
	}
	return state
}

// setCoordinator changes the instance that progress is reported to.
func (e *execution) setCoordinator(coordinator string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coordinator = coordinator
}

// renewLeases reports to each coordinator all requests that run on its targets.
func (c *Client) renewLeases() {
	groups := c.groups.Load()
	now := c.clock.Now()
	c.mu.Lock()
	byCoordinator := make(map[string][]*execution)
	for _, e := range c.running {
		group, known := groups.groupOf[e.target]
		if !known {
			continue
		}
		if address := c.coordinatorFor(group, now); address != "" {
			byCoordinator[address] = append(byCoordinator[address], e)
		}
	}
	c.mu.Unlock()
	for address, executions := range byCoordinator {
		c.sendRenewals(address, executions, false)
	}
}

// sendRenewals reports running requests to their coordinator; partial means that
// the list is not complete.
func (c *Client) sendRenewals(address string, executions []*execution, partial bool) {
	partial = partial || len(executions) > requestsPerRenewal
	for len(executions) > 0 {
		batch := executions[:min(requestsPerRenewal, len(executions))]
		executions = executions[len(batch):]
		renewal := &leaseRenewal{Partial: partial}
		for _, e := range batch {
			e.setCoordinator(address)
			renewal.Running = append(renewal.Running, e.state())
		}
		c.sendMessage(address, kindRenewal, renewal)
	}
}

// run renews leases, and starts locally queued requests, until the context ends.
func (c *Client) run(ctx context.Context) {
	ticker := c.clock.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.renewLeases()
			c.local.StartQueued()
		}
	}
}
