package schedule

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

func rateLimit(perSecond float64) Terms { return Terms{HasRateLimit: true, RateLimit: perSecond} }

// stateTerms records terms as if a response stated them now.
func stateTerms(s *Scheduler, id string, terms Terms) {
	now := s.clock.Now()
	s.RecordTerms(catalog.TargetKey{ID: id}, HeardTerms{Terms: terms, At: now}, now)
}

// admittedIn returns how many requests a limiter admits if one more is taken
// whenever it admits any.
func admittedIn(l *rateLimiter, from time.Time, duration time.Duration) int {
	taken := 0
	for now := from; now.Before(from.Add(duration)); now = now.Add(time.Millisecond) {
		for l.admitted(now) > 0 {
			l.take(now)
			taken++
		}
	}
	return taken
}

func TestRateLimiterAdmitsTheLimit(t *testing.T) {
	const window = 20 * time.Second
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		limit, share float64
		least, most  int
	}{
		{limit: 2.3, share: 1, least: 45, most: 47},
		{limit: 7.5, share: 1, least: 149, most: 152},
		{limit: 0.5, share: 1, least: 9, most: 11},
		{limit: 0, share: 1, least: 3, most: 5},
		{limit: 200, share: 1, least: 3980, most: 4025},
		{limit: 7, share: 0.1, least: 13, most: 15},
		{limit: 0, share: 0.1, least: 0, most: 1},
	} {
		l := rateLimiter{}
		l.setTerms(rateLimit(tc.limit), tc.share, start)
		got := admittedIn(&l, start, window)
		assert.Check(t, got >= tc.least && got <= tc.most, "limit %v, share %v: %d admitted", tc.limit, tc.share, got)
	}
	l := rateLimiter{}
	l.setTerms(rateLimit(1e300), 1, start)
	assert.Check(t, l.admitted(start.Add(time.Second)) > 1000)
	l.setTerms(Terms{}, 1, start)
	assert.Check(t, l.admitted(start) > 1000)
}

// A target whose limit is used up must not hold back requests that others can take.
func TestRequestsDoNotWaitForARateLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock, newEngine("limited", 10), newEngine("other", 10))
	stateTerms(s, "limited", rateLimit(0.5))
	for range 10 {
		assert.Equal(t, acquire(t, s, newRequest(clock, 0, 100)).Target.ID, "other")
	}
}

// No event of a request tells when the limit admits the next one.
func TestQueuedRequestStartsWhenTheRateLimitAdmitsIt(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock, newEngine("limited", 10))
	stateTerms(s, "limited", rateLimit(4))
	entry := enqueue(t, s, newRequest(clock, 0, 100))
	assert.Assert(t, !started(entry))
	clock.Advance(250 * time.Millisecond)
	select {
	case <-entry.granted:
	case <-time.After(20 * time.Second):
		t.Fatal("not started")
	}
}

func TestExpectedWaitFollowsTheRateLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock, newEngine("limited", 10))
	stateTerms(s, "limited", rateLimit(2))
	enqueue(t, s, newRequest(clock, 0, 100))
	enqueue(t, s, newRequest(clock, 0, 100))
	_, _, err := s.submit(newRequest(clock, 0, 100))
	refused, ok := err.(*RefusedError)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, refused.ExpectedWait, time.Second)
	assert.Equal(t, refused.Terms, "limited takes 2 requests a second, stated 0 ms ago")
}

// A response of an earlier request may arrive after the one that names the limit.
func TestOnlyLaterRequestsTellTheEndOfARateLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock, newEngine("limited", 10))
	key := catalog.TargetKey{ID: "limited"}
	early := acquire(t, s, newRequest(clock, 0, 100))
	clock.Advance(time.Second)
	stateTerms(s, "limited", rateLimit(2))
	clock.Advance(time.Second)
	early.TermsStated(Terms{})
	assert.Equal(t, s.Terms(key).Terms, rateLimit(2))
	late := acquire(t, s, newRequest(clock, 0, 100))
	late.TermsStated(Terms{})
	assert.Equal(t, s.Terms(key).Terms, Terms{})
	// An instance that has heard nothing since repeats what it knows.
	_, changed := s.RecordTerms(key, HeardTerms{Terms: rateLimit(2), At: clock.Now().Add(-time.Second), By: "10.0.0.1:1"}, clock.Now())
	assert.Assert(t, !changed)
}

func TestRateLimitEndsWithItsIncarnation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	engine := newEngine("limited", 10)
	s := newScheduler(clock, engine)
	stateTerms(s, "limited", rateLimit(0))
	// The entry may be missing for a moment.
	s.SetTargets(nil)
	s.SetTargets([]*catalog.Target{engine})
	assert.Equal(t, s.Terms(engine.Key()).Terms, rateLimit(0))
	restarted := *engine
	restarted.Born = 7
	s.SetTargets([]*catalog.Target{&restarted})
	assert.Equal(t, acquire(t, s, newRequest(clock, 0, 100)).Target.Born, int64(7))
	clock.Advance(unlistedTermsTime)
	s.SetTargets([]*catalog.Target{&restarted})
	assert.Equal(t, len(s.targets), 1)
}

// Requests that have been assigned to a version go to another one rather than wait
// for its limits; those that must avoid a version do not go there.
func TestRateLimitOfAVersionDoesNotHoldBackItsShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	newer := newEngine("newer", 10)
	newer.Version = "v2"
	s := newScheduler(clock, newer, newEngine("older", 10))
	stateTerms(s, "newer", rateLimit(0))
	r := newRequest(clock, 0, 100)
	r.Version = "v2"
	assert.Equal(t, acquire(t, s, r).Target.ID, "older")
	stateTerms(s, "older", rateLimit(0))
	clock.Advance(time.Millisecond)
	stateTerms(s, "newer", Terms{})
	r = newRequest(clock, 0, 100)
	r.ExcludedVersion = "v2"
	enqueue(t, s, r)
}
