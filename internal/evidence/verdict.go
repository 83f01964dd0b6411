package evidence

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Finding is what the evidence says at the moment.
type Finding int

// The findings, by rising concern.
const (
	// Healthy means that nothing speaks against the version.
	Healthy Finding = iota
	// Suspect means that the share must not rise.
	Suspect
	// Regressed means that the version is worse than the old one.
	Regressed
)

const (
	// crashWeight is the part of the error rate given to crashes, loneWeight
	// that given to comparisons with the old version's past.
	crashWeight   = 0.25
	historyWeight = 0.15
	// holdLogEvidence is the logarithm of the evidence from which the share is held.
	holdLogEvidence = 4
	// confirmLogEvidence is the logarithm of the evidence that must remain without the
	// target that shows the badness most.
	confirmLogEvidence = 3
	// minTargetRequests is the number of requests that makes a target count.
	minTargetRequests = 5
	// targetServingTime is how long a target counts as serving after a request.
	targetServingTime = time.Minute
)

// Verdict is the analyzer's answer.
type Verdict struct {
	Finding Finding
	// Reason is a short text for people; empty when sound.
	Reason string
	// LogEvidence is the natural logarithm of the evidence against the
	// version; at -ln(alpha) it is found bad.
	LogEvidence float64
	// OldDegraded is set while the old version does worse than usual.
	OldDegraded bool
	Totals      Totals
	// Excluded are targets found to fail alone.
	Excluded []string
}

// Verdict returns the present finding.
func (a *Analyzer) Verdict(now time.Time) Verdict {
	v := Verdict{
		LogEvidence: a.logEvidence(), Totals: a.totals,
		OldDegraded: a.oldDegraded(now),
	}
	v.Totals.NewCrashes = a.crashes.count
	for name := range a.excluded {
		v.Excluded = append(v.Excluded, name)
	}
	slices.Sort(v.Excluded)
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

// logEvidence averages the pooled tests, those of the routes and that of crashes.
func (a *Analyzer) logEvidence() float64 {
	byRoute := math.Inf(-1)
	for _, r := range a.routes {
		byRoute = logAdd(byRoute, r.tests.logAverage()+math.Log(r.weight))
	}
	metricWeight := 1 - crashWeight - historyWeight
	byMetric := logAdd(a.pooled.logAverage(), byRoute) + math.Log(metricWeight/2)
	return logAdd(byMetric, a.logCrashEvidence())
}

// describeStrongest names the test with the strongest evidence.
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

// servingTargets returns how many targets of the new version served lately.
func (a *Analyzer) servingTargets(now time.Time) int {
	count := 0
	for _, t := range a.targets {
		if now.Sub(t.lastSeen) < targetServingTime {
			count++
		}
	}
	return count
}

// confirmedWithoutTarget tells whether the badness shows even without the target that shows
// it most, or whether only one target serves.
func (a *Analyzer) confirmedWithoutTarget(now time.Time) bool {
	_, remaining, serving := a.mostInfluentialTarget(now)
	return serving < 2 || remaining >= confirmLogEvidence
}

// mostInfluentialTarget returns the serving target without which the evidence is weakest,
// that evidence, and the number of serving targets.
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

// excludeTarget sets aside a target that fails alone and starts the tests again,
// with half of their weight, since they now choose what to look at.
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
	// excludeDivisor bounds the excluded targets to one in so many.
	excludeDivisor = 4
	// soleTargetTime is how long a target must carry the evidence alone.
	soleTargetTime = 30 * time.Second
	// minOtherRequests is how many requests the other targets must have served.
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

// PeakConcurrency returns the mean number of requests running in the pool, at the
// busiest of the last ticks.
func (a *Analyzer) PeakConcurrency() float64 { return a.concurrency.peak }

// concurrencyMeter turns busy milliseconds into a concurrency.
type concurrencyMeter struct {
	busyMillis uint64
	lastUpdate time.Time
	smoothed   float64
	peak       float64
}

func (m *concurrencyMeter) add(ms uint64) { m.busyMillis += ms }

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
