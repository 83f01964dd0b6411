package credit

import "time"

const (
	// backoff is the factor by which an overload lowers the limit.
	backoff = 0.7
	// gentleBackoff is that factor when the overload came from probing just
	// above the last limit that the target refused.
	gentleBackoff = 0.9
	// backoffPause is the least time between two decreases: answers of
	// requests sent before the first must not count again.
	backoffPause = 500 * time.Millisecond
	// growEvery is the time in which a limit in full use rises by one slot.
	growEvery = 500 * time.Millisecond
	// probeEvery is that time once the limit is next to the one last refused.
	probeEvery = 5 * time.Second
	// fullUse is the share of the limit in use from which it may rise.
	fullUse = 0.8
	// slowdown is the ratio of the present time per token to the usual one
	// from which the limit is lowered, slowFloor the part of the table's number
	// that it keeps: a target that is slow for another reason than its load
	// gains nothing from a lower limit.
	slowdown  = 4.0
	slowFloor = 0.5
	// usualGain is the weight of one observation in the usual time per token.
	// A lasting change becomes the usual one after about 1/usualGain of them.
	usualGain = 0.01
)

// Limiter finds how many requests a target takes at once: additive increase up
// to the table's number while the limit is in full use, slow next to the limit
// last refused; multiplicative decrease on overload answers, and a decrease in proportion when the time per
// token rises above the usual one. It needs the caller's lock.
type Limiter struct {
	table   Slots
	limit   float64
	lowered time.Time
	raised  time.Time
	// refused is the limit at which the target last refused; 0: never.
	refused float64
	usual   float64
}

// NewLimiter returns a limiter that starts at the table's number.
func NewLimiter(table Slots, now time.Time) *Limiter {
	return &Limiter{table: table, limit: float64(table), raised: now}
}

// SetConfigured takes a changed number from the table.
func (l *Limiter) SetConfigured(table Slots) {
	if table == l.table {
		return
	}
	l.limit = l.limit * float64(table) / float64(max(1, l.table))
	l.table = table
	l.clamp()
}

// InheritLimit takes the limit that an earlier coordinator had found.
func (l *Limiter) InheritLimit(limit Slots) {
	if limit > 0 && float64(limit) < l.limit {
		l.limit = float64(limit)
	}
}

// Limit returns the present limit.
func (l *Limiter) Limit() Slots { return Slots(l.limit) }

// RecordOverload records that the target refused for overload while running
// requests ran there.
func (l *Limiter) RecordOverload(now time.Time, running Slots) {
	if now.Sub(l.lowered) < backoffPause {
		return
	}
	base := l.limit
	if running > 0 {
		base = min(base, float64(running))
	}
	factor := backoff
	if l.refused > 0 && base <= l.refused+1 {
		factor = gentleBackoff
	}
	l.refused = base
	l.lower(now, base*factor)
}

// RecordTimePerToken records an observed time per output token.
func (l *Limiter) RecordTimePerToken(now time.Time, perToken time.Duration) {
	seconds := perToken.Seconds()
	if seconds <= 0 {
		return
	}
	if l.usual == 0 {
		l.usual = seconds
	}
	l.usual += usualGain * (seconds - l.usual)
	ratio := seconds / l.usual
	if ratio > slowdown && now.Sub(l.lowered) >= backoffPause {
		floor := min(l.limit, slowFloor*float64(l.table))
		l.lower(now, max(floor, l.limit*max(0.5, slowdown/ratio)))
	}
}

// Tick raises the limit when it is in full use.
func (l *Limiter) Tick(now time.Time, running Slots) {
	if float64(running) < fullUse*float64(l.Limit()) {
		l.raised = now
		return
	}
	pause := growEvery
	probing := l.refused > 0 && l.limit+1 >= l.refused
	if probing {
		pause = probeEvery
	}
	if now.Sub(l.raised) < pause || now.Sub(l.lowered) < backoffPause {
		return
	}
	l.raised = now
	l.limit++
	if probing {
		l.refused = l.limit + 1
	}
	l.clamp()
}

func (l *Limiter) lower(now time.Time, limit float64) {
	l.limit = limit
	l.lowered = now
	l.raised = now
	l.clamp()
}

func (l *Limiter) clamp() {
	l.limit = min(max(l.limit, 1), float64(l.table))
}
