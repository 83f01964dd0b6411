package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// fleet is a number of registries that exchange digests.
type fleet struct {
	clock      *clockwork.FakeClock
	registries []*Registry
	// openedAt is when the connections to all targets were opened.
	openedAt time.Time
}

func newFleet(count int) *fleet {
	clock := clockwork.NewFakeClock()
	f := &fleet{clock: clock, openedAt: clock.Now()}
	for range count {
		f.registries = append(f.registries, New(Options{Clock: clock, CountsUnresolved: true}))
	}
	clock.Advance(time.Minute)
	return f
}

// exchange advances the clock in the interval of digests and delivers those of
// each registry to the others.
func (f *fleet) exchange(span time.Duration, scope Scope) {
	const interval = 100 * time.Millisecond
	for range span / interval {
		f.clock.Advance(interval)
		for i, sender := range f.registries {
			d := sender.Digest(scope)
			for j, receiver := range f.registries {
				if i != j {
					receiver.Merge(fmt.Sprint(i), d)
				}
			}
		}
	}
}

// fail runs a request at a target of one registry, without a response.
func (f *fleet) fail(r *Registry, fp Fingerprint, target string, outcome Outcome) {
	a := r.Start(fp, target, 0)
	f.clock.Advance(10 * time.Millisecond)
	a.End(outcome)
}

// crashThree breaks the attempts of the crashing request at three targets.
func (f *fleet) crashThree(r *Registry) {
	for _, target := range []string{"one", "two", "three"} {
		f.fail(r, crashing, target, Broken)
	}
}

// serve runs another request at a target, which responds.
func (f *fleet) serve(r *Registry, target string) {
	a := r.Start(NewFingerprint("b", target, nil), target, 0)
	a.Heard(f.openedAt)
	a.End(Completed)
}

func (f *fleet) refusing(fp Fingerprint) int {
	refusing := 0
	for _, r := range f.registries {
		if r.ShouldRefuse(fp) {
			refusing++
		}
	}
	return refusing
}

var crashing = NewFingerprint("a", "/p", []byte("body"))

func TestRequestThatCrashesTargetsIsRefusedEverywhere(t *testing.T) {
	for _, outcome := range []Outcome{Broken, Unanswered} {
		f := newFleet(3)
		f.fail(f.registries[0], crashing, "one", outcome)
		f.fail(f.registries[0], crashing, "two", outcome)
		f.exchange(time.Second, Changes)
		assert.Equal(t, f.refusing(crashing), 0)
		f.fail(f.registries[1], crashing, "three", outcome)
		f.exchange(time.Second, Changes)
		assert.Equal(t, f.refusing(crashing), 3)
		assert.Equal(t, f.refusing(NewFingerprint("a", "/p", []byte("other"))), 0)
		f.clock.Advance(DefaultRetention + time.Second)
		assert.Equal(t, f.refusing(crashing), 0)
	}
}

// A target that accepts requests and does not respond leaves attempts in flight
// until their callers leave or their deadlines pass.
func TestRequestInFlightAtSilentTargetsIsRefused(t *testing.T) {
	f := newFleet(2)
	for _, target := range []string{"one", "two", "three"} {
		f.registries[0].Start(crashing, target, 0)
	}
	f.registries[0].MarkSilent()
	assert.Equal(t, f.refusing(crashing), 0)
	f.clock.Advance(silenceTime)
	f.registries[0].MarkSilent()
	f.registries[0].MarkSilent()
	f.exchange(time.Second, Changes)
	assert.Equal(t, f.refusing(crashing), 2)
}

func TestSlowTargetsAreNotSilent(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	var waiting []*Attempt
	for _, target := range []string{"one", "two", "three"} {
		waiting = append(waiting, r.Start(crashing, target, 0))
		r.Start(NewFingerprint("a", "/slow", nil), target, 2*time.Second)
	}
	for range 20 {
		f.clock.Advance(silenceTime / 4)
		for _, target := range []string{"one", "two", "three"} {
			f.serve(r, target)
		}
		r.MarkSilent()
		assert.Equal(t, r.Counters.Marked.Load(), uint64(0), "marked although the targets respond to others")
	}
	f.clock.Advance(silenceTime)
	r.MarkSilent()
	assert.Assert(t, r.ShouldRefuse(crashing))
	for _, a := range waiting {
		a.Heard(f.openedAt)
	}
	assert.Assert(t, !r.ShouldRefuse(crashing), "the responses have arrived after all")
}

