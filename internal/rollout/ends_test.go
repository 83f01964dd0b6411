package rollout

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
)

func TestEndIsNeverUndone(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	c.AddOrder(order)
	assert.Assert(t, c.ApplyStatus(ended(RolledBack)))
	assert.Assert(t, !c.ApplyStatus(ended(Completed)))
	c.AddOrder(order)
	required, excluded := c.VersionConstraint("s", 0)
	assert.Equal(t, required, "")
	assert.Equal(t, excluded, "v2")
}

// ended returns the status of an order that has ended with a state.
func ended(state State) Status { return Status{Service: "s", To: "v2", State: state} }

// stored returns the same for one that the control plane holds.
func stored(state State) Status { return Status{Service: "s", To: "v2", State: state, Stored: true} }

// trialOnTwo returns an analyzer and another instance that have seen enough of a trial
// for its completion, just before that is due.
func trialOnTwo(t *testing.T) (clock *clockwork.FakeClock, analyzer, other *Controller) {
	clock = clockwork.NewFakeClock()
	analyzer, other = New(clock), New(clock)
	exchange := func(from, to *Controller, name string) {
		reports, err := from.Reports(1000)
		assert.NilError(t, err)
		for _, r := range reports {
			to.ApplyReport(evidence.InstanceID{Name: name}, r)
		}
	}
	startedAt := clock.Now()
	for _, c := range []*Controller{analyzer, other} {
		assert.Assert(t, c.AddOrder(order))
	}
	for time.Duration(trialTimeShare*float64(order.Duration))-clock.Since(startedAt) > decideEvery {
		for _, c := range []*Controller{analyzer, other} {
			for range 3 {
				c.Start("s", "v2", "r", 0).End(evidence.Answered)
				c.Start("s", "v1", "r", 0).End(evidence.Answered)
			}
		}
		clock.Advance(decideEvery)
		exchange(analyzer, other, "analyzer")
		exchange(other, analyzer, "other")
		assert.Equal(t, len(analyzer.Decide(true))+len(other.Decide(false)), 0)
	}
	return clock, analyzer, other
}

// An analyzer that was paused completed a version as soon as it went on, on what it knew
// before, though the others had rolled it back.
func TestPausedAnalyzerDoesNotCompleteWhatOthersHaveRolledBack(t *testing.T) {
	clock, analyzer, other := trialOnTwo(t)
	const pause = 2800 * time.Millisecond
	for range int(pause / decideEvery) {
		other.Start("s", "v1", "r", 0).End(evidence.Answered)
		for range 4 {
			other.Start("s", "v2", "r", 0).End(evidence.Failed)
		}
		clock.Advance(decideEvery)
		other.Decide(false)
	}
	assert.Equal(t, other.Statuses()[0].State, RolledBack)
	assert.Equal(t, len(analyzer.Decide(true)), 0, "decided on what it knew before the pause")
	assert.Assert(t, analyzer.ApplyStatus(other.Statuses()[0]))
	assert.Equal(t, analyzer.Statuses()[0].State, RolledBack)
}

// An analyzer whose clock stands still while it is suspended cannot tell that it was.
func TestSuspendedAnalyzerStoresNoCompletionThatOthersHaveRolledBack(t *testing.T) {
	clock, analyzer, other := trialOnTwo(t)
	clock.Advance(decideEvery)
	assert.Equal(t, analyzer.Decide(true)[0].Status.State, Completed)
	assert.Equal(t, len(analyzer.StatusesToStore(0)), 0, "stored before the others can have replied")
	assert.Assert(t, other.ApplyStatus(ended(RolledBack)))
	assert.Assert(t, !other.ApplyStatus(analyzer.Statuses()[0]))
	assert.Assert(t, analyzer.ApplyStatus(other.Statuses()[0]))
	clock.Advance(completionLead)
	assert.DeepEqual(t, analyzer.StatusesToStore(0), []Status{ended(RolledBack)})
}

