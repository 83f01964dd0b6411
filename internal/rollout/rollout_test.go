package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var order = Order{Service: "s", To: "v2", Duration: 12 * time.Second}

// The operator's limit: a tenth of the requests plus fifty may reach a bad
// version.
const (
	allowedShare = 0.1
	allowedSlack = 50
)

// simulateRollout runs an order on several instances. It returns the final
// state, by how many requests the new version exceeded the operator's limit,
// and the number of its bad responses.
func simulateRollout(seed uint64, newFailureRate, oldFailureRate, stallRate float64, newLatency time.Duration) (state State, excess float64, badResponses int) {
	const (
		instances     = 6
		perStep       = 5
		step          = 50 * time.Millisecond
		normalLatency = 100 * time.Millisecond
		stallTime     = 4 * time.Second
		totalSteps    = 240
	)
	clock := clockwork.NewFakeClock()
	random := rand.New(rand.NewPCG(seed, 9))
	fleet := make([]*Controller, instances)
	for i := range fleet {
		fleet[i] = New(clock)
		fleet[i].AddOrder(order)
	}
	requests, newRequests := 0, 0
	for range totalSteps {
		for i, c := range fleet {
			for range perStep {
				requests++
				required, _ := c.VersionConstraint("s", float64(xxhash.Sum64String(fmt.Sprint(seed, requests))>>11)/(1<<53))
				version, failureRate, took := "v1", oldFailureRate, normalLatency
				if required == "v2" {
					version, failureRate, took = "v2", newFailureRate, newLatency
					newRequests++
				}
				failed := random.Float64() < failureRate
				if failed && version == "v2" {
					badResponses++
				}
				if random.Float64() < stallRate {
					took += stallTime
				}
				c.RecordResponse("s", version, failed, time.Duration(float64(took)*(0.5+random.Float64())))
			}
			for _, r := range c.Reports() {
				fleet[0].ApplyReport(fmt.Sprint(i), r)
			}
		}
		for _, decision := range fleet[0].Decide(true) {
			for _, c := range fleet {
				c.ApplyStatus(decision.Status)
			}
			return decision.Status.State, float64(newRequests) - allowedShare*float64(requests) - allowedSlack, badResponses
		}
		clock.Advance(step)
	}
	return InProgress, float64(newRequests) - allowedShare*float64(requests) - allowedSlack, badResponses
}

func TestOrdersEndAsTheVersionDeserves(t *testing.T) {
	for _, c := range []struct {
		name                           string
		newFailureRate, oldFailureRate float64
		stallRate                      float64
		newLatency                     time.Duration
		want                           State
	}{
		{"good", 0.02, 0.02, 0, 100 * time.Millisecond, Completed},
		{"good while both versions fail often", 0.3, 0.3, 0, 100 * time.Millisecond, Completed},
		{"good while a few responses of both versions stall", 0.02, 0.02, 0.01, 100 * time.Millisecond, Completed},
		{"somewhat slower", 0.02, 0.02, 0, 200 * time.Millisecond, Completed},
		{"high failure rate", 0.4, 0.02, 0, 100 * time.Millisecond, RolledBack},
		{"several times slower", 0.02, 0.02, 0, 600 * time.Millisecond, RolledBack},
	} {
		for seed := range uint64(60) {
			state, excess, badResponses := simulateRollout(seed, c.newFailureRate, c.oldFailureRate, c.stallRate, c.newLatency)
			assert.Equal(t, state, c.want, "%s, seed %d", c.name, seed)
			assert.Assert(t, excess <= 0, "%s, seed %d: %.0f requests above the limit", c.name, seed, excess)
			if state == RolledBack {
				assert.Assert(t, badResponses < 50, "%s, seed %d: %d bad responses", c.name, seed, badResponses)
			}
		}
	}
}

