package evidence

import (
	"maps"
	"math"
	"slices"
	"time"
)

// historyTest tests requests without a concurrent control against the old
// version's past: no request of the old version ran in the same window at the
// same or higher concurrency. Such evidence holds the share at once, but means
// a regression only when it persists.
type historyTest struct {
	tests         metricTests
	exceededSince time.Time
}

// update sets the time since which the evidence has exceeded its threshold.
func (h *historyTest) update(alpha float64, now time.Time) {
	if !h.exceeds(alpha) {
		h.exceededSince = time.Time{}
		return
	}
	if h.exceededSince.IsZero() {
		h.exceededSince = now
	}
}

// exceeds reports whether the weighted evidence reaches 1/alpha.
func (h *historyTest) exceeds(alpha float64) bool {
	return h.tests.logAverage()+math.Log(historyWeight/2) >= -math.Log(alpha)
}

// exceededFor reports whether the evidence has exceeded its threshold for at
// least minDuration.
func (h *historyTest) exceededFor(minDuration time.Duration, now time.Time) bool {
	return !h.exceededSince.IsZero() && now.Sub(h.exceededSince) >= minDuration
}

const (
	// sameDomainPersistence is how long evidence against the past of the same
	// failure domain must persist, otherDomainPersistence against that of another
	// domain, where the difference may be due to the domain itself.
	sameDomainPersistence  = 45 * time.Second
	otherDomainPersistence = 5 * time.Minute
)

// domainHealth compares the old version in a failure domain with its own past.
// It accumulates requests until there are enough for a check.
type domainHealth struct {
	requests, failures, slow int
	// expectedFailures is the number of failures expected from the past rate.
	expectedFailures float64
	// lastHealthy and lastDegraded are the times of the last check with either
	// result, lastServed that of the last request of the old version.
	lastHealthy, lastDegraded, lastServed time.Time
}

const (
	// minHealthRequests is the number of requests that a check needs.
	minHealthRequests = 6
	// healthValidity is how long the result of a check is valid.
	healthValidity = 30 * time.Second
	// domainServingTime is how long after a request the old version counts as
	// serving in the domain.
	domainServingTime = 2 * time.Minute
	// degradedFailureFraction is the fraction of requests that fail beyond twice
	// the expected number, degradedSlowFraction the fraction slower than the past
	// 90% quantile, above which a domain is degraded.
	degradedFailureFraction = 0.1
	degradedSlowFraction    = 0.4
)

// add counts requests of the old version and reports whether they show that the
// domain is degraded.
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

// updateReferences adds requests of the old version to its references. When they
// show a degraded failure domain, it resets the history tests.
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

// fullestReference returns the old version's long reference with the most
// requests, at the key's concurrency or above. A band that the old version
// reaches for the first time has no past of its own, so the reference with the
// most requests, which is the oldest, takes its place.
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
	a.sameDomain.tests.addStart(a.metrics(), a.cumulativeStartWeight())
	a.otherDomain.tests.addStart(a.metrics(), a.cumulativeStartWeight())
}

// oldDegraded reports whether the old version is degraded in any failure domain.
func (a *Analyzer) oldDegraded(now time.Time) bool {
	for _, d := range a.domains {
		if now.Sub(d.lastDegraded) < healthValidity {
			return true
		}
	}
	return false
}

// domainHealthy reports whether the old version is known to be healthy in the
// domain. Where it does not serve, it must be healthy in at least one other
// domain and degraded in none.
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

// compareWithHistory compares the new version with the old version's past, as
// long as the old version is known to be healthy.
func (a *Analyzer) compareWithHistory(kind windowKind, s stratum, c *comparison, now time.Time) {
	// A single slow target accumulates requests and reaches a concurrency
	// that no other target reaches. That is no evidence against the version.
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
	// Prefix caches were in another state then, so first-token times are not
	// comparable.
	inc[metricFirstTokenMedian], inc[metricFirstTokenTail] = [len(oddsRatios)]float64{}, [len(oddsRatios)]float64{}
	if sameDomain {
		a.sameDomain.tests.multiply(&inc)
		return
	}
	a.otherDomain.tests.multiply(&inc)
}

// slowestTarget returns the sample of the target with the most requests above
// the reference's tail quantile, nil when no target has any.
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

// historicalReference returns the old version's long reference at a concurrency
// band, from the same failure domain or else from another; sameDomain reports
// which. It is nil when none has enough requests.
func (a *Analyzer) historicalReference(s stratum, load int) (ref *reference, sameDomain bool) {
	if ref := a.longReferences[referenceKey{s, load}]; ref != nil && ref.requests >= minWindowRequests {
		return ref, true
	}
	var best referenceKey
	weight := float64(minWindowRequests)
	for other, ref := range a.longReferences {
		matches := other.route == s.route && other.loadBand == load && other.generation == s.generation
		if matches && (ref.requests > weight || ref.requests == weight && other.domain < best.domain) {
			best, weight = other, ref.requests
		}
	}
	return a.longReferences[best], false
}
