package evidence

import "time"

// stratum is a group of requests that may be compared with each other.
type stratum struct {
	route      string
	domain     string
	generation string
	load       uint8
}

func stratumOf(k *Key) stratum {
	return stratum{k.Route, k.FailureDomain, k.Generation, k.Load}
}

// sample is what one version did in one stratum.
type sample struct {
	requests int
	failures int
	first    [sizeBands][Buckets]int
	token    [Buckets]int
}

// add adds sign times the counts.
func (s *sample) add(c *Counts, sign int) {
	s.requests += sign * int(c.Requests)
	s.failures += sign * int(c.Failures)
	for band := range c.First {
		c.First[band].unpack(&s.first[band], sign)
	}
	c.Token.unpack(&s.token, sign)
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

// window collects one stratum's requests until there are enough of both
// versions. When it closes depends on numbers of requests and on time, never
// on outcomes.
type window struct {
	opened time.Time
	old    sample
	// targets holds the new version's requests by target.
	targets map[string]*sample
}

func newWindow(now time.Time) *window {
	return &window{opened: now, targets: make(map[string]*sample)}
}

func (w *window) target(name string) *sample {
	s := w.targets[name]
	if s == nil {
		s = &sample{}
		w.targets[name] = s
	}
	return s
}

// fresh returns the sum over the new version's targets.
func (w *window) fresh() *sample {
	var sum sample
	for _, s := range w.targets {
		sum.merge(s)
	}
	return &sum
}

func (w *window) freshRequests() int {
	sum := 0
	for _, s := range w.targets {
		sum += s.requests
	}
	return sum
}

const (
	// windowRequests closes a window at the next tick.
	windowRequests = 8
	// windowAge closes a window that has both versions but few requests.
	windowAge = 5 * time.Second
	// windowLimit ends a window that saw one version only.
	windowLimit = 10 * time.Minute
)

// ready tells whether the window can be compared.
func (w *window) ready(now time.Time) bool {
	fresh := w.freshRequests()
	if fresh == 0 || w.old.requests == 0 {
		return false
	}
	return fresh+w.old.requests >= windowRequests || now.Sub(w.opened) >= windowAge
}

// lonely tells whether the new version has requests and the old has none.
func (w *window) lonely(now time.Time) bool {
	return w.old.requests == 0 && w.freshRequests() >= windowRequests && now.Sub(w.opened) >= windowAge
}

// reference is a fading picture of the old version in one stratum.
type reference struct {
	requests float64
	failures float64
	first    [sizeBands][Buckets]float64
	token    [Buckets]float64
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

func foldBuckets(into *[Buckets]float64, from *[Buckets]int, keep float64) {
	for i, count := range from {
		into[i] = into[i]*keep + float64(count)
	}
}

// quantile returns the bucket at which the picture reaches the share q.
func quantile(buckets *[Buckets]float64, q float64) (int, bool) {
	total := 0.0
	for _, count := range buckets {
		total += count
	}
	if total < minReference {
		return 0, false
	}
	sum := 0.0
	for i, count := range buckets {
		sum += count
		if sum >= q*total {
			return i, true
		}
	}
	return Buckets - 1, true
}

// minReference is the least weight of a usable reference, in requests.
const minReference = 3

// above returns how many are in buckets over limit, and how many in all.
func above(buckets *[Buckets]int, limit int) (over, all int) {
	for i, count := range buckets {
		all += count
		if i > limit {
			over += count
		}
	}
	return over, all
}