// Two instances that had ended an order differently stayed so.
func TestStoredEndIsAdoptedByInstancesThatEndedTheOrderOtherwise(t *testing.T) {
	for _, first := range []State{Completed, RolledBack} {
		for _, end := range []State{Completed, RolledBack} {
			c := New(clockwork.NewFakeClock())
			c.AddOrder(order)
			c.ApplyStatus(ended(first))
			assert.Equal(t, c.ApplyStatus(stored(end)), first != end)
			assert.Assert(t, !c.ApplyStatus(ended(RolledBack)))
			assert.DeepEqual(t, c.Statuses(), []Status{stored(end)})
		}
	}
}

// Only the analyzer stored the end of an order, also while it was paused.
func TestInstancesNextInRankStoreAnEndThatTheAnalyzerDoesNotStore(t *testing.T) {
	for _, tc := range []struct {
		state State
		lead  time.Duration
	}{{RolledBack, 0}, {Completed, completionLead}} {
		clock := clockwork.NewFakeClock()
		c := New(clock)
		c.AddOrder(order)
		assert.Equal(t, len(c.StatusesToStore(0)), 1)
		assert.Equal(t, len(c.StatusesToStore(1)), 0, "an order in progress")
		endedAt := clock.Now()
		c.ApplyStatus(ended(tc.state))
		for rank := range lastStoringRank + 1 {
			clock.Advance(tc.lead + time.Duration(rank)*storeDelay - clock.Since(endedAt) - time.Nanosecond)
			assert.Equal(t, len(c.StatusesToStore(rank)), 0, "%s, rank %d", tc.state, rank)
			clock.Advance(time.Nanosecond)
			assert.DeepEqual(t, c.StatusesToStore(rank), []Status{ended(tc.state)})
		}
		clock.Advance(time.Hour)
		assert.Equal(t, len(c.StatusesToStore(lastStoringRank+1)), 0)
		c.ApplyStatus(stored(tc.state))
		assert.Equal(t, len(c.StatusesToStore(1)), 0)
		assert.DeepEqual(t, c.StatusesToStore(0), []Status{stored(tc.state)})
	}
}

// Two instances act as the analyzer, statuses reach all instances in any order, late and
// twice, and any instance may be the first to store an end. No order returns to in
// progress, a rollback is undone only by a stored completion, a stored end never changes,
// and all instances agree as soon as they hear of it.
func TestTwoAnalyzersNeverUndoAnEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		clock := clockwork.NewFakeClock()
		fleet := make([]*Controller, instances)
		last := make([]Status, instances)
		for i := range fleet {
			fleet[i] = New(clock)
			fleet[i].AddOrder(order)
			last[i] = fleet[i].Statuses()[0]
		}
		var published []Status
		var inStore *Status
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				ending := evidence.Ending(rapid.IntRange(0, 2).Draw(t, "ending"))
				fleet[i].Start("s", "v2", "r", 0).End(ending)
			case 1:
				clock.Advance(time.Second)
				for _, decision := range fleet[i].Decide(i < 2) {
					published = append(published, decision.Status)
				}
			case 2:
				if len(published) > 0 {
					fleet[i].ApplyStatus(published[rapid.IntRange(0, len(published)-1).Draw(t, "status")])
				}
			case 3:
				fleet[i].AddOrder(order)
			case 4:
				for _, status := range fleet[i].StatusesToStore(i) {
					if status.State == InProgress {
						continue
					}
					if inStore == nil {
						status.Stored = true
						inStore = &status
					}
					fleet[i].ApplyStatus(*inStore)
					published = append(published, *inStore)
				}
			}
			for j, c := range fleet {
				now, before := c.Statuses()[0], last[j]
				if now.State != before.State {
					allowed := before.State == InProgress || before.State == Completed && now.State == RolledBack || now.Stored
					assert.Assert(t, allowed && !before.Stored && now.State != InProgress, "%v after %v", now, before)
				}
				assert.Assert(t, now.Stored || !before.Stored)
				last[j] = now
			}
		}
		if inStore == nil {
			return
		}
		for _, c := range fleet {
			c.ApplyStatus(*inStore)
			assert.DeepEqual(t, c.Statuses()[0], *inStore)
		}
	})
}
