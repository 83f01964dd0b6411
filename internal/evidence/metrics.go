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

var (
	// allMetrics are the metrics of moves, wholeRequestMetrics those of requests that
	// only their ends are known of.
	allMetrics = []metric{
		metricFailures, metricFirstTokenMedian, metricFirstTokenTail, metricPerTokenMedian, metricPerTokenTail,
	}
	wholeRequestMetrics = []metric{metricFailures, metricPerTokenMedian, metricPerTokenTail}
)

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

// addStart adds a starting time to the tests of the metrics that are tested.
func (t *metricTests) addStart(metrics []metric, weight float64) {
	for _, m := range metrics {
		t[m].addStart(weight)
	}
}

// logAverage returns the logarithm of the average over the metrics that are tested.
func (t *metricTests) logAverage() float64 {
	sum, tested := math.Inf(-1), 0
	for i := range t {
		if t[i].started {
			sum = logAdd(sum, t[i].logAverage())
			tested++
		}
	}
	return sum - math.Log(float64(tested))
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
	inc[metricPerTokenMedian] = exceedanceRatios(newSample.durations(), control.durations(), &ref.perToken, medianQuantile, params)
	inc[metricPerTokenTail] = exceedanceRatios(newSample.durations(), control.durations(), &ref.perToken, tailQuantile, params)
	for band := range newSample.firstToken {
		newTimes, controlTimes := durations{finished: &newSample.firstToken[band]}, durations{finished: &control.firstToken[band]}
		addRatios(&inc[metricFirstTokenMedian],
			exceedanceRatios(newTimes, controlTimes, &ref.firstToken[band], medianQuantile, params))
		addRatios(&inc[metricFirstTokenTail],
			exceedanceRatios(newTimes, controlTimes, &ref.firstToken[band], tailQuantile, params))
	}
	return inc
}

func addRatios(dst *[len(oddsRatios)]float64, src [len(oddsRatios)]float64) {
	for i := range dst {
		dst[i] += src[i]
	}
}

// durations are times of requests. unfinished holds lower bounds, of requests in
// flight or given up; nil if there are none.
type durations struct{ finished, unfinished *[BucketCount]int }

// exceeding returns the number of requests that have taken longer than the limit,
// and the number of those that are known to have or not.
func (d durations) exceeding(limit int) (over, all int) {
	over, all = countAbove(d.finished, limit)
	if d.unfinished != nil {
		outlasted, _ := countAbove(d.unfinished, limit)
		over, all = over+outlasted, all+outlasted
	}
	return over, all
}

// exceedanceRatios compares how many requests of either version exceed the
// reference's quantile q. The new version's limit is higher by the tolerance.
func exceedanceRatios(newTimes, controlTimes durations, refBuckets *[BucketCount]float64, q float64, params controlParams) [len(oddsRatios)]float64 {
	limit, ok := quantile(refBuckets, q, params.minWeight)
	if !ok {
		return [len(oddsRatios)]float64{}
	}
	tolerance := params.toleranceBuckets
	if q == tailQuantile {
		tolerance += tailToleranceBuckets
	}
	newOver, newAll := newTimes.exceeding(limit + tolerance)
	controlOver, controlAll := controlTimes.exceeding(limit)
	return logLikelihoodRatios(newOver, newAll, controlOver, controlAll)
}

// transitionFraction is the fraction of the old version's requests above the 90%
// quantile of its recent windows, or below their median, by more than
// toleranceBuckets, from which the pool is in transition. Below the median it is in
// addition to the fraction in the recent windows.
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
	over, all := old.durations().exceeding(limit + toleranceBuckets)
	median, _ := quantile(&ref.perToken, medianQuantile, concurrentControl.minWeight)
	notFaster, _ := old.durations().exceeding(median - 1 - toleranceBuckets)
	recovered := float64(all-notFaster) - float64(all)*fractionUpTo(&ref.perToken, median-1-toleranceBuckets)
	return max(float64(over), recovered) > transitionFraction*float64(all)
}

// fractionUpTo returns the fraction of the weight in buckets up to limit.
func fractionUpTo(buckets *[BucketCount]float64, limit int) float64 {
	below, total := 0.0, 0.0
	for i, count := range buckets {
		total += count
		if i <= limit {
			below += count
		}
	}
	return below / total
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
