package gateway

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// requestLog collects the steps of one request for its log line.
type requestLog struct {
	steps []step
	cause error
}

type step struct {
	action, detail string
	took           time.Duration
}

func (l *requestLog) addStep(action, detail string, took time.Duration) {
	l.steps = append(l.steps, step{action, detail, took})
}

// recordPlacement records a placement and its reasons. It logs them at once,
// since an instance that crashes does not write the request's final log line.
func (l *requestLog) recordPlacement(r *inflightRequest, g *schedule.Grant) {
	by := "without a coordinator"
	if g.Coordinator != "" {
		by = "by " + g.Coordinator
	}
	action := fmt.Sprintf("placed %s with %d running, %d tokens ahead, %d cached, %d ms expected, waited %d ms at",
		by, g.RunningBefore, g.PrefillAhead, g.CachedTokens, g.ExpectedTimeToFirst.Milliseconds(), g.Waited.Milliseconds())
	l.addStep(action, g.Target.ID, 0)
	r.Logger.Info("request placed", append(r.logFields(), zap.String("story", action+" "+g.Target.ID))...)
}

// write writes the request's final log line. begun is set for a stream: the caller has
// received the header of the response.
func (l *requestLog) write(r *inflightRequest, status int, reason string, begun bool) {
	var story strings.Builder
	for i, s := range l.steps {
		if i > 0 {
			story.WriteString("; ")
		}
		fmt.Fprintf(&story, "%s %s", s.action, s.detail)
		if s.took > 0 {
			fmt.Fprintf(&story, " after %d ms", s.took.Milliseconds())
		}
	}
	fields := append(r.logFields(), zap.Int("status", status), zap.String("story", story.String()),
		zap.Duration("took", r.Clock.Since(r.request.ReceivedAt)), zap.Int("sent", r.attempts))
	fields = append(fields, r.stoppingFields()...)
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	if reason == reasonQuarantined && len(r.promptParts) > 0 {
		fields = append(fields, zap.Any("part_contents", r.promptParts[:min(len(r.promptParts), maxLoggedParts)]))
	}
	if l.cause != nil {
		fields = append(fields, eventlog.ErrorField(l.cause))
	}
	const minErrorStatus = 400
	if status >= minErrorStatus {
		view := r.ClusterView()
		fields = append(fields, zap.Int64("targets_age_ms", view.TargetsAge.Milliseconds()),
			zap.Int("instances", view.Instances))
		message := "request ended without an answer of a target"
		switch {
		case begun:
			message = "response ended before it was complete"
		case reason == "":
			message = "request answered with a target's failure"
		}
		r.Logger.Warn(message, fields...)
		return
	}
	r.Logger.Info("request answered", fields...)
}
