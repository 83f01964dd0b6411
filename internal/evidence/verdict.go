package evidence

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Finding is the present result of the tests.
type Finding int

// The findings, in order of severity.
const (
	// Healthy means that there is no evidence against the new version.
	Healthy Finding = iota
	// Suspect means that the share must not increase.
	Suspect
	// Regressed means that the new version is worse than the old one.
	Regressed
)

const (
	// crashWeight is the fraction of the error rate allotted to crashes,
	// historyWeight the fraction allotted to the two history tests.
	crashWeight   = 0.25
	historyWeight = 0.15
	// holdLogEvidence is the log evidence from which the share is held.
	holdLogEvidence = 4
	// confirmLogEvidence is the log evidence that must remain after leaving out
	// the target that contributes most to it.
	confirmLogEvidence = 3
	// minTargetRequests is the number of requests from which a target is included
	// in the leave-one-out check.
	minTargetRequests = 5
	// targetServingTime is how long after a request a target counts as serving.
	targetServingTime = time.Minute
)

// Verdict is the result of an Analyzer.
type Verdict struct {
	Finding Finding
	// Reason is a short explanation for operators; empty when Healthy.
	Reason string
	// LogEvidence is the natural logarithm of the evidence against the new
	// version. From -ln(alpha) on the version is found worse, unless the evidence
	// depends on a single target.
	LogEvidence float64
	// OldDegraded is set while the old version does worse than in its own past.
	OldDegraded bool
	Totals      Totals
	// ExcludedTargets are the targets that are left out since they alone showed a
	// regression.
	ExcludedTargets []string
}

// Verdict returns the present result.
func (a *Analyzer) Verdict(now time.Time) Verdict {
	v := Verdict{
		LogEvidence: a.logEvidence(), Totals: a.totals,
		OldDegraded: a.oldDegraded(now),
	}
	v.Totals.NewCrashes = a.crashes.count
	for name := range a.excluded {
		v.ExcludedTargets = append(v.ExcludedTargets, name)
	}
	slices.Sort(v.ExcludedTargets)
	limit := -math.Log(a.options.Alpha)
	switch {
	case a.logCrashEvidence() >= limit:
		v.Finding, v.Reason = Regressed, fmt.Sprintf("targets crash: %d crashes", a.crashes.count)
	case v.LogEvidence >= limit && a.confirmedWithoutTarget(now):
		v.Finding, v.Reason = Regressed, a.describeStrongest()
	case a.sameDomain.exceededFor(sameDomainPersistence, now):
		v.Finding, v.Reason = Regressed, "worse than the old version's past: "+metricNames[a.sameDomain.tests.strongest()]
	case a.otherDomain.exceededFor(otherDomainPersistence, now):
		v.Finding, v.Reason = Regressed, "worse than the old version elsewhere: "+metricNames[a.otherDomain.tests.strongest()]
	case v.LogEvidence >= holdLogEvidence:
		v.Finding, v.Reason = Suspect, "in doubt: "+a.describeStrongest()
	case a.sameDomain.exceeds(a.options.Alpha), a.otherDomain.exceeds(a.options.Alpha):
		v.Finding, v.Reason = Suspect, "worse than the old version's past, without a control"
	}
	return v
}

func (a *Analyzer) logCrashEvidence() float64 { return a.crashes.logAverage() + math.Log(crashWeight) }

// logEvidence returns the logarithm of the weighted average of the pooled tests,
// the tests by route and the crash test.
func (a *Analyzer) logEvidence() float64 {
	byRoute := math.Inf(-1)
	for _, r := range a.routes {
		byRoute = logAdd(byRoute, r.tests.logAverage()+math.Log(r.weight))
	}
	if a.options.WholeRequestsOnly {
		return logAdd(a.pooled.logAverage(), byRoute) + math.Log(0.5)
	}
	metricWeight := 1 - crashWeight - historyWeight
	byMetric := logAdd(a.pooled.logAverage(), byRoute) + math.Log(metricWeight/2)
	return logAdd(byMetric, a.logCrashEvidence())
}

// describeStrongest describes the test with the strongest evidence.
func (a *Analyzer) describeStrongest() string {
	metric, route, maxLogEvidence := a.pooled.strongest(), "", a.pooled.logAverage()
	for _, r := range a.routes {
		if l := r.tests.logAverage() + math.Log(r.weight); l > maxLogEvidence {
			metric, route, maxLogEvidence = r.tests.strongest(), r.name, l
		}
	}
	t := a.totals
	text := fmt.Sprintf("%s; failed %d of %d, old %d of %d",
		metricNames[metric], t.NewFailures, t.NewRequests, t.OldFailures, t.OldRequests)
	if route != "" {
		return "route " + route + ": " + text
	}
	return text
}

