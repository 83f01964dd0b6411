package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const (
	// maxUnreachableTargets bounds the targets that could not be reached for one
	// request. These tries do not count as attempts of the route.
	maxUnreachableTargets = 4
	// maxBufferedBytes bounds a response that is buffered before it is relayed.
	maxBufferedBytes = 8 << 20
	// defaultRetryAfter is the Retry-After of refusals for which the scheduler
	// predicts no time, such as when no configuration is known yet.
	defaultRetryAfter = 500 * time.Millisecond
	// behindRetryAfter is the Retry-After of requests that a newer configuration may
	// allow: about the time until it is in force here.
	behindRetryAfter = 300 * time.Millisecond
	// expectedOutputShare is the share of the caller's output limit that is
	// expected to be used if there is no length hint.
	expectedOutputShare = 0.25
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 8
	// reasonQuarantined is the reason given for requests that crash targets.
	reasonQuarantined = "the request or a part of its prompt has crashed several targets"
)

// Request is a caller's HTTP request.
type Request struct {
	ReceivedAt time.Time
	Method     string
	// URI is the request target exactly as received.
	URI  string
	Host string
	// Header holds the fields to forward.
	Header []dispatch.Field
	Body   []byte
	Delivery
	RequestMetadata
}

// Delivery is how a request came in.
type Delivery struct {
	// ConnRequest is the number of requests on the connection so far, this one included; 0
	// if it is not known.
	ConnRequest int
	// ConnAge is how long the connection had been open when the request was complete, and
	// ReadTime the time from the first byte of the request until then.
	ConnAge, ReadTime time.Duration
}

func (r *Request) path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// inflightRequest is the state of a request being served.
type inflightRequest struct {
	*Gateway
	request     *Request
	config      *catalog.Configuration
	route       *catalog.Route
	account     *catalog.Account
	service     *catalog.Service
	quotaCharge float64
	// deadline is the earlier of the caller's and the route's deadline.
	deadline        time.Time
	excludedTargets []catalog.TargetKey
	// fingerprint identifies the content; it is the same when the caller retries.
	fingerprint quarantine.Fingerprint
	// promptParts are the fingerprints of the prompt's shared parts.
	promptParts []quarantine.Fingerprint
	// attempts counts the targets that the request was sent to, unreachable those
	// that it could not be sent to.
	attempts, unreachable int
	// lostAttempts is the number of attempts that ended since the path to the target
	// was lost.
	lostAttempts int
	// misdirected is the number of attempts that reached another target at the address.
	misdirected int
	// possibleRuns is the number of attempts that a target may have started to
	// execute.
	possibleRuns int
	// receivedTokens is the number of tokens received from targets whose streams
	// were cut; 0 unless the stream is being resumed.
	receivedTokens int
	// firstPlacedAt is when the request was given its first target; zero before.
	firstPlacedAt time.Time
	log           requestLog
}

// Serve handles a request and returns its response, or nil if the caller has
// disconnected.
func (g *Gateway) Serve(ctx context.Context, request *Request) *Response {
	g.Counters.Received.Add(1)
	if g.shutdown.Load() != nil {
		g.Counters.ReceivedWhileStopping.Add(1)
	}
	r := &inflightRequest{Gateway: g, request: request}
	response := r.admit(ctx)
	if response == nil {
		deadlineCtx, cancel := context.WithDeadline(ctx, r.deadline)
		response = r.execute(deadlineCtx)
		if response == nil || response.Stream == nil {
			cancel()
		} else {
			response.Stream.(*stream).cancel = cancel
		}
	}
	if response == nil {
		g.Counters.CallerGone.Add(1)
	}
	logged := false
	defer response.releaseUnless(&logged)
	if response == nil || response.Stream == nil {
		r.logResult(response)
	}
	logged = true
	return response
}

