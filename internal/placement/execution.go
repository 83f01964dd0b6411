package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// requestsPerRenewal limits the requests of one renewal message, so that it fits
// in one packet.
const requestsPerRenewal = 70

// termsPerReport is the same limit for the terms of targets.
const termsPerReport = 30

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
	// grantedBy is the address of the coordinator that granted the slot; "" if none
	// did.
	grantedBy string
	// memoryKnown is set if the memory of the target is known.
	memoryKnown bool

	// mu guards the fields below.
	mu sync.Mutex
	// coordinator is the address that progress is reported to; "" if there is
	// none.
	coordinator            string
	responseStarted, ended bool
	// terms are those in the header of the response that the coordinator is told
	// of, received at termsAt; nil if there is nothing to tell.
	terms   *targetTerms
	termsAt time.Time
}

// track registers a request that starts. If its group has another coordinator
// since the grant, the request is reported to that one at once: it was not among
// those reported when the coordinator changed, and its slot would be granted
// again until the next renewal.
func (c *Client) track(id uint32, r *schedule.Request, grant schedule.Grant, localGrant *schedule.Grant) *schedule.Grant {
	e := &execution{
		client: c, id: id, target: idOf(grant.Target.Key()), key: grant.Target.Key(), request: r, startedAt: c.clock.Now(), localGrant: localGrant,
		grantedBy: grant.Coordinator, coordinator: grant.Coordinator, memoryKnown: grant.Target.Limits.MemoryTokens > 0,
	}
	tracked := false
	defer func() {
		if !tracked {
			e.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}()
	current := c.addRunning(e)
	if current != grant.Coordinator && current != "" {
		c.sendRenewals(current, []*execution{e}, true)
	}
	tracked = true
	return schedule.NewGrant(grant, e)
}

// addRunning registers a request, and returns the coordinator of its group; "" if there is none.
func (c *Client) addRunning(e *execution) (coordinator string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[e.id] = e
	if group, known := c.groups.Load().groupOf[e.target]; known {
		return c.coordinatorFor(group, c.clock.Now())
	}
	return ""
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

// TermsStated implements schedule.ExecutionObserver. Changes are reported to the
// coordinator at once, and the terms with the end of the request again, as a message
// may be lost.
func (e *execution) TermsStated(terms schedule.Terms) {
	c := e.client
	heard := schedule.HeardTerms{Terms: terms, At: c.clock.Now()}
	changed := c.recordTerms(e.key, heard, e.startedAt)
	if !changed && !terms.AreStated() {
		return
	}
	message := newTargetTerms(e.key, heard, heard.At)
	e.mu.Lock()
	e.terms, e.termsAt = &message, heard.At
	e.mu.Unlock()
	if changed {
		e.reportTerms(&message)
	}
}

// reportTerms tells the coordinator of the request the terms of its target.
func (e *execution) reportTerms(terms *targetTerms) {
	e.mu.Lock()
	coordinator := e.coordinator
	e.mu.Unlock()
	if coordinator != "" {
		e.client.sendTermsReport(coordinator, &termsReport{ID: e.id, Terms: []targetTerms{*terms}})
	}
}

// recordTerms records the terms of a target for requests placed without a
// coordinator. It reports whether they have changed.
func (c *Client) recordTerms(key catalog.TargetKey, heard schedule.HeardTerms, sentAt time.Time) bool {
	before, changed := c.local.RecordTerms(key, heard, sentAt)
	if changed {
		c.counters.TermsChanged.Add(1)
		c.logger.Info("terms of a target changed", zap.String("target", key.String()), zap.Stringer("before", before),
			zap.Stringer("now", heard.Terms), zap.Duration("age", c.clock.Since(heard.At)), zap.String("peer", heard.By))
	}
	return changed
}

// Done implements schedule.ExecutionObserver.
func (e *execution) Done(o schedule.Outcome) {
	e.mu.Lock()
	alreadyEnded, terms, termsAt := e.ended, e.terms, e.termsAt
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
	if terms != nil {
		repeated := terms.later(e.client.clock.Since(termsAt))
		e.reportTerms(&repeated)
	}
	e.reportProgress(&progressReport{
		ID: e.id, Tokens: o.Tokens, TokenSpanMicros: o.TokenSpan.Microseconds(), Done: true, Result: o.Result,
		TotalMicros: o.TotalTime.Microseconds(),
	})
}

// reportProgress reports to the coordinator. The end of the request is also reported to
// the instance that granted its slot, which may still coordinate the group for others.
func (e *execution) reportProgress(p *progressReport) {
	e.mu.Lock()
	coordinator := e.coordinator
	e.mu.Unlock()
	if coordinator != "" {
		e.client.sendMessage(coordinator, kindProgress, p)
	}
	if p.Done && e.grantedBy != "" && e.grantedBy != coordinator {
		e.client.sendMessage(e.grantedBy, kindProgress, p)
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
	if e.memoryKnown && e.localGrant != nil {
		state.heldTokens = e.localGrant.HeldTokens()
	}
	return state
}

// setCoordinator changes the instance that progress is reported to.
func (e *execution) setCoordinator(coordinator string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coordinator = coordinator
}

// renewLeases reports to each coordinator all requests that run on its targets, and
// the terms of those that state any.
func (c *Client) renewLeases() {
	byCoordinator, termsFor := c.dueRenewals()
	for address, executions := range byCoordinator {
		c.sendRenewals(address, executions, false)
	}
	for address, terms := range termsFor {
		c.sendTerms(address, terms)
	}
}

// dueRenewals returns, by coordinator, the requests that run on its targets and the terms of
// those that state any.
func (c *Client) dueRenewals() (byCoordinator map[string][]*execution, termsFor map[string][]targetTerms) {
	groups := c.groups.Load()
	now := c.clock.Now()
	stated := c.local.StatedTerms()
	c.mu.Lock()
	defer c.mu.Unlock()
	byCoordinator = make(map[string][]*execution)
	for _, e := range c.running {
		group, known := groups.groupOf[e.target]
		if !known {
			continue
		}
		if address := c.coordinatorFor(group, now); address != "" {
			byCoordinator[address] = append(byCoordinator[address], e)
		}
	}
	termsFor = make(map[string][]targetTerms)
	for _, t := range stated {
		if group, known := groups.groupOf[idOf(t.Key)]; known {
			if address := c.coordinatorFor(group, now); address != "" {
				termsFor[address] = append(termsFor[address], newTargetTerms(t.Key, t.HeardTerms, now))
			}
		}
	}
	return byCoordinator, termsFor
}

// sendTerms tells a coordinator the terms of targets.
func (c *Client) sendTerms(address string, terms []targetTerms) {
	for batch := range slices.Chunk(terms, termsPerReport) {
		c.sendTermsReport(address, &termsReport{Terms: batch})
	}
}

func (c *Client) sendTermsReport(address string, report *termsReport) {
	body, err := encodeTerms(report)
	if err != nil {
		c.logger.Error("encoding the terms of targets failed", eventlog.ErrorField(err))
		return
	}
	c.counters.countSendError(c.send(address, body))
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
		body, err := encodeRenewal(renewal)
		c.sendEncoded(address, body, err)
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
			c.updateShare()
			c.renewLeases()
			c.local.StartQueued()
		}
	}
}

// updateShare divides the terms of targets among the instances, for requests placed
// without a coordinator.
func (c *Client) updateShare() {
	index, instances := 0, 1
	for _, address := range c.peerAddresses() {
		if address == c.self {
			continue
		}
		instances++
		if address < c.self {
			index++
		}
	}
	c.local.SetShare(index, instances)
}
