package credit

import "time"

const (
	// backoffFactor is the factor by which an overload lowers the limit.
	backoffFactor = 0.7
	// probeBackoffFactor is the factor for an overload that resulted from probing
	// just above the limit last refused.
	probeBackoffFactor = 0.9
	// minBackoffInterval is the least time between two decreases, since responses to
	// requests sent before the first must not count again.
	minBackoffInterval = 500 * time.Millisecond
	// growInterval is the time in which a limit in full use rises by one slot.
	growInterval = 500 * time.Millisecond
	// probeInterval replaces growInterval next to the limit last refused.
	probeInterval = 5 * time.Second
	// growThreshold is the share of the limit in use from which the limit may rise.
	growThreshold = 0.8
	// slowdownThreshold is the ratio of the current time per token to the baseline
	// above which the limit is lowered. slowdownFloor is the share of the configured
	// slots that remains, since a lower limit does not help a target that is slow for
	// another reason than its load.
	slowdownThreshold = 4.0
	slowdownFloor     = 0.5
	// baselineGain is the weight of one observation in the baseline of the time per
	// token. A lasting change becomes the baseline after about 1/baselineGain
	// observations.
	baselineGain = 0.01
)

// Limiter adapts the number of concurrent requests on a target. The limit rises
// additively up to the configured slots while it is in full use, and more slowly next
// to the limit last refused. It falls by a factor on overload responses, and in
// proportion when the time per token rises far above its baseline. The caller must
// serialize calls.
type Limiter struct {
	configured Slots
	limit      float64
	loweredAt  time.Time
	raisedAt   time.Time
	// refusedLimit is the limit at which the target last refused a request, raised
	// with the limit by probing; 0 means never.
	refusedLimit    float64
	baselineSeconds float64
}

// NewLimiter returns a limiter that starts at the configured slots.
func NewLimiter(configured Slots, now time.Time) *Limiter {
	return &Limiter{configured: configured, limit: float64(configured), raisedAt: now}
}

// SetConfigured updates the configured slots and scales the limit in proportion.
func (l *Limiter) SetConfigured(configured Slots) {
	if configured == l.configured {
		return
	}
	l.limit = l.limit * float64(configured) / float64(max(1, l.configured))
	l.configured = configured
	l.clamp()
}

// InheritLimit lowers the limit to the one found by an earlier coordinator.
func (l *Limiter) InheritLimit(limit Slots) {
	if limit > 0 && float64(limit) < l.limit {
		l.limit = float64(limit)
	}
}

// Limit returns the current limit.
func (l *Limiter) Limit() Slots { return Slots(l.limit) }

// RecordOverload records that the target refused a request due to overload while the
// given number of requests ran there.
func (l *Limiter) RecordOverload(now time.Time, running Slots) {
	if now.Sub(l.loweredAt) < minBackoffInterval {
		return
	}
	base := l.limit
	if running > 0 {
		base = min(base, float64(running))
	}
	factor := backoffFactor
	if l.refusedLimit > 0 && base <= l.refusedLimit+1 {
		factor = probeBackoffFactor
	}
	l.refusedLimit = base
	l.reduceTo(now, base*factor)
}

// RecordTimePerToken records an observed time per output token.
func (l *Limiter) RecordTimePerToken(now time.Time, perToken time.Duration) {
	seconds := perToken.Seconds()
	if seconds <= 0 {
		return
	}
	if l.baselineSeconds == 0 {
		l.baselineSeconds = seconds
	}
	l.baselineSeconds += baselineGain * (seconds - l.baselineSeconds)
	ratio := seconds / l.baselineSeconds
	if ratio > slowdownThreshold && now.Sub(l.loweredAt) >= minBackoffInterval {
		floor := min(l.limit, slowdownFloor*float64(l.configured))
		l.reduceTo(now, max(floor, l.limit*max(0.5, slowdownThreshold/ratio)))
	}
}

// Tick raises the limit if it has been in full use for the interval.
func (l *Limiter) Tick(now time.Time, running Slots) {
	if float64(running) < growThreshold*float64(l.Limit()) {
		l.raisedAt = now
		return
	}
	interval := growInterval
	probing := l.refusedLimit > 0 && l.limit+1 >= l.refusedLimit
	if probing {
		interval = probeInterval
	}
	if now.Sub(l.raisedAt) < interval || now.Sub(l.loweredAt) < minBackoffInterval {
		return
	}
	l.raisedAt = now
	l.limit++
	if probing {
		l.refusedLimit = l.limit + 1
	}
	l.clamp()
}

func (l *Limiter) reduceTo(now time.Time, limit float64) {
	l.limit = limit
	l.loweredAt = now
	l.raisedAt = now
	l.clamp()
}

func (l *Limiter) clamp() {
	l.limit = min(max(l.limit, 1), float64(l.configured))
}
