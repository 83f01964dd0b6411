// Package fairqueue provides start-time fair queueing over client accounts.
//
// The requests of one account are dequeued in order of arrival. Of all accounts, the one whose
// next request has the smallest start tag is first. A start tag is the larger of the virtual
// time and the finish tag of the account's previous request, and the finish tag adds the
// request's cost divided by the account's weight. So an account gets capacity in proportion to
// its weight while others wait, all of it if none do, and no credit for the time in which it
// was idle.
//
// Queues that are served one after another, such as one for requests in time and one for late
// ones, may keep one record of each account between them (Share).
//
// # Load
//
// One account sends several times its usual rate beside others that send theirs: in order of
// arrival, its requests would push out those of all others.
package fairqueue

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
)

// Item is a queued request. Its methods must return the same values while it is queued.
type Item interface {
	comparable
	// Account is the client account; requests without one share "".
	Account() string
	// Cost is the work that the request causes, Weight the share of its account relative
	// to others; both are positive.
	Cost() float64
	Weight() float64
	// Sequence orders requests by arrival.
	Sequence() uint64
}

// Queue is a start-time fair queue over accounts. The zero value is empty. It is not safe for
// concurrent use, nor are queues that share the records of their accounts.
type Queue[T Item] struct {
	accounts *accounts[T]
	// index is the position of the queue among those that share their accounts.
	index      int
	heads      laneHeap[T]
	waiting    int
	queuedCost float64
}

// accounts are the records that one or more queues keep of accounts.
type accounts[T Item] struct {
	flows       map[string]*flow[T]
	queues      []*Queue[T]
	virtualTime float64
}

// flow is an account with queued requests, or with a finish tag ahead of virtual time.
type flow[T Item] struct {
	account string
	// finishTag is the finish tag of the last request that was charged.
	finishTag float64
	// lanes hold the account's requests in each queue.
	lanes []lane[T]
}

// lane holds the requests of one account in one queue, in order of arrival.
type lane[T Item] struct {
	flow  *flow[T]
	items []T
	// arrivalTag is the virtual time at which the lane was last empty: the start tag of its
	// first request is no smaller.
	arrivalTag float64
	// skipped is the number of requests that a scan has skipped, skippedCost their cost
	// relative to their weights. Both are 0 outside of a scan.
	skipped     int
	skippedCost float64
	// heapIndex is the position in the heap, or -1 if not in it.
	heapIndex int
}

// Share lets empty queues keep one record of each account and one virtual time: a request of
// one queue is charged to its account in all of them. It must be called before their first use.
func Share[T Item](queues ...*Queue[T]) {
	a := &accounts[T]{flows: make(map[string]*flow[T]), queues: queues}
	for i, q := range queues {
		q.accounts, q.index = a, i
	}
}

// records returns the records of the accounts.
func (q *Queue[T]) records() *accounts[T] {
	if q.accounts == nil {
		Share(q)
	}
	return q.accounts
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.waiting }

// QueuedCost returns the cost of all queued requests.
func (q *Queue[T]) QueuedCost() float64 { return q.queuedCost }

// Flows returns the number of accounts of which the queue keeps state.
func (q *Queue[T]) Flows() int { return len(q.records().flows) }

// Push adds a request, behind those of its account that arrived before it.
func (q *Queue[T]) Push(item T) {
	l := q.laneOf(item.Account())
	if len(l.items) == 0 {
		l.arrivalTag = q.accounts.virtualTime
	}
	i := l.firstSince(item.Sequence() + 1)
	l.items = slices.Insert(l.items, i, item)
	q.waiting++
	q.queuedCost += item.Cost()
	if l.heapIndex < 0 {
		heap.Push(&q.heads, l)
	} else if i == 0 {
		heap.Fix(&q.heads, l.heapIndex)
	}
}

// laneOf returns the requests of an account in this queue.
func (q *Queue[T]) laneOf(account string) *lane[T] {
	a := q.records()
	f := a.flows[account]
	if f == nil {
		f = &flow[T]{account: account, finishTag: a.virtualTime, lanes: make([]lane[T], len(a.queues))}
		for i := range f.lanes {
			f.lanes[i].flow, f.lanes[i].heapIndex = f, -1
		}
		a.flows[account] = f
	}
	return &f.lanes[q.index]
}

// firstSince returns the index of the first request whose sequence is not smaller.
func (l *lane[T]) firstSince(sequence uint64) int {
	if n := len(l.items); n > 0 && l.items[n-1].Sequence() < sequence {
		return n
	}
	i, _ := slices.BinarySearchFunc(l.items, sequence, func(item T, sequence uint64) int { return cmp.Compare(item.Sequence(), sequence) })
	return i
}