func TestBreaksOfLivingTargetsAreNoCrashes(t *testing.T) {
	f := newFleet(2)
	targets := []string{"one", "two", "three", "four"}
	for _, target := range targets {
		f.fail(f.registries[0], crashing, target, Broken)
	}
	f.exchange(survivalMargin, Changes)
	for _, target := range targets {
		f.serve(f.registries[1], target)
	}
	f.exchange(500*time.Millisecond, Changes)
	for _, target := range targets {
		f.serve(f.registries[1], target)
	}
	f.exchange(500*time.Millisecond, Changes)
	assert.Equal(t, f.refusing(crashing), 0)
}

// A target that is back under the same name at once responds to others, but on
// new connections.
func TestResponsesOfANewIncarnationAreNoSurvival(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	for _, target := range []string{"one", "two", "three"} {
		f.fail(r, crashing, target, Broken)
		f.openedAt = f.clock.Now()
		f.clock.Advance(time.Second)
		f.serve(r, target)
	}
	assert.Assert(t, r.ShouldRefuse(crashing))
}

// A target with too many connections resets new ones and goes on responding.
func TestResetByABusyTargetIsNoCrash(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	for _, target := range []string{"one", "two", "three"} {
		f.fail(r, crashing, target, Broken)
		f.clock.Advance(minRestartTime / 3)
		f.openedAt = f.clock.Now()
		f.clock.Advance(minRestartTime / 3)
		f.serve(r, target)
	}
	assert.Assert(t, !r.ShouldRefuse(crashing))
}

// The connections of a target that has fallen silent may break only when it is
// back.
func TestTargetThatIsBackWhenItsConnectionsBreakHasCrashed(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	for _, target := range []string{"one", "two", "three"} {
		a := r.Start(crashing, target, 0)
		f.clock.Advance(minRestartTime)
		a.End(Broken)
		f.clock.Advance(time.Millisecond)
		f.openedAt = f.clock.Now()
		f.clock.Advance(time.Millisecond)
		f.serve(r, target)
	}
	assert.Assert(t, r.ShouldRefuse(crashing))
}

// What was sent before a crash may be read after it.
func TestResponsesRightAfterACrashAreNoSurvival(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	for _, target := range []string{"one", "two", "three"} {
		f.fail(r, crashing, target, Broken)
		f.serve(r, target)
		f.clock.Advance(time.Second)
	}
	assert.Assert(t, r.ShouldRefuse(crashing))
}

func TestListOfTargetsTellsWhatBecameOfThem(t *testing.T) {
	for liveness, want := range map[Liveness]bool{Undecided: true, Survived: false, Ended: true} {
		f := newFleet(1)
		r := f.registries[0]
		for _, target := range []string{"one", "two", "three"} {
			f.fail(r, crashing, target, Unanswered)
		}
		r.Resolve(func(string, time.Time) Liveness { return liveness })
		assert.Equal(t, r.ShouldRefuse(crashing), want, "%v", liveness)
		if liveness == Ended {
			f.clock.Advance(time.Second)
			f.serve(r, "one")
			assert.Assert(t, r.ShouldRefuse(crashing), "the end of a target goes before later signs of life")
		}
	}
}

// With one connection per request, a broken one says nothing of requests whose
// callers left or whose deadlines passed.
func TestBrokenConnectionIsNoEndOfUnansweredAttempts(t *testing.T) {
	r := New(Options{})
	unanswered := NewFingerprint("a", "/unanswered", nil)
	r.Start(unanswered, "one", 0).End(Unanswered)
	r.Start(crashing, "one", 0).End(Broken)
	r.RecordBroken("one")
	assert.Assert(t, r.IsSuspect(crashing) && !r.IsSuspect(unanswered))
	r.RecordEnded("one")
	assert.Assert(t, r.IsSuspect(unanswered))
}

func TestTargetThatEndsAsPlannedIsNotCrashed(t *testing.T) {
	r := New(Options{CountsUnresolved: true, IsLeaving: func(target string) bool { return target == "two" }})
	for _, target := range []string{"one", "two", "three"} {
		r.Start(crashing, target, 0).End(Broken)
	}
	assert.Assert(t, !r.ShouldRefuse(crashing))
}

// A single target that comes back may be the only one there is.
func TestCrashesOfOneTargetCountEach(t *testing.T) {
	f := newFleet(2)
	for range minCrashes {
		f.fail(f.registries[0], crashing, "one", Broken)
		f.fail(f.registries[1], crashing, "one", Broken)
		f.exchange(crashSpan, Changes)
	}
	assert.Equal(t, f.refusing(crashing), 2)
}

func TestAttemptsOfOneCrashCountOnce(t *testing.T) {
	f := newFleet(3)
	for i, r := range f.registries {
		for range 5 {
			a, b := r.Start(crashing, "one", 0), r.Start(crashing, "silent", 0)
			f.clock.Advance(time.Duration(i) * 10 * time.Millisecond)
			a.End(Broken)
			b.End(Unanswered)
		}
	}
	f.exchange(time.Second, Changes)
	assert.Equal(t, f.refusing(crashing), 0)
}

