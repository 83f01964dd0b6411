package move

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
)

// defect is a fault of the new version; the zero value is a good version.
type defect struct {
	name string
	// delay is the time from the first request to the target to the defect.
	delay time.Duration
	// failureRate is the fraction of requests that fail, incompleteRate the
	// fraction whose stream ends without its end marker.
	failureRate, incompleteRate float64
	// route limits the failures to one route, if set.
	route string
	// firstTokenFactor and tokenTimeFactor multiply the times; zero means one.
	firstTokenFactor, tokenTimeFactor float64
	// minRunning is the number of running requests from which the defect shows.
	minRunning int
	// crashAfter is the time from a target's first request to its crash.
	crashAfter time.Duration
}

// defects are all simulated kinds of defects.
var defects = []defect{
	{name: "fails always", failureRate: 1},
	{name: "fails at once", failureRate: 0.2},
	{name: "fails later", failureRate: 0.2, delay: 6 * time.Minute},
	{name: "slow at once", firstTokenFactor: 1.8, tokenTimeFactor: 1.8},
	{name: "slow later", firstTokenFactor: 1.8, tokenTimeFactor: 1.8, delay: 6 * time.Minute},
	{name: "slow first token", firstTokenFactor: 2},
	{name: "slow under load", tokenTimeFactor: 2, minRunning: 5},
	{name: "fails on one route", failureRate: 0.3, route: "quick"},
	{name: "wrong stream ends", incompleteRate: 0.1},
	{name: "crashes after minutes", crashAfter: 3 * time.Minute},
	{name: "slow and wrong ends", tokenTimeFactor: 1.6, incompleteRate: 0.05},
	{name: "fails and crashes", failureRate: 0.1, crashAfter: 2 * time.Minute},
}

// affects reports whether a request to the target shows the defect.
func (d *defect) affects(target *simulatedTarget, at time.Duration) bool {
	return d.name != "" && at-target.firstRequest >= d.delay && target.running >= d.minRunning
}

func (d *defect) failure(target *simulatedTarget, at time.Duration, route string, random float64) evidence.FailureKind {
	if !d.affects(target, at) || d.route != "" && d.route != route {
		return evidence.FailureNone
	}
	switch {
	case random < d.failureRate:
		return evidence.FailureBadResponse
	case random < d.failureRate+d.incompleteRate:
		return evidence.FailureIncompleteStream
	default:
		return evidence.FailureNone
	}
}

func (d *defect) slowdown(target *simulatedTarget, at time.Duration) (first, token float64) {
	if !d.affects(target, at) {
		return 1, 1
	}
	return max(d.firstTokenFactor, 1), max(d.tokenTimeFactor, 1)
}

func (d *defect) crashDue(target *simulatedTarget, at time.Duration) bool {
	return d.crashAfter > 0 && target.firstRequest > 0 && at-target.firstRequest >= d.crashAfter
}

// disturbance is a fault of the environment that affects both versions.
type disturbance struct {
	name       string
	start, end time.Duration
	// timeFactor multiplies the times and failureRate adds failures, in one domain
	// or in all.
	timeFactor, failureRate float64
	domain                  string
	// tableDown makes the table service unavailable.
	tableDown bool
}

var disturbances = []disturbance{
	{name: "no trouble"},
	{name: "slow pool", start: 3 * time.Minute, end: 8 * time.Minute, timeFactor: 2.5, failureRate: 0.05},
	{name: "slow failure domain", start: 2 * time.Minute, end: 9 * time.Minute, timeFactor: 2.5, failureRate: 0.1, domain: "d0"},
	{name: "slow pool late", start: 13 * time.Minute, end: 17 * time.Minute, timeFactor: 2.5, failureRate: 0.05},
	{name: "slow domain late", start: 12 * time.Minute, end: 17 * time.Minute, timeFactor: 2.5, failureRate: 0.1, domain: "d0"},
	{name: "table outage", start: 2 * time.Minute, end: 6 * time.Minute, tableDown: true},
}

func (d *disturbance) activeAt(at time.Duration) bool { return at >= d.start && at < d.end }

func (d *disturbance) affects(target *simulatedTarget, at time.Duration) bool {
	return d.activeAt(at) && (d.domain == "" || d.domain == target.FailureDomain)
}

func (d *disturbance) slowdown(target *simulatedTarget, at time.Duration) float64 {
	if !d.affects(target, at) {
		return 1
	}
	return max(d.timeFactor, 1)
}

func (d *disturbance) addedFailureRate(target *simulatedTarget, at time.Duration) float64 {
	if !d.affects(target, at) {
		return 0
	}
	return d.failureRate
}

// fixedThresholdPolicy raises the share at fixed times and rolls back at fixed
// thresholds, without a control group. It is the baseline for the comparison.
type fixedThresholdPolicy struct {
	windowStart              time.Duration
	newRequests, newFailures int
	newSeconds, oldSeconds   float64
	oldRequests              int
	rolledBack               bool
}

var fixedShares = []float64{0.05, 0.25, 0.5, 1}

func (p *fixedThresholdPolicy) pick(at time.Duration, random float64) string {
	stage := min(int(at/(moveTime/time.Duration(len(fixedShares)+1))), len(fixedShares)-1)
	if !p.rolledBack && random < fixedShares[stage] {
		return newVersion
	}
	return oldVersion
}

func (p *fixedThresholdPolicy) observe(at time.Duration, o *evidence.Observation) {
	secondsPerToken := o.TotalDuration.Seconds() / float64(o.OutputTokens)
	if o.Version == oldVersion {
		if at < 2*time.Minute {
			p.oldSeconds, p.oldRequests = p.oldSeconds+secondsPerToken, p.oldRequests+1
		}
		return
	}
	p.newRequests++
	p.newSeconds += secondsPerToken
	if o.Failed {
		p.newFailures++
	}
	if at-p.windowStart < time.Minute {
		return
	}
	if p.newRequests >= 20 {
		slow := p.oldRequests > 0 && p.newSeconds/float64(p.newRequests) > 1.5*p.oldSeconds/float64(p.oldRequests)
		p.rolledBack = p.rolledBack || slow || float64(p.newFailures) > 0.05*float64(p.newRequests)
	}
	p.windowStart, p.newRequests, p.newFailures, p.newSeconds = at, 0, 0, 0
}
