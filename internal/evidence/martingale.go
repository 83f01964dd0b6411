package evidence

import "math"

// oddsRatios are the odds ratios of the alternatives against which a version is
// tested; their processes are averaged.
var oddsRatios = [...]float64{2, 8, 64}

// martingale is a test martingale that restarts: the average over alternatives
// and over starting times of likelihood ratios. It has mean at most one while
// the new version is no worse. The starting times let it show badness that
// comes late, after long good service.
type martingale struct {
	// logEvidence are the logarithms of the products, one an alternative.
	logEvidence [len(oddsRatios)]float64
	started     bool
}

// addStart adds the weight of a new starting time; all weights of a process sum
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

// multiply multiplies in one window's likelihood ratios.
func (m *martingale) multiply(logRatios [len(oddsRatios)]float64) {
	for i := range m.logEvidence {
		m.logEvidence[i] = max(m.logEvidence[i]+logRatios[i], minLogEvidence)
	}
}

// minLogEvidence keeps logarithms finite.
const minLogEvidence = -1e6

// logAverage returns the logarithm of the average over alternatives.
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

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(a, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// logLikelihoodRatios returns, for each tilt, the logarithm of the likelihood ratio of
// newBad bad events among newAll, given oldBad among oldAll.
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

// logTiltedMean returns the logarithm of the mean of exp(x*logTilt) for x
// hypergeometric: bad draws from newAll marked and oldAll unmarked.
func logTiltedMean(lowest, highest, newAll, oldAll, bad int, logOddsRatio float64) float64 {
	total := logChoose(newAll+oldAll, bad)
	sum := math.Inf(-1)
	for x := lowest; x <= highest; x++ {
		sum = logAdd(sum, logChoose(newAll, x)+logChoose(oldAll, bad-x)-total+float64(x)*logOddsRatio)
	}
	return sum
}

func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
