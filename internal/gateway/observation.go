package gateway

import (
	"context"
	"net/http"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// observation is an attempt as recorded from its start to its end, in case the
// request crashes the target, and for the trial of a version.
type observation struct {
	*quarantine.Attempt
	trial *rollout.Attempt
}

// observe records the start of an attempt.
func (r *inflightRequest) observe(grant *schedule.Grant) (o *observation) {
	attempt := r.trackAttempt(grant)
	defer func() {
		if o == nil {
			attempt.End(quarantine.NoEvidence)
		}
	}()
	return &observation{
		Attempt: attempt,
		trial:   r.Rollouts.Start(r.service.Name, grant.Target.Version, r.route.Name, r.scheduleRequest().OutputTokens),
	}
}

// End records the end of the attempt; further calls have no effect.
func (o *observation) End(outcome quarantine.Outcome) {
	o.Attempt.End(outcome)
	switch outcome {
	case quarantine.Completed, quarantine.EndedInOrder:
		o.trial.End(evidence.Answered)
	case quarantine.Broken, quarantine.CompletedWithError:
		o.trial.End(evidence.Failed)
	case quarantine.Unanswered, quarantine.NoEvidence, quarantine.Unreachable:
		o.trial.End(evidence.GivenUp)
	}
}

// judgeBroken records an attempt without a complete response for the trial. One that
// ran into its own timeout has failed; one whose request ended has not.
func (o *observation) judgeBroken(ctx context.Context, err error) {
	if ctx.Err() == nil && !dispatch.IsNotSent(err) {
		o.trial.End(evidence.Failed)
	}
}

// judgeComplete records a response that was read to its end for the trial.
func (o *observation) judgeComplete(response *dispatch.PooledResponse) {
	if response.Status < http.StatusInternalServerError {
		o.trial.End(evidence.Answered)
	} else {
		o.trial.End(evidence.Failed)
	}
}
