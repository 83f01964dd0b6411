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
	// maxUnreached bounds the targets tried for one request that could not be
	// reached; such tries reach nobody and count nowhere else.
	maxUnreached = 4
	// maxPlainBytes bounds an answer that is held until it is whole.
	maxPlainBytes = 8 << 20
	// notReadyReturn is the advice to callers of an instance that knows no
	// configuration yet.
	notReadyReturn = 500 * time.Millisecond
	// outputShare is the part of the stated maximum that is expected of an
	// answer whose length is not hinted at.
	outputShare = 0.25
)

// Call is one caller's request.
type Call struct {
	Received time.Time
	Method   string
	// URI is the request target exactly as sent.
	URI  string
	Host string
	// Header holds the fields to pass on.
	Header []dispatch.Field
	Body   []byte
	Declared
}

func (c *Call) path() string {
	path, _, _ := strings.Cut(c.URI, "?")
	return path
}

// run is one request under way.
type run struct {
	*Gateway
	call    *Call
	config  *catalog.Configuration
	route   *catalog.Route
	account *catalog.Account
	service *catalog.Service
	charge  float64
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	avoid    []catalog.TargetKey
	// asks names what is asked for, the same when the caller asks again.
	asks uint64
	// sent counts the targets that the request was sent to, unreached those
	// that no connection could be made to.
	sent, unreached int
	// mayHaveRun is set once the request may have begun at a target.
	mayHaveRun bool
	trail      trail
}

// Serve carries a request out and returns its answer; nil when the caller has
// gone.
func (g *Gateway) Serve(ctx context.Context, call *Call) *Answer {
	g.Counters.Requests.Add(1)
	r := &run{Gateway: g, call: call}
	answer := r.admit()
	if answer == nil {
		bounded, cancel := context.WithDeadline(ctx, r.deadline)
		answer = r.execute(bounded)
		if answer == nil || answer.Stream == nil {
			cancel()
		} else {
			answer.Stream.(*stream).cancel = cancel
		}
	}
	if answer == nil {
		g.Counters.CallerGone.Add(1)
	}
	if answer == nil || answer.Stream == nil {
		r.finish(answer)
	}
	return answer
}

// admit matches the request to what the configuration allows; it returns an
// answer where it allows nothing.
func (r *run) admit() *Answer {
	r.config = r.Catalog.Current()
	if r.config == nil {
		return r.refuse("no configuration is known yet", notReadyReturn)
	}
	r.route = r.config.Match(r.call.Host, r.call.path())
	if r.route == nil {
		r.Counters.Denied.Add(1)
		return refuse(http.StatusNotFound, "no route matches", 0)
	}
	if !r.route.Anonymous && len(r.config.Accounts) > 0 {
		if r.account = r.config.AccountForKey(r.call.Key); r.account == nil {
			r.Counters.Denied.Add(1)
			return refuse(http.StatusUnauthorized, "the API key is not known", 0)
		}
	}
	r.deadline = r.call.Received.Add(r.timeAllowed())
	service := r.config.Services[r.route.PickService(uniform(r.call.ID))]
	r.service = &service
	r.asks = quarantine.RequestOf(r.accountName(), r.call.URI, r.call.Body)
	if r.Suspects.Refused(r.asks) {
		return r.refuse("the request has crashed several targets", 0)
	}
	return r.takeQuota()
}

func (r *run) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// timeAllowed is the shorter of what the caller and the operator allow.
func (r *run) timeAllowed() time.Duration {
	const unstated = time.Minute
	allowed := unstated
	if r.route.Timeout > 0 {
		allowed = r.route.Timeout
	}
	if r.call.TimeLeft > 0 {
		allowed = min(allowed, r.call.TimeLeft)
	}
	return allowed
}

