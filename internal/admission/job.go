package admission

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// job is a request with its estimates and its state of admission.
type job struct {
	pool    *pool
	request *Request
	account string
	tier    tables.Tier
	weight  float64
	// seq numbers jobs by arrival.
	seq       uint64
	random    uint64
	arrivedAt time.Time
	// waitEnd is the earlier of the queue deadline and the deadline; zero means none.
	waitEnd time.Time

	// expectedOutput is the estimated output, cost the work that fair queueing
	// charges to the account, and reserveTokens the KV tokens to reserve on the
	// target, all in tokens.
	expectedOutput int
	cost           int
	reserveTokens  credit.Tokens

	// result receives the one result of a request that was queued.
	result chan result

	// The fields below are guarded by the pool's lock.

	waiting bool
	// affinityTarget is the preferred target that the request waits for although
	// another may have capacity; nil for none.
	affinityTarget *target
	// affinityWaitSince is when another target first had capacity during such a
	// wait; zero means never.
	affinityWaitSince time.Time
	// preemptionTarget is the target on which lower tiers are cancelled for this
	// request. It is chosen again at preemptionRetryAt.
	preemptionTarget  *target
	preemptionRetryAt time.Time
}

type result struct {
	grant *Grant
	err   error
}

func (c *Controller) newJob(p *pool, r *Request, now time.Time) *job {
	length := c.lengths.Estimate(r.Route, r.Account, r.OutputTokens)
	if r.PromptTokens == 0 && r.OutputTokens == 0 {
		length.Mean, length.High = 0, 0
	}
	seq := c.jobCount.Add(1)
	j := &job{
		pool: p, request: r, account: r.Account,
		tier:   min(max(r.Tier, 0), tables.TierCount-1),
		weight: r.Weight, seq: seq, random: splitMix(c.seed + seq),
		arrivedAt: now, waitEnd: earliest(r.Deadline, r.QueueDeadline),
		expectedOutput: length.Mean,
		cost:           max(1, r.PromptTokens+length.Mean),
		reserveTokens:  credit.Tokens(r.PromptTokens + length.High),
	}
	if j.weight <= 0 {
		j.weight = 1
	}
	return j
}

// waitExpired reports whether the request has reached the end of its wait.
func (j *job) waitExpired(now time.Time) bool {
	return !j.waitEnd.IsZero() && !now.Before(j.waitEnd)
}

// earliest returns the earlier of two times; a zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// splitMix returns the SplitMix64 output at a position of its sequence.
func splitMix(position uint64) uint64 {
	x := position * 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// uniform maps a random number to [0, 1).
func uniform(random uint64) float64 { return float64(random>>11) / (1 << 53) }