// admit resolves the route, account and service and charges the quota. It
// returns a response if the request is rejected.
func (r *inflightRequest) admit(ctx context.Context) *Response {
	r.config = r.Catalog.Current()
	if r.config == nil {
		return r.refuse("no configuration is known yet", defaultRetryAfter)
	}
	r.route = r.config.Match(r.request.Host, r.request.path())
	if r.route == nil {
		return r.deny(http.StatusNotFound, "no route matches")
	}
	if !r.route.Anonymous && r.config.HasAccounts() {
		if r.account = r.config.AccountForKey(r.request.APIKey); r.account == nil {
			return r.deny(http.StatusUnauthorized, "the API key is not known")
		}
		if !catalog.IsHeaderValue(r.account.Name) {
			return r.refuse("the name of the account cannot be sent in a header", defaultRetryAfter)
		}
	}
	r.deadline = r.request.ReceivedAt.Add(r.timeout())
	if err := r.checkStart(nil); err != nil {
		return r.placementFailed(ctx, err)
	}
	service := r.config.Service(r.pickService())
	r.service = &service
	r.fingerprint = quarantine.NewFingerprint(r.accountName(), r.request.URI, r.request.Body)
	r.promptParts = quarantine.NewPartFingerprints(r.request.sharedPartIDs())
	if r.Quarantine.ShouldRefuse(r.fingerprint, r.promptParts...) {
		return r.refuse(reasonQuarantined, 0)
	}
	return r.chargeQuota(ctx)
}

// deny responds to a request that the configuration does not allow. If a newer one is on
// its way here, that may allow it.
func (r *inflightRequest) deny(status int, reason string) *Response {
	if r.IsBehind() {
		return r.refuse(reason+" in this version of the configuration, and a newer one is not here yet", behindRetryAfter)
	}
	r.Counters.Denied.Add(1)
	return errorResponse(status, reason, 0)
}

func (r *inflightRequest) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// timeout returns the shorter of the caller's and the route's timeout; a route
// without one has defaultTimeout.
func (r *inflightRequest) timeout() time.Duration {
	const defaultTimeout = time.Minute
	allowed := defaultTimeout
	if r.route.Timeout > 0 {
		allowed = r.route.Timeout
	}
	if r.request.TimeLeft > 0 {
		allowed = min(allowed, r.request.TimeLeft)
	}
	return allowed
}

// choice is a choice by the hash of a request's ID. Each hashes the ID differently, so
// that choices are independent of one another.
type choice string

const (
	serviceChoice choice = "service/"
	versionChoice choice = "version/"
)

// fraction maps a request ID to [0, 1); all instances compute the same value.
func (c choice) fraction(id string) float64 {
	return float64(xxhash.Sum64String(string(c)+id)>>11) / (1 << 53)
}

// pickService returns the service of the route that the request goes to.
func (r *inflightRequest) pickService() string {
	return r.route.PickService(serviceChoice.fraction(r.request.AttemptID))
}

func (r *inflightRequest) chargeQuota(ctx context.Context) *Response {
	if r.account == nil {
		return nil
	}
	r.quotaCharge = r.account.Charge(r.request.PromptTokens + r.request.MaxOutputTokens)
	ok, wait := r.Quota.Take(ctx, r.account, r.quotaPriority(), r.quotaCharge)
	if ok {
		return nil
	}
	r.quotaCharge = 0
	r.Counters.OverQuota.Add(1)
	return errorResponse(http.StatusTooManyRequests, "the account's quota is used up", wait)
}

// quotaPriority ranks the requests of one account when its quota is short.
// Requests without a stated size use so little quota that they always go first.
func (r *inflightRequest) quotaPriority() int {
	if r.request.PromptTokens == 0 {
		return 0
	}
	return r.route.Priority
}

// refuse responds to a request that has not been executed and will not be, and
// returns its quota charge.
func (r *inflightRequest) refuse(reason string, retryAfter time.Duration) *Response {
	if r.quotaCharge > 0 {
		r.Quota.Refund(r.account, r.quotaCharge)
		r.quotaCharge = 0
	}
	r.Counters.RefusedNotRun.Add(1)
	return errorResponse(http.StatusServiceUnavailable, reason, retryAfter)
}

// fail responds to a request that may have been executed.
func (r *inflightRequest) fail(status int, reason string) *Response {
	r.Counters.Failed.Add(1)
	return errorResponse(status, reason, 0)
}

// refuseOrFail responds to a request by whether it may have been executed.
func (r *inflightRequest) refuseOrFail(reason string, retryAfter time.Duration) *Response {
	if r.possibleRuns > 0 {
		return r.fail(http.StatusBadGateway, reason)
	}
	return r.refuse(reason, retryAfter)
}

// execute places and dispatches the request, with retries, until it has a
// response.
func (r *inflightRequest) execute(ctx context.Context) *Response {
	r.RetryBudget(r.service.Name).RecordRequest()
	for {
		grant, err := r.place(ctx)
		if err != nil {
			return r.placementFailed(ctx, err)
		}
		result := r.attempt(ctx, grant)
		switch {
		case result.response != nil:
			return r.answered(result.response)
		case ctx.Err() != nil:
			return r.contextDone(ctx, result.reason)
		case !result.retry:
			return r.fail(http.StatusBadGateway, result.reason)
		}
		if err := r.takeRetry(); err != nil {
			return r.placementFailed(ctx, err)
		}
	}
}

