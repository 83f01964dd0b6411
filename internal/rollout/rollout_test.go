package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
)

var order = Order{Service: "s", To: "v2", Duration: 15 * time.Second}

// The operator's limit: a tenth of the requests plus fifty may reach a bad
// version.
const (
	operatorShare = 0.1
	operatorSlack = 50
	// maxBadResponses is the number of bad responses after which a version must be
	// taken back.
	maxBadResponses = 50
)

// simulation runs an order on several instances, with requests that take time.
type simulation struct {
	// perSecond is the number of requests a second, of all instances together.
	perSecond float64
	// newFailureRate and oldFailureRate are the shares of failures.
	newFailureRate, oldFailureRate float64
	// slowdown multiplies the times of the new version from slowFrom on, on slowRoute
	// or, if that is "", on all routes. hangRate is the share of responses of both
	// versions that take hangTime longer.
	slowdown  float64
	slowFrom  time.Duration
	slowRoute string
	hangRate  float64
	// restartAt is when the analyzer is replaced by an instance that knows nothing; 0
	// means never.
	restartAt time.Duration
	// speeds are the speeds of the new version's targets, relative to those of the
	// old one, which differ among themselves.
	speeds []float64
}

const (
	simulatedInstances = 6
	simulatedStep      = 50 * time.Millisecond
	hangTime           = 4 * time.Second
	// callerPatience is the time after which callers give up.
	callerPatience = 10 * time.Second
)

// oldSpeeds are the speeds of the old version's targets.
var oldSpeeds = []float64{0.55, 1, 2.8}

type simulatedAttempt struct {
	attempt *Attempt
	endsAt  time.Time
	ending  evidence.Ending
}

// result is the outcome of a simulation. excess is by how many requests the new
// version exceeded the operator's limit; late is the number of requests that it got
// later than allowed after its 50th bad response.
type result struct {
	state       State
	excess      float64
	late        int
	logEvidence float64
}

// The operator's time between the 50th bad response and the rollback.
const rollbackTime = 5 * time.Second

func (s *simulation) run(t *testing.T, seed uint64) result {
	clock := clockwork.NewFakeClock()
	random := rand.New(rand.NewPCG(seed, 9))
	fleet := make([]*Controller, simulatedInstances)
	for i := range fleet {
		fleet[i] = New(clock)
		fleet[i].AddOrder(order)
	}
	startedAt := clock.Now()
	var running []simulatedAttempt
	var sentToNew, badEnds []time.Time
	requests := 0
	r := result{state: InProgress}
	due := 0.0
	for clock.Since(startedAt) < order.Duration {
		clock.Advance(simulatedStep)
		if s.restartAt > 0 && clock.Since(startedAt) == s.restartAt {
			fleet[0] = New(clock)
			fleet[0].AddOrder(order)
			fleet[0].ApplyStatus(ended(r.state))
		}
		running = slices.DeleteFunc(running, func(a simulatedAttempt) bool {
			if a.endsAt.After(clock.Now()) {
				return false
			}
			a.attempt.End(a.ending)
			return true
		})
		for due += s.perSecond * simulatedStep.Seconds(); due >= 1; due-- {
			requests++
			c := fleet[random.IntN(len(fleet))]
			required, excluded := c.VersionConstraint("s", float64(xxhash.Sum64String(fmt.Sprint(seed, requests))>>11)/(1<<53))
			isNew := required == "v2" || excluded == ""
			a, bad := s.start(c, random, clock, isNew, clock.Since(startedAt))
			running = append(running, a)
			if !isNew {
				continue
			}
			sentToNew = append(sentToNew, clock.Now())
			if bad {
				badEnds = append(badEnds, a.endsAt)
			}
		}
		if clock.Since(startedAt)%decideEvery != 0 {
			continue
		}
		for i, c := range fleet {
			reports, err := c.Reports(600)
			assert.NilError(t, err)
			for _, report := range reports {
				for j, other := range fleet {
					if j != i {
						other.ApplyReport(evidence.InstanceID{Name: fmt.Sprint(i)}, report)
					}
				}
			}
		}
		for i, c := range fleet {
			for _, decision := range c.Decide(i == 0) {
				r.state, r.logEvidence = decision.Status.State, decision.LogEvidence
				for _, other := range fleet {
					other.ApplyStatus(decision.Status)
				}
			}
		}
	}
	r.excess = float64(len(sentToNew)) - operatorShare*float64(requests) - operatorSlack
	if slices.SortFunc(badEnds, time.Time.Compare); len(badEnds) >= maxBadResponses {
		for _, at := range sentToNew {
			if at.After(badEnds[maxBadResponses-1].Add(rollbackTime)) {
				r.late++
			}
		}
	}
	return r
}

