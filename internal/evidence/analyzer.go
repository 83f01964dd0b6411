package evidence

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Options configure an Analyzer.
type Options struct {
	// OldVersion is the control, NewVersion the canary.
	OldVersion, NewVersion string
	// Alpha bounds the probability that the analyzer ever reports Regressed for
	// a version that is no worse than the old one.
	Alpha float64
	// PlannedDuration is the expected duration of the move. A regression that
	// appears later needs a little more evidence.
	PlannedDuration time.Duration
	// HistoricalControl compares the new version with the old version's past
	// instead of its requests in the same window. Only measurements set it.
	HistoricalControl bool
	// WholeRequestsOnly is set if only failures and the times of whole requests are
	// counted. The other tests then take no part of Alpha.
	WholeRequestsOnly bool
	// ExtraTolerance is the additional slowdown, in buckets, that is not counted
	// against a version, for targets of one version that differ in speed.
	ExtraTolerance int
}

// InstanceID identifies an instance that sends reports, at one incarnation of
// its membership.
type InstanceID struct {
	Name        string
	Incarnation uint64
}

// Analyzer tests the counters of any number of instances for a regression of
// the new version. It is not safe for concurrent use.
type Analyzer struct {
	options Options
	// lastCounts holds the most recent counters of each instance.
	lastCounts map[InstanceID]map[Key]Counts
	windows    [windowKindCount]map[stratum]*window
	// recentReferences and longReferences summarize the old version's requests
	// with a fast and a slow exponential decay.
	recentReferences map[referenceKey]*reference
	longReferences   map[referenceKey]*reference

	pooled  metricTests
	routes  []*routeTests
	targets map[string]*targetTests
	// sameDomain and otherDomain test requests without a concurrent control
	// against the old version's past in the same failure domain or in another.
	sameDomain, otherDomain historyTest
	domains                 map[string]*domainHealth
	crashes                 *crashTest
	// excluded holds targets that are the only ones to show a regression.
	excluded map[string]bool
	// soleTargetSince is the time since which the evidence has depended on a
	// single target; zero when it does not.
	soleTargetSince time.Time

	started time.Time
	epoch   int
	// selectionPenalty is subtracted from the logarithms of the starting
	// weights: ln 2 for each excluded target.
	selectionPenalty float64
	totals           Totals
	concurrency      concurrencyMeter
	windowAges       windowAges
	// epochDuration is the interval between two starting times of the tests.
	epochDuration time.Duration
}

// referenceKey is a stratum at one concurrency band.
type referenceKey struct {
	stratum
	loadBand int
}

// routeTests are the tests of one route. The weights of all routes sum to less
// than one.
type routeTests struct {
	name   string
	tests  metricTests
	weight float64
}

// targetTests holds the evidence about one target of the new version.
type targetTests struct {
	// leaveOneOut are the tests of all other targets together.
	leaveOneOut metricTests
	requests    int
	lastSeen    time.Time
}

// Totals count the requests, failures and crashes that an analyzer has seen.
type Totals struct {
	OldRequests int `json:"old_requests"`
	OldFailures int `json:"old_failures"`
	NewRequests int `json:"new_requests"`
	NewFailures int `json:"new_failures"`
	NewCrashes  int `json:"new_crashes"`
	// Started is the number of requests of both versions that have started,
	// NewStarted that of the new version.
	Started    int `json:"-"`
	NewStarted int `json:"-"`
}

// NewAnalyzer returns an Analyzer without evidence.
func NewAnalyzer(options Options, now time.Time) *Analyzer {
	a := &Analyzer{
		options: options, started: now,
		lastCounts:       make(map[InstanceID]map[Key]Counts),
		recentReferences: make(map[referenceKey]*reference),
		longReferences:   make(map[referenceKey]*reference),
		excluded:         make(map[string]bool),
		domains:          make(map[string]*domainHealth),
		windowAges:       newWindowAges(options.PlannedDuration),
		epochDuration:    newEpochDuration(options.PlannedDuration),
	}
	a.DiscardWindows()
	a.reset()
	return a
}

// metrics returns the metrics that are tested.
func (a *Analyzer) metrics() []metric {
	if a.options.WholeRequestsOnly {
		return wholeRequestMetrics
	}
	return allMetrics
}

// reset restarts all tests.
func (a *Analyzer) reset() {
	a.pooled = metricTests{}
	a.resetHistoryTests()
	a.routes = nil
	a.targets = make(map[string]*targetTests)
	a.crashes = newCrashTest()
	a.pooled.addStart(a.metrics(), a.cumulativeStartWeight())
}

