package evidence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// exceedingAt returns how many requests of the records are known to have taken
// longer than a duration, and how many are known to have or not.
func exceedingAt(records []Record, limit time.Duration) (over, all int) {
	var s sample
	for i := range records {
		s.add(&records[i].Counts, 1)
	}
	return s.durations().exceeding(durationBucket(limit))
}

// A request without a response was not counted, so that a version that answered
// nobody in time seemed to have no requests.
func TestRequestWithoutResponseIsKnownToHaveTakenItsTime(t *testing.T) {
	const limit = time.Second
	var s CounterSet
	now := startTime
	key := Key{Version: "v2", Route: "r"}
	answered, givenUp, soon := s.Start(key, 1, now), s.Start(key, 1, now), s.Start(key, 1, now)
	s.Start(key, 1, now)
	soon.End(GivenUp, now.Add(limit/10))
	over, all := exceedingAt(s.Snapshot(now.Add(limit/2)), limit)
	assert.Equal(t, over, 0)
	assert.Equal(t, all, 0, "nothing is known yet")
	now = now.Add(2 * limit)
	over, _ = exceedingAt(s.Snapshot(now), limit)
	assert.Equal(t, over, 3, "in flight")
	answered.End(Answered, now)
	givenUp.End(GivenUp, now)
	_, first := givenUp.End(Answered, now)
	assert.Assert(t, !first)
	over, all = exceedingAt(s.Snapshot(now.Add(limit)), limit)
	assert.Equal(t, over, 3)
	assert.Equal(t, all, 3, "one that was given up soon tells nothing")
	counts := s.Snapshot(now)[0].Counts
	assert.Equal(t, counts.started(), uint32(4))
	assert.Equal(t, counts.Requests, uint32(1))
}

// The differences of two readings are added to the windows: what is known of
// requests must only grow.
func TestWhatIsKnownOfRequestsOnlyGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s CounterSet
		now := startTime
		limits := []time.Duration{50 * time.Millisecond, time.Second, 7 * time.Second}
		before := make([][2]int, len(limits))
		started := uint32(0)
		var running []*Attempt
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "start") || len(running) == 0 {
				running = append(running, s.Start(Key{Version: "v2"}, 1, now))
				started++
			} else {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
				running[i].End(Ending(rapid.IntRange(0, 2).Draw(t, "ending")), now)
			}
			records := s.Snapshot(now)
			assert.Equal(t, records[0].Counts.started(), started)
			for i, limit := range limits {
				over, all := exceedingAt(records, limit)
				assert.Assert(t, over >= before[i][0] && all-over >= before[i][1]-before[i][0], "%v", limit)
				before[i] = [2]int{over, all}
			}
		}
	})
}
