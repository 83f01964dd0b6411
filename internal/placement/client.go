package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

var (
	// errCoordinatorTimeout means that a coordinator did not answer in time.
	errCoordinatorTimeout = errors.New("the coordinator is silent")
	// errNotCoordinator means that the instance that was asked does not coordinate.
	errNotCoordinator = errors.New("the instance does not coordinate the group")
	// errNotKnown means that the lists of targets differ for a moment.
	errNotKnown = errors.New("the target or the group is not known")
)

// Client is the side of an instance that has requests.
type Client struct {
	clock    clockwork.Clock
	logger   *zap.Logger
	send     SendFunc
	counters *Counters
	// local places requests by what this instance knows itself; it counts all
	// that the instance runs.
	local  *schedule.Scheduler
	groups atomic.Pointer[Groups]
	roster atomic.Pointer[Roster]
	nextID atomic.Uint32

	// mu guards the fields below.
	mu      sync.Mutex
	random  *rand.Rand
	pending map[uint32]chan receivedResponse
	running map[uint32]*execution
	// unavailableUntil is until when an instance is not asked.
	unavailableUntil map[string]time.Time
	// overrides are the groups that others than the roster says have taken over.
	overrides map[groupKey]coordinatorOverride
	// capacities is what coordinators said of the room in their groups.
	capacities map[groupKey]reportedCapacity
}

// receivedResponse is an answer with who gave it.
type receivedResponse struct {
	from string
	*slotResponse
}

func newClient(o *Options, counters *Counters) *Client {
	c := &Client{
		clock: o.Clock, logger: o.Logger, send: o.Send, counters: counters,
		local: schedule.New(o.Clock, o.Random()), random: o.Random(),
		pending: make(map[uint32]chan receivedResponse), running: make(map[uint32]*execution),
		unavailableUntil: make(map[string]time.Time), overrides: make(map[groupKey]coordinatorOverride), capacities: make(map[groupKey]reportedCapacity),
	}
	c.nextID.Store(c.random.Uint32())
	c.groups.Store(NewGroups(nil))
	c.roster.Store(&Roster{})
	return c
}

// Acquire waits until the request may start. The error is a
// *schedule.RefusedError or the context's.
func (c *Client) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	for range maxAttempts {
		group, coordinator := c.selectGroup(r)
		if coordinator == "" {
			break
		}
		grant, lastCoordinator, err := c.requestSlot(ctx, coordinator, group, r)
		switch {
		case errors.Is(err, errNotKnown):
		case errors.Is(err, errCoordinatorTimeout), errors.Is(err, errNotCoordinator):
			c.markUnavailable(lastCoordinator, group, err)
		default:
			return grant, err
		}
	}
	c.counters.LocalPlacements.Add(1)
	grant, err := c.local.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return c.track(c.nextID.Add(1), r, *grant, grant), nil
}