// decideEvery is the interval between reports and decisions, as in package node.
const decideEvery = 200 * time.Millisecond

// start starts a request; bad is set if its response fails or is slow.
func (s *simulation) start(c *Controller, random *rand.Rand, clock *clockwork.FakeClock, isNew bool, since time.Duration) (a simulatedAttempt, bad bool) {
	routes := []struct {
		name   string
		median time.Duration
		tokens int
	}{{"short", 60 * time.Millisecond, 10}, {"middle", 600 * time.Millisecond, 200}, {"long", 900 * time.Millisecond, 300}}
	route := routes[random.IntN(len(routes))]
	speed, failureRate, version := oldSpeeds[random.IntN(len(oldSpeeds))], s.oldFailureRate, "v1"
	if isNew {
		speed, failureRate, version = s.speeds[random.IntN(len(s.speeds))], s.newFailureRate, "v2"
	}
	const lengthSpread = 0.7
	took := float64(route.median) * math.Exp(lengthSpread*random.NormFloat64()) / speed
	if isNew && since >= s.slowFrom && (s.slowRoute == "" || s.slowRoute == route.name) && s.slowdown > 1 {
		took *= s.slowdown
		bad = true
	}
	if random.Float64() < s.hangRate {
		took += float64(hangTime)
	}
	ending := evidence.Answered
	if random.Float64() < failureRate {
		ending, bad = evidence.Failed, bad || isNew
	}
	if time.Duration(took) > callerPatience {
		took, ending = float64(callerPatience), evidence.GivenUp
	}
	return simulatedAttempt{c.Start("s", version, route.name, route.tokens), clock.Now().Add(time.Duration(took)), ending}, bad
}

func TestOrdersEndAsTheVersionDeserves(t *testing.T) {
	const (
		seeds             = 60
		busy, mean, quiet = 600, 117, 6
		// always and mostly are the shares of seeds that must end as deserved, with
		// ample and with little evidence.
		always, mostly = 1, 0.9
	)
	mixed := oldSpeeds
	slowTargets, slowAndMiddle := []float64{0.55, 0.55, 1, 2.8}, []float64{0.55, 1}
	for _, c := range []struct {
		name string
		simulation
		want  State
		share float64
	}{
		{"good", simulation{perSecond: busy, newFailureRate: 0.02, oldFailureRate: 0.02, speeds: mixed}, Completed, always},
		{"good while both versions fail often", simulation{perSecond: busy, newFailureRate: 0.3, oldFailureRate: 0.3, speeds: mixed}, Completed, always},
		{"good while responses of both versions stall", simulation{perSecond: busy, newFailureRate: 0.02, oldFailureRate: 0.02, hangRate: 0.01, speeds: mixed}, Completed, always},
		{"good with mean traffic", simulation{perSecond: mean, speeds: mixed}, Completed, always},
		{"good on slower targets", simulation{perSecond: mean, speeds: slowTargets}, Completed, mostly},
		{"good without fast targets", simulation{perSecond: mean, speeds: slowAndMiddle}, Completed, mostly},
		{"good with little traffic", simulation{perSecond: 20, speeds: mixed}, Completed, mostly},
		{"good with hardly any traffic", simulation{perSecond: quiet, speeds: mixed}, Completed, mostly},
		{"high failure rate", simulation{perSecond: busy, newFailureRate: 0.4, oldFailureRate: 0.02, speeds: mixed}, RolledBack, always},
		{"several times slower", simulation{perSecond: busy, newFailureRate: 0.02, oldFailureRate: 0.02, slowdown: 6, speeds: mixed}, RolledBack, always},
		{"high failure rate with mean traffic", simulation{perSecond: mean, newFailureRate: 0.4, oldFailureRate: 0.02, speeds: mixed}, RolledBack, always},
		{"fails sometimes", simulation{perSecond: mean, newFailureRate: 0.15, oldFailureRate: 0.02, speeds: mixed}, RolledBack, mostly},
		{"slower, with mean traffic", simulation{perSecond: mean, slowdown: 4, speeds: mixed}, RolledBack, always},
		{"much slower, with mean traffic", simulation{perSecond: mean, slowdown: 8, speeds: mixed}, RolledBack, always},
		{"slower, with a new analyzer", simulation{perSecond: mean, slowdown: 5, restartAt: 10400 * time.Millisecond, speeds: mixed}, RolledBack, mostly},
		{"good, with a new analyzer", simulation{perSecond: mean, restartAt: 10400 * time.Millisecond, speeds: mixed}, Completed, mostly},
		{"slower later", simulation{perSecond: mean, slowdown: 8, slowFrom: 5 * time.Second, speeds: mixed}, RolledBack, always},
		{"slower on one route", simulation{perSecond: mean, slowdown: 8, slowRoute: "short", speeds: mixed}, RolledBack, mostly},
		{"slower with little traffic", simulation{perSecond: 20, slowdown: 8, speeds: mixed}, RolledBack, mostly},
		{"slower with hardly any traffic", simulation{perSecond: quiet, slowdown: 8, speeds: mixed}, RolledBack, mostly},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			deserved := 0
			for seed := range uint64(seeds) {
				r := c.run(t, seed)
				if r.state == c.want {
					deserved++
				}
				if r.state == RolledBack {
					assert.Assert(t, r.excess <= 0, "seed %d: %.0f requests above the limit", seed, r.excess)
					assert.Equal(t, r.late, 0, "seed %d: requests after the time for the rollback", seed)
				}
			}
			assert.Assert(t, float64(deserved) >= c.share*seeds, "%d of %d ended as deserved", deserved, seeds)
		})
	}
}

