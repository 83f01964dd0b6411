package evidence

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Options say what a Analyzer compares.
type Options struct {
	// OldVersion and NewVersion are the versions.
	OldVersion, NewVersion string
	// Alpha is the probability that a version no worse than the old one is
	// ever found bad by this analyzer.
	Alpha float64
	// PlannedDuration is the time for which badness is watched for; later badness
	// needs a little more evidence.
	PlannedDuration time.Duration
	// HistoricalControl compares the new version with the old one's past in place of
	// the same window. It serves measurements only.
	HistoricalControl bool
}

// InstanceID names one process that reports.
type InstanceID struct {
	Name        string
	Incarnation uint64
}

// Analyzer weighs counters of any number of entries. It is not safe for use by
// several goroutines at once.
type Analyzer struct {
	options Options
	// last holds the last counters of each entry.
	last    map[InstanceID]map[Key]Counts
	windows [metricsCount]map[stratum]*window
	// recent and long are pictures of the old version, fading fast and slowly.
	recent map[place]*reference
	long   map[place]*reference

	pooled  tests
	routes  []*routeTests
	targets map[string]*targetTests
	// here and elsewhere are evidence without a control in the same window:
	// against the old version's past in the same failure domain or in another.
	here, elsewhere baselineTest
	domains         map[string]*domainHealth
	crashes         *crashTest
	// excluded are targets found to fail alone.
	excluded map[string]bool
	// alone is since when one target alone has carried the evidence.
	alone time.Time

	started  time.Time
	epoch    int
	handicap float64
	totals   Totals
	busy     meter
}

// place is a stratum at one class of concurrency.
type place struct {
	stratum
	load int
}

// routeTests are the tests of one route; the weights of all routes sum to less
// than one.
type routeTests struct {
	name   string
	tests  tests
	weight float64
}

// targetTests is about one target of the new version.
type targetTests struct {
	// rest are the tests of all other targets together.
	rest     tests
	served   int
	lastSeen time.Time
}

// Totals are numbers of requests that an analyzer has seen.
type Totals struct {
	OldRequests int `json:"old_requests"`
	OldFailures int `json:"old_failures"`
	NewRequests int `json:"new_requests"`
	NewFailures int `json:"new_failures"`
	NewCrashes  int `json:"new_crashes"`
}

// NewAnalyzer returns an analyzer that has seen nothing.
func NewAnalyzer(options Options, now time.Time) *Analyzer {
	j := &Analyzer{
		options: options, started: now,
		last:     make(map[InstanceID]map[Key]Counts),
		recent:   make(map[place]*reference),
		long:     make(map[place]*reference),
		excluded: make(map[string]bool),
		domains:  make(map[string]*domainHealth),
	}
	j.DiscardWindows()
	j.reset()
	return j
}

// reset starts all tests again.
func (j *Analyzer) reset() {
	j.pooled = tests{}
	j.forgetBaselineTest()
	j.routes = nil
	j.targets = make(map[string]*targetTests)
	j.crashes = newCrashTest()
	j.pooled.start(j.weightSoFar())
}

// AddRecords counts what an entry did since its last report. The first full report
// of an entry only sets its baseline: what it did before may span several
// shares. Reports before it are ignored.
func (j *Analyzer) AddRecords(entry InstanceID, records []Record, full bool, now time.Time) {
	known, heard := j.last[entry]
	if !heard && !full {
		return
	}
	if !heard {
		known = make(map[Key]Counts, len(records))
		j.last[entry] = known
	}
	for i := range records {
		r := &records[i]
		before := known[r.Key]
		if r.Counts.Requests < before.Requests || r.Counts.Crashes < before.Crashes {
			continue
		}
		known[r.Key] = r.Counts
		if heard {
			j.count(&r.Key, &before, &r.Counts, now)
		}
	}
}

// InitBaseline sets the baseline of an entry that has counted nothing yet, so that
// its first report counts in full.
func (j *Analyzer) InitBaseline(entry InstanceID) {
	if _, heard := j.last[entry]; !heard {
		j.last[entry] = make(map[Key]Counts)
	}
}

func (j *Analyzer) count(key *Key, before, after *Counts, now time.Time) {
	isNew := key.Version == j.options.NewVersion
	if !isNew && key.Version != j.options.OldVersion {
		return
	}
	j.busy.add(after.BusyMillis - before.BusyMillis)
	if j.excluded[key.Target] {
		return
	}
	if after.Crashes > before.Crashes {
		j.crashes.crash(key.FailureDomain, isNew, now)
	}
	if after.Requests == before.Requests {
		return
	}
	for of := range metricsCount {
		j.window(of, stratumOf(key), now).add(key, isNew, before, after)
	}
	if isNew {
		j.seen(key.Target, int(after.Requests-before.Requests), now)
	}
	j.tally(isNew, before, after)
}

func (j *Analyzer) tally(isNew bool, before, after *Counts) {
	requests, failures := int(after.Requests-before.Requests), int(after.Failures-before.Failures)
	if isNew {
		j.totals.NewRequests += requests
		j.totals.NewFailures += failures
		return
	}
	j.totals.OldRequests += requests
	j.totals.OldFailures += failures
}

