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
	// maxUnreachableTargets bounds the targets tried for one request that could not be
	// reached; such tries reach nobody and count nowhere else.
	maxUnreachableTargets = 4
	// maxBufferedBytes bounds an answer that is held until it is whole.
	maxBufferedBytes = 8 << 20
	// defaultRetryAfter is the advice to callers of an instance that knows no
	// configuration yet.
	defaultRetryAfter = 500 * time.Millisecond
	// expectedOutputShare is the part of the stated maximum that is expected of an
	// answer whose length is not hinted at.
	expectedOutputShare = 0.25
)

// Request is one caller's request.
type Request struct {
	ReceivedAt time.Time
	Method     string
	// URI is the request target exactly as sent.
	URI  string
	Host string
	// Header holds the fields to pass on.
	Header []dispatch.Field
	Body   []byte
	RequestMetadata
}

func (r *Request) path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// inflightRequest is one request under way.
type inflightRequest struct {
	*Gateway
	request     *Request
	config      *catalog.Configuration
	route       *catalog.Route
	account     *catalog.Account
	service     *catalog.Service
	quotaCharge float64
	// deadline is the earlier of the caller's and the route's.
	deadline        time.Time
	excludedTargets []catalog.TargetKey
	// fingerprint names what is asked for, the same when the caller fingerprint again.
	fingerprint uint64
	// attempts counts the targets that the request was attempts to, unreachable those
	// that no connection could be made to.
	attempts, unreachable int
	// mayHaveRun is set once the request may have begun at a target.
	mayHaveRun bool
	log        requestLog
}

// Serve carries a request out and returns its answer; nil when the caller has
// gone.
func (g *Gateway) Serve(ctx context.Context, request *Request) *Response {
	g.Counters.Received.Add(1)
	r := &inflightRequest{Gateway: g, request: request}
	response := r.admit()
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
	if response == nil || response.Stream == nil {
		r.logResult(response)
	}
	return response
}

// admit matches the request to what the configuration allows; it returns an
// answer where it allows nothing.
func (r *inflightRequest) admit() *Response {
	r.config = r.Catalog.Current()
	if r.config == nil {
		return r.refuse("no configuration is known yet", defaultRetryAfter)
	}
	r.route = r.config.Match(r.request.Host, r.request.path())
	if r.route == nil {
		r.Counters.Denied.Add(1)
		return errorResponse(http.StatusNotFound, "no route matches", 0)
	}
	if !r.route.Anonymous && len(r.config.Accounts) > 0 {
		if r.account = r.config.Account(r.request.APIKey); r.account == nil {
			r.Counters.Denied.Add(1)
			return errorResponse(http.StatusUnauthorized, "the API key is not known", 0)
		}
	}
	r.deadline = r.request.ReceivedAt.Add(r.timeout())
	service := r.config.Services[r.route.Pick(hashFraction(r.request.AttemptID))]
	r.service = &service
	r.fingerprint = quarantine.RequestHash(r.accountName(), r.request.URI, r.request.Body)
	if r.CrashTracker.ShouldRefuse(r.fingerprint) {
		return r.refuse("the request has crashed several targets", 0)
	}
	return r.chargeQuota()
}

func (r *inflightRequest) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// timeout is the shorter of what the caller and the operator allow.
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

// hashFraction maps a request's id to [0, 1), the same at every instance.
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

func (r *inflightRequest) chargeQuota() *Response {
	if r.account == nil {
		return nil
	}
	r.quotaCharge = r.account.Charge(r.request.PromptTokens + r.request.MaxOutputTokens)
	ok, wait := r.Quota.Take(r.account, r.quotaPriority(), r.quotaCharge)
	if ok {
		return nil
	}
	r.quotaCharge = 0
	r.Counters.OverQuota.Add(1)
	return errorResponse(http.StatusTooManyRequests, "the account's quota is used up", wait)
}

// quotaPriority ranks requests of one account against each other where its
// quota is short. Those of no stated size take so little that they always go
// first.
func (r *inflightRequest) quotaPriority() int {
	if r.request.PromptTokens == 0 {
		return 0
	}
	return r.route.Priority
}

// refuse answers a request that has not run and will not.
func (r *inflightRequest) refuse(reason string, retryAfter time.Duration) *Response {
	if r.quotaCharge > 0 {
		r.Quota.GiveBack(r.account, r.quotaCharge)
		r.quotaCharge = 0
	}
	r.Counters.RefusedNotRun.Add(1)
	return errorResponse(http.StatusServiceUnavailable, reason, retryAfter)
}

