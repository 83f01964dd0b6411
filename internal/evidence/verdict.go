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
	crashWeight = 0.25
	loneWeight  = 0.15
	// doubt is the logarithm of the evidence from which the share is held.
	doubt = 4
	// confirm is the logarithm of the evidence that must remain without the
	// target that shows the badness most.
	confirm = 3
	// servedEnough is the number of requests that makes a target count.
	servedEnough = 5
	// servingFor is how long a target counts as serving after a request.
	servingFor = time.Minute
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
func (j *Analyzer) Verdict(now time.Time) Verdict {
	v := Verdict{
		LogEvidence: j.log(), Totals: j.totals,
		OldDegraded: j.degraded(now),
	}
	v.Totals.NewCrashes = j.crashes.events
	for name := range j.excluded {
		v.Excluded = append(v.Excluded, name)
	}
	slices.Sort(v.Excluded)
	limit := -math.Log(j.options.Alpha)
	switch {
	case j.crashLog() >= limit:
		v.Finding, v.Reason = Regressed, fmt.Sprintf("targets crash: %d crashes", j.crashes.events)
	case v.LogEvidence >= limit && j.confirmed(now):
		v.Finding, v.Reason = Regressed, j.describe()
	case j.here.lasts(persistHere, now):
		v.Finding, v.Reason = Regressed, "worse than the old version's past: "+metricNames[j.here.tests.worst()]
	case j.elsewhere.lasts(persistElsewhere, now):
		v.Finding, v.Reason = Regressed, "worse than the old version elsewhere: "+metricNames[j.elsewhere.tests.worst()]
	case v.LogEvidence >= doubt:
		v.Finding, v.Reason = Suspect, "in doubt: "+j.describe()
	case j.here.strong(j.options.Alpha), j.elsewhere.strong(j.options.Alpha):
		v.Finding, v.Reason = Suspect, "worse than the old version's past, without a control"
	}
	return v
}

func (j *Analyzer) crashLog() float64 { return j.crashes.log() + math.Log(crashWeight) }

// log averages the pooled tests, those of the routes and that of crashes.
func (j *Analyzer) log() float64 {
	byRoute := math.Inf(-1)
	for _, r := range j.routes {
		byRoute = logAdd(byRoute, r.tests.log()+math.Log(r.weight))
	}
	rest := 1 - crashWeight - loneWeight
	both := logAdd(j.pooled.log(), byRoute) + math.Log(rest/2)
	return logAdd(both, j.crashLog())
}

// describe names the test with the strongest evidence.
func (j *Analyzer) describe() string {
	worst, route, strongest := j.pooled.worst(), "", j.pooled.log()
	for _, r := range j.routes {
		if l := r.tests.log() + math.Log(r.weight); l > strongest {
			worst, route, strongest = r.tests.worst(), r.name, l
		}
	}
	t := j.totals
	text := fmt.Sprintf("%s; failed %d of %d, old %d of %d",
		metricNames[worst], t.NewFailures, t.NewRequests, t.OldFailures, t.OldRequests)
	if route != "" {
		return "route " + route + ": " + text
	}
	return text
}

// serving returns how many targets of the new version served lately.
func (j *Analyzer) serving(now time.Time) int {
	count := 0
	for _, t := range j.targets {
		if now.Sub(t.lastSeen) < servingFor {
			count++
		}
	}
	return count
}

// confirmed tells whether the badness shows even without the target that shows
// it most, or whether only one target serves.
func (j *Analyzer) confirmed(now time.Time) bool {
	_, weakest, asked := j.loneliest(now)
	return asked < 2 || weakest >= confirm
}

// loneliest returns the serving target without which the evidence is weakest,
// that evidence, and the number of serving targets.
func (j *Analyzer) loneliest(now time.Time) (target string, weakest float64, asked int) {
	weakest = math.Inf(1)
	for name, t := range j.targets {
		if j.excluded[name] || t.served < servedEnough || now.Sub(t.lastSeen) >= servingFor {
			continue
		}
		asked++
		if l := t.rest.log(); l < weakest || l == weakest && name < target {
			target, weakest = name, l
		}
	}
	return target, weakest, asked
}

// exclude sets aside a target that fails alone and starts the tests again,
// with half of their weight, since they now choose what to look at.
func (j *Analyzer) exclude(now time.Time) {
	if j.log() < -math.Log(j.options.Alpha) || j.confirmed(now) {
		j.alone = time.Time{}
		return
	}
	if j.alone.IsZero() {
		j.alone = now
	}
	worst, _, _ := j.loneliest(now)
	if now.Sub(j.alone) < aloneFor || j.othersServed(worst) < excludeServed {
		return
	}
	if len(j.excluded) >= max(len(j.targets)/excludeShare, 1) {
		return
	}
	j.excluded[worst] = true
	j.alone = time.Time{}
	j.handicap += math.Ln2
	j.reset()
	j.DiscardWindows()
}

const (
	// excludeShare bounds the excluded targets to one in so many.
	excludeShare = 4
	// aloneFor is how long a target must carry the evidence alone.
	aloneFor = 30 * time.Second
	// excludeServed is how many requests the other targets must have served.
	excludeServed = 20
)

func (j *Analyzer) othersServed(name string) int {
	sum := 0
	for other, t := range j.targets {
		if other != name {
			sum += t.served
		}
	}
	return sum
}

// PeakConcurrency returns the mean number of requests running in the pool, at the
// busiest of the last ticks.
func (j *Analyzer) PeakConcurrency() float64 { return j.busy.peak }

// meter turns busy milliseconds into a concurrency.
type meter struct {
	sum  uint64
	last time.Time
	rate float64
	peak float64
}

func (m *meter) add(ms uint64) { m.sum += ms }

const (
	meterPeriod = 5 * time.Second
	meterKeep   = 0.7
	meterFade   = 0.98
)

func (m *meter) tick(now time.Time) {
	if m.last.IsZero() {
		m.last, m.sum = now, 0
		return
	}
	passed := now.Sub(m.last)
	if passed < meterPeriod {
		return
	}
	rate := float64(m.sum) / float64(passed.Milliseconds())
	m.rate = m.rate*meterKeep + rate*(1-meterKeep)
	m.peak = max(m.peak*meterFade, m.rate)
	m.last, m.sum = now, 0
}
