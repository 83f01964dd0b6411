package schedule

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/fairqueue"
)

// queueEntry is a request in a queue of the scheduler.
type queueEntry struct {
	request *Request
	// waitDeadline is when the wait is looked at again: until then the request can be
	// answered within its objective or, if overdue is set, at all.
	waitDeadline time.Time
	overdue      bool
	// returning is set for a request whose caller was told to come back now. Its objective
	// counts from the first attempt, which was refused.
	returning bool
	// waitEnded is set once the request has been removed from its queue without a grant.
	waitEnded bool
	cost      float64
	sequence  uint64
	granted   chan *Grant
	// lackedMemory is set once the request has been counted in Counters.MemoryWaits.
	lackedMemory bool
}

// Account implements fairqueue.Item.
func (e *queueEntry) Account() string { return e.request.Account }

// Cost implements fairqueue.Item.
func (e *queueEntry) Cost() float64 { return e.cost }

// Weight implements fairqueue.Item.
func (e *queueEntry) Weight() float64 {
	if e.request.Weight <= 0 {
		return 1
	}
	return e.request.Weight
}

// Sequence implements fairqueue.Item.
func (e *queueEntry) Sequence() uint64 { return e.sequence }

// overdueClass orders the requests of a tier that have missed their objectives.
type overdueClass int

const (
	// overdueReturning are the requests of callers that return as advised.
	overdueReturning overdueClass = iota
	overdueOther
	overdueClassCount
)

// queues hold the queued requests of one service. The queues of a tier share one record of each
// account, so that a request counts against its account whether it starts in time or overdue.
type queues struct {
	// tiers hold the requests that can be answered within their objectives.
	tiers [PriorityCount]fairqueue.Queue[*queueEntry]
	// overdue holds the requests that have missed their objectives, by tier and class. They
	// start on what the other requests leave.
	overdue [PriorityCount][overdueClassCount]fairqueue.Queue[*queueEntry]
}

func newQueues() *queues {
	q := &queues{}
	for p := range q.tiers {
		fairqueue.Share(&q.tiers[p], &q.overdue[p][overdueReturning], &q.overdue[p][overdueOther])
	}
	return q
}

func (e *queueEntry) overdueClass() overdueClass {
	if e.returning {
		return overdueReturning
	}
	return overdueOther
}

// queueOf returns the queue that the request belongs to.
func (q *queues) queueOf(e *queueEntry) *fairqueue.Queue[*queueEntry] {
	if e.overdue {
		return &q.overdue[e.request.priority()][e.overdueClass()]
	}
	return &q.tiers[e.request.priority()]
}

func (q *queues) push(e *queueEntry) { q.queueOf(e).Push(e) }

// remove reports whether the request was queued.
func (q *queues) remove(e *queueEntry) bool { return q.queueOf(e).Remove(e) }

// contains reports whether the request is queued.
func (q *queues) contains(e *queueEntry) bool { return q.queueOf(e).Contains(e) }

// scanOverdue visits the requests that have missed their objectives in the order in which they
// would start.
func (q *queues) scanOverdue(visit func(*queueEntry) fairqueue.Decision) {
	for p := range q.overdue {
		for class := range q.overdue[p] {
			if waiting := &q.overdue[p][class]; waiting.Len() > 0 {
				waiting.Scan(visit)
			}
		}
	}
}

// overdueAhead returns how many of the requests that have missed their objectives start before
// the request, which has missed its own.
func (q *queues) overdueAhead(e *queueEntry) int {
	ahead := 0
	for p := range e.request.priority() {
		for class := range q.overdue[p] {
			ahead += q.overdue[p][class].Len()
		}
	}
	classes := &q.overdue[e.request.priority()]
	for class := range e.overdueClass() {
		ahead += classes[class].Len()
	}
	return ahead + classes[e.overdueClass()].Ahead(e)
}

// overdueCount returns the number of queued requests that have missed their objectives.
func (q *queues) overdueCount() int {
	count := 0
	for p := range q.overdue {
		for class := range q.overdue[p] {
			count += q.overdue[p][class].Len()
		}
	}
	return count
}

// charge charges the account of a request that starts without waiting.
func (q *queues) charge(e *queueEntry) {
	if e.request.Account != "" {
		q.tiers[e.request.priority()].Charge(e)
	}
}

// purge drops the state of accounts without recent requests.
func (q *queues) purge() {
	for i := range q.tiers {
		q.tiers[i].Purge()
	}
}

// hasQueuedAtOrAbove reports whether a request is queued, in time for its objective, that
// goes before new ones of the priority.
func (q *queues) hasQueuedAtOrAbove(priority int) bool {
	for p := range priority + 1 {
		if q.tiers[p].Len() > 0 {
			return true
		}
	}
	return false
}

func (q *queues) isEmpty() bool {
	return !q.hasQueuedAtOrAbove(PriorityCount-1) && q.overdueCount() == 0
}

// countByPriority returns the number of queued requests of each priority that are in time
// for their objectives.
func (q *queues) countByPriority() (counts [PriorityCount]int) {
	for p := range q.tiers {
		counts[p] = q.tiers[p].Len()
	}
	return counts
}
