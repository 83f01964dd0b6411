package quarantine

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestRequestThatCrashesTargetsIsRefusedEverywhere(t *testing.T) {
	clock := clockwork.NewFakeClock()
	local, remote := NewCrashTracker(clock, zap.NewNop()), NewCrashTracker(clock, zap.NewNop())
	request := RequestHash("a", "/p", []byte("body"))
	for _, target := range []string{"one", "two"} {
		local.RecordFailure(request, target)
		local.RecordUnreachable(target)
	}
	remote.MergeCrashes(local.RecentCrashes())
	remote.MergeCrashes(local.RecentCrashes())
	assert.Assert(t, !local.ShouldRefuse(request) && !remote.ShouldRefuse(request))
	remote.RecordFailure(request, "three")
	remote.RecordUnreachable("three")
	local.MergeCrashes(remote.RecentCrashes())
	assert.Assert(t, local.ShouldRefuse(request) && remote.ShouldRefuse(request))
	assert.Assert(t, !local.ShouldRefuse(RequestHash("a", "/p", []byte("other"))))
	clock.Advance(crashRetention + time.Second)
	assert.Assert(t, !local.ShouldRefuse(request))
}

func TestBreaksOfLivingTargetsAreNoCrashes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewCrashTracker(clock, zap.NewNop())
	for _, target := range []string{"one", "two", "three", "four"} {
		tracker.RecordFailure(1, target)
	}
	assert.Assert(t, !tracker.ShouldRefuse(1))
	clock.Advance(crashConfirmTime + time.Millisecond)
	for _, target := range []string{"one", "two", "three", "four"} {
		tracker.RecordUnreachable(target)
	}
	assert.Assert(t, !tracker.ShouldRefuse(1), "targets became unreachable after crashConfirmTime")
}

func TestCompletionClearsCrashes(t *testing.T) {
	tracker := NewCrashTracker(clockwork.NewFakeClock(), zap.NewNop())
	for _, target := range []string{"one", "two", "three"} {
		tracker.RecordFailure(1, target)
		tracker.RecordUnreachable(target)
	}
	assert.Assert(t, tracker.ShouldRefuse(1))
	tracker.RecordCompletion(1)
	assert.Assert(t, !tracker.ShouldRefuse(1))
}

func TestCrashTrackerIsBounded(t *testing.T) {
	tracker := NewCrashTracker(clockwork.NewFakeClock(), zap.NewNop())
	for request := range uint64(3 * maxTrackedRequests) {
		tracker.RecordFailure(request, "one")
	}
	assert.Assert(t, len(tracker.failures) <= maxTrackedRequests)
}
