package evidence

import (
	"cmp"
	"time"
)

// stratum groups requests that may be compared with each other at similar
// concurrency.
type stratum struct {
	route      string
	domain     string
	generation string
}

func stratumOf(k *Key) stratum { return stratum{k.Route, k.FailureDomain, k.Generation} }

func compareStrata(a, b stratum) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.domain, b.domain),
		cmp.Compare(a.generation, b.generation))
}

// loadBandCount is the number of concurrency bands.
const loadBandCount = maxLoadBand + 1

// sample holds the counts of one version in one stratum.
type sample struct {
	requests   int
	failures   int
	firstToken [sizeBandCount][BucketCount]int
	perToken   [BucketCount]int
	unfinished [BucketCount]int
	// seen is set if there were requests, in whatever state.
	seen bool
}

// add adds the counts, multiplied by sign.
func (s *sample) add(c *Counts, sign int) {
	s.requests += sign * int(c.Requests)
	s.failures += sign * int(c.Failures)
	for band := range c.FirstToken {
		c.FirstToken[band].addTo(&s.firstToken[band], sign)
	}
	c.PerToken.addTo(&s.perToken, sign)
	c.Unfinished.addTo(&s.unfinished, sign)
	s.seen = true
}

// durations returns the times per token, or of whole requests.
func (s *sample) durations() durations { return durations{&s.perToken, &s.unfinished} }

// merge adds the counts of other to s.
func (s *sample) merge(other *sample) {
	s.requests += other.requests
	s.failures += other.failures
	for band := range other.firstToken {
		for i, count := range other.firstToken[band] {
			s.firstToken[band][i] += count
		}
	}
	for i, count := range other.perToken {
		s.perToken[i] += count
	}
	for i, count := range other.unfinished {
		s.unfinished[i] += count
	}
	s.seen = s.seen || other.seen
}

// subtract removes the counts of other, which is part of s.
func (s *sample) subtract(other *sample) {
	s.requests -= other.requests
	s.failures -= other.failures
	for band := range other.firstToken {
		for i, count := range other.firstToken[band] {
			s.firstToken[band][i] -= count
		}
	}
	for i, count := range other.perToken {
		s.perToken[i] -= count
	}
	for i, count := range other.unfinished {
		s.unfinished[i] -= count
	}
}

// window collects the requests of one stratum until there are enough of both
// versions. When it closes depends only on the number of requests and on time,
// never on outcomes.
type window struct {
	opened time.Time
	// oldByLoad holds the old version's requests by concurrency band.
	oldByLoad [loadBandCount]sample
	// newByLoad holds the new version's requests by concurrency band and target.
	newByLoad          [loadBandCount]map[string]*sample
	oldCount, newCount int
}

func newWindow(now time.Time) *window { return &window{opened: now} }

// addDelta adds the difference of two readings of the counters.
func (w *window) addDelta(key *Key, isNew bool, before, after *Counts) {
	load := min(int(key.LoadBand), maxLoadBand)
	dst := &w.oldByLoad[load]
	requests := int(after.started() - before.started())
	if isNew {
		dst = w.targetSample(load, key.Target)
		w.newCount += requests
	} else {
		w.oldCount += requests
	}
	dst.add(after, 1)
	dst.add(before, -1)
}

func (w *window) targetSample(load int, target string) *sample {
	if w.newByLoad[load] == nil {
		w.newByLoad[load] = make(map[string]*sample)
	}
	s := w.newByLoad[load][target]
	if s == nil {
		s = &sample{}
		w.newByLoad[load][target] = s
	}
	return s
}

// comparison pairs requests of the new version with the old version's requests
// of the same window at the same or higher concurrency. A version that does
// worse under less load is worse.
type comparison struct {
	// control holds the old version's requests; it is empty when none ran at such
	// a concurrency.
	control sample
	// controlLoads are the concurrency bands of the control.
	controlLoads []int
	// newLoad is the highest concurrency band of the new version's requests.
	newLoad     int
	newSample   sample
	newByTarget map[string]*sample
}

// comparisons splits the window from high to low concurrency. Each request of
// either version is part of at most one comparison.
func (w *window) comparisons() []*comparison {
	var all []*comparison
	current := &comparison{newByTarget: make(map[string]*sample)}
	for load := maxLoadBand; load >= 0; load-- {
		if w.oldByLoad[load].seen {
			if current.newSample.seen {
				all = append(all, current)
				current = &comparison{newByTarget: make(map[string]*sample)}
			}
			current.control.merge(&w.oldByLoad[load])
			current.controlLoads = append(current.controlLoads, load)
		}
		for name, s := range w.newByLoad[load] {
			current.addNew(load, name, s)
		}
	}
	if current.newSample.seen {
		all = append(all, current)
	}
	return all
}

