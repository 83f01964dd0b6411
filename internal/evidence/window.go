package evidence

import (
	"cmp"
	"time"
)

// stratum is a group of requests that may be compared with each other, as far
// as their concurrency allows.
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

// loadBands is the number of classes of concurrency.
const loadBands = maxLoadBand + 1

// sample is what one version did in one stratum.
type sample struct {
	requests int
	failures int
	first    [sizeBands][BucketCount]int
	token    [BucketCount]int
}

// add adds sign times the counts.
func (s *sample) add(c *Counts, sign int) {
	s.requests += sign * int(c.Requests)
	s.failures += sign * int(c.Failures)
	for band := range c.FirstToken {
		c.FirstToken[band].unpack(&s.first[band], sign)
	}
	c.PerToken.unpack(&s.token, sign)
}

// merge adds other to s.
func (s *sample) merge(other *sample) {
	s.requests += other.requests
	s.failures += other.failures
	for band := range other.first {
		for i, count := range other.first[band] {
			s.first[band][i] += count
		}
	}
	for i, count := range other.token {
		s.token[i] += count
	}
}

// subtract takes other, which is a part of s, out of s.
func (s *sample) subtract(other *sample) {
	s.requests -= other.requests
	s.failures -= other.failures
	for band := range other.first {
		for i, count := range other.first[band] {
			s.first[band][i] -= count
		}
	}
	for i, count := range other.token {
		s.token[i] -= count
	}
}

// window collects one stratum's requests until there are enough of both
// versions. When it closes depends on numbers of requests and on time, never
// on outcomes.
type window struct {
	opened time.Time
	// old holds the old version's requests by concurrency.
	old [loadBands]sample
	// fresh holds the new version's requests by concurrency and target.
	fresh                [loadBands]map[string]*sample
	oldCount, freshCount int
}

func newWindow(now time.Time) *window { return &window{opened: now} }

// add adds a difference of counters.
func (w *window) add(key *Key, isNew bool, before, after *Counts) {
	load := min(int(key.LoadBand), maxLoadBand)
	into := &w.old[load]
	requests := int(after.Requests - before.Requests)
	if isNew {
		into = w.target(load, key.Target)
		w.freshCount += requests
	} else {
		w.oldCount += requests
	}
	into.add(after, 1)
	into.add(before, -1)
}

func (w *window) target(load int, name string) *sample {
	if w.fresh[load] == nil {
		w.fresh[load] = make(map[string]*sample)
	}
	s := w.fresh[load][name]
	if s == nil {
		s = &sample{}
		w.fresh[load][name] = s
	}
	return s
}

// group is one comparison within a window: requests of the new version against
// requests of the old one at the same or higher concurrency. A version that
// does worse with less to do is worse.
type group struct {
	// old is the control, empty when no request of the old version ran at such
	// a concurrency.
	old sample
	// loads are the classes of concurrency of the control.
	loads []int
	// load is the highest class of the new version's requests.
	load    int
	fresh   sample
	targets map[string]*sample
}

// groups splits the window from high to low concurrency; each request of
// either version is in at most one group.
func (w *window) groups() []*group {
	var all []*group
	current := &group{targets: make(map[string]*sample)}
	for load := maxLoadBand; load >= 0; load-- {
		if w.old[load].requests > 0 {
			if current.fresh.requests > 0 {
				all = append(all, current)
				current = &group{targets: make(map[string]*sample)}
			}
			current.old.merge(&w.old[load])
			current.loads = append(current.loads, load)
		}
		for name, s := range w.fresh[load] {
			current.take(load, name, s)
		}
	}
	if current.fresh.requests > 0 {
		all = append(all, current)
	}
	return all
}

func (g *group) take(load int, name string, s *sample) {
	if g.fresh.requests == 0 {
		g.load = load
	}
	g.fresh.merge(s)
	own := g.targets[name]
	if own == nil {
		own = &sample{}
		g.targets[name] = own
	}
	own.merge(s)
}

const (
	// windowRequests closes a window at the next tick.
	windowRequests = 8
	// windowAge closes a window that has both versions but few requests.
	windowAge = 5 * time.Second
	// timesAge is the least age of a window for times.
	timesAge = 10 * time.Second
	// windowLimit ends a window that saw one version only.
	windowLimit = 10 * time.Minute
)

// ready tells whether the window can be compared. Windows for times last
// longer: when the whole pool slows down, the version with less to do finishes
// its first slow requests sooner, and in a short window would look worse.
func (w *window) ready(of metrics, now time.Time) bool {
	if of == times && now.Sub(w.opened) < timesAge {
		return false
	}
	if w.freshCount == 0 || w.oldCount == 0 {
		return false
	}
	return w.freshCount+w.oldCount >= windowRequests || now.Sub(w.opened) >= windowAge
}

// oneSided tells whether the window has waited in vain for the other version.
func (w *window) oneSided(of metrics, now time.Time) bool {
	age := now.Sub(w.opened)
	if of == times && age < timesAge {
		return false
	}
	if w.freshCount == 0 {
		return age >= windowAge
	}
	return w.oldCount == 0 && w.freshCount >= windowRequests && age >= windowAge
}

// reference is a fading picture of the old version in one stratum.
type reference struct {
	requests float64
	failures float64
	first    [sizeBands][BucketCount]float64
	token    [BucketCount]float64
}

// fold fades the picture by keep and adds the sample.
func (r *reference) fold(s *sample, keep float64) {
	r.requests = r.requests*keep + float64(s.requests)
	r.failures = r.failures*keep + float64(s.failures)
	for band := range s.first {
		foldBuckets(&r.first[band], &s.first[band], keep)
	}
	foldBuckets(&r.token, &s.token, keep)
}

func foldBuckets(into *[BucketCount]float64, from *[BucketCount]int, keep float64) {
	for i, count := range from {
		into[i] = into[i]*keep + float64(count)
	}
}

// quantile returns the bucket at which the picture reaches the share q; it
// needs the least weight.
func quantile(buckets *[BucketCount]float64, q, least float64) (int, bool) {
	total := 0.0
	for _, count := range buckets {
		total += count
	}
	if total < least {
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

// add adds the other picture.
func (r *reference) add(other *reference) {
	r.requests += other.requests
	r.failures += other.failures
	for band := range other.first {
		addBuckets(&r.first[band], &other.first[band])
	}
	addBuckets(&r.token, &other.token)
}

func addBuckets(into, from *[BucketCount]float64) {
	for i, count := range from {
		into[i] += count
	}
}

// above returns how many are in buckets over limit, and how many in all.
func above(buckets *[BucketCount]int, limit int) (over, all int) {
	for i, count := range buckets {
		all += count
		if i > limit {
			over += count
		}
	}
	return over, all
}