// servingTargets returns the number of targets of the new version that served a
// request within targetServingTime.
func (a *Analyzer) servingTargets(now time.Time) int {
	count := 0
	for _, t := range a.targets {
		if now.Sub(t.lastSeen) < targetServingTime {
			count++
		}
	}
	return count
}

// confirmedWithoutTarget reports whether the evidence remains without the target
// that contributes most to it. It is also true while fewer than two targets
// serve.
func (a *Analyzer) confirmedWithoutTarget(now time.Time) bool {
	_, remaining, serving := a.mostInfluentialTarget(now)
	return serving < 2 || remaining >= confirmLogEvidence
}

// mostInfluentialTarget returns the serving target without which the remaining
// evidence is weakest, that evidence, and the number of serving targets.
func (a *Analyzer) mostInfluentialTarget(now time.Time) (target string, remaining float64, serving int) {
	remaining = math.Inf(1)
	for name, t := range a.targets {
		if a.excluded[name] || t.requests < minTargetRequests || now.Sub(t.lastSeen) >= targetServingTime {
			continue
		}
		serving++
		if l := t.leaveOneOut.logAverage(); l < remaining || l == remaining && name < target {
			target, remaining = name, l
		}
	}
	return target, remaining, serving
}

// excludeTarget excludes a target when the evidence has depended on it alone for
// soleTargetTime. It then restarts the tests with half of their weight, to
// account for the selection of the target by its outcomes.
func (a *Analyzer) excludeTarget(now time.Time) {
	if a.logEvidence() < -math.Log(a.options.Alpha) || a.confirmedWithoutTarget(now) {
		a.soleTargetSince = time.Time{}
		return
	}
	if a.soleTargetSince.IsZero() {
		a.soleTargetSince = now
	}
	target, _, _ := a.mostInfluentialTarget(now)
	if now.Sub(a.soleTargetSince) < soleTargetTime || a.requestsExcept(target) < minOtherRequests {
		return
	}
	if len(a.excluded) >= max(len(a.targets)/excludeDivisor, 1) {
		return
	}
	a.excluded[target] = true
	a.soleTargetSince = time.Time{}
	a.selectionPenalty += math.Ln2
	a.reset()
	a.DiscardWindows()
}

const (
	// excludeDivisor limits the excluded targets to one in four, but at least one.
	excludeDivisor = 4
	// soleTargetTime is how long the evidence must depend on one target.
	soleTargetTime = 30 * time.Second
	// minOtherRequests is the number of requests that the other targets must have
	// served.
	minOtherRequests = 20
)

func (a *Analyzer) requestsExcept(name string) int {
	sum := 0
	for other, t := range a.targets {
		if other != name {
			sum += t.requests
		}
	}
	return sum
}

// PeakConcurrency returns the decaying maximum of the mean number of concurrent
// requests in the pool.
func (a *Analyzer) PeakConcurrency() float64 { return a.concurrency.peak }

// concurrencyMeter derives the mean concurrency from the busy time of requests.
type concurrencyMeter struct {
	busyMillis uint64
	lastUpdate time.Time
	smoothed   float64
	peak       float64
}

func (m *concurrencyMeter) add(ms uint64) { m.busyMillis += ms }

// concurrencyPeriod is the interval of a measurement. concurrencyDecay and
// peakDecay are the weights that the mean and its maximum keep from one
// measurement to the next.
const (
	concurrencyPeriod = 5 * time.Second
	concurrencyDecay  = 0.7
	peakDecay         = 0.98
)

func (m *concurrencyMeter) tick(now time.Time) {
	if m.lastUpdate.IsZero() {
		m.lastUpdate, m.busyMillis = now, 0
		return
	}
	elapsed := now.Sub(m.lastUpdate)
	if elapsed < concurrencyPeriod {
		return
	}
	current := float64(m.busyMillis) / float64(elapsed.Milliseconds())
	m.smoothed = m.smoothed*concurrencyDecay + current*(1-concurrencyDecay)
	m.peak = max(m.peak*peakDecay, m.smoothed)
	m.lastUpdate, m.busyMillis = now, 0
}
