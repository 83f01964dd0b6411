package evidence

import (
	"math"
	"time"
)

// baseCrashRate is the rate at which any target may crash without fault of its
// version, per target and second: once a day.
const baseCrashRate = 1.0 / 86400

// alternativeCrashRates are the alternatives for a version that crashes its targets, per
// target and second.
var alternativeCrashRates = [...]float64{1.0 / 60, 1.0 / 600, 1.0 / 3600}

const (
	// crashSettleTime is how long a crash waits for crashes of the old version in
	// the same failure domain, which would excuse it.
	crashSettleTime = 2 * time.Second
	// crashExcuseTime is how long a crash of the old version excuses others.
	crashExcuseTime = 30 * time.Second
)

// crashTest is a test martingale on crashes of targets against a Poisson
// process at the base rate.
type crashTest struct {
	logEvidence [len(alternativeCrashRates)]float64
	// pending are crashes of the new version by failure domain.
	pending map[string]time.Time
	// lastCounted and excused are the last lastCounted crash and the last crash of the
	// old version by failure domain.
	lastCounted  map[string]time.Time
	lastOldCrash map[string]time.Time
	count        int
	lastTick     time.Time
}

func newCrashTest() *crashTest {
	return &crashTest{
		pending:      make(map[string]time.Time),
		lastCounted:  make(map[string]time.Time),
		lastOldCrash: make(map[string]time.Time),
	}
}

// addCrash takes a addCrash of a target in a failure domain; crashes that follow
// each other closely in one domain are one event.
func (c *crashTest) addCrash(domain string, isNew bool, now time.Time) {
	if !isNew {
		c.lastOldCrash[domain] = now
		return
	}
	if _, waiting := c.pending[domain]; waiting {
		return
	}
	if last, ok := c.lastCounted[domain]; ok && now.Sub(last) < minCrashInterval {
		return
	}
	c.pending[domain] = now
}

// tick counts settled crashes and the exposure of targets.
func (c *crashTest) tick(targets int, now time.Time) {
	if !c.lastTick.IsZero() {
		exposure := float64(targets) * now.Sub(c.lastTick).Seconds()
		for i, rate := range alternativeCrashRates {
			c.logEvidence[i] -= (rate - baseCrashRate) * exposure
		}
	}
	c.lastTick = now
	for domain, at := range c.pending {
		if now.Sub(at) < crashSettleTime {
			continue
		}
		delete(c.pending, domain)
		c.lastCounted[domain] = at
		if oldCrash, ok := c.lastOldCrash[domain]; ok && now.Sub(oldCrash) < crashExcuseTime {
			continue
		}
		c.count++
		for i, rate := range alternativeCrashRates {
			c.logEvidence[i] += math.Log(rate / baseCrashRate)
		}
	}
	for i := range c.logEvidence {
		c.logEvidence[i] = max(c.logEvidence[i], minLogCrashEvidence)
	}
}

// minLogCrashEvidence bounds how far long good service hides later crashes.
const minLogCrashEvidence = -3

func (c *crashTest) logAverage() float64 {
	sum := math.Inf(-1)
	for _, l := range c.logEvidence {
		sum = logAdd(sum, l)
	}
	return sum - math.Log(float64(len(alternativeCrashRates)))
}