// AddRecords adds what an instance counted since its previous report. The first
// full report of an instance only sets its baseline, since the requests before
// it may span several shares. Partial reports before it are ignored.
func (a *Analyzer) AddRecords(instance InstanceID, records []Record, full bool, now time.Time) {
	counts, hasBaseline := a.lastCounts[instance]
	if !hasBaseline && !full {
		return
	}
	if !hasBaseline {
		counts = make(map[Key]Counts, len(records))
		a.lastCounts[instance] = counts
	}
	for i := range records {
		r := &records[i]
		before := counts[r.Key]
		if r.Counts.Requests < before.Requests || r.Counts.started() < before.started() || r.Counts.Crashes < before.Crashes {
			continue
		}
		counts[r.Key] = r.Counts
		if hasBaseline {
			a.addDelta(&r.Key, &before, &r.Counts, now)
		}
	}
}

// InitBaseline sets an empty baseline for an instance that has counted nothing
// yet, so that its first report counts in full.
func (a *Analyzer) InitBaseline(instance InstanceID) {
	if _, hasBaseline := a.lastCounts[instance]; !hasBaseline {
		a.lastCounts[instance] = make(map[Key]Counts)
	}
}

func (a *Analyzer) addDelta(key *Key, before, after *Counts, now time.Time) {
	isNew := key.Version == a.options.NewVersion
	if !isNew && key.Version != a.options.OldVersion {
		return
	}
	a.concurrency.add(after.BusyMillis - before.BusyMillis)
	if a.excluded[key.Target] {
		return
	}
	if after.Crashes > before.Crashes {
		a.crashes.addCrash(key.FailureDomain, isNew, now)
	}
	if after.sameRequests(before) {
		return
	}
	for kind := range windowKindCount {
		a.windowFor(kind, stratumOf(key), now).addDelta(key, isNew, before, after)
	}
	if isNew {
		a.countServed(key.Target, int(after.started()-before.started()), now)
	}
	a.addTotals(isNew, before, after)
}

func (a *Analyzer) addTotals(isNew bool, before, after *Counts) {
	requests, failures := int(after.Requests-before.Requests), int(after.Failures-before.Failures)
	started := int(after.started() - before.started())
	a.totals.Started += started
	if isNew {
		a.totals.NewStarted += started
		a.totals.NewRequests += requests
		a.totals.NewFailures += failures
		return
	}
	a.totals.OldRequests += requests
	a.totals.OldFailures += failures
}

func (a *Analyzer) windowFor(kind windowKind, s stratum, now time.Time) *window {
	w := a.windows[kind][s]
	if w == nil {
		w = newWindow(now)
		a.windows[kind][s] = w
	}
	return w
}

func (a *Analyzer) countServed(target string, requests int, now time.Time) {
	t := a.targets[target]
	if t == nil {
		t = &targetTests{}
		t.leaveOneOut.addStart(a.metrics(), a.cumulativeStartWeight())
		a.targets[target] = t
	}
	t.requests += requests
	t.lastSeen = now
}

// DiscardWindows drops the open windows. It must be called when the share
// changes, since a window must not span two shares.
func (a *Analyzer) DiscardWindows() {
	for kind := range a.windows {
		a.windows[kind] = make(map[stratum]*window)
	}
}

const (
	// recentDecay and longDecay multiply the weight of earlier requests of the
	// old version with each further window.
	recentDecay = 0.8
	longDecay   = 0.995
)

// Tick closes the windows that are due and updates the tests.
func (a *Analyzer) Tick(now time.Time) {
	a.addStartingTimes(now)
	for kind := range windowKindCount {
		a.closeReadyWindows(kind, now)
	}
	a.crashes.tick(a.servingTargets(now), now)
	a.concurrency.tick(now)
	a.excludeTarget(now)
	a.sameDomain.update(a.options.Alpha, now)
	a.otherDomain.update(a.options.Alpha, now)
}

func (a *Analyzer) closeReadyWindows(kind windowKind, now time.Time) {
	windows := a.windows[kind]
	for _, s := range slices.SortedFunc(maps.Keys(windows), compareStrata) {
		w := windows[s]
		switch {
		case w.ready(kind, a.windowAges, now), w.oneSided(kind, a.windowAges, now):
			a.closeWindow(kind, s, w, now)
			delete(windows, s)
		case now.Sub(w.opened) >= maxWindowAge:
			delete(windows, s)
		}
	}
}

// closeWindow adds the comparisons of a window to the tests. Latency windows
// also update the references of the old version.
func (a *Analyzer) closeWindow(kind windowKind, s stratum, w *window, now time.Time) {
	for _, c := range w.comparisons() {
		switch {
		case a.options.HistoricalControl:
			ref, _ := a.historicalReference(s, c.newLoad)
			if ref != nil {
				a.addIncrement(s.route, compare(kind, &c.newSample, roundedSample(ref), ref, concurrentControl))
			}
		case c.control.seen:
			a.compareWithControl(kind, s, c)
		default:
			a.compareWithHistory(kind, s, c, now)
		}
	}
	for load := range w.oldByLoad {
		if kind == latencyWindow && w.oldByLoad[load].requests > 0 {
			a.updateReferences(referenceKey{s, load}, &w.oldByLoad[load], now)
		}
	}
}

