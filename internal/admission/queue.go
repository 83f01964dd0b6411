package admission

import (
	"container/heap"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// queue holds a pool's waiting requests. The caller must hold the pool's lock.
type queue struct {
	tiers [tables.TierCount]tierQueue
}

// tierQueue is a start-time fair queue over accounts. An account's requests are
// dequeued in order of arrival; of all accounts, the first request with the
// smallest start tag is next. A start tag is the larger of the tier's virtual time
// and the finish tag of the account's previous request, so that an account is
// charged for what it used but accumulates no credit while idle.
type tierQueue struct {
	flows       map[string]*flow
	heads       flowHeap
	virtualTime float64
	waiting     int
	queuedCost  int
}

// flow is an account with queued requests, or with a finish tag ahead of virtual
// time.
type flow struct {
	account string
	jobs    []*job
	// finishTag is the finish tag of the last request dequeued.
	finishTag float64
	// heapIndex is the position in the heap, or -1 if not in it.
	heapIndex int
}

func (q *tierQueue) push(j *job) {
	if q.flows == nil {
		q.flows = make(map[string]*flow)
	}
	f := q.flows[j.account]
	if f == nil {
		f = &flow{account: j.account, finishTag: q.virtualTime, heapIndex: -1}
		q.flows[j.account] = f
	}
	if len(f.jobs) == 0 {
		f.finishTag = max(f.finishTag, q.virtualTime)
	}
	f.jobs = append(f.jobs, j)
	q.waiting++
	q.queuedCost += j.cost
	if f.heapIndex < 0 {
		heap.Push(&q.heads, f)
	}
}

// peek returns the flow whose first request is next, or nil.
func (q *tierQueue) peek() *flow {
	if len(q.heads) == 0 {
		return nil
	}
	return q.heads[0]
}

// skip removes a flow from the heap until restore.
func (q *tierQueue) skip(f *flow) { heap.Remove(&q.heads, f.heapIndex) }

func (q *tierQueue) restore(flows []*flow) {
	for _, f := range flows {
		if f.heapIndex < 0 && len(f.jobs) > 0 {
			heap.Push(&q.heads, f)
		}
	}
}

// pop dequeues the flow's first request and charges the account.
func (q *tierQueue) pop(f *flow) *job {
	j := f.jobs[0]
	q.virtualTime = max(q.virtualTime, f.finishTag)
	f.finishTag += float64(j.cost) / j.weight
	q.removeAt(f, 0)
	return j
}

// remove removes a request from the queue without charging the account.
func (q *tierQueue) remove(j *job) {
	f := q.flows[j.account]
	for i, other := range f.jobs {
		if other == j {
			q.removeAt(f, i)
			return
		}
	}
}

func (q *tierQueue) removeAt(f *flow, i int) {
	q.waiting--
	q.queuedCost -= f.jobs[i].cost
	f.jobs = append(f.jobs[:i], f.jobs[i+1:]...)
	if len(f.jobs) == 0 && f.heapIndex >= 0 {
		heap.Remove(&q.heads, f.heapIndex)
	} else if f.heapIndex >= 0 {
		heap.Fix(&q.heads, f.heapIndex)
	}
	if len(f.jobs) == 0 && f.finishTag <= q.virtualTime {
		delete(q.flows, f.account)
	}
}

// purge drops accounts without queued requests whose finish tag is not ahead of
// virtual time. If the tier is empty, it drops all.
func (q *tierQueue) purge() {
	for account, f := range q.flows {
		if len(f.jobs) == 0 && (q.waiting == 0 || f.finishTag <= q.virtualTime) {
			delete(q.flows, account)
		}
	}
}

// inDequeueOrder returns the queued requests in the order in which they will be
// dequeued if none is added.
func (q *tierQueue) inDequeueOrder() []*job {
	all := make([]*job, 0, q.waiting)
	for _, f := range q.flows {
		startTag := f.finishTag
		for _, j := range f.jobs {
			j.startTag = startTag
			startTag += float64(j.cost) / j.weight
			all = append(all, j)
		}
	}
	sortByStartTag(all)
	return all
}

// flowHeap orders flows by the start tag of their first request.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].jobs[0].seq < h[j].jobs[0].seq
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.heapIndex = -1
	*h = old[:len(old)-1]
	return f
}
