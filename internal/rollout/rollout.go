// Package rollout moves a service's requests to targets of a new version by the
// operator's deadline, or takes the version back.
//
// While an order is under way, a small share of the requests goes to the new
// version, chosen by the request's id alone so that all instances together keep
// to it. Each instance counts answers and failures of both versions and tells
// the others. One instance, the analyzer, decides: a version that fails or is
// slow against the old one over the same time is taken back; one that is not,
// by the time that the deadline leaves, is completed. Taking back needs no
// agreement: whoever sees the evidence stops sending to the version and says so,
// and the operator's status follows.
package rollout

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// canaryShare is the part of the requests that goes to a version on trial;
	// the operator allows a tenth.
	canaryShare = 0.06
	// trialTimeShare is the part of the time after which a version without fault is
	// completed; the rest is time in hand before the deadline.
	trialTimeShare = 0.7
	// minResponses is the number of answers of the new version before it can be
	// completed ahead of the end of the trial.
	minResponses = 10
	// minFailures is the number of failures that can take a version back: few
	// enough to be reached long before the operator's fifty bad answers.
	minFailures = 5
	// minFailureMargin is how much larger its share of failures must be, since they are looked at many times.
	minFailureMargin = 0.08
	// minDeviations is how many standard minDeviations apart the shares must be, since they are looked at many times.
	minDeviations = 4.5
	// maxLatencyRatio is how many times longer answers must take on average, beyond
	// what unlike targets of one version differ by.
	maxLatencyRatio = 3.5
)

// State is how far an order is.
type State string

// The states.
const (
	InProgress State = "in_progress"
	Completed  State = "completed"
	RolledBack State = "taken_back"
)

// Order is the operator's order to move a service to a version.
type Order struct {
	Service, To string
	Duration    time.Duration
}

// Status is what has become of an order.
type Status struct {
	Service string
	To      string
	State   State
}

// Counts are what was seen of one version's answers.
type Counts struct {
	Answers, Failures uint64
	// Seconds sums the times of answers, relative to their expected length.
	Seconds float64
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failures + o.Failures, c.Seconds + o.Seconds}
}

// Evidence compares the versions of a service.
type Evidence struct{ Old, New Counts }

// Regressed reports whether the new version is worse than the old one beyond chance.
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
	return e.New.Seconds/float64(e.New.Answers) > maxLatencyRatio*e.Old.Seconds/float64(e.Old.Answers)
}

// trial is one order under way or ended; Controller.mu guards it.
type trial struct {
	order     Order
	state     State
	startedAt time.Time
	local     Evidence
	// peers are the counts of other instances, by name.
	peers map[string]Evidence
}

func (t *trial) total() Evidence {
	sum := t.local
	for _, e := range t.peers {
		sum.Old, sum.New = sum.Old.add(e.Old), sum.New.add(e.New)
	}
	return sum
}

// Controller follows the orders of all services. Its methods may be called
// from any goroutine.
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

// AddOrder notes an order; one that is known already changes nothing.
func (c *Controller) AddOrder(order Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.trials[order.Service]; t != nil && t.order == order {
		return
	}
	c.trials[order.Service] = &trial{
		order: order, state: InProgress, startedAt: c.clock.Now(), peers: make(map[string]Evidence),
	}
}

// ApplyStatus takes a status that was decided elsewhere; an end is never undone.
func (c *Controller) ApplyStatus(status Status) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trials[status.Service]
	if t == nil || t.order.To != status.To || t.state != InProgress || status.State == InProgress {
		return false
	}
	t.state = status.State
	return true
}

// VersionConstraint says which version a request must go to, or which it must not go
// to; "" sets no bound. U is uniform in [0, 1) and depends on the request only.
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

// RecordResponse counts an answer of a target of the version. Took is relative to the
// answer's expected length.
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
	if failed {
		counts.Failures++
	}
}

// Report is what one instance has counted of one order.
type Report struct {
	Service, To string
	Evidence    Evidence
}

// Reports returns the own counts of the orders under way.
func (c *Controller) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []Report
	for service, t := range c.trials {
		if t.state == InProgress {
			reports = append(reports, Report{service, t.order.To, t.local})
		}
	}
	return reports
}

// ApplyReport takes another instance's counts, which replace its earlier ones.
func (c *Controller) ApplyReport(peer string, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.trials[r.Service]; t != nil && t.order.To == r.To {
		t.peers[peer] = r.Evidence
	}
}

// Statuses returns what has become of all orders.
func (c *Controller) Statuses() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make([]Status, 0, len(c.trials))
	for service, t := range c.trials {
		statuses = append(statuses, Status{service, t.order.To, t.state})
	}
	return statuses
}

// Decide ends the orders that can be ended and returns those that it ended.
// Any instance takes back on its evidence; only the analyzer completes.
func (c *Controller) Decide(analyzer bool) []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ended []Status
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
		ended = append(ended, Status{service, t.order.To, t.state})
	}
	return ended
}
