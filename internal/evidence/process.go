package evidence

import "math"

// tilts are the odds ratios of the alternatives against which a version is
// tested; their processes are averaged.
var tilts = [...]float64{2, 8, 64}

// process is a test martingale that restarts: the average over alternatives
// and over starting times of likelihood ratios. It has mean at most one while
// the new version is no worse. The starting times let it show badness that
// comes late, after long good service.
type process struct {
	// logs are the logarithms of the products, one an alternative.
	logs [len(tilts)]float64
	used bool
}

// start adds the weight of a new starting time; all weights of a process sum
// to at most one.
func (p *process) start(weight float64) {
	for i := range p.logs {
		if !p.used {
			p.logs[i] = math.Log(weight)
			continue
		}
		p.logs[i] = logAdd(p.logs[i], math.Log(weight))
	}
	p.used = true
}

// step multiplies in one window's likelihood ratios.
func (p *process) step(ratios [len(tilts)]float64) {
	for i := range p.logs {
		p.logs[i] = max(p.logs[i]+ratios[i], minLog)
	}
}

// minLog keeps logarithms finite.
const minLog = -1e6

// log returns the logarithm of the average over alternatives.
func (p *process) log() float64 {
	if !p.used {
		return minLog
	}
	sum := math.Inf(-1)
	for _, l := range p.logs {
		sum = logAdd(sum, l)
	}
	return sum - math.Log(float64(len(tilts)))
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

// logRatios returns, for each tilt, the logarithm of the likelihood ratio of
// newBad bad events among newAll, given oldBad among oldAll.
func logRatios(newBad, newAll, oldBad, oldAll int) [len(tilts)]float64 {
	var ratios [len(tilts)]float64
	bad := newBad + oldBad
	if bad == 0 || bad == newAll+oldAll || newAll == 0 || oldAll == 0 {
		return ratios
	}
	lowest, highest := max(0, bad-oldAll), min(bad, newAll)
	for i, tilt := range tilts {
		ratios[i] = float64(newBad)*math.Log(tilt) - logMean(lowest, highest, newAll, oldAll, bad, math.Log(tilt))
	}
	return ratios
}

// logMean returns the logarithm of the mean of exp(x*logTilt) for x
// hypergeometric: bad draws from newAll marked and oldAll unmarked.
func logMean(lowest, highest, newAll, oldAll, bad int, logTilt float64) float64 {
	total := logChoose(newAll+oldAll, bad)
	sum := math.Inf(-1)
	for x := lowest; x <= highest; x++ {
		sum = logAdd(sum, logChoose(newAll, x)+logChoose(oldAll, bad-x)-total+float64(x)*logTilt)
	}
	return sum
}

func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