// compareWithControl adds a comparison with a concurrent control to the tests.
// Latency windows in which the old version is in transition are skipped.
func (a *Analyzer) compareWithControl(kind windowKind, s stratum, c *comparison) {
	var ref reference
	for _, load := range c.controlLoads {
		ref.add(a.referenceAt(a.recentReferences, referenceKey{s, load}))
	}
	if kind == latencyWindow && inTransition(&c.control, &ref) {
		return
	}
	params := concurrentControl
	params.toleranceBuckets += a.options.ExtraTolerance
	inc := compare(kind, &c.newSample, &c.control, &ref, params)
	a.addIncrement(s.route, inc)
	for name, t := range a.targets {
		t.leaveOneOut.multiply(incrementWithoutTarget(kind, c, name, &ref, &inc, params))
	}
}

// incrementWithoutTarget returns the increment of a comparison that leaves out
// one target of the new version.
func incrementWithoutTarget(kind windowKind, c *comparison, target string, ref *reference, full *increment, params controlParams) *increment {
	own := c.newByTarget[target]
	if own == nil {
		return full
	}
	rest := c.newSample
	rest.subtract(own)
	inc := compare(kind, &rest, &c.control, ref, params)
	return &inc
}

func (a *Analyzer) addIncrement(route string, inc increment) {
	a.pooled.multiply(&inc)
	a.testsOfRoute(route).tests.multiply(&inc)
}

// testsOfRoute returns the tests of a route. The n-th route that is seen gets the
// weight 1/(n(n+1)).
func (a *Analyzer) testsOfRoute(name string) *routeTests {
	for _, r := range a.routes {
		if r.name == name {
			return r
		}
	}
	n := float64(len(a.routes) + 1)
	r := &routeTests{name: name, weight: 1 / (n * (n + 1))}
	r.tests.addStart(a.metrics(), a.cumulativeStartWeight())
	a.routes = append(a.routes, r)
	return r
}

func (a *Analyzer) referenceAt(references map[referenceKey]*reference, key referenceKey) *reference {
	r := references[key]
	if r == nil {
		r = &reference{}
		references[key] = r
	}
	return r
}

const (
	// maxEpochDuration is the epoch of long moves.
	maxEpochDuration = 30 * time.Second
	// minEpochCount is the number of epochs that a short move is divided into, unless they
	// are shorter than minEpochDuration: each costs time at every evaluation.
	minEpochCount    = 10
	minEpochDuration = 100 * time.Millisecond
)

// newEpochDuration returns the epoch for a move of the planned duration, 0 if it is
// not known.
func newEpochDuration(planned time.Duration) time.Duration {
	if planned <= 0 {
		return maxEpochDuration
	}
	return min(maxEpochDuration, max(minEpochDuration, planned/minEpochCount))
}

// addStartingTimes adds the starting times that have passed to all tests.
func (a *Analyzer) addStartingTimes(now time.Time) {
	for a.started.Add(time.Duration(a.epoch+1) * a.epochDuration).Before(now) {
		a.epoch++
		weight := a.startWeight(a.epoch)
		a.pooled.addStart(a.metrics(), weight)
		a.sameDomain.tests.addStart(a.metrics(), weight)
		a.otherDomain.tests.addStart(a.metrics(), weight)
		for _, r := range a.routes {
			r.tests.addStart(a.metrics(), weight)
		}
		for _, t := range a.targets {
			t.leaveOneOut.addStart(a.metrics(), weight)
		}
	}
}

// startWeight returns the weight of one starting time: half of the total is
// spread evenly over the planned duration, half decreases with the square of
// the epoch.
func (a *Analyzer) startWeight(epoch int) float64 {
	plannedEpochs := max(int(a.options.PlannedDuration/a.epochDuration), 1)
	n := float64(epoch + 1)
	weight := 0.5 / (n * (n + 1))
	if epoch < plannedEpochs {
		weight += 0.5 / float64(plannedEpochs)
	}
	return weight * math.Exp(-a.selectionPenalty)
}

// cumulativeStartWeight returns the sum of the weights up to the current epoch.
func (a *Analyzer) cumulativeStartWeight() float64 {
	sum := 0.0
	for epoch := 0; epoch <= a.epoch; epoch++ {
		sum += a.startWeight(epoch)
	}
	return sum
}
