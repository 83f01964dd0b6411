package move

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
)

// badness is what is wrong with the new version; its zero value is a good one.
type badness struct {
	name string
	// after is when it shows, since the first request to the target.
	after time.Duration
	// fails is the part of requests that fail, ends that with a wrong end.
	fails, ends float64
	// route limits failures to one route.
	route string
	// first and token multiply the times; zero means one.
	first, token float64
	// above limits slowness to this many running requests.
	above int
	// crash is the time from a target's first request to its crash.
	crash time.Duration
}

// badnesses are all kinds of bad version.
var badnesses = []badness{
	{name: "fails always", fails: 1},
	{name: "fails at once", fails: 0.2},
	{name: "fails later", fails: 0.2, after: 6 * time.Minute},
	{name: "slow at once", first: 1.8, token: 1.8},
	{name: "slow later", first: 1.8, token: 1.8, after: 6 * time.Minute},
	{name: "slow first token", first: 2},
	{name: "slow under load", token: 2, above: 5},
	{name: "fails on one route", fails: 0.3, route: "quick"},
	{name: "wrong stream ends", ends: 0.1},
	{name: "crashes after minutes", crash: 3 * time.Minute},
	{name: "slow and wrong ends", token: 1.6, ends: 0.05},
	{name: "fails and crashes", fails: 0.1, crash: 2 * time.Minute},
}

// shows tells whether a request to the target meets the badness.
func (b *badness) shows(m *machine, at time.Duration) bool {
	return b.name != "" && at-m.firstAt >= b.after && m.running >= b.above
}

func (b *badness) failure(m *machine, at time.Duration, route string, u float64) evidence.FailureKind {
	if !b.shows(m, at) || b.route != "" && b.route != route {
		return evidence.FailureNone
	}
	switch {
	case u < b.fails:
		return evidence.FailureBadResponse
	case u < b.fails+b.ends:
		return evidence.FailureIncompleteStream
	default:
		return evidence.FailureNone
	}
}

func (b *badness) slowness(m *machine, at time.Duration) (first, token float64) {
	if !b.shows(m, at) {
		return 1, 1
	}
	return max(b.first, 1), max(b.token, 1)
}

func (b *badness) crashes(m *machine, at time.Duration) bool {
	return b.crash > 0 && m.firstAt > 0 && at-m.firstAt >= b.crash
}

// trouble is what befalls both versions.
type trouble struct {
	name     string
	from, to time.Duration
	// slow multiplies times, fails adds failures, in one domain or in all.
	slow, fails float64
	domain      string
	// table makes the table service unavailable.
	table bool
}

var troubles = []trouble{
	{name: "no trouble"},
	{name: "slow pool", from: 3 * time.Minute, to: 8 * time.Minute, slow: 2.5, fails: 0.05},
	{name: "slow failure domain", from: 2 * time.Minute, to: 9 * time.Minute, slow: 2.5, fails: 0.1, domain: "d0"},
	{name: "slow pool late", from: 13 * time.Minute, to: 17 * time.Minute, slow: 2.5, fails: 0.05},
	{name: "slow domain late", from: 12 * time.Minute, to: 17 * time.Minute, slow: 2.5, fails: 0.1, domain: "d0"},
	{name: "table outage", from: 2 * time.Minute, to: 6 * time.Minute, table: true},
}

func (t *trouble) during(at time.Duration) bool { return at >= t.from && at < t.to }

func (t *trouble) hits(m *machine, at time.Duration) bool {
	return t.during(at) && (t.domain == "" || t.domain == m.FailureDomain)
}

func (t *trouble) slowness(m *machine, at time.Duration) float64 {
	if !t.hits(m, at) {
		return 1
	}
	return max(t.slow, 1)
}

func (t *trouble) failures(m *machine, at time.Duration) float64 {
	if !t.hits(m, at) {
		return 0
	}
	return t.fails
}

// naivePolicy raises the share at fixed times and takes back on fixed
// thresholds, without a control group.
type naivePolicy struct {
	windowAt         time.Duration
	requests, failed int
	time, oldTime    float64
	oldCount         int
	back             bool
}

var naiveShares = []float64{0.05, 0.25, 0.5, 1}

func (n *naivePolicy) pick(at time.Duration, u float64) string {
	stage := min(int(at/(moveTime/time.Duration(len(naiveShares)+1))), len(naiveShares)-1)
	if !n.back && u < naiveShares[stage] {
		return newVersion
	}
	return oldVersion
}

func (n *naivePolicy) observe(at time.Duration, o *evidence.Observation) {
	total := o.TotalDuration.Seconds() / float64(o.OutputTokens)
	if o.Version == oldVersion {
		if at < 2*time.Minute {
			n.oldTime, n.oldCount = n.oldTime+total, n.oldCount+1
		}
		return
	}
	n.requests++
	n.time += total
	if o.Failed {
		n.failed++
	}
	if at-n.windowAt < time.Minute {
		return
	}
	if n.requests >= 20 {
		slow := n.oldCount > 0 && n.time/float64(n.requests) > 1.5*n.oldTime/float64(n.oldCount)
		n.back = n.back || slow || float64(n.failed) > 0.05*float64(n.requests)
	}
	n.windowAt, n.requests, n.failed, n.time = at, 0, 0, 0
}
