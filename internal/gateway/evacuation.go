package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const (
	// evacuationsTimeout is how long a request waits for the set of evacuated domains: two
	// rounds of messages between instances, with a margin for an instance that has just
	// been frozen.
	evacuationsTimeout = 600 * time.Millisecond
	// evacuationsPoll is the interval between checks meanwhile.
	evacuationsPoll = 20 * time.Millisecond
	// maxEvacuatedGrants bounds the grants for evacuated targets that a request gives back.
	// Instances that place requests learn of an evacuation within a second; those of earlier
	// builds do not learn of it.
	maxEvacuatedGrants = 4
)

// errEvacuated means that the request was not sent since the target's failure domain has
// been evacuated after the grant, or since it is not known whether it is.
var errEvacuated = errors.New("the target's failure domain is evacuated")

// errEvacuationsUnknown refuses a request while it is not known which domains are evacuated.
var errEvacuationsUnknown = &refusedError{reason: "the evacuated failure domains are not known yet", retryAfter: defaultRetryAfter}

// errEvacuationsLag means that the request was not sent since it is not known, as after a freeze,
// which domains are evacuated.
var errEvacuationsLag = errors.New("it is not known whether the target's failure domain is evacuated")

// checkTarget returns errEvacuated or errEvacuationsLag if nothing may be sent to a target now.
func (g *Gateway) checkTarget(target *catalog.Target) error {
	// The set may become current, with the domain in it, between the two calls.
	lags := g.EvacuationsLag != nil && g.EvacuationsLag()
	switch {
	case g.IsEvacuated != nil && g.IsEvacuated(target):
		return errEvacuated
	case lags:
		return errEvacuationsLag
	}
	return nil
}

// awaitEvacuations waits until it is known which domains are evacuated.
func (r *inflightRequest) awaitEvacuations(ctx context.Context) error {
	if r.EvacuationsLag == nil || !r.EvacuationsLag() {
		return nil
	}
	r.Counters.HeldForEvacuations.Add(1)
	for end := r.Clock.Now().Add(evacuationsTimeout); r.Clock.Now().Before(end); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Clock.After(evacuationsPoll):
		}
		if !r.EvacuationsLag() {
			return nil
		}
	}
	return errEvacuationsUnknown
}

// acquireOutsideEvacuations waits for a grant for a target that is not evacuated. A grant may
// be older than the evacuation.
func (r *inflightRequest) acquireOutsideEvacuations(ctx context.Context) (*schedule.Grant, error) {
	for range maxEvacuatedGrants {
		if err := r.awaitEvacuations(ctx); err != nil {
			return nil, err
		}
		grant, err := r.acquire(ctx)
		if err != nil {
			return nil, err
		}
		if r.mayUse(grant) {
			return grant, nil
		}
	}
	return nil, &refusedError{reason: errEvacuated.Error(), retryAfter: defaultRetryAfter}
}

// mayUse reports whether something may be sent to the target of a grant, and releases it if not.
func (r *inflightRequest) mayUse(grant *schedule.Grant) (usable bool) {
	defer func() {
		if !usable {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
	}()
	if err := r.checkTarget(grant.Target); err != nil {
		r.returnGrant(grant, err)
		return false
	}
	return true
}

// returnGrant records why a grant is not used.
func (r *inflightRequest) returnGrant(grant *schedule.Grant, cause error) {
	if errors.Is(cause, errEvacuationsLag) {
		r.log.addStep("evacuations unknown before it was sent to", grant.Target.ID, 0)
		return
	}
	r.Counters.EvacuatedNotSent.Add(1)
	r.log.addStep("evacuated before it was sent to", grant.Target.ID, 0)
	r.excludedTargets = append(r.excludedTargets, grant.Target.Key())
}

// endEvacuated ends an attempt that was not sent since its target was evacuated while a
// connection was opened. It reports whether that is so.
func (r *inflightRequest) endEvacuated(ctx context.Context, x *exchange, err error) bool {
	if ctx.Err() != nil || !dispatch.IsNotSent(err) || !errors.IsAny(err, errEvacuated, errEvacuationsLag) {
		return false
	}
	r.returnGrant(x.grant, err)
	r.unreachable++
	x.tracked.End(quarantine.NoEvidence)
	x.end(schedule.Cancelled)
	return true
}