func TestCompletionClearsCrashes(t *testing.T) {
	f := newFleet(3)
	r := f.registries[0]
	f.crashThree(r)
	a := f.registries[2].Start(crashing, "four", 0)
	f.exchange(time.Second, Changes)
	assert.Equal(t, f.refusing(crashing), 3)
	a.End(Completed)
	f.exchange(time.Second, Changes)
	assert.Equal(t, f.refusing(crashing), 0)
}

// A popular request runs at several targets at once, and those may end together
// for another reason. All instances have completed it shortly before.
func TestPopularRequestIsNotRefusedWhenTargetsEndTogether(t *testing.T) {
	f := newFleet(3)
	for _, r := range f.registries {
		a := r.Start(crashing, "four", 0)
		f.clock.Advance(time.Millisecond)
		a.End(Completed)
	}
	for range 3 {
		for _, r := range f.registries {
			for _, target := range []string{"one", "two", "three"} {
				f.fail(r, crashing, target, Broken)
			}
		}
		for range 10 {
			f.exchange(100*time.Millisecond, Changes)
			assert.Equal(t, f.refusing(crashing), 0)
		}
	}
}

// Only one instance knows that the request is innocent; it must tell the others.
func TestInstanceThatCompletedARequestClearsItEverywhere(t *testing.T) {
	f := newFleet(3)
	f.registries[2].Start(crashing, "four", 0).End(Completed)
	f.crashThree(f.registries[0])
	f.exchange(time.Second, Changes)
	assert.Equal(t, f.refusing(crashing), 0)
}

// A request that used to complete may crash a new version of the targets.
func TestOldCompletionExcusesNothing(t *testing.T) {
	f := newFleet(1)
	f.registries[0].Start(crashing, "four", 0).End(Completed)
	f.clock.Advance(innocenceTime + time.Second)
	f.crashThree(f.registries[0])
	assert.Equal(t, f.refusing(crashing), 1)
}

// An instance that has just started, or was cut off, knows nothing of crashes that
// are not news any more.
func TestNewInstanceLearnsOfOldCrashes(t *testing.T) {
	f := newFleet(2)
	const requests = 5
	for i := range requests {
		for _, target := range []string{"one", "two", "three"} {
			f.fail(f.registries[0], NewFingerprint("a", fmt.Sprint(i), nil), fmt.Sprint(target, i), Broken)
		}
	}
	f.exchange(10*time.Second, Changes)
	f.registries = append(f.registries, New(Options{Clock: f.clock, CountsUnresolved: true}))
	f.exchange(time.Second, Repeated)
	for i := range requests {
		assert.Equal(t, f.refusing(NewFingerprint("a", fmt.Sprint(i), nil)), 3, "%d", i)
	}
}

// Instances that are replaced one after another must not lose what was known of a
// request that has not been refused yet.
func TestNewInstanceLearnsOfSingleMarks(t *testing.T) {
	f := newFleet(1)
	for _, target := range []string{"one", "two", "three"} {
		f.fail(f.registries[0], crashing, target, Broken)
		f.exchange(10*time.Second, Changes)
		replacement := New(Options{Clock: f.clock, CountsUnresolved: true})
		replacement.Merge("replaced", f.registries[0].Digest(Everything))
		f.registries[0] = replacement
	}
	assert.Equal(t, f.refusing(crashing), 1)
}

// Most marks are of innocent requests and must not cost a message from each
// instance to each other one.
func TestSingleMarksAreNotPassedOn(t *testing.T) {
	f := newFleet(3)
	first, second, third := f.registries[0], f.registries[1], f.registries[2]
	relay := func() {
		for range 3 {
			f.clock.Advance(300 * time.Millisecond)
			second.Merge("first", first.Digest(Repeated))
			third.Merge("second", second.Digest(Repeated))
		}
	}
	f.fail(first, crashing, "one", Broken)
	relay()
	assert.Assert(t, second.IsSuspect(crashing) && !third.IsSuspect(crashing))
	f.fail(first, crashing, "two", Broken)
	relay()
	assert.Assert(t, third.IsSuspect(crashing))
}

// Marks of many innocent requests must not drive out those of one that is refused.
func TestFullRegistryKeepsRefusedRequests(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	f.crashThree(r)
	for i := range 2 * DefaultMaxFingerprints {
		r.Start(NewFingerprint("b", fmt.Sprint(i), nil), "four", 0).End(Broken)
	}
	assert.Assert(t, r.ShouldRefuse(crashing))
	assert.Assert(t, len(r.suspects) <= DefaultMaxFingerprints)
	total := 0
	for _, marks := range r.unresolved {
		total += len(marks)
	}
	assert.Equal(t, int64(total), r.unresolvedCount.Load())
}