// indexOf returns the index of a request, or -1.
func (l *lane[T]) indexOf(item T) int {
	for i := l.firstSince(item.Sequence()); i < len(l.items) && l.items[i].Sequence() == item.Sequence(); i++ {
		if l.items[i] == item {
			return i
		}
	}
	return -1
}

// startTag returns the start tag of the first request.
func (l *lane[T]) startTag() float64 { return max(l.flow.finishTag, l.arrivalTag) }

// nextTag returns the start tag of the first request that a scan has not skipped.
func (l *lane[T]) nextTag() float64 { return l.startTag() + l.skippedCost }

func (f *flow[T]) isIdle() bool {
	return !slices.ContainsFunc(f.lanes, func(l lane[T]) bool { return len(l.items) > 0 })
}

// setFinishTag moves the account in all queues that hold requests of it.
func (a *accounts[T]) setFinishTag(f *flow[T], tag float64) {
	f.finishTag = tag
	for i, q := range a.queues {
		if position := f.lanes[i].heapIndex; position >= 0 {
			heap.Fix(&q.heads, position)
		}
	}
}

// dropIfIdle drops an account without queued requests whose finish tag is not ahead of virtual
// time.
func (a *accounts[T]) dropIfIdle(f *flow[T]) {
	if f.finishTag <= a.virtualTime && f.isIdle() {
		delete(a.flows, f.account)
	}
}

// Charge charges an account for a request that did not have to queue.
func (q *Queue[T]) Charge(item T) {
	l := q.laneOf(item.Account())
	if len(l.items) == 0 {
		l.arrivalTag = q.accounts.virtualTime
	}
	q.accounts.setFinishTag(l.flow, l.startTag()+item.Cost()/item.Weight())
}

// Peek returns the next request.
func (q *Queue[T]) Peek() (item T, ok bool) {
	if len(q.heads) == 0 {
		return item, false
	}
	return q.heads[0].items[0], true
}

// Contains reports whether the request is queued.
func (q *Queue[T]) Contains(item T) bool {
	f := q.records().flows[item.Account()]
	return f != nil && f.lanes[q.index].indexOf(item) >= 0
}

// Ahead returns how many of the queued requests would be dequeued before an item that is
// queued, or that is pushed now.
func (q *Queue[T]) Ahead(item T) int {
	a := q.records()
	own, ahead := a.virtualTime, 0
	ownFlow := a.flows[item.Account()]
	if ownFlow != nil {
		l := &ownFlow.lanes[q.index]
		own = max(own, ownFlow.finishTag)
		if len(l.items) > 0 {
			own = l.startTag()
		}
		ahead = l.firstSince(item.Sequence())
		for _, queued := range l.items[:ahead] {
			own += queued.Cost() / queued.Weight()
		}
	}
	for _, l := range q.heads {
		if l.flow == ownFlow {
			continue
		}
		tag := l.startTag()
		for _, queued := range l.items {
			if tag > own || tag == own && queued.Sequence() > item.Sequence() {
				break
			}
			ahead++
			tag += queued.Cost() / queued.Weight()
		}
	}
	return ahead
}

// Decision is what a Scan does with a request.
type Decision int

const (
	// Take dequeues the request and charges its account.
	Take Decision = iota
	// Skip leaves the request queued and goes on with the next one.
	Skip
	// SkipAccount leaves all requests of the account queued and goes on with the next
	// account.
	SkipAccount
	// Stop leaves the request queued and ends the scan.
	Stop
)

// Scan visits the requests in the order in which they would be dequeued, until visit returns
// Stop or all have been visited. visit must not change the queue, nor one that shares its
// accounts.
func (q *Queue[T]) Scan(visit func(T) Decision) {
	// skipped holds the lanes that are out of the heap, or whose position no longer follows
	// from their first request.
	var skipped []*lane[T]
	defer func() {
		for _, l := range skipped {
			l.skipped, l.skippedCost = 0, 0
			switch {
			case len(l.items) == 0:
			case l.heapIndex >= 0:
				heap.Fix(&q.heads, l.heapIndex)
			default:
				heap.Push(&q.heads, l)
			}
		}
	}()
	for len(q.heads) > 0 {
		l := q.heads[0]
		item := l.items[l.skipped]
		cost := item.Cost() / item.Weight()
		switch visit(item) {
		case Stop:
			return
		case Take:
			startTag := l.startTag()
			q.accounts.virtualTime = max(q.accounts.virtualTime, startTag)
			q.removeAt(l, l.skipped)
			q.accounts.setFinishTag(l.flow, startTag+cost)
			q.accounts.dropIfIdle(l.flow)
		case Skip:
			if l.skipped == 0 {
				skipped = append(skipped, l)
			}
			l.skipped++
			l.skippedCost += cost
			if l.skipped == len(l.items) {
				heap.Remove(&q.heads, l.heapIndex)
			} else {
				heap.Fix(&q.heads, l.heapIndex)
			}
		case SkipAccount:
			if l.skipped == 0 {
				skipped = append(skipped, l)
			}
			heap.Remove(&q.heads, l.heapIndex)
		}
	}
}

