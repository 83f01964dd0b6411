package gateway

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// trail collects the decisions about one request, for its line in the log.
type trail struct {
	steps []step
	err   error
}

type step struct {
	what, about string
	took        time.Duration
}

func (t *trail) add(what, about string, took time.Duration) {
	t.steps = append(t.steps, step{what, about, took})
}

// placed notes a place with what decided it, and tells it at once: the line about
// the end is missing when the instance dies before.
func (t *trail) placed(r *run, g *schedule.Grant) {
	by := "without a coordinator"
	if g.Coordinator != "" {
		by = "by " + g.Coordinator
	}
	what := fmt.Sprintf("placed %s with %d running, %d tokens ahead, %d ms expected, waited %d ms at",
		by, g.Running, g.Ahead, g.Expected.Milliseconds(), g.Waited.Milliseconds())
	t.add(what, g.Target.ID, 0)
	r.Logger.Info("request placed", append(r.fields(), zap.String("story", what+" "+g.Target.ID))...)
}

// log writes the line that tells what became of the request.
func (t *trail) log(r *run, status int, reason string) {
	var story strings.Builder
	for i, s := range t.steps {
		if i > 0 {
			story.WriteString("; ")
		}
		fmt.Fprintf(&story, "%s %s", s.what, s.about)
		if s.took > 0 {
			fmt.Fprintf(&story, " after %d ms", s.took.Milliseconds())
		}
	}
	fields := append(r.fields(), zap.Int("status", status), zap.String("story", story.String()),
		zap.Duration("took", r.Clock.Since(r.call.Received)), zap.Int("sent", r.sent))
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	if t.err != nil {
		fields = append(fields, eventlog.ErrorField(t.err))
	}
	const firstFailure = 400
	if status >= firstFailure {
		beliefs := r.Beliefs()
		fields = append(fields, zap.Int64("targets_age_ms", beliefs.TargetsAge.Milliseconds()),
			zap.Int("instances", beliefs.Instances))
		message := "request ended without an answer of a target"
		if reason == "" {
			message = "request answered with a target's failure"
		}
		r.Logger.Warn(message, fields...)
		return
	}
	r.Logger.Info("request answered", fields...)
}
