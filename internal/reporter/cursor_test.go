package reporter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

func stored(seq uint64, block string) eventBody {
	return eventBody{Seq: seq, Op: opStored, Block: block}
}

func TestCursorFindsGaps(t *testing.T) {
	one := routing.CacheEvent{Op: routing.CacheStored, Block: 1}
	gap := func(lost int) routing.CacheEvent { return routing.CacheEvent{Op: routing.CacheGap, Lost: lost} }
	for name, c := range map[string]struct {
		cursor cursor
		body   eventsBody
		want   []routing.CacheEvent
		ask    uint64
	}{
		"the first event begins anywhere": {
			body: eventsBody{Next: 9, Events: []eventBody{stored(9, "01")}},
			want: []routing.CacheEvent{one}, ask: 9,
		},
		"a jump between answers": {
			cursor: cursor{ask: 4, seen: 4, begun: true},
			body:   eventsBody{Next: 8, Events: []eventBody{stored(8, "01")}},
			want:   []routing.CacheEvent{gap(3), one}, ask: 8,
		},
		"a jump within an answer": {
			cursor: cursor{ask: 4, seen: 4, begun: true},
			body:   eventsBody{Next: 7, Events: []eventBody{stored(5, "01"), stored(7, "01")}},
			want:   []routing.CacheEvent{one, gap(1), one}, ask: 7,
		},
		"a repeated event": {
			cursor: cursor{ask: 4, seen: 4, begun: true},
			body:   eventsBody{Next: 5, Events: []eventBody{stored(4, "02"), stored(5, "01")}},
			want:   []routing.CacheEvent{one}, ask: 5,
		},
		"a hash that is none": {
			cursor: cursor{ask: 4, seen: 4, begun: true},
			body:   eventsBody{Next: 6, Events: []eventBody{stored(5, "xyz"), stored(6, "01")}},
			want:   []routing.CacheEvent{gap(1), one}, ask: 6,
		},
		"an operation that is none": {
			cursor: cursor{ask: 4, seen: 4, begun: true},
			body:   eventsBody{Next: 5, Events: []eventBody{{Seq: 5, Op: "moved", Block: "01"}}},
			want:   []routing.CacheEvent{gap(1)}, ask: 5,
		},
		"numbers that start again": {
			cursor: cursor{ask: 4, seen: 4, begun: true},
			body:   eventsBody{Next: 1, Events: []eventBody{stored(1, "01")}},
			want:   []routing.CacheEvent{gap(0)}, ask: 0,
		},
		"a target that may have lost its cache": {
			cursor: cursor{ask: 4, seen: 4, begun: true, doubt: true},
			body:   eventsBody{Next: 5, Events: []eventBody{stored(5, "01")}},
			want:   []routing.CacheEvent{gap(0), one}, ask: 5,
		},
		"a next below the last event": {
			body: eventsBody{Next: 0, Events: []eventBody{stored(3, "01")}},
			want: []routing.CacheEvent{one}, ask: 3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := c.cursor.take(&c.body)

			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, c.cursor.ask, c.ask)
		})
	}
}

func TestAgeDoesNotTrustTheClock(t *testing.T) {
	type report struct{ sent, at, age time.Duration }
	for name, reports := range map[string][]report{
		"clocks that agree":       {{time.Hour, time.Hour - 300*time.Millisecond, 300 * time.Millisecond}},
		"ahead":                   {{time.Hour, 2 * time.Hour, 0}},
		"ahead, then standing":    {{time.Hour, 2 * time.Hour, 0}, {time.Hour + time.Second, 2 * time.Hour, time.Second}},
		"behind by hours":         {{3 * time.Hour, time.Hour, 0}},
		"behind, then standing":   {{3 * time.Hour, time.Hour, 0}, {3*time.Hour + 2*time.Second, time.Hour, 2 * time.Second}},
		"set back":                {{time.Hour, 2 * time.Hour, 0}, {time.Hour + time.Second, time.Minute, 0}},
		"set forward":             {{3 * time.Hour, time.Hour, 0}, {3*time.Hour + time.Second, 4 * time.Hour, 0}},
		"a number out of reason":  {{time.Hour, 1<<63 - 1, 0}, {time.Hour, -1 << 63, 0}},
		"agreeing, then standing": {{time.Hour, time.Hour, 0}, {time.Hour + time.Minute, time.Hour, time.Minute}},
	} {
		t.Run(name, func(t *testing.T) {
			var estimate ageEstimate
			start := time.UnixMilli(0)
			for _, r := range reports {
				sent := start.Add(r.sent)
				got := estimate.trueAt(sent, r.at.Milliseconds())
				assert.Equal(t, sent.Sub(got), r.age)
			}
		})
	}
}