// Remove removes a request without charging its account. It reports whether it was queued.
func (q *Queue[T]) Remove(item T) bool {
	f := q.records().flows[item.Account()]
	if f == nil {
		return false
	}
	l := &f.lanes[q.index]
	i := l.indexOf(item)
	if i < 0 {
		return false
	}
	q.removeAt(l, i)
	q.accounts.dropIfIdle(f)
	return true
}

func (q *Queue[T]) removeAt(l *lane[T], i int) {
	q.waiting--
	q.queuedCost -= l.items[i].Cost()
	if i == 0 {
		// The first request is the usual one: the others are not moved.
		var zero T
		l.items[0] = zero
		l.items = l.items[1:]
	} else {
		l.items = slices.Delete(l.items, i, i+1)
	}
	if len(l.items) == 0 {
		l.items = nil
	}
	if l.heapIndex >= 0 && len(l.items) <= l.skipped {
		heap.Remove(&q.heads, l.heapIndex)
	} else if l.heapIndex >= 0 {
		heap.Fix(&q.heads, l.heapIndex)
	}
	if q.waiting == 0 {
		q.queuedCost = 0
	}
}

// minIdleFlows is the number of accounts without queued requests that Purge always keeps.
const minIdleFlows = 256

// Purge drops accounts without queued requests whose finish tag is not ahead of virtual time,
// and all accounts if nothing is queued. Of the others without queued requests it keeps as many
// as there are accounts with queued requests, or minIdleFlows: virtual time stands still while
// queued requests wait for those that start without queueing, each of which may add an account.
func (q *Queue[T]) Purge() {
	a := q.records()
	waiting := 0
	for _, shared := range a.queues {
		waiting += shared.waiting
	}
	var idle []*flow[T]
	for account, f := range a.flows {
		if !f.isIdle() {
			continue
		}
		if waiting == 0 || f.finishTag <= a.virtualTime {
			delete(a.flows, account)
			continue
		}
		idle = append(idle, f)
	}
	excess := len(idle) - max(minIdleFlows, len(a.flows)-len(idle))
	if excess <= 0 {
		return
	}
	// Accounts with the smallest finish tags have the least to catch up with.
	slices.SortFunc(idle, func(a, b *flow[T]) int {
		return cmp.Or(cmp.Compare(a.finishTag, b.finishTag), cmp.Compare(a.account, b.account))
	})
	for _, f := range idle[:excess] {
		delete(a.flows, f.account)
	}
}

// All returns the queued requests in no particular order.
func (q *Queue[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, l := range q.heads {
			for _, item := range l.items {
				if !yield(item) {
					return
				}
			}
		}
	}
}

// Tagged is a queued request with its start tag.
type Tagged[T Item] struct {
	Item     T
	StartTag float64
}

// InOrder returns the queued requests in the order in which they will be dequeued if none is
// added.
func (q *Queue[T]) InOrder() []Tagged[T] {
	all := make([]Tagged[T], 0, q.waiting)
	for _, l := range q.heads {
		startTag := l.startTag()
		for _, item := range l.items {
			all = append(all, Tagged[T]{item, startTag})
			startTag += item.Cost() / item.Weight()
		}
	}
	slices.SortFunc(all, func(a, b Tagged[T]) int {
		return cmp.Or(cmp.Compare(a.StartTag, b.StartTag), cmp.Compare(a.Item.Sequence(), b.Item.Sequence()))
	})
	return all
}

// laneHeap orders accounts by the start tag of their next request.
type laneHeap[T Item] []*lane[T]

func (h laneHeap[T]) Len() int { return len(h) }

func (h laneHeap[T]) Less(i, j int) bool {
	if a, b := h[i].nextTag(), h[j].nextTag(); a != b {
		return a < b
	}
	return h[i].items[h[i].skipped].Sequence() < h[j].items[h[j].skipped].Sequence()
}

func (h laneHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *laneHeap[T]) Push(x any) {
	l := x.(*lane[T])
	l.heapIndex = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *laneHeap[T]) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	l.heapIndex = -1
	*h = old[:len(old)-1]
	return l
}
