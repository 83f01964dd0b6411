package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

const (
	// decideInterval is the interval between evaluations of the rollout
	// evidence.
	decideInterval = 200 * time.Millisecond
	// statusWriteInterval is the interval between attempts to write statuses.
	statusWriteInterval = time.Second
)

// applyRolloutDeclarations applies the rollouts that the operator has ordered
// and those that have ended.
func (n *Node) applyRolloutDeclarations(declarations Declarations) {
	for _, order := range declarations.RolloutOrders {
		if n.rollouts.AddOrder(order) {
			n.logOrder(order.Service, order.To, order.Duration, "control plane")
		}
	}
	for _, status := range declarations.EndedRollouts {
		status.Stored = true
		n.applyRolloutStatus(status, "control plane")
	}
}

// maxRolloutRecordBytes is the space for the records of one rollout report in a
// datagram; the rest is left for the instance's state.
const maxRolloutRecordBytes = peer.MaxDatagramBytes - 600

// sendRollouts sends this instance's counts for rollouts in progress, a message for
// each report. m holds the instance's state.
func (n *Node) sendRollouts(recipients []string, m message) {
	reports, err := n.rollouts.Reports(maxRolloutRecordBytes)
	if err != nil {
		n.logger.Error("cannot encode rollout report", eventlog.ErrorField(err))
		return
	}
	m.IsIntroduction, m.KnownAddresses, m.EndedRollouts = true, nil, nil
	for _, report := range reports {
		m.RolloutReports = []rollout.Report{report}
		n.send(recipients, &m)
	}
}

// applyRolloutReport applies the counts of another instance, and the order that
// they belong to: only a few instances watch the declarations.
func (n *Node) applyRolloutReport(report rollout.Report, from string, incarnation int64) {
	if n.rollouts.ApplyReport(evidence.InstanceID{Name: from, Incarnation: uint64(incarnation)}, report) {
		n.logOrder(report.Service, report.To, report.Duration-report.Elapsed, from)
	}
}

func (n *Node) logOrder(service, version string, left time.Duration, source string) {
	n.logger.Info("rollout ordered", zap.String("service", service), zap.String("version", version),
		zap.Duration("duration", left), zap.String("source", source))
}

// applyRolloutStatus applies the end of a rollout that was decided elsewhere.
func (n *Node) applyRolloutStatus(status rollout.Status, source string) {
	if n.rollouts.ApplyStatus(status) {
		n.logger.Info("rollout ended", zap.String("service", status.Service), zap.String("version", status.To),
			zap.String("state", string(status.State)), zap.String("source", source))
	}
}

// followRollouts decides on rollouts and writes their statuses until the context
// ends. The first live instance in address order is the analyzer. For a while
// there may be two; the end that is stored first holds for both.
func (n *Node) followRollouts(ctx context.Context) {
	writer := statusWriter{Node: n, writes: make(map[statusKey]statusWrite)}
	for ctx.Err() == nil {
		rank := n.rank()
		for _, decision := range n.rollouts.Decide(rank == 0) {
			ended := decision.Status
			n.logger.Info("rollout decided", zap.String("service", ended.Service), zap.String("version", ended.To),
				zap.String("state", string(ended.State)), zap.Float64("log_evidence", decision.LogEvidence), zap.Int("rank", rank),
				zap.String("reason", decision.Reason), zap.Any("assessment", decision.Assessment), zap.Any("evidence", decision.Evidence))
		}
		writer.write(ctx, rank)
		select {
		case <-ctx.Done():
		case <-n.clock.After(decideInterval):
		}
	}
}

// statusKey is a status, whether it is stored or not.
type statusKey struct {
	service, to string
	state       rollout.State
}

// statusWrite is what is known of the writing of a status.
type statusWrite struct {
	attemptedAt time.Time
	// era is the one in which the status was stored, if it was.
	era    uint64
	stored bool
}

// statusWriter writes the statuses of rollouts. One goroutine uses it.
type statusWriter struct {
	*Node
	writes map[statusKey]statusWrite
}

// write writes the statuses that an instance of the rank should store and that it has not
// stored in the store's current era. Those of an earlier one may be lost.
func (w *statusWriter) write(ctx context.Context, rank int) {
	due := w.rollouts.StatusesToStore(rank)
	for _, status := range due {
		key := statusKey{status.Service, status.To, status.State}
		last := w.writes[key]
		if last.stored && last.era >= w.era.current() || w.clock.Since(last.attemptedAt) < statusWriteInterval {
			continue
		}
		attempt := statusWrite{attemptedAt: w.clock.Now()}
		stored, era, err := w.controlPlane.WriteRolloutStatus(ctx, status)
		if err != nil {
			w.writes[key] = attempt
			w.logger.Warn("cannot write rollout status", zap.String("service", status.Service), zap.String("version", status.To),
				zap.String("state", string(status.State)), zap.Int("rank", rank), eventlog.ErrorField(err))
			continue
		}
		w.logger.Info("rollout status stored", zap.String("service", status.Service), zap.String("version", status.To),
			zap.String("state", string(stored.State)), zap.String("decided", string(status.State)), zap.Uint64("era", era),
			zap.Int("rank", rank), zap.Duration("took", w.clock.Since(attempt.attemptedAt)))
		attempt.era, attempt.stored = era, true
		w.writes[statusKey{stored.Service, stored.To, stored.State}] = attempt
		stored.Stored = true
		w.applyRolloutStatus(stored, "control plane")
	}
}
