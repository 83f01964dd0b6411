package evidence

import (
	"maps"
	"math"
	"slices"
	"time"
)

// historyTest is evidence against the old version's past, for requests that have no
// control in the same window: no request of the old version ran there at such
// a concurrency. It holds the share at once, and condemns only when it lasts.
type historyTest struct {
	tests         metricTests
	exceededSince time.Time
}

// update notes since when the evidence is strong.
func (h *historyTest) update(alpha float64, now time.Time) {
	if !h.exceeds(alpha) {
		h.exceededSince = time.Time{}
		return
	}
	if h.exceededSince.IsZero() {
		h.exceededSince = now
	}
}

func (h *historyTest) exceeds(alpha float64) bool {
	return h.tests.logAverage()+math.Log(historyWeight/2) >= -math.Log(alpha)
}

// exceededFor tells whether the evidence has been strong for so long.
func (h *historyTest) exceededFor(minDuration time.Duration, now time.Time) bool {
	return !h.exceededSince.IsZero() && now.Sub(h.exceededSince) >= minDuration
}

const (
	// sameDomainPersistence is how long evidence against the past of the same failure
	// domain must last, persistElsewhere that against another domain's, where
	// the domain itself may be the cause.
	sameDomainPersistence  = 45 * time.Second
	otherDomainPersistence = 5 * time.Minute
)

// domainHealth compares the old version in a failure domain with its own past.
type domainHealth struct {
	requests, failures, slow int
	// expectedFailures is the sum of expected failures.
	expectedFailures float64
	// lastHealthy and lastDegraded are the last looks with either result.
	lastHealthy, lastDegraded, lastServed time.Time
}

const (
	// minHealthRequests is how many requests a look at a failure domain takes.
	minHealthRequests = 6
	// healthValidity is how long a look stays current.
	healthValidity = 30 * time.Second
	// domainServingTime is how long a domain counts as served by the old version.
	domainServingTime = 2 * time.Minute
	// degradedFailureFraction is the part of failures above twice the usual one, and
	// degradedOver that of requests over the usual 90% quantile, from which
	// the domain is degraded.
	degradedFailureFraction = 0.1
	degradedSlowFraction    = 0.4
)

// add counts the old version's requests; the result tells whether they show
// that the domain is degraded.
func (d *domainHealth) add(old *sample, ref *reference, now time.Time) bool {
	d.lastServed = now
	limit, known := quantile(&ref.perToken, tailQuantile, concurrentControl.minWeight)
	if !known {
		return false
	}
	slow, _ := countAbove(&old.perToken, limit+toleranceBuckets)
	d.requests += old.requests
	d.failures += old.failures
	d.slow += slow
	d.expectedFailures += float64(old.requests) * ref.failures / max(ref.requests, 1)
	if d.requests < minHealthRequests {
		return false
	}
	all := float64(d.requests)
	degraded := float64(d.failures) > degradedFailureFraction*all+2*d.expectedFailures+1 || float64(d.slow) > degradedSlowFraction*all
	if degraded {
		d.lastDegraded = now
	} else {
		d.lastHealthy = now
	}
	d.requests, d.failures, d.slow, d.expectedFailures = 0, 0, 0, 0
	return degraded
}

// updateReferences adds the old version's requests to the pictures of its past, and
// forgets evidence without a control when the failure domain is degraded.
func (a *Analyzer) updateReferences(key referenceKey, old *sample, now time.Time) {
	health := a.domains[key.domain]
	if health == nil {
		health = &domainHealth{}
		a.domains[key.domain] = health
	}
	long := a.referenceAt(a.longReferences, key)
	if health.add(old, a.fullestReference(key), now) {
		a.resetHistoryTests()
	}
	a.referenceAt(a.recentReferences, key).addDecayed(old, recentDecay)
	long.addDecayed(old, longDecay)
}