func TestEndIsNeverUndone(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	c.AddOrder(order)
	assert.Assert(t, c.ApplyStatus(Status{"s", "v2", RolledBack}))
	assert.Assert(t, !c.ApplyStatus(Status{"s", "v2", Completed}))
	c.AddOrder(order)
	required, excluded := c.VersionConstraint("s", 0)
	assert.Equal(t, required, "")
	assert.Equal(t, excluded, "v2")
}

func TestUnknownServiceHasNoConstraint(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	required, excluded := c.VersionConstraint("s", 0)
	assert.Equal(t, required+excluded, "")
	c.RecordResponse("s", "v1", true, time.Second)
	assert.Equal(t, len(c.Decide(true)), 0)
}

// Two instances act as the analyzer, and statuses reach all instances in any
// order, late and twice. Each instance must keep the first final state that it
// receives, and no order may return to in progress.
func TestTwoAnalyzersNeverUndoAnEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		clock := clockwork.NewFakeClock()
		fleet := make([]*Controller, instances)
		finalStates := make([]State, instances)
		for i := range fleet {
			fleet[i] = New(clock)
			fleet[i].AddOrder(order)
		}
		var published []Status
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				fleet[i].RecordResponse("s", "v2", rapid.Bool().Draw(t, "failed"), time.Millisecond)
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
			}
			for j, c := range fleet {
				state := c.Statuses()[0].State
				assert.Assert(t, finalStates[j] == "" || state == finalStates[j], "%s after %s", state, finalStates[j])
				if state != InProgress {
					finalStates[j] = state
				}
			}
		}
	})
}

// A decision holds the counts of all instances, since an order that has ended is
// no longer reported.
func TestDecisionHoldsCountsOfAllInstances(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	c.AddOrder(order)
	for range 40 {
		c.RecordResponse("s", "v2", true, time.Second)
	}
	c.ApplyReport("peer", Report{Service: "s", To: "v2", Evidence: Evidence{Old: Counts{Answers: 100, Seconds: 100, SquaredSeconds: 100}}})
	decisions := c.Decide(false)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Status.State, RolledBack)
	assert.Equal(t, decisions[0].Evidence.New.Failures, uint64(40))
	assert.Equal(t, decisions[0].Evidence.Old.Answers, uint64(100))
}

// Most instances hear of an order from others only, and some only of its end.
func TestOrderIsLearnedFromOtherInstances(t *testing.T) {
	clock := clockwork.NewFakeClock()
	informed, other := New(clock), New(clock)
	informed.AddOrder(order)
	clock.Advance(time.Second)
	assert.Assert(t, other.ApplyReport("informed", informed.Reports()[0]))
	assert.Assert(t, !other.ApplyReport("informed", informed.Reports()[0]))
	assert.Assert(t, !other.AddOrder(order))
	_, excluded := other.VersionConstraint("s", 0.5)
	assert.Equal(t, excluded, "v2")
	assert.Equal(t, other.Reports()[0].Elapsed, time.Second, "a decision would be due later")

	late := New(clock)
	assert.Assert(t, late.ApplyStatus(Status{"s", "v2", RolledBack}))
	assert.Assert(t, !late.AddOrder(order))
	_, excluded = late.VersionConstraint("s", 0)
	assert.Equal(t, excluded, "v2")
}

// A report, or a stale read of the store, may tell of an order that another one has
// replaced.
func TestEarlierOrderDoesNotReplaceALaterOne(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	c.AddOrder(Order{Service: "s", To: "v3", Duration: time.Minute, Revision: 7})
	assert.Assert(t, !c.ApplyReport("peer", Report{Service: "s", To: "v2", Duration: time.Minute, Revision: 5}))
	assert.Assert(t, !c.AddOrder(Order{Service: "s", To: "v2", Duration: time.Minute, Revision: 5}))
	assert.Equal(t, c.Statuses()[0].To, "v3")
	assert.Assert(t, c.AddOrder(Order{Service: "s", To: "v4", Duration: time.Minute, Revision: 9}))
	assert.Equal(t, c.Statuses()[0].To, "v4")
}
