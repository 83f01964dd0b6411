// Package gateway carries one caller's request from its HTTP connection to a
// target and the answer back.
//
// A request is matched to its route and client account, charged to the
// account's quota, given a place by the scheduler and sent. It may be sent
// again only where that cannot make it run twice:
//
//   - to a target that was not reached, or that stated that it did not run the
//     request, any request, as far as the route's attempts allow;
//   - after any other failure, only requests of routes that may be repeated;
//   - a stream that was cut is continued after its last whole event where the
//     route allows it, within the same answer.
//
// An answer of the gateway's own says 429 or 503 only if the request has not
// run and will not; where it may have run it is 502 or 504.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// RequestMetadata is what the caller states about a request.
type RequestMetadata struct {
	// AttemptID names this attempt of the caller.
	AttemptID string
	// APIKey is the API key; "" when none was given.
	APIKey string
	// TimeLeft is how long the caller will wait; 0 when it does not say.
	TimeLeft time.Duration
	// PromptTokens and MaxOutputTokens are the stated sizes, MaxOutputTokens the
	// most that the answer may have; 0 when nothing is stated.
	PromptTokens, MaxOutputTokens int
	// LengthHint is the caller's estimate of the output; 0 when not given.
	LengthHint int
	// LastEventID is the last event that the caller has, in a resumed stream.
	LastEventID string
}

// DispatchMetadata is what the gateway states to a target.
type DispatchMetadata struct {
	TargetID string
	// Account is the client account; "" for anonymous requests.
	Account string
	// TimeLeft is how long the target may work.
	TimeLeft time.Duration
	// LastEventID is the last event that was passed on; "" starts at the beginning.
	LastEventID string
}

// ResponseMetadata is what a target's answer says about itself.
type ResponseMetadata struct {
	// AttemptID is the attempt that the answer belongs to; "" when not stated.
	AttemptID string
	// Signed answers bear the target's signature.
	Signed bool
	// NotExecuted states that the target has not run the request and will not.
	NotExecuted bool
}

// Protocol reads and writes the header fields of the platform.
type Protocol interface {
	// ParseRequest reads what a caller states; get returns "" for absent fields.
	ParseRequest(get func(name string) string) RequestMetadata
	// IsForwarded tells whether a caller's field is passed on to targets.
	IsForwarded(name string) bool
	// DispatchFields returns the fields that the gateway itself sets.
	DispatchFields(DispatchMetadata) []dispatch.Field
	// ParseResponse reads what a target's answer states.
	ParseResponse(http.Header) ResponseMetadata
}

// RetryLimits bound repeats over all instances.
type RetryLimits struct {
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Placer gives requests their places on targets. Errors are a
// *schedule.RefusedError or the context's.
type Placer interface {
	Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error)
}

// Options are what a Gateway works with; all are required.
type Options struct {
	Protocol Protocol
	Catalog  *catalog.Holder
	Placer   Placer
	Pool     *dispatch.Pool
	Quota    *quota.Ledger
	// RetryBudget returns the budget of repeats of a service.
	RetryBudget func(service string) *routing.WindowRetryBudget
	// Rollouts follows orders to move services to new versions.
	Rollouts *rollout.Controller
	// CrashTracker remembers requests that crash targets.
	CrashTracker *quarantine.CrashTracker
	// OnMisdirected is told of a target that is not the one expected at its
	// address.
	OnMisdirected func(*catalog.Target)
	// Draining tells that the instance shuts down.
	Draining func() bool
	Counters *Counters
	// ObserveLatency takes the times of an answered request; First is zero where the
	// answer has no first event.
	ObserveLatency func(priority int, account string, first, whole time.Duration)
	// ClusterView returns what a refusal rests on besides the configuration.
	ClusterView func() ClusterView
	// FailureDomain is the instance's own.
	FailureDomain string
	Clock         clockwork.Clock
	Logger        *zap.Logger
}

// ClusterView are what an instance knows of the others and the targets.
type ClusterView struct {
	// TargetsAge is the time since the list of targets was read, by whomever.
	TargetsAge time.Duration
	// Instances counts those that share the work, with this one.
	Instances int
}

// Gateway serves callers' requests.
type Gateway struct{ Options }

// New returns a gateway.
func New(options Options) *Gateway { return &Gateway{options} }
