// Package rollout moves a service's requests to targets of a new version by the
// operator's deadline, or rolls the version back.
//
// While an Order is in progress, a small share of the requests goes to the new
// version (canary). Requests are selected by a hash of the request alone, so
// that all instances together keep to the share. Each Controller counts the
// attempts of both versions from their start, and instances exchange the counts
// as Reports, which also tell of the order itself. Package evidence judges the
// version. One that fails more often or is slower than the old one is rolled
// back. Otherwise one instance, the analyzer, ends the rollout in time for the
// deadline: it completes a version that has shown enough, and one that has shown
// little if the evidence, as far as it goes, does not speak against it. Rolling
// back needs no agreement: any instance with sufficient evidence stops sending to
// the version and publishes the Status, which then becomes the operator's status.
//
// Two instances can end an order differently, such as an analyzer that was paused
// while the others rolled the version back. Until an end is stored, a rollback goes
// before a completion. The end that is stored first is the order's: writers store on
// the condition that none is, and all instances adopt it. The analyzer stores an end,
// and the instances that follow it in rank do so if it does not.
package rollout

import (
	"cmp"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
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
	Revision    Revision
}

// Revision orders the orders of one service.
type Revision struct {
	// Era counts the control plane's returns from an earlier copy, after which
	// versions are given out again; 0 if it is not known.
	Era uint64
	// Version rises with each change within an era.
	Version uint64
}

// before reports whether r precedes the other. Without both eras, the versions decide.
func (r Revision) before(other Revision) bool {
	if r.Era == 0 || other.Era == 0 {
		return r.Version < other.Version
	}
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version)) < 0
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
	// Stored is set if the control plane is known to hold the state.
	Stored bool `msgpack:",omitempty"`
}

// Counts are the counts of one version's responses. They serve the log, and
// instances of earlier versions.
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

// Evidence holds the counts of the old and the new version of a service.
type Evidence struct{ Old, New Counts }

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
		if order.Revision.before(t.order.Revision) {
			order.Revision = t.order.Revision
		}
		t.order = order
		if startedAt.Before(t.startedAt) {
			t.startedAt = startedAt
		}
		return false
	case order.Revision.before(t.order.Revision):
		return false
	}
	c.trials[order.Service] = newTrial(order, startedAt, c.clock.Now())
	return true
}

// ApplyStatus applies a status that was decided elsewhere, also of an order that
// has not been heard of. A stored end never changes; until then, a rollback replaces a
// completion.
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
	if t.order.To != status.To {
		return false
	}
	return t.applyEnd(status, c.clock.Now())
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
	case t.state == Completed, t.state == InProgress && fraction < t.share:
		return t.order.To, ""
	default:
		return "", t.order.To
	}
}

// Start counts an attempt of a request at a target of the version. The expected
// number of output tokens, 0 if unknown, makes responses of different lengths
// comparable. It returns nil if no order is in progress.
func (c *Controller) Start(service, version, route string, outputTokens int) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trials[service]
	if t == nil || t.state != InProgress {
		return nil
	}
	return t.start(c, version, route, outputTokens)
}

// Report holds one instance's counts for an order, and the order itself for
// instances that have not heard of it. Its field names and those of Evidence and
// Counts are part of the encoding between instances.
type Report struct {
	Service, To string
	Evidence    Evidence
	// Duration, Revision and Era are those of the order, Elapsed is the time since it
	// was given. Duration and Era are 0 in reports of earlier versions.
	Duration, Elapsed time.Duration
	Revision, Era     uint64
	// Assessment is what the instance makes of the evidence.
	Assessment Assessment
	// Records are the counters of some routes.
	Records []evidence.Record
}

// Reports returns this instance's counts for the orders in progress. The records
// of each report take at most maxBytes, encoded.
func (c *Controller) Reports(maxBytes int) ([]Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var reports []Report
	for service, t := range c.trials {
		if t.state != InProgress {
			continue
		}
		groups, err := evidence.GroupRecords(t.counters.Snapshot(now), maxBytes)
		if err != nil {
			return nil, err
		}
		for _, group := range groups {
			reports = append(reports, Report{
				Service: service, To: t.order.To, Evidence: t.local, Duration: t.order.Duration,
				Elapsed: now.Sub(t.startedAt), Revision: t.order.Revision.Version, Era: t.order.Revision.Era, Assessment: t.assessment, Records: group,
			})
		}
	}
	return reports, nil
}

// ApplyReport replaces the counts of another instance, and reports whether its
// order is new.
func (c *Controller) ApplyReport(peer evidence.InstanceID, r Report) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if r.Duration > 0 {
		order := Order{Service: r.Service, To: r.To, Duration: r.Duration, Revision: Revision{Era: r.Era, Version: r.Revision}}
		isNew = c.startTrial(order, now.Add(-r.Elapsed))
	}
	if t := c.trials[r.Service]; t != nil && t.order.To == r.To && t.state == InProgress {
		t.peers[peer.Name] = r.Evidence
		t.peerAssessments[peer.Name] = peerAssessment{r.Assessment, now}
		t.addRecords(peer, r.Records, now)
	}
	return isNew
}

// Statuses returns the statuses of all orders.
func (c *Controller) Statuses() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make([]Status, 0, len(c.trials))
	for service, t := range c.trials {
		statuses = append(statuses, t.status(service))
	}
	return statuses
}

// StatusesToStore returns the statuses that the instance of a rank should store now; the
// analyzer has rank 0.
func (c *Controller) StatusesToStore(rank int) []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []Status
	for service, t := range c.trials {
		if t.shouldStore(rank, c.clock.Now()) {
			due = append(due, t.status(service))
		}
	}
	return due
}

// Decide ends the orders that can be ended and returns the decisions. Any
// instance rolls back if the evidence suffices; only the analyzer completes, or
// rolls back in doubt.
func (c *Controller) Decide(analyzer bool) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var ended []Decision
	for service, t := range c.trials {
		if t.state != InProgress {
			continue
		}
		verdict := t.judge(now)
		end := Status{State: t.decide(&verdict, analyzer, now)}
		if end.State == InProgress {
			continue
		}
		t.applyEnd(end, now)
		ended = append(ended, Decision{
			Status: t.status(service), Evidence: t.total(), LogEvidence: verdict.LogEvidence, Reason: verdict.Reason,
			Assessment: t.bestAssessment(now),
		})
	}
	return ended
}
