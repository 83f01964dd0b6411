package placement

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// Server coordinates groups of targets: it decides on the slot requests of all
// instances.
type Server struct {
	clock         clockwork.Clock
	logger        *zap.Logger
	send          SendFunc
	address       string
	draining      func() bool
	isResuming    func() bool
	peerAddresses func() []string
	roster        func() *Roster
	// lookUpCoordinator returns the coordinator of a group as far as is known.
	lookUpCoordinator func(groupKey) string
	scheduler         *schedule.Scheduler
	counters          *Counters
	groups            atomic.Pointer[Groups]

	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	// requests are the queued and running requests of all instances, by instance
	// and request ID.
	requests map[string]map[uint32]*heldRequest
	// capacities are the last reports of free slots, by position of the group.
	capacities map[int]reportedCapacity
	// requestedAt is when a slot in a group was last requested here. A group
	// without an entry is not coordinated here.
	requestedAt map[groupKey]time.Time
	// takenOverAt is when a group was last taken over here.
	takenOverAt map[groupKey]time.Time
	// deferred holds the slot requests for groups that are being probed or taken
	// over.
	deferred map[groupKey][]deferredRequest
	// moves are the groups that other instances coordinate instead.
	moves map[groupKey]groupMove
}

// deferredRequest is a slot request with its sender.
type deferredRequest struct {
	from    string
	request *slotRequest
}

// groupMove names the instance that coordinates a group instead of this one.
type groupMove struct {
	coordinator string
	until       time.Time
}

// heldRequest is a queued or running request of an instance, guarded by
// Server.mu.
type heldRequest struct {
	group groupKey
	// grant is nil while the request is queued.
	grant    *schedule.Grant
	queued   *schedule.QueuedRequest
	response *slotResponse
	// decidedAt is when the request was queued or granted, renewedAt when a
	// message last referred to it.
	decidedAt, renewedAt time.Time
	// sentAt is when the slot was granted here; zero if that was elsewhere.
	sentAt time.Time
}

func newServer(o *Options, counters *Counters) *Server {
	clock := contain.Clock(o.Clock, o.Logger, "timer of a coordinator")
	s := &Server{
		clock: clock, logger: o.Logger, send: o.Send, address: o.Self, draining: o.Draining, isResuming: o.IsResuming, peerAddresses: o.PeerAddresses,
		counters: counters, scheduler: schedule.New(clock, o.Random()), random: o.Random(), roster: func() *Roster { return &Roster{} },
		lookUpCoordinator: func(groupKey) string { return "" },
		requests:          make(map[string]map[uint32]*heldRequest), capacities: make(map[int]reportedCapacity), requestedAt: make(map[groupKey]time.Time),
		takenOverAt: make(map[groupKey]time.Time), deferred: make(map[groupKey][]deferredRequest), moves: make(map[groupKey]groupMove),
	}
	s.groups.Store(NewGroups(nil))
	return s
}

// setGroups replaces the division of targets; running requests keep their
// targets.
func (s *Server) setGroups(groups *Groups) {
	s.groups.Store(groups)
	s.scheduler.SetTargets(groups.schedulerTargets())
}

// handleSlotRequest handles a slot request: a cancellation, a repetition or a new
// one.
func (s *Server) handleSlotRequest(from string, r *slotRequest) {
	previous := s.previousResponse(from, r.ID)
	switch {
	case r.Cancel:
		if previous != nil {
			s.endRequest(from, r.ID, schedule.Outcome{Result: schedule.Cancelled})
		}
	case previous != nil && previous.Decision == decisionQueued && !r.VersionConstrained && s.redirectQueued(from, r.ID):
	case previous != nil:
		s.sendResponse(from, previous)
	case s.drainingAndUnlisted():
		s.sendResponse(from, &slotResponse{ID: r.ID, Decision: decisionNotCoordinator})
	default:
		s.routeRequest(from, r)
	}
}

// drainingAndUnlisted reports whether the instance is draining and the roster no
// longer lists it.
func (s *Server) drainingAndUnlisted() bool {
	return s.draining() && !slices.Contains(s.roster().Addresses, s.address)
}

// routeRequest places a new slot request in its group if the group is coordinated
// here.
func (s *Server) routeRequest(from string, r *slotRequest) {
	group, known := s.groups.Load().find(r.Service, r.Group)
	if !known {
		s.sendResponse(from, &slotResponse{ID: r.ID, Decision: decisionUnknownService})
		return
	}
	if coordinator := s.movedCoordinator(group); coordinator != "" {
		s.sendResponse(from, &slotResponse{ID: r.ID, Decision: decisionMoved, Coordinator: coordinator})
		return
	}
	if s.ensureCoordinated(group, deferredRequest{from, r}) {
		s.placeRequest(from, r, group)
	}
}

