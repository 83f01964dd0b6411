package measure

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

func TestMoveFigures(t *testing.T) {
	figures := moveFigures([]moveResult{
		{completedInTime: true},
		{rolledBack: true},
		{isDefective: true, rolledBack: true, maxDefectiveShare: 0.1, lateRequests: 1},
		{isDefective: true, completedInTime: true, maxDefectiveShare: 0.9, lateRequests: 2},
	})
	got := make(map[string]float64)
	for _, figure := range figures {
		got[figure.Name] = figure.Value
	}
	assert.DeepEqual(t, got, map[string]float64{
		"good_moved_in_time_ratio": 0.5, "good_taken_back_ratio": 0.5,
		"bad_taken_back_ratio": 0.5, "bad_share_max": 0.9, "bad_after_shown": 3,
	})
}

func TestScaledClockTimer(t *testing.T) {
	fakeClock := clockwork.NewFakeClock()
	clock := &scaledClock{base: fakeClock, origin: fakeClock.Now(), factor: 10}
	timer := clock.NewTimer(time.Minute)
	fakeClock.Advance(6*time.Second - 1)
	select {
	case <-timer.Chan():
		t.Fatal("timer fired before its scaled duration of 6 s")
	default:
	}
	fakeClock.Advance(1)
	<-timer.Chan()
	assert.Equal(t, clock.Since(clock.origin), time.Minute)
}

func TestFailureKindOfVerdict(t *testing.T) {
	cases := map[load.Verdict]evidence.FailureKind{
		load.VerdictComplete: evidence.FailureNone, load.VerdictTruncated: evidence.FailureIncompleteStream,
		load.VerdictConnectionLost: evidence.FailureConnectionLost, load.VerdictRefused: evidence.FailureBadResponse, load.VerdictWrong: evidence.FailureBadResponse,
	}
	for verdict, kind := range cases {
		assert.Equal(t, failureKind(verdict), kind, string(verdict))
	}
}
