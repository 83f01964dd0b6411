package estimate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLengthEstimatorByRouteAndAccount(t *testing.T) {
	l := NewLengthEstimator(1000)
	assert.Equal(t, l.Estimate("audit", "a", 0).Mean, DefaultLength)
	for range 50 {
		l.Observe("audit", "a", 4000)
		l.Observe("audit", "b", 40)
	}
	assert.Equal(t, l.Estimate("audit", "a", 0), Length{4000, 4000})
	assert.Equal(t, l.Estimate("audit", "b", 0), Length{40, 40})
	route := l.Estimate("audit", "new", 0)
	assert.Assert(t, route.Mean > 40 && route.Mean < 4000)
	assert.Assert(t, route.High > route.Mean)
	assert.Equal(t, l.Estimate("audit", "a", 100), Length{100, 100})
}

func TestLengthEstimatorIsBounded(t *testing.T) {
	l := NewLengthEstimator(160)
	for i := range 27_000 {
		l.Observe("route", fmt.Sprint("account-", i), 10)
	}
	assert.Assert(t, l.Size() <= 160)
}

func TestCorrectLengthGrowsWithOutput(t *testing.T) {
	assert.Equal(t, CorrectLength(100, 50), 100)
	last := 0
	for _, output := range []int{100, 200, 1000} {
		got := CorrectLength(100, output)
		assert.Assert(t, got > output && got > last)
		last = got
	}
}

func TestSpeedTracksObservations(t *testing.T) {
	var s Speed
	assert.Equal(t, s.TimePerToken(), defaultDecode)
	for range 50 {
		s.ObserveFirstToken(1000, 500*time.Millisecond)
		s.ObserveDecode(100, time.Second)
	}
	assertNear := func(got, want time.Duration) {
		t.Helper()
		assert.Assert(t, (got-want).Abs() < want/100, "got %v, want %v", got, want)
	}
	assertNear(s.ResponseTime(2000, 10), 1100*time.Millisecond)
	for range 50 {
		s.ObserveDecode(100, 10*time.Second)
	}
	assertNear(s.TimePerToken(), 100*time.Millisecond)
}