// uniform maps a request's id to [0, 1), the same at every instance.
func uniform(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

func (r *run) takeQuota() *Answer {
	if r.account == nil {
		return nil
	}
	r.charge = r.account.Charge(r.call.PromptTokens + r.call.OutputTokens)
	ok, wait := r.Quota.Take(r.account, r.quotaPriority(), r.charge)
	if ok {
		return nil
	}
	r.charge = 0
	r.Counters.OverQuota.Add(1)
	return refuse(http.StatusTooManyRequests, "the account's quota is used up", wait)
}

// quotaPriority ranks requests of one account against each other where its
// quota is short. Those of no stated size take so little that they always go
// first.
func (r *run) quotaPriority() int {
	if r.call.PromptTokens == 0 {
		return 0
	}
	return r.route.Priority
}

// refuse answers a request that has not run and will not.
func (r *run) refuse(reason string, returnAfter time.Duration) *Answer {
	if r.charge > 0 {
		r.Quota.GiveBack(r.account, r.charge)
		r.charge = 0
	}
	r.Counters.Refused.Add(1)
	return refuse(http.StatusServiceUnavailable, reason, returnAfter)
}

// fail answers a request that may have run.
func (r *run) fail(status int, reason string) *Answer {
	r.Counters.Failed.Add(1)
	return refuse(status, reason, 0)
}

// giveUp answers by what is known of the request so far.
func (r *run) giveUp(reason string, returnAfter time.Duration) *Answer {
	if r.mayHaveRun {
		return r.fail(http.StatusBadGateway, reason)
	}
	return r.refuse(reason, returnAfter)
}

// execute places and sends the request until it is answered.
func (r *run) execute(ctx context.Context) *Answer {
	r.Budget(r.service.Name).Request()
	for {
		grant, answer := r.acquire(ctx)
		if grant == nil {
			return answer
		}
		answer, again := r.attempt(ctx, grant)
		if !again {
			return answer
		}
		if answer := r.mayRepeat(); answer != nil {
			return answer
		}
	}
}

// mayRepeat returns an answer unless the request may be sent once more.
func (r *run) mayRepeat() *Answer {
	switch {
	case r.unreached > maxUnreached:
		return r.giveUp("no target could be reached", notReadyReturn)
	case r.sent >= max(1, r.route.MaxAttempts):
		return r.giveUp("all attempts of the route are used", notReadyReturn)
	case r.sent > 0 && !r.Budget(r.service.Name).Spend():
		return r.giveUp("the budget of repeats is used up", notReadyReturn)
	}
	if r.sent > 0 {
		r.Counters.Repeated.Add(1)
	}
	return nil
}

// acquire waits for a place.
func (r *run) acquire(ctx context.Context) (*schedule.Grant, *Answer) {
	grant, err := r.Placer.Acquire(ctx, r.request())
	if err == nil {
		r.trail.placed(r, grant)
		return grant, nil
	}
	var refused *schedule.RefusedError
	if errors.As(err, &refused) {
		r.trail.add("refused", refused.Error(), 0)
		return nil, r.giveUp(refused.Reason, refused.ReturnAfter)
	}
	return nil, r.ended(ctx, "no place became free before the deadline")
}

// request describes the request to the scheduler.
func (r *run) request() *schedule.Request {
	request := &schedule.Request{
		Service: r.service.Name, Priority: r.priority(), Arrived: r.call.Received,
		Objective: r.route.LatencyObjective, Gap: r.route.EventGapObjective, TokensPerEvent: r.service.TokensPerEvent, Deadline: r.deadline, FailureDomain: r.FailureDomain, Avoid: r.avoid,
	}
	if r.sent+r.unreached > 0 {
		request.Resent = r.Clock.Now()
	}
	request.Version, request.NotVersion = r.Rollouts.Versions(r.service.Name, uniform(r.call.ID))
	if r.service.IsEngine {
		request.PromptTokens = max(1, r.call.PromptTokens)
		request.OutputTokens = r.call.LengthHint
		if request.OutputTokens == 0 {
			request.OutputTokens = int(outputShare * float64(r.call.OutputTokens))
		}
	}
	return request
}

// routePriorities is the number of route priorities kept apart within one
// priority of accounts.
const routePriorities = 4

// priority ranks the request: an account's own priority goes before its
// route's, which decides between accounts of the same priority.
func (r *run) priority() int {
	route := min(r.route.Priority, routePriorities-1)
	if r.account != nil && r.account.Priority != nil {
		return *r.account.Priority*routePriorities + route
	}
	return route
}

// ended answers a request whose time has passed; nil when the caller has gone.
func (r *run) ended(ctx context.Context, reason string) *Answer {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	r.Counters.TimedOut.Add(1)
	if r.mayHaveRun {
		return r.fail(http.StatusGatewayTimeout, reason)
	}
	return r.refuse(reason, notReadyReturn)
}

// finish writes the request's line.
func (r *run) finish(answer *Answer) {
	status, reason := statusCallerGone, "the caller has gone"
	if answer != nil {
		status, reason = answer.Status, answer.Reason
	}
	r.trail.log(r, status, reason)
}

// log fields of a request that are the same at each of its lines.
func (r *run) fields() []zap.Field {
	fields := []zap.Field{zap.String("request", r.call.ID)}
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
