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

// compare returns the increment of one window. The thresholds come from ref,
// which holds only earlier windows.
func compare(fresh, old *sample, ref *reference) increment {
	var inc increment
	inc[metricFailures] = logRatios(fresh.failures, fresh.requests, old.failures, old.requests)
	inc[metricTokenMedian] = compareAbove(&fresh.token, &old.token, &ref.token, medianQuantile)
	inc[metricTokenTail] = compareAbove(&fresh.token, &old.token, &ref.token, tailQuantile)
	for band := range fresh.first {
		addRatios(&inc[metricFirstMedian],
			compareAbove(&fresh.first[band], &old.first[band], &ref.first[band], medianQuantile))
		addRatios(&inc[metricFirstTail],
			compareAbove(&fresh.first[band], &old.first[band], &ref.first[band], tailQuantile))
	}
	return inc
}

func addRatios(into *[len(tilts)]float64, more [len(tilts)]float64) {
	for i := range into {
		into[i] += more[i]
	}
}

func compareAbove(fresh, old *[Buckets]int, ref *[Buckets]float64, q float64) [len(tilts)]float64 {
	limit, ok := quantile(ref, q)
	if !ok {
		return [len(tilts)]float64{}
	}
	newOver, newAll := above(fresh, limit+tolerance)
	oldOver, oldAll := above(old, limit)
	return logRatios(newOver, newAll, oldOver, oldAll)
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

func roundBuckets(into *[Buckets]int, from *[Buckets]float64) {
	for i, count := range from {
		into[i] = int(math.Round(count))
	}
}