// fullestReference returns the fullest picture of the old version's past at the place's
// concurrency or above. The fullest is the oldest: a concurrency that the old
// version meets for the first time has no past of its own.
func (a *Analyzer) fullestReference(key referenceKey) *reference {
	best := a.referenceAt(a.longReferences, key)
	for load := key.loadBand + 1; load < loadBandCount; load++ {
		if ref := a.longReferences[referenceKey{key.stratum, load}]; ref != nil && ref.requests > best.requests {
			best = ref
		}
	}
	return best
}

func (a *Analyzer) resetHistoryTests() {
	a.sameDomain, a.otherDomain = historyTest{}, historyTest{}
	a.sameDomain.tests.addStart(a.cumulativeStartWeight())
	a.otherDomain.tests.addStart(a.cumulativeStartWeight())
}

// oldDegraded tells whether the old version does worse than usual in any domain.
func (a *Analyzer) oldDegraded(now time.Time) bool {
	for _, d := range a.domains {
		if now.Sub(d.lastDegraded) < healthValidity {
			return true
		}
	}
	return false
}

// domainHealthy tells whether the old version is known to do well in the domain, or
// in all others when it does not serve there.
func (a *Analyzer) domainHealthy(domain string, now time.Time) bool {
	own := a.domains[domain]
	if own != nil && now.Sub(own.lastServed) < domainServingTime {
		return now.Sub(own.lastHealthy) < healthValidity && own.lastHealthy.After(own.lastDegraded)
	}
	healthy := false
	for _, d := range a.domains {
		healthy = healthy || now.Sub(d.lastHealthy) < healthValidity
	}
	return healthy && !a.oldDegraded(now)
}

// compareWithHistory compares the new version with the old one's past, while the old
// version is known to do well.
func (a *Analyzer) compareWithHistory(kind windowKind, s stratum, c *comparison, now time.Time) {
	// A target that is slow soleTarget gathers requests and runs where no other
	// does; that is no evidence against the version.
	soleTarget := len(c.newByTarget) < 2 && a.servingTargets(now) >= 2
	if soleTarget || !a.domainHealthy(s.domain, now) {
		return
	}
	ref, sameDomain := a.historicalReference(s, c.newLoad)
	if ref == nil {
		return
	}
	newSample := c.newSample
	if slowest := c.slowestTarget(ref); slowest != nil && len(c.newByTarget) >= 2 {
		newSample.subtract(slowest)
	}
	inc := compare(kind, &newSample, roundedSample(ref), ref, historicalControl)
	// Caches were in another state then, so first tokens do not compare.
	inc[metricFirstTokenMedian], inc[metricFirstTokenTail] = [len(oddsRatios)]float64{}, [len(oddsRatios)]float64{}
	if sameDomain {
		a.sameDomain.tests.multiply(&inc)
		return
	}
	a.otherDomain.tests.multiply(&inc)
}

// slowestTarget returns the target with the most requests over the reference's tail,
// nil when there are none.
func (c *comparison) slowestTarget(ref *reference) *sample {
	limit, ok := quantile(&ref.perToken, tailQuantile, historicalControl.minWeight)
	if !ok {
		return nil
	}
	var slowest *sample
	maxOver := 0
	for _, name := range slices.Sorted(maps.Keys(c.newByTarget)) {
		s := c.newByTarget[name]
		if over, _ := countAbove(&s.perToken, limit); over > maxOver {
			slowest, maxOver = s, over
		}
	}
	return slowest
}

// historicalReference returns the old version's long picture at a concurrency, there or else
// in another failure domain; same tells which.
func (a *Analyzer) historicalReference(s stratum, load int) (ref *reference, sameDomain bool) {
	if ref := a.longReferences[referenceKey{s, load}]; ref != nil && ref.requests >= minWindowRequests {
		return ref, true
	}
	var best referenceKey
	weight := float64(minWindowRequests)
	for other, ref := range a.longReferences {
		comparable := other.route == s.route && other.loadBand == load && other.generation == s.generation
		if comparable && (ref.requests > weight || ref.requests == weight && other.domain < best.domain) {
			best, weight = other, ref.requests
		}
	}
	return a.longReferences[best], false
}