// previousResponse returns the response to a slot request that is already known,
// and renews its lease; nil if it is new.
func (s *Server) previousResponse(from string, id uint32) *slotResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.requests[from][id]
	if h == nil {
		return nil
	}
	h.renewedAt = s.clock.Now()
	return h.response
}

// placeRequest submits a new slot request to the scheduler. If no slot is free,
// it is redirected to a group with free slots where allowed.
func (s *Server) placeRequest(from string, r *slotRequest, group groupKey) {
	groups := s.groups.Load()
	s.counters.RequestsDecided.Add(1)
	request := r.schedulerRequest(s.clock.Now(), group, groups)
	request.Instance = from
	grant, queued, err := s.scheduler.Submit(request)
	if grant == nil && !r.VersionConstrained && !r.Redirected {
		if other, ok := s.findBetterGroup(group, request, queued != nil); ok {
			if grant = s.withdraw(queued, err); grant == nil {
				s.redirect(from, r.ID, other)
				return
			}
		}
	}
	s.storeAndReply(from, r.ID, &heldRequest{group: group, grant: grant, queued: queued}, err)
}

// findBetterGroup returns a group with free slots or, if there is none, one where
// the request is expected to wait less. inQueue is set if it has joined the queue
// here.
func (s *Server) findBetterGroup(group groupKey, r *schedule.Request, inQueue bool) (groupKey, bool) {
	if other, ok := s.reserveElsewhere(group); ok {
		return other, true
	}
	own := s.scheduler.Availability(group.name())
	ownWait := own.ExpectedWait(r.Priority)
	if inQueue {
		ownWait -= own.SlotInterval
	}
	return s.queueElsewhere(group, r.Priority, ownWait)
}

func (s *Server) redirect(from string, id uint32, group groupKey) {
	s.counters.RequestsRedirected.Add(1)
	s.sendResponse(from, &slotResponse{ID: id, Decision: decisionRedirected, Group: group.index})
}

// redirectQueued redirects a request that has been queued for redirectQueuedAfter
// to a group with free slots, unless there are any here. It reports whether no
// further response is due.
func (s *Server) redirectQueued(from string, id uint32) bool {
	s.mu.Lock()
	h := s.requests[from][id]
	if h == nil || h.queued == nil || s.clock.Since(h.decidedAt) < redirectQueuedAfter {
		s.mu.Unlock()
		return false
	}
	queued, group := h.queued, h.group
	s.mu.Unlock()
	if own := s.scheduler.Availability(group.name()); own.FreeSlots > 0 {
		return false
	}
	other, ok := s.reserveElsewhere(group)
	if !ok {
		return false
	}
	s.mu.Lock()
	if s.requests[from][id] != h || h.queued != queued {
		// A response has been sent in the meantime.
		s.mu.Unlock()
		return true
	}
	delete(s.requests[from], id)
	s.mu.Unlock()
	queued.Cancel()
	s.redirect(from, id, other)
	return true
}

// withdraw ends a wait, or takes the refusal back, of a request that is placed elsewhere. It
// returns the grant if there is one after all.
func (s *Server) withdraw(queued *schedule.QueuedRequest, err error) *schedule.Grant {
	var refusal *schedule.RefusedError
	if errors.As(err, &refusal) {
		refusal.Withdraw()
	}
	if queued == nil {
		return nil
	}
	return queued.Withdraw()
}

// storeAndReply stores the result of a slot request and responds.
func (s *Server) storeAndReply(from string, id uint32, h *heldRequest, err error) {
	now := s.clock.Now()
	h.renewedAt, h.decidedAt = now, now
	switch {
	case h.grant != nil:
		h.queued = nil
		h.sentAt = now
		h.response = grantedResponse(id, h.grant)
	case h.queued != nil:
		h.response = &slotResponse{ID: id, Decision: decisionQueued}
	default:
		s.sendResponse(from, refusedResponse(id, err))
		return
	}
	h.response.FreeSlots = s.scheduler.Availability(h.group.name()).FreeSlots
	s.mu.Lock()
	byID := s.requests[from]
	if byID == nil {
		byID = make(map[uint32]*heldRequest)
		s.requests[from] = byID
	}
	if byID[id] != nil {
		// The same request was decided concurrently.
		s.mu.Unlock()
		h.release()
		return
	}
	byID[id] = h
	response, queued, grant := h.response, h.queued, h.grant
	s.mu.Unlock()
	if queued != nil {
		// Also after a panic, since the request is stored.
		defer func() { go s.awaitGrant(from, id, h, queued) }()
	}
	if grant != nil {
		s.sendTerms(from, grant, now)
	}
	s.sendResponse(from, response)
}

