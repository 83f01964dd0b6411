package admission

import "time"

const (
	// rateWindow is the time over which finished work is summed.
	rateWindow = time.Second
	// rateGain is the weight of one window in the average.
	rateGain = 0.3
	// rateWindows is how many windows with waiting requests are needed before
	// the rate predicts waits.
	rateWindows = 3
)

// drainRate observes how fast a pool works off its queue, in tokens a second.
// Only windows in which requests waited throughout count, since others show
// what was asked and not what is possible.
type drainRate struct {
	start    time.Time
	finished int64
	busy     bool
	windows  int
	perSec   float64
}

// observe takes the sum of finished work so far and whether requests wait.
func (d *drainRate) observe(now time.Time, finished int64, waiting bool) {
	d.busy = d.busy && waiting
	elapsed := now.Sub(d.start)
	if elapsed < rateWindow {
		return
	}
	if d.busy {
		d.add(float64(finished-d.finished) / elapsed.Seconds())
	} else {
		d.windows = 0
	}
	d.start, d.finished, d.busy = now, finished, waiting
}

func (d *drainRate) add(perSec float64) {
	if d.windows == 0 {
		d.perSec = perSec
	}
	d.windows++
	d.perSec += rateGain * (perSec - d.perSec)
}

// wait returns how long the work ahead takes; 0 when that is not known.
func (d *drainRate) wait(ahead int) time.Duration {
	if d.windows < rateWindows || d.perSec <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / d.perSec * float64(time.Second))
}
