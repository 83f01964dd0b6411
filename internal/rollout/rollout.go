// Package rollout moves a service's requests to targets of a new version by the
// operator's deadline, or rolls the version back.
//
// While an Order is in progress, a small share of the requests goes to the new
// version (canary). Requests are selected by a hash of the request alone, so
// that all instances together keep to the share. Each Controller counts
// responses and failures of both versions, and instances exchange the counts as
// Reports. A version that fails or is slow in comparison with the old one over
// the same time is rolled back; otherwise one instance, the analyzer, completes
// the rollout in time for the deadline. Rolling back needs no agreement: any
// instance with sufficient Evidence stops sending to the version and publishes
// the Status, which then becomes the operator's status.
package rollout

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// canaryShare is the share of requests sent to a version on trial; the
	// operator allows a tenth.
	canaryShare = 0.06
	// trialTimeShare is the share of the order's duration after which a version
	// without regression is completed; the rest is reserve before the deadline.
	trialTimeShare = 0.7
	// minResponses is the number of responses of each version required to compare
	// their latencies.
	minResponses = 10
	// minFailures is the number of failures required for a rollback. It is low
	// enough to be reached long before the operator's limit of fifty bad
	// responses.
	minFailures = 5
	// minFailureMargin is the difference of failure rates required for a rollback,
	// since the rates are compared many times.
	minFailureMargin = 0.08
	// minDeviations is that difference in standard deviations, for the same
	// reason.
	minDeviations = 4.5
	// minLatencyDeviations is the difference of mean latencies required for a
	// rollback, in standard deviations, so that a few stalled responses do not
	// count as a slow version.
	minLatencyDeviations = 3
	// maxLatencyRatio is the allowed ratio of mean latencies. It exceeds the
	// differences between unequal targets of one version.
	maxLatencyRatio = 3.5
)

// State is the state of an order.
type State string

// States of an order.
const (
	InProgress State = "in_progress"
	Completed  State = "completed"
	RolledBack State = "taken_back"
)

// Order is the operator's order to move a service to version To.
type Order struct {
	Service, To string
	Duration    time.Duration
	// Revision orders the orders of one service.
	Revision uint64
}

// repeats reports whether o is the same order as a known one. The duration of an
// order is not known if only its end has been heard of.
func (o Order) repeats(known Order) bool {
	return o.To == known.To && (o.Duration == known.Duration || known.Duration == 0)
}

// Status is the state of the order to move a service to version To. Instances
// exchange it encoded by field name, like Report.
type Status struct {
	Service string
	To      string
	State   State
}

// Counts are the counts of one version's responses.
type Counts struct {
	Answers, Failures uint64
	// Seconds is the sum of latencies, each relative to the expected length of its
	// response.
	Seconds float64
	// SquaredSeconds is the sum of the squares of the same latencies.
	SquaredSeconds float64
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failures + o.Failures, c.Seconds + o.Seconds, c.SquaredSeconds + o.SquaredSeconds}
}

// meanLatency returns the mean latency in seconds and the variance of that mean.
func (c Counts) meanLatency() (mean, variance float64) {
	n := float64(c.Answers)
	mean = c.Seconds / n
	return mean, math.Max(0, c.SquaredSeconds/n-mean*mean) / (n - 1)
}

// Evidence holds the counts of the old and the new version of a service.
type Evidence struct{ Old, New Counts }

// Regressed reports whether the new version is significantly worse than the old
// one.
func (e Evidence) Regressed() bool { return e.failsMoreOften() || e.slower() }

func (e Evidence) failsMoreOften() bool {
	if e.New.Failures < minFailures {
		return false
	}
	n, o := float64(e.New.Answers), math.Max(1, float64(e.Old.Answers))
	shareNew, shareOld := float64(e.New.Failures)/n, float64(e.Old.Failures)/o
	pooled := float64(e.New.Failures+e.Old.Failures) / (n + o)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/n + 1/o))
	return shareNew-shareOld > minFailureMargin && shareNew-shareOld > minDeviations*deviation
}

func (e Evidence) slower() bool {
	if e.New.Answers < minResponses || e.Old.Answers < minResponses || e.Old.Seconds == 0 {
		return false
	}
	newMean, newVariance := e.New.meanLatency()
	oldMean, oldVariance := e.Old.meanLatency()
	return newMean > maxLatencyRatio*oldMean && newMean-oldMean > minLatencyDeviations*math.Sqrt(newVariance+oldVariance)
}

// trial is an order with its state and counts; Controller.mu guards it.
type trial struct {
	order     Order
	state     State
	startedAt time.Time
	local     Evidence
	// peers holds the counts of other instances, by instance.
	peers map[string]Evidence
}

func (t *trial) total() Evidence {
	sum := t.local
	for _, e := range t.peers {
		sum.Old, sum.New = sum.Old.add(e.Old), sum.New.add(e.New)
	}
	return sum
}

