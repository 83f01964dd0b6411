package schedule

import (
	"time"
)

// # Load
//
// A burst of some seconds refuses hundreds of callers, who all come back: at the same time,
// into the next burst, or before the queue has drained, they are refused again.
const (
	// minRetryAfter is about the length of a burst. maxRetryAfterShare limits the advice to a
	// part of the caller's remaining time, since callers wait no longer than that.
	minRetryAfter      = 3000 * time.Millisecond
	maxRetryAfterShare = 0.3
	// shortReturnShare is the part of the longest advice before which callers do not return
	// for whom minRetryAfter is too long.
	shortReturnShare = 0.7
	// returnBucket is the time over which returns are counted together.
	returnBucket = 200 * time.Millisecond
	// returnBuckets bounds the time for which returns are counted.
	returnBuckets = 64
	// returnEarly and returnLate are how much before and after the advised time a caller
	// counts as returning: connections and other instances take time.
	returnEarly = 300 * time.Millisecond
	returnLate  = 2 * time.Second
	// maxPromises bounds the callers that are remembered.
	maxPromises = 2048
	// minReturnRoom is the part of the slots that become free that returning callers get
	// at least, also while new requests need more than there are.
	minReturnRoom = 0.1
	// arrivalWindow is the time constant of the usual rate of arrivals, several bursts long.
	arrivalWindow = 15 * time.Second
)

// promises counts who was told to come back, and when.
type promises struct {
	// due holds the advised time by the content of the request.
	due map[uint64]time.Time
	// counts is the number of advised returns in each bucket of a ring, buckets the index
	// since origin that a count belongs to.
	counts  [returnBuckets]int
	buckets [returnBuckets]int64
	// origin is the time of the first advice.
	origin time.Time
}

func (p *promises) bucketOf(at time.Time) int64 { return int64(at.Sub(p.origin) / returnBucket) }

func (p *promises) count(bucket int64) *int {
	i := bucket % returnBuckets
	if p.buckets[i] != bucket {
		p.buckets[i], p.counts[i] = bucket, 0
	}
	return &p.counts[i]
}

// advise returns when a caller should come back: in the first bucket from the earliest time
// on that has room for one more return, or the one with the fewest returns until the latest
// time. room is the number of returns that there is room for in a bucket; jitter is uniform
// in [0, 1).
func (p *promises) advise(fingerprint uint64, earliest, latest time.Time, room, jitter float64, now time.Time) time.Time {
	if p.origin.IsZero() {
		p.origin = now
	}
	if latest.Before(now) {
		latest = now
	}
	if !latest.After(earliest) {
		// Callers with little time return in the last part of what they wait for.
		earliest = now.Add(time.Duration(shortReturnShare * float64(latest.Sub(now))))
	}
	best := p.bucketOf(earliest)
	for bucket := best; bucket <= min(p.bucketOf(latest), best+returnBuckets-1); bucket++ {
		if float64(*p.count(bucket)) < room {
			best = bucket
			break
		}
		if *p.count(bucket) < *p.count(best) {
			best = bucket
		}
	}
	*p.count(best)++
	at := p.origin.Add(time.Duration(best) * returnBucket).Add(time.Duration(jitter * float64(returnBucket)))
	if at.Before(earliest) {
		at = earliest
	}
	if at.After(latest) {
		at = latest
	}
	p.remember(fingerprint, at, now)
	return at
}

func (p *promises) remember(fingerprint uint64, at, now time.Time) {
	if fingerprint == 0 {
		return
	}
	if p.due == nil {
		p.due = make(map[uint64]time.Time)
	}
	if len(p.due) >= maxPromises {
		for known, due := range p.due {
			if now.After(due.Add(returnLate)) {
				delete(p.due, known)
			}
		}
	}
	if _, known := p.due[fingerprint]; known || len(p.due) < maxPromises {
		p.due[fingerprint] = at
	}
}

// withdraw takes an advice back that no caller was given.
func (p *promises) withdraw(fingerprint uint64, at time.Time) {
	delete(p.due, fingerprint)
	if count := p.count(p.bucketOf(at)); *count > 0 {
		*count--
	}
}

// redeem reports whether the caller of a request was told to come back about now, and
// forgets it.
func (p *promises) redeem(fingerprint uint64, now time.Time) bool {
	due, ok := p.due[fingerprint]
	if !ok {
		return false
	}
	delete(p.due, fingerprint)
	return !now.Before(due.Add(-returnEarly)) && !now.After(due.Add(returnLate))
}

// returnRoom returns how many callers may come back in a bucket: the slots that become free
// beyond those that the usual arrivals need.
func (sv *service) returnRoom(now time.Time) float64 {
	interval := sv.slotInterval(now)
	if interval == 0 {
		return 1
	}
	free := returnBucket.Seconds() / interval.Seconds()
	usual := sv.arrivals.get(now, arrivalWindow) / arrivalWindow.Seconds() * returnBucket.Seconds()
	return max(minReturnRoom*free, free-usual)
}

// retryAfter advises a refused caller when to come back, and keeps count of it.
func (s *Scheduler) retryAfter(sv *service, r *Request, expectedWait time.Duration, now time.Time) time.Duration {
	latest := now.Add(time.Duration(maxRetryAfterShare * float64(r.Deadline.Sub(now))))
	earliest := now.Add(max(expectedWait, minRetryAfter))
	at := sv.promises.advise(r.Fingerprint, earliest, latest, sv.returnRoom(now), s.random.Float64(), now)
	return max(0, at.Sub(now))
}
