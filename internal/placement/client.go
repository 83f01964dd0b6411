package placement

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

var (
	// errCoordinatorTimeout means that a coordinator did not respond in time.
	errCoordinatorTimeout = errors.New("coordinator did not respond in time")
	// errNotCoordinator means that the instance does not act as a coordinator.
	errNotCoordinator = errors.New("instance is not a coordinator")
	// errNotKnown means that a target or group is unknown to one side; the target
	// lists of two instances differ briefly after a change.
	errNotKnown = errors.New("target or group not known")
	// errRequestTooLong means that no coordinator can be sent the request.
	errRequestTooLong = errors.New("slot request does not fit in a datagram")
	// errBlocked means that the granted target has told this instance that it takes no
	// requests from it.
	errBlocked = errors.New("target takes no requests from this instance")
)

// Client requests slots for the requests of this instance.
type Client struct {
	clock    clockwork.Clock
	logger   *zap.Logger
	send     SendFunc
	counters *Counters
	// local places requests without a coordinator, by the counts of this
	// instance. It counts all requests that the instance runs.
	local         *schedule.Scheduler
	self          string
	peerAddresses func() []string
	groups        atomic.Pointer[Groups]
	roster        atomic.Pointer[Roster]
	nextID        atomic.Uint32

	// mu guards the fields below.
	mu      sync.Mutex
	random  *rand.Rand
	pending map[uint32]chan receivedResponse
	running map[uint32]*execution
	// unavailableUntil is until when a coordinator is skipped, by address.
	unavailableUntil map[string]time.Time
	// overrides are the groups taken over by instances other than those that the
	// roster assigns them to.
	overrides map[groupKey]coordinatorOverride
	// capacities are the last reported free slots of each group.
	capacities map[groupKey]reportedCapacity
	// prefixes are the shared prefixes of the last requests, by service.
	prefixes map[string]*prefixHistory
}

// receivedResponse is a response with its sender.
type receivedResponse struct {
	from string
	*slotResponse
}

func newClient(o *Options, counters *Counters) *Client {
	clock := contain.Clock(o.Clock, o.Logger, "timer of a requester")
	c := &Client{
		clock: clock, logger: o.Logger, send: o.Send, counters: counters,
		local: schedule.New(clock, o.Random()), random: o.Random(), self: o.Self, peerAddresses: o.PeerAddresses,
		pending: make(map[uint32]chan receivedResponse), running: make(map[uint32]*execution),
		unavailableUntil: make(map[string]time.Time), overrides: make(map[groupKey]coordinatorOverride), capacities: make(map[groupKey]reportedCapacity),
		prefixes: make(map[string]*prefixHistory),
	}
	c.nextID.Store(c.random.Uint32())
	c.groups.Store(NewGroups(nil))
	c.roster.Store(&Roster{})
	return c
}