// answered counts a response of a target. A stream is counted at its end.
func (r *inflightRequest) answered(response *Response) *Response {
	if response.Stream != nil {
		r.Counters.Streams.Add(1)
		return response
	}
	counted := false
	defer response.releaseUnless(&counted)
	r.Counters.Answered.Add(1)
	r.observeLatency(0)
	counted = true
	return response
}

// checkAttempts returns a *refusedError if the request has no attempt left.
func (r *inflightRequest) checkAttempts() error {
	switch {
	case r.unreachable+r.lostAttempts+r.misdirected > maxUnreachableTargets:
		return &refusedError{reason: "no target could be reached", retryAfter: defaultRetryAfter}
	case r.usedAttempts() >= max(1, r.route.MaxAttempts):
		return &refusedError{reason: "all attempts of the route are used", retryAfter: defaultRetryAfter}
	}
	return nil
}

// usedAttempts returns how many of the route's attempts are used: those that reached
// their target.
func (r *inflightRequest) usedAttempts() int { return r.attempts - r.lostAttempts - r.misdirected }

// placeRetry places the request on another target and then takes a retry from the
// budget, so that a search that finds no target takes none.
func (r *inflightRequest) placeRetry(ctx context.Context) (placed *schedule.Grant, err error) {
	if err := r.checkAttempts(); err != nil {
		return nil, err
	}
	grant, err := r.place(ctx)
	if err != nil {
		return nil, err
	}
	defer func() {
		if placed == nil {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}()
	if err := r.takeRetry(); err != nil {
		return nil, err
	}
	return grant, nil
}

// takeRetry takes a retry from the budget; it returns a *refusedError if the
// request may not be tried again.
func (r *inflightRequest) takeRetry() error {
	if err := r.checkAttempts(); err != nil {
		return err
	}
	if r.attempts > 0 && !r.RetryBudget(r.service.Name).TakeRetry() {
		return &refusedError{reason: "the budget of repeats is used up", retryAfter: defaultRetryAfter}
	}
	if r.attempts > 0 {
		r.Counters.Retried.Add(1)
	}
	return nil
}

// place waits for the scheduler to place the request. A request that has crashed
// targets since it was admitted is refused, and so are all at the end of a shutdown. The
// error is a *refusedError, a *schedule.RefusedError or the context's error.
func (r *inflightRequest) place(ctx context.Context) (placed *schedule.Grant, err error) {
	grant, err := r.acquireOutsideEvacuations(ctx)
	if err != nil {
		return nil, err
	}
	defer func() {
		if placed == nil {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}()
	if r.stopped.Load() {
		// The place may be that of a request that has just been cancelled.
		r.log.addStep("stopped before it was sent to", grant.Target.ID, 0)
		return nil, &refusedError{reason: errStopping.Error(), retryAfter: defaultRetryAfter}
	}
	if err := r.checkStart(grant); err != nil {
		r.log.addStep(r.describeStart(grant), grant.Target.ID, 0)
		return nil, err
	}
	if r.Quarantine.RefuseDispatch(r.fingerprint, r.promptParts...) {
		r.log.addStep("quarantined before it was sent to", grant.Target.ID, 0)
		return nil, &refusedError{reason: reasonQuarantined}
	}
	if r.firstPlacedAt.IsZero() {
		r.firstPlacedAt = r.Clock.Now()
	}
	r.log.recordPlacement(r, grant)
	return grant, nil
}

// refusedError is returned for a request that the gateway does not send to a
// target, or to no further one.
type refusedError struct {
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (e *refusedError) Error() string { return e.reason }

// placementFailed responds to a request that was not placed.
func (r *inflightRequest) placementFailed(ctx context.Context, err error) *Response {
	var own *refusedError
	if errors.As(err, &own) {
		if own == errEndsTooLate {
			r.Counters.RefusedTooLate.Add(1)
		}
		return r.refuseOrFail(own.reason, own.retryAfter)
	}
	var refused *schedule.RefusedError
	if errors.As(err, &refused) {
		r.log.addStep("refused", refused.Error(), 0)
		return r.refuseOrFail(refused.Reason, refused.RetryAfter)
	}
	return r.contextDone(ctx, "no place became free before the deadline")
}

// scheduleRequest returns the request as the scheduler sees it.
func (r *inflightRequest) scheduleRequest() *schedule.Request {
	result := &schedule.Request{
		Service: r.service.Name, Priority: r.priority(), ArrivedAt: r.request.ReceivedAt,
		LatencyObjective: r.route.LatencyObjective, EventGapObjective: r.route.EventGapObjective, TokensPerEvent: r.service.TokensPerEvent, Deadline: r.deadline, FailureDomain: r.FailureDomain, ExcludedTargets: r.excludedTargets,
	}
	if r.attempts+r.unreachable > 0 {
		result.RetriedAt = r.Clock.Now()
	}
	result.Version, result.ExcludedVersion = r.Rollouts.VersionConstraint(r.service.Name, versionChoice.fraction(r.request.AttemptID))
	result.Fingerprint = xxhash.Sum64String(string(r.fingerprint))
	if r.account != nil {
		result.Account, result.Weight = r.account.Name, r.config.AccountWeight(r.account)
	}
	if r.service.IsEngine {
		result.Prefix = r.request.promptPrefix()
		result.PromptTokens = max(1, r.request.PromptTokens)
		result.OutputTokens = r.expectedOutputTokens()
		result.MaxOutputTokens = r.request.MaxOutputTokens
	}
	if r.receivedTokens > 0 {
		// The target reads again what has been received. The objective for the
		// first event has been met or missed before, and no longer limits the wait.
		result.PromptTokens += r.receivedTokens
		result.OutputTokens = max(r.service.TokensPerEvent, result.OutputTokens-r.receivedTokens)
		result.LatencyObjective = 0
	}
	return result
}

// expectedOutputTokens returns the expected number of output tokens; 0 if the caller states
// neither a limit nor an estimate.
func (r *inflightRequest) expectedOutputTokens() int {
	if r.request.LengthHint > 0 {
		return r.request.LengthHint
	}
	return int(expectedOutputShare * float64(r.request.MaxOutputTokens))
}

// routePriorities is the number of distinct route priorities within one account
// priority.
const routePriorities = 4

// priority ranks the request by account priority; among accounts of equal
// priority the route's priority decides.
func (r *inflightRequest) priority() int {
	route := min(r.route.Priority, routePriorities-1)
	if r.account != nil && r.account.Priority != nil {
		return *r.account.Priority*routePriorities + route
	}
	return route
}

// contextDone responds to a request whose deadline has passed or that the instance
// can no longer serve since it stops; it returns nil if the caller has disconnected.
func (r *inflightRequest) contextDone(ctx context.Context, reason string) *Response {
	if errors.Is(context.Cause(ctx), errStopping) {
		r.Counters.CancelledWhileStopping.Add(1)
		return r.refuseOrFail(errStopping.Error(), defaultRetryAfter)
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	r.Counters.TimedOut.Add(1)
	if r.possibleRuns > 0 {
		return r.fail(http.StatusGatewayTimeout, reason)
	}
	return r.refuse(reason, defaultRetryAfter)
}

// observeDuration records how long the request has taken at targets, also if it did not end
// there: it takes at least that long, unless this instance was paused meanwhile.
func (r *inflightRequest) observeDuration() {
	if r.attempts == 0 {
		return
	}
	now := r.Clock.Now()
	if took := r.unlessPaused(now.Sub(r.firstPlacedAt), r.firstPlacedAt); took > 0 {
		r.durations.observe(r.route.Name, took, now)
	}
}

// logResult writes the log line of a request that is not a stream.
func (r *inflightRequest) logResult(response *Response) {
	r.observeDuration()
	status, reason := statusCallerGone, "the caller has gone"
	if response != nil {
		status, reason = response.Status, response.Reason
	}
	r.log.write(r, status, reason, false)
}

// logFields returns the fields that all log lines of the request share.
func (r *inflightRequest) logFields() []zap.Field {
	fields := []zap.Field{zap.String("request", r.request.AttemptID)}
	if r.fingerprint != "" {
		fields = append(fields, zap.String("content", string(r.fingerprint)))
	}
	if parts := r.request.sharedPartIDs(); len(parts) > 0 {
		fields = append(fields, zap.Strings("parts", parts[:min(len(parts), maxLoggedParts)]))
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name), zap.Int("priority", r.priority()))
	}
	if r.account != nil {
		fields = append(fields, zap.String("account", r.account.Name))
	}
	if r.config != nil {
		fields = append(fields, zap.Uint64("config", r.config.Version))
	}
	return fields
}
