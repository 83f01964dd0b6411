package reporter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

func storedEvent(seq uint64, block string) cacheEventJSON {
	return cacheEventJSON{Seq: seq, Op: opStored, Block: block}
}

func TestCursorReportsGaps(t *testing.T) {
	one := routing.CacheEvent{Op: routing.CacheStored, Block: 1}
	gap := func(lost int) routing.CacheEvent { return routing.CacheEvent{Op: routing.CacheGap, Lost: lost} }
	for name, c := range map[string]struct {
		cursor   eventCursor
		response cacheEventsResponse
		want     []routing.CacheEvent
		since    uint64
	}{
		"the first event may have any number": {
			response: cacheEventsResponse{Next: 9, Events: []cacheEventJSON{storedEvent(9, "01")}},
			want:     []routing.CacheEvent{one}, since: 9,
		},
		"missing numbers between responses": {
			cursor:   eventCursor{since: 4, lastSeq: 4, hasLastSeq: true},
			response: cacheEventsResponse{Next: 8, Events: []cacheEventJSON{storedEvent(8, "01")}},
			want:     []routing.CacheEvent{gap(3), one}, since: 8,
		},
		"missing numbers within a response": {
			cursor:   eventCursor{since: 4, lastSeq: 4, hasLastSeq: true},
			response: cacheEventsResponse{Next: 7, Events: []cacheEventJSON{storedEvent(5, "01"), storedEvent(7, "01")}},
			want:     []routing.CacheEvent{one, gap(1), one}, since: 7,
		},
		"a repeated event": {
			cursor:   eventCursor{since: 4, lastSeq: 4, hasLastSeq: true},
			response: cacheEventsResponse{Next: 5, Events: []cacheEventJSON{storedEvent(4, "02"), storedEvent(5, "01")}},
			want:     []routing.CacheEvent{one}, since: 5,
		},
		"a malformed hash": {
			cursor:   eventCursor{since: 4, lastSeq: 4, hasLastSeq: true},
			response: cacheEventsResponse{Next: 6, Events: []cacheEventJSON{storedEvent(5, "xyz"), storedEvent(6, "01")}},
			want:     []routing.CacheEvent{gap(1), one}, since: 6,
		},
		"an unknown operation": {
			cursor:   eventCursor{since: 4, lastSeq: 4, hasLastSeq: true},
			response: cacheEventsResponse{Next: 5, Events: []cacheEventJSON{{Seq: 5, Op: "moved", Block: "01"}}},
			want:     []routing.CacheEvent{gap(1)}, since: 5,
		},
		"numbering that restarts": {
			cursor:   eventCursor{since: 4, lastSeq: 4, hasLastSeq: true},
			response: cacheEventsResponse{Next: 1, Events: []cacheEventJSON{storedEvent(1, "01")}},
			want:     []routing.CacheEvent{gap(0)}, since: 0,
		},
		"a target that may have lost its cache": {
			cursor:   eventCursor{since: 4, lastSeq: 4, hasLastSeq: true, cacheMayBeLost: true},
			response: cacheEventsResponse{Next: 5, Events: []cacheEventJSON{storedEvent(5, "01")}},
			want:     []routing.CacheEvent{gap(0), one}, since: 5,
		},
		"a next below the last event": {
			response: cacheEventsResponse{Next: 0, Events: []cacheEventJSON{storedEvent(3, "01")}},
			want:     []routing.CacheEvent{one}, since: 3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := c.cursor.advance(&c.response)

			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, c.cursor.since, c.since)
		})
	}
}

// Timestamps of targets whose clocks are ahead, behind, stuck or set must not
// give ages that are negative or hours too high.
func TestAgeEstimateToleratesClockErrors(t *testing.T) {
	type step struct{ requestedAt, measuredAt, wantAge time.Duration }
	for name, steps := range map[string][]step{
		"clocks agree":             {{time.Hour, time.Hour - 300*time.Millisecond, 300 * time.Millisecond}},
		"clock ahead":              {{time.Hour, 2 * time.Hour, 0}},
		"clock ahead, then stuck":  {{time.Hour, 2 * time.Hour, 0}, {time.Hour + time.Second, 2 * time.Hour, time.Second}},
		"clock behind by hours":    {{3 * time.Hour, time.Hour, 0}},
		"clock behind, then stuck": {{3 * time.Hour, time.Hour, 0}, {3*time.Hour + 2*time.Second, time.Hour, 2 * time.Second}},
		"clock set back":           {{time.Hour, 2 * time.Hour, 0}, {time.Hour + time.Second, time.Minute, 0}},
		"clock set forward":        {{3 * time.Hour, time.Hour, 0}, {3*time.Hour + time.Second, 4 * time.Hour, 0}},
		"timestamp out of range":   {{time.Hour, 1<<63 - 1, 0}, {time.Hour, -1 << 63, 0}},
		"clocks agree, then stuck": {{time.Hour, time.Hour, 0}, {time.Hour + time.Minute, time.Hour, time.Minute}},
	} {
		t.Run(name, func(t *testing.T) {
			var estimator ageEstimator
			start := time.UnixMilli(0)
			for _, s := range steps {
				requestedAt := start.Add(s.requestedAt)
				got := estimator.measuredAt(requestedAt, s.measuredAt.Milliseconds())
				assert.Equal(t, requestedAt.Sub(got), s.wantAge)
			}
		})
	}
}