// Controller tracks the orders of all services. It is safe for concurrent use.
type Controller struct {
	clock clockwork.Clock

	// mu guards trials.
	mu     sync.Mutex
	trials map[string]*trial
}

// New returns a controller without orders.
func New(clock clockwork.Clock) *Controller {
	return &Controller{clock: clock, trials: make(map[string]*trial)}
}

// AddOrder starts an order, which replaces an earlier order of its service, and
// reports whether it is new. An order that is already known keeps its state.
func (c *Controller) AddOrder(order Order) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startTrial(order, c.clock.Now())
}

// startTrial starts an order that was given at startedAt. The caller holds c.mu.
func (c *Controller) startTrial(order Order, startedAt time.Time) (isNew bool) {
	t := c.trials[order.Service]
	switch {
	case t == nil:
	case order.repeats(t.order):
		order.Revision = max(order.Revision, t.order.Revision)
		t.order = order
		if startedAt.Before(t.startedAt) {
			t.startedAt = startedAt
		}
		return false
	case order.Revision < t.order.Revision:
		return false
	}
	c.trials[order.Service] = &trial{
		order: order, state: InProgress, startedAt: startedAt, peers: make(map[string]Evidence),
	}
	return true
}

// ApplyStatus applies a status that was decided elsewhere, also of an order that
// has not been heard of. A final state never changes.
func (c *Controller) ApplyStatus(status Status) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status.State == InProgress {
		return false
	}
	t := c.trials[status.Service]
	if t == nil {
		t = &trial{order: Order{Service: status.Service, To: status.To}, state: InProgress, startedAt: c.clock.Now()}
		c.trials[status.Service] = t
	}
	if t.order.To != status.To || t.state != InProgress {
		return false
	}
	t.state = status.State
	return true
}

// VersionConstraint returns the version that a request must go to, or the one
// that it must not go to; "" means no constraint. fraction is uniform in [0, 1)
// and depends on the request only.
func (c *Controller) VersionConstraint(service string, fraction float64) (required, excluded string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trials[service]
	if t == nil {
		return "", ""
	}
	switch {
	case t.state == Completed, t.state == InProgress && fraction < canaryShare:
		return t.order.To, ""
	default:
		return "", t.order.To
	}
}

// RecordResponse counts a response of a target of the version. took is relative
// to the expected length of the response.
func (c *Controller) RecordResponse(service, version string, failed bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trials[service]
	if t == nil || t.state != InProgress {
		return
	}
	counts := &t.local.Old
	if version == t.order.To {
		counts = &t.local.New
	}
	counts.Answers++
	counts.Seconds += took.Seconds()
	counts.SquaredSeconds += took.Seconds() * took.Seconds()
	if failed {
		counts.Failures++
	}
}

// Report holds one instance's counts for an order, and the order itself for
// instances that have not heard of it. Its field names and those of Evidence and
// Counts are part of the encoding between instances.
type Report struct {
	Service, To string
	Evidence    Evidence
	// Duration and Revision are those of the order, Elapsed is the time since it
	// was given. Duration is 0 in reports of earlier versions.
	Duration, Elapsed time.Duration
	Revision          uint64
}

// Reports returns this instance's counts for the orders in progress.
func (c *Controller) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []Report
	for service, t := range c.trials {
		if t.state == InProgress {
			reports = append(reports, Report{service, t.order.To, t.local, t.order.Duration, c.clock.Since(t.startedAt), t.order.Revision})
		}
	}
	return reports
}

// ApplyReport replaces the counts of another instance, and reports whether its
// order is new.
func (c *Controller) ApplyReport(peer string, r Report) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Duration > 0 {
		order := Order{Service: r.Service, To: r.To, Duration: r.Duration, Revision: r.Revision}
		isNew = c.startTrial(order, c.clock.Now().Add(-r.Elapsed))
	}
	if t := c.trials[r.Service]; t != nil && t.order.To == r.To && t.state == InProgress {
		t.peers[peer] = r.Evidence
	}
	return isNew
}

// Statuses returns the statuses of all orders.
func (c *Controller) Statuses() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make([]Status, 0, len(c.trials))
	for service, t := range c.trials {
		statuses = append(statuses, Status{service, t.order.To, t.state})
	}
	return statuses
}

// Decision is the final status of an order and the counts of all instances on
// which it is based.
type Decision struct {
	Status   Status
	Evidence Evidence
}

// Decide ends the orders that can be ended and returns the decisions. Any
// instance rolls back if the evidence suffices; only the analyzer completes.
func (c *Controller) Decide(analyzer bool) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ended []Decision
	for service, t := range c.trials {
		if t.state != InProgress {
			continue
		}
		e := t.total()
		switch trialOver := c.clock.Since(t.startedAt) >= time.Duration(trialTimeShare*float64(t.order.Duration)); {
		case e.Regressed():
			t.state = RolledBack
		case analyzer && trialOver && e.New.Answers > 0:
			t.state = Completed
		default:
			continue
		}
		ended = append(ended, Decision{Status{service, t.order.To, t.state}, e})
	}
	return ended
}
