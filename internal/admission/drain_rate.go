package admission

import "time"

const (
	// rateWindow is the time over which finished work is summed.
	rateWindow = time.Second
	// rateSmoothing is the weight of one window in the average.
	rateSmoothing = 0.3
	// minRateWindows is how many windows with waiting requests are needed before
	// the rate predicts waits.
	minRateWindows = 3
)

// drainRate observes how fast a pool works off its queue, in tokens a second.
// Only windows in which requests waited throughout count, since others show
// what was asked and not what is possible.
type drainRate struct {
	windowStart  time.Time
	windowBase   int64
	backlogged   bool
	windows      int
	tokensPerSec float64
}

// observe takes the sum of finished work so far and whether requests wait.
func (d *drainRate) observe(now time.Time, completed int64, waiting bool) {
	d.backlogged = d.backlogged && waiting
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}
	if d.backlogged {
		d.addSample(float64(completed-d.windowBase) / elapsed.Seconds())
	} else {
		d.windows = 0
	}
	d.windowStart, d.windowBase, d.backlogged = now, completed, waiting
}

func (d *drainRate) addSample(tokensPerSec float64) {
	if d.windows == 0 {
		d.tokensPerSec = tokensPerSec
	}
	d.windows++
	d.tokensPerSec += rateSmoothing * (tokensPerSec - d.tokensPerSec)
}

// expectedWait returns how long the work ahead takes; 0 when that is not known.
func (d *drainRate) expectedWait(tokensAhead int) time.Duration {
	if d.windows < minRateWindows || d.tokensPerSec <= 0 {
		return 0
	}
	return time.Duration(float64(tokensAhead) / d.tokensPerSec * float64(time.Second))
}
