package evidence

import "math"

// metric identifies one of the metrics that are tested.
type metric int

const (
	metricFailures metric = iota
	metricFirstTokenMedian
	metricFirstTokenTail
	metricPerTokenMedian
	metricPerTokenTail
	metricCount
)

var metricNames = [metricCount]string{
	"failures", "first token (median)", "first token (tail)",
	"time per token (median)", "time per token (tail)",
}

const (
	medianQuantile = 0.5
	tailQuantile   = 0.9
	// tailToleranceBuckets is added to the tolerance at the tail, where targets of one
	// hardware generation differ most.
	tailToleranceBuckets = 1
	// toleranceBuckets is the slowdown, in buckets, that is not counted against a
	// version: a quarter octave, or 19%.
	toleranceBuckets = 1
)

// metricTests holds one martingale for each metric.
type metricTests [metricCount]martingale

func (t *metricTests) addStart(weight float64) {
	for i := range t {
		t[i].addStart(weight)
	}
}

// logAverage returns the logarithm of the average over the metrics.
func (t *metricTests) logAverage() float64 {
	sum := math.Inf(-1)
	for i := range t {
		sum = logAdd(sum, t[i].logAverage())
	}
	return sum - math.Log(float64(metricCount))
}

// strongest returns the metric with the strongest evidence.
func (t *metricTests) strongest() metric {
	strongest := metricFailures
	for i := range t {
		if t[i].logAverage() > t[strongest].logAverage() {
			strongest = metric(i)
		}
	}
	return strongest
}

// increment holds the logarithms of the likelihood ratios of one comparison.
type increment [metricCount][len(oddsRatios)]float64

func (t *metricTests) multiply(inc *increment) {
	for i := range t {
		t[i].multiply(inc[i])
	}
}

// windowKind tells which metrics a window is for.
type windowKind int

const (
	failureWindow windowKind = iota
	latencyWindow
	windowKindCount
)

// controlParams configure a comparison of latencies.
type controlParams struct {
	// toleranceBuckets is the slowdown, in buckets, that is not counted against a
	// version.
	toleranceBuckets int
	// minWeight is the minimum weight of the reference, in requests.
	minWeight float64
}

var (
	// concurrentControl is for a control in the same window. historicalControl is
	// for the past, and stricter since the same past requests are used in many
	// comparisons.
	concurrentControl = controlParams{toleranceBuckets: toleranceBuckets, minWeight: 3}
	historicalControl = controlParams{toleranceBuckets: 2 * toleranceBuckets, minWeight: 40}
)

// compare returns the increment of one comparison. The latency limits come from
// ref, which holds only earlier windows.
func compare(kind windowKind, newSample, control *sample, ref *reference, params controlParams) increment {
	var inc increment
	if kind == failureWindow {
		inc[metricFailures] = logLikelihoodRatios(newSample.failures, newSample.requests, control.failures, control.requests)
		return inc
	}
	inc[metricPerTokenMedian] = exceedanceRatios(&newSample.perToken, &control.perToken, &ref.perToken, medianQuantile, params)
	inc[metricPerTokenTail] = exceedanceRatios(&newSample.perToken, &control.perToken, &ref.perToken, tailQuantile, params)
	for band := range newSample.firstToken {
		addRatios(&inc[metricFirstTokenMedian],
			exceedanceRatios(&newSample.firstToken[band], &control.firstToken[band], &ref.firstToken[band], medianQuantile, params))
		addRatios(&inc[metricFirstTokenTail],
			exceedanceRatios(&newSample.firstToken[band], &control.firstToken[band], &ref.firstToken[band], tailQuantile, params))
	}
	return inc
}

func addRatios(dst *[len(oddsRatios)]float64, src [len(oddsRatios)]float64) {
	for i := range dst {
		dst[i] += src[i]
	}
}

// exceedanceRatios compares how many requests of either version exceed the
// reference's quantile q. The new version's limit is higher by the tolerance.
func exceedanceRatios(newBuckets, controlBuckets *[BucketCount]int, refBuckets *[BucketCount]float64, q float64, params controlParams) [len(oddsRatios)]float64 {
	limit, ok := quantile(refBuckets, q, params.minWeight)
	if !ok {
		return [len(oddsRatios)]float64{}
	}
	tolerance := params.toleranceBuckets
	if q == tailQuantile {
		tolerance += tailToleranceBuckets
	}
	newOver, newAll := countAbove(newBuckets, limit+tolerance)
	controlOver, controlAll := countAbove(controlBuckets, limit)
	return logLikelihoodRatios(newOver, newAll, controlOver, controlAll)
}

// transitionFraction is the fraction of the old version's requests above the 90%
// quantile of its recent windows, or below their median, by more than
// toleranceBuckets, from which the pool is in transition.
const transitionFraction = 0.3

// inTransition reports whether the old version is slowing down, or recovering
// from a slowdown, within this window. The two versions then complete their
// first slow requests, or their last, at different times, so the window is no
// evidence about latency.
func inTransition(old *sample, ref *reference) bool {
	limit, ok := quantile(&ref.perToken, tailQuantile, concurrentControl.minWeight)
	if !ok {
		return false
	}
	over, all := countAbove(&old.perToken, limit+toleranceBuckets)
	median, _ := quantile(&ref.perToken, medianQuantile, concurrentControl.minWeight)
	notFaster, _ := countAbove(&old.perToken, median-1-toleranceBuckets)
	recovered := float64(all - notFaster)
	return max(float64(over), recovered) > transitionFraction*float64(all)
}

// roundedSample converts a reference to a sample with integer counts.
func roundedSample(r *reference) *sample {
	s := &sample{requests: int(r.requests), failures: int(math.Ceil(r.failures))}
	for band := range r.firstToken {
		roundBuckets(&s.firstToken[band], &r.firstToken[band])
	}
	roundBuckets(&s.perToken, &r.perToken)
	return s
}

func roundBuckets(dst *[BucketCount]int, src *[BucketCount]float64) {
	for i, count := range src {
		dst[i] = int(math.Round(count))
	}
}
