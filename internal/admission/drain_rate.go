package admission

import "time"

const (
	// rateWindow is the time over which completed work is summed.
	rateWindow = time.Second
	// rateSmoothing is the weight of one window in the moving average.
	rateSmoothing = 0.3
	// minRateWindows is how many consecutive windows with queued requests are
	// needed before the rate predicts waits.
	minRateWindows = 3
)

// drainRate estimates the throughput of a pool's queue in tokens per second. Only
// windows in which requests were queued throughout count; in others the
// throughput is limited by the offered load and not by the capacity.
type drainRate struct {
	windowStart      time.Time
	completedAtStart int64
	backlogged       bool
	windows          int
	tokensPerSec     float64
}

// observe records the total of completed work and whether requests are queued.
func (d *drainRate) observe(now time.Time, completed int64, waiting bool) {
	d.backlogged = d.backlogged && waiting
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}
	if d.backlogged {
		d.addSample(float64(completed-d.completedAtStart) / elapsed.Seconds())
	} else {
		d.windows = 0
	}
	d.windowStart, d.completedAtStart, d.backlogged = now, completed, waiting
}

func (d *drainRate) addSample(tokensPerSec float64) {
	if d.windows == 0 {
		d.tokensPerSec = tokensPerSec
	}
	d.windows++
	d.tokensPerSec += rateSmoothing * (tokensPerSec - d.tokensPerSec)
}

// expectedWait returns the time needed for the tokens ahead in the queue, or 0 if
// the rate is unknown.
func (d *drainRate) expectedWait(tokensAhead int) time.Duration {
	if d.windows < minRateWindows || d.tokensPerSec <= 0 {
		return 0
	}
	return time.Duration(float64(tokensAhead) / d.tokensPerSec * float64(time.Second))
}
