package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// arrivalStream is a Poisson stream of requests of one tier.
type arrivalStream struct {
	tier     tables.Tier
	account  string
	perSec   float64
	prompt   int
	output   int
	deadline time.Duration
}

// submitArrivals submits the requests that arrive within one step. Their sizes vary
// between 0.5 and 1.5 times the stream's.
func (sim *simulation) submitArrivals(streams []arrivalStream) {
	for _, s := range streams {
		expected := s.perSec * simStep.Seconds()
		for sim.rand.Float64() < expected {
			expected--
			factor := 0.5 + sim.rand.Float64()
			r := Request{
				Pool: "pool", Route: s.account, Account: s.account, Tier: s.tier,
				PromptTokens: int(float64(s.prompt) * factor),
				Deadline:     sim.clock.Now().Add(s.deadline),
			}
			sim.submit(sim.anyNode(), r, max(1, int(float64(s.output)*factor)))
		}
	}
}

// anyNode returns a random node that is not paused.
func (sim *simulation) anyNode() *node {
	for {
		if n := sim.nodes[sim.rand.IntN(len(sim.nodes))]; !n.paused {
			return n
		}
	}
}

func (sim *simulation) run(d time.Duration, streams []arrivalStream) {
	for ; d > 0; d -= simStep {
		sim.submitArrivals(streams)
		sim.step()
	}
}

// mixedSpeedEngines returns two fast and two slow engines of eight slots each.
func mixedSpeedEngines() []*engine {
	var all []*engine
	for i := range 4 {
		decode := 5 * time.Millisecond
		if i >= 2 {
			decode = 10 * time.Millisecond
		}
		all = append(all, &engine{
			name: fmt.Sprintf("e%d", i), limit: 8,
			prefill: decode / 100, decode: decode,
		})
	}
	return all
}

// overloadStreams offers about 2.5 times the capacity of mixedSpeedEngines, which is
// 4,800 output tokens per second. Sizes differ by a factor of up to a hundred.
func overloadStreams() []arrivalStream {
	return []arrivalStream{
		{0, "audit", 2, 2000, 800, 20 * time.Second},
		{1, "quick", 60, 100, 16, 4 * time.Second},
		{2, "draft", 12, 500, 200, 10 * time.Second},
		{3, "tagging", 70, 200, 100, 8 * time.Second},
	}
}

// overloadCase is a fault that occurs under overload. Its function is called before
// each second.
type overloadCase struct {
	name  string
	fault func(sim *simulation, second int)
}

func overloadCases() []overloadCase {
	return []overloadCase{
		{"no fault", func(*simulation, int) {}},
		{"coordinator killed", func(sim *simulation, second int) {
			if second == 4 {
				sim.killNode(sim.coordinator("e0"))
			}
		}},
		{"entry paused with credits", func(sim *simulation, second int) {
			sim.nodes[0].paused = second == 4 || second == 5
		}},
		{"target at a tenth", func(sim *simulation, second int) {
			if second == 4 {
				sim.engines[0].slowdown = 10
			}
		}},
	}
}

// overloadRun is a completed run of a case.
type overloadRun struct {
	*simulation
	from, to time.Time
}

// runOverload runs a case: 12 s of load on three entries, then 12 s without load.
func runOverload(t testing.TB, c overloadCase, seed uint64) overloadRun {
	sim := newSimulation(t, seed, 3, mixedSpeedEngines()...)
	sim.advance(time.Second)
	run := overloadRun{simulation: sim, from: sim.clock.Now()}
	for second := range 12 {
		c.fault(sim, second)
		sim.run(time.Second, overloadStreams())
	}
	run.to = sim.clock.Now()
	sim.run(12*time.Second, nil)
	return run
}

func TestNoShedWhileLowerRuns(t *testing.T) {
	for _, c := range overloadCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := runOverload(t, c, 1)
			run.logStats(t, run.from, run.to)
			assert.Equal(t, run.violations, 0)
			for _, e := range run.engines {
				assert.Assert(t, e.peak <= e.limit)
			}
		})
	}
}

// BenchmarkPressure reports the mean goodput by tier over seeds 1 to 10 and the
// total of refusals while a lower tier ran:
// go test -run xxx -bench Pressure -benchtime 1x ./internal/admission
func BenchmarkPressure(b *testing.B) {
	const seeds = 10
	for _, c := range overloadCases() {
		b.Run(c.name, func(b *testing.B) {
			var goodput [tables.TierCount]float64
			violations := 0
			for range b.N {
				goodput, violations = [tables.TierCount]float64{}, 0
				for seed := uint64(1); seed <= seeds; seed++ {
					run := runOverload(b, c, seed)
					violations += run.violations
					for tier := range goodput {
						share, _ := run.goodput(tables.Tier(tier), run.from, run.to)
						goodput[tier] += share / seeds
					}
				}
			}
			for tier, share := range goodput {
				b.ReportMetric(share, fmt.Sprintf("goodput-tier%d", tier))
			}
			b.ReportMetric(float64(violations), "shed-while-lower-ran")
		})
	}
}

