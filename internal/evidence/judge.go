package evidence

import (
	"math"
	"time"
)

// Options say what a Judge compares.
type Options struct {
	// Old and New are the versions.
	Old, New string
	// Alpha is the probability that a version no worse than the old one is
	// ever found bad by this judge.
	Alpha float64
	// Planned is the time for which badness is watched for; later badness
	// needs a little more evidence.
	Planned time.Duration
	// NoControl compares the new version with the old one's past in place of
	// the same window. It serves measurements only.
	NoControl bool
}

// EntryID names one process that reports.
type EntryID struct {
	Name        string
	Incarnation uint64
}

// Judge weighs counters of any number of entries. It is not safe for use by
// several goroutines at once.
type Judge struct {
	options Options
	// last holds the last counters of each entry.
	last    map[EntryID]map[Key]Counts
	windows map[stratum]*window
	// recent and long are pictures of the old version, fading fast and slowly.
	recent map[stratum]*reference
	long   map[stratum]*reference

	pooled  tests
	routes  map[string]*routeTests
	targets map[string]*targetTests
	// lone is evidence without a control in the same window.
	lone    tests
	crashes *crashTest
	// excluded are targets found to fail alone.
	excluded map[string]bool

	started   time.Time
	epoch     int
	handicap  float64
	oldSound  time.Time
	oldWorse  time.Time
	loneSince time.Time
	totals    Totals
	busy      meter
}

type routeTests struct {
	tests  tests
	weight float64
}

type targetTests struct {
	tests    tests
	served   int
	lastSeen time.Time
}

// Totals are numbers of requests that a judge has seen.
type Totals struct {
	OldRequests int `json:"old_requests"`
	OldFailures int `json:"old_failures"`
	NewRequests int `json:"new_requests"`
	NewFailures int `json:"new_failures"`
	NewCrashes  int `json:"new_crashes"`
}

// NewJudge returns a judge that has seen nothing.
func NewJudge(options Options, now time.Time) *Judge {
	j := &Judge{
		options: options, started: now,
		last:     make(map[EntryID]map[Key]Counts),
		windows:  make(map[stratum]*window),
		recent:   make(map[stratum]*reference),
		long:     make(map[stratum]*reference),
		excluded: make(map[string]bool),
	}
	j.reset()
	return j
}

// reset starts all tests again.
func (j *Judge) reset() {
	j.pooled, j.lone = tests{}, tests{}
	j.routes = make(map[string]*routeTests)
	j.targets = make(map[string]*targetTests)
	j.crashes = newCrashTest()
	j.pooled.start(j.weightSoFar())
	j.lone.start(j.weightSoFar())
}

// Take counts what an entry did since its last report. The first report of an
// entry only sets its baseline: what it did before may span several shares.
func (j *Judge) Take(entry EntryID, records []Record, now time.Time) {
	known, heard := j.last[entry]
	if !heard {
		known = make(map[Key]Counts, len(records))
		j.last[entry] = known
	}
	for i := range records {
		r := &records[i]
		before := known[r.Key]
		if r.Counts.Requests < before.Requests || r.Counts.Broken < before.Broken {
			continue
		}
		known[r.Key] = r.Counts
		if heard {
			j.count(&r.Key, &before, &r.Counts, now)
		}
	}
}

// Begin sets the baseline of an entry that has counted nothing yet, so that
// its first report counts in full.
func (j *Judge) Begin(entry EntryID) {
	if _, heard := j.last[entry]; !heard {
		j.last[entry] = make(map[Key]Counts)
	}
}

func (j *Judge) count(key *Key, before, after *Counts, now time.Time) {
	isNew := key.Version == j.options.New
	if !isNew && key.Version != j.options.Old {
		return
	}
	j.busy.add(after.Busy - before.Busy)
	if j.excluded[key.Target] {
		return
	}
	if after.Broken > before.Broken {
		j.crashes.crash(key.FailureDomain, isNew, now)
	}
	if after.Requests == before.Requests {
		return
	}
	w := j.window(stratumOf(key), now)
	into := &w.old
	if isNew {
		into = w.target(key.Target)
		j.seen(key.Target, int(after.Requests-before.Requests), now)
	}
	into.add(after, 1)
	into.add(before, -1)
	j.tally(isNew, before, after)
}

func (j *Judge) tally(isNew bool, before, after *Counts) {
	requests, failures := int(after.Requests-before.Requests), int(after.Failures-before.Failures)
	if isNew {
		j.totals.NewRequests += requests
		j.totals.NewFailures += failures
		return
	}
	j.totals.OldRequests += requests
	j.totals.OldFailures += failures
}

func (j *Judge) window(s stratum, now time.Time) *window {
	w := j.windows[s]
	if w == nil {
		w = newWindow(now)
		j.windows[s] = w
	}
	return w
}

