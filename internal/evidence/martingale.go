package evidence

import "math"

// oddsRatios are the odds ratios of the alternative hypotheses; their likelihood
// ratios are averaged.
var oddsRatios = [...]float64{2, 8, 64}

// martingale is a test martingale with restarts: the average of likelihood
// ratios over alternatives and starting times. Its mean is at most one while
// the new version is no worse. The starting times let it detect a regression
// that appears after a long time without one.
type martingale struct {
	// logEvidence holds the logarithm of the product, one for each alternative.
	logEvidence [len(oddsRatios)]float64
	started     bool
}

// addStart adds a starting time with its weight. All weights of a martingale sum
// to at most one.
func (m *martingale) addStart(weight float64) {
	for i := range m.logEvidence {
		if !m.started {
			m.logEvidence[i] = math.Log(weight)
			continue
		}
		m.logEvidence[i] = logAdd(m.logEvidence[i], math.Log(weight))
	}
	m.started = true
}

// multiply multiplies the evidence by the likelihood ratios of one window, given
// as logarithms.
func (m *martingale) multiply(logRatios [len(oddsRatios)]float64) {
	for i := range m.logEvidence {
		m.logEvidence[i] = max(m.logEvidence[i]+logRatios[i], minLogEvidence)
	}
}

// minLogEvidence keeps the logarithms finite.
const minLogEvidence = -1e6

// logAverage returns the logarithm of the average over the alternatives.
func (m *martingale) logAverage() float64 {
	if !m.started {
		return minLogEvidence
	}
	sum := math.Inf(-1)
	for _, l := range m.logEvidence {
		sum = logAdd(sum, l)
	}
	return sum - math.Log(float64(len(oddsRatios)))
}

// logAdd returns the logarithm of exp(a) + exp(b).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(a, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// logLikelihoodRatios returns, for each odds ratio, the logarithm of the
// likelihood ratio of newBad bad events among newAll requests, given oldBad among
// oldAll.
func logLikelihoodRatios(newBad, newAll, oldBad, oldAll int) [len(oddsRatios)]float64 {
	var ratios [len(oddsRatios)]float64
	bad := newBad + oldBad
	if bad == 0 || bad == newAll+oldAll || newAll == 0 || oldAll == 0 {
		return ratios
	}
	lowest, highest := max(0, bad-oldAll), min(bad, newAll)
	for i, oddsRatio := range oddsRatios {
		ratios[i] = float64(newBad)*math.Log(oddsRatio) - logTiltedMean(lowest, highest, newAll, oldAll, bad, math.Log(oddsRatio))
	}
	return ratios
}

// logTiltedMean returns the logarithm of the mean of exp(x*logOddsRatio), where x
// is hypergeometric: the number of the newAll requests among bad requests drawn
// from newAll and oldAll without replacement.
func logTiltedMean(lowest, highest, newAll, oldAll, bad int, logOddsRatio float64) float64 {
	total := logChoose(newAll+oldAll, bad)
	sum := math.Inf(-1)
	for x := lowest; x <= highest; x++ {
		sum = logAdd(sum, logChoose(newAll, x)+logChoose(oldAll, bad-x)-total+float64(x)*logOddsRatio)
	}
	return sum
}

// logChoose returns the logarithm of the binomial coefficient of n and k.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