// killNode removes a node and ends its requests.
func (sim *simulation) killNode(i int) {
	killed := sim.nodes[i]
	for _, j := range sim.active {
		if j.node != killed {
			continue
		}
		if j.state == simRunning {
			sim.finish(j, simPreempted, Cancelled, sim.clock.Now())
		}
		j.state = simPreempted
	}
	sim.removeNode(i)
}

func (sim *simulation) logStats(t *testing.T, from, to time.Time) {
	for tier := range tables.Tier(tables.TierCount) {
		share, count := sim.goodput(tier, from, to)
		t.Logf("tier %d: goodput %.3f of %d", tier, share, count)
	}
	var preempted, refused, unproved uint64
	for _, n := range sim.nodes {
		s := n.Stats()
		preempted += s.Preempted
		unproved += s.Unproved
		for _, r := range s.Refused {
			refused += r
		}
	}
	overloads := 0
	for _, e := range sim.engines {
		overloads += e.overloads
	}
	t.Logf("preempted %d refused %d unproved %d violations %d overloads %d", preempted, refused, unproved, sim.violations, overloads)
}

// fillEngines fills all engines with long requests of the lowest tier.
func (sim *simulation) fillEngines(node *node, outputTokens int) []*simJob {
	var all []*simJob
	for _, e := range sim.engines {
		for range e.limit {
			r := Request{Pool: "pool", Route: "tagging", Account: "tagging", Tier: 3, PromptTokens: 10}
			all = append(all, sim.submit(node, r, outputTokens))
		}
	}
	sim.run(time.Second, nil)
	return all
}

func TestPreemptsInTimeForADeadline(t *testing.T) {
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprintf("remote %v", remote), func(t *testing.T) {
			sim := newSimulation(t, 1, 2, mixedSpeedEngines()...)
			sim.advance(time.Second)
			lowTier := sim.fillEngines(sim.nodes[0], 100_000)
			origin := sim.nodes[0]
			if remote {
				origin = sim.nodes[1]
			}
			r := Request{
				Pool: "pool", Route: "audit", Account: "audit", PromptTokens: 100, OutputTokens: 200,
				Deadline: sim.clock.Now().Add(6 * time.Second),
			}
			high := sim.submit(origin, r, 200)
			sim.run(7*time.Second, nil)
			assert.Equal(t, high.state, simComplete)
			assert.Assert(t, !high.endedAt.After(r.Deadline))
			cancelled := 0
			for _, j := range lowTier {
				if j.state == simPreempted {
					cancelled++
				}
			}
			t.Logf("cancelled %d of %d lower-tier requests for one request", cancelled, len(lowTier))
			assert.Assert(t, cancelled >= 1 && cancelled <= 2)
			assert.Assert(t, high.startedAt.Sub(high.arrivedAt) > time.Second, "lower tier preempted earlier than needed")
		})
	}
}

func TestFindsLimitsBelowConfiguredSlots(t *testing.T) {
	engines := mixedSpeedEngines()
	for _, e := range engines {
		e.listedSlots = 4 * e.limit
	}
	sim := newSimulation(t, 1, 2, engines...)
	sim.advance(time.Second)
	sim.run(8*time.Second, overloadStreams())
	overloadsFirst := 0
	for _, e := range sim.engines {
		overloadsFirst += e.overloads
		e.overloads = 0
	}
	sim.run(8*time.Second, overloadStreams())
	overloadsLater, finished := 0, 0
	for _, e := range sim.engines {
		overloadsLater += e.overloads
		assert.Assert(t, e.peak <= e.limit)
	}
	for _, j := range sim.jobs {
		if j.state == simComplete {
			finished++
		}
	}
	t.Logf("overload responses: %d in the first 8 s, %d in the next; %d requests finished", overloadsFirst, overloadsLater, finished)
	assert.Assert(t, overloadsLater < finished/20)
	assert.Equal(t, sim.violations, 0)
}

func TestBurstOfALargeAccountCostsASmallOneLittle(t *testing.T) {
	meanTime := func(burst bool) time.Duration {
		sim := newSimulation(t, 3, 2, mixedSpeedEngines()...)
		sim.advance(time.Second)
		if burst {
			for range 400 {
				sim.submitOne("large", 500, 200+sim.rand.IntN(400))
			}
		}
		sim.run(10*time.Second, []arrivalStream{{1, "small", 4, 100, 40, time.Minute}})
		sim.run(20*time.Second, nil)
		var sum time.Duration
		count := 0
		for _, j := range sim.jobs {
			if j.r.Account != "small" {
				continue
			}
			assert.Equal(t, j.state, simComplete)
			sum += j.endedAt.Sub(j.arrivedAt)
			count++
		}
		return sum / time.Duration(count)
	}
	withoutBurst, withBurst := meanTime(false), meanTime(true)
	t.Logf("mean time of the small account: without burst %v, with burst %v", withoutBurst, withBurst)
	assert.Assert(t, withBurst < withoutBurst+500*time.Millisecond)
}

func (sim *simulation) submitOne(account string, prompt, output int) {
	r := Request{
		Pool: "pool", Route: account, Account: account, Tier: 1, PromptTokens: prompt,
		Deadline: sim.clock.Now().Add(10 * time.Minute),
	}
	sim.submit(sim.nodes[sim.rand.IntN(len(sim.nodes))], r, output)
}
