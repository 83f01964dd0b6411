package evidence

import (
	"math"
	"time"
)

// baseCrashRate is the crash rate, per target and second, that is attributed to
// causes other than the version: one crash a day.
const baseCrashRate = 1.0 / 86400

// alternativeCrashRates are the crash rates, per target and second, of the
// alternative hypotheses that the version crashes its targets.
var alternativeCrashRates = [...]float64{1.0 / 60, 1.0 / 600, 1.0 / 3600}

const (
	// crashSettleTime is the delay before a crash is counted, so that a crash of
	// the old version in the same failure domain can still excuse it.
	crashSettleTime = 2 * time.Second
	// crashExcuseTime is how long after a crash of the old version crashes of the
	// new one in the same failure domain are not counted.
	crashExcuseTime = 30 * time.Second
)

// crashTest is a test martingale for the crashes of targets. The null hypothesis
// is a Poisson process with the base rate.
type crashTest struct {
	logEvidence [len(alternativeCrashRates)]float64
	// pending holds crashes of the new version that are not counted yet, by
	// failure domain.
	pending map[string]time.Time
	// lastCounted is the last settled crash of the new version, lastOldCrash the
	// last crash of the old version, by failure domain.
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

// addCrash adds a crash of a target. Crashes of the new version in one failure
// domain within minCrashInterval are one event.
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

// tick adds the targets' time at risk and counts the crashes that have settled.
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

// minLogCrashEvidence limits how much a long time without crashes offsets later
// crashes.
const minLogCrashEvidence = -3

func (c *crashTest) logAverage() float64 {
	sum := math.Inf(-1)
	for _, l := range c.logEvidence {
		sum = logAdd(sum, l)
	}
	return sum - math.Log(float64(len(alternativeCrashRates)))
}