// A version that has answered nothing is neither known to work nor needed.
func TestVersionWithoutAGoodResponseIsNotCompleted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock)
	c.AddOrder(order)
	clock.Advance(order.Duration)
	assert.Equal(t, len(c.Decide(true)), 0)
	c.Start("s", "v2", "r", 0).End(evidence.GivenUp)
	c.Start("s", "v2", "r", 0).End(evidence.Failed)
	for _, d := range c.Decide(true) {
		assert.Equal(t, d.Status.State, RolledBack)
	}
}

// An analyzer that had restarted just before the end of a trial had all requests on
// record, but had not seen when they ran, and completed a slow version.
func TestNewAnalyzerReliesOnInstancesThatHaveSeenTheTrial(t *testing.T) {
	clock := clockwork.NewFakeClock()
	seen := New(clock)
	seen.AddOrder(order)
	for range 2 * enoughRequests {
		seen.Start("s", "v2", "r", 0).End(evidence.Answered)
		seen.Start("s", "v1", "r", 0).End(evidence.Answered)
	}
	clock.Advance(time.Duration(trialTimeShare * float64(order.Duration)))
	reports, err := seen.Reports(1000)
	assert.NilError(t, err)
	for _, inDoubt := range []bool{true, false} {
		reports[0].Assessment = Assessment{Watched: clock.Since(seen.trials["s"].startedAt), LogEvidence: -1, Requests: 2 * enoughRequests}
		want := Completed
		if inDoubt {
			reports[0].Assessment.LogEvidence, want = 1, RolledBack
		}
		restarted := New(clock)
		restarted.ApplyReport(evidence.InstanceID{Name: "seen"}, reports[0])
		decisions := restarted.Decide(true)
		if inDoubt {
			assert.Equal(t, len(decisions), 0, "completed on its own assessment")
			clock.Advance(order.Duration / 10)
			restarted.ApplyReport(evidence.InstanceID{Name: "seen"}, reports[0])
			decisions = restarted.Decide(true)
		}
		assert.Equal(t, decisions[0].Status.State, want)
	}
}

// The share that is increased for the sake of evidence stays within the operator's
// limit, even if there is twice the traffic that was known.
func TestIncreasedShareStaysWithinTheLimit(t *testing.T) {
	const rounding = 1e-9
	tr := &trial{order: order}
	for requests := 1; requests < 100_000; requests += 1 + requests/10 {
		share := tr.shareFor(requests, order.Duration/2)
		for _, total := range []float64{2 * float64(requests), 4 * float64(requests)} {
			assert.Assert(t, share*total <= operatorShare*total+operatorSlack+rounding, "%d requests, share %.3f", requests, share)
		}
	}
}

func TestUnknownServiceHasNoConstraint(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	required, excluded := c.VersionConstraint("s", 0)
	assert.Equal(t, required+excluded, "")
	c.Start("s", "v1", "r", 0).End(evidence.Failed)
	assert.Equal(t, len(c.Decide(true)), 0)
}

// A decision holds the counts of all instances, since an order that has ended is
// no longer reported.
func TestDecisionHoldsCountsOfAllInstances(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := New(clock)
	c.AddOrder(order)
	c.ApplyReport(evidence.InstanceID{Name: "peer"}, Report{Service: "s", To: "v2", Evidence: Evidence{Old: Counts{Answers: 100}}})
	var decisions []Decision
	for range 40 {
		c.Start("s", "v2", "r", 0).End(evidence.Failed)
		c.Start("s", "v1", "r", 0).End(evidence.Answered)
		clock.Advance(decideEvery)
		decisions = append(decisions, c.Decide(false)...)
	}
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Status.State, RolledBack)
	assert.Equal(t, decisions[0].Evidence.New.Failures, decisions[0].Evidence.New.Answers)
	assert.Equal(t, decisions[0].Evidence.Old.Answers, decisions[0].Evidence.New.Answers+100)
}