func (j *Judge) seen(target string, requests int, now time.Time) {
	t := j.targets[target]
	if t == nil {
		t = &targetTests{}
		t.tests.start(j.weightSoFar())
		j.targets[target] = t
	}
	t.served += requests
	t.lastSeen = now
}

// Flush drops unfinished windows; call it when the share changes, since a
// window must not span two shares.
func (j *Judge) Flush() { j.windows = make(map[stratum]*window) }

const (
	// recentKeep and longKeep are the weights that pictures of the old version
	// keep for each further window.
	recentKeep = 0.8
	longKeep   = 0.995
)

// Tick closes windows and updates the tests.
func (j *Judge) Tick(now time.Time) {
	j.restart(now)
	for s, w := range j.windows {
		switch {
		case w.ready(now):
			j.close(s, w, now)
		case w.lonely(now):
			j.closeLonely(s, w, now)
		case w.freshRequests() == 0 && now.Sub(w.opened) >= windowAge:
			j.learn(s, &w.old, now)
		case now.Sub(w.opened) < windowLimit:
			continue
		}
		delete(j.windows, s)
	}
	j.crashes.tick(j.serving(now), now)
	j.busy.tick(now)
	j.exclude(now)
	j.watchLone(now)
}

func (j *Judge) close(s stratum, w *window, now time.Time) {
	fresh := w.fresh()
	if j.options.NoControl {
		j.step(s.route, compare(fresh, sampleOf(j.reference(j.long, s)), j.reference(j.long, s)))
		j.learn(s, &w.old, now)
		return
	}
	ref := j.reference(j.recent, s)
	j.step(s.route, compare(fresh, &w.old, ref))
	for name, own := range w.targets {
		inc := compare(own, &w.old, ref)
		j.targets[name].tests.step(&inc)
	}
	j.learn(s, &w.old, now)
}

func (j *Judge) step(route string, inc increment) {
	j.pooled.step(&inc)
	r := j.routes[route]
	if r == nil {
		n := float64(len(j.routes) + 1)
		r = &routeTests{weight: 1 / (n * (n + 1))}
		r.tests.start(j.weightSoFar())
		j.routes[route] = r
	}
	r.tests.step(&inc)
}

// closeLonely compares the new version with the old one's past, when the old
// version is known to do well elsewhere at the moment.
func (j *Judge) closeLonely(s stratum, w *window, now time.Time) {
	if now.Sub(j.oldSound) > soundFor || now.Sub(j.oldWorse) < soundFor {
		return
	}
	ref := j.past(s)
	if ref == nil {
		return
	}
	inc := compare(w.fresh(), sampleOf(ref), ref)
	j.lone.step(&inc)
}

// past returns the old version's long picture of a stratum, or of the same
// route and load in another failure domain.
func (j *Judge) past(s stratum) *reference {
	if ref := j.long[s]; ref != nil && ref.requests >= windowRequests {
		return ref
	}
	var best *reference
	for other, ref := range j.long {
		same := other.route == s.route && other.load == s.load && other.generation == s.generation
		if same && ref.requests >= windowRequests && (best == nil || ref.requests > best.requests) {
			best = ref
		}
	}
	return best
}

// soundFor is how long a look at the old version stays current.
const soundFor = 30 * time.Second

// learn adds the old version's requests to the pictures of its past.
func (j *Judge) learn(s stratum, old *sample, now time.Time) {
	long := j.reference(j.long, s)
	if degraded(old, long) {
		j.oldWorse = now
	} else if old.requests > 0 {
		j.oldSound = now
	}
	j.reference(j.recent, s).fold(old, recentKeep)
	long.fold(old, longKeep)
}

func (j *Judge) reference(of map[stratum]*reference, s stratum) *reference {
	r := of[s]
	if r == nil {
		r = &reference{}
		of[s] = r
	}
	return r
}

// epochLength is the spacing of the starting times of the tests.
const epochLength = 30 * time.Second

// restart gives the tests their next starting times.
func (j *Judge) restart(now time.Time) {
	for j.started.Add(time.Duration(j.epoch+1) * epochLength).Before(now) {
		j.epoch++
		weight := j.weight(j.epoch)
		j.pooled.start(weight)
		j.lone.start(weight)
		for _, r := range j.routes {
			r.tests.start(weight)
		}
		for _, t := range j.targets {
			t.tests.start(weight)
		}
	}
}

// weight is that of one starting time: half is spread evenly over the planned
// time, half falls off with the square of the epoch.
func (j *Judge) weight(epoch int) float64 {
	planned := max(int(j.options.Planned/epochLength), 1)
	n := float64(epoch + 1)
	weight := 0.5 / (n * (n + 1))
	if epoch < planned {
		weight += 0.5 / float64(planned)
	}
	return weight * math.Exp(-j.handicap)
}

func (j *Judge) weightSoFar() float64 {
	sum := 0.0
	for epoch := 0; epoch <= j.epoch; epoch++ {
		sum += j.weight(epoch)
	}
	return sum
}