// Acquire waits until the request may start. The error is a
// *schedule.RefusedError or that of the context.
func (c *Client) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	for attempt := range maxAttempts {
		group, coordinator := c.selectGroup(r, attempt == 0)
		if coordinator == "" {
			break
		}
		grant, lastCoordinator, err := c.requestSlot(ctx, coordinator, group, r)
		if errors.Is(err, errRequestTooLong) {
			break
		}
		switch {
		case errors.Is(err, errNotKnown):
		case errors.Is(err, errBlocked):
			c.counters.GrantsReturned.Add(1)
			r = r.WithoutTarget(grant.Target.Key())
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

// selectGroup returns a group with targets for the request and its coordinator;
// "" if there is none. Of two groups drawn by the hash of its content, weighted by their number of
// targets, it selects the one with more free slots by the last reports.
func (c *Client) selectGroup(r *schedule.Request, byContent bool) (groupKey, string) {
	groups := c.groups.Load()
	targets := allowedTargets(groups.serving[r.Service], r)
	if len(targets) == 0 {
		return groupKey{}, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	// The content determines the two groups: a caller that returns is likely to meet the
	// coordinator that advised it when to do so.
	draws := r.Fingerprint
	if draws == 0 || !byContent || !r.RetriedAt.IsZero() {
		draws = c.random.Uint64()
	}
	groupAt := func(draw uint64) groupKey { return groups.groupOf[idOf(targets[draw%uint64(len(targets))].Key())] }
	best := groupAt(draws & math.MaxUint32)
	if other := groupAt(draws >> 32); c.hasMoreFreeSlots(other, best, now) {
		best = other
	}
	if preferred, ok := c.prefixGroup(groups, r, now); ok {
		best = preferred
	}
	return best, c.coordinatorFor(best, now)
}

// allowedTargets returns the targets of the versions allowed for the request, or
// all targets if there are none.
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

// hasMoreFreeSlots reports whether a had more free slots than b, provided that
// both reports are still valid. The caller holds c.mu.
func (c *Client) hasMoreFreeSlots(a, b groupKey, now time.Time) bool {
	capacityA, capacityB := c.capacities[a], c.capacities[b]
	return now.Sub(capacityA.receivedAt) <= capacityA.validFor && now.Sub(capacityB.receivedAt) <= capacityB.validFor && capacityA.FreeSlots > capacityB.FreeSlots
}

// recordCapacity stores the free slots of a group as stated in a response.
func (c *Client) recordCapacity(group groupKey, response *slotResponse) {
	if response.Decision != decisionGranted && response.Decision != decisionQueued {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacities[group] = reportedCapacity{Availability: schedule.Availability{FreeSlots: response.FreeSlots}, receivedAt: c.clock.Now(), validFor: capacityValidIntervals * minCapacityInterval}
}

// markUnavailable excludes an instance that did not respond or does not
// coordinate for unavailablePeriod.
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
			zap.Uint64("roster", c.roster.Load().Epoch), zap.Duration("for", unavailablePeriod), eventlog.ErrorField(cause))
		c.renewLeases()
	}
}

// requestSlot requests a slot from a coordinator, and from those that it is
// redirected to, until there is a grant, a refusal or an error. It returns the
// last coordinator contacted.
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

// acquisition is the exchange with coordinators for one slot.
type acquisition struct {
	client      *Client
	id          uint32
	request     *schedule.Request
	group       groupKey
	coordinator string
	// redirected is set once a coordinator has redirected the request to another
	// group.
	redirected bool
	// queued is set while the request is queued at the coordinator.
	queued bool
	// redirects counts how often the request has been redirected.
	redirects int
	// isTooLong is set if the request could not be sent, for the length of its names.
	isTooLong bool
	// lastResponseAt is when the last response arrived or, before any, when the
	// exchange began; delays of the instance's own timer are added.
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
		if a.isTooLong {
			a.cancel()
			return nil, errRequestTooLong
		}
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

// resendDelay returns the time until the request is sent again.
func (a *acquisition) resendDelay() time.Duration {
	if a.queued {
		return queuedResendInterval
	}
	return resendInterval
}

// handleResponse evaluates a response; final is set if no further one is
// expected.
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
			Terms: a.client.local.DescribeTerms(a.request.Service),
		}, true
	case decisionRedirected, decisionMoved:
		if a.redirects++; a.redirects > maxRedirects {
			return nil, errors.Wrap(errNotKnown, "too many redirects"), true
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

// currentCoordinator returns the coordinator of a group; "" if there is none.
func (c *Client) currentCoordinator(group groupKey) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coordinatorFor(group, c.clock.Now())
}

// redirect requests a slot in another group. If the group is unknown or has no
// coordinator, the request stays as it is and is sent again later.
func (a *acquisition) redirect(index int) {
	c := a.client
	group := groupKey{a.group.service, index}
	if _, known := c.groups.Load().positions[group]; !known {
		return
	}
	next := c.currentCoordinator(group)
	if next == "" {
		return
	}
	a.group, a.coordinator, a.redirected = group, next, true
	a.sendRequest()
}

// newGrant returns the grant, or an error if the target is unknown here or draining. If
// the error is errBlocked, the grant only names the target.
func (a *acquisition) newGrant(response *slotResponse) (*schedule.Grant, error) {
	c := a.client
	target := c.groups.Load().byID[response.Target]
	if target == nil || target.Draining {
		// The coordinator's target list differs briefly after a change.
		a.cancel()
		return nil, errors.Wrap(errNotKnown, "target")
	}
	if c.local.Blocks(target.Key()) {
		// The coordinator did not know it yet.
		a.cancel()
		return &schedule.Grant{Target: target}, errBlocked
	}
	grant := schedule.Grant{
		Target: target, Waited: c.clock.Since(a.request.ArrivedAt), RunningBefore: response.RunningBefore, PrefillAhead: response.Ahead,
		ExpectedTimeToFirst: fromMillis(response.ExpectedMs), CachedTokens: response.cachedTokens(), Coordinator: a.coordinator,
	}
	localGrant := c.local.RegisterRunning(target.Key(), a.request)
	if localGrant != nil {
		grant.ExpectedTokenTime = localGrant.ExpectedTokenTime
	}
	return c.track(a.id, a.request, grant, localGrant), nil
}

// sendRequest sends the slot request to the coordinator.
func (a *acquisition) sendRequest() {
	now, r := a.client.clock.Now(), a.request
	message := &slotRequest{
		ID: a.id, Service: r.Service, Group: a.group.index, Epoch: a.client.roster.Load().Epoch, Redirected: a.redirected, VersionConstrained: r.HasVersionConstraint(), Priority: r.Priority,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, TokensPerEvent: r.TokensPerEvent,
		AgeMs: toMillis(now.Sub(r.ArrivedAt)), ObjectiveMs: toMillis(r.LatencyObjective), EventGapMs: toMillis(r.EventGapObjective),
		TimeLeftMs: toMillis(r.Deadline.Sub(now)), FailureDomain: r.FailureDomain, Version: r.Version, ExcludedVersion: r.ExcludedVersion,
		addition: newSlotAddition(r),
	}
	if !r.RetriedAt.IsZero() {
		message.RetryAgeMs = max(1, toMillis(now.Sub(r.RetriedAt)))
	}
	for _, key := range r.ExcludedTargets {
		message.ExcludedTargets = append(message.ExcludedTargets, idOf(key))
	}
	body, err := encodeSlotRequest(message)
	a.isTooLong = len(body) > peer.MaxDatagramBytes
	a.client.sendEncoded(a.coordinator, body, err)
}

func (a *acquisition) cancel() {
	a.client.sendMessage(a.coordinator, kindSlotRequest, &slotRequest{ID: a.id, Cancel: true})
}

// handleResponse passes a response to the acquisition that waits for it. A
// granted slot that is no longer needed is released.
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
			// The request will be sent again, and so will the response.
			return
		}
	}
	if !running {
		c.releaseUnused(receivedResponse{from, response})
	}
}

// releaseUnused releases the slot of a response that is no longer needed.
func (c *Client) releaseUnused(response receivedResponse) {
	if response.Decision == decisionGranted {
		c.sendMessage(response.from, kindProgress, &progressReport{ID: response.ID, Done: true, Result: schedule.Cancelled})
	}
}

// handleTerms records the terms of targets that another instance has received.
func (c *Client) handleTerms(from string, r *termsReport) {
	groups, now := c.groups.Load(), c.clock.Now()
	for i := range r.Terms {
		if target := groups.byID[r.Terms[i].Target]; target != nil {
			c.recordTerms(target.Key(), r.Terms[i].heard(from, now), time.Time{})
		}
	}
}

// sendMessage sends a message to a coordinator.
func (c *Client) sendMessage(address string, k messageKind, message any) {
	body, err := encode(k, message)
	c.sendEncoded(address, body, err)
}

// sendEncoded sends a message to a coordinator unless its encoding has failed.
func (c *Client) sendEncoded(address string, body []byte, err error) {
	if err != nil {
		c.logger.Error("encoding a message for a coordinator failed", eventlog.ErrorField(err))
		return
	}
	c.counters.countSendError(c.send(address, body))
}