// Most instances hear of an order from others only, and some only of its end.
func TestOrderIsLearnedFromOtherInstances(t *testing.T) {
	clock := clockwork.NewFakeClock()
	informed, other := New(clock), New(clock)
	informed.AddOrder(order)
	clock.Advance(time.Second)
	reports, err := informed.Reports(1000)
	assert.NilError(t, err)
	report := reports[0]
	assert.Assert(t, other.ApplyReport(evidence.InstanceID{Name: "informed"}, report))
	assert.Assert(t, !other.ApplyReport(evidence.InstanceID{Name: "informed"}, report))
	assert.Assert(t, !other.AddOrder(order))
	_, excluded := other.VersionConstraint("s", 0.5)
	assert.Equal(t, excluded, "v2")
	reports, err = other.Reports(1000)
	assert.NilError(t, err)
	assert.Equal(t, reports[0].Elapsed, time.Second, "a decision would be due later")

	late := New(clock)
	assert.Assert(t, late.ApplyStatus(ended(RolledBack)))
	assert.Assert(t, !late.AddOrder(order))
	_, excluded = late.VersionConstraint("s", 0)
	assert.Equal(t, excluded, "v2")
}

// A report, or a stale read of the store, may tell of an order that another one has
// replaced.
func TestEarlierOrderDoesNotReplaceALaterOne(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	c.AddOrder(Order{Service: "s", To: "v3", Duration: time.Minute, Revision: Revision{Version: 7}})
	assert.Assert(t, !c.ApplyReport(evidence.InstanceID{Name: "peer"}, Report{Service: "s", To: "v2", Duration: time.Minute, Revision: 5}))
	assert.Assert(t, !c.AddOrder(Order{Service: "s", To: "v2", Duration: time.Minute, Revision: Revision{Version: 5}}))
	assert.Equal(t, c.Statuses()[0].To, "v3")
	assert.Assert(t, c.AddOrder(Order{Service: "s", To: "v4", Duration: time.Minute, Revision: Revision{Version: 9}}))
	assert.Equal(t, c.Statuses()[0].To, "v4")
}

// After the control plane's return from a copy, a new order has a lower version than the
// one before, which the operator has written again with a lower version, too. It was
// ignored, and the service's requests went to both versions alike.
func TestOrderAfterTheReturnFromACopyReplacesTheOneBefore(t *testing.T) {
	before := Order{Service: "s", To: "v2", Duration: time.Minute, Revision: Revision{Era: 1, Version: 70}}
	again, after := before, before
	again.Revision = Revision{Era: 2, Version: 40}
	after.To, after.Revision = "v3", Revision{Era: 2, Version: 50}
	reportOf := func(o Order) Report {
		c := New(clockwork.NewFakeClock())
		c.AddOrder(o)
		reports, err := c.Reports(1000)
		assert.NilError(t, err)
		return reports[0]
	}
	peer := evidence.InstanceID{Name: "peer"}
	for _, writtenAgain := range []bool{true, false} {
		declared, reported := New(clockwork.NewFakeClock()), New(clockwork.NewFakeClock())
		for _, c := range []*Controller{declared, reported} {
			assert.Assert(t, c.AddOrder(before))
			if writtenAgain {
				assert.Assert(t, !c.AddOrder(again))
			}
		}
		assert.Assert(t, declared.AddOrder(after))
		assert.Assert(t, reported.ApplyReport(peer, reportOf(after)))
		for _, c := range []*Controller{declared, reported} {
			assert.Assert(t, !c.ApplyReport(peer, reportOf(before)), "an instance that has not heard of the return")
			assert.Assert(t, !c.AddOrder(before))
			assert.Equal(t, c.Statuses()[0].To, "v3")
		}
	}
}

// A version that takes twice the time on all targets alike is not several times slower.
func TestSomewhatSlowerVersionIsCompleted(t *testing.T) {
	const seeds, perSecond = 60, 600
	s := simulation{perSecond: perSecond, newFailureRate: 0.02, oldFailureRate: 0.02, slowdown: 2, speeds: oldSpeeds}
	completed := 0
	for seed := range uint64(seeds) {
		if s.run(t, seed).state == Completed {
			completed++
		}
	}
	assert.Equal(t, completed, seeds)
}
