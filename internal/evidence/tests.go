package evidence

import "math"

// metric names one of the tests of a move.
type metric int

const (
	metricFailures metric = iota
	metricFirstMedian
	metricFirstTail
	metricTokenMedian
	metricTokenTail
	metricCount
)

var metricNames = [metricCount]string{
	"failures", "first token (median)", "first token (tail)",
	"time per token (median)", "time per token (tail)",
}

const (
	medianQuantile = 0.5
	tailQuantile   = 0.9
	// tailSlack is added to the tolerance at the tail, where targets of one kind
	// differ most.
	tailSlack = 1
	// tolerance is the slowness, in buckets, that is not held against a
	// version: a quarter octave, or 19%.
	tolerance = 1
)

// tests holds one process for each metric.
type tests [metricCount]process

func (t *tests) start(weight float64) {
	for i := range t {
		t[i].start(weight)
	}
}

// log returns the logarithm of the average over metrics.
func (t *tests) log() float64 {
	sum := math.Inf(-1)
	for i := range t {
		sum = logAdd(sum, t[i].log())
	}
	return sum - math.Log(float64(metricCount))
}

// worst returns the metric with the strongest evidence.
func (t *tests) worst() metric {
	worst := metricFailures
	for i := range t {
		if t[i].log() > t[worst].log() {
			worst = metric(i)
		}
	}
	return worst
}

// increment is the logarithm of the likelihood ratios of one window.
type increment [metricCount][len(tilts)]float64

func (t *tests) step(inc *increment) {
	for i := range t {
		t[i].step(inc[i])
	}
}

// metrics tells which metrics a window serves.
type metrics int

const (
	failures metrics = iota
	times
	metricsCount
)

// care says how careful a comparison of times is.
type care struct {
	// slack is the slowness, in buckets, that is not held against a version.
	slack int
	// least is the least weight of the reference, in requests.
	least float64
}

var (
	// withControl is for requests of the same window, withoutControl for the
	// past, which serves as a sample again and again.
	withControl    = care{slack: tolerance, least: 3}
	withoutControl = care{slack: 2 * tolerance, least: 40}
)

// compare returns the increment of one window. The thresholds come from ref,
// which holds only earlier windows.
func compare(of metrics, fresh, old *sample, ref *reference, c care) increment {
	var inc increment
	if of == failures {
		inc[metricFailures] = logRatios(fresh.failures, fresh.requests, old.failures, old.requests)
		return inc
	}
	inc[metricTokenMedian] = compareAbove(&fresh.token, &old.token, &ref.token, medianQuantile, c)
	inc[metricTokenTail] = compareAbove(&fresh.token, &old.token, &ref.token, tailQuantile, c)
	for band := range fresh.first {
		addRatios(&inc[metricFirstMedian],
			compareAbove(&fresh.first[band], &old.first[band], &ref.first[band], medianQuantile, c))
		addRatios(&inc[metricFirstTail],
			compareAbove(&fresh.first[band], &old.first[band], &ref.first[band], tailQuantile, c))
	}
	return inc
}

func addRatios(into *[len(tilts)]float64, more [len(tilts)]float64) {
	for i := range into {
		into[i] += more[i]
	}
}

func compareAbove(fresh, old *[BucketCount]int, ref *[BucketCount]float64, q float64, c care) [len(tilts)]float64 {
	limit, ok := quantile(ref, q, c.least)
	if !ok {
		return [len(tilts)]float64{}
	}
	slack := c.slack
	if q == tailQuantile {
		slack += tailSlack
	}
	newOver, newAll := above(fresh, limit+slack)
	oldOver, oldAll := above(old, limit)
	return logRatios(newOver, newAll, oldOver, oldAll)
}

// turningOver is the part of the old version's requests over the 90% quantile
// of its latest windows from which the pool is changing.
const turningOver = 0.3

// turning tells whether the old version is slowing down, or has just recovered,
// in this very window. The versions then finish their first requests of the
// new kind, or their last of the old kind, at different times, so the window
// says nothing about times.
func turning(old *sample, ref *reference) bool {
	limit, ok := quantile(&ref.token, tailQuantile, withControl.least)
	if !ok {
		return false
	}
	over, all := above(&old.token, limit+tolerance)
	median, _ := quantile(&ref.token, medianQuantile, withControl.least)
	still, _ := above(&old.token, median-1-tolerance)
	recovered := float64(all - still)
	return max(float64(over), recovered) > turningOver*float64(all)
}

// sampleOf turns a reference into a sample of rounded counts.
func sampleOf(r *reference) *sample {
	s := &sample{requests: int(r.requests), failures: int(math.Ceil(r.failures))}
	for band := range r.first {
		roundBuckets(&s.first[band], &r.first[band])
	}
	roundBuckets(&s.token, &r.token)
	return s
}

func roundBuckets(into *[BucketCount]int, from *[BucketCount]float64) {
	for i, count := range from {
		into[i] = int(math.Round(count))
	}
}
