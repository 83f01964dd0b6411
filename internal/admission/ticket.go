package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// ticket is a request on its way through the package.
type ticket struct {
	pool    *pool
	request *Request
	account string
	tier    tables.Tier
	weight  float64
	// number orders tickets by arrival.
	number  uint64
	random  uint64
	arrived time.Time
	// end is when the wait ends at the latest.
	end time.Time

	// output is the expected output; work is what the fair share counts, need
	// what is reserved on the target, both in tokens.
	output int
	work   int
	need   credit.Tokens

	// result takes the one result of a request that waited.
	result chan result

	// The fields below are guarded by the pool's lock.

	waiting bool
	// heldFor is the target that the request waits for although another has
	// room; nil for none.
	heldFor *target
	// heldSince is when it was held first.
	heldSince time.Time
	tag       float64
	// urgentAt is the target at which room is made for the request; it is
	// chosen anew at urgentUntil.
	urgentAt    *target
	urgentUntil time.Time
}

type result struct {
	grant *Grant
	err   error
}

func (c *Controller) newTicket(p *pool, r *Request, now time.Time) *ticket {
	length := c.lengths.Estimate(r.Route, r.Account, r.OutputTokens)
	if r.PromptTokens == 0 && r.OutputTokens == 0 {
		length.Mean, length.High = 0, 0
	}
	number := c.arrivals.Add(1)
	t := &ticket{
		pool: p, request: r, account: r.Account,
		tier:   min(max(r.Tier, 0), tables.TierCount-1),
		weight: r.Weight, number: number, random: splitMix(c.seed + number),
		arrived: now, end: earliest(r.Deadline, r.QueueDeadline),
		output: length.Mean,
		work:   max(1, r.PromptTokens+length.Mean),
		need:   credit.Tokens(r.PromptTokens + length.High),
	}
	if t.weight <= 0 {
		t.weight = 1
	}
	return t
}

// ended reports whether the wait must end now.
func (t *ticket) ended(now time.Time) bool {
	return !t.end.IsZero() && !now.Before(t.end)
}

// earliest returns the earlier of two times, of which zero ones are none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func sortByTag(tickets []*ticket) {
	slices.SortFunc(tickets, func(a, b *ticket) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.number, b.number))
	})
}

// splitMix returns the random number at a position of a fixed sequence.
func splitMix(position uint64) uint64 {
	x := position * 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// uniform maps a random number to [0, 1).
func uniform(random uint64) float64 { return float64(random>>11) / (1 << 53) }