// release gives up the slot or ends the wait.
func (h *heldRequest) release() {
	if h.grant != nil {
		h.grant.Done(schedule.Outcome{Result: schedule.Cancelled})
	} else if h.queued != nil {
		h.queued.Cancel()
	}
}

// awaitGrant responds to a queued request once it is granted or its wait ends, also by a panic.
func (s *Server) awaitGrant(from string, id uint32, h *heldRequest, queued *schedule.QueuedRequest) {
	const step = "wait for a slot"
	if !contain.Run(s.logger, step, func() { s.replyOnceDecided(from, id, h, queued) }) {
		contain.Run(s.logger, step, func() { s.dropQueued(from, id, h, queued) })
	}
}

func (s *Server) replyOnceDecided(from string, id uint32, h *heldRequest, queued *schedule.QueuedRequest) {
	grant, err := s.awaitDecision(queued)
	now := s.clock.Now()
	response := s.storeDecision(from, id, h, grant, err, now)
	if response == nil {
		return
	}
	if grant != nil {
		s.sendTerms(from, grant, now)
	}
	s.sendResponse(from, response)
}

// storeDecision stores the result of a queued request, and returns the response; nil if the request
// was cancelled or its lease has expired, as then the grant is released.
func (s *Server) storeDecision(from string, id uint32, h *heldRequest, grant *schedule.Grant, err error, now time.Time) (response *slotResponse) {
	defer func() {
		if response == nil && grant != nil {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[from][id] != h {
		return nil
	}
	if grant == nil {
		delete(s.requests[from], id)
		return refusedResponse(id, err)
	}
	granted := grantedResponse(id, grant)
	h.grant, h.queued, h.response = grant, nil, granted
	h.decidedAt, h.renewedAt, h.sentAt = now, now, now
	return granted
}

// dropQueued refuses a queued request whose wait has ended by a panic. One that has been granted
// keeps its slot: the response is sent again when the request is.
func (s *Server) dropQueued(from string, id uint32, h *heldRequest, queued *schedule.QueuedRequest) {
	if !s.deleteQueued(from, id, h) {
		return
	}
	queued.Cancel()
	s.sendResponse(from, refusedResponse(id, errWaitPanicked))
}

// deleteQueued deletes a request that is still queued, and reports whether it was.
func (s *Server) deleteQueued(from string, id uint32, h *heldRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[from][id] != h || h.grant != nil {
		return false
	}
	delete(s.requests[from], id)
	return true
}

var errWaitPanicked = errors.New("panic while the request was queued")

// awaitDecision waits until the request is granted or its wait ends.
func (s *Server) awaitDecision(queued *schedule.QueuedRequest) (*schedule.Grant, error) {
	for {
		timer := s.clock.NewTimer(queued.WaitDeadline().Sub(s.clock.Now()))
		select {
		case grant := <-queued.Granted():
			timer.Stop()
			return grant, nil
		case <-timer.Chan():
			if !queued.ExtendWait() {
				return queued.Dequeue()
			}
		}
	}
}

// endRequest ends a queued or running request.
func (s *Server) endRequest(from string, id uint32, o schedule.Outcome) {
	s.mu.Lock()
	h := s.requests[from][id]
	if h == nil {
		s.mu.Unlock()
		return
	}
	delete(s.requests[from], id)
	grant, queued := h.grant, h.queued
	s.mu.Unlock()
	switch {
	case grant != nil:
		grant.Done(o)
	case queued != nil:
		queued.Cancel()
	}
}

// handleProgress applies a progress report of a running request.
func (s *Server) handleProgress(from string, p *progressReport) {
	s.mu.Lock()
	h := s.requests[from][p.ID]
	var grant *schedule.Grant
	var sentAt time.Time
	if h != nil {
		h.renewedAt = s.clock.Now()
		grant, sentAt = h.grant, h.sentAt
	}
	s.mu.Unlock()
	if grant == nil {
		if h != nil && p.Done {
			s.endRequest(from, p.ID, schedule.Outcome{Result: schedule.Cancelled})
		}
		return
	}
	if p.TimeToFirstMicros > 0 {
		grant.ResponseStarted(time.Duration(p.TimeToFirstMicros) * time.Microsecond)
	}
	span := time.Duration(p.TokenSpanMicros) * time.Microsecond
	if p.Result == schedule.Failed || p.Result == schedule.Unreachable {
		s.counters.FailuresReported.Add(1)
		s.logger.Info("failure at a coordinated target", zap.String("target", grant.Target.Key().String()), zap.String("peer", from),
			zap.Stringer("result", p.Result), zap.Bool("ended", p.Done), zap.Duration("after", s.clock.Since(sentAt)))
	}
	if !p.Done && p.Result == schedule.Failed {
		grant.Silent()
		return
	}
	if !p.Done {
		grant.TokensReceived(p.Tokens, span)
		return
	}
	s.endRequest(from, p.ID, schedule.Outcome{
		Result: p.Result, TotalTime: time.Duration(p.TotalMicros) * time.Microsecond, Tokens: p.Tokens, TokenSpan: span,
	})
}

func (s *Server) sendResponse(to string, response *slotResponse) {
	body, err := encodeResponse(response)
	s.sendEncoded(to, body, err)
}

// schedulerRequest returns the request as submitted to the scheduler.
func (r *slotRequest) schedulerRequest(now time.Time, group groupKey, groups *Groups) *schedule.Request {
	request := &schedule.Request{
		Service: group.name(), Priority: r.Priority, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		TokensPerEvent: r.TokensPerEvent, ArrivedAt: now.Add(-fromMillis(r.AgeMs)),
		LatencyObjective: fromMillis(r.ObjectiveMs), EventGapObjective: fromMillis(r.EventGapMs), Deadline: now.Add(fromMillis(r.TimeLeftMs)),
		FailureDomain: r.FailureDomain, Version: r.Version, ExcludedVersion: r.ExcludedVersion,
	}
	r.addition.setOn(request)
	if r.RetryAgeMs > 0 {
		request.RetriedAt = now.Add(-fromMillis(r.RetryAgeMs))
	}
	for _, id := range r.ExcludedTargets {
		if t := groups.byID[id]; t != nil {
			request.ExcludedTargets = append(request.ExcludedTargets, t.Key())
		}
	}
	return request
}

func grantedResponse(id uint32, g *schedule.Grant) *slotResponse {
	response := &slotResponse{
		ID: id, Decision: decisionGranted, Target: idOf(g.Target.Key()), RunningBefore: g.RunningBefore, Ahead: g.PrefillAhead,
		ExpectedMs: toMillis(g.ExpectedTimeToFirst),
	}
	if g.CachedTokens > 0 {
		response.addition = &responseAddition{CachedTokens: g.CachedTokens}
	}
	return response
}

// sendTerms tells an instance the terms of a granted target, if it states any, in case
// the instance has to place requests without a coordinator.
func (s *Server) sendTerms(to string, g *schedule.Grant, now time.Time) {
	if heard := s.scheduler.Terms(g.Target.Key()); heard.AreStated() {
		body, err := encodeTerms(&termsReport{Terms: []targetTerms{newTargetTerms(g.Target.Key(), heard, now)}})
		if err != nil {
			s.logger.Error("encoding the terms of a target failed", eventlog.ErrorField(err))
			return
		}
		s.counters.countSendError(s.send(to, body))
	}
}

// handleTerms records the terms of targets that an instance has received.
func (s *Server) handleTerms(from string, r *termsReport) {
	s.mu.Lock()
	var sentAt time.Time
	if h := s.requests[from][r.ID]; h != nil {
		sentAt = h.sentAt
	}
	s.mu.Unlock()
	for i := range r.Terms {
		s.recordTerms(from, &r.Terms[i], sentAt)
	}
}

// recordTerms records the terms of a target that an instance has received, in the
// response to a request sent at sentAt.
func (s *Server) recordTerms(from string, terms *targetTerms, sentAt time.Time) {
	target := s.groups.Load().byID[terms.Target]
	if target == nil {
		return
	}
	heard := terms.heard(from, s.clock.Now())
	if before, changed := s.scheduler.RecordTerms(target.Key(), heard, sentAt); changed {
		s.logger.Info("terms of a coordinated target changed", zap.String("target", target.Key().String()),
			zap.Stringer("before", before), zap.Stringer("now", heard.Terms), zap.Duration("age", s.clock.Since(heard.At)), zap.String("peer", from))
	}
}

func refusedResponse(id uint32, err error) *slotResponse {
	response := &slotResponse{ID: id, Decision: decisionRefused, Reason: "no place could be given"}
	var refusal *schedule.RefusedError
	if errors.As(err, &refusal) {
		response.Reason, response.Ahead, response.Slots = refusal.Reason, refusal.QueuedAhead, refusal.Slots
		response.RetryAfterMs, response.ExpectedMs = toMillis(refusal.RetryAfter), toMillis(refusal.ExpectedWait)
	}
	return response
}

// run expires leases, starts queued requests and reports capacity until the
// context ends.
func (s *Server) run(ctx context.Context) {
	expiry, report := s.clock.NewTicker(expiryInterval), s.clock.NewTimer(minCapacityInterval)
	defer expiry.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.Chan():
			s.expireLeases()
			s.scheduler.StartQueued()
		case <-report.Chan():
			roster := s.roster()
			s.sendCapacityReports(roster)
			report.Reset(roster.capacityInterval())
		}
	}
}