// fail answers a request that may have run.
func (r *inflightRequest) fail(status int, reason string) *Response {
	r.Counters.Failed.Add(1)
	return errorResponse(status, reason, 0)
}

// refuseOrFail answers by what is known of the request so far.
func (r *inflightRequest) refuseOrFail(reason string, retryAfter time.Duration) *Response {
	if r.mayHaveRun {
		return r.fail(http.StatusBadGateway, reason)
	}
	return r.refuse(reason, retryAfter)
}

// execute places and sends the request until it is answered.
func (r *inflightRequest) execute(ctx context.Context) *Response {
	r.RetryBudget(r.service.Name).RecordRequest()
	for {
		grant, response := r.acquire(ctx)
		if grant == nil {
			return response
		}
		response, retry := r.attempt(ctx, grant)
		if !retry {
			return response
		}
		if response := r.checkRetry(); response != nil {
			return response
		}
	}
}

// checkRetry returns an answer unless the request may be sent once more.
func (r *inflightRequest) checkRetry() *Response {
	switch {
	case r.unreachable > maxUnreachableTargets:
		return r.refuseOrFail("no target could be reached", defaultRetryAfter)
	case r.attempts >= max(1, r.route.MaxAttempts):
		return r.refuseOrFail("all attempts of the route are used", defaultRetryAfter)
	case r.attempts > 0 && !r.RetryBudget(r.service.Name).TakeRetry():
		return r.refuseOrFail("the budget of repeats is used up", defaultRetryAfter)
	}
	if r.attempts > 0 {
		r.Counters.Retried.Add(1)
	}
	return nil
}

// acquire waits for a place.
func (r *inflightRequest) acquire(ctx context.Context) (*schedule.Grant, *Response) {
	grant, err := r.Placer.Acquire(ctx, r.scheduleRequest())
	if err == nil {
		r.log.recordPlacement(r, grant)
		return grant, nil
	}
	var refused *schedule.RefusedError
	if errors.As(err, &refused) {
		r.log.addStep("refused", refused.Error(), 0)
		return nil, r.refuseOrFail(refused.Reason, refused.ReturnAfter)
	}
	return nil, r.contextDone(ctx, "no place became free before the deadline")
}

// scheduleRequest describes the scheduleRequest to the scheduler.
func (r *inflightRequest) scheduleRequest() *schedule.Request {
	result := &schedule.Request{
		Service: r.service.Name, Priority: r.priority(), Arrived: r.request.ReceivedAt,
		Objective: r.route.Objective, Gap: r.route.EventGap, TokensPerEvent: r.service.TokensPerEvent, Deadline: r.deadline, FailureDomain: r.FailureDomain, Avoid: r.excludedTargets,
	}
	if r.attempts+r.unreachable > 0 {
		result.Resent = r.Clock.Now()
	}
	result.Version, result.NotVersion = r.Rollouts.VersionConstraint(r.service.Name, hashFraction(r.request.AttemptID))
	if r.service.Engine {
		result.PromptTokens = max(1, r.request.PromptTokens)
		result.OutputTokens = r.request.LengthHint
		if result.OutputTokens == 0 {
			result.OutputTokens = int(expectedOutputShare * float64(r.request.MaxOutputTokens))
		}
	}
	return result
}

// routePriorities is the number of route priorities kept apart within one
// priority of accounts.
const routePriorities = 4

// priority ranks the request: an account's own priority goes before its
// route's, which decides between accounts of the same priority.
func (r *inflightRequest) priority() int {
	route := min(r.route.Priority, routePriorities-1)
	if r.account != nil && r.account.Priority != nil {
		return *r.account.Priority*routePriorities + route
	}
	return route
}

// contextDone answers a request whose time has passed; nil when the caller has gone.
func (r *inflightRequest) contextDone(ctx context.Context, reason string) *Response {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	r.Counters.TimedOut.Add(1)
	if r.mayHaveRun {
		return r.fail(http.StatusGatewayTimeout, reason)
	}
	return r.refuse(reason, defaultRetryAfter)
}

// logResult writes the request's line.
func (r *inflightRequest) logResult(response *Response) {
	status, reason := statusCallerGone, "the caller has gone"
	if response != nil {
		status, reason = response.Status, response.Reason
	}
	r.log.write(r, status, reason)
}

// log logFields of a request that are the same at each of its lines.
func (r *inflightRequest) logFields() []zap.Field {
	fields := []zap.Field{zap.String("request", r.request.AttemptID)}
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
