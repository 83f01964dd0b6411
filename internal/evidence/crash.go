package evidence

import (
	"math"
	"time"
)

// baseCrashRate is the rate at which any target may crash without fault of its
// version, per target and second: once a day.
const baseCrashRate = 1.0 / 86400

// crashRates are the alternatives for a version that crashes its targets, per
// target and second.
var crashRates = [...]float64{1.0 / 60, 1.0 / 600, 1.0 / 3600}

const (
	// crashSettle is how long a crash waits for crashes of the old version in
	// the same failure domain, which would excuse it.
	crashSettle = 2 * time.Second
	// crashExcuse is how long a crash of the old version excuses others.
	crashExcuse = 30 * time.Second
)

// crashTest is a test martingale on crashes of targets against a Poisson
// process at the base rate.
type crashTest struct {
	logs [len(crashRates)]float64
	// pending are crashes of the new version by failure domain.
	pending map[string]time.Time
	// counted and excused are the last counted crash and the last crash of the
	// old version by failure domain.
	counted map[string]time.Time
	excused map[string]time.Time
	events  int
	last    time.Time
}

func newCrashTest() *crashTest {
	return &crashTest{
		pending: make(map[string]time.Time),
		counted: make(map[string]time.Time),
		excused: make(map[string]time.Time),
	}
}

// crash takes a crash of a target in a failure domain; crashes that follow
// each other closely in one domain are one event.
func (c *crashTest) crash(domain string, isNew bool, now time.Time) {
	if !isNew {
		c.excused[domain] = now
		return
	}
	if _, waiting := c.pending[domain]; waiting {
		return
	}
	if last, ok := c.counted[domain]; ok && now.Sub(last) < crashSpacing {
		return
	}
	c.pending[domain] = now
}

// tick counts settled crashes and the exposure of targets.
func (c *crashTest) tick(targets int, now time.Time) {
	if !c.last.IsZero() {
		exposure := float64(targets) * now.Sub(c.last).Seconds()
		for i, rate := range crashRates {
			c.logs[i] -= (rate - baseCrashRate) * exposure
		}
	}
	c.last = now
	for domain, at := range c.pending {
		if now.Sub(at) < crashSettle {
			continue
		}
		delete(c.pending, domain)
		c.counted[domain] = at
		if excused, ok := c.excused[domain]; ok && now.Sub(excused) < crashExcuse {
			continue
		}
		c.events++
		for i, rate := range crashRates {
			c.logs[i] += math.Log(rate / baseCrashRate)
		}
	}
	for i := range c.logs {
		c.logs[i] = max(c.logs[i], crashFloor)
	}
}

// crashFloor bounds how far long good service hides later crashes.
const crashFloor = -3

func (c *crashTest) log() float64 {
	sum := math.Inf(-1)
	for _, l := range c.logs {
		sum = logAdd(sum, l)
	}
	return sum - math.Log(float64(len(crashRates)))
}