func (c *comparison) addNew(load int, target string, s *sample) {
	if !c.newSample.seen {
		c.newLoad = load
	}
	c.newSample.merge(s)
	own := c.newByTarget[target]
	if own == nil {
		own = &sample{}
		c.newByTarget[target] = own
	}
	own.merge(s)
}

const (
	// minWindowRequests is the number of requests from which a window closes at
	// the next tick. It is also the minimum weight of a historical reference.
	minWindowRequests = 8
	// maxWindowAge discards a window with none of the old version's requests and
	// too few of the new version's.
	maxWindowAge = 10 * time.Minute
)

// windowAges are the ages at which windows close.
type windowAges struct {
	// sparse closes a window that has both versions but few requests, or only one
	// version.
	sparse time.Duration
	// latency is the minimum age at which a latency window closes.
	latency time.Duration
}

const (
	// maxSparseAge and maxLatencyAge are the ages for long moves.
	maxSparseAge  = 5 * time.Second
	maxLatencyAge = 10 * time.Second
	// minWindowCount is the number of latency windows that a short move is divided
	// into, minSparseCount the number of sparse windows.
	minWindowCount = 30
	minSparseCount = 8
)

// newWindowAges returns the ages for a move of the planned duration, 0 if it is not
// known.
func newWindowAges(planned time.Duration) windowAges {
	if planned <= 0 {
		return windowAges{sparse: maxSparseAge, latency: maxLatencyAge}
	}
	return windowAges{sparse: min(maxSparseAge, planned/minSparseCount), latency: min(maxLatencyAge, planned/minWindowCount)}
}

// ready reports whether both versions can be compared. Latency windows stay open
// longer: when the whole pool slows down, the version under less load completes
// its first slow requests sooner, and would look worse in a short window.
func (w *window) ready(kind windowKind, ages windowAges, now time.Time) bool {
	if kind == latencyWindow && now.Sub(w.opened) < ages.latency {
		return false
	}
	if w.newCount == 0 || w.oldCount == 0 {
		return false
	}
	return w.newCount+w.oldCount >= minWindowRequests || now.Sub(w.opened) >= ages.sparse
}

// oneSided reports whether the window closes with requests of one version only.
func (w *window) oneSided(kind windowKind, ages windowAges, now time.Time) bool {
	age := now.Sub(w.opened)
	if kind == latencyWindow && age < ages.latency {
		return false
	}
	if w.newCount == 0 {
		return age >= ages.sparse
	}
	return w.oldCount == 0 && w.newCount >= minWindowRequests && age >= ages.sparse
}

// reference is an exponentially decayed summary of the old version's requests in
// one stratum and concurrency band.
type reference struct {
	requests   float64
	failures   float64
	firstToken [sizeBandCount][BucketCount]float64
	perToken   [BucketCount]float64
}

// addDecayed multiplies the reference by decay and adds the sample.
func (r *reference) addDecayed(s *sample, decay float64) {
	r.requests = r.requests*decay + float64(s.requests)
	r.failures = r.failures*decay + float64(s.failures)
	for band := range s.firstToken {
		addDecayedBuckets(&r.firstToken[band], &s.firstToken[band], decay)
	}
	addDecayedBuckets(&r.perToken, &s.perToken, decay)
}

func addDecayedBuckets(dst *[BucketCount]float64, src *[BucketCount]int, decay float64) {
	for i, count := range src {
		dst[i] = dst[i]*decay + float64(count)
	}
}

// quantile returns the bucket that holds the quantile q. It is false when the
// total weight is below minWeight.
func quantile(buckets *[BucketCount]float64, q, minWeight float64) (int, bool) {
	total := 0.0
	for _, count := range buckets {
		total += count
	}
	if total < minWeight {
		return 0, false
	}
	sum := 0.0
	for i, count := range buckets {
		sum += count
		if sum >= q*total {
			return i, true
		}
	}
	return BucketCount - 1, true
}

// add adds the counts of other.
func (r *reference) add(other *reference) {
	r.requests += other.requests
	r.failures += other.failures
	for band := range other.firstToken {
		addBuckets(&r.firstToken[band], &other.firstToken[band])
	}
	addBuckets(&r.perToken, &other.perToken)
}

func addBuckets(dst, src *[BucketCount]float64) {
	for i, count := range src {
		dst[i] += count
	}
}

// countAbove returns the number of requests in buckets above limit, and in all.
func countAbove(buckets *[BucketCount]int, limit int) (over, all int) {
	for i, count := range buckets {
		all += count
		if i > limit {
			over += count
		}
	}
	return over, all
}
