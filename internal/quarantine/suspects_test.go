package quarantine

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestRequestThatCrashesTargetsIsRefusedEverywhere(t *testing.T) {
	clock := clockwork.NewFakeClock()
	here, there := NewCrashTracker(clock), NewCrashTracker(clock)
	request := RequestHash("a", "/p", []byte("body"))
	for _, target := range []string{"one", "two"} {
		here.RecordFailure(request, target)
		here.RecordUnreachable(target)
	}
	there.MergeCrashes(here.RecentCrashes())
	there.MergeCrashes(here.RecentCrashes())
	assert.Assert(t, !here.ShouldRefuse(request) && !there.ShouldRefuse(request))
	there.RecordFailure(request, "three")
	there.RecordUnreachable("three")
	here.MergeCrashes(there.RecentCrashes())
	assert.Assert(t, here.ShouldRefuse(request) && there.ShouldRefuse(request))
	assert.Assert(t, !here.ShouldRefuse(RequestHash("a", "/p", []byte("other"))))
	clock.Advance(suspectLife + time.Second)
	assert.Assert(t, !here.ShouldRefuse(request))
}

func TestBreaksOfLivingTargetsAreNoCrashes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewCrashTracker(clock)
	for _, target := range []string{"one", "two", "three", "four"} {
		s.RecordFailure(1, target)
	}
	assert.Assert(t, !s.ShouldRefuse(1))
	clock.Advance(confirmTime + time.Millisecond)
	for _, target := range []string{"one", "two", "three", "four"} {
		s.RecordUnreachable(target)
	}
	assert.Assert(t, !s.ShouldRefuse(1), "they were found gone too late")
}

func TestFinishedRequestIsInnocent(t *testing.T) {
	s := NewCrashTracker(clockwork.NewFakeClock())
	for _, target := range []string{"one", "two", "three"} {
		s.RecordFailure(1, target)
		s.RecordUnreachable(target)
	}
	assert.Assert(t, s.ShouldRefuse(1))
	s.RecordCompletion(1)
	assert.Assert(t, !s.ShouldRefuse(1))
}

func TestMemoryIsBounded(t *testing.T) {
	s := NewCrashTracker(clockwork.NewFakeClock())
	for request := range uint64(3 * maxSuspects) {
		s.RecordFailure(request, "one")
	}
	assert.Assert(t, len(s.requests) <= maxSuspects)
}
