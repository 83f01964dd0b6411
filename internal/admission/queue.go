package admission

import (
	"container/heap"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// queue holds a pool's waiting requests. It needs the caller's lock.
type queue struct {
	tiers [tables.TierCount]tierQueue
}

// tierQueue is a start-time fair queue over accounts. Each account's requests
// leave in order of arrival; the head with the smallest start tag leaves first.
// A start tag is the larger of the tier's virtual time and the end of the
// account's previous request, so that an account pays for what it used but
// saves up nothing while idle.
type tierQueue struct {
	flows   map[string]*flow
	heads   flowHeap
	virtual float64
	waiting int
	tokens  int
}

// flow is one account with waiting requests, or with an end tag still ahead of
// virtual time.
type flow struct {
	account string
	tickets []*ticket
	// finish is the end tag of the last request that left.
	finish float64
	// index is the position in the heap, -1 outside.
	index int
}

func (q *tierQueue) push(t *ticket) {
	if q.flows == nil {
		q.flows = make(map[string]*flow)
	}
	f := q.flows[t.account]
	if f == nil {
		f = &flow{account: t.account, finish: q.virtual, index: -1}
		q.flows[t.account] = f
	}
	if len(f.tickets) == 0 {
		f.finish = max(f.finish, q.virtual)
	}
	f.tickets = append(f.tickets, t)
	q.waiting++
	q.tokens += t.work
	if f.index < 0 {
		heap.Push(&q.heads, f)
	}
}

// peek returns the flow whose head leaves next, or nil.
func (q *tierQueue) peek() *flow {
	if len(q.heads) == 0 {
		return nil
	}
	return q.heads[0]
}

// setAside takes a flow out of the order until restore.
func (q *tierQueue) setAside(f *flow) { heap.Remove(&q.heads, f.index) }

func (q *tierQueue) restore(flows []*flow) {
	for _, f := range flows {
		if f.index < 0 && len(f.tickets) > 0 {
			heap.Push(&q.heads, f)
		}
	}
}

// pop takes the head of the flow out of the queue and charges the account.
func (q *tierQueue) pop(f *flow) *ticket {
	t := f.tickets[0]
	q.virtual = max(q.virtual, f.finish)
	f.finish += float64(t.work) / t.weight
	q.drop(f, 0)
	return t
}

// remove takes a waiting request out of the queue without charge.
func (q *tierQueue) remove(t *ticket) {
	f := q.flows[t.account]
	for i, other := range f.tickets {
		if other == t {
			q.drop(f, i)
			return
		}
	}
}

func (q *tierQueue) drop(f *flow, i int) {
	q.waiting--
	q.tokens -= f.tickets[i].work
	f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
	if len(f.tickets) == 0 && f.index >= 0 {
		heap.Remove(&q.heads, f.index)
	} else if f.index >= 0 {
		heap.Fix(&q.heads, f.index)
	}
	if len(f.tickets) == 0 && f.finish <= q.virtual {
		delete(q.flows, f.account)
	}
}

// purge forgets accounts that neither wait nor are ahead of virtual time. An
// empty tier forgets all.
func (q *tierQueue) purge() {
	for account, f := range q.flows {
		if len(f.tickets) == 0 && (q.waiting == 0 || f.finish <= q.virtual) {
			delete(q.flows, account)
		}
	}
}

// ordered returns the waiting requests in the order in which they will leave,
// if none joins.
func (q *tierQueue) ordered() []*ticket {
	all := make([]*ticket, 0, q.waiting)
	for _, f := range q.flows {
		tag := f.finish
		for _, t := range f.tickets {
			t.tag = tag
			tag += float64(t.work) / t.weight
			all = append(all, t)
		}
	}
	sortByTag(all)
	return all
}

// flowHeap orders flows by the start tag of their heads.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].tickets[0].number < h[j].tickets[0].number
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.index = -1
	*h = old[:len(old)-1]
	return f
}