func (j *Analyzer) window(of metrics, s stratum, now time.Time) *window {
	w := j.windows[of][s]
	if w == nil {
		w = newWindow(now)
		j.windows[of][s] = w
	}
	return w
}

func (j *Analyzer) seen(target string, requests int, now time.Time) {
	t := j.targets[target]
	if t == nil {
		t = &targetTests{}
		t.rest.start(j.weightSoFar())
		j.targets[target] = t
	}
	t.served += requests
	t.lastSeen = now
}

// DiscardWindows drops unfinished windows; call it when the share changes, since a
// window must not span two shares.
func (j *Analyzer) DiscardWindows() {
	for of := range j.windows {
		j.windows[of] = make(map[stratum]*window)
	}
}

const (
	// recentKeep and longKeep are the weights that pictures of the old version
	// keep for each further window.
	recentKeep = 0.8
	longKeep   = 0.995
)

// Tick closes windows and updates the tests.
func (j *Analyzer) Tick(now time.Time) {
	j.restart(now)
	for of := range metricsCount {
		j.closeReady(of, now)
	}
	j.crashes.tick(j.serving(now), now)
	j.busy.tick(now)
	j.exclude(now)
	j.here.look(j.options.Alpha, now)
	j.elsewhere.look(j.options.Alpha, now)
}

func (j *Analyzer) closeReady(of metrics, now time.Time) {
	windows := j.windows[of]
	for _, s := range slices.SortedFunc(maps.Keys(windows), compareStrata) {
		w := windows[s]
		switch {
		case w.ready(of, now), w.oneSided(of, now):
			j.close(of, s, w, now)
			delete(windows, s)
		case now.Sub(w.opened) >= windowLimit:
			delete(windows, s)
		}
	}
}

// close compares the groups of a window; from those for times it learns the
// old version's past.
func (j *Analyzer) close(of metrics, s stratum, w *window, now time.Time) {
	for _, g := range w.groups() {
		switch {
		case j.options.HistoricalControl:
			ref, _ := j.past(s, g.load)
			if ref != nil {
				j.step(s.route, compare(of, &g.fresh, sampleOf(ref), ref, withControl))
			}
		case g.old.requests > 0:
			j.compareGroup(of, s, g)
		default:
			j.compareAlone(of, s, g, now)
		}
	}
	for load := range w.old {
		if of == times && w.old[load].requests > 0 {
			j.learn(place{s, load}, &w.old[load], now)
		}
	}
}

func (j *Analyzer) compareGroup(of metrics, s stratum, g *group) {
	var ref reference
	for _, load := range g.loads {
		ref.add(j.reference(j.recent, place{s, load}))
	}
	if of == times && turning(&g.old, &ref) {
		return
	}
	whole := compare(of, &g.fresh, &g.old, &ref, withControl)
	j.step(s.route, whole)
	for name, t := range j.targets {
		t.rest.step(withoutTarget(of, g, name, &ref, &whole))
	}
}

// withoutTarget returns the increment of a group without one target.
func withoutTarget(of metrics, g *group, name string, ref *reference, whole *increment) *increment {
	own := g.targets[name]
	if own == nil {
		return whole
	}
	rest := g.fresh
	rest.subtract(own)
	inc := compare(of, &rest, &g.old, ref, withControl)
	return &inc
}

func (j *Analyzer) step(route string, inc increment) {
	j.pooled.step(&inc)
	j.route(route).tests.step(&inc)
}

func (j *Analyzer) route(name string) *routeTests {
	for _, r := range j.routes {
		if r.name == name {
			return r
		}
	}
	n := float64(len(j.routes) + 1)
	r := &routeTests{name: name, weight: 1 / (n * (n + 1))}
	r.tests.start(j.weightSoFar())
	j.routes = append(j.routes, r)
	return r
}

func (j *Analyzer) reference(of map[place]*reference, at place) *reference {
	r := of[at]
	if r == nil {
		r = &reference{}
		of[at] = r
	}
	return r
}

// epochLength is the spacing of the starting times of the tests.
const epochLength = 30 * time.Second

// restart gives the tests their next starting times.
func (j *Analyzer) restart(now time.Time) {
	for j.started.Add(time.Duration(j.epoch+1) * epochLength).Before(now) {
		j.epoch++
		weight := j.weight(j.epoch)
		j.pooled.start(weight)
		j.here.tests.start(weight)
		j.elsewhere.tests.start(weight)
		for _, r := range j.routes {
			r.tests.start(weight)
		}
		for _, t := range j.targets {
			t.rest.start(weight)
		}
	}
}

// weight is that of one starting time: half is spread evenly over the planned
// time, half falls off with the square of the epoch.
func (j *Analyzer) weight(epoch int) float64 {
	planned := max(int(j.options.PlannedDuration/epochLength), 1)
	n := float64(epoch + 1)
	weight := 0.5 / (n * (n + 1))
	if epoch < planned {
		weight += 0.5 / float64(planned)
	}
	return weight * math.Exp(-j.handicap)
}

func (j *Analyzer) weightSoFar() float64 {
	sum := 0.0
	for epoch := 0; epoch <= j.epoch; epoch++ {
		sum += j.weight(epoch)
	}
	return sum
}
