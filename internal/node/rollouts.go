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
// there may be two; neither can undo an end that the other has decided.
func (n *Node) followRollouts(ctx context.Context) {
	// written holds the era in which each status was stored.
	written := make(map[rollout.Status]uint64)
	var attemptedAt time.Time
	for ctx.Err() == nil {
		isAnalyzer := n.rank() == 0
		for _, decision := range n.rollouts.Decide(isAnalyzer) {
			ended := decision.Status
			n.logger.Info("rollout decided", zap.String("service", ended.Service), zap.String("version", ended.To),
				zap.String("state", string(ended.State)), zap.Float64("log_evidence", decision.LogEvidence),
				zap.String("reason", decision.Reason), zap.Any("assessment", decision.Assessment), zap.Any("evidence", decision.Evidence))
		}
		if isAnalyzer && n.clock.Since(attemptedAt) >= statusWriteInterval {
			attemptedAt = n.clock.Now()
			n.writeStatuses(ctx, written)
		}
		select {
		case <-ctx.Done():
		case <-n.clock.After(decideInterval):
		}
	}
}

// writeStatuses writes the statuses that have not been written in the store's
// current era. Those of an earlier one may be lost.
func (n *Node) writeStatuses(ctx context.Context, written map[rollout.Status]uint64) {
	for _, status := range n.rollouts.Statuses() {
		if era, ok := written[status]; ok && era >= n.era.current() {
			continue
		}
		current, era, err := n.controlPlane.WriteRolloutStatus(ctx, status)
		if err != nil {
			n.logger.Warn("cannot write rollout status", zap.String("service", status.Service), eventlog.ErrorField(err))
			continue
		}
		written[current] = era
		if current != status {
			n.applyRolloutStatus(current, "control plane")
		}
	}
}