// selectGroup returns a group with targets for the request, in proportion to their
// number, and its coordinator. Of two it takes the one that had more room when
// it was last heard of.
func (c *Client) selectGroup(r *schedule.Request) (groupKey, string) {
	groups := c.groups.Load()
	targets := allowedTargets(groups.serving[r.Service], r)
	if len(targets) == 0 {
		return groupKey{}, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	randomGroup := func() groupKey { return groups.groupOf[idOf(targets[c.random.IntN(len(targets))].Key())] }
	best := randomGroup()
	if other := randomGroup(); c.hasMoreFreeSlots(other, best, now) {
		best = other
	}
	return best, c.coordinatorFor(best, now)
}

// allowedTargets returns the targets of the versions that the request may go to, or
// all if there are none.
func allowedTargets(targets []*catalog.Target, r *schedule.Request) []*catalog.Target {
	if !r.HasVersionConstraint() {
		return targets
	}
	var matching []*catalog.Target
	for _, t := range targets {
		if r.AllowsVersion(t.Version) {
			matching = append(matching, t)
		}
	}
	if len(matching) == 0 {
		return targets
	}
	return matching
}

// hasMoreFreeSlots compares what was last said of two groups; c.mu is held.
func (c *Client) hasMoreFreeSlots(a, b groupKey, now time.Time) bool {
	capacityA, capacityB := c.capacities[a], c.capacities[b]
	return now.Sub(capacityA.receivedAt) <= capacityA.validFor && now.Sub(capacityB.receivedAt) <= capacityB.validFor && capacityA.freeSlots > capacityB.freeSlots
}

// recordCapacity takes what an answer says of the room in a group.
func (c *Client) recordCapacity(group groupKey, response *slotResponse) {
	if response.Decision != decisionGranted && response.Decision != decisionQueued {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacities[group] = reportedCapacity{freeSlots: response.FreeSlots, receivedAt: c.clock.Now(), validFor: capacityValidIntervals * minCapacityInterval}
}

// markUnavailable leaves an instance alone that does not answer or coordinate.
func (c *Client) markUnavailable(address string, group groupKey, cause error) {
	if errors.Is(cause, errCoordinatorTimeout) {
		c.counters.CoordinatorTimeouts.Add(1)
	}
	now := c.clock.Now()
	c.mu.Lock()
	alreadyMarked := now.Before(c.unavailableUntil[address])
	c.unavailableUntil[address] = now.Add(unavailablePeriod)
	c.mu.Unlock()
	if !alreadyMarked {
		c.logger.Info("coordinator passed over", zap.String("peer", address), zap.String("group", group.name()),
			zap.Uint64("roster", c.roster.Load().Epoch), zap.Duration("for", unavailablePeriod), eventlog.Cause(cause))
		c.renewLeases()
	}
}

// requestSlot asks a coordinator, and those that it names, until there is a place, a
// refusal, or no answer. It returns who was asked last.
func (c *Client) requestSlot(
	ctx context.Context, coordinator string, group groupKey, r *schedule.Request,
) (grant *schedule.Grant, last string, err error) {
	id := c.nextID.Add(1)
	responses := make(chan receivedResponse, 4)
	c.mu.Lock()
	c.pending[id] = responses
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	a := &acquisition{client: c, id: id, request: r, group: group, coordinator: coordinator}
	grant, err = a.run(ctx, responses)
	return grant, a.coordinator, err
}

// acquisition is one question under way.
type acquisition struct {
	client      *Client
	id          uint32
	request     *schedule.Request
	group       groupKey
	coordinator string
	// redirected is set once a coordinator has named another group.
	redirected bool
	// queued is set while the request waits at the coordinator.
	queued bool
	// redirects counts how often the question was sent on.
	redirects      int
	lastResponseAt time.Time
}

func (a *acquisition) run(ctx context.Context, responses <-chan receivedResponse) (*schedule.Grant, error) {
	clock := a.client.clock
	a.lastResponseAt = clock.Now()
	a.sendRequest()
	delay := firstResendDelay
	timer := clock.NewTimer(delay)
	defer timer.Stop()
	timerDue := a.lastResponseAt.Add(delay)
	for {
		select {
		case <-ctx.Done():
			a.cancel()
			return nil, ctx.Err()
		case response := <-responses:
			if response.from != a.coordinator {
				a.client.releaseUnused(response)
				continue
			}
			a.lastResponseAt = clock.Now()
			a.queued = response.Decision == decisionQueued
			grant, err, final := a.handleResponse(response.slotResponse)
			if final {
				return grant, err
			}
		case <-timer.Chan():
			now := clock.Now()
			if delayed := now.Sub(timerDue); delayed > maxTimerDelay {
				a.lastResponseAt = a.lastResponseAt.Add(delayed)
			}
			delay = a.resendDelay()
			if len(responses) == 0 && now.Sub(a.lastResponseAt) >= responseTimeout+delay-resendInterval {
				a.cancel()
				return nil, errors.Wrap(errCoordinatorTimeout, a.coordinator)
			}
			a.sendRequest()
			timerDue = now.Add(delay)
			timer.Reset(delay)
		}
	}
}

// resendDelay returns the time to the next repetition.
func (a *acquisition) resendDelay() time.Duration {
	if a.queued {
		return queuedResendInterval
	}
	return resendInterval
}

// handleResponse deals with an answer; final tells that no other is awaited.
func (a *acquisition) handleResponse(response *slotResponse) (grant *schedule.Grant, err error, final bool) {
	a.client.recordCapacity(a.group, response)
	switch response.Decision {
	case decisionGranted:
		grant, err = a.newGrant(response)
		return grant, err, true
	case decisionRefused:
		return nil, &schedule.RefusedError{
			Reason: response.Reason, RetryAfter: fromMillis(response.RetryAfterMs), QueuedAhead: response.Ahead,
			Slots: response.Slots, ExpectedWait: fromMillis(response.ExpectedMs),
		}, true
	case decisionRedirected, decisionMoved:
		if a.redirects++; a.redirects > maxRedirects {
			return nil, errors.Wrap(errNotKnown, "sent on too often"), true
		}
		if response.Decision == decisionRedirected {
			a.redirect(response.Group)
			break
		}
		a.coordinator = response.Coordinator
		a.sendRequest()
	case decisionNotCoordinator:
		return nil, errors.Wrap(errNotCoordinator, a.coordinator), true
	case decisionUnknownService:
		return nil, errors.Wrap(errNotKnown, a.group.name()), true
	}
	return nil, nil, false
}

// redirect asks for a place in another group; where nobody is to be asked, the
// question is repeated as it was.
func (a *acquisition) redirect(index int) {
	c := a.client
	group := groupKey{a.group.service, index}
	if _, known := c.groups.Load().positions[group]; !known {
		return
	}
	c.mu.Lock()
	next := c.coordinatorFor(group, c.clock.Now())
	c.mu.Unlock()
	if next == "" {
		return
	}
	a.group, a.coordinator, a.redirected = group, next, true
	a.sendRequest()
}

// newGrant builds the grant, unless the target is not known here or has left.
func (a *acquisition) newGrant(response *slotResponse) (*schedule.Grant, error) {
	c := a.client
	target := c.groups.Load().byID[response.Target]
	if target == nil || target.Draining {
		// The list of targets there is newer, or older, for a moment.
		a.cancel()
		return nil, errors.Wrap(errNotKnown, "target")
	}
	grant := schedule.Grant{
		Target: target, Waited: c.clock.Since(a.request.ArrivedAt), RunningBefore: response.RunningBefore, PrefillAhead: response.Ahead,
		ExpectedFirst: fromMillis(response.ExpectedMs), Coordinator: a.coordinator,
	}
	return c.track(a.id, a.request, grant, c.local.RegisterRunning(target.Key(), a.request)), nil
}

// sendRequest sends the question.
func (a *acquisition) sendRequest() {
	now, r := a.client.clock.Now(), a.request
	message := &slotRequest{
		ID: a.id, Service: r.Service, Group: a.group.index, Epoch: a.client.roster.Load().Epoch, Redirected: a.redirected, VersionConstrained: r.HasVersionConstraint(), Priority: r.Priority,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, TokensPerEvent: r.TokensPerEvent,
		AgeMs: toMillis(now.Sub(r.ArrivedAt)), ObjectiveMs: toMillis(r.Objective), EventGapMs: toMillis(r.EventGap),
		TimeLeftMs: toMillis(r.Deadline.Sub(now)), FailureDomain: r.FailureDomain, Version: r.Version, ExcludedVersion: r.ExcludedVersion,
	}
	if !r.RetriedAt.IsZero() {
		message.RetryAgeMs = max(1, toMillis(now.Sub(r.RetriedAt)))
	}
	for _, key := range r.ExcludedTargets {
		message.ExcludedTargets = append(message.ExcludedTargets, idOf(key))
	}
	a.client.sendMessage(a.coordinator, kindSlotRequest, message)
}

func (a *acquisition) cancel() {
	a.client.sendMessage(a.coordinator, kindSlotRequest, &slotRequest{ID: a.id, Cancelled: true})
}

// handleResponse hands an handleResponse to who waits for it. A place that nobody waits for
// any more is given back.
func (c *Client) handleResponse(from string, response *slotResponse) {
	c.mu.Lock()
	responses, waiting := c.pending[response.ID]
	_, running := c.running[response.ID]
	c.mu.Unlock()
	if waiting {
		select {
		case responses <- receivedResponse{from, response}:
			return
		default:
			// Questions are repeated, and so are their answers.
			return
		}
	}
	if !running {
		c.releaseUnused(receivedResponse{from, response})
	}
}

// releaseUnused ends a place that is not needed.
func (c *Client) releaseUnused(response receivedResponse) {
	if response.Decision == decisionGranted {
		c.sendMessage(response.from, kindProgress, &progressReport{ID: response.ID, Done: true, Result: schedule.Cancelled})
	}
}

// sendMessage sends a message to a coordinator.
func (c *Client) sendMessage(address string, k messageKind, message any) {
	body, err := encode(k, message)
	if err != nil {
		c.logger.Error("coordinator not told", eventlog.Cause(err))
		return
	}
	c.counters.recordSend(c.send(address, body))
}
